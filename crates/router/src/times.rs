//! Latencies of one route's calls, by how far the server is.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::LatencyHistogram;
use streamfold_policy::replica::Distance;

/// Below so many samples the route's target latency tells more.
const MIN_SAMPLES: u32 = 20;
/// What a call of a kind usually takes.
const TYPICAL_QUANTILE: f64 = 0.5;
/// A call that takes longer than this quantile of its kind is overdue.
const PATIENCE_QUANTILE: f64 = 0.97;
/// Bounds on the patience as shares of the target latency: a second try must still be able to
/// come back in time, and is wasted where the first would have been in time as well.
const MIN_PATIENCE_SHARE: f64 = 0.15;
const MAX_PATIENCE_SHARE: f64 = 0.45;
/// What a call is taken to need while nothing is measured, as shares of the target latency.
const ASSUMED_TYPICAL_SHARE: f64 = 0.15;
const ASSUMED_PATIENCE_SHARE: f64 = 0.3;

/// Latencies of a route's calls to servers.
#[derive(Debug, Default)]
pub struct CallTimes {
    tracks: Mutex<[LatencyHistogram; 3]>,
}

impl CallTimes {
    fn tracks(&self) -> MutexGuard<'_, [LatencyHistogram; 3]> {
        self.tracks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the latency of a call that was answered.
    pub fn add(&self, distance: Distance, latency: Duration) {
        self.tracks()[distance as usize].add(latency);
    }

    fn quantile(&self, distance: Distance, quantile: f64) -> Option<Duration> {
        let tracks = self.tracks();
        let track = &tracks[distance as usize];
        track.quantile(quantile).filter(|_| track.samples() >= MIN_SAMPLES)
    }

    /// The time a call usually takes.
    pub fn typical(&self, distance: Distance, target: Duration) -> Duration {
        self.quantile(distance, TYPICAL_QUANTILE).unwrap_or(target.mul_f64(ASSUMED_TYPICAL_SHARE))
    }

    /// The time after which a call is overdue.
    pub fn patience(&self, distance: Distance, target: Duration) -> Duration {
        let measured = self.quantile(distance, PATIENCE_QUANTILE);
        let patience = measured.unwrap_or(target.mul_f64(ASSUMED_PATIENCE_SHARE));
        patience.clamp(target.mul_f64(MIN_PATIENCE_SHARE), target.mul_f64(MAX_PATIENCE_SHARE))
    }
}
