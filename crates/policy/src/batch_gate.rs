//! Load shedding for batches: whether a node accepts shards that another node delegates to it.
//!
//! The load pattern: many weak nodes delegate their shards to a few strong ones, whose processor is the only scarce
//! resource, in a burst or after some of the strong nodes were lost. A batch that waits long behind other work is
//! answered too late, while the delegating node could have chosen another node or started the work itself.

use std::time::Duration;

use streamfold_model::CoreShare;

use crate::moment::Moment;
use crate::placement::batch_cpu_time;

/// Maximum wait of a batch behind other work, as a share of the time within which its reply is wanted. Its servers need
/// most of the rest, and a node that is refused needs time to choose another one.
const MAX_WAIT_SHARE: f64 = 0.2;

/// The accepted work of a node, as the time at which its processor will have finished it.
#[derive(Debug, Clone, Copy, Default)]
pub struct BatchGate {
    busy_until: Moment,
}

impl BatchGate {
    /// Accepts a batch of `shards` shards whose reply is wanted within a time, on a node with this CPU share.
    ///
    /// # Errors
    /// The batch is not accepted because it would wait too long; the error is that wait.
    pub fn admit(
        &mut self,
        now: Moment,
        shards: usize,
        cpu_share: CoreShare,
        within: Duration,
    ) -> Result<(), Duration> {
        let wait = self.busy_until.since(now);
        if wait > within.mul_f64(MAX_WAIT_SHARE) {
            return Err(wait);
        }
        self.busy_until = now.plus(wait + cpu_share.time_for(batch_cpu_time(shards)));
        Ok(())
    }
}
