//! Connections to the platform's store that fall silent for good while new ones work.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_lab::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_within;
use streamfold_standin::server::RouteServerPlan;

/// How long a condition may take to hold: several times what a node needs, and less than the
/// longest wait of a watch, by which a node that trusts its connections would find out too.
const WAIT_AT_MOST: Duration = Duration::from_secs(20);
/// Watches of a node: routes, servers and nodes.
const WATCHES: u64 = 3;

fn route(service: &str) -> Value {
    write_route(service, &format!("/{service}/"), &json!({ "service": service }))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_watches_fall_silent_learns_of_changes_all_the_same() {
    let servers =
        vec![RouteServerPlan::new("i-0", "cart", DOMAINS[0]), RouteServerPlan::new("i-1", "cart", DOMAINS[0])];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes: vec![route("cart")], ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    let state = &fleet.platform.state;
    wait_within(WAIT_AT_MOST, "the node's watches", async || state.calls.watches.load(Ordering::Relaxed) >= WATCHES)
        .await;
    state.silence_watches();
    fleet.register(1, "draining");
    fleet.put_document(2, &[route("cart"), route("late")]);
    let told = async |texts: &[&str]| !fleet.nodes[0].logged(texts).is_empty();
    wait_within(WAIT_AT_MOST, "the leaving server", async || told(&["event=server_leaving", "server=i-1"]).await).await;
    wait_within(WAIT_AT_MOST, "the newer routes", async || told(&["event=routes_in_force", "version=2"]).await).await;
}
