//! Orders with both kinds of key, tickets and the caller's own, each delivered twice to random nodes, while nodes are
//! killed and paused, answers are lost and the store has an outage.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::trial::three_domains;
use super::{ExperimentReport, to_value};
use crate::fleet::{Fleet, FleetError, NodeHandle};
use crate::fleet_plan::{DomainPlan, FleetPlan};
use crate::orders::{OrderReport, OrderSender};
use streamfold_standin::rng;

const ORDERS: usize = 5_000;
const RATE: f64 = 150.0;
/// Share of the keys that are tickets; the others are the caller's own.
const TICKET_SHARE: f64 = 0.7;
/// Writes to the store in a thousand whose answer is lost.
const LOST_ANSWERS_PER_MILLE: u64 = 100;
/// Chunks of answers in a thousand that are cut in half, after which the connection closes.
const RESETS_PER_MILLE: u64 = 5;
const PAUSE_TIME: Duration = Duration::from_secs(5);
const OUTAGE_TIME: Duration = Duration::from_secs(5);

fn plan(policy: PolicyChoice) -> FleetPlan {
    let mut plan = three_domains(8, policy);
    plan.domains = ["vienna", "tyrol"].map(|name| DomainPlan { name, nodes: 3, upstreams: 4 }).to_vec();
    plan.has_processes = true;
    plan.has_proxies = true;
    plan.deadline = "2s";
    plan.settings.push_str("claim_rate: 100\n");
    plan
}

async fn make_keys(fleet: &Fleet, sender: &OrderSender) -> Vec<String> {
    let nodes = fleet.caller_addresses();
    let tickets = (ORDERS as f64 * TICKET_SHARE) as usize;
    let mut keys = Vec::new();
    for node in &nodes {
        keys.extend(sender.mint(*node, (tickets / nodes.len()).min(1_000)).await);
    }
    let own_keys = (keys.len()..ORDERS).map(|number| format!("order-{number}"));
    keys.extend(own_keys);
    for position in (1..keys.len()).rev() {
        keys.swap(position, rng::range(0.0..(position + 1) as f64) as usize);
    }
    keys
}

/// Injects the faults one after the other while orders are sent.
async fn inject_faults(fleet: &mut Fleet) -> Result<(), FleetError> {
    fleet.platform.state.faults.lost_answers.store(LOST_ANSWERS_PER_MILLE, Ordering::Relaxed);
    for proxy in fleet.proxies.iter().chain(fleet.nodes.iter().filter_map(|node| node.proxy.as_ref())) {
        proxy.faults.reset_per_mille.store(RESETS_PER_MILLE, Ordering::Relaxed);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    if let Some(NodeHandle::Process(mut child)) = fleet.nodes[1].handle.take() {
        // `kill -9`; an error means that the process has exited already.
        let _ = child.kill().await;
    }
    fleet.add_node("vienna", "vienna-3").await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.nodes[2].signal("STOP").await;
    tokio::time::sleep(PAUSE_TIME).await;
    fleet.nodes[2].signal("CONT").await;
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    tokio::time::sleep(OUTAGE_TIME).await;
    fleet.platform.state.faults.outage.store(false, Ordering::Relaxed);
    fleet.nodes[4].signal("STOP").await;
    tokio::time::sleep(PAUSE_TIME).await;
    fleet.nodes[4].signal("CONT").await;
    Ok(())
}

async fn run_policy() -> Result<OrderReport, FleetError> {
    let mut fleet = Fleet::start(plan(PolicyChoice::Adaptive)).await?;
    let sender = OrderSender::new(fleet.client.clone());
    let keys = make_keys(&fleet, &sender).await;
    let nodes = fleet.caller_addresses();
    let running = tokio::spawn({
        let sender = sender.clone();
        async move { sender.run(&nodes, keys, RATE).await }
    });
    inject_faults(&mut fleet).await?;
    running.await.map_err(|_| FleetError::NotReady)?;
    let report = sender.report(&fleet.log);
    fleet.stop().await;
    Ok(report)
}

/// A client without the tier: it sends each order directly to a server, and a second time after a failure.
async fn run_baseline() -> Result<Value, FleetError> {
    const BASELINE_ORDERS: usize = 500;
    let fleet = Fleet::start(plan(PolicyChoice::Baseline)).await?;
    for proxy in &fleet.proxies {
        proxy.faults.reset_per_mille.store(RESETS_PER_MILLE * 10, Ordering::Relaxed);
    }
    let servers: Vec<SocketAddr> = fleet.proxies.iter().map(|proxy| proxy.address).collect();
    for number in 0..BASELINE_ORDERS {
        let key = format!("plain-{number}");
        for _delivery in 0..2 {
            if send_direct(&fleet, &servers, &key).await {
                break;
            }
        }
    }
    let doubled = fleet.log.count_duplicates();
    fleet.stop().await;
    Ok(json!({ "orders": BASELINE_ORDERS, "doubled": doubled }))
}

async fn send_direct(fleet: &Fleet, servers: &[SocketAddr], key: &str) -> bool {
    use streamfold_model::server::{SERVER_HEADER_ATTEMPT, SERVER_HEADER_KEY, SERVER_HEADER_SHARDS};
    let server = servers[rng::range(0.0..servers.len() as f64) as usize];
    let headers = [(SERVER_HEADER_ATTEMPT, "0"), (SERVER_HEADER_SHARDS, "0"), (SERVER_HEADER_KEY, key)];
    let path = format!("/v1/shards/{}/order", crate::fleet::INDEX);
    let timeout = Duration::from_secs(1);
    let body = bytes::Bytes::from_static(b"{}");
    let answer = fleet.client.call(http::Method::POST, server, &path, &headers, body, timeout).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = run_baseline().await?;
    let report = run_policy().await?;
    let held =
        report.orders >= ORDERS && report.doubled == 0 && report.not_run_that_ran == 0 && report.ran_that_did_not == 0;
    Ok(ExperimentReport { experiment: "once", seed, baseline, policy: to_value(&report), held })
}
