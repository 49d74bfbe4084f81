//! State that an owner keeps for one server: latency, concurrency limit, failure backoff, reported load and index
//! versions.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::IndexName;

use crate::moment::Moment;
use crate::pin::HeldVersions;

/// Weight of a new sample in the moving average of the latency.
const MEAN_GAIN: f64 = 0.1;
/// A call cancelled in favour of a faster one is assumed to have needed this many times the time it had run.
const CANCELLED_DURATION_FACTOR: f64 = 2.0;
/// Weight of a cancelled call in the moving average. It is higher than that of an answer, because all calls to a slow
/// server end this way.
const CANCELLED_GAIN: f64 = 0.3;
/// Half-life of the mean latency without new samples, so that a server that was slow is tried again.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor on the mean latency of a server that restarted, until new samples correct it.
const RESTART_FACTOR: f64 = 10.0;
/// Latency assumed for a server without samples, in microseconds.
const UNKNOWN_MEAN_US: f64 = 1.0;
/// A server whose calls take this many times as long as another's is not worth a hedge.
const HEDGE_SLOWDOWN: f64 = 3.0;
/// Consecutive failures after which a server is backed off.
const BACKOFF_AFTER: u32 = 3;
/// The first backoff; each further failure doubles it up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Gains of the running low quantile of the latency for samples below it and for the others.
const LOW_FALL_GAIN: f64 = 0.1;
const LOW_RISE_GAIN: f64 = 0.01;
/// A mean latency of this many times the low quantile shows that requests queue inside the server.
const QUEUEING_FACTOR: f64 = 3.0;
/// Factor on the concurrency limit for each answer while requests queue inside the server.
const QUEUEING_LIMIT_FACTOR: f64 = 0.98;
/// Factor on the concurrency limit when the server sheds a request.
const SHED_LIMIT_FACTOR: f64 = 0.7;
/// Age at which a reported load no longer counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// Outcome of a call to a server, as seen by the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReport {
    /// The server answered after this time.
    Answered(Duration),
    /// The server shed the request.
    Shed,
    /// The connection or the answer failed.
    Failed,
    /// The owner cancelled the call after this time for a reason other than the server.
    Cancelled(Duration),
}

/// An owner's state for one server.
#[derive(Debug, Clone)]
pub struct ServerState {
    inflight: u32,
    limit: f64,
    max_limit: f64,
    mean_us: f64,
    low_quantile_us: f64,
    initial_limit: f64,
    sampled_at: Moment,
    /// When its current process last answered a call.
    answered_at: Option<Moment>,
    failures: u32,
    backoff_until: Option<Moment>,
    is_probing: bool,
    is_leaving: bool,
    incarnation: Option<u64>,
    load: Option<(f64, Moment)>,
    versions: BTreeMap<IndexName, HeldVersions>,
}

impl ServerState {
    /// State of a server without samples. Its concurrency limit starts at `initial_limit` and never exceeds
    /// `max_limit`.
    pub fn new(initial_limit: u32, max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit.max(1));
        Self {
            inflight: 0,
            limit: f64::from(initial_limit.max(1)).min(max_limit),
            max_limit,
            mean_us: 0.0,
            low_quantile_us: 0.0,
            initial_limit: f64::from(initial_limit.max(1)),
            sampled_at: Moment::default(),
            answered_at: None,
            failures: 0,
            backoff_until: None,
            is_probing: false,
            is_leaving: false,
            incarnation: None,
            load: None,
            versions: BTreeMap::new(),
        }
    }

    /// Number of calls in flight.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Concurrency limit: calls that may be in flight at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit allows another call.
    pub fn has_slot(&self) -> bool {
        self.inflight < self.limit()
    }

    /// Expected wait of one more call, in microseconds.
    pub fn cost(&self, now: Moment) -> f64 {
        self.decayed_mean(now) * f64::from(self.inflight + 1)
    }

    fn decayed_mean(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64() / MEAN_HALF_LIFE.as_secs_f64();
        self.mean_us * 0.5f64.powf(age) + UNKNOWN_MEAN_US
    }

    /// Whether the server answered within the last `span`.
    pub fn answered_within(&self, now: Moment, span: Duration) -> bool {
        self.answered_at.is_some_and(|answered_at| now.since(answered_at) < span)
    }

    /// Whether a call here takes so much longer than at `other` that `other` is the better target for a hedge.
    pub fn is_far_slower_than(&self, other: &Self, now: Moment) -> bool {
        self.decayed_mean(now) > other.decayed_mean(now) * HEDGE_SLOWDOWN
    }

    /// The reported load, 0 to 1; it decays linearly to 0 with the age of the report.
    pub fn load(&self, now: Moment) -> f64 {
        let Some((load, reported_at)) = self.load else { return 0.0 };
        let age = now.since(reported_at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
        load * (1.0 - age).max(0.0)
    }

    /// Whether the server gets no work after recent failures. When the backoff ends, one probe call is let through.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        match self.backoff_until {
            Some(until) if now < until => true,
            Some(_) => self.is_probing,
            None => false,
        }
    }

    /// When the current backoff ends; `None` if the server is not backed off.
    pub fn backoff_end(&self, now: Moment) -> Option<Moment> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Whether the server is draining. This never reverts for the same server process.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Versions of an index that the server last reported, if any.
    pub fn versions(&self, index: &IndexName) -> Option<HeldVersions> {
        self.versions.get(index).copied()
    }

    /// Records the start of a call.
    pub fn start(&mut self) {
        self.inflight += 1;
        if self.backoff_until.is_some() {
            self.is_probing = true;
        }
    }

    /// Records the outcome of a call.
    pub fn finish(&mut self, now: Moment, report: CallReport) {
        let was_saturated = self.inflight >= self.limit();
        self.inflight = self.inflight.saturating_sub(1);
        match report {
            CallReport::Answered(latency) => self.record_answer(now, latency, was_saturated),
            CallReport::Shed => self.record_shed(now),
            CallReport::Failed => self.record_failure(now),
            CallReport::Cancelled(waited) => self.record_cancel(now, waited),
        }
    }

    fn record_answer(&mut self, now: Moment, latency: Duration, was_saturated: bool) {
        self.sampled_at = now;
        self.answered_at = Some(now);
        let sample = latency.as_micros() as f64;
        self.mean_us = if self.mean_us == 0.0 { sample } else { self.mean_us + MEAN_GAIN * (sample - self.mean_us) };
        self.failures = 0;
        self.backoff_until = None;
        self.is_probing = false;
        let gain = match self.low_quantile_us {
            0.0 => 1.0,
            low if sample < low => LOW_FALL_GAIN,
            _ => LOW_RISE_GAIN,
        };
        self.low_quantile_us += gain * (sample - self.low_quantile_us);
        if self.mean_us > self.low_quantile_us * QUEUEING_FACTOR {
            self.limit = (self.limit * QUEUEING_LIMIT_FACTOR).max(self.initial_limit.min(self.limit));
        } else if was_saturated {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        }
    }

    fn record_shed(&mut self, now: Moment) {
        self.limit = (self.limit * SHED_LIMIT_FACTOR).max(1.0);
        self.record_failure(now);
    }

    fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        self.is_probing = false;
        if self.failures >= BACKOFF_AFTER {
            let doublings = (self.failures - BACKOFF_AFTER).min(8);
            let backoff = (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
            self.backoff_until = Some(now.plus(backoff));
        }
    }

    /// Records a cancelled call. It would have taken at least as long as it ran, so it may only raise the mean.
    fn record_cancel(&mut self, now: Moment, waited: Duration) {
        self.is_probing = false;
        let sample = waited.as_micros() as f64 * CANCELLED_DURATION_FACTOR;
        if sample > self.mean_us * CANCELLED_DURATION_FACTOR {
            self.sampled_at = now;
            self.mean_us += CANCELLED_GAIN * (sample - self.mean_us);
        }
    }

    /// Records the incarnation of the server process that answered. A new incarnation starts with a limit of one call,
    /// and only it clears the leaving mark.
    pub fn record_incarnation(&mut self, now: Moment, incarnation: u64) {
        let known = self.incarnation.replace(incarnation);
        if known.is_some_and(|known| known != incarnation) {
            self.limit = 1.0;
            self.mean_us *= RESTART_FACTOR;
            self.is_leaving = false;
            self.load = None;
            self.sampled_at = now;
            self.answered_at = None;
        }
    }

    /// Marks the server as draining.
    pub fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Records a reported load, 0 to 1.
    pub fn record_load(&mut self, now: Moment, load: f64) {
        self.load = Some((load.clamp(0.0, 1.0), now));
    }

    /// Records the versions of an index that the server reports to hold.
    pub fn record_versions(&mut self, index: &IndexName, report: HeldVersions) {
        match self.versions.get_mut(index) {
            Some(held) => held.merge(report),
            None => {
                self.versions.insert(index.clone(), report);
            }
        }
    }

    /// Whether the server has dropped a version for good, according to its reports.
    pub fn has_dropped(&self, index: &IndexName, version: streamfold_model::IndexVersion) -> bool {
        self.versions(index).is_some_and(|held| held.oldest > version)
    }

    /// Whether the server does not have a version yet, according to its reports.
    pub fn lags_behind(&self, index: &IndexName, version: streamfold_model::IndexVersion) -> bool {
        self.versions(index).is_some_and(|held| held.newest < version)
    }
}
