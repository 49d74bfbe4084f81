//! Latency histogram with exponential buckets and decay, for quantiles of recent latencies.

use std::time::Duration;

/// Number of buckets. Each is a factor of 2^(1/4) wide, from 16 us up; the last one is unbounded.
const BUCKETS: usize = 96;
const FIRST_BUCKET_US: f64 = 16.0;
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Sample count at which all counts are halved, so that old samples lose weight.
const HALVE_AT: u32 = 2_000;

/// A latency histogram in which old samples lose weight.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: vec![0; BUCKETS], total: 0 }
    }
}

impl LatencyHistogram {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        let doublings = (latency.as_micros() as f64 / FIRST_BUCKET_US).max(1.0).log2();
        let bucket = ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    /// Number of samples counted, after halving.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// The upper bound of the bucket that contains the quantile; `None` without samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (f64::from(self.total) * quantile).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        let bucket = self.counts.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
        })?;
        let upper_us = FIRST_BUCKET_US * 2f64.powf((bucket + 1) as f64 / BUCKETS_PER_DOUBLING);
        Some(Duration::from_micros(upper_us as u64))
    }
}
