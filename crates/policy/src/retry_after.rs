//! When a caller that is turned away may come back.
//!
//! The load pattern: all nodes, or all servers of some shards, were lost at the same moment, and
//! every caller is turned away within it. Too soon it meets the same, too late it has waited for
//! nothing; and all at once they would be the next burst.

use std::time::Duration;

/// From a node's start until it has routes and servers, where most nodes start together.
const START_TIME: Duration = Duration::from_millis(300);
/// Until the balancer's next choice may be another node, or a link or server is there again.
const SHORTEST: Duration = Duration::from_millis(100);
/// While the store is away nobody knows how long it takes.
const WITHOUT_STORE: Duration = Duration::from_millis(500);
/// Servers that refused or could not be reached: some of their queue is done, and a node that came
/// up meanwhile has its links.
const AFTER_SERVERS: Duration = Duration::from_millis(300);
/// From a trial of what ended servers until its outcome is known everywhere.
const AFTER_TRIAL: Duration = Duration::from_secs(1);
/// Callers come back between so much earlier and later, by dice.
const EARLIEST_SHARE: f64 = 0.8;
const LATEST_SHARE: f64 = 1.5;
/// Callers with a place of their own come back so much later at most, by dice: the next place may be some
/// milliseconds away.
const PLACE_SPREAD: Duration = Duration::from_millis(1);
/// Callers heed a time to come back up to this share of the time that they have left.
const HEEDED_SHARE: f64 = 1.0 / 3.0;
/// How long a refusal takes to reach its caller, who can wait so much less.
const REFUSAL_WAY: Duration = Duration::from_millis(5);

/// Why a caller is turned away though its request is proper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node knows no routes yet, or may lack the newest ones.
    RoutesUnknown {
        /// How long the node has run.
        uptime: Duration,
    },
    /// No server took the request, or too few shards have any.
    NoServer,
    /// Its team is over its limit.
    OverLimit {
        /// Until there is credit for one request more.
        wait: Duration,
    },
    /// Its team is over its limit, and callers return one after the other.
    Reserved {
        /// Until the time of its place.
        wait: Duration,
    },
    /// Its team is over its limit, and the next place is further away than it can use.
    NoReservation {
        /// Until the time of that place.
        wait: Duration,
    },
    /// It cannot be answered within its time, or more urgent requests need the room.
    Overload {
        /// Until that may be otherwise.
        wait: Duration,
    },
    /// What it asks for ends servers, so no server gets it.
    Quarantined {
        /// Until it may be tried again.
        left: Duration,
    },
}

/// When the caller may come back; `dice` is 0 to 1.
pub fn choose_retry_after(reason: RefusalReason, dice: f64) -> Duration {
    let dice = dice.clamp(0.0, 1.0);
    let wait = match reason {
        RefusalReason::RoutesUnknown { uptime } if uptime < START_TIME => (START_TIME - uptime).max(SHORTEST),
        RefusalReason::RoutesUnknown { .. } => WITHOUT_STORE,
        RefusalReason::NoServer => AFTER_SERVERS,
        RefusalReason::OverLimit { wait } => wait.max(SHORTEST),
        RefusalReason::Reserved { wait } => return wait + PLACE_SPREAD.mul_f64(dice),
        RefusalReason::NoReservation { wait } => return wait.max(SHORTEST).mul_f64(1.0 + (LATEST_SHARE - 1.0) * dice),
        // Before that time it would be turned away again, whatever the dice say.
        RefusalReason::Overload { wait } => wait.max(SHORTEST).div_f64(EARLIEST_SHARE),
        // Another request may be the one that is tried, and its outcome is known a second later.
        RefusalReason::Quarantined { left } => left.max(AFTER_TRIAL),
    };
    wait.mul_f64(EARLIEST_SHARE + (LATEST_SHARE - EARLIEST_SHARE) * dice)
}

/// The longest wait until its place that is of use to a caller that has so much time left, and so much until its target.
/// A place beyond the target would cost a newcomer, which could be served at once, an answer in time.
pub fn usable_wait(left: Duration, target_left: Duration) -> Duration {
    left.mul_f64(HEEDED_SHARE).min(target_left).saturating_sub(PLACE_SPREAD + REFUSAL_WAY)
}
