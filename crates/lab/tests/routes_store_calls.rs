//! Checks with real processes how many calls nodes make to the platform's store, since each call is billed. When each
//! node retried by itself, and each of its five topics by itself, several times a second, 2,100 of the 3,350 calls of a
//! day with two starts of 89 nodes fell in the six seconds in which the store broke every connection.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use streamfold_lab::route_checks::local_server;
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, RouteNode, write_route};
use streamfold_lab::wait::wait_for;

/// Nodes of the failure domain.
const NODES: usize = 10;
/// The average number of calls that a node may make at a start or in an outage.
const MAX_CALLS_PER_NODE: u64 = 8;
/// The duration of the store outage.
const OUTAGE: Duration = Duration::from_secs(6);

fn routes() -> Vec<Value> {
    vec![write_route("cart", "/any/", &json!({ "service": "cart" }))]
}

async fn start_fleet() -> RouteFleet {
    let plan = RouteFleetPlan {
        nodes: [NODES, 0],
        servers: vec![local_server("i-0", "cart"), local_server("i-1", "cart")],
        routes: routes(),
        ..RouteFleetPlan::default()
    };
    RouteFleet::start(plan).await.expect("a fleet")
}

fn count_calls(fleet: &RouteFleet) -> u64 {
    let calls = &fleet.platform.state.calls;
    [&calls.reads, &calls.writes, &calls.watches].into_iter().map(|count| count.load(Ordering::Relaxed)).sum()
}

/// Whether the source of updates that a node logged last is the given one.
fn has_source(node: &RouteNode, source: &str) -> bool {
    node.logged(&["event=feed_source"]).pop().is_some_and(|line| line.contains(&format!("source={source}")))
}

async fn wait_one_reader(fleet: &RouteFleet) {
    let is_shared = async || {
        let count = |source: &str| fleet.nodes.iter().filter(|node| has_source(node, source)).count();
        (count("Store"), count("Relay")) == (1, NODES - 1)
    };
    wait_for("one reader", is_shared).await;
}

async fn wait_version(fleet: &RouteFleet, version: u64) {
    let text = format!("version={version} ");
    let has_version = |node: &RouteNode| !node.logged(&["event=routes_in_force", &text]).is_empty();
    wait_for("the newer routes", async || fleet.nodes.iter().all(has_version)).await;
}

fn assert_calls_within_limit(calls: u64) {
    let limit = NODES as u64 * MAX_CALLS_PER_NODE;
    assert!(calls <= limit, "{calls} calls of {NODES} nodes, {limit} at most");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_restart_together_call_the_store_a_few_times_each() {
    let mut fleet = start_fleet().await;
    wait_one_reader(&fleet).await;
    let before = count_calls(&fleet);
    fleet.restart_all().await.expect("processes");
    fleet.wait_ready(StatusCode::OK).await.expect("ready nodes");
    wait_one_reader(&fleet).await;
    assert_calls_within_limit(count_calls(&fleet) - before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_breaks_every_connection_is_asked_a_few_times_by_each_node() {
    let fleet = start_fleet().await;
    wait_one_reader(&fleet).await;
    let before = count_calls(&fleet);
    fleet.platform.state.faults.broken.store(true, Ordering::Relaxed);
    // A change ends the open watches.
    fleet.put_document(2, &routes());
    tokio::time::sleep(OUTAGE).await;
    fleet.platform.state.faults.broken.store(false, Ordering::Relaxed);
    wait_version(&fleet, 2).await;
    wait_one_reader(&fleet).await;
    assert_calls_within_limit(count_calls(&fleet) - before);
}
