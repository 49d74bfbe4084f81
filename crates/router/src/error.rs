//! Errors at the router's start and in exchanges with servers.

use std::net::SocketAddr;

/// Why a router failed to start.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A listening socket could not be opened.
    #[error("listening for {port} on {address}: {source}")]
    Listen {
        /// What the port is for.
        port: &'static str,
        /// The address and port.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Why an exchange with a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent")]
    NotSent,
    /// The connection ended after the request was sent and before any byte of the answer; the server may have executed
    /// the request.
    #[error("connection lost")]
    ConnectionLost,
    /// The answer is incomplete or not valid HTTP.
    #[error("answer incomplete or malformed")]
    AnswerLost,
    /// The answer is longer than accepted, or there is no memory left for it.
    #[error("answer too long")]
    AnswerTooLong,
}
