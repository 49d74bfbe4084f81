//! Connections to the platform's store that hang forever without an error while new ones work.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use streamfold_lab::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_within;
use streamfold_standin::server::RouteServerPlan;

/// How long a condition may take to hold: several times what a node needs, and less than the longest time of a watch,
/// after which a node that trusted its connections would also learn of the change.
const WAIT_AT_MOST: Duration = Duration::from_secs(20);
/// The watches of a node: routes, servers and nodes.
const WATCHES: u64 = 3;

fn route(service: &str) -> Value {
    write_route(service, &format!("/{service}/"), &json!({ "service": service }))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_watches_hang_still_learns_of_changes() {
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
    let has_logged = async |texts: &[&str]| !fleet.nodes[0].logged(texts).is_empty();
    wait_within(WAIT_AT_MOST, "the leaving server", async || has_logged(&["event=server_leaving", "server=i-1"]).await)
        .await;
    wait_within(WAIT_AT_MOST, "the newer routes", async || has_logged(&["event=routes_in_force", "version=2"]).await)
        .await;
}
