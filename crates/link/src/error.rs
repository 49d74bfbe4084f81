//! Errors of links between nodes.

/// Error of sending or receiving a message between nodes. Only the affected link is closed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// There is no connection and none could be made.
    #[error("no connection to the node")]
    NotConnected,
    /// The HTTP/2 stream failed.
    #[error("stream failed: {0}")]
    Stream(#[from] h2::Error),
    /// A received frame exceeds its length limit, or holds this many bytes after its message.
    #[error("frame of {0} bytes is over the limit")]
    FrameTooLong(usize),
    /// A frame could not be decoded.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// A message could not be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// A message of this node is longer than may be sent.
    #[error("message of {0} bytes is too long to be sent")]
    MessageTooLong(usize),
    /// There is no memory for a message of this node.
    #[error("no memory for the message")]
    NoMemory,
    /// The other node sends more than is accepted, in answers or in what is no answer, or than there is memory for.
    #[error("the node sends more than is accepted")]
    AnswerTooLong,
    /// The stream ended in the middle of a message, or no answer came in time.
    #[error("stream ended early")]
    EndedEarly,
    /// The other node answered with this HTTP status.
    #[error("the node answered status {0}")]
    BadStatus(u16),
    /// The HTTP request could not be built.
    #[error("request cannot be built: {0}")]
    Request(#[from] http::Error),
}

impl PeerError {
    /// Whether the other node refused the message unread because it is stopping or overloaded.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::BadStatus(503))
    }

    /// Whether the other node certainly did not process the message: it was never sent, a
    /// stopping node refused it unread, or a node of another version does not know the path.
    pub fn is_not_sent(&self) -> bool {
        let is_unsent = matches!(
            self,
            Self::NotConnected | Self::Encode(_) | Self::MessageTooLong(_) | Self::NoMemory | Self::Request(_)
        );
        is_unsent || matches!(self, Self::BadStatus(404)) || self.is_refused()
    }
}
