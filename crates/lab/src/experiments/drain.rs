//! Servers start to leave; their health endpoint lies about it for five seconds.

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
const TIME: Duration = Duration::from_secs(8);
const LIE_TIME: Duration = Duration::from_secs(5);
/// When a leaving server must get no new work any more.
const GRACE: Duration = Duration::from_secs(2);

/// The first server of every other upstream.
fn leaving(fleet: &Fleet) -> impl Iterator<Item = &crate::server::ServerStandin> {
    fleet.servers.iter().step_by(2).filter_map(|group| group[0].as_ref())
}

fn late_calls(fleet: &Fleet) -> u64 {
    leaving(fleet).map(|server| server.state.counts.calls_while_draining.load(Ordering::Relaxed)).sum()
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let fleet = start_warm(three_domains(UPSTREAMS, policy), RATE).await?;
    let (client, plan) = (fleet.client.clone(), load_on(&fleet, RATE, TIME));
    let running = tokio::spawn(async move { load::run(&client, &plan).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    for server in leaving(&fleet) {
        server.state.switches.is_health_faked.store(true, Ordering::Relaxed);
        server.state.switches.draining.store(true, Ordering::Relaxed);
    }
    tokio::time::sleep(GRACE).await;
    let at_grace = late_calls(&fleet);
    tokio::time::sleep(LIE_TIME - GRACE).await;
    for server in leaving(&fleet) {
        server.state.switches.is_health_faked.store(false, Ordering::Relaxed);
    }
    let report = running.await.map_err(|_| FleetError::NotReady)?;
    let new_work = late_calls(&fleet) - at_grace;
    let after = measure(&fleet, &load_on(&fleet, RATE, GRACE)).await;
    fleet.stop().await;
    Ok(json!({
        "requests": report.requests,
        "new_work_after_2_s": new_work,
        "new_work_before": at_grace,
        "cut_off": report.failed,
        "coverage": report.coverage,
        "p99_ms": report.p99_ms,
        "after_coverage": after.report.coverage,
        "broken": report.broken,
    }))
}

/// Runs baseline and policy.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline).await?;
    let policy = trial(PolicyChoice::Adaptive).await?;
    let is = |name: &str, wanted: f64| policy[name].as_f64() == Some(wanted);
    let held = is("new_work_after_2_s", 0.0) && is("cut_off", 0.0) && is("coverage", 1.0) && is("broken", 0.0);
    Ok(ExperimentReport { experiment: "drain", seed, baseline, policy, held })
}
