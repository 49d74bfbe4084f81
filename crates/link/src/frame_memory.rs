//! Memory for the messages of other nodes that are being read, which all links of this process share. Each message is
//! limited for itself as well, but many long ones at the same time must not take the memory of the machine.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The first part of each message, in bytes. Only what is longer is counted, so that long messages never keep out short
/// ones.
const UNCOUNTED_LEN: usize = 64 << 10;
/// The limit of a process that sets none, in bytes.
const DEFAULT_LIMIT: usize = 64 << 20;

static LIMIT: AtomicUsize = AtomicUsize::new(DEFAULT_LIMIT);
static USED: AtomicUsize = AtomicUsize::new(0);

/// Sets the memory for the messages that are being read, in bytes.
pub fn set_limit(bytes: usize) {
    LIMIT.store(bytes, Ordering::Relaxed);
}

/// The memory of one message, given back when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct FrameHold {
    counted: usize,
}

impl FrameHold {
    /// Holds memory for at least this many bytes of the message; returns false if there is none.
    pub(crate) fn grow(&mut self, len: usize) -> bool {
        let more = len.saturating_sub(UNCOUNTED_LEN).saturating_sub(self.counted);
        let limit = LIMIT.load(Ordering::Relaxed);
        let add = |used: usize| used.checked_add(more).filter(|used| more == 0 || *used <= limit);
        let is_taken = USED.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        self.counted += if is_taken { more } else { 0 };
        is_taken
    }

    /// Gives back what is held for more than this many bytes.
    pub(crate) fn shrink(&mut self, len: usize) {
        let spare = self.counted.saturating_sub(len.saturating_sub(UNCOUNTED_LEN));
        USED.fetch_sub(spare, Ordering::Relaxed);
        self.counted -= spare;
    }
}

impl Drop for FrameHold {
    fn drop(&mut self) {
        USED.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
