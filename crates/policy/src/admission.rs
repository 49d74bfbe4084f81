//! Admission control at an entry node: a rate limit and a concurrency limit for each caller, and an adaptive
//! concurrency limit on all requests that follows how long work waits for server slots.
//!
//! The queue is bounded. A free slot goes to the caller with the fewest running requests, and among its requests to the
//! one with the earliest deadline. A request that cannot finish in time is refused at once and does not run.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::CallerName;

use crate::moment::Moment;

/// Size of a token bucket, in seconds of its rate: what a caller may use at once after being idle.
const BURST_SECONDS: f64 = 1.0;
/// The longest time until the next token that is told; tiny rates would need more than any `Duration` holds.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(24 * 3_600);
/// Initial value and bounds of the concurrency limit.
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 4.0;
const MAX_LIMIT: f64 = 10_000.0;
/// Minimum time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that must have ended since the last adjustment before the limit is adjusted again.
const MIN_SAMPLES: u32 = 8;
/// Time waited for slots as a share of the time served. The limit falls above `HIGH_WAIT_SHARE` and may rise below
/// `LOW_WAIT_SHARE`.
const HIGH_WAIT_SHARE: f64 = 0.75;
const LOW_WAIT_SHARE: f64 = 0.4;
/// The smallest factor of one decrease (by half). The factor is the square root of `HIGH_WAIT_SHARE` over the measured
/// share.
const MIN_DECREASE_FACTOR: f64 = 0.5;
/// The factor of one increase, to which one is added.
const INCREASE_FACTOR: f64 = 1.03;
/// Weight of a new sample in the moving average of request durations.
const DURATION_GAIN: f64 = 0.05;

/// Why a request is not admitted. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The caller is over its rate; it may retry after this time.
    OverRate(Duration),
    /// The caller has too many requests running or queued.
    OverConcurrency,
    /// The node has more work than it can finish in time; the caller may retry after this time.
    Overloaded(Duration),
}

/// A request for admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The caller.
    pub caller: CallerName,
    /// The caller's rate limit at this node, in requests per second.
    pub rate: f64,
    /// The caller's limit on running and queued requests at this node.
    pub concurrency: u32,
    /// When the answer no longer has any value.
    pub deadline: Moment,
}

/// The result of [`AdmissionControl::admit`].
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// The request may run.
    Started,
    /// The request is queued under this number.
    Waiting(u64),
    /// The request is queued under this number and displaces another one, whose tag is returned.
    Displaced(u64, T),
    /// The request is refused.
    Refused(AdmissionRefusal),
}

/// The times of one request's work from which the limit is adjusted.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkReport {
    /// Total time that its pieces of work waited for slots.
    pub waited: Duration,
    /// Total time that its pieces of work were served.
    pub served: Duration,
}

/// A token bucket that refills at a rate and starts full.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    tokens: Option<f64>,
    last_refill: Moment,
}

impl TokenBucket {
    /// Takes a token. `rate` is in tokens per second.
    ///
    /// # Errors
    /// The time until the next token.
    pub fn take(&mut self, now: Moment, rate: f64) -> Result<(), Duration> {
        let burst = (rate * BURST_SECONDS).max(1.0);
        let earned = now.since(self.last_refill).as_secs_f64() * rate;
        let tokens = self.tokens.map_or(burst, |tokens| (tokens + earned).min(burst));
        self.last_refill = now;
        if tokens < 1.0 {
            self.tokens = Some(tokens);
            let wait = Duration::try_from_secs_f64((1.0 - tokens) / rate).unwrap_or(MAX_TOKEN_WAIT);
            return Err(wait.min(MAX_TOKEN_WAIT));
        }
        self.tokens = Some(tokens - 1.0);
        Ok(())
    }
}

/// The requests of one caller.
#[derive(Debug)]
struct CallerState<T> {
    rate: TokenBucket,
    running: u32,
    /// Queued requests by deadline and number.
    waiting: BTreeMap<(Moment, u64), T>,
}

impl<T> Default for CallerState<T> {
    fn default() -> Self {
        Self { rate: TokenBucket::default(), running: 0, waiting: BTreeMap::new() }
    }
}

/// Admission control of one entry node.
#[derive(Debug)]
pub struct AdmissionControl<T> {
    callers: BTreeMap<CallerName, CallerState<T>>,
    is_limited: bool,
    limit: f64,
    running: u32,
    waiting: usize,
    next_number: u64,
    mean_duration_us: f64,
    last_adjusted: Moment,
    was_full: bool,
    peak_running: u32,
    samples: u32,
    waited: Duration,
    served: Duration,
}

impl<T> AdmissionControl<T> {
    /// Creates admission control; without `is_limited` only the limits of each caller apply.
    pub fn new(is_limited: bool) -> Self {
        Self {
            callers: BTreeMap::new(),
            is_limited,
            limit: INITIAL_LIMIT,
            running: 0,
            waiting: 0,
            next_number: 0,
            mean_duration_us: 0.0,
            last_adjusted: Moment::default(),
            was_full: false,
            peak_running: 0,
            samples: 0,
            waited: Duration::ZERO,
            served: Duration::ZERO,
        }
    }

    /// The current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// The number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn has_capacity(&self) -> bool {
        !self.is_limited || self.running < self.limit()
    }

    /// The expected queueing time of a new request, by the recent request durations.
    fn expected_wait(&self) -> Duration {
        let rounds = (self.waiting as f64 + 1.0) / self.limit;
        Duration::from_micros((rounds * self.mean_duration_us) as u64)
    }

    /// The moving average of request durations.
    fn typical_duration(&self) -> Duration {
        Duration::from_micros(self.mean_duration_us as u64)
    }

    /// Takes one of a caller's tokens for work that does not count against the concurrency limits.
    ///
    /// # Errors
    /// The time until the next token.
    pub fn take_rate(&mut self, now: Moment, caller: &CallerName, rate: f64) -> Result<(), Duration> {
        self.callers.entry(caller.clone()).or_default().rate.take(now, rate)
    }

    /// Admits, queues or refuses a request; `tag` is kept while it is queued.
    pub fn admit(&mut self, now: Moment, request: &AdmissionRequest, tag: T) -> Admission<T> {
        let has_capacity = self.has_capacity() && self.waiting == 0;
        let state = self.callers.entry(request.caller.clone()).or_default();
        if let Err(wait) = state.rate.take(now, request.rate) {
            return Admission::Refused(AdmissionRefusal::OverRate(wait));
        }
        if state.running + state.waiting.len() as u32 >= request.concurrency {
            return Admission::Refused(AdmissionRefusal::OverConcurrency);
        }
        if has_capacity {
            state.running += 1;
            self.running += 1;
            self.peak_running = self.peak_running.max(self.running);
            return Admission::Started;
        }
        self.was_full = true;
        let wait = self.expected_wait();
        if now.plus(wait + self.typical_duration()) > request.deadline {
            return Admission::Refused(AdmissionRefusal::Overloaded(wait));
        }
        self.enqueue(request, tag, wait)
    }

    /// Queues a request; if the queue is full, it displaces one of another caller or is refused.
    fn enqueue(&mut self, request: &AdmissionRequest, tag: T, wait: Duration) -> Admission<T> {
        let displaced = if self.waiting >= self.limit() as usize {
            match self.displace(&request.caller) {
                Some(tag) => Some(tag),
                None => return Admission::Refused(AdmissionRefusal::Overloaded(wait)),
            }
        } else {
            None
        };
        let number = self.next_number;
        self.next_number += 1;
        self.waiting += 1;
        let state = self.callers.entry(request.caller.clone()).or_default();
        state.waiting.insert((request.deadline, number), tag);
        match displaced {
            Some(tag) => Admission::Displaced(number, tag),
            None => Admission::Waiting(number),
        }
    }

    /// Removes the queued request with the latest deadline of the caller that has the most queued, if that caller has
    /// at least two more than `caller`.
    fn displace(&mut self, caller: &CallerName) -> Option<T> {
        let own_waiting = self.callers.get(caller).map_or(0, |state| state.waiting.len());
        let busiest = self.callers.values_mut().max_by_key(|state| state.waiting.len())?;
        if busiest.waiting.len() <= own_waiting + 1 {
            return None;
        }
        let (_, tag) = busiest.waiting.pop_last()?;
        self.waiting -= 1;
        Some(tag)
    }

    /// Removes a queued request; false if it already started or was displaced.
    pub fn cancel(&mut self, caller: &CallerName, deadline: Moment, number: u64) -> bool {
        let Some(state) = self.callers.get_mut(caller) else { return false };
        let is_removed = state.waiting.remove(&(deadline, number)).is_some();
        self.waiting -= usize::from(is_removed);
        is_removed
    }

    /// Records that an admitted request ended and returns the queued requests that start now.
    pub fn finish(
        &mut self,
        now: Moment,
        caller: &CallerName,
        took: Duration,
        report: WorkReport,
    ) -> Vec<(CallerName, T)> {
        if let Some(state) = self.callers.get_mut(caller) {
            state.running = state.running.saturating_sub(1);
        }
        self.running = self.running.saturating_sub(1);
        if !report.served.is_zero() {
            let sample = took.as_micros() as f64;
            let gain = if self.mean_duration_us == 0.0 { 1.0 } else { DURATION_GAIN };
            self.mean_duration_us += gain * (sample - self.mean_duration_us);
            self.samples += 1;
            self.waited += report.waited;
            self.served += report.served;
        }
        self.adjust_limit(now);
        self.start_waiting()
    }

    /// Adjusts the limit by how long work waited for slots since the last adjustment.
    fn adjust_limit(&mut self, now: Moment) {
        if now.since(self.last_adjusted) < ADJUST_INTERVAL || self.samples < MIN_SAMPLES {
            return;
        }
        let wait_share = self.waited.as_secs_f64() / self.served.as_secs_f64().max(1e-9);
        if wait_share > HIGH_WAIT_SHARE {
            let factor = (HIGH_WAIT_SHARE / wait_share).sqrt().max(MIN_DECREASE_FACTOR);
            let in_use = self.limit.min(f64::from(self.peak_running));
            self.limit = (in_use * factor).max(MIN_LIMIT);
        } else if wait_share < LOW_WAIT_SHARE && self.was_full {
            self.limit = (self.limit * INCREASE_FACTOR + 1.0).min(MAX_LIMIT);
        }
        self.last_adjusted = now;
        self.was_full = false;
        self.peak_running = self.running;
        self.samples = 0;
        self.waited = Duration::ZERO;
        self.served = Duration::ZERO;
    }

    /// Starts queued requests while there is capacity, those of the caller with the fewest running first.
    fn start_waiting(&mut self) -> Vec<(CallerName, T)> {
        let mut started = Vec::new();
        while self.has_capacity() && self.waiting > 0 {
            let waiting = self.callers.iter_mut().filter(|(_, state)| !state.waiting.is_empty());
            let Some((caller, state)) = waiting.min_by_key(|(_, state)| state.running) else { break };
            let Some((_, tag)) = state.waiting.pop_first() else { break };
            state.running += 1;
            self.running += 1;
            self.waiting -= 1;
            started.push((caller.clone(), tag));
        }
        started
    }
}
