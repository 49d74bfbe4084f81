//! The store is down, then slow, while a third of the nodes is killed and replaced by new ones, which have to get their
//! configuration from their peers. The load of queries continues meanwhile.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::{Fleet, FleetError, NodeHandle};
use crate::load::{self, LoadPlan};

const UPSTREAMS: usize = 9;
const RATE: f64 = 60.0;
const BEFORE_TIME: Duration = Duration::from_secs(4);
const OUTAGE_TIME: Duration = Duration::from_secs(10);
/// Delay of each call to the slow store, in milliseconds.
const STORE_DELAY_MS: u64 = 1_500;
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Criterion: upper bound of the p99 latency, as a multiple of that before the outage.
const MAX_P99_FACTOR: f64 = 1.5;
/// Criterion: upper bound of the calls to the store, a second and node, during the recovery.
const MAX_CALLS_PER_NODE: f64 = 5.0;

fn store_calls(fleet: &Fleet) -> u64 {
    let calls = &fleet.platform.state.calls;
    [&calls.reads, &calls.writes, &calls.watches].iter().map(|count| count.load(Ordering::Relaxed)).sum()
}

/// Kills and replaces the second node of each of the first two domains, of six nodes in all; returns whether the fleet
/// became ready each time.
async fn replace_nodes(fleet: &mut Fleet) -> Result<bool, FleetError> {
    let mut are_ready = true;
    for number in [1, 3] {
        if let Some(NodeHandle::Process(mut child)) = fleet.nodes[number].handle.take() {
            // `kill -9`; an error means that the process has exited already.
            let _ = child.kill().await;
        }
        let (domain, name) = (fleet.nodes[number].domain, format!("{}-new", fleet.nodes[number].name));
        fleet.add_node(domain, &name).await?;
        are_ready &= fleet.wait_ready().await.is_ok();
    }
    Ok(are_ready)
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.has_processes = true;
    let mut fleet = start_warm(plan, RATE).await?;
    let before = measure(&fleet, &load_on(&fleet, RATE, BEFORE_TIME)).await;
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    // The load avoids the nodes that are killed, as if the load balancer had taken them out.
    let nodes = fleet.caller_addresses().into_iter().enumerate().filter(|(number, _)| ![1, 3].contains(number));
    let load_plan = LoadPlan { nodes: nodes.map(|(_, node)| node).collect(), ..load_on(&fleet, RATE, OUTAGE_TIME * 2) };
    let client = fleet.client.clone();
    let running = tokio::spawn(async move { load::run(&client, &load_plan).await });
    let are_ready = replace_nodes(&mut fleet).await?;
    tokio::time::sleep(OUTAGE_TIME).await;
    fleet.platform.state.faults.outage.store(false, Ordering::Relaxed);
    fleet.platform.state.faults.slow_ms.store(STORE_DELAY_MS, Ordering::Relaxed);
    let during = running.await.map_err(|_| FleetError::NotReady)?;
    let calls = store_calls(&fleet);
    fleet.platform.state.faults.slow_ms.store(0, Ordering::Relaxed);
    let after = measure(&fleet, &load_on(&fleet, RATE, RECOVERY_TIME)).await;
    let recovery_calls =
        (store_calls(&fleet) - calls) as f64 / RECOVERY_TIME.as_secs_f64() / fleet.running().count() as f64;
    fleet.stop().await;
    Ok(json!({
        "requests": during.requests,
        "before_p99_ms": before.report.p99_ms,
        "p99_ms": during.p99_ms,
        "coverage": during.coverage,
        "refused": during.refused,
        "failed": during.failed,
        "new_nodes_ready_in_the_outage": are_ready,
        "after_p99_ms": after.report.p99_ms,
        "after_coverage": after.report.coverage,
        "store_calls_a_second_a_node_at_recovery": recovery_calls,
        "broken": during.broken + after.report.broken,
    }))
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let number = |name: &str| policy[name].as_f64().unwrap_or(f64::NAN);
    let held = policy["new_nodes_ready_in_the_outage"] == json!(true)
        && number("coverage") >= 0.999
        && number("p99_ms") <= MAX_P99_FACTOR * number("before_p99_ms")
        && number("refused") + number("failed") + number("broken") == 0.0
        && number("store_calls_a_second_a_node_at_recovery") <= MAX_CALLS_PER_NODE;
    Ok(ExperimentReport { experiment: "outage", seed, baseline, policy, held })
}
