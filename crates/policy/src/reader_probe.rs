//! Schedule by which a node that reads the platform's store directly probes for a reader to follow.
//!
//! The load pattern is a store outage after which each of hundreds of nodes calls the store to find out whether it has
//! recovered, although nodes that rank before it in its failure domain have already been answered.

use std::time::Duration;

/// Delay before the first probe, doubled with each failed probe, and the longest delay. Many nodes that lose their
/// reader together read the store directly for a moment.
const FIRST_DELAY: Duration = Duration::from_millis(500);
const MAX_DELAY: Duration = Duration::from_secs(3);
/// Longest delay while the store refuses calls: nodes that rank before this one call the store more often and may have
/// been answered.
const MAX_DELAY_WHILE_REFUSED: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the first delay.
const MAX_DOUBLINGS: u32 = 8;

/// How long a call to a store that refused the previous one waits for a reader probe. A reader accepts or refuses
/// within a few milliseconds, and an unresponsive reader must not delay the store call noticeably.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether the node with the given rank in its failure domain probes for a reader before it calls a store that refused
/// its last call. The first node has no reader.
pub fn is_probe_first(rank: usize) -> bool {
    rank > 0
}

/// The delays between probes for a reader.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeSchedule {
    probes: u32,
    was_refused: bool,
}

impl ProbeSchedule {
    /// The delay before the next probe. The schedule restarts when the store accepts calls again, since nodes that
    /// rank before this one are about to read it.
    pub fn next_delay(&mut self, is_refused: bool) -> Duration {
        if self.was_refused && !is_refused {
            self.probes = 0;
        }
        self.was_refused = is_refused;
        let longest = if is_refused { MAX_DELAY_WHILE_REFUSED } else { MAX_DELAY };
        let delay = FIRST_DELAY.saturating_mul(1 << self.probes).min(longest);
        self.probes = (self.probes + 1).min(MAX_DOUBLINGS);
        delay
    }
}
