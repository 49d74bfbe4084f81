//! Some attempts straggle, and one server is slow all the time and says it is idle.

use std::sync::atomic::Ordering;
use std::time::Duration;

use streamfold_daemon::settings::PolicyChoice;

use super::trial::{TrialFigures, UserFleet, load_on, measure, start_warm, three_domains};
use super::{ExperimentReport, to_value};
use crate::fleet::FleetError;

const UPSTREAMS: usize = 30;
const RATE: f64 = 60.0;
const TIME: Duration = Duration::from_secs(8);
/// Of a thousand attempts, so many take [`FACTOR`] times as long.
const STRAGGLE: u64 = 10;
const FACTOR: u64 = 20;
/// How many times as long every call of the one slow server takes.
const SLOW: u64 = 10;
/// What the policy must show.
const MAX_P99_SHARE: f64 = 0.4;
const MAX_EXTRA_LOAD: f64 = 0.05;

async fn trial(policy: PolicyChoice, user: Option<UserFleet>) -> Result<TrialFigures, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.deadline = "2s";
    if let Some(user) = user {
        user.shape(&mut plan);
    }
    let fleet = start_warm(plan, RATE).await?;
    if let Some(user) = user {
        user.delay(&fleet);
    }
    for server in fleet.all_servers() {
        server.state.switches.straggle_factor.store(FACTOR, Ordering::Relaxed);
        server.state.switches.straggle_per_mille.store(STRAGGLE, Ordering::Relaxed);
    }
    if let Some(server) = fleet.all_servers().next() {
        server.state.switches.slow_factor.store(SLOW, Ordering::Relaxed);
        server.state.switches.is_health_faked.store(true, Ordering::Relaxed);
    }
    let figures = measure(&fleet, &load_on(&fleet, RATE, TIME)).await;
    fleet.stop().await;
    Ok(figures)
}

/// Runs baseline and policy.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(name: &'static str, seed: u64, user: Option<UserFleet>) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, user).await?;
    let policy = trial(PolicyChoice::Adaptive, user).await?;
    let held = policy.report.p99_ms <= MAX_P99_SHARE * baseline.report.p99_ms
        && policy.extra_load <= MAX_EXTRA_LOAD
        && policy.report.coverage >= baseline.report.coverage
        && policy.report.broken == 0;
    Ok(ExperimentReport { experiment: name, seed, baseline: to_value(&baseline), policy: to_value(&policy), held })
}
