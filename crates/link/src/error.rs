//! Errors of links between nodes.

/// Why a message between nodes could not be read or sent. It closes that link alone.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection to the node.
    #[error("no connection to the node")]
    NotConnected,
    /// The stream failed.
    #[error("stream failed: {0}")]
    Stream(#[from] h2::Error),
    /// A frame is longer than its kind may be.
    #[error("frame of {0} bytes is over the limit")]
    FrameTooLong(usize),
    /// A frame could not be decoded.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// A message could not be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The stream ended before the message did.
    #[error("stream ended early")]
    EndedEarly,
    /// The other side answered with this HTTP status.
    #[error("status {0}")]
    BadStatus(u16),
    /// The request to be sent is malformed.
    #[error("request: {0}")]
    Request(#[from] http::Error),
}

impl PeerError {
    /// Whether the other node refused the message unread: it stops, or has too much to do.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::BadStatus(503))
    }

    /// Whether the other node certainly did nothing with the message: it never left, a stopping
    /// node refused it unread, or a node of another version does not know its path.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotConnected | Self::Encode(_) | Self::Request(_) | Self::BadStatus(404))
            || self.is_refused()
    }
}
