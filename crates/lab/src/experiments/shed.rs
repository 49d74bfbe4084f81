//! Servers shed three in ten calls for ten seconds, then one replica is lost.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, measure, start_warm, three_domains};
use crate::fleet::{Fleet, FleetError};

const UPSTREAMS: usize = 12;
const RATE: f64 = 60.0;
/// Calls in a thousand that every server sheds.
const SHED_PER_MILLE: u64 = 300;
const SHED_TIME: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const AFTER_TIME: Duration = Duration::from_secs(4);
/// Criterion: lower bound of the coverage.
const MIN_COVERAGE: f64 = 0.999;
/// Criterion: upper bound of the retries after refusals, as a share of first attempts; see `RetryRates`.
const MAX_RETRY_SHARE: f64 = 0.5;
/// Criterion: upper bound of the p99 latency after the shedding, as a multiple of that before.
const MAX_P99_FACTOR: f64 = 1.3;

fn set_shed_rate(fleet: &Fleet, thousandths: u64) {
    for server in fleet.all_servers() {
        server.state.switches.shed_per_mille.store(thousandths, Ordering::Relaxed);
    }
}

async fn trial(policy: PolicyChoice) -> Result<Value, FleetError> {
    let mut fleet = start_warm(three_domains(UPSTREAMS, policy), RATE).await?;
    let before = measure(&fleet, &load_on(&fleet, RATE, AFTER_TIME)).await;
    set_shed_rate(&fleet, SHED_PER_MILLE);
    let during = measure(&fleet, &load_on(&fleet, RATE, SHED_TIME)).await;
    set_shed_rate(&fleet, 0);
    tokio::time::sleep(SETTLE_TIME).await;
    let after = measure(&fleet, &load_on(&fleet, RATE, AFTER_TIME)).await;
    fleet.kill_server(0, 0);
    let lost = measure(&fleet, &load_on(&fleet, RATE, AFTER_TIME)).await;
    fleet.stop().await;
    Ok(json!({
        "before_p99_ms": before.report.p99_ms,
        "coverage": during.report.coverage,
        "whole": during.report.whole,
        "requests": during.report.requests,
        "p99_ms": during.report.p99_ms,
        "extra_load": during.extra_load,
        "after_p99_ms": after.report.p99_ms,
        "after_coverage": after.report.coverage,
        "lost_replica_coverage": lost.report.coverage,
        "lost_replica_p99_ms": lost.report.p99_ms,
        "broken": during.report.broken + after.report.broken + lost.report.broken,
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
    let held = number("coverage") >= MIN_COVERAGE
        && number("lost_replica_coverage") >= MIN_COVERAGE
        && number("extra_load") <= MAX_RETRY_SHARE
        && number("after_coverage") >= MIN_COVERAGE
        && number("after_p99_ms") <= MAX_P99_FACTOR * number("before_p99_ms")
        && number("broken") == 0.0;
    Ok(ExperimentReport { experiment: "shed", seed, baseline, policy, held })
}
