//! Errors of the router.

use std::net::SocketAddr;

/// Why a router did not start.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
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
}

/// How an exchange with a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request went out.
    #[error("not sent")]
    NotSent,
    /// The request went out and the connection ended before any of its answer; it may have run.
    #[error("connection lost")]
    ConnectionLost,
    /// A part of the answer came back, and not the rest or nothing that is one.
    #[error("answer lost")]
    AnswerLost,
}
