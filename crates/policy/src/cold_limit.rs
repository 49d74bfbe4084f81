//! Rate limit for calls of all nodes together to a cold server.
//!
//! The load pattern: servers have just started, or went cold, while the traffic goes on. A server that gets more than
//! it can handle fails, and its work returns to the others. The nodes do not coordinate each call, so the rate is
//! divided among the owners of the server's failure domain, which make nearly all calls to it. Nodes elsewhere and weak
//! nodes call warm servers only. Without the limit, six callers of one server send 12 calls within a second to a server
//! that can handle 8.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;
use crate::owner::choose_owners;

/// Share of the bound that is divided among the owners. The rest covers times at which two nodes see different sets of
/// owners: one owner more or less among four.
const DIVIDED_SHARE: f64 = 0.8;
/// Window in which calls are counted: the second of the bound, and a tenth more because network delays differ between
/// calls.
const COUNT_WINDOW: Duration = Duration::from_millis(1_100);
/// Uptime from which a node calls cold servers. Before that it may not know the other nodes yet: at the first start of
/// all nodes, they register for a second and then discover each other.
const MIN_UPTIME: Duration = Duration::from_secs(3);

/// Rate that a cold server can handle from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests per second declared for its service.
    pub rate: f64,
    /// Factor on the declared rate.
    pub excess: f64,
    /// Additional requests allowed in any second.
    pub allowance: f64,
}

impl ColdBound {
    /// Requests that all nodes together may send to the server in any second.
    pub fn total(self) -> f64 {
        self.rate * self.excess + self.allowance
    }
}

/// Calls per second that a node may make to a cold server. The bound is divided among `owners`, the names of nodes; the
/// remainder goes to the first owners by weight, one call each. Other nodes get none.
pub fn cold_call_quota<'a>(bound: ColdBound, owners: &'a [&'a str], node: &str, server: &str) -> u32 {
    if !owners.contains(&node) {
        return 0;
    }
    let calls = (bound.total() * DIVIDED_SHARE) as usize;
    let first = choose_owners(owners.iter().copied(), server, calls % owners.len());
    (calls / owners.len() + usize::from(first.contains(&node))) as u32
}

/// Sliding-window count of this node's calls to one cold server.
#[derive(Debug, Clone, Default)]
pub struct ColdCalls {
    recent: VecDeque<Moment>,
}

impl ColdCalls {
    /// Whether another call fits into this node's `quota` of calls per second. Moments count from the start of
    /// the node.
    pub fn has_capacity(&self, now: Moment, quota: u32) -> bool {
        let recent = self.recent.iter().filter(|call| now.since(**call) < COUNT_WINDOW).count();
        now >= Moment::default().plus(MIN_UPTIME) && recent < quota as usize
    }

    /// Counts a call if it fits into the quota; false if it does not.
    pub fn take(&mut self, now: Moment, quota: u32) -> bool {
        let has_capacity = self.has_capacity(now, quota);
        if has_capacity {
            self.recent.retain(|call| now.since(*call) < COUNT_WINDOW);
            self.recent.push_back(now);
        }
        has_capacity
    }
}
