//! The interface of this crate for attempts: server selection, hedging, retries and limits, with two implementations.

use rand::{Rng, RngCore};
use serde::Deserialize;

use crate::hedge::{ContinuousHedge, FixedHedge, HedgeRule, NoHedge, TableHedge};
use crate::moment::Moment;
use crate::retry::RetryRates;
use crate::server::ServerState;

/// Share of an upstream's servers that may be in backoff. If more are, backoff is ignored.
const MAX_BACKOFF_SHARE: f64 = 0.5;

/// Rules for attempts at the servers of one upstream.
pub trait AttemptRules: Send + Sync {
    /// Picks the server for the next call among those that `allowed` accepts; `None` if no server is available.
    fn pick(
        &self,
        servers: &[ServerState],
        allowed: &dyn Fn(usize, &ServerState) -> bool,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> Option<usize>;

    /// The hedging rule for one upstream.
    fn hedge_rule(&self) -> Box<dyn HedgeRule>;

    /// Retry budgets and the maximum number of attempts.
    fn retry_rates(&self) -> RetryRates;

    /// Whether work queues for a free slot under the concurrency limit; otherwise it starts at once.
    fn is_limited(&self) -> bool;
}

/// The rules in production use: power of two random choices by cost, concurrency limits, failure backoff, and retry and
/// hedge budgets.
#[derive(Debug, Default)]
pub struct AdaptiveRules {
    /// The hedging rule.
    pub hedging: HedgeChoice,
}

/// Available hedging rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HedgeChoice {
    /// A constant budget until servers are nearly full.
    #[default]
    Fixed,
    /// A budget for each range of load.
    Table,
    /// A budget that shrinks linearly with the load.
    Continuous,
    /// No hedging.
    None,
}

impl AdaptiveRules {
    fn cheaper(servers: &[ServerState], a: usize, b: usize, now: Moment) -> usize {
        let (cost_a, cost_b) = (servers[a].cost(now), servers[b].cost(now));
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
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let backing_off = servers.iter().filter(|server| server.is_backing_off(now)).count();
        let is_backoff_allowed = backing_off as f64 <= servers.len() as f64 * MAX_BACKOFF_SHARE;
        let usable = |(index, server): &(usize, &ServerState)| {
            server.has_slot() && !(is_backoff_allowed && server.is_backing_off(now)) && allowed(*index, server)
        };
        let free: Vec<usize> = servers.iter().enumerate().filter(usable).map(|(index, _)| index).collect();
        match free.len() {
            0 => None,
            1 => Some(free[0]),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                Some(Self::cheaper(servers, free[first], free[second], now))
            }
        }
    }

    fn hedge_rule(&self) -> Box<dyn HedgeRule> {
        match self.hedging {
            HedgeChoice::Fixed => Box::new(FixedHedge),
            HedgeChoice::Table => Box::<TableHedge>::default(),
            HedgeChoice::Continuous => Box::new(ContinuousHedge),
            HedgeChoice::None => Box::new(NoHedge),
        }
    }

    fn retry_rates(&self) -> RetryRates {
        RetryRates { failed: 0.1, refused: 0.5, max_attempts: 8 }
    }

    fn is_limited(&self) -> bool {
        true
    }
}

/// The rules of a plain client, as a baseline: a random server, one retry, no hedges, no concurrency limit, no backoff.
#[derive(Debug, Default)]
pub struct BaselineRules;

impl AttemptRules for BaselineRules {
    fn pick(
        &self,
        servers: &[ServerState],
        allowed: &dyn Fn(usize, &ServerState) -> bool,
        _now: Moment,
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let free: Vec<usize> = (0..servers.len()).filter(|&index| allowed(index, &servers[index])).collect();
        if free.is_empty() {
            return None;
        }
        Some(free[rng.random_range(0..free.len())])
    }

    fn hedge_rule(&self) -> Box<dyn HedgeRule> {
        Box::new(NoHedge)
    }

    fn retry_rates(&self) -> RetryRates {
        RetryRates { failed: 1.0, refused: 1.0, max_attempts: 2 }
    }

    fn is_limited(&self) -> bool {
        false
    }
}
