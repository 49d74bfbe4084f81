//! Thundering herd of nodes that restart together, with real processes. When each of 985 nodes listed all nodes from
//! the store, the answers queued so long that the first nodes had no servers after 1.2 s and every node listed all
//! servers too: nothing was served for five seconds. The listings of a start must grow with the failure domains, not
//! with the nodes.

use std::sync::atomic::Ordering;

use http::StatusCode;
use serde_json::json;
use streamfold_lab::route_checks::{check_answer, get, local_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};

/// Nodes of each failure domain; together more than fit on one page of the store.
const NODES: [usize; 2] = [13, 9];
/// Nodes that the settings of all nodes list as seeds.
const SEEDS: usize = 3;
/// Servers, on several pages of the store's listings.
const SERVERS: usize = 90;
/// The delay of each answer of the store: a listing of servers takes longer than a node waits for a reader that does
/// not respond.
const SLOW_MS: u64 = 300;

async fn restart() -> RouteFleet {
    let servers = (0..SERVERS).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    let routes = vec![write_route("cart", "/any/", &json!({ "service": "cart" }))];
    let plan = RouteFleetPlan { nodes: NODES, servers, routes, ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.platform.state.faults.slow_ms.store(SLOW_MS, Ordering::Relaxed);
    fleet.restart_all().await.expect("processes");
    fleet.wait_ready(StatusCode::OK).await.expect("ready nodes");
    fleet
}

/// The number of nodes with a log line that contains all the texts.
fn count_nodes(fleet: &RouteFleet, texts: &[&str]) -> usize {
    fleet.nodes.iter().filter(|node| !node.logged(texts).is_empty()).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_together_list_the_store_once_per_failure_domain() {
    let fleet = restart().await;
    let listed_nodes = count_nodes(&fleet, &["event=listed", "topic=nodes", "source=store"]);
    assert!(listed_nodes <= SEEDS, "{listed_nodes} nodes listed all nodes from the store");
    let listed_servers = count_nodes(&fleet, &["event=listed", "topic=servers", "source=store"]);
    assert!(listed_servers <= NODES.len(), "{listed_servers} nodes listed all servers from the store");
    check_answer(&fleet, &get(&fleet, "/any/x", "r-after").await, "r-after");
}
