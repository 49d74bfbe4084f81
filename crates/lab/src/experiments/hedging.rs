//! Compares the hedging rules in one run, at a low and at a high load, with stragglers.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Map, Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::FleetError;

const UPSTREAMS: usize = 12;
/// Names of the loads, with queries a second: a tenth and three quarters of the capacity.
const LOADS: [(&str, f64); 2] = [("low", 65.0), ("high", 480.0)];
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Attempts in a thousand that straggle.
const STRAGGLERS_PER_MILLE: u64 = 10;
/// How many times as long a straggling attempt takes.
const STRAGGLER_SLOWDOWN: u64 = 20;
/// Rule that the nodes use by default, to which the criteria apply.
const DEFAULT_RULE: &str = "fixed";
/// Criterion: upper bound of the p99 latency of the default rule, as a multiple of that of the best other rule.
const MAX_P99_FACTOR: f64 = 1.1;
/// Criterion: upper bound of the extra load, as a share.
const MAX_EXTRA_LOAD: f64 = 0.05;

async fn trial(rule: &str) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, PolicyChoice::Adaptive);
    plan.settings.push_str(&format!("hedging: {rule}\n"));
    let fleet = start_warm(plan, LOADS[0].1).await?;
    for server in fleet.all_servers() {
        server.state.switches.straggle_factor.store(STRAGGLER_SLOWDOWN, Ordering::Relaxed);
        server.state.switches.straggle_per_mille.store(STRAGGLERS_PER_MILLE, Ordering::Relaxed);
    }
    let mut by_load = Map::new();
    for (name, rate) in LOADS {
        let figures = measure(&fleet, &load_on(&fleet, rate, LOAD_TIME)).await;
        let figures = json!({
            "requests": figures.report.requests,
            "p50_ms": figures.report.p50_ms,
            "p99_ms": figures.report.p99_ms,
            "p999_ms": figures.report.p999_ms,
            "coverage": figures.report.coverage,
            "extra_load": figures.extra_load,
            "refused": figures.report.refused,
        });
        by_load.insert(name.to_owned(), figures);
    }
    fleet.stop().await;
    Ok(Value::Object(by_load))
}

/// Runs the baseline without hedging, then each rule. The criteria hold if the default rule has about the best p99
/// latency at both loads and stays within its budget.
///
/// # Errors
/// A fleet did not start.
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
        number(DEFAULT_RULE, load, "p99_ms") <= others.fold(f64::INFINITY, f64::min) * MAX_P99_FACTOR
    };
    let is_within_budget = LOADS.iter().all(|(load, _)| number(DEFAULT_RULE, load, "extra_load") <= MAX_EXTRA_LOAD);
    let held = LOADS.iter().all(|(load, _)| is_best(load)) && is_within_budget;
    Ok(ExperimentReport { experiment: "hedging", seed, baseline, policy, held })
}
