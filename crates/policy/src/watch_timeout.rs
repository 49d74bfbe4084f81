//! Timeouts of watches (long polls) in the platform's store, chosen so that topics that rarely change cost few calls.
//!
//! The load pattern is a day with few changes, on which each reader would renew the watch of every topic every few
//! seconds, because it must detect a dead connection. The store numbers all changes with one revision. While the
//! revision stays the same, no watch can have missed a change, and one watch that is renewed often reports the
//! revision for the others.

use std::time::Duration;

/// Longest timeout of a watch, which is the maximum that the store allows.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(30);

/// The state from which the timeout of a new watch is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchProgress {
    /// Revision up to which the topic is known.
    pub topic_revision: u64,
    /// Latest revision reported by any response of the store.
    pub store_revision: u64,
    /// How long a watch may stay silent if it may have missed a change.
    pub silence_within: Duration,
}

/// The timeout of a watch that relies on another one, which is renewed every `silence_within`.
pub fn choose_timeout(progress: &WatchProgress) -> Duration {
    if is_overdue(progress, progress.silence_within) { progress.silence_within } else { MAX_TIMEOUT }
}

/// Whether a watch of the given age must be renewed: the store has a newer revision than the watch has reported, and
/// its connection may be dead.
pub fn is_overdue(progress: &WatchProgress, age: Duration) -> bool {
    progress.store_revision > progress.topic_revision && age >= progress.silence_within
}
