//! Errors of the command line and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use streamfold_model::{ExecutionState, ProblemDetails};

/// The command failed; nothing ran or changed.
pub const EXIT_FAILED: u8 = 1;
/// Bad input: invalid arguments or files, or a request that the node rejects with a status below 500.
pub const EXIT_BAD_INPUT: u8 = 2;
/// The write conflicts with another change, which stays in force.
pub const EXIT_CONFLICT: u8 = 3;
/// The outcome is unknown: the request may or may not have taken effect.
pub const EXIT_UNKNOWN: u8 = 4;
/// The command succeeded in part: a node was not reached or did not get the version in time, or a shard is missing.
pub const EXIT_PARTIAL: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A file or directory could not be read.
    #[error("reading {path}: {source}")]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The directory contains no `.yaml` files.
    #[error("{0} holds no .yaml files")]
    NoFiles(PathBuf),
    /// `apply` needs either files or `--rollback`; it got neither or both.
    #[error("name files to apply, or a version with --rollback, and not both")]
    NothingToApply,
    /// The configuration is invalid; the texts name each problem with its file and line.
    #[error("the configuration has {} problem(s)", .0.len())]
    BadConfiguration(Vec<String>),
    /// The connection to a node failed, so that nothing was sent.
    #[error("{address} cannot be reached; nothing was sent")]
    Unreachable {
        /// The address of the port.
        address: SocketAddr,
    },
    /// The connection broke or the call timed out before the whole answer arrived; the request may have taken effect.
    #[error("the answer of {address} was lost; the outcome is unknown")]
    AnswerLost {
        /// The address of the port.
        address: SocketAddr,
    },
    /// The answer is longer than any that a node gives; the request may have taken effect.
    #[error("{address} sends more than any answer takes; the outcome is unknown")]
    AnswerTooLong {
        /// The address of the port.
        address: SocketAddr,
    },
    /// The node answered with a problem document.
    #[error("{}", .0.detail)]
    Problem(Box<ProblemDetails>),
    /// The answer is not of the expected form.
    #[error("{address} answered status {status}, which this command does not understand")]
    BadAnswer {
        /// The address of the port.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// An argument cannot be part of an HTTP request.
    #[error("building the request: {0}")]
    Request(#[from] http::Error),
    /// Data could not be encoded as JSON.
    #[error("writing JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CliError {
    /// The exit code of the process, one of the `EXIT_` constants.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoFiles(_) | Self::NothingToApply | Self::BadConfiguration(_) | Self::Request(_) => EXIT_BAD_INPUT,
            Self::AnswerLost { .. } | Self::AnswerTooLong { .. } => EXIT_UNKNOWN,
            Self::Problem(problem) => exit_code_of(problem),
            Self::Read { .. } | Self::Unreachable { .. } | Self::BadAnswer { .. } | Self::Json(_) => EXIT_FAILED,
        }
    }

    /// The individual problems of an error that lists several; empty for other errors.
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
