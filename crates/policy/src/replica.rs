//! What a node believes of one server, and which server of several a request goes to.

use std::time::Duration;

use crate::finish_estimate::{FinishEstimator, ServerEstimate};
use crate::inflight_limit::{PeerLoad, inflight_limit};
use crate::mechanism::{Mechanism, MechanismSet};
use crate::moment::Moment;
use crate::pace_estimate::{PaceEstimate, WorkSample};
use crate::reported_pace::{ReportedPace, SlowPeriodSample};

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
/// A server that takes so many times as long as usual is no good one: its answers miss most targets.
const SLOW_SERVER: f64 = 2.0;

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

/// A call of this node that runs on a server.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    started: Moment,
    /// How long it should take, with the waiting that was to be expected; none where nobody measures.
    usual: Option<Duration>,
    has_waited: bool,
}

/// A node's knowledge of one server.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    slots: u32,
    /// The calls of this node that run on it.
    calls: Vec<OpenCall>,
    sampled: Moment,
    warm_at: Moment,
    silences: u32,
    silent_until: Option<Moment>,
    failures: u32,
    refusals: f64,
    answered: Moment,
    resting_until: Moment,
    load: Option<(f64, Moment)>,
    others: Option<PeerLoad>,
    pace: ReportedPace,
    work: PaceEstimate,
    /// Whether its service has enough servers to choose among them by their measured pace.
    is_compared: bool,
    mechanisms: MechanismSet,
}

impl ReplicaState {
    /// A server with so many slots that is warm from a moment on.
    pub fn new(slots: u32, warm_at: Moment) -> Self {
        Self {
            slots: slots.max(1),
            calls: Vec::new(),
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
            pace: ReportedPace::default(),
            work: PaceEstimate::default(),
            is_compared: false,
            mechanisms: MechanismSet::default(),
        }
    }

    /// The same, judged by some mechanisms only.
    pub fn with_mechanisms(self, mechanisms: MechanismSet) -> Self {
        Self { mechanisms, ..self }
    }

    /// Calls of this node that run on it.
    pub fn running(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Sets whether its service has enough servers to choose among them by their measured pace.
    pub fn set_comparable(&mut self, is_compared: bool) {
        self.is_compared = is_compared;
    }

    /// Whether it is judged by its measured pace.
    fn is_measured(&self) -> bool {
        self.is_compared && self.mechanisms.has(Mechanism::MeasuredPace)
    }

    /// How much slower it is than a typical server, which is 1, by its own word and by what was measured.
    fn slowness(&self, now: Moment, spell: Duration) -> f64 {
        let is_cold = now < self.warm_at && self.mechanisms.has(Mechanism::WarmUp);
        let cold = if is_cold { WARMUP_SLOWNESS } else { 1.0 };
        let has_word = self.mechanisms.has(Mechanism::ReportedPace);
        let word = if has_word { self.pace.stretch(now, spell) } else { 1.0 };
        if !self.is_measured() {
            return word.max(cold);
        }
        let measured = self.work.stretch(now, spell);
        // A word of 1 says nothing of a server that is faster than usual.
        let word = if word > 1.0 { self.work.believe_word(word) } else { measured };
        let cold = if is_cold { cold } else { measured };
        measured.max(word).max(cold)
    }

    /// The pace that calls of this node have shown, and when, where it is judged by that.
    pub fn measured_pace(&self, now: Moment, spell: Duration) -> Option<(f64, Moment)> {
        let sampled = self.work.sampled().filter(|_| self.is_measured())?;
        Some((self.work.seen(now, spell), sampled))
    }

    /// Notes the pace that another node measured some time ago.
    pub fn record_peer_pace(&mut self, now: Moment, pace: f64, age: Duration) {
        if self.is_measured() {
            self.work.learn_told(now, pace, age);
        }
    }

    /// Whether a call there is expected to take much longer than usual, or no answer is expected at all.
    pub fn is_slow(&self, now: Moment, spell: Duration) -> bool {
        self.is_avoided(now) || self.slowness(now, spell) >= SLOW_SERVER
    }

    /// Notes how many times as long as usual work takes there by its own word; what became of its slow
    /// spell, if it was in one.
    pub fn record_reported_pace(&mut self, now: Moment, pace: f64) -> Option<SlowPeriodSample> {
        self.pace.learn(now, pace)
    }

    /// Notes that it stays cold for a time from now on; a warm server may go cold again.
    pub fn record_warmup(&mut self, now: Moment, left: Duration) {
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
    pub fn has_capacity(&self, now: Moment) -> bool {
        self.running() < inflight_limit(now, self.slots, self.others)
    }

    /// Work that it runs or holds waiting.
    fn ahead(&self, now: Moment) -> f64 {
        let told = self.load.filter(|(_, told)| now.since(*told) < LOAD_LIFE).map_or(0.0, |(load, _)| load);
        told.max(self.calls.len() as f64)
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
            || (is_resting && self.mechanisms.has(Mechanism::FailureBackoff))
    }

    /// What a call would cost here, in microseconds, where `typical` is the time such a call
    /// usually takes and `spell` how long servers stay slow.
    pub fn cost(&self, now: Moment, distance: Distance, typical: Duration, spell: Duration) -> f64 {
        let typical = typical.as_micros() as f64;
        let open_for = self.open_for(now).as_micros() as f64;
        let typical = (typical * self.slowness(now, spell)).max(open_for);
        let queued = self.queued(now);
        // Work that runs but does not queue still tells which of two idle servers to take.
        let busy = 0.1 * self.ahead(now) / f64::from(self.slots);
        let avoided = if self.is_avoided(now) { AVOIDED } else { 0.0 };
        let refused = REFUSAL_COST * self.refusals * self.fading(now);
        avoided + typical * (1.0 + queued + busy + refused) + distance.cost_us()
    }

    /// How many times as long as its work a call made now would wait for a slot.
    fn queued(&self, now: Moment) -> f64 {
        let slots = f64::from(self.slots);
        (self.ahead(now) + 1.0 - slots).max(0.0) / slots
    }

    /// How long the oldest call that runs on it has been open: an answer takes at least as long.
    fn open_for(&self, now: Moment) -> Duration {
        let oldest = self.calls.first().filter(|_| self.mechanisms.has(Mechanism::OpenCalls));
        oldest.map_or(Duration::ZERO, |call| now.since(call.started))
    }

    /// Notes that a call starts.
    pub fn start(&mut self, now: Moment) {
        self.calls.push(OpenCall { started: now, usual: None, has_waited: false });
    }

    /// Notes that a call starts that would usually take so long; its time is measured.
    pub fn start_measured(&mut self, now: Moment, typical: Duration) {
        let queued = self.queued(now);
        let usual = Some(typical.mul_f64(1.0 + queued));
        self.calls.push(OpenCall { started: now, usual, has_waited: queued > 0.0 });
    }

    /// Learns from how long a call took that ended; what became of the slow spell that was known of.
    fn measure(
        &mut self,
        now: Moment,
        call: OpenCall,
        sample: CallSample,
        spell: Duration,
    ) -> Option<SlowPeriodSample> {
        let usual = call.usual.filter(|usual| !usual.is_zero())?;
        let ratio = now.since(call.started).as_secs_f64() / usual.as_secs_f64();
        let work = WorkSample { started: call.started, ratio, has_waited: call.has_waited };
        match sample {
            CallSample::Answered => {
                let followed = self.work.follow_spell(now, ratio).filter(|_| self.is_measured());
                self.work.weigh_word(self.pace.stretch(now, spell), ratio);
                self.work.learn(now, work, spell);
                followed
            }
            // It would have taken longer still.
            CallSample::Abandoned => {
                self.work.learn_slow(now, work, spell);
                None
            }
            CallSample::Full | CallSample::Failed => None,
        }
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

    /// Notes how a call ended that started at a moment, where `spell` is how long servers stay slow.
    /// What became of its slow spell, if it was in one and that is known by measuring.
    pub fn finish_measured(
        &mut self,
        now: Moment,
        started: Moment,
        sample: CallSample,
        spell: Duration,
    ) -> Option<SlowPeriodSample> {
        let call = self.calls.iter().find(|open| open.started == started).copied();
        self.finish(now, started, sample);
        self.measure(now, call?, sample, spell)
    }

    /// Notes how a call ended that started at a moment.
    pub fn finish(&mut self, now: Moment, started: Moment, sample: CallSample) {
        if let Some(position) = self.calls.iter().position(|open| open.started == started) {
            self.calls.remove(position);
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
        if self.mechanisms.has(Mechanism::RefusalPenalty) {
            self.refusals += gain * (1.0 - self.refusals);
        }
    }

    /// Notes the load it told: requests it runs and holds waiting, from everybody.
    pub fn record_load(&mut self, now: Moment, running: u32, waiting: u32) {
        if self.mechanisms.has(Mechanism::ReportedLoad) {
            let requests = running.saturating_add(waiting);
            self.load = Some((f64::from(requests), now));
            self.others = Some(PeerLoad::learn(now, requests, self.running()));
        }
    }
}

impl ReplicaState {
    /// How much longer it is gone round because it fell silent and has answered nothing since, also where the last of
    /// its calls failed for want of an answer. Zero for a server that only refuses calls: it may take the
    /// next one.
    fn silent_for(&self, now: Moment) -> Duration {
        let is_silent = self.silences > 0 && self.mechanisms.has(Mechanism::SilenceRouting);
        let until = self.silent_until.filter(|_| is_silent);
        until.map_or(Duration::ZERO, |until| until.max(self.resting_until).since(now))
    }
}

impl FinishEstimator for ReplicaState {
    fn estimate_finish(&self, now: Moment, typical: Duration, spell: Duration) -> ServerEstimate {
        let work = typical.mul_f64(self.slowness(now, spell));
        let told = self.load.filter(|(_, told)| now.since(*told) < LOAD_LIFE);
        // What waited when it was told has been worked on since.
        let queued = told.map_or(Duration::ZERO, |(load, told)| {
            // Those that ran may have been about to end.
            let rounds = ((load + 1.0) / f64::from(self.slots) - 2.0).max(0.0);
            work.mul_f64(rounds).saturating_sub(now.since(told))
        });
        let is_slow = work > typical || !queued.is_zero();
        let silent = self.silent_for(now);
        let silences = self.silences + self.failures;
        // One that fell silent says nothing of its pace; what it said before may be over by the time it is back.
        match silent.is_zero() {
            true if !is_slow => ServerEstimate::UNKNOWN,
            true => ServerEstimate { finish: work + queued, observations: 1 },
            false => ServerEstimate { finish: silent, observations: silences },
        }
    }
}
