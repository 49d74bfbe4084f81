//! Tracks the recent queueing delay of calls of each priority on this node, which is reported to other nodes.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::Priority;
use streamfold_policy::Moment;

use crate::batch::PriorityWait;

/// How long a measured wait is reported. A node that receives it decides on requests that arrive now.
const WAIT_EXPIRY: Duration = Duration::from_secs(1);
/// Number of priorities with a metrics label of their own. All less urgent priorities share the last label.
const LABELLED_PRIORITIES: u32 = 8;

/// The wait of the last call of a priority that left the queue.
#[derive(Debug, Clone, Copy)]
struct LastWait {
    wait: Duration,
    ended: Moment,
}

/// The waits of calls of one priority.
#[derive(Debug, Clone, Default)]
struct PriorityWaits {
    last: Option<LastWait>,
    /// Start times of the calls that still wait, with the number of calls for each.
    waiting: BTreeMap<Moment, u32>,
}

impl PriorityWaits {
    fn last(&self, now: Moment) -> Option<Duration> {
        self.last.filter(|last| now.since(last.ended) < WAIT_EXPIRY).map(|last| last.wait)
    }

    /// How long the oldest waiting call has waited. While no server answers, no call leaves the queue and no wait is
    /// measured.
    fn current(&self, now: Moment) -> Option<Duration> {
        self.waiting.keys().next().map(|joined| now.since(*joined))
    }

    fn is_stale(&self, now: Moment) -> bool {
        self.waiting.is_empty() && self.last(now).is_none()
    }
}

/// The current and recent waits of calls of each priority.
#[derive(Debug, Default)]
pub struct CallWaits {
    waits: Mutex<BTreeMap<Priority, PriorityWaits>>,
}

impl CallWaits {
    fn waits(&self) -> MutexGuard<'_, BTreeMap<Priority, PriorityWaits>> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a call started to wait at `joined`.
    pub fn note_joined(&self, priority: Priority, joined: Moment) {
        *self.waits().entry(priority).or_default().waiting.entry(joined).or_default() += 1;
    }

    /// Records that a call which started to wait at `joined` no longer waits.
    pub fn note_left(&self, priority: Priority, joined: Moment) {
        let mut waits = self.waits();
        let Some(priority_waits) = waits.get_mut(&priority) else { return };
        let Some(count) = priority_waits.waiting.get_mut(&joined) else { return };
        *count -= 1;
        if *count == 0 {
            priority_waits.waiting.remove(&joined);
        }
    }

    /// Records the wait of a call that left the queue; zero if it was sent without waiting.
    pub fn note(&self, now: Moment, priority: Priority, wait: Duration) {
        let mut waits = self.waits();
        waits.retain(|_, priority_waits| !priority_waits.is_stale(now));
        if !wait.is_zero() || waits.contains_key(&priority) {
            waits.entry(priority).or_default().last = Some(LastWait { wait, ended: now });
        }
    }

    /// The longest current or recent wait of each priority that has one.
    pub fn report(&self, now: Moment) -> Vec<PriorityWait> {
        let waits = self.waits();
        let longest = |waits: &PriorityWaits| waits.last(now).max(waits.current(now));
        let reported = waits.iter().filter_map(|(priority, waits)| Some((*priority, longest(waits)?)));
        reported.map(|(priority, wait)| PriorityWait { priority, wait_us: wait.as_micros() as u64 }).collect()
    }
}

/// The metrics label of a priority.
pub(crate) fn priority_label(priority: Priority) -> String {
    Priority(priority.0.min(LABELLED_PRIORITIES)).to_string()
}
