//! When the servers of a request's shards are expected to have answered, by what is known of them.
//!
//! The load pattern: servers of some shards are slow for many seconds, or silent, and a request that needs them is
//! begun, holds its caller until its deadline, and has used servers of all other shards for nothing. What is known
//! may be old or wrong, so every figure here is the earliest that it allows.

use std::time::Duration;

use crate::moment::Moment;

/// A server's finish counts as solid from so many observations on that say the same. One may be mistaken or old.
const SOLID_EVIDENCE: u32 = 2;

/// When a server is expected to have answered a call that goes to it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEstimate {
    /// The earliest by what is known.
    pub finish: Duration,
    /// How many observations support that: an answer that told of it, a call that was not answered.
    pub observations: u32,
}

impl ServerEstimate {
    /// That of a server of which nothing is known: it is expected in time.
    pub const UNKNOWN: Self = Self { finish: Duration::ZERO, observations: 0 };

    /// Whether it holds without any one observation.
    pub fn is_confirmed(self) -> bool {
        self.observations >= SOLID_EVIDENCE
    }
}

/// What is known of when a server answers.
pub trait FinishEstimator {
    /// When a call that goes to it now is expected to be answered, where such calls usually take `typical` and
    /// servers stay slow for `spell`.
    fn estimate_finish(&self, now: Moment, typical: Duration, spell: Duration) -> ServerEstimate;
}

/// When a shard is expected to have answered: as soon as its best server has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardEstimate {
    /// The earliest; none where no server may be asked.
    pub finish: Option<Duration>,
    /// Whether that holds without any one observation.
    pub is_confirmed: bool,
}

impl ShardEstimate {
    /// That of a shard with some servers, of which no further one is looked at once one is expected within a time.
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

/// When `needed` of some shards are expected to have answered, whichever observation is left out; none where too few
/// have a server at all.
pub fn estimate_answers(shards: &[ShardEstimate], needed: usize) -> Option<Duration> {
    let mut finishes: Vec<Duration> = shards.iter().filter_map(|shard| shard.finish).collect();
    let fragile = shards.iter().filter(|shard| !shard.is_confirmed).filter_map(|shard| shard.finish).max();
    finishes.sort_unstable();
    let last = *finishes.get(needed.checked_sub(1)?)?;
    // Without one observation, the shard that it is of may be in time, and each other one is needed a place earlier.
    match fragile {
        Some(fragile) if fragile >= last => {
            Some(needed.checked_sub(2).map_or(Duration::ZERO, |before| finishes[before]))
        }
        _ => Some(last),
    }
}
