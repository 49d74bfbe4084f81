//! Estimates the pace of a server, which is the ratio of its call durations to the usual ones, from measured durations.
//!
//! The load pattern: some servers of a service are always a little faster than others. One is two or three times as
//! slow for half a second because of a neighbour on its machine. A third of them are ten times as slow for many
//! seconds. Each pauses now and then for a quarter of a second. Lasting differences take many answers to detect, slow
//! periods must be detected by a few answers, and a pause must not count as a slow period.

use std::time::Duration;

use crate::moment::Moment;
use crate::reported_pace::SlowPeriodSample;

/// A call that takes this many times as long as expected is slower than the variance of the work explains.
const FAR_SLOWER: f64 = 3.0;
/// Factor to which a single sample of the long-term pace is clipped, in both directions.
const LONG_TERM_CLIP: f64 = 2.0;
/// Prior weight of the long-term pace: it starts as if this many answers of usual duration had been seen.
const LONG_TERM_PRIOR: f64 = 8.0;
/// Maximum weight of the long-term pace in answers, so that a lasting change of a server shows.
const LONG_TERM_MAX_WEIGHT: f64 = 40.0;
/// Half-life of the long-term pace without answers, since machines get other neighbours.
const LONG_TERM_HALF_LIFE: Duration = Duration::from_secs(20);
/// Weights of an answer in the current pace: one slower than the current pace, one faster, and one far slower than
/// expected.
const SLOWER_GAIN: f64 = 0.25;
const FASTER_GAIN: f64 = 0.5;
const FAR_SLOWER_GAIN: f64 = 0.75;
/// Factor from which a difference between current and long-term pace counts; a smaller one is the variance of a few
/// answers.
const CURRENT_MARGIN: f64 = 1.35;
/// Half-life of slowness that only one event has shown: twice the length of a server pause. It costs little to avoid a
/// server that has paused, and a node that calls it twice a second must not forget the slowness between calls.
const PAUSE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Relative weight of a call that queued, since its queueing time is only an estimate.
const QUEUED_WEIGHT: f64 = 0.5;
/// Share of a pace just reported by another node in the expected pace, on the logarithmic scale; the rest is what this
/// node measured.
const PEER_SHARE: f64 = 0.7;
/// Bounds of any pace.
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 64.0;
/// Factor on the trust in a server's own report with each answer. An answer that confirms the report then adds the
/// complement to 1.
const TRUST_DECAY: f64 = 0.7;

/// Duration of a call relative to its expected duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceSample {
    /// When the call started.
    pub started: Moment,
    /// Duration divided by the expected duration, which includes the expected queueing.
    pub ratio: f64,
    /// Whether the call was expected to queue for a slot.
    pub has_queued: bool,
}

/// A pace measured by another node.
#[derive(Debug, Clone, Copy)]
struct PeerPace {
    ln_pace: f64,
    measured_at: Moment,
}

/// Estimated pace of one server. Paces are kept as logarithms, so that factors of 2 and 1/2 weigh the same.
#[derive(Debug, Clone, Copy)]
pub struct PaceEstimate {
    /// The long-term pace, and its weight in answers.
    long_term: f64,
    weight: f64,
    /// The current pace.
    current: f64,
    /// Time of the last sample.
    sampled_at: Option<Moment>,
    /// Time at which a call was last found far slower than expected.
    slow_seen_at: Option<Moment>,
    /// Whether two separate events have shown that the server is far slower.
    is_confirmed: bool,
    /// Trust in the server's own report, 0 to 1.
    trust: f64,
    peer_pace: Option<PeerPace>,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            long_term: 0.0,
            weight: 0.0,
            current: 0.0,
            sampled_at: None,
            slow_seen_at: None,
            is_confirmed: false,
            trust: 1.0,
            peer_pace: None,
        }
    }
}

/// Exponential decay factor after a time.
fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(1e-3))
}

impl PaceEstimate {
    /// Records an answered call; `slow_period` is the mean length of a slow period.
    pub fn record_answer(&mut self, now: Moment, sample: PaceSample, slow_period: Duration) {
        let ratio = bounded(sample.ratio);
        if ratio >= FAR_SLOWER {
            self.record_slow_call(now, sample, slow_period);
            return;
        }
        self.decay(now, slow_period);
        let share = if sample.has_queued { QUEUED_WEIGHT } else { 1.0 };
        let ln_ratio = ratio.ln();
        let gain = if ln_ratio < self.current { FASTER_GAIN } else { SLOWER_GAIN };
        self.current += share * gain * (ln_ratio - self.current);
        self.update_long_term(ln_ratio, share);
        self.is_confirmed &= self.current >= CURRENT_MARGIN.ln();
    }

    /// Records a call that took at least this long: an answered slow call, or one that was given up. Calls that were
    /// open at the same time show the same event, which may be a pause; only a call that started after the last event
    /// was recorded shows another. These calls do not affect the long-term pace.
    pub fn record_slow_call(&mut self, now: Moment, sample: PaceSample, slow_period: Duration) {
        let ratio = bounded(sample.ratio);
        if ratio < FAR_SLOWER {
            return;
        }
        let is_same_event = self.slow_seen_at.is_some_and(|seen_at| sample.started < seen_at);
        if is_same_event {
            return;
        }
        let has_recent_event =
            self.slow_seen_at.is_some_and(|seen_at| now.since(seen_at) < slow_period.max(PAUSE_HALF_LIFE * 2));
        self.decay(now, slow_period);
        let share = if sample.has_queued { QUEUED_WEIGHT } else { 1.0 };
        let gain = FAR_SLOWER_GAIN * share;
        self.current += gain * (ratio.ln() - self.current).max(0.0);
        self.is_confirmed = has_recent_event;
        self.slow_seen_at = Some(now);
    }

    fn update_long_term(&mut self, ln_ratio: f64, share: f64) {
        let clipped = ln_ratio.clamp(-LONG_TERM_CLIP.ln(), LONG_TERM_CLIP.ln());
        let weight = self.weight.min(LONG_TERM_MAX_WEIGHT - share);
        self.long_term = (self.long_term * weight + clipped * share) / (weight + share);
        self.weight = weight + share;
    }

    /// Decays the estimate up to `now`.
    fn decay(&mut self, now: Moment, slow_period: Duration) {
        let Some(sampled_at) = self.sampled_at.replace(now) else { return };
        let age = now.since(sampled_at);
        self.weight *= decay_factor(age, LONG_TERM_HALF_LIFE);
        let long_term_estimate = self.long_term_estimate();
        self.current =
            long_term_estimate + (self.current - long_term_estimate) * decay_factor(age, self.half_life(slow_period));
    }

    fn half_life(&self, slow_period: Duration) -> Duration {
        if self.is_confirmed { slow_period.max(PAUSE_HALF_LIFE) } else { PAUSE_HALF_LIFE }
    }

    /// The long-term pace, weighed against the prior.
    fn long_term_estimate(&self) -> f64 {
        self.long_term * self.weight / (self.weight + LONG_TERM_PRIOR)
    }

    /// Records a pace that another node measured `age` ago. The newest measurement replaces older ones.
    pub fn record_peer_pace(&mut self, now: Moment, pace: f64, age: Duration) {
        let measured_at = now.minus(age);
        if self.peer_pace.is_none_or(|known| known.measured_at <= measured_at) {
            self.peer_pace = Some(PeerPace { ln_pace: bounded(pace).ln(), measured_at });
        }
    }

    /// Updates the trust in the server's own report by the duration ratio of a call.
    pub fn update_trust(&mut self, reported: f64, ratio: f64) {
        if reported < FAR_SLOWER.sqrt() {
            return;
        }
        let is_supported = ratio >= reported.sqrt();
        self.trust = self.trust * TRUST_DECAY + if is_supported { 1.0 - TRUST_DECAY } else { 0.0 };
    }

    /// The pace that the server reports, reduced towards 1 by lack of trust.
    pub fn apply_trust(&self, reported: f64) -> f64 {
        1.0 + (reported - 1.0) * self.trust
    }

    /// The pace measured by calls of this node.
    pub fn measured(&self, now: Moment, slow_period: Duration) -> f64 {
        self.ln_measured(now, slow_period).exp()
    }

    fn ln_measured(&self, now: Moment, slow_period: Duration) -> f64 {
        let mut decayed = *self;
        decayed.decay(now, slow_period);
        let long_term_estimate = decayed.long_term_estimate();
        if (decayed.current - long_term_estimate).abs() < CURRENT_MARGIN.ln() {
            long_term_estimate
        } else {
            decayed.current
        }
    }

    /// The expected pace, by this node's measurements and the report of another node.
    pub fn slowdown(&self, now: Moment, slow_period: Duration) -> f64 {
        let ln_measured = self.ln_measured(now, slow_period);
        // A later measurement of this node takes precedence over the report.
        let peer_pace =
            self.peer_pace.filter(|peer| self.sampled_at.is_none_or(|sampled_at| sampled_at < peer.measured_at));
        let Some(peer_pace) = peer_pace else { return bounded(ln_measured.exp()) };
        let share = PEER_SHARE * decay_factor(now.since(peer_pace.measured_at), slow_period);
        bounded((ln_measured + share * (peer_pace.ln_pace - ln_measured)).exp())
    }

    /// A sample of the confirmed slow period that the server is in, by the duration ratio of a call that ends now.
    pub fn slow_period_sample(&self, now: Moment, ratio: f64) -> Option<SlowPeriodSample> {
        let since = self.sampled_at.filter(|_| self.is_confirmed)?;
        Some(SlowPeriodSample { span: now.since(since), is_slow: ratio >= FAR_SLOWER })
    }

    /// Time of the last sample.
    pub fn sampled_at(&self) -> Option<Moment> {
        self.sampled_at
    }
}

fn bounded(pace: f64) -> f64 {
    if pace.is_finite() { pace.clamp(MIN_PACE, MAX_PACE) } else { 1.0 }
}
