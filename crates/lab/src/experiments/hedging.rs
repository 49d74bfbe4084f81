//! The rules for hedging side by side in one run, at a low and at a high load with stragglers.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Map, Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::FleetError;

const UPSTREAMS: usize = 12;
/// Queries a second at a tenth and at three quarters of the capacity.
const LOADS: [(&str, f64); 2] = [("low", 65.0), ("high", 480.0)];
const TIME: Duration = Duration::from_secs(6);
const STRAGGLE: u64 = 10;
const FACTOR: u64 = 20;
/// The rule in use, and what it must show.
const IN_USE: &str = "fixed";
const NEARLY: f64 = 1.1;
const MAX_EXTRA_LOAD: f64 = 0.05;

async fn trial(rule: &str) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, PolicyChoice::Adaptive);
    plan.settings.push_str(&format!("hedging: {rule}\n"));
    let fleet = start_warm(plan, LOADS[0].1).await?;
    for server in fleet.all_servers() {
        server.state.switches.straggle_factor.store(FACTOR, Ordering::Relaxed);
        server.state.switches.straggle_per_mille.store(STRAGGLE, Ordering::Relaxed);
    }
    let mut found = Map::new();
    for (name, rate) in LOADS {
        let figures = measure(&fleet, &load_on(&fleet, rate, TIME)).await;
        let figures = json!({
            "requests": figures.report.requests,
            "p50_ms": figures.report.p50_ms,
            "p99_ms": figures.report.p99_ms,
            "p999_ms": figures.report.p999_ms,
            "coverage": figures.report.coverage,
            "extra_load": figures.extra_load,
            "refused": figures.report.refused,
        });
        found.insert(name.to_owned(), figures);
    }
    fleet.stop().await;
    Ok(Value::Object(found))
}

/// Runs no hedging as the baseline and each rule; held if the rule in use has the best p99 at
/// both loads, or nearly, and keeps within its budget.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial("none").await?;
    let mut rules = Map::new();
    for rule in ["fixed", "table", "continuous"] {
        rules.insert(rule.to_owned(), trial(rule).await?);
    }
    let policy = Value::Object(rules);
    let number = |rule: &str, load: &str, name: &str| policy[rule][load][name].as_f64().unwrap_or(f64::NAN);
    let is_best = |load: &str| {
        let others = ["table", "continuous"].iter().map(|rule| number(rule, load, "p99_ms"));
        number(IN_USE, load, "p99_ms") <= others.fold(f64::INFINITY, f64::min) * NEARLY
    };
    let is_small = LOADS.iter().all(|(load, _)| number(IN_USE, load, "extra_load") <= MAX_EXTRA_LOAD);
    let held = LOADS.iter().all(|(load, _)| is_best(load)) && is_small;
    Ok(ExperimentReport { experiment: "hedging", seed, baseline, policy, held })
}
