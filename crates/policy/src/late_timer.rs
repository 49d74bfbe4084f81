//! When a request acts on its timers after its node was paused.
//!
//! The load pattern: a node is paused, or its threads get no processor time for a while. When it resumes, the timers of
//! all its requests expire at once, while replies and cancellations that arrived meanwhile are still unread. Hedges
//! sent at that moment duplicate calls that were answered long ago, and some belong to requests that were cancelled.

use std::time::Duration;

use crate::Moment;

/// Maximum lateness of a timer on a running node: timers fire some milliseconds late.
const MAX_LATENESS: Duration = Duration::from_millis(30);
/// How long a node that was paused reads what arrived meanwhile before it acts on a timer.
const READ_FIRST: Duration = Duration::from_millis(5);

/// Detects late timers of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerWatch {
    /// Until when unread messages are read before timers are acted on.
    read_until: Option<Moment>,
}

impl TimerWatch {
    /// When the request wakes for a timer.
    pub fn wake_at(&self, timer: Moment) -> Moment {
        self.read_until.map_or(timer, |until| until.max(timer))
    }

    /// Whether a timer that was set for `set_for` is acted on now. If it fired far too late, the node was paused, and
    /// the timer is postponed once by `READ_FIRST`.
    pub fn is_due(&mut self, now: Moment, set_for: Moment) -> bool {
        if self.read_until.take().is_some() || now.since(set_for) < MAX_LATENESS {
            return true;
        }
        self.read_until = Some(now.plus(READ_FIRST));
        false
    }
}
