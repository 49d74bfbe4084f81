//! Routing nodes with real processes: operation without the platform's store, shutdown, failed reloads of the
//! settings, and logging of failed requests and to an output that is not read.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_lab::fleet::send_signal;
use streamfold_lab::route_fleet::{DOMAINS, HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_standin::server::RouteServerPlan;
use tokio::net::TcpStream;

fn server(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[0])
}

fn route(service: &str) -> Value {
    write_route(service, &format!("/{service}/"), &json!({ "service": service }))
}

async fn is_answered(fleet: &RouteFleet, node: usize, path: &str) -> bool {
    let id = format!("r-{:08x}", rand::random::<u32>());
    let answer = fleet.call(node, Method::GET, path, &id, Bytes::new()).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// An address on which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_gets_newer_routes_and_their_servers_from_a_peer() {
    let servers = vec![server("i-0", "cart"), server("i-1", "late")];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes: vec![route("cart")], ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.unregister(1);
    wait_for("the removal of the second server", async || {
        !fleet.nodes[0].logged(&["event=server_gone", "server=i-1"]).is_empty()
    })
    .await;
    let store = std::mem::replace(&mut fleet.platform.address, unused_address());
    fleet.add_node(1, "alone").await.expect("a node");
    fleet.platform.address = store;
    wait_for("an answer of the node without the store", async || is_answered(&fleet, 1, "/cart/x").await).await;
    // The new route leads to a service whose only server is new: both must come from the other node.
    fleet.register(1, "ready");
    fleet.put_document(2, &[route("cart"), route("late")]);
    wait_for("an answer on the new route", async || is_answered(&fleet, 1, "/late/x").await).await;
    assert!(is_answered(&fleet, 1, "/cart/x").await, "the old route is still served");
    wait_for("the log line with the source of the routes", async || {
        fleet.nodes[1].logged(&["event=routes_in_force", "version=2", "source=peer"]).len() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_accepts_no_connection_and_finishes_its_requests() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![server("i-0", "cart")],
        routes: vec![route("cart")],
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    // Longer than the node keeps its port open after the signal, shorter than its grace period.
    fleet.servers[0].state.switches.pause_ms.store(4_000, Ordering::Relaxed);
    let callers = fleet.nodes[0].addresses.callers;
    let headers = [("host", HOST), ("x-request-id", "r-last"), ("x-deadline-ms", "8000")];
    let client = fleet.client.clone();
    let last =
        tokio::spawn(
            async move { client.call(Method::GET, callers, "/cart/x", &headers, Bytes::new(), MAX_WAIT).await },
        );
    wait_for("the request at the server", async || fleet.count_calls("r-last") > 0).await;
    send_signal(&fleet.nodes[0].process, "TERM").await;
    wait_for("a closed port", async || TcpStream::connect(callers).await.is_err()).await;
    assert!(!last.is_finished(), "the port closes while a request is in flight");
    let answer = last.await.expect("a task").expect("an answer");
    assert!(answer.status.is_success(), "{answer:?}");
    let status = fleet.nodes[0].process.wait().await.expect("an exit");
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reload_of_unreadable_settings_changes_nothing_and_does_not_end_the_node() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![server("i-0", "cart")],
        routes: vec![route("cart")],
        ..RouteFleetPlan::default()
    };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    for round in 1..=3 {
        send_signal(&fleet.nodes[0].process, "HUP").await;
        // The fleet removes a settings file once its node has started.
        let has_failures = async || fleet.nodes[0].logged(&["event=settings_not_reloaded"]).len() >= round;
        wait_for("the line about the reload", has_failures).await;
        assert!(is_answered(&fleet, 0, "/cart/x").await, "after hangup {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_by_the_log_lines_of_its_id() {
    let servers = vec![server("i-0", "cart"), server("i-1", "cart")];
    let mut route = route("cart");
    route["maxAttempts"] = json!(2);
    let fleet =
        RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes: vec![route], ..RouteFleetPlan::default() })
            .await
            .expect("a fleet");
    for server in &fleet.servers {
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    let answer = fleet.call(0, Method::GET, "/cart/x", "r-lost", Bytes::new()).await.expect("an answer");
    assert_eq!(answer.status.as_u16(), 502);
    let lines = async || fleet.nodes[0].logged(&["request=r-lost"]);
    wait_for("the request's last line", async || lines().await.iter().any(|line| line.contains("event=request ")))
        .await;
    // Times and ids of servers are left out, since they differ from run to run.
    let fields = lines().await.iter().map(|line| format_fields(line)).collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(fields);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_log_is_not_read_answers_and_stops_as_planned() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![server("i-0", "cart")],
        routes: vec![route("cart")],
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.nodes[0].stop_reading_log();
    let long_path = format!("/none/{}", "x".repeat(4_000));
    let metrics = fleet.nodes[0].addresses.metrics;
    let client = fleet.client.clone();
    wait_for("dropped lines of the log", async || {
        fleet.call(0, Method::GET, &long_path, "r-long", Bytes::new()).await.expect("a refusal");
        let counters = client.call(Method::GET, metrics, "/metrics", &[], Bytes::new(), MAX_WAIT).await;
        counters
            .is_ok_and(|answer| String::from_utf8_lossy(&answer.body).contains("streamfold_log_lines_dropped_total"))
    })
    .await;
    assert!(is_answered(&fleet, 0, "/cart/x").await, "the log blocks requests");
    send_signal(&fleet.nodes[0].process, "TERM").await;
    let exited = tokio::time::timeout(MAX_WAIT, fleet.nodes[0].process.wait()).await;
    let status = exited.expect("the process ends though nobody reads its log").expect("an exit");
    assert!(status.success(), "{status}");
}

/// The fields of a log line that are the same in every run, without times and server ids.
fn format_fields(line: &str) -> String {
    let names = ["event", "request", "service", "failure", "sent", "stop", "route", "version", "outcome", "status"];
    let is_listed = |field: &&str| field.split_once('=').is_some_and(|(name, _)| names.contains(&name));
    line.split(' ').filter(is_listed).collect::<Vec<_>>().join(" ")
}
