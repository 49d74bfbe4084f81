//! Memory for answers that are being read. Many servers that send long bodies at the same time must not take the memory
//! that the node has.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for the parts of answers beyond [`SMALL_ANSWER_LEN`], in bytes: a quarter of what a node has at least.
const MAX_LARGE_ANSWERS_LEN: usize = 64 << 20;
/// Up to this length an answer is read without a reservation, in bytes, so that long answers never keep out short ones.
const SMALL_ANSWER_LEN: usize = 64 << 10;

/// The memory for long answers that is not in use.
#[derive(Debug)]
pub struct AnswerMemory(AtomicUsize);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(AtomicUsize::new(MAX_LARGE_ANSWERS_LEN))
    }
}

/// The memory of one answer, given back when this is dropped.
#[derive(Debug)]
pub struct AnswerReservation<'a> {
    memory: &'a AnswerMemory,
    /// The length of the answer so far.
    len: usize,
    reserved: usize,
}

impl AnswerMemory {
    /// Starts an answer.
    pub fn start_answer(&self) -> AnswerReservation<'_> {
        AnswerReservation { memory: self, len: 0, reserved: 0 }
    }

    fn reserve(&self, bytes: usize) -> bool {
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes)).is_ok()
    }
}

impl AnswerReservation<'_> {
    /// Adds bytes to the answer; returns false if there is no memory for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.len = self.len.saturating_add(bytes);
        let missing = self.len.saturating_sub(SMALL_ANSWER_LEN) - self.reserved;
        let is_reserved = missing == 0 || self.memory.reserve(missing);
        if is_reserved {
            self.reserved += missing;
        }
        is_reserved
    }
}

impl Drop for AnswerReservation<'_> {
    fn drop(&mut self) {
        self.memory.0.fetch_add(self.reserved, Ordering::Relaxed);
    }
}
