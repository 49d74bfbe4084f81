//! Estimates when enough shards of a request have answered, so that a request that cannot finish in time is not
//! started.
//!
//! The load pattern: servers of some shards are slow for many seconds, or silent. A request that needs them starts,
//! blocks its caller until the deadline, and wastes the work of the servers of all other shards. The state of a server
//! may be old or wrong, so every estimate is the earliest time that the known state allows.

use std::time::Duration;

use crate::moment::Moment;

/// Number of consistent observations from which an estimate is confirmed. A single one may be wrong or old.
const MIN_OBSERVATIONS: u32 = 2;

/// Estimated time until a server has answered a call made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEstimate {
    /// The earliest time that the state of the server allows.
    pub finish: Duration,
    /// Number of observations that support the estimate: an answer that reported it, or a call that got no answer.
    pub observations: u32,
}

impl ServerEstimate {
    /// Estimate for a server without observations: it is expected to answer in time.
    pub const UNKNOWN: Self = Self { finish: Duration::ZERO, observations: 0 };

    /// Whether the estimate holds if any single observation is discarded.
    pub fn is_confirmed(self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }
}

/// State of a server from which the time of an answer can be estimated.
pub trait FinishEstimator {
    /// Estimates the answer time of a call made now. `typical` is the usual duration of such calls, `slow_period` the
    /// mean length of a slow period.
    fn estimate_finish(&self, now: Moment, typical: Duration, slow_period: Duration) -> ServerEstimate;
}

/// Estimated time until a shard has answered: that of its best server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardEstimate {
    /// The earliest time; `None` if no server may be called.
    pub finish: Option<Duration>,
    /// Whether the estimate holds if any single observation is discarded.
    pub is_confirmed: bool,
}

impl ShardEstimate {
    /// Combines the estimates of a shard's servers. Stops at the first server that is expected to answer within
    /// `within`.
    pub fn of(servers: impl Iterator<Item = ServerEstimate>, within: Duration) -> Self {
        let mut shard = Self { finish: None, is_confirmed: true };
        for server in servers {
            shard.is_confirmed &= server.is_confirmed();
            shard.finish = Some(shard.finish.map_or(server.finish, |finish| finish.min(server.finish)));
            if server.finish <= within {
                break;
            }
        }
        shard
    }
}

/// Estimates when `needed` of the shards have answered, such that the estimate holds if any single observation is
/// discarded. `None` if too few shards have a server.
pub fn estimate_answers(shards: &[ShardEstimate], needed: usize) -> Option<Duration> {
    let mut finishes: Vec<Duration> = shards.iter().filter_map(|shard| shard.finish).collect();
    let unconfirmed = shards.iter().filter(|shard| !shard.is_confirmed).filter_map(|shard| shard.finish).max();
    finishes.sort_unstable();
    let last = *finishes.get(needed.checked_sub(1)?)?;
    // If one observation is discarded, its shard may answer in time, so one fewer of the other shards is needed.
    match unconfirmed {
        Some(unconfirmed) if unconfirmed >= last => {
            Some(needed.checked_sub(2).map_or(Duration::ZERO, |position| finishes[position]))
        }
        _ => Some(last),
    }
}
