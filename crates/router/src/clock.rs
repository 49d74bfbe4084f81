//! The clocks of the node: a monotonic clock for decisions, and wall-clock time for display only.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use streamfold_policy::Moment;

/// Minimum length of a suspension. Shorter differences are the time between the two clock readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// The monotonic clock of one node. It continues while the machine is suspended, since the clocks of callers and other
/// nodes continue as well: a request that was suspended with the machine must not be forwarded with its former
/// remaining time.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    /// Start of the clock on the system clock that stops during a suspension, which timers use.
    start: Instant,
    /// Start of the clock on the system clock that includes suspensions.
    boot_time: Duration,
}

/// The time since boot, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// How long a machine was suspended, from the time it was awake and the total time that passed.
pub fn suspended(awake: Duration, passed: Duration) -> Duration {
    let suspended = passed.saturating_sub(awake);
    if suspended < MIN_SUSPENSION { Duration::ZERO } else { suspended }
}

impl NodeClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: Instant::now(), boot_time: since_boot() }
    }

    /// How long the machine was suspended since the clock was started.
    pub fn suspended(&self) -> Duration {
        let passed = since_boot().saturating_sub(self.boot_time);
        suspended(self.start.elapsed(), passed)
    }

    /// The current time.
    pub fn now(&self) -> Moment {
        Moment::default().plus(self.start.elapsed()).plus(self.suspended())
    }

    /// Converts a moment for use in timers. Timers stop during a suspension, so a task must check the clock again when
    /// its timer fires.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let awake = Duration::from_micros(moment.0).saturating_sub(self.suspended());
        tokio::time::Instant::from_std(self.start + awake)
    }
}

/// Wall-clock milliseconds since 1970. Not used to order events.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
