//! When a query is answered before all shards have replied, by the caller's preference.

use std::time::Duration;

use streamfold_model::CallerPreference;

/// A caller's rule for early answers.
#[derive(Debug, Clone, Copy)]
pub struct FinishRule {
    /// Whether the caller prefers latency or coverage.
    pub prefer: CallerPreference,
    /// The time after which a `latency` caller accepts partial coverage.
    pub prefer_within: Duration,
    /// The share of shards that a `latency` caller accepts after that time.
    pub wanted_coverage: f64,
}

impl FinishRule {
    /// Whether to answer now although shards are still pending.
    pub fn is_enough(&self, elapsed: Duration, answered: usize, shards: usize) -> bool {
        let wanted = self.wanted_coverage * shards as f64;
        self.prefer == CallerPreference::Latency && elapsed >= self.prefer_within && answered as f64 >= wanted
    }
}
