//! Small fleets of routers, calls to them and checks of their answers, as tests use them.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_standin::names;
use streamfold_standin::server::RouteServerPlan;

use crate::client::CallAnswer;
use crate::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use crate::wait::wait_for;

/// How long a node may take to tell its counters.
const METRICS_WITHIN: Duration = Duration::from_secs(10);

/// A server of a service in the first failure domain.
pub fn local_server(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[0])
}

/// A server of a service in the other failure domain.
pub fn remote_server(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[1])
}

/// The target of a route to one service.
pub fn service_target(service: &str) -> Value {
    json!({ "service": service })
}

/// A service whose requests must not run twice.
pub fn non_idempotent_target(service: &str) -> Value {
    json!({ "service": service, "routeType": "non_idempotent" })
}

/// Two servers of one service behind `/any/` (repeatable) and `/once/`, and one node: `i-0` in
/// its failure domain, which is asked first, and `i-1` in the other one.
pub async fn start_pair() -> RouteFleet {
    let servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
    ];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// One server behind `/any/` and `/once/`, and one node.
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
    .expect("a fleet")
}

/// Calls the first node.
pub async fn get(fleet: &RouteFleet, path: &str, id: &str) -> CallAnswer {
    fleet.call(0, Method::GET, path, id, Bytes::new()).await.expect("an answer")
}

/// Calls `/all/` of the first node, always whole, until it has handed so many shards to another one.
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

/// What a node counts under a name, over all labels; nothing if it counts nothing of it yet.
pub async fn read_metric(fleet: &RouteFleet, node: usize, name: &str) -> f64 {
    let address = fleet.nodes[node].addresses.metrics;
    let answer = fleet.client.call(Method::GET, address, "/metrics", &[], Bytes::new(), METRICS_WITHIN).await;
    let text = String::from_utf8_lossy(&answer.expect("counters").body).into_owned();
    let lines = text.lines().filter(|line| line.split(['{', ' ']).next() == Some(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// A header of an answer as text.
pub fn header<'a>(answer: &'a CallAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).map(|value| value.to_str().expect("a text"))
}

/// Checks that a success is whole and the own answer of a server that ran this request.
pub fn check_answer(fleet: &RouteFleet, answer: &CallAnswer, id: &str) {
    assert!(answer.status.is_success(), "{id}: {answer:?}");
    assert_eq!(header(answer, names::REQUEST_ID), Some(id));
    let proof = header(answer, names::PROOF).expect("a proof");
    let service = fleet.find_service_by_proof(id, proof).expect("the proof of a server that ran it");
    let server = fleet.servers.iter().find(|server| server.state.plan.service == service).expect("a server");
    assert_eq!(answer.body, server.state.body(), "{id}");
}

/// A refusal as snapshots show it.
pub fn format_refusal(answer: &CallAnswer) -> String {
    let retry = header(answer, "retry-after").map(|wait| wait.parse::<f64>().expect("seconds") > 0.0);
    format!("{} {} retry-after: {retry:?}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body))
}
