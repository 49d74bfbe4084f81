//! When a query is answered.

use std::time::Duration;

use streamfold_model::CallerPreference;

/// A caller's rule for when to answer.
#[derive(Debug, Clone, Copy)]
pub struct FinishRule {
    /// What the caller weighs most.
    pub prefer: CallerPreference,
    /// When a `latency` caller starts to take less than the whole.
    pub prefer_within: Duration,
    /// The share of shards a `latency` caller is content with.
    pub wanted_coverage: f64,
}

impl FinishRule {
    /// Whether to answer now, with shards still pending.
    pub fn is_enough(&self, elapsed: Duration, answered: usize, shards: usize) -> bool {
        let wanted = self.wanted_coverage * shards as f64;
        self.prefer == CallerPreference::Latency && elapsed >= self.prefer_within && answered as f64 >= wanted
    }
}
