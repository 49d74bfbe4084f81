//! Warm-up with real processes: all nodes together keep a cold server within its warm-up rate.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use streamfold_lab::route_checks::{check_answer, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::{COLD_ALLOWANCE, COLD_EXCESS, COLD_RATE};

/// The remaining warm-up time that a server reports: longer than a test.
const COLD_MS: u64 = 60_000;
/// Calls after which every node knows the usual latency, so that it does not prefer far servers to cold ones.
const WARM_CALLS: usize = 200;
/// The number of nodes, which all call the cold server.
const CALLERS: usize = 6;

async fn start() -> RouteFleet {
    let servers = vec![local_server("i-0", "cold-cart"), remote_server("i-1", "cold-cart")];
    let routes = vec![write_route("any", "/any/", &service_target("cold-cart"))];
    RouteFleet::start(RouteFleetPlan { nodes: [CALLERS, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// Sends requests through all nodes in rotation until the cold server has received at least so many calls. Returns
/// the number of its calls and the limit for all nodes together in that time.
async fn call_cold(fleet: &RouteFleet, name: &str, min_calls: usize) -> (usize, f64) {
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
        cold.calls().len() >= before + min_calls
    })
    .await;
    let windows = started.elapsed().as_secs_f64().floor() + 1.0;
    (cold.calls().len() - before, windows * (COLD_RATE * COLD_EXCESS + COLD_ALLOWANCE))
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_a_cold_server_within_its_warmup_rate() {
    let fleet = start().await;
    call_cold(&fleet, "warm", WARM_CALLS).await;
    fleet.servers[0].state.cold_ms.store(COLD_MS, Ordering::Relaxed);
    fleet.register(0, "ready");
    let event = ["event=server_cold", "server=i-0"];
    for node in &fleet.nodes {
        wait_for("the update", async || !node.logged(&event).is_empty()).await;
    }
    let (calls, limit) = call_cold(&fleet, "cold", 12).await;
    assert!(calls as f64 <= limit, "{calls} calls, {limit} at most");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_are_treated_as_cold_after_an_evacuation() {
    let fleet = start().await;
    call_cold(&fleet, "warm", WARM_CALLS).await;
    fleet.evacuate(0, true);
    for node in &fleet.nodes {
        wait_for("the evacuation", async || !node.logged(&["event=evacuations_in_force", "=zone-a"]).is_empty()).await;
    }
    fleet.evacuate(0, false);
    for node in &fleet.nodes {
        wait_for("the end of the evacuation", async || {
            !node.logged(&["event=evacuations_in_force", "=none"]).is_empty()
        })
        .await;
    }
    let (calls, limit) = call_cold(&fleet, "back", 12).await;
    assert!(calls as f64 <= limit, "{calls} calls, {limit} at most");
}
