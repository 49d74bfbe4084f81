//! How much may be read of an HTTP/2 connection. Besides answers, a faulty server may send frames without end that belong
//! to no answer or are empty, and flow control limits none of them.

use crate::counted_stream::ReadCounter;
use crate::read_limit::ReadAllowance;

/// The longest head accepted over HTTP/2, in bytes once it is decoded.
pub const MAX_HTTP2_HEAD_LEN: u32 = 64 << 10;
/// What a frame costs besides its content, in bytes.
const FRAME_OVERHEAD: usize = 16;
/// What may be read after each sign of life that was asked for, in bytes: it, and frames that keep the connection up.
const REPLY_ALLOWANCE: usize = 4 << 10;
/// The most that may be read without another exchange, in connection windows: data on its way, heads, and frames that
/// keep the connection up.
const MAX_WINDOWS: usize = 4;

/// What may be read of an HTTP/2 connection: its exchanges and their data extend it, and no other frames do.
#[derive(Debug)]
pub struct ExchangeAllowance {
    allowance: ReadAllowance,
    stream_window: usize,
    limit: usize,
}

impl ExchangeAllowance {
    /// Creates the allowance of a connection with these flow-control windows, in bytes.
    pub fn new(stream_window: u32, connection_window: u32) -> Self {
        let limit = connection_window as usize * MAX_WINDOWS;
        let allowance = ReadAllowance::default();
        allowance.start(limit);
        Self { allowance, stream_window: stream_window as usize, limit }
    }

    /// Allows the head of an answer, and data that may arrive after the exchange was given up.
    pub fn note_request(&self) {
        self.allowance.extend_up_to(MAX_HTTP2_HEAD_LEN as usize + self.stream_window, self.limit);
    }

    /// Allows as much data as was received.
    pub fn note_data(&self, bytes: usize) {
        if bytes > 0 {
            self.allowance.extend_up_to(bytes + FRAME_OVERHEAD, self.limit);
        }
    }

    /// Allows the next sign of life of the server.
    pub fn note_reply(&self) {
        self.allowance.extend_up_to(REPLY_ALLOWANCE, self.limit);
    }

    /// Whether more arrived than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.allowance.is_exceeded()
    }
}

impl ReadCounter for ExchangeAllowance {
    fn note_read(&self, bytes: usize) -> std::io::Result<()> {
        self.allowance.note_read(bytes)
    }
}
