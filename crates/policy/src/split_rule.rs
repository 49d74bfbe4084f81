//! Weighted selection of the service for a request to a traffic split. The shares match the weights within a few
//! requests and not only on average.

use std::sync::atomic::{AtomicU64, Ordering};

/// Distance between the points of consecutive selections: the fractional part of the golden ratio. Of all distances it
/// gives the most even distribution of points in every run of selections.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Selects the services of one split at one node in a low-discrepancy sequence.
#[derive(Debug)]
pub struct SplitSelector {
    /// Start point of this node, so that nodes do not select in lockstep.
    start: f64,
    next: AtomicU64,
}

impl SplitSelector {
    /// Creates a selector that starts at a point from 0 (inclusive) to 1 (exclusive).
    pub fn new(start: f64) -> Self {
        Self { start, next: AtomicU64::new(0) }
    }

    /// The index of the next selected weight; `None` if no weight is above 0.
    pub fn select(&self, weights: &[f64]) -> Option<usize> {
        let selection = self.next.fetch_add(1, Ordering::Relaxed);
        choose_part(weights, (self.start + selection as f64 * STEP).fract())
    }
}

/// The index of the weight whose interval contains `point`, which is from 0 (inclusive) to 1 (exclusive).
pub fn choose_part(weights: &[f64], point: f64) -> Option<usize> {
    let mut left = point * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    // Rounding may place the point after the last interval.
    chosen.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}
