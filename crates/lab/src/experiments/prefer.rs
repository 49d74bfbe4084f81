//! An upstream is slow; compares the answers to callers that prefer `latency` and to callers that prefer `coverage`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;
use streamfold_model::answer::HEADER_PREFER;

use super::trial::{load_on, measure, start_warm, three_domains};
use super::{ExperimentReport, to_value};
use crate::fleet::{Fleet, FleetError};
use crate::load::LoadPlan;

const UPSTREAMS: usize = 20;
const RATE: f64 = 20.0;
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Number of upstreams whose servers are all slow.
const SLOW_UPSTREAMS: usize = 1;
/// How many times as long each call of a slow server takes.
const SLOWDOWN: u64 = 40;

async fn measure_preference(fleet: &Fleet, prefer: &str) -> Value {
    let headers = vec![(HEADER_PREFER, prefer.to_owned())];
    let plan = LoadPlan { headers, ..load_on(fleet, RATE, LOAD_TIME) };
    to_value(&measure(fleet, &plan).await)
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.deadline = "400ms";
    let fleet = start_warm(plan, RATE).await?;
    for server in fleet.servers.iter().take(SLOW_UPSTREAMS).flatten().flatten() {
        server.state.switches.slow_factor.store(SLOWDOWN, Ordering::Relaxed);
    }
    let coverage = measure_preference(&fleet, "coverage").await;
    let latency = measure_preference(&fleet, "latency").await;
    fleet.stop().await;
    Ok(json!({ "coverage": coverage, "latency": latency }))
}

/// Runs the baseline and the policy; with the policy, each caller must do better than the other by its own preference.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let number = |caller: &str, name: &str| policy[caller][name].as_f64().unwrap_or(f64::NAN);
    let held = number("latency", "p99_ms") < number("coverage", "p99_ms")
        && number("coverage", "coverage") > number("latency", "coverage")
        && number("latency", "broken") + number("coverage", "broken") == 0.0;
    Ok(ExperimentReport { experiment: "prefer", seed, baseline, policy, held })
}
