//! The pace that a server reports with its answers, and how long a report counts.
//!
//! The load pattern: servers share their machines with others, so that one in thirty is slow for half a second, and
//! some servers of a service are slow for many seconds. A server reports its pace with each answer, but a server that
//! is avoided because it is slow sends no further reports. The length of slow periods differs between deployments, so
//! it is measured by the next report of a server that has reported a slow pace.

use std::time::Duration;

use crate::moment::Moment;

/// Reported pace from which a server counts as slow. Below it, the figure cannot be told from the variance of the work.
const SLOW_PACE: f64 = 1.5;
/// Number of slow periods of one second each that are assumed before any is observed.
const ASSUMED_PERIODS: f64 = 2.0;
/// Decay of older samples with each new one: about the last five hundred count.
const DECAY: f64 = 0.998;

/// The last pace that a server reported.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedPace {
    /// Service time relative to the usual one, and the time of the report.
    last: Option<(f64, Moment)>,
}

/// State of a slow period between two consecutive reports of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowPeriodSample {
    /// Time between the two reports.
    pub span: Duration,
    /// Whether the server was still slow at the second one.
    pub is_slow: bool,
}

impl ReportedPace {
    /// Records a report. Returns a sample of the slow period that the server was in, if any.
    pub fn record(&mut self, now: Moment, pace: f64) -> Option<SlowPeriodSample> {
        let previous = self.last.replace((pace, now));
        let (_, since) = previous.filter(|(previous, _)| *previous >= SLOW_PACE)?;
        Some(SlowPeriodSample { span: now.since(since), is_slow: pace >= SLOW_PACE })
    }

    /// Expected service time relative to the usual one, at least 1. A report decays exponentially with its age, by the
    /// mean length `slow_period` of a slow period. A slow server is therefore probed again sooner the less a call to it
    /// can lose.
    pub fn slowdown(&self, now: Moment, slow_period: Duration) -> f64 {
        let Some((pace, reported_at)) = self.last else { return 1.0 };
        let age = now.since(reported_at).as_secs_f64() / slow_period.as_secs_f64().max(1e-3);
        1.0 + (pace.max(1.0) - 1.0) * (-age).exp()
    }
}

/// Mean length of slow periods, observed by one node over all servers.
#[derive(Debug, Clone, Copy)]
pub struct SlowPeriodStats {
    /// Number of slow periods that have ended.
    ended: f64,
    /// Total observed time in slow periods, in seconds.
    slow_s: f64,
}

impl Default for SlowPeriodStats {
    fn default() -> Self {
        Self { ended: ASSUMED_PERIODS, slow_s: ASSUMED_PERIODS }
    }
}

impl SlowPeriodStats {
    /// Adds a sample. A slow period that ended between two reports is taken to have ended in the middle.
    pub fn add(&mut self, sample: SlowPeriodSample) {
        let span = sample.span.as_secs_f64();
        self.ended = self.ended * DECAY + if sample.is_slow { 0.0 } else { 1.0 };
        self.slow_s = self.slow_s * DECAY + if sample.is_slow { span } else { span / 2.0 };
    }

    /// Mean length of a slow period, 1 ms to 60 s.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64((self.slow_s / self.ended.max(1e-3)).clamp(1e-3, 60.0))
    }
}
