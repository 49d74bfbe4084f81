//! How long work takes at a server by its own word, and how long that word is believed.
//!
//! The load pattern: servers share their machines with others, so that one of thirty is slow for half a
//! second, and some of a service are slow for many seconds. A server tells it with each answer, but one
//! that is left because it is slow tells nothing more. How long such spells last differs by deployment,
//! so it is measured: by what servers tell next that have told a slow pace before.

use std::time::Duration;

use crate::moment::Moment;

/// Work that takes so many times as long as usual counts as slow. Below it the told figure mixes with
/// the spread of the work itself.
const SLOW: f64 = 1.5;
/// What is assumed before anything is seen: so many spells of a second each.
const ASSUMED_SPELLS: f64 = 2.0;
/// The weight of older spells against each new one: about the last five hundred count.
const KEPT_SHARE: f64 = 0.998;

/// What a server told of its pace last.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedPace {
    /// How many times as long as usual work takes, and when that was told.
    told: Option<(f64, Moment)>,
}

/// How a spell of slowness went on between two words of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowPeriodSample {
    /// The time between them.
    pub span: Duration,
    /// Whether the server was still slow.
    pub is_slow: bool,
}

impl ReportedPace {
    /// Notes what the server told; what became of its slow spell, if it was in one.
    pub fn learn(&mut self, now: Moment, pace: f64) -> Option<SlowPeriodSample> {
        let before = self.told.replace((pace, now));
        let (_, since) = before.filter(|(before, _)| *before >= SLOW)?;
        Some(SlowPeriodSample { span: now.since(since), is_slow: pace >= SLOW })
    }

    /// How many times as long as usual work is expected to take, at least 1. What was told fades with its
    /// age as spells end, where they last `spell` on average; so a slow server is looked at again sooner
    /// the less there is to lose by it.
    pub fn stretch(&self, now: Moment, spell: Duration) -> f64 {
        let Some((pace, told)) = self.told else { return 1.0 };
        let age = now.since(told).as_secs_f64() / spell.as_secs_f64().max(1e-3);
        1.0 + (pace.max(1.0) - 1.0) * (-age).exp()
    }
}

/// How long slow spells last, as one node has seen it of all servers.
#[derive(Debug, Clone, Copy)]
pub struct SlowPeriodStats {
    /// Spells that were seen to end.
    ended: f64,
    /// Seconds for which servers were seen to be slow.
    slow_s: f64,
}

impl Default for SlowPeriodStats {
    fn default() -> Self {
        Self { ended: ASSUMED_SPELLS, slow_s: ASSUMED_SPELLS }
    }
}

impl SlowPeriodStats {
    /// Notes how a spell went on. One that ended between two words did so in the middle on average.
    pub fn add(&mut self, sample: SlowPeriodSample) {
        let span = sample.span.as_secs_f64();
        self.ended = self.ended * KEPT_SHARE + if sample.is_slow { 0.0 } else { 1.0 };
        self.slow_s = self.slow_s * KEPT_SHARE + if sample.is_slow { span } else { span / 2.0 };
    }

    /// How long a spell lasts on average.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64((self.slow_s / self.ended.max(1e-3)).clamp(1e-3, 60.0))
    }
}
