//! Answers are delayed and truncated, connections break, and servers send the answers of other requests.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, three_domains};
use crate::fleet::{Fleet, FleetError, FleetNode};
use crate::fleet_plan::DomainPlan;

const RATE: f64 = 200.0;
const QUERIES: f64 = 20_000.0;
/// Answers in a thousand that belong to another request.
const CROSSED_PER_MILLE: u64 = 20;
/// Chunks of answers in a thousand that are cut in half, after which the connection closes.
const RESETS_PER_MILLE: u64 = 2;
/// Delay of each chunk in each direction, in microseconds.
const DELAY_US: u64 = 1_000;
/// Interval at which each proxy breaks all its connections.
const BREAK_INTERVAL: Duration = Duration::from_secs(4);

async fn break_connections(faults: Vec<std::sync::Arc<crate::proxy::ProxyFaults>>) {
    loop {
        for fault in &faults {
            tokio::time::sleep(BREAK_INTERVAL / faults.len() as u32).await;
            fault.break_all();
        }
    }
}

async fn trial(policy: PolicyChoice, queries: f64) -> Result<Value, FleetError> {
    let mut plan = three_domains(9, policy);
    plan.domains = ["vienna", "tyrol"].map(|name| DomainPlan { name, nodes: 2, upstreams: 4 }).to_vec();
    plan.has_processes = true;
    plan.has_proxies = true;
    let fleet = Fleet::start(plan).await?;
    for server in fleet.all_servers() {
        server.state.switches.crossed_per_mille.store(CROSSED_PER_MILLE, Ordering::Relaxed);
    }
    let node_proxies = fleet.nodes.iter().filter_map(|node: &FleetNode| node.proxy.as_ref());
    let all: Vec<_> = fleet.proxies.iter().chain(node_proxies).map(|proxy| proxy.faults.clone()).collect();
    for faults in &all {
        faults.reset_per_mille.store(RESETS_PER_MILLE, Ordering::Relaxed);
        faults.delay_us.store(DELAY_US, Ordering::Relaxed);
    }
    let breaking = tokio::spawn(break_connections(all));
    let duration = Duration::from_secs_f64(queries / RATE);
    let figures = measure(&fleet, &load_on(&fleet, RATE, duration)).await;
    breaking.abort();
    fleet.stop().await;
    let report = &figures.report;
    Ok(json!({
        "requests": report.requests,
        "answered": report.answered,
        "whole": report.whole,
        "coverage": report.coverage,
        "foreign_or_cut": report.broken,
        "p99_ms": report.p99_ms,
        "extra_load": figures.extra_load,
        "failed": report.failed,
        "refused": report.refused,
    }))
}

/// Runs the baseline, with a quarter of the queries, and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, QUERIES / 4.0).await?;
    let policy = trial(PolicyChoice::Adaptive, QUERIES).await?;
    let held = policy["foreign_or_cut"].as_f64() == Some(0.0) && policy["failed"].as_f64() == Some(0.0);
    Ok(ExperimentReport { experiment: "crossed", seed, baseline, policy, held })
}
