//! Limit of calls that a node has in flight at a server.
//!
//! The load pattern: several nodes call one server, which runs a few requests at a time and queues the others in
//! FIFO order. A node can still reorder the calls in its own queue, but not those it has sent.

use std::time::Duration;

use crate::moment::Moment;

/// Calls in flight beyond the slots of a server: one travels to the server while an answer travels back, so that no
/// slot is idle meanwhile.
const EXTRA_CALLS: u32 = 1;
/// Time over which the reported load of other nodes decays linearly to zero: a few service times, in which the server
/// finishes those requests without a newer report.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(100);

/// Load of the other nodes at a server by its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// Their requests, running and queued.
    pub requests: u32,
    /// Time of the report.
    pub reported_at: Moment,
}

impl PeerLoad {
    /// Load of the other nodes, when a server reports `requests` of which `own` are this node's.
    pub fn from_report(now: Moment, requests: u32, own: u32) -> Self {
        Self { requests: requests.saturating_sub(own), reported_at: now }
    }

    fn remaining(self, now: Moment) -> u32 {
        let age = now.since(self.reported_at).as_secs_f64() / PEER_LOAD_LIFETIME.as_secs_f64();
        (f64::from(self.requests) * (1.0 - age).max(0.0)).round() as u32
    }
}

/// Number of calls that this node may have in flight at a server. It is at least one, so that a wrong or outdated
/// report shuts no node out.
pub fn inflight_limit(now: Moment, slots: u32, peer_load: Option<PeerLoad>) -> u32 {
    let peer_load = peer_load.map_or(0, |peer_load| peer_load.remaining(now));
    slots.saturating_add(EXTRA_CALLS).saturating_sub(peer_load).max(1)
}
