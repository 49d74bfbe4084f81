//! How fast a server works, learnt from how long its calls take.
//!
//! The load pattern: some servers of a service are always a little faster than others; one is two or three times as slow
//! for half a second because of a neighbour on its machine; a third of them is ten times as slow for many seconds; and
//! each of them now and then stands still for a quarter of a second. The first takes many answers to be seen and lasts,
//! the second and third must be seen by a few answers, and the last must not be taken for them.

use std::time::Duration;

use crate::moment::Moment;
use crate::reported_pace::SlowPeriodSample;

/// A call that takes so many times as long as it should is far slower than the spread of work explains.
const FAR_SLOWER: f64 = 3.0;
/// One sample says at most so many times slower or faster about the lasting pace.
const STEADY_CLIP: f64 = 2.0;
/// So many answers of a usual server are taken for granted before the first one.
const STEADY_PRIOR: f64 = 8.0;
/// Answers that count for the lasting pace at most, so that a lasting change of a server shows.
const STEADY_WEIGHT: f64 = 40.0;
/// Without answers the lasting pace is half forgotten in this time: machines get other neighbours.
const STEADY_HALF_LIFE: Duration = Duration::from_secs(20);
/// Share of an answer in the present pace: while it slows down, while it recovers, and where it is far slower.
const SLOWER_GAIN: f64 = 0.25;
const FASTER_GAIN: f64 = 0.5;
const FAR_SLOWER_GAIN: f64 = 0.75;
/// The present pace counts once it differs so many times from the lasting one: less is the spread of a few answers.
const PRESENT_MARGIN: f64 = 1.35;
/// Slowness that only one event has shown is half forgotten in this time: twice as long as servers pause. It costs little
/// to go round one that has paused, and a node that calls it twice a second must not forget from call to call.
const PAUSE_HALF_LIFE: Duration = Duration::from_millis(500);
/// What a call that had to wait says, against one that did not: the waiting is an estimate.
const WAITED_SHARE: f64 = 0.5;
/// The share of what another node has just told in the expected pace, on the logarithmic scale; the rest is what was
/// seen here.
const TOLD_SHARE: f64 = 0.7;
/// Bounds on any pace.
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 64.0;
/// Trust in a server's own word falls to this share with an answer that contradicts it, and rises by the rest with one
/// that bears it out.
const TRUST_KEPT: f64 = 0.7;

/// How long a call took, against what it should have taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkSample {
    /// When the call started.
    pub started: Moment,
    /// How many times as long as it should have, with the waiting that was to be expected.
    pub ratio: f64,
    /// Whether it had to wait for a slot, as far as was known.
    pub has_waited: bool,
}

/// What another node measured.
#[derive(Debug, Clone, Copy)]
struct ToldPace {
    ln_pace: f64,
    measured: Moment,
}

/// The pace of one server as calls have shown it. Paces are kept as logarithms, so that twice and half weigh alike.
#[derive(Debug, Clone, Copy)]
pub struct PaceEstimate {
    /// The lasting pace, and how many answers it rests on.
    steady: f64,
    weight: f64,
    /// The present pace.
    present: f64,
    /// When the last sample came.
    sampled: Option<Moment>,
    /// When a call was last seen to be far slower.
    slow_seen: Option<Moment>,
    /// Whether two events of their own have shown that it is far slower.
    is_confirmed: bool,
    /// How far the server's own word is believed, 0 to 1.
    trust: f64,
    told: Option<ToldPace>,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            steady: 0.0,
            weight: 0.0,
            present: 0.0,
            sampled: None,
            slow_seen: None,
            is_confirmed: false,
            trust: 1.0,
            told: None,
        }
    }
}

/// What is left after a time of which each half-life halves it.
fn fading(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(1e-3))
}

impl PaceEstimate {
    /// Notes how long a call took that was answered; `spell` is how long servers stay slow.
    pub fn learn(&mut self, now: Moment, sample: WorkSample, spell: Duration) {
        let ratio = bounded(sample.ratio);
        if ratio >= FAR_SLOWER {
            self.learn_slow(now, sample, spell);
            return;
        }
        self.fade(now, spell);
        let share = if sample.has_waited { WAITED_SHARE } else { 1.0 };
        let ln_ratio = ratio.ln();
        let gain = if ln_ratio < self.present { FASTER_GAIN } else { SLOWER_GAIN };
        self.present += share * gain * (ln_ratio - self.present);
        self.learn_steady(ln_ratio, share);
        self.is_confirmed &= self.present >= PRESENT_MARGIN.ln();
    }

    /// Notes that a call took so long at least: it is still open, or was given up. Calls that were open together show
    /// one event, be it a pause: only a call that started after the last event was seen shows another. None of it
    /// tells of the lasting pace.
    pub fn learn_slow(&mut self, now: Moment, sample: WorkSample, spell: Duration) {
        let ratio = bounded(sample.ratio);
        if ratio < FAR_SLOWER {
            return;
        }
        let is_same_event = self.slow_seen.is_some_and(|seen| sample.started < seen);
        if is_same_event {
            return;
        }
        let has_shown_before = self.slow_seen.is_some_and(|seen| now.since(seen) < spell.max(PAUSE_HALF_LIFE * 2));
        self.fade(now, spell);
        let share = if sample.has_waited { WAITED_SHARE } else { 1.0 };
        let gain = FAR_SLOWER_GAIN * share;
        self.present += gain * (ratio.ln() - self.present).max(0.0);
        self.is_confirmed = has_shown_before;
        self.slow_seen = Some(now);
    }

    fn learn_steady(&mut self, ln_ratio: f64, share: f64) {
        let clipped = ln_ratio.clamp(-STEADY_CLIP.ln(), STEADY_CLIP.ln());
        let weight = self.weight.min(STEADY_WEIGHT - share);
        self.steady = (self.steady * weight + clipped * share) / (weight + share);
        self.weight = weight + share;
    }

    /// Lets what was learnt fade up to a moment.
    fn fade(&mut self, now: Moment, spell: Duration) {
        let Some(sampled) = self.sampled.replace(now) else { return };
        let age = now.since(sampled);
        self.weight *= fading(age, STEADY_HALF_LIFE);
        let lasting = self.lasting();
        self.present = lasting + (self.present - lasting) * fading(age, self.half_life(spell));
    }

    fn half_life(&self, spell: Duration) -> Duration {
        if self.is_confirmed { spell.max(PAUSE_HALF_LIFE) } else { PAUSE_HALF_LIFE }
    }

    /// The lasting pace as far as it is believed.
    fn lasting(&self) -> f64 {
        self.steady * self.weight / (self.weight + STEADY_PRIOR)
    }

    /// Notes what another node measured some time ago. Of two words the newer one counts.
    pub fn learn_told(&mut self, now: Moment, pace: f64, age: Duration) {
        let measured = now.minus(age);
        if self.told.is_none_or(|told| told.measured <= measured) {
            self.told = Some(ToldPace { ln_pace: bounded(pace).ln(), measured });
        }
    }

    /// Weighs the server's own word against how long its call took.
    pub fn weigh_word(&mut self, word: f64, ratio: f64) {
        if word < FAR_SLOWER.sqrt() {
            return;
        }
        let is_borne_out = ratio >= word.sqrt();
        self.trust = self.trust * TRUST_KEPT + if is_borne_out { 1.0 - TRUST_KEPT } else { 0.0 };
    }

    /// What the server's own word counts for.
    pub fn believe_word(&self, word: f64) -> f64 {
        1.0 + (word - 1.0) * self.trust
    }

    /// What calls of this node have shown: how many times as long as usual its work takes.
    pub fn seen(&self, now: Moment, spell: Duration) -> f64 {
        self.ln_seen(now, spell).exp()
    }

    fn ln_seen(&self, now: Moment, spell: Duration) -> f64 {
        let mut faded = *self;
        faded.fade(now, spell);
        let lasting = faded.lasting();
        if (faded.present - lasting).abs() < PRESENT_MARGIN.ln() { lasting } else { faded.present }
    }

    /// How many times as long as usual its work is expected to take, by what was seen here and what others told.
    pub fn stretch(&self, now: Moment, spell: Duration) -> f64 {
        let seen = self.ln_seen(now, spell);
        // What was seen here later than that is better known.
        let told = self.told.filter(|told| self.sampled.is_none_or(|sampled| sampled < told.measured));
        let Some(told) = told else { return bounded(seen.exp()) };
        let share = TOLD_SHARE * fading(now.since(told.measured), spell);
        bounded((seen + share * (told.ln_pace - seen)).exp())
    }

    /// How a spell of slowness went on that is known of, where a call shows such a ratio now.
    pub fn follow_spell(&self, now: Moment, ratio: f64) -> Option<SlowPeriodSample> {
        let since = self.sampled.filter(|_| self.is_confirmed)?;
        Some(SlowPeriodSample { span: now.since(since), is_slow: ratio >= FAR_SLOWER })
    }

    /// When a call last showed something.
    pub fn sampled(&self) -> Option<Moment> {
        self.sampled
    }
}

fn bounded(pace: f64) -> f64 {
    if pace.is_finite() { pace.clamp(MIN_PACE, MAX_PACE) } else { 1.0 }
}
