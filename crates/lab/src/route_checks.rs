//! Test helpers: small fleets of routers, requests to them and checks of their answers.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_standin::names;
use streamfold_standin::server::RouteServerPlan;

use crate::client::CallAnswer;
use crate::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use crate::wait::wait_for;

/// Timeout for reading a node's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);

/// Plans a server of a service in the first failure domain.
pub fn local_server(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[0])
}

/// Plans a server of a service in the second failure domain.
pub fn remote_server(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[1])
}

/// Target of a route to one service.
pub fn service_target(service: &str) -> Value {
    json!({ "service": service })
}

/// Target of a route to one service whose requests must not run twice.
pub fn non_idempotent_target(service: &str) -> Value {
    json!({ "service": service, "routeType": "non_idempotent" })
}

/// Starts one node and two servers of one service behind the routes `/any/` (repeatable) and
/// `/once/`. Server `i-0` is in the node's failure domain and is tried first; `i-1` is in the other.
pub async fn start_pair() -> RouteFleet {
    let servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
    ];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("fleet must start")
}

/// Starts one node and one server behind the routes `/any/` and `/once/`.
pub async fn start_single() -> RouteFleet {
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
    ];
    RouteFleet::start(RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![local_server("i-0", "cart")],
        routes,
        ..RouteFleetPlan::default()
    })
    .await
    .expect("fleet must start")
}

/// Sends a GET request to the first node.
pub async fn get(fleet: &RouteFleet, path: &str, id: &str) -> CallAnswer {
    fleet.call(0, Method::GET, path, id, Bytes::new()).await.expect("node must answer")
}

/// Requests `/all/` from the first node until it has delegated `shards` shards to another node. Every
/// answer must be complete.
pub async fn wait_delegated(fleet: &RouteFleet, shards: usize) {
    let mut number = 0;
    wait_for("a batch at the other node", async || {
        number += 1;
        let answer = get(fleet, "/all/x", &format!("r-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        !fleet.nodes[0].logged(&["event=request ", &format!("delegated={shards}")]).is_empty()
    })
    .await;
}

/// Sum of a node's metric over all labels; zero if the metric does not exist yet.
pub async fn read_metric(fleet: &RouteFleet, node: usize, name: &str) -> f64 {
    let address = fleet.nodes[node].addresses.metrics;
    let answer = fleet.client.call(Method::GET, address, "/metrics", &[], Bytes::new(), METRICS_TIMEOUT).await;
    let text = String::from_utf8_lossy(&answer.expect("counters").body).into_owned();
    let lines = text.lines().filter(|line| line.split(['{', ' ']).next() == Some(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Value of a header of an answer as text.
pub fn header<'a>(answer: &'a CallAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).map(|value| value.to_str().expect("header must be text"))
}

/// Checks that an answer is successful, complete and from a server that ran this request.
pub fn check_answer(fleet: &RouteFleet, answer: &CallAnswer, id: &str) {
    assert!(answer.status.is_success(), "{id}: {answer:?}");
    assert_eq!(header(answer, names::REQUEST_ID), Some(id));
    let proof = header(answer, names::PROOF).expect("answer must carry a proof");
    let service = fleet.find_service_by_proof(id, proof).expect("proof must belong to a server that ran the request");
    let server =
        fleet.servers.iter().find(|server| server.state.plan.service == service).expect("service must have a server");
    assert_eq!(answer.body, server.state.body(), "{id}");
}

/// Formats a refusal for snapshots.
pub fn format_refusal(answer: &CallAnswer) -> String {
    let has_retry_after = header(answer, "retry-after").map(|wait| wait.parse::<f64>().expect("seconds") > 0.0);
    format!("{} {} retry-after: {has_retry_after:?}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body))
}
