//! How long calls of each priority waited lately at this node, for the nodes that ask it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::Priority;
use streamfold_policy::Moment;

use crate::batch::PriorityWait;

/// How long a wait counts: a node that is told of it decides on requests that arrive now.
const WAIT_LIFE: Duration = Duration::from_secs(1);
/// Priorities with a label of their own in metrics; all less urgent ones share the last.
const LABELLED_PRIORITIES: u32 = 8;

/// How long the last call of a priority waited.
#[derive(Debug, Clone, Copy)]
struct LastWait {
    wait: Duration,
    ended: Moment,
}

/// How long calls of one priority wait.
#[derive(Debug, Clone, Default)]
struct PriorityWaits {
    last: Option<LastWait>,
    /// When those that wait still began to, with how many did at that moment.
    waiting: BTreeMap<Moment, u32>,
}

impl PriorityWaits {
    fn last(&self, now: Moment) -> Option<Duration> {
        self.last.filter(|last| now.since(last.ended) < WAIT_LIFE).map(|last| last.wait)
    }

    /// How long the call waits that began first: while no server answers none ends its wait.
    fn longest(&self, now: Moment) -> Option<Duration> {
        self.waiting.keys().next().map(|joined| now.since(*joined))
    }

    fn is_over(&self, now: Moment) -> bool {
        self.waiting.is_empty() && self.last(now).is_none()
    }
}

/// How long calls of each priority wait, or waited lately.
#[derive(Debug, Default)]
pub struct CallWaits {
    waits: Mutex<BTreeMap<Priority, PriorityWaits>>,
}

impl CallWaits {
    fn waits(&self) -> MutexGuard<'_, BTreeMap<Priority, PriorityWaits>> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call begins to wait.
    pub fn note_joined(&self, priority: Priority, joined: Moment) {
        *self.waits().entry(priority).or_default().waiting.entry(joined).or_default() += 1;
    }

    /// Notes that a call waits no more that began to at a moment.
    pub fn note_left(&self, priority: Priority, joined: Moment) {
        let mut waits = self.waits();
        let Some(of_priority) = waits.get_mut(&priority) else { return };
        let Some(count) = of_priority.waiting.get_mut(&joined) else { return };
        *count -= 1;
        if *count == 0 {
            of_priority.waiting.remove(&joined);
        }
    }

    /// Notes that a call waited so long, or began at once.
    pub fn note(&self, now: Moment, priority: Priority, wait: Duration) {
        let mut waits = self.waits();
        waits.retain(|_, of_priority| !of_priority.is_over(now));
        if !wait.is_zero() || waits.contains_key(&priority) {
            waits.entry(priority).or_default().last = Some(LastWait { wait, ended: now });
        }
    }

    /// The waits of priorities of which any call waits, or waited lately.
    pub fn report(&self, now: Moment) -> Vec<PriorityWait> {
        let waits = self.waits();
        let longest = |waits: &PriorityWaits| waits.last(now).max(waits.longest(now));
        let told = waits.iter().filter_map(|(priority, waits)| Some((*priority, longest(waits)?)));
        told.map(|(priority, wait)| PriorityWait { priority, wait_us: wait.as_micros() as u64 }).collect()
    }
}

/// The label of a priority in metrics.
pub(crate) fn priority_label(priority: Priority) -> String {
    Priority(priority.0.min(LABELLED_PRIORITIES)).to_string()
}
