//! Index versions advance under running queries, one server lags, and the index is repartitioned.

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
const ADVANCE_EVERY: Duration = Duration::from_millis(100);
/// The index version from which on there are twice the shards, reached within the run.
const REPARTITION_AT: u64 = 300;
/// What the policy must show.
const MIN_WHOLE: f64 = 0.99;

/// Advances all servers together, but each a little later than the one before, and one of
/// them always a version behind.
async fn advance(servers: Vec<Arc<ServerState>>) {
    let mut version = 1;
    loop {
        tokio::time::sleep(ADVANCE_EVERY).await;
        version += 1;
        for (number, server) in servers.iter().enumerate() {
            let behind = u64::from(number == 0);
            server.switches.newest.store((version - behind).max(1), Ordering::Relaxed);
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
    let advancing = tokio::spawn(advance(servers));
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

/// Runs baseline and policy; the baseline for a quarter of the queries.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, QUERIES / 4.0).await?;
    let policy = trial(PolicyChoice::Adaptive, QUERIES).await?;
    let number = |name: &str| policy[name].as_f64().unwrap_or(f64::NAN);
    let held = number("mixed_foreign_or_untrue") == 0.0
        && number("whole") >= MIN_WHOLE
        && number("reached_version") > REPARTITION_AT as f64;
    Ok(ExperimentReport { experiment: "snapshot", seed, baseline, policy, held })
}
