//! Requests that reach a routing node after it was asked to stop, with real processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_lab::client::{CallAnswer, CallError, LabClient};
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{check_answer, header, local_server};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_standin::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Servers of the fleet, and requests that are sent at a time to measure how long their work takes.
const SERVERS: usize = 12;
const MEASURED: usize = 24;
/// Answers of a route after which the node knows how long they usually take.
const ENOUGH: usize = 20;
/// Work of a request that is longer than the grace period of the fleet, 6 s, and work of an ordinary request.
const LONG_WORK_MS: u64 = 6_000;
const SHORT_WORK_MS: u64 = 30;
/// Callers that use a connection of their own until the node has ended.
const CALLERS: usize = 24;
/// How long a node has no processor.
const PAUSE: Duration = Duration::from_secs(3);

/// Starts a node and servers behind the routes `/any/` (repeatable) and `/once/`.
async fn start(work_ms: u64) -> RouteFleet {
    let target = |kind: &str| -> Value {
        json!({ "service": "cart", "routeType": kind, "timeoutMs": 20_000, "targetLatencyMs": 8_000 })
    };
    let routes =
        vec![write_route("any", "/any/", &target("safe")), write_route("once", "/once/", &target("non_idempotent"))];
    let servers = (0..SERVERS).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    for server in &fleet.servers {
        server.state.switches.work_ms.store(work_ms, Ordering::Relaxed);
    }
    fleet
}

async fn call(client: &LabClient, fleet: &RouteFleet, path: &str, id: &str) -> Result<CallAnswer, CallError> {
    let headers = [("host", HOST), (names::REQUEST_ID, id), (names::DEADLINE_MS, "20000")];
    let callers = fleet.nodes[0].addresses.callers;
    client.call(Method::POST, callers, path, &headers, Bytes::new(), MAX_WAIT).await
}

/// Sends requests on a route until the node knows how long its answers usually take.
async fn measure(fleet: &RouteFleet, path: &str) {
    let mut answered = 0;
    while answered < ENOUGH {
        let requests = (0..MEASURED).map(|number| async move {
            let id = format!("r-measured{}{answered}-{number}", path.replace('/', "-"));
            call(&fleet.client, fleet, path, &id).await
        });
        let answers = futures_util::future::join_all(requests).await;
        answered += answers.iter().flatten().filter(|answer| answer.status.is_success()).count();
    }
}

/// Asks the node to stop and waits until it says that it is not ready.
async fn stop(fleet: &mut RouteFleet) {
    send_signal(&fleet.nodes[0].process, "TERM").await;
    fleet.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await.expect("a node that is not ready");
}

async fn check_exit(fleet: &mut RouteFleet) {
    let status = tokio::time::timeout(MAX_WAIT, fleet.nodes[0].process.wait()).await;
    let status = status.expect("an end").expect("a status");
    assert!(status.success(), "{status}");
}

/// Guards against requests that a stopping node takes though it knows that it ends before them: they were passed on, and
/// abandoned at the end of the grace period, so that nobody knew whether they had run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_takes_longer_than_its_node_lives_is_refused_at_once_and_does_not_run() {
    let mut fleet = start(LONG_WORK_MS).await;
    tokio::join!(measure(&fleet, "/once/x"), measure(&fleet, "/any/x"));
    stop(&mut fleet).await;
    for path in ["/once/x", "/any/x"] {
        let id = format!("r-late{}", path.replace('/', "-"));
        let answer = call(&fleet.client, &fleet, path, &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}: {answer:?}");
        let retry_after: f64 = header(&answer, "retry-after").expect("a time to return").parse().expect("seconds");
        assert!(retry_after < 1.0, "another node may serve the caller: {retry_after} s");
        assert_eq!(fleet.count_calls(&id), 0, "{path}");
    }
    check_exit(&mut fleet).await;
}

/// Guards against hedges and retries that a stopping node makes though they cannot end before it does.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_flight_is_not_sent_again_if_its_node_ends_first() {
    let fleet = start(LONG_WORK_MS).await;
    measure(&fleet, "/any/x").await;
    let fleet = Arc::new(tokio::sync::RwLock::new(fleet));
    let in_flight = {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            let fleet = fleet.read().await;
            call(&fleet.client, &fleet, "/any/x", "r-in-flight").await
        })
    };
    {
        let fleet = fleet.read().await;
        wait_for("the request in flight", async || fleet.count_calls("r-in-flight") == 1).await;
        send_signal(&fleet.nodes[0].process, "TERM").await;
    }
    let answer = in_flight.await.expect("a caller").expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
    let mut fleet = fleet.write().await;
    assert_eq!(fleet.count_calls("r-in-flight"), 1);
    check_exit(&mut fleet).await;
}

/// Guards against refusals of requests that would have been served before the node ends.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_end_in_time_are_served_until_the_node_closes_its_port() {
    let mut fleet = start(SHORT_WORK_MS).await;
    tokio::join!(measure(&fleet, "/once/x"), measure(&fleet, "/any/x"));
    stop(&mut fleet).await;
    let mut served = 0;
    // A request on a connection that the node closes as idle gets no answer, and does not run.
    while let Ok(answer) = call(&LabClient::default(), &fleet, "/once/x", &format!("r-{served}")).await {
        check_answer(&fleet, &answer, &format!("r-{served}"));
        served += 1;
    }
    assert!(served > 0);
    assert_eq!(fleet.count_calls(&format!("r-{served}")), 0);
    check_exit(&mut fleet).await;
}

/// Guards against requests that are passed on and then end with their connection: callers use open connections until the
/// process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_use_their_connections_to_the_end_lose_no_request_that_ran() {
    let mut fleet = start(SHORT_WORK_MS).await;
    let is_gone = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (is_gone, client) = (is_gone.clone(), LabClient::default());
        let address = fleet.nodes[0].addresses.callers;
        callers.spawn(async move {
            let mut unanswered = Vec::new();
            let mut number = 0;
            while !is_gone.load(Ordering::Relaxed) {
                let id = format!("r-{caller}-{number}");
                number += 1;
                let headers = [("host", HOST), (names::REQUEST_ID, id.as_str())];
                let answer = client.call(Method::POST, address, "/once/x", &headers, Bytes::new(), MAX_WAIT).await;
                match answer {
                    Ok(answer) => assert!(answer.status.is_success(), "{id}: {answer:?}"),
                    Err(_) => unanswered.push(id),
                }
            }
            unanswered
        });
    }
    wait_for("requests of all callers", async || fleet.count_domain_calls(0) > CALLERS * 2).await;
    stop(&mut fleet).await;
    check_exit(&mut fleet).await;
    is_gone.store(true, Ordering::Relaxed);
    for id in callers.join_all().await.concat() {
        assert_eq!(fleet.count_calls(&id), 0, "{id} was passed on and not answered");
    }
}

/// Guards against a request that is told as possibly run at the end of its node though nothing was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_does_not_come_before_its_node_ends_is_told_that_it_has_not_run() {
    let mut fleet = start(SHORT_WORK_MS).await;
    let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-body\r\nX-Deadline-Ms: 20000\r\nContent-Length: 9\r\n\r\nbody"
    );
    caller.write_all(head.as_bytes()).await.expect("a sent head");
    stop(&mut fleet).await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, caller.read_to_end(&mut answer)).await.expect("an end of the connection");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{read:?}: {answer}");
    assert!(answer.ends_with("{\"error\":\"not_run\"}"), "{read:?}: {answer}");
    check_exit(&mut fleet).await;
}

/// The same, for a request that no server has accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_server_accepts_before_its_node_ends_is_told_that_it_has_not_run() {
    let target =
        json!({ "service": "cart", "routeType": "non_idempotent", "timeoutMs": 60_000, "targetLatencyMs": 60_000 });
    let routes = vec![write_route("once", "/once/", &target)];
    let servers = vec![local_server("i-0", "cart")];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    // The entry of the server stays, and its port is closed.
    let address = fleet.servers[0].address;
    fleet.servers.clear();
    wait_for("a closed port", async || TcpStream::connect(address).await.is_err()).await;
    let (client, callers) = (fleet.client.clone(), fleet.nodes[0].addresses.callers);
    let waiting = tokio::spawn(async move {
        let headers = [("host", HOST), (names::REQUEST_ID, "r-waiting"), (names::DEADLINE_MS, "20000")];
        client.call(Method::POST, callers, "/once/x", &headers, Bytes::new(), MAX_WAIT).await
    });
    wait_for("a failed call", async || !fleet.nodes[0].logged(&["event=call_failed", "r-waiting"]).is_empty()).await;
    stop(&mut fleet).await;
    assert!(!waiting.is_finished(), "the request has ended before its node");
    let answer = waiting.await.expect("a caller").expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    check_exit(&mut fleet).await;
}

/// Guards against connections that the system has accepted and the node has not, or whose first bytes it has not seen,
/// when it closes its port: they were reset. The node has no processor for a while, as on a busy machine.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_while_the_node_closes_its_port_are_served() {
    let mut fleet = start(SHORT_WORK_MS).await;
    stop(&mut fleet).await;
    pause_process(&fleet.nodes[0].process).await;
    let mut waiting = Vec::new();
    for caller in 0..CALLERS {
        let mut connection = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
        let request = format!(
            "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-waiting-{caller}\r\nContent-Length: 0\r\n\r\n"
        );
        connection.write_all(request.as_bytes()).await.expect("a sent request");
        waiting.push(connection);
    }
    // Longer than the node accepts connections after the signal, and shorter than its grace period.
    tokio::time::sleep(PAUSE).await;
    send_signal(&fleet.nodes[0].process, "CONT").await;
    let mut unanswered = 0;
    for mut connection in waiting {
        let mut answer = Vec::new();
        let read = tokio::time::timeout(MAX_WAIT, connection.read_to_end(&mut answer)).await.expect("an end");
        unanswered += usize::from(read.is_err() || !answer.starts_with(b"HTTP/1.1 200 "));
    }
    assert_eq!(unanswered, 0, "of {CALLERS} requests");
    check_exit(&mut fleet).await;
}

/// Guards against the loss of the shards that are in when a node ends while others are still waited for.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_shards_is_answered_with_those_that_are_in_when_its_node_ends() {
    let target = json!({
        "gather": ["s-0", "s-1"], "topK": 4, "minCoverage": 0.5, "timeoutMs": 20_000, "targetLatencyMs": 20_000
    });
    let routes = vec![write_route("all", "/all/", &target)];
    let servers = vec![local_server("i-0", "s-0"), local_server("i-1", "s-1")];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.servers[1].state.switches.work_ms.store(LONG_WORK_MS * 2, Ordering::Relaxed);
    let (client, callers) = (fleet.client.clone(), fleet.nodes[0].addresses.callers);
    let in_flight = tokio::spawn(async move {
        let headers = [("host", HOST), (names::REQUEST_ID, "r-shards"), (names::DEADLINE_MS, "20000")];
        client.call(Method::POST, callers, "/all/x", &headers, Bytes::new(), MAX_WAIT).await
    });
    wait_for("a call to each shard", async || fleet.count_calls("r-shards") >= 2).await;
    stop(&mut fleet).await;
    let answer = in_flight.await.expect("a caller").expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(header(&answer, names::MISSING_SHARDS), Some("1"), "{answer:?}");
    check_exit(&mut fleet).await;
}
