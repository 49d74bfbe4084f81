//! When to start a second attempt, and how much extra load that may be. Three rules stand
//! side by side so that an experiment can compare them; `docs/design/0006-hedging.md` has
//! the figures.

/// What a rule allows at the present load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgePlan {
    /// Hedge after this quantile of the upstream's latency.
    pub quantile: f64,
    /// Hedges as a share of first attempts.
    pub share: f64,
}

/// A rule for hedging. `load` is the share of the upstream's call slots in use, waiting work
/// included, so it can be over 1.
pub trait HedgeRule: Send {
    /// What is allowed at this load; `None` for no hedging.
    fn plan(&mut self, load: f64) -> Option<HedgePlan>;
}

/// The same budget up to a load at which servers are nearly full: the rule in use.
#[derive(Debug, Default)]
pub struct FixedHedge;

/// Above this load there is no hedging.
const FULL_LOAD: f64 = 0.7;

impl HedgeRule for FixedHedge {
    fn plan(&mut self, load: f64) -> Option<HedgePlan> {
        (load < FULL_LOAD).then_some(HedgePlan { quantile: 0.95, share: 0.05 })
    }
}

/// A plan for each range of load, with hysteresis.
#[derive(Debug, Default)]
pub struct TableHedge {
    gear: usize,
}

/// Upper ends of the load ranges and their plans; above the last there is no hedging.
const GEARS: [(f64, HedgePlan); 3] = [
    (0.3, HedgePlan { quantile: 0.9, share: 0.05 }),
    (0.6, HedgePlan { quantile: 0.95, share: 0.03 }),
    (0.85, HedgePlan { quantile: 0.99, share: 0.01 }),
];
/// The load must fall this far below a range's end before the gear goes back.
const GEAR_HYSTERESIS: f64 = 0.05;

impl HedgeRule for TableHedge {
    fn plan(&mut self, load: f64) -> Option<HedgePlan> {
        while self.gear < GEARS.len() && load > GEARS[self.gear].0 {
            self.gear += 1;
        }
        while self.gear > 0 && load < GEARS[self.gear - 1].0 - GEAR_HYSTERESIS {
            self.gear -= 1;
        }
        GEARS.get(self.gear).map(|(_, plan)| *plan)
    }
}

/// A budget that shrinks evenly with the load and is gone at full load.
#[derive(Debug, Default)]
pub struct ContinuousHedge;

/// The share at no load.
const IDLE_SHARE: f64 = 0.05;
/// The quantile at no load and at full load.
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
