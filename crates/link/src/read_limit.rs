//! How much may be read of a connection. A faulty server may send bytes without end, in a head or a body, as long as its
//! caller reads them.

use std::io::Error;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::counted_stream::ReadCounter;

/// How many bytes a stream may still read, and whether it has read any. Shared with the user of the connection, which
/// does not own the stream.
#[derive(Debug, Default)]
pub struct ReadAllowance {
    left: AtomicUsize,
    has_read: AtomicBool,
    is_exceeded: AtomicBool,
}

impl ReadAllowance {
    /// Starts to count anew.
    pub fn start(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
        self.has_read.store(false, Ordering::Relaxed);
    }

    /// Allows further bytes.
    pub fn extend(&self, bytes: usize) {
        self.left.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Allows further bytes, as long as no more than `limit` are allowed then.
    pub fn extend_up_to(&self, bytes: usize, limit: usize) {
        let add = |left: usize| Some(left.max(left.saturating_add(bytes).min(limit)));
        // The closure returns a value always, so this cannot fail.
        let _ = self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Whether any byte was read since the start.
    pub fn has_read(&self) -> bool {
        self.has_read.load(Ordering::Relaxed)
    }

    /// Whether more bytes arrived than were allowed.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }
}

impl ReadCounter for ReadAllowance {
    fn note_read(&self, bytes: usize) -> std::io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        self.has_read.store(true, Ordering::Relaxed);
        let subtract = |left: usize| left.checked_sub(bytes);
        if self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok() {
            return Ok(());
        }
        self.is_exceeded.store(true, Ordering::Relaxed);
        Err(Error::other("the server sends more than is accepted"))
    }
}
