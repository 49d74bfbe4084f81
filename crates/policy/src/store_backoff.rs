//! Backoff after calls that the platform's store refused.
//!
//! The load pattern is a store that is unavailable or breaks every connection for seconds, while each of hundreds of
//! nodes loses its reader and calls the store directly.

use std::time::Duration;

/// First and longest delay of the first node of a failure domain. It is soon enough if that node notices the recovery
/// of the store within a second.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const LONGEST_DELAY: Duration = Duration::from_millis(800);
/// Increase of the first and of the longest delay with each rank. Nodes that rank before this one call the store for
/// all, and this node probes for a reader among them in the meantime.
const FIRST_STEP: Duration = Duration::from_millis(400);
const LONGEST_STEP: Duration = Duration::from_millis(600);
/// Longest delay of any node, since it may be the only one that the store does not reject.
const LONGEST_OF_ALL: Duration = Duration::from_secs(3);
/// Maximum number of doublings of the first delay.
const MAX_DOUBLINGS: u32 = 6;

/// The delay after `failures` consecutive refused calls. `rank` is the rank of the node in its failure domain, 0 if the
/// nodes do not share readers.
pub fn backoff_delay(failures: u32, rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let longest = LONGEST_DELAY.saturating_add(LONGEST_STEP.saturating_mul(rank)).min(LONGEST_OF_ALL);
    let first = FIRST_DELAY.saturating_add(FIRST_STEP.saturating_mul(rank));
    first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(longest)
}
