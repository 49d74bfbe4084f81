//! The node's clocks: a monotonic one for decisions, wall time for people only.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use streamfold_policy::Moment;

/// The monotonic clock of one node.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment::default().plus(self.start.elapsed())
    }

    /// When a moment is, for timers.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(moment.0))
    }
}

/// Wall-clock milliseconds since 1970; orders nothing.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
