//! A server restarts cold: ten times as slow for five seconds.

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
const TIME: Duration = Duration::from_secs(6);
const COLD_TIME: Duration = Duration::from_secs(5);
const COLD_FACTOR: u64 = 10;
/// What the policy must show.
const MAX_P99_FACTOR: f64 = 1.3;

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut fleet = start_warm(three_domains(UPSTREAMS, policy), RATE).await?;
    let before = measure(&fleet, &load_on(&fleet, RATE, TIME)).await;
    let (client, plan) = (fleet.client.clone(), load_on(&fleet, RATE, TIME));
    let running = tokio::spawn(async move { load::run(&client, &plan).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.restart_server(0, 0).await?;
    let factor = |fleet: &crate::fleet::Fleet, factor| {
        if let Some(server) = &fleet.servers[0][0] {
            server.state.switches.slow_factor.store(factor, Ordering::Relaxed);
        }
    };
    factor(&fleet, COLD_FACTOR);
    tokio::time::sleep(COLD_TIME).await;
    factor(&fleet, 1);
    let cold = running.await.map_err(|_| FleetError::NotReady)?;
    let after = measure(&fleet, &load_on(&fleet, RATE, TIME)).await;
    let runs = fleet.servers[0][0].as_ref().map_or(0, |server| server.state.counts.runs.load(Ordering::Relaxed));
    fleet.stop().await;
    Ok(json!({
        "before_p99_ms": before.report.p99_ms,
        "p99_ms": cold.p99_ms,
        "p999_ms": cold.p999_ms,
        "coverage": cold.coverage,
        "after_p99_ms": after.report.p99_ms,
        "restarted_server_runs": runs,
        "broken": cold.broken,
    }))
}

/// Runs baseline and policy.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let number = |name: &str| policy[name].as_f64().unwrap_or(f64::NAN);
    let held = number("p99_ms") <= MAX_P99_FACTOR * number("before_p99_ms") && number("broken") == 0.0;
    Ok(ExperimentReport { experiment: "cold", seed, baseline, policy, held })
}
