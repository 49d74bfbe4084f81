//! The schedule of a planned stop: when a node refuses work, hands over its tickets, gives up the work in flight and
//! ends, so that all of it fits between SIGTERM and SIGKILL.

use std::time::Duration;

/// Time before the platform kills the process at which it ends, and the share of the grace period that is at most
/// reserved for it.
const KILL_MARGIN: Duration = Duration::from_millis(400);
const MAX_KILL_SHARE: f64 = 0.1;
/// Time for sending the answers of work that was given up and for announcing the end.
const ANSWER_TIME: Duration = Duration::from_millis(600);
const MAX_ANSWER_SHARE: f64 = 0.1;
/// Time for handing over tickets.
const HANDOVER_TIME: Duration = Duration::from_secs(2);
const MAX_HANDOVER_SHARE: f64 = 0.2;

/// When a stopping node enters each step of its stop, as times since it was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Work that arrives later is refused.
    pub refuse_after: Duration,
    /// Tickets are handed over at the latest, even if orders are still in flight.
    pub hand_over_after: Duration,
    /// Work that is still in flight is given up, and its callers are answered.
    pub give_up_after: Duration,
    /// The process ends at the latest.
    pub end_after: Duration,
}

impl StopSchedule {
    /// Plans the stop of a node that takes work for `lame_duck` and is killed after `grace`. A longer `lame_duck` than
    /// the grace period has room for is cut short.
    pub fn new(lame_duck: Duration, grace: Duration) -> Self {
        let end_after = grace - KILL_MARGIN.min(grace.mul_f64(MAX_KILL_SHARE));
        let give_up_after = end_after - ANSWER_TIME.min(grace.mul_f64(MAX_ANSWER_SHARE));
        let hand_over_after = give_up_after - HANDOVER_TIME.min(grace.mul_f64(MAX_HANDOVER_SHARE));
        let refuse_after = lame_duck.min(hand_over_after);
        Self { refuse_after, hand_over_after, give_up_after, end_after }
    }
}
