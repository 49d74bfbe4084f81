//! Index versions advance during queries, one server lags behind, and the index is repartitioned.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, three_domains};
use crate::fleet::{Fleet, FleetError};
use crate::server::ServerState;

const UPSTREAMS: usize = 12;
const RATE: f64 = 250.0;
const QUERIES: f64 = 20_000.0;
const ADVANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Index version from which on there are twice as many shards; the run reaches it.
const REPARTITION_AT: u64 = 300;
/// Criterion: lower bound of the share of queries that are answered with all shards.
const MIN_WHOLE_SHARE: f64 = 0.99;

/// Advances the index version of all servers, one after the other with short delays; the first server is always one
/// version behind.
async fn advance_versions(servers: Vec<Arc<ServerState>>) {
    let mut version = 1;
    loop {
        tokio::time::sleep(ADVANCE_INTERVAL).await;
        version += 1;
        for (number, server) in servers.iter().enumerate() {
            let lag = u64::from(number == 0);
            server.switches.newest.store((version - lag).max(1), Ordering::Relaxed);
            if number % 8 == 7 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

async fn trial(policy: PolicyChoice, queries: f64) -> Result<Value, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.repartition_at = Some(REPARTITION_AT);
    let fleet = Fleet::start(plan).await?;
    let servers = fleet.all_servers().map(|server| server.state.clone()).collect();
    let advancing = tokio::spawn(advance_versions(servers));
    let duration = Duration::from_secs_f64(queries / RATE);
    let figures = measure(&fleet, &load_on(&fleet, RATE, duration)).await;
    advancing.abort();
    let reached = fleet.all_servers().map(|server| server.state.switches.newest.load(Ordering::Relaxed)).max();
    fleet.stop().await;
    let report = &figures.report;
    Ok(json!({
        "requests": report.requests,
        "whole": report.whole as f64 / report.requests as f64,
        "mixed_foreign_or_untrue": report.broken,
        "coverage": report.coverage,
        "p50_ms": report.p50_ms,
        "p99_ms": report.p99_ms,
        "extra_load": figures.extra_load,
        "refused": report.refused,
        "reached_version": reached,
        "repartitioned_at": REPARTITION_AT,
    }))
}

/// Runs the baseline, with a quarter of the queries, and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, QUERIES / 4.0).await?;
    let policy = trial(PolicyChoice::Adaptive, QUERIES).await?;
    let number = |name: &str| policy[name].as_f64().unwrap_or(f64::NAN);
    let held = number("mixed_foreign_or_untrue") == 0.0
        && number("whole") >= MIN_WHOLE_SHARE
        && number("reached_version") > REPARTITION_AT as f64;
    Ok(ExperimentReport { experiment: "snapshot", seed, baseline, policy, held })
}
