//! Admission at an entry node: a rate and a number of running requests for each caller, and
//! a limit on all of them that follows how long work waits for slots. Waiting is bounded;
//! slots go to the caller with the fewest running, and of its requests to the one with the
//! earliest deadline. Whatever cannot finish in time is refused at once: it did not run.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::CallerName;

use crate::moment::Moment;

/// Seconds of its rate that a caller may use at once after being quiet.
const BURST_SECONDS: f64 = 1.0;
/// The limit on running requests at first, and its bounds.
const FIRST_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 4.0;
const MAX_LIMIT: f64 = 10_000.0;
/// How often the limit is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Requests that must have ended before the limit moves.
const MIN_SAMPLES: u32 = 8;
/// Waiting for a slot as a share of the time served: above the first the limit falls, below
/// the second it may rise.
const HIGH_WAIT: f64 = 0.75;
const LOW_WAIT: f64 = 0.4;
/// How the limit moves: it falls by how far the waiting is over its bound, at most by half.
const MAX_FALL: f64 = 0.5;
const RISE_FACTOR: f64 = 1.03;
/// Share of a new sample in the typical duration of a request.
const DURATION_GAIN: f64 = 0.05;

/// Why a request is not admitted; it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The caller is over its rate; ask again after the span.
    OverRate(Duration),
    /// The caller has too many requests running.
    OverConcurrency,
    /// There is more work than can be done in time; ask again after the span.
    Overloaded(Duration),
}

/// A request that asks to be let in.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Who asks.
    pub caller: CallerName,
    /// Its requests a second at this node.
    pub rate: f64,
    /// Its requests running at this node.
    pub concurrency: u32,
    /// When its answer is worth nothing any more.
    pub deadline: Moment,
}

/// What became of an ask.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// It may run.
    Started,
    /// It waits under this number.
    Waiting(u64),
    /// It waits under this number in place of another, which is given up.
    Displaced(u64, T),
    /// It is refused.
    Refused(AdmissionRefusal),
}

/// How the work of one request went, as far as admission cares.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkReport {
    /// Time its pieces waited for slots, summed up.
    pub waited: Duration,
    /// Time its pieces were served, summed up.
    pub served: Duration,
}

/// Tokens for a rate.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    tokens: Option<f64>,
    filled: Moment,
}

impl TokenBucket {
    /// Takes a token, or tells how long until there is one. `rate` is tokens a second.
    ///
    /// # Errors
    /// The time until the next token.
    pub fn take(&mut self, now: Moment, rate: f64) -> Result<(), Duration> {
        let burst = (rate * BURST_SECONDS).max(1.0);
        let earned = now.since(self.filled).as_secs_f64() * rate;
        let tokens = self.tokens.map_or(burst, |tokens| (tokens + earned).min(burst));
        self.filled = now;
        if tokens < 1.0 {
            self.tokens = Some(tokens);
            return Err(Duration::from_secs_f64((1.0 - tokens) / rate));
        }
        self.tokens = Some(tokens - 1.0);
        Ok(())
    }
}

#[derive(Debug)]
struct CallerLane<T> {
    rate: TokenBucket,
    running: u32,
    waiting: BTreeMap<(Moment, u64), T>,
}

impl<T> Default for CallerLane<T> {
    fn default() -> Self {
        Self { rate: TokenBucket::default(), running: 0, waiting: BTreeMap::new() }
    }
}

/// The admission of one entry node.
#[derive(Debug)]
pub struct AdmissionControl<T> {
    lanes: BTreeMap<CallerName, CallerLane<T>>,
    is_limited: bool,
    limit: f64,
    running: u32,
    waiting: usize,
    next_number: u64,
    duration_us: f64,
    looked: Moment,
    was_full: bool,
    peak: u32,
    samples: u32,
    waited: Duration,
    served: Duration,
}

impl<T> AdmissionControl<T> {
    /// A gate; without `is_limited` only callers' own rates and concurrencies count.
    pub fn new(is_limited: bool) -> Self {
        Self {
            lanes: BTreeMap::new(),
            is_limited,
            limit: FIRST_LIMIT,
            running: 0,
            waiting: 0,
            next_number: 0,
            duration_us: 0.0,
            looked: Moment::default(),
            was_full: false,
            peak: 0,
            samples: 0,
            waited: Duration::ZERO,
            served: Duration::ZERO,
        }
    }

    /// Requests that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn has_room(&self) -> bool {
        !self.is_limited || self.running < self.limit()
    }

    /// How long a request that comes now waits, by what ended lately.
    fn expected_wait(&self) -> Duration {
        let turns = (self.waiting as f64 + 1.0) / self.limit;
        Duration::from_micros((turns * self.duration_us) as u64)
    }

    fn typical(&self) -> Duration {
        Duration::from_micros(self.duration_us as u64)
    }

    /// Takes one of a caller's tokens for work that needs no place.
    ///
    /// # Errors
    /// The time until the next token.
    pub fn take_rate(&mut self, now: Moment, caller: &CallerName, rate: f64) -> Result<(), Duration> {
        self.lanes.entry(caller.clone()).or_default().rate.take(now, rate)
    }

    /// Asks to let a request in; `tag` is kept while it waits.
    pub fn admit(&mut self, now: Moment, ask: &AdmissionRequest, tag: T) -> Admission<T> {
        let has_room = self.has_room() && self.waiting == 0;
        let lane = self.lanes.entry(ask.caller.clone()).or_default();
        if let Err(wait) = lane.rate.take(now, ask.rate) {
            return Admission::Refused(AdmissionRefusal::OverRate(wait));
        }
        if lane.running + lane.waiting.len() as u32 >= ask.concurrency {
            return Admission::Refused(AdmissionRefusal::OverConcurrency);
        }
        if has_room {
            lane.running += 1;
            self.running += 1;
            self.peak = self.peak.max(self.running);
            return Admission::Started;
        }
        self.was_full = true;
        let wait = self.expected_wait();
        if now.plus(wait + self.typical()) > ask.deadline {
            return Admission::Refused(AdmissionRefusal::Overloaded(wait));
        }
        self.queue(ask, tag, wait)
    }

    fn queue(&mut self, ask: &AdmissionRequest, tag: T, wait: Duration) -> Admission<T> {
        let displaced = if self.waiting >= self.limit() as usize {
            match self.displace(&ask.caller) {
                Some(tag) => Some(tag),
                None => return Admission::Refused(AdmissionRefusal::Overloaded(wait)),
            }
        } else {
            None
        };
        let number = self.next_number;
        self.next_number += 1;
        self.waiting += 1;
        let lane = self.lanes.entry(ask.caller.clone()).or_default();
        lane.waiting.insert((ask.deadline, number), tag);
        match displaced {
            Some(tag) => Admission::Displaced(number, tag),
            None => Admission::Waiting(number),
        }
    }

    /// Makes room in the queue at the cost of the caller that has most waiting, if that is
    /// more than the asking caller has.
    fn displace(&mut self, caller: &CallerName) -> Option<T> {
        let own = self.lanes.get(caller).map_or(0, |lane| lane.waiting.len());
        let longest = self.lanes.values_mut().max_by_key(|lane| lane.waiting.len())?;
        if longest.waiting.len() <= own + 1 {
            return None;
        }
        let (_, tag) = longest.waiting.pop_last()?;
        self.waiting -= 1;
        Some(tag)
    }

    /// Takes a waiting request out again; false if it was started or displaced before.
    pub fn cancel(&mut self, caller: &CallerName, deadline: Moment, number: u64) -> bool {
        let Some(lane) = self.lanes.get_mut(caller) else { return false };
        let removed = lane.waiting.remove(&(deadline, number)).is_some();
        self.waiting -= usize::from(removed);
        removed
    }

    /// Notes that an admitted request ended and returns the waiting ones that start now.
    pub fn finish(
        &mut self,
        now: Moment,
        caller: &CallerName,
        took: Duration,
        report: WorkReport,
    ) -> Vec<(CallerName, T)> {
        if let Some(lane) = self.lanes.get_mut(caller) {
            lane.running = lane.running.saturating_sub(1);
        }
        self.running = self.running.saturating_sub(1);
        if !report.served.is_zero() {
            let sample = took.as_micros() as f64;
            let gain = if self.duration_us == 0.0 { 1.0 } else { DURATION_GAIN };
            self.duration_us += gain * (sample - self.duration_us);
            self.samples += 1;
            self.waited += report.waited;
            self.served += report.served;
        }
        self.look(now);
        self.start_waiting()
    }

    /// Moves the limit by how long work waited for slots since the last look.
    fn look(&mut self, now: Moment) {
        if now.since(self.looked) < LOOK_EVERY || self.samples < MIN_SAMPLES {
            return;
        }
        let share = self.waited.as_secs_f64() / self.served.as_secs_f64().max(1e-9);
        if share > HIGH_WAIT {
            let fall = (HIGH_WAIT / share).sqrt().max(MAX_FALL);
            let in_use = self.limit.min(f64::from(self.peak));
            self.limit = (in_use * fall).max(MIN_LIMIT);
        } else if share < LOW_WAIT && self.was_full {
            self.limit = (self.limit * RISE_FACTOR + 1.0).min(MAX_LIMIT);
        }
        self.looked = now;
        self.was_full = false;
        self.peak = self.running;
        self.samples = 0;
        self.waited = Duration::ZERO;
        self.served = Duration::ZERO;
    }

    fn start_waiting(&mut self) -> Vec<(CallerName, T)> {
        let mut started = Vec::new();
        while self.has_room() && self.waiting > 0 {
            let waiting = self.lanes.iter_mut().filter(|(_, lane)| !lane.waiting.is_empty());
            let Some((caller, lane)) = waiting.min_by_key(|(_, lane)| lane.running) else { break };
            let Some((_, tag)) = lane.waiting.pop_first() else { break };
            lane.running += 1;
            self.running += 1;
            self.waiting -= 1;
            started.push((caller.clone(), tag));
        }
        started
    }
}
