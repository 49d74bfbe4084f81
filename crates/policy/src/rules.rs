//! The border of this crate: how attempts are made, as a trait with two implementations.

use rand::{Rng, RngCore};
use serde::Deserialize;

use crate::hedge::{ContinuousHedge, FixedHedge, HedgeRule, NoHedge, TableHedge};
use crate::moment::Moment;
use crate::retry::RetryRates;
use crate::server::ServerState;

/// At most this share of an upstream's servers rests at once.
const MAX_RESTING_SHARE: f64 = 0.5;
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

    /// The rule for hedges at one upstream.
    fn hedge_rule(&self) -> Box<dyn HedgeRule>;

    /// How freely failed work is tried again.
    fn retry_rates(&self) -> RetryRates;

    /// Whether work waits in the queue for a slot, or starts at once whatever runs.
    fn is_limited(&self) -> bool;
}

/// The rules of the product: two random candidates by cost, limits, rests, budgets.
#[derive(Debug, Default)]
pub struct AdaptiveRules {
    /// Which rule decides on hedges.
    pub hedging: HedgeChoice,
}

/// The rules for hedging that there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HedgeChoice {
    /// The same budget until servers are nearly full.
    #[default]
    Fixed,
    /// A table of load ranges.
    Table,
    /// A budget that shrinks evenly with the load.
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
        dice: &mut dyn RngCore,
    ) -> Option<usize> {
        let resting = servers.iter().filter(|server| server.is_backing_off(now)).count();
        let may_rest = resting as f64 <= servers.len() as f64 * MAX_RESTING_SHARE;
        let usable = |(index, server): &(usize, &ServerState)| {
            server.has_slot() && !(may_rest && server.is_backing_off(now)) && allowed(*index, server)
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

    fn hedge_rule(&self) -> Box<dyn HedgeRule> {
        match self.hedging {
            HedgeChoice::Fixed => Box::new(FixedHedge),
            HedgeChoice::Table => Box::<TableHedge>::default(),
            HedgeChoice::Continuous => Box::new(ContinuousHedge),
            HedgeChoice::None => Box::new(NoHedge),
        }
    }

    fn retry_rates(&self) -> RetryRates {
        RetryRates { failed: 0.1, refused: 0.5, tries: 8 }
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

    fn hedge_rule(&self) -> Box<dyn HedgeRule> {
        Box::new(NoHedge)
    }

    fn retry_rates(&self) -> RetryRates {
        RetryRates { failed: 1.0, refused: 1.0, tries: 2 }
    }

    fn is_limited(&self) -> bool {
        false
    }
}
