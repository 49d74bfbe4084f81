//! Two operators concurrently apply changes through different nodes, over a store that loses answers, while nodes are
//! killed. The baseline is last-writer-wins: each operator reads, changes and writes unconditionally.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;
use streamfold_model::operator::{ApplyAnswer, ApplyRequest, NodeStatus};
use streamfold_model::{ChangeId, ConfigVersion, HeadRecord, SourceFile};

use super::ExperimentReport;
use super::trial::three_domains;
use crate::client::LabClient;
use crate::fleet::{Fleet, FleetError, NodeHandle};
use streamfold_standin::store as platform;

/// Number of changes by each operator.
const CHANGES: usize = 100;
/// Writes in a thousand that take effect but whose answer is lost.
const LOST_ANSWERS_PER_MILLE: u64 = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// How often the configuration versions in force are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Criterion: upper bound of the 99th percentile of the time until a change is in force at all nodes.
const MAX_PROPAGATION_MS: f64 = 2_000.0;

/// Answers to the changes of one operator.
#[derive(Default)]
struct ApplyOutcomes {
    accepted: Vec<(ChangeId, ConfigVersion, Instant)>,
    conflicts: usize,
    not_applied: usize,
    unknown: usize,
}

async fn apply_changes(client: LabClient, nodes: Vec<SocketAddr>, operator: usize, config: String) -> ApplyOutcomes {
    let mut outcomes = ApplyOutcomes::default();
    for number in 0..CHANGES {
        let change = ChangeId(rand::random());
        let text = format!("# change {number} of operator {operator}\n{config}");
        let files = vec![SourceFile { name: "fleet.yaml".to_owned(), text }];
        let (operator, reason) = (format!("operator-{operator}"), "race".to_owned());
        let request = ApplyRequest { files, change, expected: None, operator, reason, dry_run: false };
        let body = Bytes::from(serde_json::to_vec(&request).unwrap_or_default());
        let node = nodes[number % nodes.len()];
        let answer = client.call(Method::POST, node, "/v1/config", &[], body, CALL_TIMEOUT).await;
        match answer {
            Ok(answer) if answer.status.is_success() => {
                if let Ok(applied) = serde_json::from_slice::<ApplyAnswer>(&answer.body) {
                    outcomes.accepted.push((change, applied.version, Instant::now()));
                }
            }
            Ok(answer) if answer.status.as_u16() == 409 => outcomes.conflicts += 1,
            Ok(answer) if answer.status.as_u16() == 503 => outcomes.not_applied += 1,
            _ => outcomes.unknown += 1,
        }
    }
    outcomes
}

/// Configuration versions in force at each node over time.
type VersionSamples = Vec<(Instant, Vec<ConfigVersion>)>;

/// Samples the configuration versions in force at every node until `stop` is true; 0 for a node that does not answer.
async fn sample_versions(
    client: LabClient,
    nodes: Vec<SocketAddr>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> VersionSamples {
    let mut samples = Vec::new();
    while !*stop.borrow() {
        let mut pending = tokio::task::JoinSet::new();
        for (number, node) in nodes.iter().copied().enumerate() {
            let client = client.clone();
            pending.spawn(async move {
                let answer = client.call(Method::GET, node, "/v1/status", &[], Bytes::new(), STATUS_TIMEOUT).await;
                let status = answer.ok().and_then(|answer| serde_json::from_slice::<NodeStatus>(&answer.body).ok());
                (number, status.map_or(ConfigVersion(0), |status| status.config_version))
            });
        }
        let mut versions = vec![ConfigVersion(0); nodes.len()];
        for (number, version) in pending.join_all().await {
            versions[number] = version;
        }
        samples.push((Instant::now(), versions));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    samples
}

/// Milliseconds from each accepted change until every node had it or a newer one in force, sorted.
fn propagation_times(outcomes: &[&ApplyOutcomes], samples: &VersionSamples) -> Vec<f64> {
    let accepted = outcomes.iter().flat_map(|outcomes| &outcomes.accepted);
    let delays = accepted.filter_map(|(_, version, at)| {
        let is_everywhere = |versions: &[ConfigVersion]| versions.iter().all(|found| found >= version);
        let first = samples.iter().find(|(when, versions)| when >= at && is_everywhere(versions));
        first.map(|(when, _)| when.duration_since(*at).as_secs_f64() * 1e3)
    });
    let mut times: Vec<f64> = delays.collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Number of times that a node went back to an older version.
fn count_reverts(samples: &VersionSamples) -> usize {
    let pairs = samples.windows(2).flat_map(|pair| pair[0].1.iter().zip(&pair[1].1));
    pairs.filter(|(before, after)| after.0 != 0 && after < before).count()
}

async fn run_policy() -> Result<Value, FleetError> {
    let mut plan = three_domains(6, PolicyChoice::Adaptive);
    plan.has_processes = true;
    let mut fleet = Fleet::start(plan).await?;
    fleet.platform.state.faults.lost_answers.store(LOST_ANSWERS_PER_MILLE, Ordering::Relaxed);
    let operators: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.addresses.operators).collect();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    // The last two nodes are killed during the run, so they are not sampled.
    let sampling = tokio::spawn(sample_versions(fleet.client.clone(), operators[..4].to_vec(), stopped));
    let nodes_in = |range: std::ops::Range<usize>| operators[range].to_vec();
    let first = tokio::spawn(apply_changes(fleet.client.clone(), nodes_in(0..2), 0, fleet.config.clone()));
    let second = tokio::spawn(apply_changes(fleet.client.clone(), nodes_in(2..4), 1, fleet.config.clone()));
    for number in [4, 5] {
        tokio::time::sleep(Duration::from_secs(2)).await;
        if let Some(NodeHandle::Process(mut child)) = fleet.nodes[number].handle.take() {
            // `kill -9`; an error means that the process has exited already.
            let _ = child.kill().await;
        }
    }
    let first = first.await.map_err(|_| FleetError::NotReady)?;
    let second = second.await.map_err(|_| FleetError::NotReady)?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    stop.send_replace(true);
    let samples = sampling.await.map_err(|_| FleetError::NotReady)?;
    let audit = read_audit(&fleet);
    let all_outcomes = [&first, &second];
    let accepted: Vec<ChangeId> =
        all_outcomes.iter().flat_map(|outcomes| &outcomes.accepted).map(|(change, ..)| *change).collect();
    let absent = accepted.iter().filter(|change| audit.iter().filter(|found| found == change).count() != 1).count();
    let distinct: HashSet<&ChangeId> = audit.iter().collect();
    let times = propagation_times(&all_outcomes, &samples);
    let p99 = times.get(times.len().saturating_sub(1).min(times.len() * 99 / 100)).copied();
    fleet.stop().await;
    Ok(json!({
        "changes": CHANGES * 2,
        "accepted": accepted.len(),
        "conflicts": first.conflicts + second.conflicts,
        "not_applied": first.not_applied + second.not_applied,
        "unknown": first.unknown + second.unknown,
        "accepted_not_once_in_audit": absent,
        "audit_records": audit.len(),
        "audit_doubles": audit.len() - distinct.len(),
        "reverts": count_reverts(&samples),
        "spread_seen_of": times.len(),
        "spread_p50_ms": times.get(times.len() / 2),
        "spread_p99_ms": p99,
    }))
}

/// Path in the store of the baseline's list of changes.
const BASELINE_PATH: &str = "/objects/streamfold-plain/head";

/// Reads the changes in the audit log, including the one in the head record.
fn read_audit(fleet: &Fleet) -> Vec<ChangeId> {
    let parse = |(_, body): &(String, Bytes)| serde_json::from_slice::<HeadRecord>(body).ok();
    let head: Vec<HeadRecord> = fleet.platform.state.dump("config/head").iter().filter_map(parse).collect();
    let newest = head.first().map(|head| head.version);
    let copies = fleet.platform.state.dump("audit/");
    let copies = copies.iter().filter_map(parse).filter(|record| Some(record.version) != newest);
    copies.chain(head.clone()).map(|record| record.change).collect()
}

/// Reads the list of changes, adds one and writes it back unconditionally, once for each change.
async fn write_unconditionally(client: LabClient, store: SocketAddr) -> Vec<ChangeId> {
    let mut accepted = Vec::new();
    for _ in 0..CHANGES {
        let read = client.call(Method::GET, store, BASELINE_PATH, &[], Bytes::new(), CALL_TIMEOUT).await;
        let object: Option<Value> = read.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok());
        let stored = object.and_then(|object| serde_json::from_value(object["spec"].clone()).ok());
        let mut changes: Vec<ChangeId> = stored.unwrap_or_default();
        let change = ChangeId(rand::random());
        changes.push(change);
        let body = json!({ "meta": { "name": "head" }, "spec": changes }).to_string();
        let headers = [("content-type", "application/json")];
        let written = client.call(Method::PUT, store, BASELINE_PATH, &headers, Bytes::from(body), CALL_TIMEOUT).await;
        if written.is_ok_and(|answer| answer.status.is_success()) {
            accepted.push(change);
        }
    }
    accepted
}

/// Runs the same changes with last-writer-wins: the list is read, changed and written back unconditionally.
async fn run_baseline() -> Result<Value, FleetError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::start(any).await.map_err(|source| FleetError::Io { what: "the platform", source })?;
    platform.state.put_object("streamfold-plain", "head", json!([]));
    let first = tokio::spawn(write_unconditionally(LabClient::default(), platform.address));
    let second = write_unconditionally(LabClient::default(), platform.address).await;
    let mut accepted = first.await.map_err(|_| FleetError::NotReady)?;
    accepted.extend(second);
    let stored = platform.state.dump("plain/head");
    let stored: Vec<ChangeId> =
        stored.first().and_then(|(_, body)| serde_json::from_slice(body).ok()).unwrap_or_default();
    let absent = accepted.iter().filter(|change| !stored.contains(change)).count();
    Ok(json!({ "changes": CHANGES * 2, "accepted": accepted.len(), "accepted_but_absent": absent }))
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let policy = run_policy().await?;
    let number = |name: &str| policy[name].as_f64().unwrap_or(f64::NAN);
    let held = number("accepted_not_once_in_audit") == 0.0
        && number("audit_doubles") == 0.0
        && number("reverts") == 0.0
        && number("spread_seen_of") == number("accepted")
        && number("spread_p99_ms") < MAX_PROPAGATION_MS;
    Ok(ExperimentReport { experiment: "apply", seed, baseline: run_baseline().await?, policy, held })
}
