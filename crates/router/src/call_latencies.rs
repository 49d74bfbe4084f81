//! Latencies of the calls of one route by distance of the server.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::LatencyHistogram;
use streamfold_policy::replica::Distance;

/// Below this number of samples the route's target latency is a better estimate than the histogram.
const MIN_SAMPLES: u32 = 20;
/// The quantile that is the usual duration of a call.
const TYPICAL_QUANTILE: f64 = 0.5;
/// A call that takes longer than this quantile is overdue and may be hedged.
const HEDGE_QUANTILE: f64 = 0.97;
/// Bounds on the hedge delay as shares of the target latency. A hedge must still be able to finish in time, and is
/// wasted if the first call would have finished in time too.
const MIN_HEDGE_SHARE: f64 = 0.15;
const MAX_HEDGE_SHARE: f64 = 0.45;
/// Assumed duration and hedge delay as shares of the target latency while there are too few samples.
const ASSUMED_TYPICAL_SHARE: f64 = 0.15;
const ASSUMED_HEDGE_SHARE: f64 = 0.3;

/// Latencies of the calls of one route to servers.
#[derive(Debug, Default)]
pub struct CallLatencies {
    histograms: Mutex<[LatencyHistogram; 3]>,
}

impl CallLatencies {
    fn histograms(&self) -> MutexGuard<'_, [LatencyHistogram; 3]> {
        self.histograms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the latency of an answered call.
    pub fn add(&self, distance: Distance, latency: Duration) {
        self.histograms()[distance as usize].add(latency);
    }

    fn quantile(&self, distance: Distance, quantile: f64) -> Option<Duration> {
        let histograms = self.histograms();
        let histogram = &histograms[distance as usize];
        histogram.quantile(quantile).filter(|_| histogram.samples() >= MIN_SAMPLES)
    }

    /// The measured usual duration of a call; `None` while there are too few samples.
    pub fn measured(&self, distance: Distance) -> Option<Duration> {
        self.quantile(distance, TYPICAL_QUANTILE)
    }

    /// The usual duration of a call.
    pub fn typical(&self, distance: Distance, target: Duration) -> Duration {
        self.measured(distance).unwrap_or(target.mul_f64(ASSUMED_TYPICAL_SHARE))
    }

    /// The time after which a call is overdue and may be hedged.
    pub fn hedge_delay(&self, distance: Distance, target: Duration) -> Duration {
        let measured = self.quantile(distance, HEDGE_QUANTILE);
        let delay = measured.unwrap_or(target.mul_f64(ASSUMED_HEDGE_SHARE));
        delay.clamp(target.mul_f64(MIN_HEDGE_SHARE), target.mul_f64(MAX_HEDGE_SHARE))
    }
}
