//! Tracks how long servers stay slow, over all servers that this node has observed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use streamfold_policy::reported_pace::{SlowPeriodSample, SlowPeriodStats};

/// Statistics of the slow periods observed so far. Every cost estimate of a server reads their mean, so it is stored
/// outside the lock.
pub struct SlowPeriodTracker {
    stats: Mutex<SlowPeriodStats>,
    mean_us: AtomicU64,
}

impl Default for SlowPeriodTracker {
    fn default() -> Self {
        let stats = SlowPeriodStats::default();
        Self { mean_us: AtomicU64::new(stats.mean().as_micros() as u64), stats: Mutex::new(stats) }
    }
}

impl SlowPeriodTracker {
    /// Adds an observation of a slow period.
    pub fn note(&self, sample: SlowPeriodSample) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.add(sample);
        self.mean_us.store(stats.mean().as_micros() as u64, Ordering::Relaxed);
    }

    /// The mean duration of a slow period.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }
}
