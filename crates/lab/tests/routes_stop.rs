//! Shutdown of nodes and disconnects of callers, with real processes.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;
use streamfold_lab::fleet::send_signal;
use streamfold_lab::route_checks::{check_answer, get, local_server, start_single};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_asked_to_stop_finishes_its_requests_and_exits_with_0() {
    let mut fleet = start_single().await;
    fleet.servers[0].state.switches.work_ms.store(3_500, Ordering::Relaxed);
    let callers = fleet.nodes[0].addresses.callers;
    let client = fleet.client.clone();
    let in_flight = tokio::spawn(async move {
        let headers = [("host", HOST), ("x-request-id", "r-long"), ("x-deadline-ms", "8000")];
        client.call(Method::POST, callers, "/once/x", &headers, Bytes::new(), MAX_WAIT).await
    });
    wait_for("the request in flight", async || fleet.count_runs("r-long") == 1).await;
    send_signal(&fleet.nodes[0].process, "TERM").await;
    fleet.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await.expect("a node that is not ready");
    // Requests still arrive until the load balancer notices that the node is not ready.
    fleet.servers[0].state.switches.work_ms.store(0, Ordering::Relaxed);
    check_answer(&fleet, &get(&fleet, "/any/x", "r-late").await, "r-late");
    check_answer(&fleet, &in_flight.await.expect("a caller").expect("an answer"), "r-long");
    let status = tokio::time::timeout(MAX_WAIT, fleet.nodes[0].process.wait()).await;
    let status = status.expect("an end").expect("a status");
    assert!(status.success(), "{status}");
    assert_eq!(fleet.count_calls("r-long"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed_when_the_node_stops() {
    let mut fleet = start_single().await;
    let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    let request = format!("GET /any/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-0\r\n\r\n");
    caller.write_all(request.as_bytes()).await.expect("a sent request");
    let mut first_byte = [0; 1];
    caller.read_exact(&mut first_byte).await.expect("an answer");
    send_signal(&fleet.nodes[0].process, "TERM").await;
    let mut remaining = Vec::new();
    let closed = tokio::time::timeout(MAX_WAIT, caller.read_to_end(&mut remaining)).await;
    closed.expect("a closed connection").expect("a closed connection");
    let status = tokio::time::timeout(MAX_WAIT, fleet.nodes[0].process.wait()).await;
    assert!(status.expect("an end").expect("a status").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_call_is_cancelled_when_the_caller_leaves() {
    // With so long a time-out only the caller's disconnect can end a call while the test waits.
    let long_route = |kind: &str| json!({ "service": "cart", "routeType": kind, "timeoutMs": 120_000 });
    let routes = vec![
        write_route("any", "/any/", &long_route("safe")),
        write_route("once", "/once/", &long_route("non_idempotent")),
    ];
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![local_server("i-0", "cart")],
        routes,
        ..RouteFleetPlan::default()
    };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    let state = &fleet.servers[0].state;
    state.switches.pause_ms.store(120_000, Ordering::Relaxed);
    for (number, path) in ["/any/x", "/once/x"].into_iter().enumerate() {
        let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
        let id = format!("r-{number}");
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 120000\r\n\r\n");
        caller.write_all(request.as_bytes()).await.expect("a sent request");
        wait_for("the call", async || fleet.count_calls(&id) > 0).await;
        drop(caller);
        wait_for("the end of the call", async || state.abandoned.load(Ordering::Relaxed) > number as u64).await;
    }
    assert!(state.runs().is_empty());
}
