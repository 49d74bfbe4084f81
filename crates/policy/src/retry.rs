//! Retry budgets. A refusal costs the server next to nothing, so its budget is larger than that for failures, each of
//! which may have cost a whole run of the work.

use std::time::Duration;

use streamfold_model::AttemptOutcome;

use crate::budget::TokenBudget;
use crate::latency::LatencyHistogram;

/// Rates of the retry budgets and the limit of attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryRates {
    /// Retries after failures, as a share of first attempts.
    pub failed: f64,
    /// Retries after refusals, as a share of first attempts.
    pub refused: f64,
    /// Maximum number of attempts, the first one included.
    pub max_attempts: u32,
}

/// Tokens that an idle upstream keeps in each budget.
const FAILED_RESERVE: f64 = 10.0;
const REFUSED_RESERVE: f64 = 50.0;
/// A retry is made only if the time left exceeds this quantile of the latency.
const TYPICAL_QUANTILE: f64 = 0.5;

/// The retry budgets of one upstream at one owner.
#[derive(Debug)]
pub struct RetryBudget {
    rates: RetryRates,
    failed: TokenBudget,
    refused: TokenBudget,
}

impl RetryBudget {
    /// Creates full budgets.
    pub fn new(rates: RetryRates) -> Self {
        Self { rates, failed: TokenBudget::new(FAILED_RESERVE), refused: TokenBudget::new(REFUSED_RESERVE) }
    }

    /// Records a first attempt, which earns tokens.
    pub fn earn(&mut self) {
        self.failed.earn(self.rates.failed);
        self.refused.earn(self.rates.refused);
    }

    /// Whether to retry after `attempts` attempts, the last of which ended in `outcome`, with `left` until the
    /// deadline. A permitted retry spends a token.
    pub fn may_retry(
        &mut self,
        outcome: AttemptOutcome,
        latencies: &LatencyHistogram,
        left: Duration,
        attempts: u32,
    ) -> bool {
        let has_time = latencies.quantile(TYPICAL_QUANTILE).map_or(!left.is_zero(), |typical| typical < left);
        if attempts >= self.rates.max_attempts || !has_time {
            return false;
        }
        match outcome.is_not_run() {
            true => self.refused.spend(),
            false => self.failed.spend(),
        }
    }
}
