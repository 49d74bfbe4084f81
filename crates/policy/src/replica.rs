//! What a node believes of one server, and which server of several a request goes to.

use std::time::Duration;

use crate::mechanism::{Mechanism, MechanismSet};
use crate::moment::Moment;
use crate::pace::{PaceBelief, SpellSample};
use crate::server_room::{OthersLoad, server_room};

/// What is remembered of refusals and failures fades by half in this time without a new call.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a server that fell silent is gone round before one call tries it again. Servers
/// pause for 150 to 250 ms; each further silence doubles the span.
const FIRST_SILENCE: Duration = Duration::from_millis(300);
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// How long a server that failed rests; each further failure in a row doubles it.
const FIRST_REST: Duration = Duration::from_millis(100);
const MAX_REST: Duration = Duration::from_secs(2);
/// How long a server that was full is gone round.
const FULL_REST: Duration = Duration::from_millis(50);
/// Share of a new sample in the share of calls that a server refuses or fails: a refusal costs
/// little time but an extra call, and comes in series; a failure is mostly one of its own; an answer
/// says little of a server that refuses a part.
const FULL_GAIN: f64 = 0.3;
const FAILURE_GAIN: f64 = 0.075;
const ANSWER_GAIN: f64 = 0.15;
/// What a server that refuses or fails every call costs, relative to one that answers: a call
/// to it is lost time and then one more call.
const REFUSAL_COST: f64 = 16.0;
/// A reported load counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(500);
/// Added to a server that is believed not to answer now; any that answers goes first.
const AVOIDED: f64 = 1e12;
/// Relative slowness of a server that says it is still warming up.
const WARMUP_SLOWNESS: f64 = 1.6;

/// How far away a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this node's failure domain.
    Domain,
    /// In another failure domain of the region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// What a call there costs beyond the server's own time: the way there and back, and the
    /// price of bytes that leave the domain or region expressed as time, in microseconds.
    pub fn cost_us(self) -> f64 {
        match self {
            Self::Domain => 0.0,
            Self::Region => 6_000.0,
            Self::Far => 30_000.0,
        }
    }
}

/// How a call ended, as far as the server's state cares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallSample {
    /// It answered.
    Answered,
    /// It was full.
    Full,
    /// It failed, or could not be reached.
    Failed,
    /// The call was given up for a reason that is not the server's.
    Abandoned,
}

/// A node's knowledge of one server.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    slots: u32,
    /// When the calls of this node that run on it started.
    started: Vec<Moment>,
    sampled: Moment,
    warm_at: Moment,
    silences: u32,
    silent_until: Option<Moment>,
    failures: u32,
    refusals: f64,
    answered: Moment,
    resting_until: Moment,
    load: Option<(f64, Moment)>,
    others: Option<OthersLoad>,
    pace: PaceBelief,
    mechanisms: MechanismSet,
}

impl ReplicaState {
    /// A server with so many slots that is warm from a moment on.
    pub fn new(slots: u32, warm_at: Moment) -> Self {
        Self {
            slots: slots.max(1),
            started: Vec::new(),
            sampled: Moment::default(),
            warm_at,
            silences: 0,
            silent_until: None,
            failures: 0,
            refusals: 0.0,
            answered: Moment::default(),
            resting_until: Moment::default(),
            load: None,
            others: None,
            pace: PaceBelief::default(),
            mechanisms: MechanismSet::default(),
        }
    }

    /// The same, judged by some mechanisms only.
    pub fn with(self, mechanisms: MechanismSet) -> Self {
        Self { mechanisms, ..self }
    }

    /// Calls of this node that run on it.
    pub fn running(&self) -> u32 {
        self.started.len() as u32
    }

    /// How much slower it is than a typical server, which is 1, by its own word.
    fn slowness(&self, now: Moment, spell: Duration) -> f64 {
        let is_cold = now < self.warm_at && self.mechanisms.has(Mechanism::WarmUp);
        let cold = if is_cold { WARMUP_SLOWNESS } else { 1.0 };
        let has_pace = self.mechanisms.has(Mechanism::ToldPace);
        if has_pace { self.pace.stretch(now, spell).max(cold) } else { cold }
    }

    /// Notes how many times as long as usual work takes there by its own word; what became of its slow
    /// spell, if it was in one.
    pub fn learn_pace(&mut self, now: Moment, pace: f64) -> Option<SpellSample> {
        self.pace.learn(now, pace)
    }

    /// Notes that it stays cold for a time from now on; a warm server may go cold again.
    pub fn learn_cold(&mut self, now: Moment, left: Duration) {
        if !left.is_zero() {
            self.warm_at = now.plus(left);
        }
    }

    /// How much longer it is slow from its start.
    pub fn warmup_left(&self, now: Moment) -> Duration {
        self.warm_at.since(now)
    }

    /// What is left of a belief since the last call told something, 0 to 1.
    fn fading(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        0.5f64.powf(age)
    }

    /// Whether work waits for its slots, by this node's calls or by what it told lately.
    pub fn is_busy(&self, now: Moment) -> bool {
        self.ahead(now) > f64::from(self.slots)
    }

    /// Whether this node may have one more call out there, where calls wait at the node.
    pub fn has_room(&self, now: Moment) -> bool {
        self.running() < server_room(now, self.slots, self.others)
    }

    /// Work that it runs or holds waiting.
    fn ahead(&self, now: Moment) -> f64 {
        let told = self.load.filter(|(_, told)| now.since(*told) < LOAD_LIFE).map_or(0.0, |(load, _)| load);
        told.max(self.started.len() as f64)
    }

    /// Whether it has answered anything since a moment.
    pub fn has_answered_since(&self, moment: Moment) -> bool {
        self.answered > moment
    }

    /// Whether it is believed not to answer now.
    pub fn is_avoided(&self, now: Moment) -> bool {
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        let is_resting = now < self.resting_until;
        (is_silent && self.mechanisms.has(Mechanism::SilenceRouting))
            || (is_resting && self.mechanisms.has(Mechanism::FailureRest))
    }

    /// What a call would cost here, in microseconds, where `typical` is the time such a call
    /// usually takes and `spell` how long servers stay slow.
    pub fn cost(&self, now: Moment, distance: Distance, typical: Duration, spell: Duration) -> f64 {
        let typical = typical.as_micros() as f64;
        let typical = (typical * self.slowness(now, spell)).max(self.open_for(now));
        let ahead = self.ahead(now);
        let slots = f64::from(self.slots);
        let queued = (ahead + 1.0 - slots).max(0.0) / slots;
        // Work that runs but does not queue still tells which of two idle servers to take.
        let busy = 0.1 * ahead / slots;
        let avoided = if self.is_avoided(now) { AVOIDED } else { 0.0 };
        let refused = REFUSAL_COST * self.refusals * self.fading(now);
        avoided + typical * (1.0 + queued + busy + refused) + distance.cost_us()
    }

    /// How long the oldest call that runs on it has been open, in microseconds: an answer takes at
    /// least as long.
    fn open_for(&self, now: Moment) -> f64 {
        let oldest = self.started.first().filter(|_| self.mechanisms.has(Mechanism::OpenCalls));
        oldest.map_or(0.0, |started| now.since(*started).as_micros() as f64)
    }

    /// Notes that a call starts.
    pub fn start(&mut self, now: Moment) {
        self.started.push(now);
    }

    /// Notes that a call that started at a moment has waited longer than usual. If nothing was
    /// answered since, others go round the server until it answers something or a span has passed;
    /// else it is only slow or has a queue.
    pub fn note_overdue(&mut self, now: Moment, started: Moment) {
        if self.is_avoided(now) || self.has_answered_since(started) {
            return;
        }
        let span = FIRST_SILENCE * 2u32.pow(self.silences.min(5));
        self.silences += 1;
        self.silent_until = Some(now.plus(span.min(MAX_SILENCE)));
    }

    /// Lets what is remembered of refusals fade up to a moment.
    fn fade(&mut self, now: Moment) {
        self.refusals *= self.fading(now);
        self.sampled = now;
    }

    /// Notes how a call ended that started at a moment.
    pub fn finish(&mut self, now: Moment, started: Moment, sample: CallSample) {
        if let Some(position) = self.started.iter().position(|open| *open == started) {
            self.started.remove(position);
        }
        match sample {
            CallSample::Answered => {
                self.silences = 0;
                self.silent_until = None;
                self.failures = 0;
                self.resting_until = Moment::default();
                self.answered = now;
                self.fade(now);
                self.refusals -= ANSWER_GAIN * self.refusals;
            }
            CallSample::Full => {
                self.answered = now;
                self.note_refusal(now, FULL_GAIN);
                self.resting_until = now.plus(FULL_REST);
            }
            CallSample::Failed => {
                self.note_refusal(now, FAILURE_GAIN);
                let span = FIRST_REST * 2u32.pow(self.failures.min(5));
                self.failures += 1;
                self.resting_until = now.plus(span.min(MAX_REST));
            }
            CallSample::Abandoned => {}
        }
    }

    fn note_refusal(&mut self, now: Moment, gain: f64) {
        self.fade(now);
        if self.mechanisms.has(Mechanism::RefusalMemory) {
            self.refusals += gain * (1.0 - self.refusals);
        }
    }

    /// Notes the load it told: requests it runs and holds waiting, from everybody.
    pub fn learn_load(&mut self, now: Moment, running: u32, waiting: u32) {
        if self.mechanisms.has(Mechanism::ToldLoad) {
            self.load = Some((f64::from(running + waiting), now));
            self.others = Some(OthersLoad::learn(now, running + waiting, self.running()));
        }
    }
}
