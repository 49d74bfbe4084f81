//! Nodes freeze for three seconds, one after the other, while others wait for their batches. The connections to a
//! frozen node stay open and nothing is refused.

use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::{Fleet, FleetError};
use crate::load::{self, LoadPlan};

const UPSTREAMS: usize = 9;
const RATE: f64 = 100.0;
const LOAD_TIME: Duration = Duration::from_secs(12);
const FREEZE_TIME: Duration = Duration::from_secs(3);
/// Criterion: upper bound of the policy's p99 latency, as a share of the baseline's.
const MAX_P99_SHARE: f64 = 0.4;
/// Criterion: lower bound of the coverage: in effect, no shard may be lost.
const MIN_COVERAGE: f64 = 0.999;

async fn freeze_nodes(fleet: &Fleet) {
    for number in [2, 3] {
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.nodes[number].signal("STOP").await;
        tokio::time::sleep(FREEZE_TIME).await;
        fleet.nodes[number].signal("CONT").await;
    }
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.has_processes = true;
    plan.deadline = "500ms";
    plan.settings = "lame_duck: 100ms\ngrace: 5s\nheartbeat: 250ms\n".to_owned();
    let fleet = start_warm(plan, RATE).await?;
    // The load goes to the other nodes only, as if the load balancer had taken the frozen ones out, so that the freeze
    // affects queries only through the upstreams that these nodes own.
    let nodes = fleet.caller_addresses().into_iter().enumerate().filter(|(number, _)| ![2, 3].contains(number));
    let load_plan = LoadPlan { nodes: nodes.map(|(_, node)| node).collect(), ..load_on(&fleet, RATE, LOAD_TIME) };
    let client = fleet.client.clone();
    let running = tokio::spawn(async move { load::run(&client, &load_plan).await });
    freeze_nodes(&fleet).await;
    let report = running.await.map_err(|_| FleetError::NotReady)?;
    let after = measure(&fleet, &load_on(&fleet, RATE, FREEZE_TIME)).await;
    fleet.stop().await;
    Ok(json!({
        "requests": report.requests,
        "whole": report.whole,
        "coverage": report.coverage,
        "p50_ms": report.p50_ms,
        "p99_ms": report.p99_ms,
        "p999_ms": report.p999_ms,
        "broken": report.broken,
        "failed": report.failed,
        "after_p99_ms": after.report.p99_ms,
        "after_extra_load": after.extra_load,
    }))
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let number = |figures: &Value, name: &str| figures[name].as_f64().unwrap_or(f64::NAN);
    let held = number(&policy, "p99_ms") <= MAX_P99_SHARE * number(&baseline, "p99_ms")
        && number(&policy, "coverage") >= MIN_COVERAGE
        && number(&policy, "broken") == 0.0;
    Ok(ExperimentReport { experiment: "freeze", seed, baseline, policy, held })
}
