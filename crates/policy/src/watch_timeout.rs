//! How long a watch waits in the platform's store, so that topics that rarely change cost few calls.
//!
//! The load pattern: each reader asks for every topic every few seconds on a calm day, because a connection that falls
//! silent for good must be found. The store counts all changes by one number. While that number stands still nothing
//! can have been missed, and one watch that is renewed often tells the others that it does.

use std::time::Duration;

/// The longest that a watch waits: the store allows no more.
pub const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What a watch that is about to begin has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchProgress {
    /// The number of the last change that the topic is known up to.
    pub topic_revision: u64,
    /// The number of the last change of which any answer of the store told.
    pub store_revision: u64,
    /// How long a watch may be silent where something may have changed.
    pub silence_within: Duration,
}

/// How long a watch waits that relies on another one, which is renewed after `silence_within`.
pub fn choose_wait(ask: &WatchProgress) -> Duration {
    if is_overdue(ask, ask.silence_within) { ask.silence_within } else { LONGEST_WAIT }
}

/// Whether a watch of some age is to be begun anew: something has changed that it did not tell of, and its connection
/// may have fallen silent.
pub fn is_overdue(ask: &WatchProgress, age: Duration) -> bool {
    ask.store_revision > ask.topic_revision && age >= ask.silence_within
}
