//! Errors of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

pub use streamfold_link::PeerError;
use streamfold_model::MissingReason;

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingProblem {
    /// The file is not YAML of the wanted shape.
    #[error("{0}")]
    Syntax(String),
    /// A setting without a default is missing.
    #[error("{0} is not set; set it in the file or by --{1}")]
    Missing(&'static str, String),
    /// A number lies outside its range.
    #[error("{name} is {found}; it must be {range}")]
    OutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value.
        found: String,
        /// What it may be.
        range: &'static str,
    },
    /// Two ports of the node are the same.
    #[error("{0} and {1} have the same address {2}")]
    SameAddress(&'static str, &'static str, SocketAddr),
}

/// A problem in the settings with the line it stands on, 0 for flags and missing settings.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingError {
    /// The file.
    pub file: String,
    /// The line.
    pub line: u64,
    /// What is wrong.
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
    /// The settings file could not be read.
    #[error("reading settings from {path}: {source}")]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[error("the settings have {} problem(s)", .0.len())]
    BadSettings(Vec<SettingError>),
    /// A port could not be opened.
    #[error("listening for {port} on {address}: {source}")]
    Listen {
        /// Which port.
        port: &'static str,
        /// Where.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The router did not start.
    #[error(transparent)]
    Router(streamfold_router::error::RouterError),
    /// The metrics recorder could not be set up.
    #[error("setting up metrics: {0}")]
    Metrics(String),
}

/// Why a caller's header is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// The header is not text of the wanted form.
    #[error("header {name}: {found:?} is not {wanted}")]
    BadValue {
        /// The header.
        name: &'static str,
        /// The value.
        found: String,
        /// What it may be.
        wanted: &'static str,
    },
    /// The key is too long or holds characters that are not visible ASCII.
    #[error("header idempotency-key holds 1 to 128 visible ASCII characters")]
    BadKey,
}

/// Why a piece of a query gave no results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceFailure {
    /// The reason told to the caller.
    pub reason: MissingReason,
    /// How the attempt behind it ended.
    pub outcome: streamfold_model::AttemptOutcome,
}
