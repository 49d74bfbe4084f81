//! A budget for extra calls (hedges and retries) to a service within a sliding window: a share of the requests for it
//! and the node's part of a fixed allowance. The parts of all nodes add up to the budget of the fleet, so it holds
//! without communication between nodes.

use std::time::Duration;

use crate::moment::Moment;

/// Buckets per window; more buckets make the counts finer and the window's edge more exact.
const BUCKETS: u64 = 20;

/// The limits on extra calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLimits {
    /// Extra calls as a share of requests.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// This node's part of the fixed allowance, in calls per window.
    pub allowance: f64,
}

/// The counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct CountBucket {
    number: u64,
    requests: f64,
    extras: f64,
}

/// The extra-call budget of one service at one node.
#[derive(Debug, Clone)]
pub struct ExtraBudget {
    // One bucket more than the window has, so that the counts of the oldest one are complete.
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

    /// Records a request for the service; `share` is below 1 where another node counts the rest.
    pub fn note_request(&mut self, now: Moment, limits: &ExtraLimits, share: f64) {
        self.bucket(now, limits).requests += share;
    }

    /// Takes one extra call from the budget; false if the budget does not allow it.
    pub fn spend(&mut self, now: Moment, limits: &ExtraLimits) -> bool {
        let number = Self::number(now, limits);
        let recent = self.buckets.iter().filter(|bucket| bucket.number > 0 && bucket.number + BUCKETS >= number);
        let (mut requests, mut extras) = (0.0, 0.0);
        for bucket in recent {
            extras += bucket.extras;
            // The oldest bucket is partly outside the window: its extra calls count, its requests do not.
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
