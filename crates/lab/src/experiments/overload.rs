//! A load beyond the capacity of the servers, most of it from one greedy caller.

use std::time::Duration;

use serde::Serialize;
use streamfold_daemon::settings::PolicyChoice;

use super::trial::{UserFleet, load_on, start_warm, three_domains};
use super::{ExperimentReport, to_value};
use crate::fleet::{Fleet, FleetError, TOKEN};
use crate::load::{self, LoadPlan, LoadReport};

const UPSTREAMS: usize = 6;
/// Approximate capacity of an upstream, in queries a second: 2 servers with 2 slots each and calls of 4 ms, which the
/// timer of the simulated servers rounds up.
const CAPACITY: f64 = 650.0;
/// Offered load, as multiples of the capacity.
const LOAD_MULTIPLES: [f64; 4] = [0.5, 1.0, 2.0, 3.0];
/// Callers that request less than their fair share.
const MODEST_CALLERS: [&str; 3] = ["driver", "porter", "housekeeper"];
/// Load of each modest caller, as a share of the capacity.
const MODEST_SHARE: f64 = 0.15;
const LOAD_TIME: Duration = Duration::from_secs(4);
const DEADLINE: Duration = Duration::from_millis(200);
/// Criterion: lower bound of the goodput at the highest load, as a share of the best goodput.
const MIN_GOODPUT_KEPT: f64 = 0.9;
/// Criterion: lower bound of the share of each modest caller's requests that are answered with all shards in time.
const MIN_SHARE_KEPT: f64 = 0.9;
/// Criterion: upper bound of the extra load at twice the capacity and more, as a share.
const MAX_EXTRA_LOAD: f64 = 0.01;

/// Figures at one load.
#[derive(Debug, Clone, Serialize)]
struct OverloadFigures {
    multiple: f64,
    offered: f64,
    goodput: f64,
    modest_share_kept: f64,
    p99_ms: f64,
    refused: u64,
    partial: u64,
    failed: u64,
    extra_load: f64,
    not_run_that_ran: usize,
    broken: u64,
}

fn caller_load(fleet: &Fleet, token: &str, rate: f64) -> LoadPlan {
    LoadPlan { token: token.to_owned(), latency_goal: DEADLINE, ..load_on(fleet, rate, LOAD_TIME) }
}

async fn run_callers(fleet: &Fleet, greedy_rate: f64, modest_rate: f64) -> (LoadReport, Vec<LoadReport>) {
    let mut running = tokio::task::JoinSet::new();
    for name in MODEST_CALLERS {
        let (client, plan) = (fleet.client.clone(), caller_load(fleet, name, modest_rate));
        running.spawn(async move { load::run(&client, &plan).await });
    }
    let greedy = load::run(&fleet.client, &caller_load(fleet, TOKEN, greedy_rate)).await;
    let modest = running.join_all().await;
    (greedy, modest)
}

async fn measure(fleet: &Fleet, multiple: f64) -> OverloadFigures {
    let modest_rate = CAPACITY * MODEST_SHARE;
    let offered = CAPACITY * multiple;
    let before = fleet.server_calls();
    let (greedy, modest) = run_callers(fleet, (offered - modest_rate * 3.0).max(1.0), modest_rate).await;
    let calls = fleet.server_calls() - before;
    let all: Vec<&LoadReport> = modest.iter().chain(std::iter::once(&greedy)).collect();
    let sum = |count: fn(&LoadReport) -> u64| all.iter().map(|report| count(report)).sum::<u64>();
    let admitted = sum(|report| report.answered);
    let good_shares = modest.iter().map(|report| report.good as f64 / report.requests as f64);
    let refusals = all.iter().flat_map(|report| &report.refusals);
    OverloadFigures {
        multiple,
        offered,
        goodput: sum(|report| report.good) as f64 / LOAD_TIME.as_secs_f64(),
        modest_share_kept: good_shares.fold(1.0, f64::min),
        p99_ms: all.iter().map(|report| report.p99_ms).fold(0.0, f64::max),
        refused: sum(|report| report.refused),
        partial: sum(|report| report.answered - report.whole),
        failed: sum(|report| report.failed),
        extra_load: calls as f64 / (admitted.max(1) as f64 * UPSTREAMS as f64) - 1.0,
        not_run_that_ran: refusals.filter(|request| fleet.log.has_run(&request.to_string())).count(),
        broken: sum(|report| report.broken),
    }
}

async fn trial(policy: PolicyChoice, user: Option<UserFleet>) -> Result<Vec<OverloadFigures>, FleetError> {
    let mut plan = three_domains(UPSTREAMS, policy);
    plan.deadline = "200ms";
    plan.callers = MODEST_CALLERS.to_vec();
    if let Some(user) = user {
        user.configure(&mut plan);
    }
    let fleet = start_warm(plan, CAPACITY * 0.3).await?;
    if let Some(user) = user {
        user.set_delay(&fleet);
    }
    fleet.log.record_requests();
    let mut figures = Vec::new();
    for multiple in LOAD_MULTIPLES {
        figures.push(measure(&fleet, multiple).await);
    }
    fleet.stop().await;
    Ok(figures)
}

fn is_held(figures: &[OverloadFigures]) -> bool {
    let best = figures.iter().map(|figure| figure.goodput).fold(0.0, f64::max);
    let Some(highest) = figures.last() else { return false };
    let deadline_ms = DEADLINE.as_secs_f64() * 1e3;
    highest.goodput >= MIN_GOODPUT_KEPT * best
        && figures.iter().all(|figure| figure.modest_share_kept >= MIN_SHARE_KEPT)
        && figures.iter().all(|figure| figure.p99_ms <= deadline_ms)
        && figures.iter().filter(|figure| figure.multiple >= 2.0).all(|figure| figure.extra_load < MAX_EXTRA_LOAD)
        && figures.iter().all(|figure| figure.not_run_that_ran == 0 && figure.broken == 0)
}

/// Runs the baseline and the policy at increasing loads.
///
/// # Errors
/// A fleet did not start.
pub async fn run(name: &'static str, seed: u64, user: Option<UserFleet>) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(PolicyChoice::Baseline, user).await?;
    let policy = trial(PolicyChoice::Adaptive, user).await?;
    let held = is_held(&policy);
    Ok(ExperimentReport { experiment: name, seed, baseline: to_value(&baseline), policy: to_value(&policy), held })
}
