//! Errors of the command line and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use streamfold_model::{ExecutionState, ProblemDetails};

/// Failed; nothing ran or changed.
pub const EXIT_FAILED: u8 = 1;
/// Bad input.
pub const EXIT_BAD_INPUT: u8 = 2;
/// Another change won.
pub const EXIT_CONFLICT: u8 = 3;
/// The outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 4;
/// Done, but only in part.
pub const EXIT_PARTIAL: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file or folder could not be read.
    #[error("reading {path}: {source}")]
    Read {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A folder has no configuration files.
    #[error("{0} holds no .yaml files")]
    NoFiles(PathBuf),
    /// No files were named and no version to go back to.
    #[error("name files to apply, or a version with --rollback, and not both")]
    NothingToApply,
    /// The configuration has problems.
    #[error("the configuration has {} problem(s)", .0.len())]
    BadConfiguration(Vec<String>),
    /// A node could not be reached; nothing was sent.
    #[error("{address} cannot be reached; nothing was sent")]
    Unreachable {
        /// Which.
        address: SocketAddr,
    },
    /// The answer was lost.
    #[error("the answer of {address} was lost; the outcome is unknown")]
    AnswerLost {
        /// Which.
        address: SocketAddr,
    },
    /// The node refused.
    #[error("{}", .0.detail)]
    Problem(Box<ProblemDetails>),
    /// The node answered something else than expected.
    #[error("{address} answered status {status}, which this command does not understand")]
    BadAnswer {
        /// Which.
        address: SocketAddr,
        /// The status.
        status: u16,
    },
    /// An argument cannot be sent.
    #[error("building the request: {0}")]
    Request(#[from] http::Error),
    /// Data could not be written as JSON.
    #[error("writing JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// The exit code for scripts.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoFiles(_) | Self::NothingToApply | Self::BadConfiguration(_) | Self::Request(_) => EXIT_BAD_INPUT,
            Self::AnswerLost { .. } => EXIT_UNKNOWN,
            Self::Problem(problem) => exit_code_of(problem),
            Self::Read { .. } | Self::Unreachable { .. } | Self::BadAnswer { .. } | Self::Json(_) => EXIT_FAILED,
        }
    }

    /// Every problem found, where there can be several.
    pub fn problems(&self) -> &[String] {
        match self {
            Self::BadConfiguration(problems) => problems,
            Self::Problem(problem) => &problem.problems,
            _ => &[],
        }
    }
}

fn exit_code_of(problem: &ProblemDetails) -> u8 {
    match (problem.kind.as_str(), problem.ran) {
        ("conflict", _) => EXIT_CONFLICT,
        (_, ExecutionState::Unknown) => EXIT_UNKNOWN,
        _ if problem.status < 500 => EXIT_BAD_INPUT,
        _ => EXIT_FAILED,
    }
}
