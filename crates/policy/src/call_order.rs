//! In which order calls that wait for a server are made.
//!
//! The load pattern: calls for a shard whose servers are all at work, of routes and teams that differ in priority,
//! rate and target latency.

use streamfold_model::{Priority, TeamName};

use crate::moment::Moment;

/// A call that waits for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingCall {
    /// The rank of its request.
    pub priority: Priority,
    /// The team of its request, where callers have keys.
    pub team: Option<TeamName>,
    /// When it began to wait.
    pub joined: Moment,
    /// The latest start that still makes its target latency.
    pub latest_start: Moment,
    /// When it is worth nothing any more.
    pub expires: Moment,
}

/// The place of a waiting call: the least goes first. The fields count in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallRank {
    /// Its priority, raised by age.
    pub priority: Priority,
    /// The turn of its team.
    pub turn: u64,
    /// The latest start that still makes its target latency.
    pub latest_start: Moment,
}

/// Gives waiting calls their places.
pub trait CallOrder: Send {
    /// The place of a call that begins to wait, or waits still.
    fn rank(&mut self, now: Moment, call: &WaitingCall) -> CallRank;

    /// Notes that a call was made, so that its team's next one has a later turn.
    fn note_made(&mut self, now: Moment, call: &WaitingCall);
}
