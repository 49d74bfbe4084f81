//! Cold servers: all nodes together send them no more than they bear. With real processes.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use streamfold_lab::route_checks::{check_answer, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::{COLD_ALLOWANCE, COLD_EXCESS, COLD_RATE};

/// How long a server says that it stays cold: longer than a test.
const COLD_MS: u64 = 60_000;
/// Calls until every node knows what one usually takes, and does not prefer far servers to cold ones.
const WARM_CALLS: usize = 200;
/// Nodes that call the cold server.
const CALLERS: usize = 6;

async fn start() -> RouteFleet {
    let servers = vec![local_server("i-0", "cold-cart"), remote_server("i-1", "cold-cart")];
    let routes = vec![write_route("any", "/any/", &service_target("cold-cart"))];
    RouteFleet::start(RouteFleetPlan { nodes: [CALLERS, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// Calls through every node by turns until the server that is cold has got some calls; how many it got,
/// and the most that all nodes may have sent it in that time.
async fn call_cold(fleet: &RouteFleet, name: &str, wanted: usize) -> (usize, f64) {
    let cold = &fleet.servers[0].state;
    let (before, started) = (cold.calls().len(), Instant::now());
    let mut number = 0;
    wait_for("calls at the cold server", async || {
        for node in 0..CALLERS {
            number += 1;
            let id = format!("{name}-{number}");
            let answer = fleet.call(node, Method::GET, "/any/x", &id, Bytes::new()).await.expect("an answer");
            check_answer(fleet, &answer, &id);
        }
        cold.calls().len() >= before + wanted
    })
    .await;
    let windows = started.elapsed().as_secs_f64().floor() + 1.0;
    (cold.calls().len() - before, windows * (COLD_RATE * COLD_EXCESS + COLD_ALLOWANCE))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_goes_cold_gets_no_more_than_it_bears_from_all_nodes_together() {
    let fleet = start().await;
    call_cold(&fleet, "warm", WARM_CALLS).await;
    fleet.servers[0].state.cold_ms.store(COLD_MS, Ordering::Relaxed);
    fleet.register(0, "ready");
    let event = ["event=server_cold", "server=i-0"];
    for node in &fleet.nodes {
        wait_for("the news", async || !node.logged(&event).is_empty()).await;
    }
    let (calls, most) = call_cold(&fleet, "cold", 12).await;
    assert!(calls as f64 <= most, "{calls} calls, {most} at most");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_given_back_after_an_evacuation_are_taken_for_cold() {
    let fleet = start().await;
    call_cold(&fleet, "warm", WARM_CALLS).await;
    fleet.evacuate(0, true);
    for node in &fleet.nodes {
        wait_for("the evacuation", async || !node.logged(&["event=evacuations_in_force", "=zone-a"]).is_empty()).await;
    }
    fleet.evacuate(0, false);
    for node in &fleet.nodes {
        wait_for("its end", async || !node.logged(&["event=evacuations_in_force", "=none"]).is_empty()).await;
    }
    let (calls, most) = call_cold(&fleet, "back", 12).await;
    assert!(calls as f64 <= most, "{calls} calls, {most} at most");
}
