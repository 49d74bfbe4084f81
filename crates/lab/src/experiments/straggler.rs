//! Some attempts straggle, and one server is slow all the time but reports that it is idle.

use std::sync::atomic::Ordering;
use std::time::Duration;

use streamfold_daemon::settings::PolicyChoice;

use super::trial::{TrialFigures, UserFleet, load_on, measure, start_warm, three_domains};
use super::{ExperimentReport, to_value};
use crate::fleet::FleetError;

const UPSTREAMS: usize = 30;
const RATE: f64 = 60.0;
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Attempts in a thousand that straggle.
const STRAGGLERS_PER_MILLE: u64 = 10;
/// How many times as long a straggling attempt takes.
const STRAGGLER_SLOWDOWN: u64 = 20;
/// How many times as long each call of the slow server takes.
const SLOW_SERVER_SLOWDOWN: u64 = 10;
/// Criterion: upper bound of the policy's p99 latency, as a share of the baseline's.
const MAX_P99_SHARE: f64 = 0.4;
/// Criterion: upper bound of the extra load, as a share.
const MAX_EXTRA_LOAD: f64 = 0.05;

async fn trial(policy: PolicyChoice, user: Option<UserFleet>) -> Result<TrialFigures, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.deadline = "2s";
    if let Some(user) = user {
        user.configure(&mut plan);
    }
    let fleet = start_warm(plan, RATE).await?;
    if let Some(user) = user {
        user.set_delay(&fleet);
    }
    for server in fleet.all_servers() {
        server.state.switches.straggle_factor.store(STRAGGLER_SLOWDOWN, Ordering::Relaxed);
        server.state.switches.straggle_per_mille.store(STRAGGLERS_PER_MILLE, Ordering::Relaxed);
    }
    if let Some(server) = fleet.all_servers().next() {
        server.state.switches.slow_factor.store(SLOW_SERVER_SLOWDOWN, Ordering::Relaxed);
        server.state.switches.is_health_faked.store(true, Ordering::Relaxed);
    }
    let figures = measure(&fleet, &load_on(&fleet, RATE, LOAD_TIME)).await;
    fleet.stop().await;
    Ok(figures)
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(name: &'static str, seed: u64, user: Option<UserFleet>) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, user).await?;
    let policy = trial(PolicyChoice::Adaptive, user).await?;
    let held = policy.report.p99_ms <= MAX_P99_SHARE * baseline.report.p99_ms
        && policy.extra_load <= MAX_EXTRA_LOAD
        && policy.report.coverage >= baseline.report.coverage
        && policy.report.broken == 0;
    Ok(ExperimentReport { experiment: name, seed, baseline: to_value(&baseline), policy: to_value(&policy), held })
}
