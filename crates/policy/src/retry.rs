//! Whether a failed piece of work is tried again. A refusal cost the server next to nothing,
//! so it may be repeated more freely than a failure, which may have cost a whole run.

use std::time::Duration;

use streamfold_model::AttemptOutcome;

use crate::budget::TokenBudget;
use crate::latency::LatencyHistogram;

/// How freely work is tried again.
#[derive(Debug, Clone, Copy)]
pub struct RetryRates {
    /// Retries after a failure, as a share of first attempts.
    pub failed: f64,
    /// Retries after a refusal, likewise.
    pub refused: f64,
    /// Attempts at one piece of work at most.
    pub tries: u32,
}

/// Tokens a quiet upstream keeps.
const FAILED_RESERVE: f64 = 10.0;
const REFUSED_RESERVE: f64 = 50.0;
/// A retry needs time for an answer of this quantile.
const TYPICAL_QUANTILE: f64 = 0.5;

/// The retry budgets of one upstream at one owner.
#[derive(Debug)]
pub struct RetryBudget {
    rates: RetryRates,
    failed: TokenBudget,
    refused: TokenBudget,
}

impl RetryBudget {
    /// Full budgets.
    pub fn new(rates: RetryRates) -> Self {
        Self { rates, failed: TokenBudget::new(FAILED_RESERVE), refused: TokenBudget::new(REFUSED_RESERVE) }
    }

    /// Notes one first attempt.
    pub fn earn(&mut self) {
        self.failed.earn(self.rates.failed);
        self.refused.earn(self.rates.refused);
    }

    /// Whether to try again after `tries` attempts, the last of which ended in `outcome`,
    /// with `left` until the deadline. Spends from the budget.
    pub fn may_retry(&mut self, outcome: AttemptOutcome, track: &LatencyHistogram, left: Duration, tries: u32) -> bool {
        let has_time = track.quantile(TYPICAL_QUANTILE).map_or(!left.is_zero(), |typical| typical < left);
        if tries >= self.rates.tries || !has_time {
            return false;
        }
        match outcome.is_not_run() {
            true => self.refused.spend(),
            false => self.failed.spend(),
        }
    }
}
