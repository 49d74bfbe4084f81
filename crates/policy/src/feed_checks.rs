//! When a node asks the platform's store whether it has missed a change of a topic.
//!
//! A watch (long poll) that is lost without an error looks like one that waits for changes. So each topic has a time
//! within which its changes must be known, and a node that could not confirm the topic for half of it asks the store
//! with a short call. The store numbers all changes with one revision, so while nothing changes one answer confirms all
//! topics, and a topic that rarely changes costs few calls: the load pattern is a day without changes, on which each
//! reader would otherwise renew the watch of every topic every few seconds.

use std::time::Duration;

/// Longest wait of a watch, which is the maximum that the store allows.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Wait of a check in the store, the shortest that it takes: the answer is wanted at once.
pub const CHECK_WAIT: Duration = Duration::from_millis(1);

/// The age at which a node that reads the store checks a topic, as a fraction of the time within which changes must be
/// known. The rest is for checks that are lost as well.
const CHECK_SHARE: f64 = 0.5;
/// How long a check may be unanswered until another one is made, as the same fraction. It leaves time for three checks
/// after the first.
const REPEAT_SHARE: f64 = 0.125;
/// How much later the topic of the next rank is checked, as the same fraction, so that the answer to one check arrives
/// before the other topics, which it may confirm, are checked.
const RANK_SHARE: f64 = 0.03125;
/// The age at which a node that follows another one reads the topic from the store itself, as the same fraction. It is
/// more than the reader and the messages between them need if one check is lost.
const FOLLOWER_SHARE: f64 = 0.75;
/// How long a listing may be unanswered until it is requested once more, as the same fraction. A listing is longer than
/// a check.
const RELIST_SHARE: f64 = 0.25;

/// The times of the checks of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckSchedule {
    /// The time within which changes of the topic must be known.
    pub known_within: Duration,
    /// The place of the topic in the order in which topics are checked.
    pub rank: u32,
}

impl CheckSchedule {
    /// The age of the knowledge at which a node that reads the store checks the topic.
    pub fn check_age(&self) -> Duration {
        self.known_within.mul_f64(CHECK_SHARE + RANK_SHARE * f64::from(self.rank))
    }

    /// How long a check may be unanswered until another one is made.
    pub fn repeat_after(&self) -> Duration {
        self.known_within.mul_f64(REPEAT_SHARE)
    }

    /// How long a listing may be unanswered until it is requested once more.
    pub fn relist_after(&self) -> Duration {
        self.known_within.mul_f64(RELIST_SHARE)
    }

    /// The age of the knowledge at which a node that follows another one reads the topic from the store itself.
    pub fn follower_age(&self) -> Duration {
        self.known_within.mul_f64(FOLLOWER_SHARE)
    }

    /// Whether knowledge of this age may lack a change that must be known.
    pub fn is_overdue(&self, age: Duration) -> bool {
        age >= self.known_within
    }
}
