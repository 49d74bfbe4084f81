//! Measures the latency, CPU time and memory that the query tier itself adds, with servers that answer immediately.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use streamfold_model::server::{SERVER_HEADER_ATTEMPT, SERVER_HEADER_REQUEST, SERVER_HEADER_SHARDS};
use streamfold_model::{AttemptId, RequestId};

use super::ExperimentReport;
use crate::fleet::{Fleet, FleetError, INDEX, NodeHandle, TOKEN};
use crate::fleet_plan::{DomainPlan, FleetPlan};
use crate::load::{self, DEFAULT_LATENCY_GOAL, LoadPlan};
use crate::server::ServerPlan;
use crate::usage;

/// Concurrent requests while the capacity is measured.
const CONCURRENCY: usize = 64;
/// Duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(4);
/// Load at which latency is measured, as a share of the capacity.
const LATENCY_SHARE: f64 = 1.0 / 3.0;
/// Criterion: upper bound of the p99 latency that one hop adds to a direct call, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 1.0;
/// Criterion: lower bound of the shard calls a second for each core used.
const MIN_CALLS_PER_CORE: f64 = 50_000.0;

fn fast_server() -> ServerPlan {
    ServerPlan {
        slots: 1_000,
        queue: 10_000,
        connections: 100,
        connect_delay: Duration::ZERO,
        base: Duration::ZERO,
        max_versions: 5,
        padding: 0,
    }
}

/// Plans a fleet of fast servers: one node that owns `entry_upstreams`, and with `far_upstreams` a second one, in another
/// failure domain, that owns those.
pub fn plan(entry_upstreams: usize, far_upstreams: usize, shards: usize) -> FleetPlan {
    let domain = |name, upstreams| DomainPlan { name, nodes: 1, upstreams };
    let domains = match far_upstreams {
        0 => vec![domain("vienna", entry_upstreams)],
        _ => vec![domain("vienna", entry_upstreams), domain("tyrol", far_upstreams)],
    };
    FleetPlan { domains, servers: 2, shards, server: fast_server(), has_processes: true, ..FleetPlan::default() }
}

/// Process ids of a fleet's nodes.
pub fn pids(fleet: &Fleet) -> Vec<u32> {
    let handles = fleet.nodes.iter().filter_map(|node| node.handle.as_ref());
    let children = handles.filter_map(|handle| match handle {
        NodeHandle::Process(child) => child.id(),
        NodeHandle::Local(_) => None,
    });
    children.collect()
}

/// Sum of the CPU time that the processes have used since they started.
pub fn total_cpu_time(pids: &[u32]) -> Duration {
    pids.iter().filter_map(|pid| usage::read(*pid)).map(|used| used.cpu).sum()
}

/// Resident memory of each process, in KB.
pub fn resident_memory_kb(pids: &[u32]) -> Vec<u64> {
    pids.iter().filter_map(|pid| usage::read(*pid)).map(|used| used.memory >> 10).collect()
}

/// Runs `concurrency` closed loops of queries for [`MEASURE_TIME`]; returns answered queries a second.
async fn saturate(fleet: &Fleet, entry: SocketAddr, concurrency: usize) -> f64 {
    let start = Instant::now();
    let mut workers = tokio::task::JoinSet::new();
    let authorization: Arc<str> = format!("Bearer {TOKEN}").into();
    for _ in 0..concurrency {
        let (client, authorization) = (fleet.client.clone(), authorization.clone());
        workers.spawn(async move {
            let path = format!("/v1/indexes/{INDEX}/query");
            let headers = [("authorization", &*authorization)];
            let mut done = 0u64;
            while start.elapsed() < MEASURE_TIME {
                let body = Bytes::from_static(b"{}");
                let answer = client.call(Method::POST, entry, &path, &headers, body, MEASURE_TIME).await;
                done += u64::from(answer.is_ok_and(|answer| answer.status.is_success()));
            }
            done
        });
    }
    let mut total = 0;
    while let Some(done) = workers.join_next().await {
        total += done.unwrap_or(0);
    }
    total as f64 / start.elapsed().as_secs_f64()
}

/// Measures the capacity of a fleet, CPU time per shard call, memory, and latency at a third of the capacity.
async fn measure(plan: FleetPlan) -> Result<Value, FleetError> {
    let fleet = Fleet::start(plan).await?;
    let entry = fleet.caller_addresses()[0];
    let pids = pids(&fleet);
    let idle_kb = resident_memory_kb(&pids);
    saturate(&fleet, entry, CONCURRENCY).await;
    let before = total_cpu_time(&pids);
    let start = Instant::now();
    let rate = saturate(&fleet, entry, CONCURRENCY).await;
    let cpu = (total_cpu_time(&pids) - before).as_secs_f64();
    let shard_calls = rate * start.elapsed().as_secs_f64() * fleet.shards() as f64;
    let busy_kb = resident_memory_kb(&pids);
    let load_plan = LoadPlan {
        nodes: vec![entry],
        index: INDEX.to_owned(),
        token: TOKEN.to_owned(),
        rate: rate * LATENCY_SHARE,
        duration: MEASURE_TIME,
        headers: Vec::new(),
        latency_goal: DEFAULT_LATENCY_GOAL,
    };
    let report = load::run(&fleet.client, &load_plan).await;
    let figures = json!({
        "shards": fleet.shards(),
        "upstreams": fleet.servers.len(),
        "queries_a_second": rate.round(),
        "shard_calls_a_second": (rate * fleet.shards() as f64).round(),
        "shard_calls_a_second_a_core": (shard_calls / cpu).round(),
        "cores_used": cpu / MEASURE_TIME.as_secs_f64(),
        "p50_ms_at_a_third": report.p50_ms,
        "p99_ms_at_a_third": report.p99_ms,
        "broken": report.broken,
        "idle_kb": idle_kb,
        "busy_kb": busy_kb,
        "kb_a_request_in_flight": (busy_kb.iter().sum::<u64>() as f64 - idle_kb.iter().sum::<u64>() as f64) / CONCURRENCY as f64,
    });
    fleet.stop().await;
    Ok(figures)
}

/// CPU time of all nodes for one query at saturation, in microseconds.
///
/// # Errors
/// The fleet did not start.
pub async fn cpu_per_query(plan: FleetPlan) -> Result<f64, FleetError> {
    let fleet = Fleet::start(plan).await?;
    let entry = fleet.caller_addresses()[0];
    let pids = pids(&fleet);
    let before = total_cpu_time(&pids);
    let start = Instant::now();
    let rate = saturate(&fleet, entry, CONCURRENCY).await;
    let queries = rate * start.elapsed().as_secs_f64();
    let used = (total_cpu_time(&pids) - before).as_secs_f64();
    fleet.stop().await;
    Ok(used / queries * 1e6)
}

/// Measures calls directly to a server, which is the lower bound of the latency of a query.
async fn measure_direct() -> Result<Value, FleetError> {
    let fleet = Fleet::start(plan(1, 0, 1)).await?;
    let Some(server) = fleet.all_servers().next() else { return Err(FleetError::NotReady) };
    let address = server.address;
    let request = RequestId(rand::random()).to_string();
    let attempt = AttemptId(rand::random()).to_string();
    let headers = [
        (SERVER_HEADER_REQUEST, request.as_str()),
        (SERVER_HEADER_ATTEMPT, attempt.as_str()),
        (SERVER_HEADER_SHARDS, "0"),
    ];
    let path = format!("/v1/shards/{INDEX}/query");
    let mut latencies = Histogram::<u64>::new(3).map_err(|_| FleetError::NotReady)?;
    let start = Instant::now();
    while start.elapsed() < MEASURE_TIME {
        let sent = Instant::now();
        let body = Bytes::from_static(b"{}");
        fleet.client.call(Method::POST, address, &path, &headers, body, MEASURE_TIME).await?;
        latencies.saturating_record(sent.elapsed().as_micros() as u64);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    let figures = json!({ "p50_ms": ms(0.5), "p99_ms": ms(0.99) });
    fleet.stop().await;
    Ok(figures)
}

/// Compares direct calls with queries over one hop and over two hops, in one run.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let direct = measure_direct().await?;
    let one_hop = measure(plan(20, 0, 1)).await?;
    let one_hop_batched = measure(plan(20, 0, 5)).await?;
    let two_hops = measure(plan(1, 20, 1)).await?;
    let two_hops_batched = measure(plan(1, 20, 5)).await?;
    let number = |value: &Value, name: &str| value[name].as_f64().unwrap_or(0.0);
    let added = number(&one_hop, "p99_ms_at_a_third") - number(&direct, "p99_ms");
    let per_core = number(&one_hop, "shard_calls_a_second_a_core");
    let held = added < MAX_ADDED_P99_MS && per_core >= MIN_CALLS_PER_CORE;
    let policy = json!({
        "added_p50_ms": number(&one_hop, "p50_ms_at_a_third") - number(&direct, "p50_ms"),
        "added_p99_ms": added,
        "one_hop": one_hop,
        "one_hop_5_shards_a_server": one_hop_batched,
        "two_hops": two_hops,
        "two_hops_5_shards_a_server": two_hops_batched,
    });
    Ok(ExperimentReport { experiment: "cost", seed, baseline: direct, policy, held })
}
