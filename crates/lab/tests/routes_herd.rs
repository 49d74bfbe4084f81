//! All nodes are killed at once and start again. Of 985 nodes each asked the store for all nodes, and
//! when the first ones had no servers after 1.2 s, behind those answers, each asked it for all servers too: nothing was
//! served for five seconds. What a start asks of the store grows with failure domains now, not with nodes. With real
//! processes.

use std::sync::atomic::Ordering;

use http::StatusCode;
use serde_json::json;
use streamfold_lab::route_checks::{check_answer, get, local_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};

/// Nodes of each failure domain; together more than one answer of the store holds.
const NODES: [usize; 2] = [13, 9];
/// Nodes that the settings of the others name.
const SEEDS: usize = 3;
/// Servers, on several pages of the store's listings.
const SERVERS: usize = 90;
/// How slow the store is: a listing of servers takes longer than a node waits for a reader that says nothing.
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

/// Nodes whose logs have a line with all of some texts.
fn count_nodes(fleet: &RouteFleet, texts: &[&str]) -> usize {
    fleet.nodes.iter().filter(|node| !node.logged(texts).is_empty()).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_together_ask_the_store_by_failure_domain() {
    let fleet = restart().await;
    let listed_nodes = count_nodes(&fleet, &["event=listed", "topic=nodes", "source=store"]);
    assert!(listed_nodes <= SEEDS, "{listed_nodes} nodes asked the store for all nodes");
    let listed_servers = count_nodes(&fleet, &["event=listed", "topic=servers", "source=store"]);
    assert!(listed_servers <= NODES.len(), "{listed_servers} nodes asked the store for all servers");
    check_answer(&fleet, &get(&fleet, "/any/x", "r-after").await, "r-after");
}
