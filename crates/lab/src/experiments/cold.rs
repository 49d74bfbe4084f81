//! A server restarts and is ten times as slow for five seconds, until it has warmed up.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::FleetError;
use crate::load;

const UPSTREAMS: usize = 12;
const RATE: f64 = 100.0;
const LOAD_TIME: Duration = Duration::from_secs(6);
const COLD_TIME: Duration = Duration::from_secs(5);
const COLD_SLOWDOWN: u64 = 10;
/// Criterion: upper bound of the policy's p99 latency, as a multiple of that before the restart.
const MAX_P99_FACTOR: f64 = 1.3;

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut fleet = start_warm(three_domains(UPSTREAMS, policy), RATE).await?;
    let before = measure(&fleet, &load_on(&fleet, RATE, LOAD_TIME)).await;
    let (client, plan) = (fleet.client.clone(), load_on(&fleet, RATE, LOAD_TIME));
    let running = tokio::spawn(async move { load::run(&client, &plan).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.restart_server(0, 0).await?;
    let set_slowdown = |fleet: &crate::fleet::Fleet, slowdown| {
        if let Some(server) = &fleet.servers[0][0] {
            server.state.switches.slow_factor.store(slowdown, Ordering::Relaxed);
        }
    };
    set_slowdown(&fleet, COLD_SLOWDOWN);
    tokio::time::sleep(COLD_TIME).await;
    set_slowdown(&fleet, 1);
    let during = running.await.map_err(|_| FleetError::NotReady)?;
    let after = measure(&fleet, &load_on(&fleet, RATE, LOAD_TIME)).await;
    let runs = fleet.servers[0][0].as_ref().map_or(0, |server| server.state.counts.runs.load(Ordering::Relaxed));
    fleet.stop().await;
    Ok(json!({
        "before_p99_ms": before.report.p99_ms,
        "p99_ms": during.p99_ms,
        "p999_ms": during.p999_ms,
        "coverage": during.coverage,
        "after_p99_ms": after.report.p99_ms,
        "restarted_server_runs": runs,
        "broken": during.broken,
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
    let held = number("p99_ms") <= MAX_P99_FACTOR * number("before_p99_ms") && number("broken") == 0.0;
    Ok(ExperimentReport { experiment: "cold", seed, baseline, policy, held })
}
