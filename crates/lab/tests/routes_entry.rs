//! Admission control with real processes: gather requests that cannot finish in time are refused before any server gets
//! them.

use std::sync::atomic::Ordering;

use http::StatusCode;
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{format_refusal, get, local_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;

/// How long the unresponsive server delays each answer: longer than a test.
const STALL_MS: u64 = 60_000;
/// Unanswered requests: some more than it takes until a server is avoided for longer than a request may wait.
const REQUESTS: usize = 12;

/// Starts a fleet of two shards with a server each: `/all/` needs both and has priority 1, `/some/` needs one and has
/// the given priority.
async fn start(some_priority: u32, settings: &'static str) -> RouteFleet {
    let shards = ["s-0", "s-1"];
    let target = |coverage: f64, priority: u32| {
        json!({ "gather": shards, "topK": 4, "minCoverage": coverage, "timeoutMs": 600, "targetLatencyMs": 200,
            "priority": priority })
    };
    let routes =
        vec![write_route("all", "/all/", &target(1.0, 1)), write_route("some", "/some/", &target(0.5, some_priority))];
    let servers = vec![local_server("i-0", "s-0"), local_server("i-1", "s-1")];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, settings, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

fn set_stall(fleet: &RouteFleet, millis: u64) {
    fleet.servers[1].state.switches.pause_ms.store(millis, Ordering::Relaxed);
}

/// Queries both shards until the node refuses a request; returns its id and answer.
async fn find_refused(fleet: &RouteFleet) -> (String, CallAnswer) {
    let mut number = 0;
    let mut refused = None;
    wait_for("a refused request", async || {
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
async fn a_request_that_cannot_finish_in_time_reaches_no_server_and_may_be_retried() {
    let fleet = start(0, "").await;
    assert_eq!(get(&fleet, "/all/x", "before").await.status, 200);
    set_stall(&fleet, STALL_MS);
    let (id, answer) = find_refused(&fleet).await;
    assert_eq!(format_refusal(&answer), "503 {\"error\":\"not_run\"} retry-after: Some(true)");
    assert_eq!(fleet.count_calls(&id), 0);
    let line = format!("request={id} ");
    wait_for("the log line of the refusal", async || {
        !fleet.nodes[0].logged(&["event=request_turned_away", &line, "reason=hopeless", "priority=1"]).is_empty()
    })
    .await;
    // A request for which one shard suffices is answered as before.
    assert_eq!(get(&fleet, "/some/x", "some").await.status, 200);
    set_stall(&fleet, 0);
    wait_for("an answer", async || get(&fleet, "/all/x", "after").await.status == 200).await;
}

/// Queries both shards many times while one is unresponsive, and checks that every request is sent to a server.
async fn check_all_admitted(fleet: &RouteFleet) {
    set_stall(fleet, STALL_MS);
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        assert_eq!(get(fleet, "/all/x", &id).await.status, StatusCode::GATEWAY_TIMEOUT, "{id}");
        assert!(fleet.count_calls(&id) > 0, "{id}");
    }
    assert_eq!(fleet.nodes[0].logged(&["event=request_turned_away"]), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_admitted_without_the_mechanism() {
    check_all_admitted(&start(0, "without: [entry_gate]\n").await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_admitted_when_all_have_the_same_priority() {
    check_all_admitted(&start(1, "").await).await;
}
