//! How much may be read of an HTTP/2 connection. Besides answers, a faulty server may send frames without end that belong
//! to no answer or are empty, and flow control limits none of them.

use std::sync::Arc;

use crate::counted_stream::ReadCounter;
use crate::read_limit::ReadAllowance;

/// The longest head accepted over HTTP/2, in bytes once it is decoded.
pub const MAX_HTTP2_HEAD_LEN: u32 = 64 << 10;
/// What a frame costs besides its content, in bytes.
const FRAME_OVERHEAD: usize = 16;
/// What may still arrive of an exchange that was given up, in bytes, besides what the windows let through. A node that was
/// paused answers all its messages late.
const LATE_ANSWER_LEN: usize = 256 << 10;
/// What may be read after each sign of life that was asked for, in bytes: it, and frames that keep the connection up.
const REPLY_ALLOWANCE: usize = 4 << 10;
/// The most that may be read without another exchange, in connection windows: data on its way, heads, and frames that
/// keep the connection up.
const MAX_WINDOWS: usize = 4;

/// What may be read of an HTTP/2 connection: its exchanges and their data extend it, and no
/// other frames do.
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

    /// Begins an exchange: allows the head of its answer, and data on their way.
    pub fn begin(self: &Arc<Self>) -> ExchangeGuard {
        self.allowance.extend_up_to(MAX_HTTP2_HEAD_LEN as usize + self.stream_window, self.limit);
        ExchangeGuard { allowance: self.clone(), is_finished: false }
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

/// An exchange on a connection. Unless it is finished, its answer may still arrive after it was dropped.
#[derive(Debug)]
pub struct ExchangeGuard {
    allowance: Arc<ExchangeAllowance>,
    is_finished: bool,
}

impl ExchangeGuard {
    /// Allows as much data as was received.
    pub fn note_data(&self, bytes: usize) {
        if bytes > 0 {
            self.allowance.allowance.extend_up_to(bytes + FRAME_OVERHEAD, self.allowance.limit);
        }
    }

    /// Records that the whole answer was received.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// Whether more arrived on the connection than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.allowance.is_exceeded()
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.allowance.allowance.extend(LATE_ANSWER_LEN);
        }
    }
}

impl ReadCounter for ExchangeAllowance {
    fn note_read(&self, bytes: usize) -> std::io::Result<()> {
        self.allowance.note_read(bytes)
    }
}
