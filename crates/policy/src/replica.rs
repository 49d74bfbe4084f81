//! A node's state for one server, and the cost by which it chooses a server for a call.

use std::time::Duration;

use crate::finish_estimate::{FinishEstimator, ServerEstimate};
use crate::inflight_limit::{PeerLoad, inflight_limit};
use crate::mechanism::{Mechanism, MechanismSet};
use crate::moment::Moment;
use crate::pace_estimate::{PaceEstimate, PaceSample};
use crate::reported_pace::{ReportedPace, SlowPeriodSample};

/// Half-life of the remembered share of refused and failed calls while no call ends.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a silent server is avoided before one call probes it. Servers pause for 150 to 250 ms. Each further
/// silence doubles the time.
const FIRST_SILENCE: Duration = Duration::from_millis(300);
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Backoff after a failure; each further consecutive failure doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff after a refusal by a full server.
const FULL_BACKOFF: Duration = Duration::from_millis(50);
/// Weights of a refusal, a failure and an answer in the moving share of refused and failed calls. A refusal costs
/// little time but an extra call, and refusals come in series; a failure is mostly isolated; an answer says little
/// about a server that refuses only a part of the calls.
const FULL_GAIN: f64 = 0.3;
const FAILURE_GAIN: f64 = 0.075;
const ANSWER_GAIN: f64 = 0.15;
/// Extra cost of a server that refuses or fails every call, in typical call times: a call to it loses time and needs
/// another call.
const REFUSAL_COST: f64 = 16.0;
/// Time for which a reported load counts.
const LOAD_LIFETIME: Duration = Duration::from_millis(500);
/// Cost added to a server that is not expected to answer now, so that any other server is preferred.
const AVOIDED_COST: f64 = 1e12;
/// Slowdown assumed for a server that reports that it is still warming up.
const WARMUP_SLOWDOWN: f64 = 1.6;
/// The longest duration that is estimated: servers report any pace and load, and no caller waits that long.
const MAX_ESTIMATE: Duration = Duration::from_secs(24 * 3_600);
/// Slowdown from which a server counts as slow: its answers miss most latency targets.
const SLOW_THRESHOLD: f64 = 2.0;

/// A duration multiplied by a factor, at most [`MAX_ESTIMATE`].
fn scale(duration: Duration, factor: f64) -> Duration {
    let scaled = Duration::try_from_secs_f64(duration.as_secs_f64() * factor);
    scaled.unwrap_or(MAX_ESTIMATE).min(MAX_ESTIMATE)
}

/// Network distance of a server from this node.
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
    /// Cost of a call beyond the server's own time, in microseconds: the network round trip, and the price of bytes
    /// that leave the domain or region expressed as time.
    pub fn cost_us(self) -> f64 {
        match self {
            Self::Domain => 0.0,
            Self::Region => 6_000.0,
            Self::Far => 30_000.0,
        }
    }
}

/// Outcome of a call, as far as it matters for the server's state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallSample {
    /// The server answered.
    Answered,
    /// The server refused the call because it was full.
    Full,
    /// The call failed, or the server could not be reached.
    Failed,
    /// The node gave the call up for a reason other than the server.
    Abandoned,
}

/// A call of this node that is in flight at a server.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    started: Moment,
    /// Expected duration including the expected queueing; `None` if the duration is not measured.
    expected: Option<Duration>,
    has_queued: bool,
}

/// A node's state for one server.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    slots: u32,
    /// Calls of this node in flight, oldest first.
    calls: Vec<OpenCall>,
    sampled_at: Moment,
    warm_at: Moment,
    silences: u32,
    silent_until: Option<Moment>,
    failures: u32,
    refusal_share: f64,
    answered_at: Moment,
    backoff_until: Moment,
    load: Option<(f64, Moment)>,
    peer_load: Option<PeerLoad>,
    reported_pace: ReportedPace,
    pace_estimate: PaceEstimate,
    /// Whether its service has enough servers to choose among them by measured pace.
    is_comparable: bool,
    mechanisms: MechanismSet,
}

impl ReplicaState {
    /// State of a server with `slots` request slots that has finished its warm-up at `warm_at`.
    pub fn new(slots: u32, warm_at: Moment) -> Self {
        Self {
            slots: slots.max(1),
            calls: Vec::new(),
            sampled_at: Moment::default(),
            warm_at,
            silences: 0,
            silent_until: None,
            failures: 0,
            refusal_share: 0.0,
            answered_at: Moment::default(),
            backoff_until: Moment::default(),
            load: None,
            peer_load: None,
            reported_pace: ReportedPace::default(),
            pace_estimate: PaceEstimate::default(),
            is_comparable: false,
            mechanisms: MechanismSet::default(),
        }
    }

    /// Limits the mechanisms that affect the server's cost.
    pub fn with_mechanisms(self, mechanisms: MechanismSet) -> Self {
        Self { mechanisms, ..self }
    }

    /// Number of calls of this node in flight.
    pub fn running(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Sets whether the service has enough servers to choose among them by measured pace.
    pub fn set_comparable(&mut self, is_comparable: bool) {
        self.is_comparable = is_comparable;
    }

    /// Whether its measured pace affects its cost.
    fn is_measured(&self) -> bool {
        self.is_comparable && self.mechanisms.has(Mechanism::MeasuredPace)
    }

    /// Slowdown against a typical server, which is 1, by the server's own report and by measurement.
    fn slowdown(&self, now: Moment, slow_period: Duration) -> f64 {
        let is_cold = now < self.warm_at && self.mechanisms.has(Mechanism::WarmUp);
        let cold = if is_cold { WARMUP_SLOWDOWN } else { 1.0 };
        let has_report = self.mechanisms.has(Mechanism::ReportedPace);
        let reported = if has_report { self.reported_pace.slowdown(now, slow_period) } else { 1.0 };
        if !self.is_measured() {
            return reported.max(cold);
        }
        let measured = self.pace_estimate.slowdown(now, slow_period);
        // A report of 1 carries no information about a server that is faster than usual.
        let reported = if reported > 1.0 { self.pace_estimate.apply_trust(reported) } else { measured };
        let cold = if is_cold { cold } else { measured };
        measured.max(reported).max(cold)
    }

    /// The pace measured by calls of this node and the time of the last sample; `None` unless it affects the cost.
    pub fn measured_pace(&self, now: Moment, slow_period: Duration) -> Option<(f64, Moment)> {
        let sampled_at = self.pace_estimate.sampled_at().filter(|_| self.is_measured())?;
        Some((self.pace_estimate.measured(now, slow_period), sampled_at))
    }

    /// Records a pace that another node measured `age` ago.
    pub fn record_peer_pace(&mut self, now: Moment, pace: f64, age: Duration) {
        if self.is_measured() {
            self.pace_estimate.record_peer_pace(now, pace, age);
        }
    }

    /// Whether a call is expected to take much longer than usual, or to get no answer at all.
    pub fn is_slow(&self, now: Moment, slow_period: Duration) -> bool {
        self.is_avoided(now) || self.slowdown(now, slow_period) >= SLOW_THRESHOLD
    }

    /// Records the pace that the server reports: its service time relative to the usual one. Returns a sample of the
    /// slow period that the server was in, if any.
    pub fn record_reported_pace(&mut self, now: Moment, pace: f64) -> Option<SlowPeriodSample> {
        self.reported_pace.record(now, pace)
    }

    /// Records that the server is cold for another `left`. A warm server may go cold again.
    pub fn record_warmup(&mut self, now: Moment, left: Duration) {
        if !left.is_zero() {
            self.warm_at = now.plus(left);
        }
    }

    /// Remaining warm-up time.
    pub fn warmup_left(&self, now: Moment) -> Duration {
        self.warm_at.since(now)
    }

    /// Factor, 0 to 1, by which the remembered refusals have decayed since the last sample.
    fn decay(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        0.5f64.powf(age)
    }

    /// Whether requests queue for the server's slots, by this node's calls or by the server's recent load report.
    pub fn is_busy(&self, now: Moment) -> bool {
        self.outstanding(now) > f64::from(self.slots)
    }

    /// Whether the in-flight limit allows this node another call, while further calls queue at the node.
    pub fn has_capacity(&self, now: Moment) -> bool {
        self.running() < inflight_limit(now, self.slots, self.peer_load)
    }

    /// Number of requests that the server runs or queues.
    fn outstanding(&self, now: Moment) -> f64 {
        let reported =
            self.load.filter(|(_, reported_at)| now.since(*reported_at) < LOAD_LIFETIME).map_or(0.0, |(load, _)| load);
        reported.max(self.calls.len() as f64)
    }

    /// Whether the server has answered any call since `moment`.
    pub fn has_answered_since(&self, moment: Moment) -> bool {
        self.answered_at > moment
    }

    /// Whether the server is not expected to answer now, because it is silent or backed off.
    pub fn is_avoided(&self, now: Moment) -> bool {
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        let is_backing_off = now < self.backoff_until;
        (is_silent && self.mechanisms.has(Mechanism::SilenceRouting))
            || (is_backing_off && self.mechanisms.has(Mechanism::FailureBackoff))
    }

    /// Cost of a call to this server, in microseconds. `typical` is the usual duration of such a call, `slow_period`
    /// the mean length of a slow period.
    pub fn cost(&self, now: Moment, distance: Distance, typical: Duration, slow_period: Duration) -> f64 {
        let typical = typical.as_micros() as f64;
        let oldest_call_age = self.oldest_call_age(now).as_micros() as f64;
        let typical = (typical * self.slowdown(now, slow_period)).max(oldest_call_age);
        let queueing = self.queueing(now);
        // Running requests break the tie between two servers without a queue.
        let busy = 0.1 * self.outstanding(now) / f64::from(self.slots);
        let avoided = if self.is_avoided(now) { AVOIDED_COST } else { 0.0 };
        let refused = REFUSAL_COST * self.refusal_share * self.decay(now);
        avoided + typical * (1.0 + queueing + busy + refused) + distance.cost_us()
    }

    /// Expected wait for a slot of a call made now, as a multiple of its service time.
    fn queueing(&self, now: Moment) -> f64 {
        let slots = f64::from(self.slots);
        (self.outstanding(now) + 1.0 - slots).max(0.0) / slots
    }

    /// Age of the oldest call in flight: an answer takes at least that long.
    fn oldest_call_age(&self, now: Moment) -> Duration {
        let oldest = self.calls.first().filter(|_| self.mechanisms.has(Mechanism::OpenCalls));
        oldest.map_or(Duration::ZERO, |call| now.since(call.started))
    }

    /// Records the start of a call.
    pub fn start(&mut self, now: Moment) {
        self.calls.push(OpenCall { started: now, expected: None, has_queued: false });
    }

    /// Records the start of a call whose duration is measured. `typical` is its usual duration.
    pub fn start_measured(&mut self, now: Moment, typical: Duration) {
        let queueing = self.queueing(now);
        let expected = Some(scale(typical, 1.0 + queueing));
        self.calls.push(OpenCall { started: now, expected, has_queued: queueing > 0.0 });
    }

    /// Updates the pace estimate by the duration of a call that ended. Returns a sample of the slow period that the
    /// server was in, if any.
    fn record_duration(
        &mut self,
        now: Moment,
        call: OpenCall,
        sample: CallSample,
        slow_period: Duration,
    ) -> Option<SlowPeriodSample> {
        let expected = call.expected.filter(|expected| !expected.is_zero())?;
        let ratio = now.since(call.started).as_secs_f64() / expected.as_secs_f64();
        let pace_sample = PaceSample { started: call.started, ratio, has_queued: call.has_queued };
        match sample {
            CallSample::Answered => {
                let slow_period_sample =
                    self.pace_estimate.slow_period_sample(now, ratio).filter(|_| self.is_measured());
                self.pace_estimate.update_trust(self.reported_pace.slowdown(now, slow_period), ratio);
                self.pace_estimate.record_answer(now, pace_sample, slow_period);
                slow_period_sample
            }
            // The call would have taken even longer.
            CallSample::Abandoned => {
                self.pace_estimate.record_slow_call(now, pace_sample, slow_period);
                None
            }
            CallSample::Full | CallSample::Failed => None,
        }
    }

    /// Records that a call that began at `started` is overdue. If the server has answered nothing since, it counts as
    /// silent and is avoided until it answers or a time has passed; otherwise it is only slow or has a queue.
    pub fn note_overdue(&mut self, now: Moment, started: Moment) {
        if self.is_avoided(now) || self.has_answered_since(started) {
            return;
        }
        let span = FIRST_SILENCE * 2u32.pow(self.silences.min(5));
        self.silences += 1;
        self.silent_until = Some(now.plus(span.min(MAX_SILENCE)));
    }

    /// Decays the remembered refusals up to `now`.
    fn decay_refusals(&mut self, now: Moment) {
        self.refusal_share *= self.decay(now);
        self.sampled_at = now;
    }

    /// Records the outcome of a call that began at `started`; `slow_period` is the mean length of a slow period.
    /// Returns a sample of the measured slow period that the server was in, if any.
    pub fn finish_measured(
        &mut self,
        now: Moment,
        started: Moment,
        sample: CallSample,
        slow_period: Duration,
    ) -> Option<SlowPeriodSample> {
        let call = self.calls.iter().find(|open| open.started == started).copied();
        self.finish(now, started, sample);
        self.record_duration(now, call?, sample, slow_period)
    }

    /// Records the outcome of a call that began at `started`.
    pub fn finish(&mut self, now: Moment, started: Moment, sample: CallSample) {
        if let Some(position) = self.calls.iter().position(|open| open.started == started) {
            self.calls.remove(position);
        }
        match sample {
            CallSample::Answered => {
                self.silences = 0;
                self.silent_until = None;
                self.failures = 0;
                self.backoff_until = Moment::default();
                self.answered_at = now;
                self.decay_refusals(now);
                self.refusal_share -= ANSWER_GAIN * self.refusal_share;
            }
            CallSample::Full => {
                self.answered_at = now;
                self.record_refusal(now, FULL_GAIN);
                self.backoff_until = now.plus(FULL_BACKOFF);
            }
            CallSample::Failed => {
                self.record_refusal(now, FAILURE_GAIN);
                let span = FIRST_BACKOFF * 2u32.pow(self.failures.min(5));
                self.failures += 1;
                self.backoff_until = now.plus(span.min(MAX_BACKOFF));
            }
            CallSample::Abandoned => {}
        }
    }

    fn record_refusal(&mut self, now: Moment, gain: f64) {
        self.decay_refusals(now);
        if self.mechanisms.has(Mechanism::RefusalPenalty) {
            self.refusal_share += gain * (1.0 - self.refusal_share);
        }
    }

    /// Records the load that the server reports: requests of all nodes that it runs and queues.
    pub fn record_load(&mut self, now: Moment, running: u32, waiting: u32) {
        if self.mechanisms.has(Mechanism::ReportedLoad) {
            let requests = running.saturating_add(waiting);
            self.load = Some((f64::from(requests), now));
            self.peer_load = Some(PeerLoad::from_report(now, requests, self.running()));
        }
    }
}

impl ReplicaState {
    /// Remaining time for which the server is avoided because it is silent; this includes the case that the last of its
    /// calls failed without an answer. Zero for a server that only refuses calls, since it may accept the next one.
    fn silence_left(&self, now: Moment) -> Duration {
        let is_silent = self.silences > 0 && self.mechanisms.has(Mechanism::SilenceRouting);
        let until = self.silent_until.filter(|_| is_silent);
        until.map_or(Duration::ZERO, |until| until.max(self.backoff_until).since(now))
    }
}

impl FinishEstimator for ReplicaState {
    fn estimate_finish(&self, now: Moment, typical: Duration, slow_period: Duration) -> ServerEstimate {
        let work = scale(typical, self.slowdown(now, slow_period));
        let reported = self.load.filter(|(_, reported_at)| now.since(*reported_at) < LOAD_LIFETIME);
        // The server has worked on the reported queue since the report.
        let queueing = reported.map_or(Duration::ZERO, |(load, reported_at)| {
            // The requests that ran at that time may have been about to end.
            let rounds = ((load + 1.0) / f64::from(self.slots) - 2.0).max(0.0);
            scale(work, rounds).saturating_sub(now.since(reported_at))
        });
        let is_slow = work > typical || !queueing.is_zero();
        let silent = self.silence_left(now);
        let silences = self.silences + self.failures;
        // A silent server reports no pace, and its last report may be outdated by the time it answers again.
        match silent.is_zero() {
            true if !is_slow => ServerEstimate::UNKNOWN,
            true => ServerEstimate { finish: work + queueing, observations: 1 },
            false => ServerEstimate { finish: silent, observations: silences },
        }
    }
}
