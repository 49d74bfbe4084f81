//! Load shedding on arrival: whether a request is admitted or refused before anything is sent.
//!
//! The load pattern: servers of many shards are slow or gone while requests keep arriving, so that not all can be
//! answered in time. Requests that cannot finish in time would take capacity from those that can.

use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;
use crate::priority_level::PriorityLevel;

/// What is known about a request on arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryRequest {
    /// Its priority.
    pub priority: Priority,
    /// Its target latency.
    pub target: Duration,
    /// The time left until its deadline.
    pub left: Duration,
    /// Expected time until enough of its shards have answered; `None` if too few shards have a server that may be
    /// called. Such a request is not refused as one that cannot finish in time.
    pub expected: Option<Duration>,
    /// How long calls of its priority wait for a server.
    pub waited: Duration,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryDecision {
    /// The request is admitted.
    Admit,
    /// The request is refused because it cannot be answered before its deadline.
    CannotFinish {
        /// Time after which it could be answered within its target latency.
        wait: Duration,
    },
    /// The request is refused because more urgent requests need the capacity.
    Yield {
        /// Time after which there may be capacity.
        wait: Duration,
    },
}

/// A rule that admits or refuses requests on arrival.
pub trait EntryRule: Send {
    /// Decides on a request that arrives now.
    fn decide(&mut self, now: Moment, request: &EntryRequest) -> EntryDecision;
}

/// Admits every request.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdmitAll;

impl EntryRule for AdmitAll {
    fn decide(&mut self, _now: Moment, _request: &EntryRequest) -> EntryDecision {
        EntryDecision::Admit
    }
}

/// Refuses requests that cannot be answered in time, and those that must yield to more urgent ones.
#[derive(Debug, Clone, Default)]
pub struct EntryGate {
    level: PriorityLevel,
}

impl EntryGate {
    /// The admitted priorities.
    pub fn level(&self) -> &PriorityLevel {
        &self.level
    }
}

impl EntryRule for EntryGate {
    fn decide(&mut self, now: Moment, request: &EntryRequest) -> EntryDecision {
        self.level.note(now, request.priority, request.target, request.waited);
        if let Some(expected) = request.expected.filter(|expected| *expected > request.left) {
            // After this wait it would be answered within its target latency.
            return EntryDecision::CannotFinish { wait: expected.saturating_sub(request.target) };
        }
        if self.level.is_closed(request.priority) {
            return EntryDecision::Yield { wait: self.level.time_to_open(now, request.priority) };
        }
        EntryDecision::Admit
    }
}
