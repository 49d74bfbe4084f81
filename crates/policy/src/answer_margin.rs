//! The margin before its target latency at which an answer over shards is completed, so that it arrives in time.
//!
//! The load pattern: answers over hundreds of shards at nodes with an eighth of a core. The network path to the caller
//! and the lateness of timers are fixed; the rest is processor time that grows with the number of shards: reading the
//! replies, folding them and writing their proofs.

use std::time::Duration;

use streamfold_model::CoreShare;

/// The network path from and to the caller (up to 3 ms each way), and the lateness of timers.
const FIXED_MARGIN: Duration = Duration::from_millis(11);
/// Processor time of an answer on a whole core, and of each of its shards. It is counted per shard because 180 shards
/// on an eighth of a core take longer than any fixed margin that a stronger node could afford.
const ANSWER_WORK: Duration = Duration::from_micros(150);
const SHARD_WORK: Duration = Duration::from_micros(4);
/// The margin of a node whose CPU share is unknown.
const UNKNOWN_CPU_MARGIN: Duration = Duration::from_millis(12);

/// How long before its target latency a node completes an answer over `shards` shards.
pub fn answer_margin(shards: usize, cpu_share: Option<CoreShare>) -> Duration {
    let work = ANSWER_WORK + SHARD_WORK * shards as u32;
    cpu_share.map_or(UNKNOWN_CPU_MARGIN, |cpu_share| FIXED_MARGIN + cpu_share.time_for(work))
}
