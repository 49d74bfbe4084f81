//! Hedging rules: when to send a second attempt, and how much extra load hedges may cause. There are three rules, so
//! that an experiment can compare them; `docs/design/0006-hedging.md` has the figures.

/// What a hedging rule allows at a load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgePlan {
    /// Quantile of the upstream's latency after which a hedge is sent.
    pub quantile: f64,
    /// Budget for hedges, as a share of first attempts.
    pub share: f64,
}

/// A hedging rule. `load` is the share of the upstream's call slots in use. It includes queued work, so it can exceed
/// 1.
pub trait HedgeRule: Send {
    /// The plan at this load; `None` for no hedging.
    fn plan(&mut self, load: f64) -> Option<HedgePlan>;
}

/// A constant budget up to a load at which servers are nearly full. This is the default.
#[derive(Debug, Default)]
pub struct FixedHedge;

/// Load from which on `FixedHedge` sends no hedges.
const FULL_LOAD: f64 = 0.7;

impl HedgeRule for FixedHedge {
    fn plan(&mut self, load: f64) -> Option<HedgePlan> {
        (load < FULL_LOAD).then_some(HedgePlan { quantile: 0.95, share: 0.05 })
    }
}

/// A plan for each range of load, with hysteresis.
#[derive(Debug, Default)]
pub struct TableHedge {
    range: usize,
}

/// Upper ends of the load ranges and their plans. Above the last one there is no hedging.
const LOAD_RANGES: [(f64, HedgePlan); 3] = [
    (0.3, HedgePlan { quantile: 0.9, share: 0.05 }),
    (0.6, HedgePlan { quantile: 0.95, share: 0.03 }),
    (0.85, HedgePlan { quantile: 0.99, share: 0.01 }),
];
/// Distance by which the load must fall below the end of a range before that range applies again.
const RANGE_HYSTERESIS: f64 = 0.05;

impl HedgeRule for TableHedge {
    fn plan(&mut self, load: f64) -> Option<HedgePlan> {
        while self.range < LOAD_RANGES.len() && load > LOAD_RANGES[self.range].0 {
            self.range += 1;
        }
        while self.range > 0 && load < LOAD_RANGES[self.range - 1].0 - RANGE_HYSTERESIS {
            self.range -= 1;
        }
        LOAD_RANGES.get(self.range).map(|(_, plan)| *plan)
    }
}

/// A budget that shrinks linearly with the load, to none at full load.
#[derive(Debug, Default)]
pub struct ContinuousHedge;

/// Budget at no load, as a share of first attempts.
const IDLE_SHARE: f64 = 0.05;
/// Latency quantiles at no load and at full load.
const IDLE_QUANTILE: f64 = 0.93;
const FULL_QUANTILE: f64 = 0.99;

impl HedgeRule for ContinuousHedge {
    fn plan(&mut self, load: f64) -> Option<HedgePlan> {
        if load >= 1.0 {
            return None;
        }
        let quantile = IDLE_QUANTILE + (FULL_QUANTILE - IDLE_QUANTILE) * load;
        Some(HedgePlan { quantile, share: IDLE_SHARE * (1.0 - load) })
    }
}

/// No hedging.
#[derive(Debug, Default)]
pub struct NoHedge;

impl HedgeRule for NoHedge {
    fn plan(&mut self, _load: f64) -> Option<HedgePlan> {
        None
    }
}
