//! How many requests all nodes together send to a cold server.
//!
//! The load pattern: servers that have just started, or went cold, while the traffic goes on. One that
//! gets more than it bears falls over, and its work comes back to the others. The nodes do not agree
//! on who calls when, so the right to call is dealt out: among the owners of the server's failure
//! domain, since they make nearly all calls to it. Nodes elsewhere, and weak ones, go to warm servers.
//! Without it six callers of one server send it 12 calls within a second that bears 8 (real processes).

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;
use crate::owner::choose_owners;

/// The share of the bound that is dealt out; the rest is for moments in which two nodes count the
/// owners differently: one owner more or less among four.
const DEALT_SHARE: f64 = 0.8;
/// The window in which calls are counted: the second of the bound, and a tenth for calls that take
/// longer on their way than others.
const COUNT_WINDOW: Duration = Duration::from_millis(1_100);
/// A node that runs for less may not know the others yet and calls no cold server: at the first start
/// of all nodes they register for a second and then look around.
const LEAST_UPTIME: Duration = Duration::from_secs(3);

/// What a cold server bears from everybody.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests a second, as declared for its service.
    pub rate: f64,
    /// How often that many are allowed.
    pub excess: f64,
    /// How many more are allowed in any second.
    pub allowance: f64,
}

impl ColdBound {
    /// Requests that all nodes together may send it in any second.
    pub fn total(self) -> f64 {
        self.rate * self.excess + self.allowance
    }
}

/// Calls a second that a node may make to a cold server, where `owners` are the names of the nodes
/// among which the bound is dealt. Where it does not go up, the first by weight have one more.
pub fn cold_call_quota<'a>(bound: ColdBound, owners: &'a [&'a str], node: &str, server: &str) -> u32 {
    if !owners.contains(&node) {
        return 0;
    }
    let calls = (bound.total() * DEALT_SHARE) as usize;
    let first = choose_owners(owners.iter().copied(), server, calls % owners.len());
    (calls / owners.len() + usize::from(first.contains(&node))) as u32
}

/// Calls of this node to one server while it is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdCalls {
    made: VecDeque<Moment>,
}

impl ColdCalls {
    /// Whether one more call fits, where `most` a second are this node's part; moments count from the
    /// start of the node.
    pub fn has_capacity(&self, now: Moment, most: u32) -> bool {
        let recent = self.made.iter().filter(|made| now.since(**made) < COUNT_WINDOW).count();
        now >= Moment::default().plus(LEAST_UPTIME) && recent < most as usize
    }

    /// Takes one call if it fits.
    pub fn take(&mut self, now: Moment, most: u32) -> bool {
        let has_capacity = self.has_capacity(now, most);
        if has_capacity {
            self.made.retain(|made| now.since(*made) < COUNT_WINDOW);
            self.made.push_back(now);
        }
        has_capacity
    }
}
