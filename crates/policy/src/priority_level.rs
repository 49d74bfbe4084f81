//! Load shedding by priority: which priorities are admitted while calls wait.
//!
//! The load pattern: a burst of less urgent requests, or a slowdown of servers, makes urgent calls wait so long that
//! they miss their target latency. Waits go up and down within a second, and refusals shorten them at once, so the
//! admitted level reacts only to conditions that last, and opens more slowly than it closes.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;

/// A wait above this share of the target is long: the rest is too little for the call's own work, the network paths,
/// and the shard that waits longest.
const LONG_SHARE: f64 = 0.5;
/// A wait up to this share of the target is short: the answer is in time with a margin.
const SHORT_SHARE: f64 = 0.2;
/// Time for which waits must have been long before a level is closed. The pause of a server and its effect on the calls
/// behind it are over by then.
const CLOSE_AFTER: Duration = Duration::from_millis(500);
/// Minimum number of requests of a priority within that time. With fewer requests nothing shows that long waits last.
const MIN_REQUESTS: u32 = 4;
/// Waits that fell to this share of their first value are recovering, which takes time and no further closed level.
const RELIEF_SHARE: f64 = 0.8;
/// Time for which waits must have been short before a level is opened again. Refused callers are back by then, and
/// their requests are part of the load that the level must sustain.
const OPEN_AFTER: Duration = Duration::from_secs(2);
/// Upper bound of that time, which doubles whenever a level must be closed again soon after it was opened.
const MAX_OPEN_AFTER: Duration = Duration::from_secs(16);

/// A period in which the waits of a priority are long.
#[derive(Debug, Clone, Copy)]
struct LongPeriod {
    since: Moment,
    last: Moment,
    requests: u32,
    /// The wait at its start.
    wait: Duration,
    /// The shortest target latency for which the waits are too long.
    target: Duration,
}

/// The admitted priorities, which follow how long calls wait.
#[derive(Debug, Clone)]
pub struct PriorityLevel {
    /// Every known priority with its current period of long waits.
    long_periods: BTreeMap<Priority, Option<LongPeriod>>,
    /// The number of closed priorities, the least urgent first.
    closed: usize,
    /// Since when waits have been short; advanced when a level is closed or opened.
    short_since: Moment,
    /// When a level was last opened, if none was closed since.
    opened: Option<Moment>,
    /// The time for which waits must be short before the next level is opened.
    open_after: Duration,
}

impl Default for PriorityLevel {
    fn default() -> Self {
        Self {
            long_periods: BTreeMap::new(),
            closed: 0,
            short_since: Moment::default(),
            opened: None,
            open_after: OPEN_AFTER,
        }
    }
}

impl PriorityLevel {
    /// Records how long calls of a priority wait when a request with this target latency arrives.
    pub fn note(&mut self, now: Moment, priority: Priority, target: Duration, wait: Duration) {
        let is_new = !self.long_periods.contains_key(&priority);
        if is_new && self.is_closed(priority) {
            self.closed += 1;
        }
        let period = self.long_periods.entry(priority).or_default();
        *period = match wait > target.mul_f64(LONG_SHARE) {
            true => Some(extend(*period, now, wait, target)),
            // A wait that is short for a long target may still be long for the period's shorter target.
            false => period.filter(|period| period.target < target),
        };
        if wait > target.mul_f64(SHORT_SHARE) && !self.is_closed(priority) {
            self.short_since = now;
        }
        self.open(now);
        if self.is_overloaded(now, priority) {
            self.close(now);
        }
    }

    /// The number of known priorities that are closed.
    pub fn closed(&self) -> usize {
        self.closed
    }

    /// The least urgent admitted priority; `None` if all are admitted.
    pub fn lowest_open(&self) -> Option<Priority> {
        let open = self.long_periods.len() - self.closed;
        (self.closed > 0).then(|| self.long_periods.keys().nth(open - 1).copied()).flatten()
    }

    /// Whether requests of a priority are refused.
    pub fn is_closed(&self, priority: Priority) -> bool {
        self.lowest_open().is_some_and(|lowest| priority > lowest)
    }

    /// Time until a closed priority opens if waits are short from now on.
    pub fn time_to_open(&self, now: Moment, priority: Priority) -> Duration {
        let open = self.long_periods.len() - self.closed;
        let steps = self.long_periods.keys().skip(open).filter(|closed| **closed <= priority).count();
        let total = self.open_after * u32::try_from(steps.max(1)).unwrap_or(u32::MAX);
        total.saturating_sub(now.since(self.short_since))
    }

    /// Whether waits of a priority have been long for [`CLOSE_AFTER`] while a less urgent one is admitted.
    fn is_overloaded(&self, now: Moment, priority: Priority) -> bool {
        let period = self.long_periods.get(&priority).copied().flatten();
        let is_lasting =
            period.is_some_and(|period| now.since(period.since) >= CLOSE_AFTER && period.requests >= MIN_REQUESTS);
        let lowest = self.lowest_open().or_else(|| self.long_periods.keys().next_back().copied());
        is_lasting && lowest.is_some_and(|lowest| lowest > priority)
    }

    /// Closes the least urgent admitted priority. All periods of long waits start again, so the next priority is closed
    /// [`CLOSE_AFTER`] later at the earliest.
    fn close(&mut self, now: Moment) {
        let is_soon = self.opened.is_some_and(|opened| now.since(opened) < self.open_after);
        self.open_after = if is_soon { (self.open_after * 2).min(MAX_OPEN_AFTER) } else { self.base_open_after() };
        self.closed += 1;
        self.opened = None;
        self.short_since = now;
        self.long_periods.values_mut().for_each(|period| *period = None);
    }

    /// How long waits must be short before a level that is closed now is opened again, if none was opened just before:
    /// the current time if other levels are closed, otherwise the shortest.
    fn base_open_after(&self) -> Duration {
        if self.closed > 0 { self.open_after } else { OPEN_AFTER }
    }

    /// Opens one level for each `open_after` for which waits have been short.
    fn open(&mut self, now: Moment) {
        while self.closed > 0 && now.since(self.short_since) >= self.open_after {
            self.closed -= 1;
            self.short_since = self.short_since.plus(self.open_after);
            self.opened = Some(now);
        }
    }
}

/// Extends a period of long waits by one request. The period starts again if no request saw it for [`CLOSE_AFTER`], or
/// if waits have fallen to [`RELIEF_SHARE`] of its first wait.
fn extend(period: Option<LongPeriod>, now: Moment, wait: Duration, target: Duration) -> LongPeriod {
    let is_lasting =
        |period: &LongPeriod| now.since(period.last) < CLOSE_AFTER && wait > period.wait.mul_f64(RELIEF_SHARE);
    let current = period.filter(is_lasting).unwrap_or(LongPeriod { since: now, last: now, requests: 0, wait, target });
    LongPeriod { last: now, requests: current.requests + 1, target: current.target.min(target), ..current }
}
