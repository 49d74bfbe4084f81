//! Routes bound to regions, with real processes: no server outside the allowed regions gets a request, whichever path
//! it takes.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{
    check_answer, format_refusal, get, header, local_server, remote_server, wait_delegated,
};
use streamfold_lab::route_fleet::{DOMAINS, REGIONS, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;

const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// The regions of the first and the second failure domain.
const NORTH: &str = REGIONS[0];
const SOUTH: &str = REGIONS[1];

/// Starts a fleet with a service and shards that have servers in both failure domains, and a node in each. Every route
/// is bound to one region.
async fn start_bound(region: &str) -> RouteFleet {
    let mut servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    for shard in SHARDS {
        servers.extend([local_server(&format!("{shard}-n"), shard), remote_server(&format!("{shard}-f"), shard)]);
    }
    let plan = RouteFleetPlan { nodes: [1, 1], servers, routes: write_routes(&[region]), ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

fn write_routes(regions: &[&str]) -> Vec<Value> {
    let cart = json!({ "service": "cart", "allowedRegions": regions });
    let all = json!({ "gather": SHARDS, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2, "timeoutMs": 2_500,
        "targetLatencyMs": 600, "allowedRegions": regions });
    vec![write_route("any", "/any/", &cart), write_route("all", "/all/", &all)]
}

async fn call(fleet: &RouteFleet, node: usize, path: &str, id: &str) -> streamfold_lab::client::CallAnswer {
    fleet.call(node, Method::GET, path, id, Bytes::new()).await.expect("an answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_only_to_servers_in_the_allowed_regions_from_any_node() {
    for (region, outside) in [(NORTH, 1), (SOUTH, 0)] {
        let fleet = start_bound(region).await;
        for number in 0..20 {
            for node in 0..2 {
                let id = format!("any-{node}-{number}");
                check_answer(&fleet, &call(&fleet, node, "/any/x", &id).await, &id);
                let answer = call(&fleet, node, "/all/x", &format!("all-{node}-{number}")).await;
                assert_eq!(
                    (answer.status.as_u16(), header(&answer, "x-missing-parts")),
                    (200, Some("0")),
                    "{answer:?}"
                );
            }
        }
        assert_eq!(fleet.count_domain_calls(outside), 0, "bound to {region}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_and_hedges_stay_in_the_allowed_regions() {
    let fleet = start_bound(NORTH).await;
    let in_region: Vec<_> = fleet.servers.iter().filter(|server| server.state.plan.domain == DOMAINS[0]).collect();
    for server in &in_region {
        server.state.switches.refuse.store(true, Ordering::Relaxed);
    }
    for node in 0..2 {
        assert_eq!(call(&fleet, node, "/any/x", &format!("refused-{node}")).await.status, 503);
        assert_ne!(call(&fleet, node, "/all/x", &format!("all-refused-{node}")).await.status, 200);
    }
    for server in &in_region {
        server.state.switches.refuse.store(false, Ordering::Relaxed);
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    for node in 0..2 {
        assert_eq!(call(&fleet, node, "/any/x", &format!("lost-{node}")).await.status, 502);
        assert_ne!(call(&fleet, node, "/all/x", &format!("all-lost-{node}")).await.status, 200);
    }
    for server in &in_region {
        server.state.switches.lose_answer.store(false, Ordering::Relaxed);
        server.state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    }
    for node in 0..2 {
        assert_ne!(call(&fleet, node, "/all/x", &format!("all-paused-{node}")).await.status, 200);
    }
    assert_eq!(fleet.count_domain_calls(1), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_takeover_from_an_unresponsive_node_stays_in_the_allowed_regions() {
    let fleet = start_bound(SOUTH).await;
    wait_delegated(&fleet, 4).await;
    pause_process(&fleet.nodes[1].process).await;
    let (_, ()) = tokio::join!(get(&fleet, "/all/x", "r-silent"), async {
        let event = ["event=batch_overdue", "request=r-silent"];
        wait_for("the takeover of the batch", async || !fleet.nodes[0].logged(&event).is_empty()).await;
    });
    send_signal(&fleet.nodes[1].process, "CONT").await;
    assert_eq!(fleet.count_domain_calls(0), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_server_in_the_allowed_regions_a_request_is_refused_at_once_with_a_logged_reason() {
    let fleet = start_bound("west").await;
    let mut results = Vec::new();
    for path in ["/any/x", "/all/x"] {
        results.push(format!("{path}: {}", format_refusal(&get(&fleet, path, "r-0").await)));
    }
    insta::assert_snapshot!(results.join("\n"));
    assert_eq!(fleet.count_domain_calls(0) + fleet.count_domain_calls(1), 0);
    for event in ["event=service_unreachable", "event=coverage_unreachable"] {
        let line = [event, "request=r-0", "barred=outside_homes:2"];
        wait_for("the log line with the reason", async || !fleet.nodes[0].logged(&line).is_empty()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_allowed_regions_applies_to_every_later_request() {
    let fleet = start_bound(NORTH).await;
    check_answer(&fleet, &get(&fleet, "/any/x", "r-before").await, "r-before");
    fleet.put_document(2, &write_routes(&[SOUTH]));
    for node in &fleet.nodes {
        wait_for("the newer routes", async || !node.logged(&["event=routes_in_force", "version=2"]).is_empty()).await;
    }
    let before = fleet.count_domain_calls(0);
    for number in 0..20 {
        for node in 0..2 {
            let id = format!("any-{node}-{number}");
            check_answer(&fleet, &call(&fleet, node, "/any/x", &id).await, &id);
            assert_eq!(call(&fleet, node, "/all/x", &format!("all-{node}-{number}")).await.status, 200);
        }
    }
    assert_eq!(fleet.count_domain_calls(0), before, "no call goes to the former region");
}
