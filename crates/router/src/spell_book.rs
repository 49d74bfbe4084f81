//! How long servers stay slow, as this node has seen it of all of them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use streamfold_policy::reported_pace::{SlowPeriodSample, SlowPeriodStats};

/// The slow spells seen so far. Every cost of a server reads their mean, so it is kept apart from the lock.
pub struct SpellBook {
    record: Mutex<SlowPeriodStats>,
    spell_us: AtomicU64,
}

impl Default for SpellBook {
    fn default() -> Self {
        let record = SlowPeriodStats::default();
        Self { spell_us: AtomicU64::new(record.mean().as_micros() as u64), record: Mutex::new(record) }
    }
}

impl SpellBook {
    /// Notes how a spell went on.
    pub fn note(&self, sample: SlowPeriodSample) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.add(sample);
        self.spell_us.store(record.mean().as_micros() as u64, Ordering::Relaxed);
    }

    /// How long a spell lasts on average.
    pub fn spell(&self) -> Duration {
        Duration::from_micros(self.spell_us.load(Ordering::Relaxed))
    }
}
