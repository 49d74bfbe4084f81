//! When a node that follows the platform's store by itself looks for a reader.
//!
//! The load pattern: the store was away, and each of hundreds of nodes asks for itself whether it is back, while those
//! before it in its failure domain have been answered already.

use std::time::Duration;

/// How soon a node that follows the store looks for a reader, doubled with each look in vain, and how often at least:
/// many nodes that lost their reader together follow the store for a moment.
const FIRST_LOOK: Duration = Duration::from_millis(500);
const LOOK_EVERY: Duration = Duration::from_secs(3);
/// How often at least while the store refuses calls: those before it ask the store more often, and may have been
/// answered.
const LOOK_WHILE_REFUSED: Duration = Duration::from_millis(500);
/// Doublings of the first pause.
const MAX_DOUBLINGS: u32 = 8;

/// How long a call to a store that refused the last one waits for a look: a reader begins, or refuses, within a few
/// milliseconds, and the store is not to be asked noticeably later for one that is silent.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether the node of a rank in its failure domain looks for a reader before it asks a store that refused its last
/// call: the first has none.
pub fn is_probe_first(rank: usize) -> bool {
    rank > 0
}

/// The pauses between looks for a reader.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeSchedule {
    looks: u32,
    was_refused: bool,
}

impl ProbeSchedule {
    /// The pause before the next look. Looks begin anew when the store takes calls again: those before this node are
    /// about to follow it.
    pub fn next_pause(&mut self, is_refused: bool) -> Duration {
        if self.was_refused && !is_refused {
            self.looks = 0;
        }
        self.was_refused = is_refused;
        let longest = if is_refused { LOOK_WHILE_REFUSED } else { LOOK_EVERY };
        let pause = FIRST_LOOK.saturating_mul(1 << self.looks).min(longest);
        self.looks = (self.looks + 1).min(MAX_DOUBLINGS);
        pause
    }
}
