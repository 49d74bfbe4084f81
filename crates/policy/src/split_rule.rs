//! Which service of a split takes a request, so that the shares are those of the weights within
//! a few requests and not only on average.

use std::sync::atomic::{AtomicU64, Ordering};

/// The step between the points of successive turns: the fractional part of the golden ratio, of
/// all steps the one whose points lie most evenly in every stretch of turns.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The turns of one split at one node.
#[derive(Debug)]
pub struct SplitSelector {
    /// Where this node begins, so that nodes do not move in step.
    start: f64,
    next: AtomicU64,
}

impl SplitSelector {
    /// Turns that begin at a point from 0 to under 1.
    pub fn new(start: f64) -> Self {
        Self { start, next: AtomicU64::new(0) }
    }

    /// The position of the weight whose turn it is; `None` if no weight is above 0.
    pub fn select(&self, weights: &[f64]) -> Option<usize> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        choose_part(weights, (self.start + turn as f64 * STEP).fract())
    }
}

/// The position of the weight in whose stretch a point from 0 to under 1 lies.
pub fn choose_part(weights: &[f64], point: f64) -> Option<usize> {
    let mut left = point * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    // Rounding may leave a point behind the last stretch.
    chosen.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}
