//! Where the shards of a request are queried: which nodes of a failure domain do so for the others,
//! and how many batches its shards make.
//!
//! The load pattern: hundreds of nodes, a few of them several times as strong as the others, and
//! requests to hundreds of shards. Each weak node takes a request in seconds: it has neither
//! connections nor beliefs of servers, and its processor needs as long as an answer may take. The
//! strong nodes of a failure domain see the whole traffic of its servers.

use std::time::Duration;

use streamfold_model::CoreShare;

/// Processor time of a call to a server, on a whole core: slope of the lab's fit by servers.
const CALL_WORK: Duration = Duration::from_micros(48);
/// Processor time of a batch beyond its calls, at the node that sends it and at the one that has it
/// in equal parts: difference of the lab's intercepts with two hops and with one.
const BATCH_WORK: Duration = Duration::from_micros(89);
/// The part of a request's target latency that the calls of one batch may take of the processor:
/// the servers need most of the rest.
const BATCH_SHARE: f64 = 0.06;
/// Shards near a node are handed on where that takes less than this part of what they take here;
/// the figures are estimates, and each hop is one more that may fail.
const HANDING_SHARE: f64 = 0.7;
/// Nodes at least so strong, relative to the strongest of their failure domain, are its owners. A
/// batch takes no more than twice as long at one as at another.
const OWNER_SHARE: f64 = 0.5;

/// Whether a node is an owner in a failure domain whose strongest node is known. Where powers are
/// not told all nodes are.
pub fn is_owner(power: Option<CoreShare>, strongest: Option<CoreShare>) -> bool {
    let share = |power: Option<CoreShare>| power.map_or(0.0, |power| f64::from(power.0));
    share(power) >= share(strongest) * OWNER_SHARE
}

/// Processor time of a batch of so many shards at the node that has it, on a whole core.
pub fn batch_work(shards: usize) -> Duration {
    BATCH_WORK + CALL_WORK * shards as u32
}

/// Nodes that may be given shards of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerGroup {
    /// How many there are.
    pub count: usize,
    /// The processor that the weakest of them has.
    pub power: CoreShare,
}

impl OwnerGroup {
    /// The batches that so many shards make, where an answer is wanted within `target`.
    pub fn count_batches(&self, shards: usize, target: Duration) -> usize {
        let call = self.power.time_for(CALL_WORK).as_secs_f64();
        let most = (target.as_secs_f64() * BATCH_SHARE / call).max(1.0);
        let batches = (shards as f64 / most).ceil() as usize;
        batches.clamp(1, self.count.max(1))
    }

    /// Whether shards near a node of a power are better handed to these than asked for by itself.
    pub fn is_worth_asking(&self, shards: usize, target: Duration, own: CoreShare) -> bool {
        let batches = self.count_batches(shards, target) as u32;
        let largest = (shards as u32).div_ceil(batches);
        let alone = own.time_for(CALL_WORK * shards as u32);
        let sending = own.time_for(BATCH_WORK * batches);
        let handed = sending + self.power.time_for(batch_work(largest as usize));
        self.count > 0 && handed < alone.mul_f64(HANDING_SHARE)
    }
}
