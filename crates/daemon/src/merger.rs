//! Merges the replies of one query into one answer. The coverage is derived from the merged results here and nowhere
//! else, so coverage and results cannot differ.

use std::collections::BTreeMap;

use serde_json::value::RawValue;
use streamfold_model::{MissingReason, MissingShard, ShardCoverage, ShardId};

enum ShardState {
    Pending,
    Answered(Box<RawValue>),
    Missing(MissingReason),
}

/// The state of each shard of one query at one index version.
pub struct AnswerMerger {
    shards: BTreeMap<ShardId, ShardState>,
    answered: usize,
    pending: usize,
}

impl AnswerMerger {
    /// Creates a merger with all shards pending.
    pub fn new(shards: &[ShardId]) -> Self {
        let shards: BTreeMap<_, _> = shards.iter().map(|shard| (*shard, ShardState::Pending)).collect();
        let pending = shards.len();
        Self { shards, answered: 0, pending }
    }

    /// Adds the result of a shard. A malformed result marks the shard as missing; the first valid result is kept.
    pub fn add(&mut self, shard: ShardId, result: Vec<u8>) {
        let raw = String::from_utf8(result).ok().and_then(|text| RawValue::from_string(text).ok());
        let Some(raw) = raw else { return self.mark_missing(shard, MissingReason::BadAnswer) };
        let Some(state) = self.shards.get_mut(&shard) else { return };
        if matches!(state, ShardState::Answered(_)) {
            return;
        }
        self.pending -= usize::from(matches!(state, ShardState::Pending));
        self.answered += 1;
        *state = ShardState::Answered(raw);
    }

    /// Marks a shard as missing, unless it has been answered.
    pub fn mark_missing(&mut self, shard: ShardId, reason: MissingReason) {
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

    /// The number of answered shards.
    pub fn answered(&self) -> usize {
        self.answered
    }

    /// The number of requested shards.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether no shards were requested.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// The number of shards that are missing for this reason.
    pub fn count_missing(&self, reason: MissingReason) -> usize {
        self.shards.values().filter(|state| matches!(state, ShardState::Missing(found) if *found == reason)).count()
    }

    /// Returns the coverage and the results; pending shards are reported as late.
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
