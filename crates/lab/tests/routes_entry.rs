//! Requests over shards that cannot be answered in time are turned away before any server gets them. With real
//! processes.

use std::sync::atomic::Ordering;

use http::StatusCode;
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{format_refusal, get, local_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;

/// How long the silent server keeps each call: longer than a test.
const SILENCE_MS: u64 = 60_000;
/// Requests without an answer until a server is gone round for longer than one of them may be held, and then some.
const MANY: usize = 12;

/// Two shards with a server each: `/all/` needs both, `/some/` any one and goes before it, if `urgent` is its rank.
async fn start(urgent: u32, settings: &'static str) -> RouteFleet {
    let shards = ["s-0", "s-1"];
    let target = |coverage: f64, priority: u32| {
        json!({ "gather": shards, "topK": 4, "minCoverage": coverage, "timeoutMs": 600, "targetLatencyMs": 200,
            "priority": priority })
    };
    let routes =
        vec![write_route("all", "/all/", &target(1.0, 1)), write_route("some", "/some/", &target(0.5, urgent))];
    let servers = vec![local_server("i-0", "s-0"), local_server("i-1", "s-1")];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, settings, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

fn silence(fleet: &RouteFleet, millis: u64) {
    fleet.servers[1].state.switches.pause_ms.store(millis, Ordering::Relaxed);
}

/// Asks for both shards until the node turns a request away; its id and answer.
async fn find_refused(fleet: &RouteFleet) -> (String, CallAnswer) {
    let mut number = 0;
    let mut refused = None;
    wait_for("a request turned away", async || {
        number += 1;
        let id = format!("r-{number}");
        let answer = get(fleet, "/all/x", &id).await;
        assert!(!answer.status.is_success(), "{answer:?}");
        refused = (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some((id, answer));
        refused.is_some()
    })
    .await;
    refused.expect("a refusal")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_silent_shard_makes_hopeless_reaches_no_server_and_may_come_back() {
    let fleet = start(0, "").await;
    assert_eq!(get(&fleet, "/all/x", "before").await.status, 200);
    silence(&fleet, SILENCE_MS);
    let (id, answer) = find_refused(&fleet).await;
    assert_eq!(format_refusal(&answer), "503 {\"error\":\"not_run\"} retry-after: Some(true)");
    assert_eq!(fleet.count_calls(&id), 0);
    let line = format!("request={id} ");
    wait_for("its line", async || {
        !fleet.nodes[0].logged(&["event=request_turned_away", &line, "reason=hopeless", "priority=1"]).is_empty()
    })
    .await;
    // What one shard is enough for is answered as before.
    assert_eq!(get(&fleet, "/some/x", "some").await.status, 200);
    silence(&fleet, 0);
    wait_for("an answer", async || get(&fleet, "/all/x", "after").await.status == 200).await;
}

/// Asks for both shards many times while one is silent, and checks that every request was begun.
async fn check_all_begun(fleet: &RouteFleet) {
    silence(fleet, SILENCE_MS);
    for number in 0..MANY {
        let id = format!("r-{number}");
        assert_eq!(get(fleet, "/all/x", &id).await.status, StatusCode::GATEWAY_TIMEOUT, "{id}");
        assert!(fleet.count_calls(&id) > 0, "{id}");
    }
    assert_eq!(fleet.nodes[0].logged(&["event=request_turned_away"]), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_begun_where_the_mechanism_is_switched_off() {
    check_all_begun(&start(0, "without: [entry_gate]\n").await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_begun_where_all_are_equally_urgent() {
    check_all_begun(&start(1, "").await).await;
}
