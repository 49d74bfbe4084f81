//! How long calls of each priority waited lately at this node, for the nodes that ask it.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
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

/// How long calls of each priority waited lately.
#[derive(Debug, Default)]
pub struct CallWaits {
    last: Mutex<BTreeMap<Priority, LastWait>>,
}

impl CallWaits {
    /// Notes that a call waited so long, or began at once.
    pub fn note(&self, now: Moment, priority: Priority, wait: Duration) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.retain(|_, wait| now.since(wait.ended) < WAIT_LIFE);
        if !wait.is_zero() || last.contains_key(&priority) {
            last.insert(priority, LastWait { wait, ended: now });
        }
    }

    /// The waits of priorities of which any call waited lately.
    pub fn report(&self, now: Moment) -> Vec<PriorityWait> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = last.iter().filter(|(_, last)| now.since(last.ended) < WAIT_LIFE);
        recent
            .map(|(priority, last)| PriorityWait { priority: *priority, wait_us: last.wait.as_micros() as u64 })
            .collect()
    }
}

/// The label of a priority in metrics.
pub(crate) fn priority_label(priority: Priority) -> String {
    Priority(priority.0.min(LABELLED_PRIORITIES)).to_string()
}
