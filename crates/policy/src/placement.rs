//! Decides which nodes query the shards of a request: the owner nodes of a failure domain, and the number of
//! batches for them.
//!
//! The load pattern is a fleet of hundreds of nodes, a few of them several times as powerful as the others, with
//! requests to hundreds of shards. A weak node alone takes seconds per request: it has neither connections
//! to the servers nor statistics about them, and its processor needs as long as an answer may take. The strong
//! nodes of a failure domain see the whole traffic of the servers there.

use std::time::Duration;

use streamfold_model::CoreShare;

/// Processor time of one call to a server on a full core: the slope of the lab's linear fit over the server count.
const CALL_CPU_TIME: Duration = Duration::from_micros(48);
/// Processor time of a batch in addition to its calls, the same at the sender and at the receiver: the difference
/// between the intercepts of the lab's fits with two hops and with one hop.
const BATCH_CPU_TIME: Duration = Duration::from_micros(89);
/// The part of a request's target latency that the calls of one batch may spend on the processor. The servers
/// need most of the rest.
const BATCH_LATENCY_SHARE: f64 = 0.06;
/// Near shards are delegated only if that takes less than this fraction of the local time: the costs are estimates,
/// and each hop is one more point of failure.
const DELEGATION_THRESHOLD: f64 = 0.7;
/// Nodes with at least this fraction of the CPU share of the strongest node in their failure domain are owners there.
/// A batch takes at most twice as long at one owner as at another.
const OWNER_CPU_RATIO: f64 = 0.5;

/// Whether a node is an owner in its failure domain, given the CPU share of the strongest node there. If no node
/// reports its CPU share, all nodes are owners.
pub fn is_owner(cpu_share: Option<CoreShare>, strongest: Option<CoreShare>) -> bool {
    let share = |cpu_share: Option<CoreShare>| cpu_share.map_or(0.0, |cpu_share| f64::from(cpu_share.0));
    share(cpu_share) >= share(strongest) * OWNER_CPU_RATIO
}

/// Processor time of a batch of `shards` shards at the receiving node, on a full core.
pub fn batch_cpu_time(shards: usize) -> Duration {
    BATCH_CPU_TIME + CALL_CPU_TIME * shards as u32
}

/// The owner nodes that may query the shards of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerGroup {
    /// Number of owners.
    pub count: usize,
    /// CPU share of the weakest owner.
    pub cpu_share: CoreShare,
}

impl OwnerGroup {
    /// The number of batches for `shards` shards and a target latency of `target`.
    pub fn count_batches(&self, shards: usize, target: Duration) -> usize {
        let call = self.cpu_share.time_for(CALL_CPU_TIME).as_secs_f64();
        let max_shards = (target.as_secs_f64() * BATCH_LATENCY_SHARE / call).max(1.0);
        let batches = (shards as f64 / max_shards).ceil() as usize;
        batches.clamp(1, self.count.max(1))
    }

    /// Whether delegating near shards to these owners is faster than querying them from a node with the CPU share `own`.
    pub fn is_delegation_faster(&self, shards: usize, target: Duration, own: CoreShare) -> bool {
        let batches = self.count_batches(shards, target) as u32;
        let largest = (shards as u32).div_ceil(batches);
        let local = own.time_for(CALL_CPU_TIME * shards as u32);
        let sending = own.time_for(BATCH_CPU_TIME * batches);
        let delegated = sending + self.cpu_share.time_for(batch_cpu_time(largest as usize));
        self.count > 0 && delegated < local.mul_f64(DELEGATION_THRESHOLD)
    }
}
