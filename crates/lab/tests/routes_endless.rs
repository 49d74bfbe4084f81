//! A faulty server answers with bytes without end, in a head or in a body, until its connection is closed, with real
//! processes: how long callers wait and what they get, when the connection closes, what it takes of the node's memory, and
//! whether other requests at that node are served meanwhile.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{
    check_answer, get, local_server, non_idempotent_target, remote_server, service_target,
};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::usage::peak_memory;
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::RouteSwitches;

/// Requests to the faulty server at the same time.
const REQUESTS: usize = 24;
/// The pause between two pieces of a slow answer, in milliseconds.
const DRIP_MS: u64 = 5;
/// The timeout of a request that ends during a test, and of one that outlasts it, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 400;
const LONG_TIMEOUT_MS: u64 = 60_000;
/// The memory that the users' machines give a node, in bytes.
const MAX_MEMORY: u64 = 260 << 20;

/// Returns the switch of one kind of answer without end.
type Endless = fn(&RouteSwitches) -> &AtomicBool;

const ENDLESS: [(&str, Endless); 2] =
    [("head", |switches| &switches.endless_head), ("body", |switches| &switches.endless_body)];

/// One node; a service with a faulty server near it and a sound one far away, whose calls may or may not run twice; and a
/// service of a sound server.
async fn start() -> RouteFleet {
    let servers = vec![local_server("i-bad", "cart"), remote_server("i-far", "cart"), local_server("i-ok", "list")];
    let mut short = non_idempotent_target("cart");
    short["timeoutMs"] = json!(SHORT_TIMEOUT_MS);
    let mut long = non_idempotent_target("cart");
    long["timeoutMs"] = json!(LONG_TIMEOUT_MS);
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
        write_route("short", "/short/", &short),
        write_route("long", "/long/", &long),
        write_route("list", "/list/", &service_target("list")),
    ];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

/// Sends requests at the same time, each with an id of its own.
async fn post_all(fleet: &RouteFleet, path: &str, name: &str) -> Vec<CallAnswer> {
    let post = |number: usize| async move {
        let id = format!("{name}-{number}");
        let answer = fleet.call(0, Method::POST, path, &id, Bytes::new()).await.expect("an answer");
        assert!(fleet.count_runs(&id) <= 1, "{id} ran more than once");
        answer
    };
    join_all((0..REQUESTS).map(post)).await
}

/// Makes the faulty server send slow answers without end.
fn drip(fleet: &RouteFleet, endless: Endless) {
    let switches = &fleet.servers[0].state.switches;
    switches.drip_ms.store(DRIP_MS, Ordering::Relaxed);
    endless(switches).store(true, Ordering::Relaxed);
}

/// Waits until every connection with an answer without end is closed.
async fn wait_closed(fleet: &RouteFleet) {
    let state = &fleet.servers[0].state;
    wait_for("closed connections", async || state.endless_closed.load(Ordering::Relaxed) >= state.runs().len() as u64)
        .await;
}

/// Guards against an answer without end that is read up to the deadline, or into all memory of the node.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_costs_its_call_only() {
    for (name, endless) in ENDLESS {
        let fleet = start().await;
        endless(&fleet.servers[0].state.switches).store(true, Ordering::Relaxed);
        let answers = post_all(&fleet, "/once/x", name).await;
        let ran_there = fleet.servers[0].state.runs().len();
        assert!(ran_there > 0, "the near server is called first");
        // Those that ran at the faulty server are lost at once, and not late.
        let lost = answers.iter().filter(|answer| answer.status == StatusCode::BAD_GATEWAY).count();
        assert_eq!(lost, ran_there, "{name}: {answers:?}");
        assert!(answers.iter().all(|answer| answer.status.is_success() || answer.status == StatusCode::BAD_GATEWAY));
        let id = format!("{name}-any");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        wait_closed(&fleet).await;
        let pid = fleet.nodes[0].process.id().expect("a running node");
        let memory = peak_memory(pid).expect("the node's memory");
        assert!(memory < MAX_MEMORY, "{name}: {memory} bytes");
    }
}

/// Guards against a slow answer without end that is read on after its request.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_answer_without_end_ends_with_its_request() {
    for (name, endless) in ENDLESS {
        let fleet = start().await;
        drip(&fleet, endless);
        let answers = post_all(&fleet, "/short/x", name).await;
        let ran_there = fleet.servers[0].state.runs().len();
        let late = answers.iter().filter(|answer| answer.status == StatusCode::GATEWAY_TIMEOUT).count();
        assert_eq!(late, ran_there, "{name}: {answers:?}");
        wait_closed(&fleet).await;
    }
}

/// Guards against slow answers without end that hold up other requests, or that are read on after their callers left.
#[tokio::test(flavor = "multi_thread")]
async fn slow_answers_without_end_hold_up_no_other_request() {
    for (name, endless) in ENDLESS {
        let fleet = start().await;
        drip(&fleet, endless);
        let others = async {
            wait_for("a request at the faulty server", async || !fleet.servers[0].state.runs().is_empty()).await;
            for number in 0..REQUESTS {
                let id = format!("{name}-other-{number}");
                check_answer(&fleet, &get(&fleet, "/list/x", &id).await, &id);
            }
        };
        tokio::select! {
            answers = post_all(&fleet, "/long/x", name) => panic!("an answer without end has ended: {answers:?}"),
            () = others => {}
        }
        wait_closed(&fleet).await;
    }
}

/// Guards against a request that may be repeated and that waits for the end of an answer without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_is_answered_by_another_server_than_the_endless_one() {
    for (name, endless) in ENDLESS {
        let fleet = start().await;
        drip(&fleet, endless);
        for number in 0..REQUESTS {
            let id = format!("{name}-{number}");
            check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        }
        assert!(!fleet.servers[0].state.runs().is_empty(), "the near server is called first");
        wait_closed(&fleet).await;
    }
}
