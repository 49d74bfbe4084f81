//! How many calls a node may have out at a server.
//!
//! The load pattern: several nodes call one server, which works on a few requests at a time and queues the others first
//! come first served. What a node holds back it can still put in order; what it sends it cannot.

use std::time::Duration;

use crate::moment::Moment;

/// Calls beyond the slots of a server: one that is on its way while an answer comes back, so that no slot is idle
/// meanwhile.
const LEAD: u32 = 1;
/// Within this time what others had at a server counts evenly less, down to nothing: a few service times, in which it
/// has worked them off and told nothing newer.
const OTHERS_LIFE: Duration = Duration::from_millis(100);

/// What others had at a server when it last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLoad {
    /// Their requests, running and waiting.
    pub requests: u32,
    /// When it told.
    pub told: Moment,
}

impl PeerLoad {
    /// What others have there, where a server tells of so many requests and so many of them are this node's.
    pub fn learn(now: Moment, requests: u32, own: u32) -> Self {
        Self { requests: requests.saturating_sub(own), told: now }
    }

    fn left(self, now: Moment) -> u32 {
        let age = now.since(self.told).as_secs_f64() / OTHERS_LIFE.as_secs_f64();
        (f64::from(self.requests) * (1.0 - age).max(0.0)).round() as u32
    }
}

/// How many calls this node may have out at a server with so many slots; always one at least, so that what was told
/// wrongly, or long ago, shuts nobody out.
pub fn inflight_limit(now: Moment, slots: u32, others: Option<PeerLoad>) -> u32 {
    let others = others.map_or(0, |others| others.left(now));
    slots.saturating_add(LEAD).saturating_sub(others).max(1)
}
