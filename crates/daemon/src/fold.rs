//! Folds the replies of one query into one answer. Only this aggregate decides what the
//! coverage says, so coverage and results cannot differ.

use std::collections::BTreeMap;

use serde_json::value::RawValue;
use streamfold_model::{MissingReason, MissingShard, ShardCoverage, ShardId};

enum ShardState {
    Pending,
    Answered(Box<RawValue>),
    Missing(MissingReason),
}

/// The shards of one query at one index version.
pub struct AnswerFold {
    shards: BTreeMap<ShardId, ShardState>,
    answered: usize,
    pending: usize,
}

impl AnswerFold {
    /// Nothing answered yet.
    pub fn new(shards: &[ShardId]) -> Self {
        let shards: BTreeMap<_, _> = shards.iter().map(|shard| (*shard, ShardState::Pending)).collect();
        let pending = shards.len();
        Self { shards, answered: 0, pending }
    }

    /// Folds one shard's result; one that is malformed leaves the shard missing. A shard
    /// that is answered stays so.
    pub fn add(&mut self, shard: ShardId, result: Vec<u8>) {
        let raw = String::from_utf8(result).ok().and_then(|text| RawValue::from_string(text).ok());
        let Some(raw) = raw else { return self.miss(shard, MissingReason::BadAnswer) };
        let Some(state) = self.shards.get_mut(&shard) else { return };
        if matches!(state, ShardState::Answered(_)) {
            return;
        }
        self.pending -= usize::from(matches!(state, ShardState::Pending));
        self.answered += 1;
        *state = ShardState::Answered(raw);
    }

    /// Notes that a shard is missing, unless it is answered.
    pub fn miss(&mut self, shard: ShardId, reason: MissingReason) {
        let Some(state) = self.shards.get_mut(&shard) else { return };
        match state {
            ShardState::Answered(_) => {}
            ShardState::Pending => {
                self.pending -= 1;
                *state = ShardState::Missing(reason);
            }
            ShardState::Missing(_) => *state = ShardState::Missing(reason),
        }
    }

    /// Whether every shard is answered or missing.
    pub fn is_done(&self) -> bool {
        self.pending == 0
    }

    /// Shards answered.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// Shards asked for.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether no shard was asked for.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Shards missing for a reason.
    pub fn count_missing(&self, reason: MissingReason) -> usize {
        self.shards.values().filter(|state| matches!(state, ShardState::Missing(found) if *found == reason)).count()
    }

    /// The results and what they cover; what is pending counts as late.
    pub fn finish(self) -> (ShardCoverage, BTreeMap<ShardId, Box<RawValue>>) {
        let shards = self.shards.len();
        let mut missing = Vec::new();
        let mut results = BTreeMap::new();
        for (shard, state) in self.shards {
            match state {
                ShardState::Answered(result) => {
                    results.insert(shard, result);
                }
                ShardState::Missing(reason) => missing.push(MissingShard { shard, reason }),
                ShardState::Pending => missing.push(MissingShard { shard, reason: MissingReason::Late }),
            }
        }
        (ShardCoverage { shards, answered: results.len(), missing }, results)
    }
}
