//! Memory of answers, from their first byte at this node until the last one was sent to the caller. Many long answers at
//! the same time must not take the memory that the node has.

use std::sync::Arc;

use bytes::Bytes;

use crate::caller_limits::{CallerLimits, MemoryKind};
use crate::memory_pool::HeldBytes;

/// Up to this length the bytes of an answer are copied, in bytes. A piece of the buffer that they were read into would
/// keep the whole buffer.
const MAX_COPIED_LEN: usize = 4 << 10;

/// The memory of one answer, given back when this is dropped.
#[derive(Debug)]
pub struct AnswerReservation {
    limits: Arc<CallerLimits>,
    len: usize,
}

impl AnswerReservation {
    /// Starts an answer.
    pub fn new(limits: Arc<CallerLimits>) -> Self {
        Self { limits, len: 0 }
    }

    /// Counts bytes that are there already, whether or not there is memory for them.
    pub fn hold(limits: Arc<CallerLimits>, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let mut reservation = Self::new(limits);
        reservation.count(bytes.len());
        reservation.attach(bytes)
    }

    /// Counts more of the answer that is there already, whether or not there is memory for it.
    pub fn count(&mut self, bytes: usize) {
        let (short_before, long_before) = CallerLimits::split_answer(self.len);
        self.len += bytes;
        let (short, long) = CallerLimits::split_answer(self.len);
        self.limits.pool(MemoryKind::ShortAnswers).take(short - short_before);
        self.limits.pool(MemoryKind::LongAnswers).take(long - long_before);
    }

    /// Takes memory for more of the answer; returns false if there is none, also after a short wait.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let (short_before, long_before) = CallerLimits::split_answer(self.len);
        let (short, long) = CallerLimits::split_answer(self.len.saturating_add(bytes));
        if !self.limits.take_for_answer(MemoryKind::ShortAnswers, short - short_before).await {
            return false;
        }
        if !self.limits.take_for_answer(MemoryKind::LongAnswers, long - long_before).await {
            self.limits.give_back(MemoryKind::ShortAnswers, short - short_before);
            return false;
        }
        self.len += bytes;
        true
    }

    /// Bytes that hold this memory for as long as any part of them is in use.
    pub fn attach<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }

    /// As [`Self::attach`], for bytes that are part of a larger buffer.
    pub(crate) fn attach_piece(self, piece: Bytes) -> Bytes {
        match piece.len() {
            0 => piece,
            1..=MAX_COPIED_LEN => self.attach(piece.to_vec()),
            _ => self.attach(piece),
        }
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        let (short, long) = CallerLimits::split_answer(self.len);
        self.limits.give_back(MemoryKind::ShortAnswers, short);
        self.limits.give_back(MemoryKind::LongAnswers, long);
    }
}
