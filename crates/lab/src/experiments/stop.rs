//! Every node is shut down and replaced in turn, under a load of queries and orders.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use streamfold_daemon::settings::PolicyChoice;

use super::ExperimentReport;
use super::trial::{load_on, three_domains};
use crate::fleet::{Fleet, FleetError};
use crate::fleet_plan::DomainPlan;
use crate::load::{self, LoadPlan};
use crate::orders::OrderSender;

const QUERY_RATE: f64 = 60.0;
const ORDER_RATE: f64 = 40.0;
/// Duration of one slice of the load, which goes to the nodes that the load balancer lists at its start.
const SLICE_TIME: Duration = Duration::from_millis(500);
/// How long the load balancer keeps sending to a node that is stopping.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Addresses of the nodes that the load balancer sends to.
type BalancerList = Arc<Mutex<Vec<SocketAddr>>>;

fn balanced_nodes(list: &BalancerList) -> Vec<SocketAddr> {
    list.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn load_queries(
    client: crate::client::LabClient,
    base: LoadPlan,
    list: BalancerList,
    until: Instant,
) -> [u64; 5] {
    let mut totals = [0; 5];
    while Instant::now() < until {
        let plan = LoadPlan { nodes: balanced_nodes(&list), duration: SLICE_TIME, ..base.clone() };
        let report = load::run(&client, &plan).await;
        let counts = [report.requests, report.whole, report.failed, report.unknown, report.broken];
        for (total, count) in totals.iter_mut().zip(counts) {
            *total += count;
        }
    }
    totals
}

async fn load_orders(sender: OrderSender, list: BalancerList, until: Instant) {
    while Instant::now() < until {
        let nodes = balanced_nodes(&list);
        let count = (ORDER_RATE * SLICE_TIME.as_secs_f64()) as usize;
        let minter = nodes[streamfold_standin::rng::range(0.0..nodes.len() as f64) as usize];
        let tickets = sender.mint(minter, count).await;
        sender.run(&nodes, tickets, ORDER_RATE).await;
    }
}

async fn replace_nodes(fleet: &mut Fleet, list: &BalancerList) -> Result<bool, FleetError> {
    let mut ended_well = true;
    for number in 0..fleet.nodes.len() {
        let (domain, name) = (fleet.nodes[number].domain, format!("{}-new", fleet.nodes[number].name));
        let added = fleet.add_node(domain, &name).await?;
        fleet.wait_ready().await?;
        let (old, new) = (fleet.nodes[number].addresses.callers, fleet.nodes[added].addresses.callers);
        list.lock().unwrap_or_else(PoisonError::into_inner).push(new);
        let Some(handle) = fleet.nodes[number].handle.take() else { continue };
        let stopping = tokio::spawn(handle.stop());
        tokio::time::sleep(BALANCER_LAG).await;
        list.lock().unwrap_or_else(PoisonError::into_inner).retain(|address| *address != old);
        ended_well &= stopping.await.unwrap_or(false);
    }
    Ok(ended_well)
}

/// Runs one trial: `is_graceful` shuts the nodes down gracefully, the baseline gives them no lame duck and no grace period.
async fn trial(is_graceful: bool) -> Result<Value, FleetError> {
    let mut plan = three_domains(8, PolicyChoice::Adaptive);
    plan.domains = ["vienna", "tyrol"].map(|name| DomainPlan { name, nodes: 2, upstreams: 4 }).to_vec();
    plan.has_processes = true;
    // Longer than the load balancer's lag and a slice of the load together, as an operator would set it.
    let lame_duck = if is_graceful { "2s" } else { "0s" };
    let grace = if is_graceful { "10s" } else { "0s" };
    plan.settings = format!("lame_duck: {lame_duck}\ngrace: {grace}\nheartbeat: 100ms\n");
    let mut fleet = Fleet::start(plan).await?;
    let list: BalancerList = Arc::new(Mutex::new(fleet.caller_addresses()));
    let until = Instant::now() + Duration::from_secs(16);
    let base = load_on(&fleet, QUERY_RATE, SLICE_TIME);
    let queries = tokio::spawn(load_queries(fleet.client.clone(), base, list.clone(), until));
    let sender = OrderSender::new(fleet.client.clone());
    let orders = tokio::spawn(load_orders(sender.clone(), list.clone(), until));
    let ended_well = replace_nodes(&mut fleet, &list).await?;
    let [requests, whole, failed, unknown, broken] = queries.await.map_err(|_| FleetError::NotReady)?;
    orders.await.map_err(|_| FleetError::NotReady)?;
    let report = sender.report(&fleet.log);
    fleet.stop().await;
    Ok(json!({
        "nodes_replaced": 4,
        "ended_well": ended_well,
        "queries": requests,
        "queries_whole": whole,
        "cut_off": failed,
        "query_unknown": unknown,
        "broken": broken,
        "orders": report,
    }))
}

/// Runs the baseline and the policy.
///
/// # Errors
/// A fleet did not start.
pub async fn run(seed: u64) -> Result<ExperimentReport, FleetError> {
    let baseline = trial(false).await?;
    let policy = trial(true).await?;
    let is_zero = |value: &Value| value.as_u64() == Some(0);
    let orders = &policy["orders"];
    let held = policy["ended_well"] == json!(true)
        && is_zero(&policy["cut_off"])
        && is_zero(&policy["query_unknown"])
        && is_zero(&policy["broken"])
        && is_zero(&orders["unknown"])
        && is_zero(&orders["doubled"])
        && is_zero(&orders["not_run_that_ran"]);
    Ok(ExperimentReport { experiment: "stop", seed, baseline, policy, held })
}
