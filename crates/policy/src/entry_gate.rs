//! Whether a request that arrives is begun.
//!
//! The load pattern: servers of many shards are slow or gone while callers keep coming, so that not all requests can
//! be answered in time. What is begun in vain takes room from what could be served.

use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;
use crate::priority_level::PriorityLevel;

/// What is known when a request arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryRequest {
    /// Its rank.
    pub priority: Priority,
    /// Its target latency.
    pub target: Duration,
    /// The time it has left.
    pub left: Duration,
    /// How long until enough of its shards are expected to have answered; none where too few have a server that may be
    /// asked. Such a request is not refused as hopeless.
    pub expected: Option<Duration>,
    /// How long calls of its priority wait for a server.
    pub waited: Duration,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryDecision {
    /// It is begun.
    Admit,
    /// It is refused, since it cannot be answered within the time it has left.
    CannotFinish {
        /// Until it could be.
        wait: Duration,
    },
    /// It is refused, since more urgent requests need the room.
    Yield {
        /// Until there may be room.
        wait: Duration,
    },
}

/// Lets requests in or turns them away.
pub trait EntryRule: Send {
    /// What becomes of a request that arrives now.
    fn decide(&mut self, now: Moment, ask: &EntryRequest) -> EntryDecision;
}

/// Begins every request.
#[derive(Debug, Clone, Copy, Default)]
pub struct AdmitAll;

impl EntryRule for AdmitAll {
    fn decide(&mut self, _now: Moment, _ask: &EntryRequest) -> EntryDecision {
        EntryDecision::Admit
    }
}

/// Turns away what cannot be answered in time, and what must give way to more urgent requests.
#[derive(Debug, Clone, Default)]
pub struct EntryGate {
    level: PriorityLevel,
}

impl EntryGate {
    /// The priorities that are let in.
    pub fn level(&self) -> &PriorityLevel {
        &self.level
    }
}

impl EntryRule for EntryGate {
    fn decide(&mut self, now: Moment, ask: &EntryRequest) -> EntryDecision {
        self.level.note(now, ask.priority, ask.target, ask.waited);
        if let Some(expected) = ask.expected.filter(|expected| *expected > ask.left) {
            // Then it would be answered within its target.
            return EntryDecision::CannotFinish { wait: expected.saturating_sub(ask.target) };
        }
        if self.level.is_closed(ask.priority) {
            return EntryDecision::Yield { wait: self.level.time_to_open(now, ask.priority) };
        }
        EntryDecision::Admit
    }
}
