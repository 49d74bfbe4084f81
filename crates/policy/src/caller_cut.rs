//! Which connection is closed when callers together hold more connections or memory than a node has for them.
//!
//! The load pattern is a crowd of callers that keep what they hold: they open connections and send nothing, send heads
//! and bodies that never end, or read long answers slowly. A node that closed no connection would have no room for the
//! callers that behave. Nothing is closed while there is room.

use std::time::Duration;

use crate::Moment;

/// How long an answer may be on its way before it counts as read slowly. A caller that reads as fast as its link carries
/// has the longest answer sooner.
pub const MIN_SEND_TIME: Duration = Duration::from_secs(1);
/// How long the body of a request may be on its way before it counts as sent slowly.
const MIN_RECEIVE_TIME: Duration = Duration::from_secs(1);

/// What a caller's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerPhase {
    /// It has carried no complete request head yet.
    Unused,
    /// All its requests were answered. The head of the next one may be on its way.
    Idle,
    /// The body of a request is on its way.
    Receiving,
    /// An answer is on its way.
    Sending,
    /// A request is being served.
    Serving,
}

/// What a caller's connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerHolding {
    /// What it is doing.
    pub phase: CallerPhase,
    /// Since when.
    pub since: Moment,
    /// The memory that it holds of the kind that is short, in bytes.
    pub bytes: usize,
}

impl CallerHolding {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.since)
    }

    /// Whether it may be closed for the sake of another connection. A request that is being served never is.
    fn may_yield_connection(&self, now: Moment) -> bool {
        match self.phase {
            CallerPhase::Unused | CallerPhase::Idle => true,
            CallerPhase::Receiving => self.age(now) >= MIN_RECEIVE_TIME,
            CallerPhase::Sending => self.age(now) >= MIN_SEND_TIME,
            CallerPhase::Serving => false,
        }
    }

    /// Whether it may be closed for the memory that it holds. A request that has no memory for its body can be refused
    /// instead, so young bodies are not closed; one whose head is not complete cannot.
    fn may_yield_memory(&self, now: Moment) -> bool {
        self.bytes > 0 && self.may_yield_connection(now)
    }

    /// The memory that it holds, times how long it has held it.
    fn occupancy(&self, now: Moment) -> u128 {
        self.bytes as u128 * (self.age(now).as_micros() + 1)
    }
}

/// Chooses the connection to close so that another caller can connect: first one that was never used, then one that
/// rests, then one whose body or answer is on its way; of these the one that has done so for longest.
pub fn choose_for_connection<K>(now: Moment, holdings: impl IntoIterator<Item = (K, CallerHolding)>) -> Option<K> {
    let candidates = holdings.into_iter().filter(|(_, holding)| holding.may_yield_connection(now));
    candidates.min_by_key(|(_, holding)| (holding.phase, holding.since)).map(|(connection, _)| connection)
}

/// Chooses the connection to close for the memory that it holds: the one that holds most for longest.
pub fn choose_for_memory<K>(now: Moment, holdings: impl IntoIterator<Item = (K, CallerHolding)>) -> Option<K> {
    let candidates = holdings.into_iter().filter(|(_, holding)| holding.may_yield_memory(now));
    candidates.max_by_key(|(_, holding)| holding.occupancy(now)).map(|(connection, _)| connection)
}
