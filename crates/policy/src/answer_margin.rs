//! How long before its target an answer over shards is decided, so that it arrives in time.
//!
//! The load pattern: answers of hundreds of shards at nodes of an eighth of a core. What is fixed is
//! the caller's way and the lateness of timers; the rest is processor time that grows with the
//! shards: reading replies, folding them, writing their proofs.

use std::time::Duration;

use streamfold_model::CoreShare;

/// The way from and to the caller (up to 3 ms each), and timers that fire late.
const FIXED: Duration = Duration::from_millis(11);
/// Processor time of an answer, on a whole core, and of each of its shards: on an eighth of a core 180 shards take
/// longer than any fixed margin that a stronger node could afford.
const ANSWER_WORK: Duration = Duration::from_micros(150);
const SHARD_WORK: Duration = Duration::from_micros(4);
/// The margin of a node whose processor is not known.
const UNKNOWN_POWER: Duration = Duration::from_millis(12);

/// How long before the target an answer of so many shards is decided at a node.
pub fn answer_margin(shards: usize, power: Option<CoreShare>) -> Duration {
    let work = ANSWER_WORK + SHARD_WORK * shards as u32;
    power.map_or(UNKNOWN_POWER, |power| FIXED + power.time_for(work))
}
