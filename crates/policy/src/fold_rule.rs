//! When a query over many shards is answered with what is there.

use std::time::Duration;

/// The figures of one query.
#[derive(Debug, Clone, Copy)]
pub struct FoldRule {
    /// An answer counts most up to here, measured from the request's arrival.
    pub target: Duration,
    /// No answer counts after this.
    pub limit: Duration,
    /// The least share of shards that makes an answer.
    pub min_coverage: f64,
    /// Shards in all.
    pub shards: usize,
}

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldStep {
    /// Answer with what is there.
    Answer,
    /// Wait for more, at most until so long after the arrival.
    Wait(Duration),
    /// No answer can be given any more.
    GiveUp,
}

impl FoldRule {
    /// Whether so many shards make an answer.
    pub fn is_enough(&self, answered: usize) -> bool {
        // Half a shard of tolerance would be wrong here; a billionth only undoes rounding.
        answered > 0 && answered as f64 >= self.min_coverage * self.shards as f64 - 1e-9
    }

    /// The fewest shards that make an answer; more than there are if none do.
    pub fn min_answers(&self) -> usize {
        (1..=self.shards).find(|count| self.is_enough(*count)).unwrap_or(self.shards + 1)
    }

    /// What to do with `answered` shards there and `pending` still expected. An answer is
    /// worth the square of its share of shards; a late one is worth a tenth of a timely one, so
    /// a part in time goes before the whole late. Once late, the first answer that may be
    /// given is given.
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
