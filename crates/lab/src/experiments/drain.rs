//! Servers start draining while their health endpoints report for five seconds that they are healthy.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::{Fleet, FleetError};
use crate::load;

const UPSTREAMS: usize = 12;
const RATE: f64 = 60.0;
const LOAD_TIME: Duration = Duration::from_secs(8);
const FALSE_HEALTH_TIME: Duration = Duration::from_secs(5);
/// Time after which a draining server must get no new calls.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// The servers that drain: the first one of every other upstream.
fn draining_servers(fleet: &Fleet) -> impl Iterator<Item = &crate::server::ServerStandin> {
    fleet.servers.iter().step_by(2).filter_map(|group| group[0].as_ref())
}

fn count_late_calls(fleet: &Fleet) -> u64 {
    draining_servers(fleet).map(|server| server.state.counts.calls_while_draining.load(Ordering::Relaxed)).sum()
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let fleet = start_warm(three_domains(UPSTREAMS, policy), RATE).await?;
    let (client, plan) = (fleet.client.clone(), load_on(&fleet, RATE, LOAD_TIME));
    let running = tokio::spawn(async move { load::run(&client, &plan).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for server in draining_servers(&fleet) {
        server.state.switches.is_health_faked.store(true, Ordering::Relaxed);
        server.state.switches.draining.store(true, Ordering::Relaxed);
    }
    tokio::time::sleep(DRAIN_GRACE).await;
    let calls_at_grace = count_late_calls(&fleet);
    tokio::time::sleep(FALSE_HEALTH_TIME - DRAIN_GRACE).await;
    for server in draining_servers(&fleet) {
        server.state.switches.is_health_faked.store(false, Ordering::Relaxed);
    }
    let report = running.await.map_err(|_| FleetError::NotReady)?;
    let new_work = count_late_calls(&fleet) - calls_at_grace;
    let after = measure(&fleet, &load_on(&fleet, RATE, DRAIN_GRACE)).await;
    fleet.stop().await;
    Ok(json!({
        "requests": report.requests,
        "new_work_after_2_s": new_work,
        "new_work_before": calls_at_grace,
        "cut_off": report.failed,
        "coverage": report.coverage,
        "p99_ms": report.p99_ms,
        "after_coverage": after.report.coverage,
        "broken": report.broken,
    }))
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let has_value = |name: &str, wanted: f64| policy[name].as_f64() == Some(wanted);
    let held = has_value("new_work_after_2_s", 0.0)
        && has_value("cut_off", 0.0)
        && has_value("coverage", 1.0)
        && has_value("broken", 0.0);
    Ok(ExperimentReport { experiment: "drain", seed, baseline, policy, held })
}
