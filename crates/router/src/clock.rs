//! The node's clocks: one that nothing sets for decisions, wall time for people only.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use streamfold_policy::Moment;

/// Suspensions from this on count; less is what lies between the reading of two clocks.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// The clock of one node. It goes on while its machine is suspended: what callers and other nodes count goes on too,
/// and a request that waited so long must not be passed on with the time that it had before.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    /// By the clock that stands still in a suspension, which timers go by.
    start: Instant,
    /// By the one that does not.
    booted: Duration,
}

/// The time since the machine was started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// How long a machine was suspended, by the time that passed while it was awake and the time that passed in all.
pub fn suspended(awake: Duration, passed: Duration) -> Duration {
    let suspended = passed.saturating_sub(awake);
    if suspended < LEAST_SUSPENSION { Duration::ZERO } else { suspended }
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now(), booted: since_boot() }
    }

    /// How long the machine was suspended since then.
    pub fn suspended(&self) -> Duration {
        let passed = since_boot().saturating_sub(self.booted);
        suspended(self.start.elapsed(), passed)
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::default().plus(self.start.elapsed()).plus(self.suspended())
    }

    /// When a moment is, for timers. Those stand still in a suspension, so what waits for one looks at the clock
    /// when it fires.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let awake = Duration::from_micros(moment.0).saturating_sub(self.suspended());
        tokio::time::Instant::from_std(self.start + awake)
    }
}

/// Wall-clock milliseconds since 1970; orders nothing.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
