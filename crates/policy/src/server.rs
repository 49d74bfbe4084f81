//! What an owner knows of one server: its latency, limit, rest and versions.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::IndexName;

use crate::moment::Moment;
use crate::pin::HeldVersions;

/// Share of a new latency sample in the running mean.
const MEAN_GAIN: f64 = 0.1;
/// A call given up for a faster one would have taken at least this many times as long, and
/// says more than an answer does: a slow server's calls all end so.
const CANCELLED_FACTOR: f64 = 2.0;
const CANCELLED_GAIN: f64 = 0.3;
/// Without a sample, what is known of a latency fades by half in this time, so that a
/// server that was slow is tried again.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(2);
/// A server that came up anew counts as this many times as slow as before, until it shows
/// otherwise.
const COLD_FACTOR: f64 = 10.0;
/// What a server that was never asked counts as, in microseconds.
const UNKNOWN_MEAN_US: f64 = 1.0;
/// A server whose calls take this many times as long is no good for a hedge.
const FAR_SLOWER: f64 = 3.0;
/// Failures in a row after which a server is rested.
const REST_AFTER: u32 = 3;
/// The first rest; each further failure doubles it up to [`MAX_REST`].
const FIRST_REST: Duration = Duration::from_millis(100);
/// The longest rest.
const MAX_REST: Duration = Duration::from_secs(3);
/// How fast the running low quantile of the latency falls and rises.
const LOW_FALL: f64 = 0.1;
const LOW_RISE: f64 = 0.01;
/// A mean this many times the low quantile means that work waits inside the server.
const SLOW_FACTOR: f64 = 3.0;
/// Factor on the limit for each answer while that is so.
const SLOW_FALL: f64 = 0.98;
/// Factor on the limit when the server sheds.
const SHED_FACTOR: f64 = 0.7;
/// After this long without news a reported load no longer counts.
const LOAD_FADES_AFTER: Duration = Duration::from_secs(2);

/// How a call to a server ended, as the owner saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReport {
    /// It answered after this long.
    Answered(Duration),
    /// It shed the work.
    Shed,
    /// The connection or the answer failed.
    Failed,
    /// The call was cancelled after this long, for a reason that is not the server's.
    Cancelled(Duration),
}

/// An owner's knowledge of one server.
#[derive(Debug, Clone)]
pub struct ServerState {
    inflight: u32,
    limit: f64,
    max_limit: f64,
    mean_us: f64,
    low_us: f64,
    start_limit: f64,
    sampled: Moment,
    failures: u32,
    resting_until: Option<Moment>,
    probing: bool,
    leaving: bool,
    incarnation: Option<u64>,
    load: Option<(f64, Moment)>,
    versions: BTreeMap<IndexName, HeldVersions>,
}

impl ServerState {
    /// A server nothing is known of yet; at most `max_limit` calls run on it at once, and
    /// `start` of them at first.
    pub fn new(start: u32, max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit.max(1));
        Self {
            inflight: 0,
            limit: f64::from(start.max(1)).min(max_limit),
            max_limit,
            mean_us: 0.0,
            low_us: 0.0,
            start_limit: f64::from(start.max(1)),
            sampled: Moment::default(),
            failures: 0,
            resting_until: None,
            probing: false,
            leaving: false,
            incarnation: None,
            load: None,
            versions: BTreeMap::new(),
        }
    }

    /// Calls running now.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether another call may start under the limit.
    pub fn has_slot(&self) -> bool {
        self.inflight < self.limit()
    }

    /// Expected wait of one more call, in microseconds.
    pub fn cost(&self, now: Moment) -> f64 {
        self.fading_mean(now) * f64::from(self.inflight + 1)
    }

    fn fading_mean(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled).as_secs_f64() / MEAN_HALF_LIFE.as_secs_f64();
        self.mean_us * 0.5f64.powf(age) + UNKNOWN_MEAN_US
    }

    /// Whether it answered within the last `span`.
    pub fn answered_within(&self, now: Moment, span: Duration) -> bool {
        self.mean_us > 0.0 && now.since(self.sampled) < span
    }

    /// Whether one call here takes so much longer than at `other` that a second try there is
    /// the better hedge.
    pub fn is_far_slower_than(&self, other: &Self, now: Moment) -> bool {
        self.fading_mean(now) > other.fading_mean(now) * FAR_SLOWER
    }

    /// The reported load, 0 to 1, faded to 0 with its age.
    pub fn load(&self, now: Moment) -> f64 {
        let Some((load, told)) = self.load else { return 0.0 };
        let age = now.since(told).as_secs_f64() / LOAD_FADES_AFTER.as_secs_f64();
        load * (1.0 - age).max(0.0)
    }

    /// Whether it is to get no work because it failed lately; after the rest one probe may go.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        match self.resting_until {
            Some(until) if now < until => true,
            Some(_) => self.probing,
            None => false,
        }
    }

    /// Whether it is leaving; this never turns back for the same server process.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Versions it is believed to hold of an index.
    pub fn versions(&self, index: &IndexName) -> Option<HeldVersions> {
        self.versions.get(index).copied()
    }

    /// Notes that a call starts.
    pub fn start(&mut self) {
        self.inflight += 1;
        if self.resting_until.is_some() {
            self.probing = true;
        }
    }

    /// Notes how a call ended.
    pub fn finish(&mut self, now: Moment, report: CallReport) {
        let was_full = self.inflight >= self.limit();
        self.inflight = self.inflight.saturating_sub(1);
        match report {
            CallReport::Answered(latency) => self.note_answer(now, latency, was_full),
            CallReport::Shed => self.note_shed(now),
            CallReport::Failed => self.note_failure(now),
            CallReport::Cancelled(waited) => self.note_cancel(now, waited),
        }
    }

    fn note_answer(&mut self, now: Moment, latency: Duration, was_full: bool) {
        self.sampled = now;
        let sample = latency.as_micros() as f64;
        self.mean_us = if self.mean_us == 0.0 { sample } else { self.mean_us + MEAN_GAIN * (sample - self.mean_us) };
        self.failures = 0;
        self.resting_until = None;
        self.probing = false;
        let gain = match self.low_us {
            0.0 => 1.0,
            low if sample < low => LOW_FALL,
            _ => LOW_RISE,
        };
        self.low_us += gain * (sample - self.low_us);
        if self.mean_us > self.low_us * SLOW_FACTOR {
            self.limit = (self.limit * SLOW_FALL).max(self.start_limit.min(self.limit));
        } else if was_full {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        }
    }

    fn note_shed(&mut self, now: Moment) {
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
        self.note_failure(now);
    }

    fn note_failure(&mut self, now: Moment) {
        self.failures += 1;
        self.probing = false;
        if self.failures >= REST_AFTER {
            let doublings = (self.failures - REST_AFTER).min(8);
            let rest = (FIRST_REST * 2u32.pow(doublings)).min(MAX_REST);
            self.resting_until = Some(now.plus(rest));
        }
    }

    /// A cancelled call took at least as long as it was waited for, so it may only raise the mean.
    fn note_cancel(&mut self, now: Moment, waited: Duration) {
        self.probing = false;
        let sample = waited.as_micros() as f64 * CANCELLED_FACTOR;
        if sample > self.mean_us * CANCELLED_FACTOR {
            self.sampled = now;
            self.mean_us += CANCELLED_GAIN * (sample - self.mean_us);
        }
    }

    /// Notes which run of the server process answered. A new run starts from one call at a
    /// time, and is the only thing that ends a leaving mark.
    pub fn record_incarnation(&mut self, now: Moment, incarnation: u64) {
        let known = self.incarnation.replace(incarnation);
        if known.is_some_and(|known| known != incarnation) {
            self.limit = 1.0;
            self.mean_us *= COLD_FACTOR;
            self.leaving = false;
            self.load = None;
            self.sampled = now;
        }
    }

    /// Marks it as leaving.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    /// Notes a load report, 0 to 1.
    pub fn record_load(&mut self, now: Moment, load: f64) {
        self.load = Some((load.clamp(0.0, 1.0), now));
    }

    /// Notes the versions it says it holds.
    pub fn record_versions(&mut self, index: &IndexName, report: HeldVersions) {
        match self.versions.get_mut(index) {
            Some(held) => held.merge(report),
            None => {
                self.versions.insert(index.clone(), report);
            }
        }
    }

    /// Whether it is believed to have dropped a version for good.
    pub fn has_dropped(&self, index: &IndexName, version: streamfold_model::IndexVersion) -> bool {
        self.versions(index).is_some_and(|held| held.oldest > version)
    }

    /// Whether it is believed not to have a version yet.
    pub fn lags_behind(&self, index: &IndexName, version: streamfold_model::IndexVersion) -> bool {
        self.versions(index).is_some_and(|held| held.newest < version)
    }
}
