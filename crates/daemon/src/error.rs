//! Errors of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

pub use streamfold_link::PeerError;
use streamfold_model::MissingReason;

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingProblem {
    /// The file is not valid YAML, or a value has the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A required setting is missing.
    #[error("{0} is not set; set it in the file or by --{1}")]
    Missing(&'static str, String),
    /// A number lies outside its range.
    #[error("{name} is {found}; it must be {range}")]
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Value of the setting.
        found: String,
        /// The allowed range.
        range: &'static str,
    },
    /// Two ports of the node have the same address.
    #[error("{0} and {1} have the same address {2}")]
    SameAddress(&'static str, &'static str, SocketAddr),
}

/// A problem in the settings with its file and line.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingError {
    /// Name of the file, or `flags` without one.
    pub file: String,
    /// Line of the setting; 0 for flags, missing settings and problems without a position.
    pub line: u64,
    /// The problem.
    pub problem: SettingProblem,
}

impl std::fmt::Display for SettingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.problem)
    }
}

/// Why the daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[error("reading settings from {path}: {source}")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("the settings have {} problem(s)", .0.len())]
    BadSettings(Vec<SettingError>),
    /// A port cannot be opened.
    #[error("listening for {port} on {address}: {source}")]
    Listen {
        /// Name of the port.
        port: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The router did not start.
    #[error(transparent)]
    Router(streamfold_router::error::RouterError),
    /// The metrics recorder cannot be installed.
    #[error("installing the metrics recorder: {0}")]
    Metrics(String),
}

/// Why a caller's header or URL parameter is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// The value does not have the expected form.
    #[error("header {name}: {found:?} is not {wanted}")]
    BadValue {
        /// Name of the header or parameter.
        name: &'static str,
        /// The value, shortened.
        found: String,
        /// The expected form.
        wanted: &'static str,
    },
    /// The idempotency key is empty, too long, or has characters other than visible ASCII.
    #[error("header idempotency-key holds 1 to 128 visible ASCII characters")]
    BadKey,
}

/// Why a piece of a query has no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceFailure {
    /// The reason that the caller receives.
    pub reason: MissingReason,
    /// The combined outcome of its attempts.
    pub outcome: streamfold_model::AttemptOutcome,
}
