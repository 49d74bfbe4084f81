//! Extra calls to a service within a sliding window: a share of the requests for it and a
//! node's part of a fixed allowance. The shares of all nodes add up by themselves, so the
//! budget of the whole fleet holds without a word between them.

use std::time::Duration;

use crate::moment::Moment;

/// Buckets of a window; more make the count finer and the window's edge sharper.
const BUCKETS: u64 = 20;

/// The bounds on extra calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLimits {
    /// Extra calls as a share of requests.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
    /// This node's part of the fixed allowance in each window.
    pub allowance: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct CountBucket {
    number: u64,
    requests: f64,
    extras: f64,
}

/// Counts of one service at one node.
#[derive(Debug, Clone)]
pub struct ExtraBudget {
    // One bucket more than the window has, so that the oldest counts are whole.
    buckets: [CountBucket; BUCKETS as usize + 1],
}

impl Default for ExtraBudget {
    fn default() -> Self {
        Self { buckets: [CountBucket::default(); BUCKETS as usize + 1] }
    }
}

impl ExtraBudget {
    fn number(now: Moment, limits: &ExtraLimits) -> u64 {
        // Numbers start at 1, since 0 marks a bucket that was never used.
        let length = (limits.window.as_micros() as u64 / BUCKETS).max(1);
        now.0 / length + 1
    }

    fn bucket(&mut self, now: Moment, limits: &ExtraLimits) -> &mut CountBucket {
        let number = Self::number(now, limits);
        let bucket = &mut self.buckets[(number % (BUCKETS + 1)) as usize];
        if bucket.number != number {
            *bucket = CountBucket { number, ..CountBucket::default() };
        }
        bucket
    }

    /// Notes a request for the service; `share` is under 1 where another node counts the rest.
    pub fn note_request(&mut self, now: Moment, limits: &ExtraLimits, share: f64) {
        self.bucket(now, limits).requests += share;
    }

    /// Takes one extra call if the budget has it.
    pub fn spend(&mut self, now: Moment, limits: &ExtraLimits) -> bool {
        let number = Self::number(now, limits);
        let recent = self.buckets.iter().filter(|bucket| bucket.number > 0 && bucket.number + BUCKETS >= number);
        let (mut requests, mut extras) = (0.0, 0.0);
        for bucket in recent {
            extras += bucket.extras;
            // The oldest bucket lies partly outside the window: its extras count, its requests do not.
            if bucket.number + BUCKETS > number {
                requests += bucket.requests;
            }
        }
        if extras + 1.0 > limits.ratio * requests + limits.allowance {
            return false;
        }
        self.bucket(now, limits).extras += 1.0;
        true
    }
}
