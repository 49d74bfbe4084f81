//! Admission of callers: a rate and a number of running requests each.

use std::time::Duration;

use crate::moment::Moment;

/// Seconds of its rate that a caller may use at once after being quiet.
const BURST_SECONDS: f64 = 1.0;

/// Why a request is not admitted; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The caller is over its rate; ask again after the span.
    OverRate(Duration),
    /// The caller has too many requests running.
    OverConcurrency,
}

/// What one node lets one caller do.
#[derive(Debug, Clone, Default)]
pub struct CallerGate {
    tokens: Option<f64>,
    filled: Moment,
    running: u32,
}

impl CallerGate {
    /// Admits one request or says why not. `rate` is in requests a second.
    ///
    /// # Errors
    /// The refusal, when the caller is over its rate or its concurrency.
    pub fn admit(&mut self, now: Moment, rate: f64, concurrency: u32) -> Result<(), AdmissionRefusal> {
        let burst = (rate * BURST_SECONDS).max(1.0);
        let earned = now.since(self.filled).as_secs_f64() * rate;
        let tokens = self.tokens.map_or(burst, |tokens| (tokens + earned).min(burst));
        self.filled = now;
        self.tokens = Some(tokens);
        if self.running >= concurrency {
            return Err(AdmissionRefusal::OverConcurrency);
        }
        if tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - tokens) / rate);
            return Err(AdmissionRefusal::OverRate(wait));
        }
        self.tokens = Some(tokens - 1.0);
        self.running += 1;
        Ok(())
    }

    /// Notes that an admitted request ended.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }
}
