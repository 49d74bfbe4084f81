//! When a request looks at its alarms.
//!
//! The load pattern: a node is paused, or its threads get no processor for a while. When it goes on, the alarms of all its
//! requests are over at once, while answers and cancels that came meanwhile wait to be read. Second calls sent at that moment
//! go round calls that were answered long ago, and some are of requests that were given up.

use std::time::Duration;

use crate::Moment;

/// How much later than it was set for an alarm may fire on a node that runs: timers are some milliseconds late.
const MAX_LATE: Duration = Duration::from_millis(30);
/// How long a node that did not run reads what came meanwhile before it acts on an alarm.
const READ_FIRST: Duration = Duration::from_millis(5);

/// The alarms of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerWatch {
    /// Until when what came meanwhile is read.
    reads_until: Option<Moment>,
}

impl TimerWatch {
    /// When the request wakes for an alarm.
    pub fn wake_at(&self, alarm: Moment) -> Moment {
        self.reads_until.map_or(alarm, |until| until.max(alarm))
    }

    /// Whether an alarm that was set for a moment is acted on now. If it fired far too late, the node did not run, and it is
    /// put off once.
    pub fn is_due(&mut self, now: Moment, set_for: Moment) -> bool {
        if self.reads_until.take().is_some() || now.since(set_for) < MAX_LATE {
            return true;
        }
        self.reads_until = Some(now.plus(READ_FIRST));
        false
    }
}
