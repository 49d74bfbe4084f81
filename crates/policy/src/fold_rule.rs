//! When a query over many shards is answered with the shards that have replied (a partial result).

use std::time::Duration;

/// The time limits and coverage of one query.
#[derive(Debug, Clone, Copy)]
pub struct FoldRule {
    /// The target latency, from the request's arrival; an answer has its full value until then.
    pub target: Duration,
    /// The time after arrival from which an answer has no value.
    pub limit: Duration,
    /// The minimum share of shards in an answer.
    pub min_coverage: f64,
    /// The total number of shards.
    pub shards: usize,
}

/// The next step of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldStep {
    /// Answer with the replies so far.
    Answer,
    /// Wait for more replies, at most until this time after the arrival.
    Wait(Duration),
    /// The minimum coverage can no longer be reached in time.
    GiveUp,
}

impl FoldRule {
    /// Whether this number of shards reaches the minimum coverage.
    pub fn is_enough(&self, answered: usize) -> bool {
        // The tolerance of a billionth only cancels rounding errors; half a shard would accept too few shards.
        answered > 0 && answered as f64 >= self.min_coverage * self.shards as f64 - 1e-9
    }

    /// The minimum number of shards in an answer; one more than `shards` if even all are too few.
    pub fn min_answers(&self) -> usize {
        (1..=self.shards).find(|count| self.is_enough(*count)).unwrap_or(self.shards + 1)
    }

    /// Decides the next step with `answered` replies so far and `pending` ones still expected.
    ///
    /// The value of an answer is the square of its share of shards, and a late answer has a tenth of the value of a
    /// timely one, so a partial answer in time is preferred to a complete late one. After the target, the query is
    /// answered as soon as the minimum coverage is reached.
    pub fn step(&self, elapsed: Duration, answered: usize, pending: usize) -> FoldStep {
        let is_enough = self.is_enough(answered);
        if answered == self.shards {
            return FoldStep::Answer;
        }
        if !self.is_enough(answered + pending) {
            return FoldStep::GiveUp;
        }
        if pending == 0 {
            return if is_enough { FoldStep::Answer } else { FoldStep::GiveUp };
        }
        if elapsed >= self.limit {
            return if is_enough { FoldStep::Answer } else { FoldStep::GiveUp };
        }
        match elapsed < self.target {
            true => FoldStep::Wait(self.target.min(self.limit)),
            false if is_enough => FoldStep::Answer,
            false => FoldStep::Wait(self.limit),
        }
    }
}
