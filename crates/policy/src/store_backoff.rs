//! How long a node waits after a call that the platform's store did not take.
//!
//! The load pattern: the store is away for seconds, or breaks every connection, and each of hundreds of nodes loses its
//! reader and asks the store by itself.

use std::time::Duration;

/// The pause of the first node of a failure domain after its first refused call, and its longest: that it finds the
/// store back within a second is soon enough.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// By so much the first and the longest pause grow with each rank: nodes before this one ask for all, and it looks for a
/// reader among them meanwhile.
const FIRST_STEP: Duration = Duration::from_millis(400);
const LONGEST_STEP: Duration = Duration::from_millis(600);
/// The longest pause of any node, which may be the only one that the store does not turn away.
const LONGEST_OF_ALL: Duration = Duration::from_secs(3);
/// Doublings of the first pause.
const MAX_DOUBLINGS: u32 = 6;

/// The pause after so many refused calls in a row, at the node of a rank in its failure domain: 0 where the nodes do
/// not share a reader.
pub fn backoff_delay(failures: u32, rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let longest = LONGEST_PAUSE.saturating_add(LONGEST_STEP.saturating_mul(rank)).min(LONGEST_OF_ALL);
    let first = FIRST_PAUSE.saturating_add(FIRST_STEP.saturating_mul(rank));
    first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(longest)
}
