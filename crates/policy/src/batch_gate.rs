//! Whether a node takes shards that another node hands to it.
//!
//! The load pattern: many weak nodes hand their shards to a few strong ones, whose processor is all
//! that is scarce, in a burst or after others of them were lost. What waits behind other work for
//! long comes too late, while the node that asked could have turned to another or begun itself.

use std::time::Duration;

use streamfold_model::CoreShare;

use crate::moment::Moment;
use crate::placement::batch_cpu_time;

/// The part of the time until its reply is wanted that a batch may wait behind other work: its
/// servers need most of the rest, and a node that is refused needs time to turn to another.
const MAX_WAIT_SHARE: f64 = 0.2;

/// The work that a node has taken, as the time at which its processor has done it.
#[derive(Debug, Clone, Copy, Default)]
pub struct BatchGate {
    done_at: Moment,
}

impl BatchGate {
    /// Takes a batch of so many shards whose reply is wanted within a time.
    ///
    /// # Errors
    /// How long it would wait, where that is too long: it is not taken.
    pub fn admit(&mut self, now: Moment, shards: usize, power: CoreShare, within: Duration) -> Result<(), Duration> {
        let wait = self.done_at.since(now);
        if wait > within.mul_f64(MAX_WAIT_SHARE) {
            return Err(wait);
        }
        self.done_at = now.plus(wait + power.time_for(batch_cpu_time(shards)));
        Ok(())
    }
}
