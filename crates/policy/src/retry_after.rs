//! Retry delay for refused callers (`retry-after`).
//!
//! The load pattern is the simultaneous loss of all nodes, or of all servers of some shards, in which every caller is
//! refused within the same moment. A caller that retries too early is refused again, one that retries too late waits
//! for nothing, and callers that retry at the same time cause the next burst.

use std::time::Duration;

/// Time from the start of a node until it has routes and servers, when most nodes start together.
const STARTUP_TIME: Duration = Duration::from_millis(300);
/// Shortest delay: after it the balancer may choose another node, or a link or server may have recovered.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Delay while the store is unavailable, since the length of the outage is unknown.
const STORE_OUTAGE_DELAY: Duration = Duration::from_millis(500);
/// Delay after servers refused or were unreachable: by then they have worked off part of their queue, and a node that
/// has just come up has its links.
const NO_SERVER_DELAY: Duration = Duration::from_millis(300);
/// Delay while there is no memory for requests: by then some of those that hold it have ended.
const NO_MEMORY_DELAY: Duration = Duration::from_millis(500);
/// Time from the trial of a content that crashed servers until all nodes know the outcome.
const TRIAL_OUTCOME_DELAY: Duration = Duration::from_secs(1);
/// Range of the random jitter, as factors of the delay.
const MIN_JITTER: f64 = 0.8;
const MAX_JITTER: f64 = 1.5;
/// Maximum random jitter for callers with a reservation. The next reservation may be only a few milliseconds later.
const RESERVATION_JITTER: Duration = Duration::from_millis(1);
/// Callers honour a retry delay up to this fraction of their remaining time.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;
/// Time that a refusal takes to reach its caller, which shortens the usable wait.
const REFUSAL_LATENCY: Duration = Duration::from_millis(5);

/// The reason for refusing a valid request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node has no routes yet, or may lack the newest ones.
    RoutesUnknown {
        /// Time since the start of the node.
        uptime: Duration,
    },
    /// No server accepted the request, or too few shards have a server.
    NoServer,
    /// The team is over its rate limit.
    OverLimit {
        /// Time until there is credit for one more request.
        wait: Duration,
    },
    /// The team is over its rate limit, and the caller has a reservation for its retry.
    Reserved {
        /// Time until the reservation.
        wait: Duration,
    },
    /// The team is over its rate limit, and the next free reservation is too late for the caller.
    NoReservation {
        /// Time until that reservation.
        wait: Duration,
    },
    /// The request cannot finish in time, or more urgent requests need the capacity.
    Overload {
        /// Time until this may have changed.
        wait: Duration,
    },
    /// There is no memory for the request.
    NoMemory,
    /// The node is stopping and would end before the request.
    Stopping,
    /// The content crashes servers, so it is quarantined.
    Quarantined {
        /// Time until the next trial.
        left: Duration,
    },
}

/// The delay after which the caller may retry. `random` is a uniform random number from 0 to 1.
pub fn choose_retry_after(reason: RefusalReason, random: f64) -> Duration {
    let random = random.clamp(0.0, 1.0);
    let wait = match reason {
        RefusalReason::RoutesUnknown { uptime } if uptime < STARTUP_TIME => (STARTUP_TIME - uptime).max(MIN_DELAY),
        RefusalReason::RoutesUnknown { .. } => STORE_OUTAGE_DELAY,
        RefusalReason::NoServer => NO_SERVER_DELAY,
        RefusalReason::NoMemory => NO_MEMORY_DELAY,
        // Another node may serve the caller as soon as it returns.
        RefusalReason::Stopping => MIN_DELAY,
        RefusalReason::OverLimit { wait } => wait.max(MIN_DELAY),
        RefusalReason::Reserved { wait } => return wait + RESERVATION_JITTER.mul_f64(random),
        RefusalReason::NoReservation { wait } => return wait.max(MIN_DELAY).mul_f64(1.0 + (MAX_JITTER - 1.0) * random),
        // Never earlier than `wait`, since the caller would be refused again.
        RefusalReason::Overload { wait } => wait.max(MIN_DELAY).div_f64(MIN_JITTER),
        // The trial may be another request, and its outcome is known a second later.
        RefusalReason::Quarantined { left } => left.max(TRIAL_OUTCOME_DELAY),
    };
    wait.mul_f64(MIN_JITTER + (MAX_JITTER - MIN_JITTER) * random)
}

/// The longest wait for a reservation that a caller can use, given the time left until its deadline and until its
/// target latency. A reservation after the target would take an in-time answer from a new caller that could be served
/// at once.
pub fn usable_wait(left: Duration, target_left: Duration) -> Duration {
    left.mul_f64(HONOURED_FRACTION).min(target_left).saturating_sub(RESERVATION_JITTER + REFUSAL_LATENCY)
}
