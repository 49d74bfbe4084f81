//! The border of this crate: how attempts are made, as a trait with two implementations.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::latency::LatencyTrack;
use crate::moment::Moment;
use crate::server::ServerState;

/// Hedge after this quantile of the upstream's latency.
const HEDGE_QUANTILE: f64 = 0.95;
/// Samples wanted before that quantile means something.
const HEDGE_SAMPLES: u32 = 20;
/// At most this share of an upstream's servers rests at once.
const MAX_RESTING_SHARE: f64 = 0.5;
/// Extra time allowed over a typical answer before a retry is given up for lack of time.
const RETRY_QUANTILE: f64 = 0.5;

/// How attempts at the servers of one upstream are made.
pub trait AttemptRules: Send + Sync {
    /// The server for the next call among those that `allowed` lets through, if any has a slot.
    fn pick(
        &self,
        servers: &[ServerState],
        allowed: &dyn Fn(usize, &ServerState) -> bool,
        now: Moment,
        dice: &mut dyn RngCore,
    ) -> Option<usize>;

    /// When to start a second attempt while the first runs; `None` for never.
    fn hedge_delay(&self, track: &LatencyTrack) -> Option<Duration>;

    /// Share of first attempts that hedges may add.
    fn hedge_share(&self) -> f64;

    /// Share of first attempts that retries may add.
    fn retry_share(&self) -> f64;

    /// Whether a retry is worth it with this much time left, after `tries` attempts.
    fn is_retry_worth(&self, track: &LatencyTrack, left: Duration, tries: u32) -> bool;

    /// Whether work waits in the queue for a slot, or starts at once whatever runs.
    fn is_limited(&self) -> bool;
}

/// The rules of the product: two random candidates by cost, limits, rests, budgets.
#[derive(Debug, Default)]
pub struct AdaptiveRules;

impl AdaptiveRules {
    fn cheaper(servers: &[ServerState], a: usize, b: usize, now: Moment) -> usize {
        let (cost_a, cost_b) = (servers[a].cost(), servers[b].cost());
        let by_load = servers[a].load(now).total_cmp(&servers[b].load(now));
        match cost_a.total_cmp(&cost_b).then(by_load) {
            std::cmp::Ordering::Greater => b,
            _ => a,
        }
    }
}

impl AttemptRules for AdaptiveRules {
    fn pick(
        &self,
        servers: &[ServerState],
        allowed: &dyn Fn(usize, &ServerState) -> bool,
        now: Moment,
        dice: &mut dyn RngCore,
    ) -> Option<usize> {
        let resting = servers.iter().filter(|server| server.is_resting(now)).count();
        let may_rest = resting as f64 <= servers.len() as f64 * MAX_RESTING_SHARE;
        let usable = |(index, server): &(usize, &ServerState)| {
            server.has_slot() && !(may_rest && server.is_resting(now)) && allowed(*index, server)
        };
        let free: Vec<usize> = servers.iter().enumerate().filter(usable).map(|(index, _)| index).collect();
        match free.len() {
            0 => None,
            1 => Some(free[0]),
            count => {
                let first = dice.random_range(0..count);
                let second = (first + dice.random_range(1..count)) % count;
                Some(Self::cheaper(servers, free[first], free[second], now))
            }
        }
    }

    fn hedge_delay(&self, track: &LatencyTrack) -> Option<Duration> {
        if track.samples() < HEDGE_SAMPLES {
            return None;
        }
        track.quantile(HEDGE_QUANTILE)
    }

    fn hedge_share(&self) -> f64 {
        0.05
    }

    fn retry_share(&self) -> f64 {
        0.1
    }

    fn is_retry_worth(&self, track: &LatencyTrack, left: Duration, tries: u32) -> bool {
        const MAX_TRIES: u32 = 4;
        tries < MAX_TRIES && track.quantile(RETRY_QUANTILE).is_none_or(|typical| typical < left)
    }

    fn is_limited(&self) -> bool {
        true
    }
}

/// What a plain client does: a random server, one retry, no hedge, no limit, no rest.
#[derive(Debug, Default)]
pub struct BaselineRules;

impl AttemptRules for BaselineRules {
    fn pick(
        &self,
        servers: &[ServerState],
        allowed: &dyn Fn(usize, &ServerState) -> bool,
        _now: Moment,
        dice: &mut dyn RngCore,
    ) -> Option<usize> {
        let free: Vec<usize> = (0..servers.len()).filter(|&index| allowed(index, &servers[index])).collect();
        if free.is_empty() {
            return None;
        }
        Some(free[dice.random_range(0..free.len())])
    }

    fn hedge_delay(&self, _track: &LatencyTrack) -> Option<Duration> {
        None
    }

    fn hedge_share(&self) -> f64 {
        0.0
    }

    fn retry_share(&self) -> f64 {
        1.0
    }

    fn is_retry_worth(&self, _track: &LatencyTrack, left: Duration, tries: u32) -> bool {
        tries < 2 && !left.is_zero()
    }

    fn is_limited(&self) -> bool {
        false
    }
}
