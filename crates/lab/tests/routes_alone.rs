//! Nodes in routing mode, with real processes: without the platform's store, while they stop,
//! when settings are read again, and what their logs tell of a failed request.

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

async fn answers(fleet: &RouteFleet, node: usize, path: &str) -> bool {
    let id = format!("r-{:08x}", rand::random::<u32>());
    let answer = fleet.call(node, Method::GET, path, &id, Bytes::new()).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// An address at which nothing listens.
fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_the_store_learns_newer_routes_and_their_servers_from_another() {
    let servers = vec![server("i-0", "cart"), server("i-1", "late")];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes: vec![route("cart")], ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.unregister(1);
    wait_for("the second server's end", async || {
        !fleet.nodes[0].logged(&["event=server_gone", "server=i-1"]).is_empty()
    })
    .await;
    let store = std::mem::replace(&mut fleet.platform.address, dead_address());
    fleet.add_node(1, "alone").await.expect("a node");
    fleet.platform.address = store;
    wait_for("an answer of the node without the store", async || answers(&fleet, 1, "/cart/x").await).await;
    // A service whose only server is new, and routes to it: both must come from the other node.
    fleet.register(1, "ready");
    fleet.put_document(2, &[route("cart"), route("late")]);
    wait_for("an answer on the new route", async || answers(&fleet, 1, "/late/x").await).await;
    assert!(answers(&fleet, 1, "/cart/x").await, "the old route is served on");
    wait_for("the line that tells where the routes are from", async || {
        fleet.nodes[1].logged(&["event=routes_in_force", "version=2", "source=peer"]).len() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_closes_takes_no_new_connection_and_finishes_what_it_has() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![server("i-0", "cart")],
        routes: vec![route("cart")],
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    // Longer than the node serves on after the signal, shorter than its time to stop.
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
async fn a_hangup_with_settings_that_cannot_be_read_changes_and_ends_nothing() {
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
        let told = async || fleet.nodes[0].logged(&["event=settings_not_reloaded"]).len() >= round;
        wait_for("the line about the reload", told).await;
        assert!(answers(&fleet, 0, "/cart/x").await, "after hangup {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_explained_from_its_id_alone() {
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
    // The first field is the time; ids of servers come in the order in which they were asked.
    let told = lines().await.iter().map(|line| tell(line)).collect::<Vec<_>>().join("\n");
    insta::assert_snapshot!(told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_log_nobody_reads_answers_and_stops_as_planned() {
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
        counters.is_ok_and(|told| String::from_utf8_lossy(&told.body).contains("streamfold_log_lines_dropped_total"))
    })
    .await;
    assert!(answers(&fleet, 0, "/cart/x").await, "the log holds up requests");
    send_signal(&fleet.nodes[0].process, "TERM").await;
    let ended = tokio::time::timeout(MAX_WAIT, fleet.nodes[0].process.wait()).await;
    let status = ended.expect("the process ends though nobody reads its log").expect("an exit");
    assert!(status.success(), "{status}");
}

/// The fields of a line that say what happened and why, without times and server ids.
fn tell(line: &str) -> String {
    let kept = ["event", "request", "service", "failure", "sent", "stop", "route", "version", "outcome", "status"];
    let is_kept = |field: &&str| field.split_once('=').is_some_and(|(name, _)| kept.contains(&name));
    line.split(' ').filter(is_kept).collect::<Vec<_>>().join(" ")
}
