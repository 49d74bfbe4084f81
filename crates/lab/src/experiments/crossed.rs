//! Answers come late, crossed, cut and broken off; servers send other requests' answers.

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
/// Of a thousand answers, so many are another request's.
const CROSSED: u64 = 20;
/// Of a thousand chunks of answers, after so many the connection breaks off midway.
const RESETS: u64 = 2;
const DELAY_US: u64 = 1_000;
/// How often every connection is broken at once.
const BREAK_EVERY: Duration = Duration::from_secs(4);

async fn break_connections(faults: Vec<std::sync::Arc<crate::proxy::ProxyFaults>>) {
    loop {
        for fault in &faults {
            tokio::time::sleep(BREAK_EVERY / faults.len() as u32).await;
            fault.break_all();
        }
    }
}

async fn trial(policy: PolicyChoice, queries: f64) -> Result<Value, FleetError> {
    let mut plan = three_domains(9, policy);
    plan.domains = ["vienna", "tyrol"].map(|name| DomainPlan { name, nodes: 2, upstreams: 4 }).to_vec();
    plan.processes = true;
    plan.proxied = true;
    let fleet = Fleet::start(plan).await?;
    for server in fleet.all_servers() {
        server.state.switches.crossed_per_mille.store(CROSSED, Ordering::Relaxed);
    }
    let before_nodes = fleet.nodes.iter().filter_map(|node: &FleetNode| node.proxy.as_ref());
    let all: Vec<_> = fleet.proxies.iter().chain(before_nodes).map(|proxy| proxy.faults.clone()).collect();
    for faults in &all {
        faults.reset_per_mille.store(RESETS, Ordering::Relaxed);
        faults.delay_us.store(DELAY_US, Ordering::Relaxed);
    }
    let breaking = tokio::spawn(break_connections(all));
    let time = Duration::from_secs_f64(queries / RATE);
    let figures = measure(&fleet, &load_on(&fleet, RATE, time)).await;
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

/// Runs baseline and policy; the baseline for a quarter of the queries.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, QUERIES / 4.0).await?;
    let policy = trial(PolicyChoice::Adaptive, QUERIES).await?;
    let held = policy["foreign_or_cut"].as_f64() == Some(0.0) && policy["failed"].as_f64() == Some(0.0);
    Ok(ExperimentReport { experiment: "crossed", seed, baseline, policy, held })
}
