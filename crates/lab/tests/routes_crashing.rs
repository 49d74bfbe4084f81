//! Quarantine with real processes: a request that crashes every server that runs it may be sent again to any node. If
//! nodes keep no record of its content, each repetition goes to a server of every shard and its retries to the others.
//! Such a request crashed 168 processes in 13 waves, each of some 40 within half a second, a few seconds after the
//! servers had restarted. In the log this is `event=call_failed ... failure=connection_lost` of one lookup at twelve
//! servers in 150 ms, and of a lookup with the same content at six more four seconds later.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{
    check_answer, header, local_server, non_idempotent_target, remote_server, service_target,
};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::CRASH_MARK;

/// Shards with a server in each failure domain.
const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// Nodes of each failure domain.
const NODES: [usize; 2] = [2, 1];
/// How long after its third crash a request may still reach servers: the time that the platform allows nodes in
/// contact with it for an update.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The number of times that it may reach servers after that.
const MAX_ARRIVALS: usize = 3;
/// The number of times that it is sent to each node after that.
const ROUNDS: usize = 4;

/// Starts a fleet whose servers crash a few milliseconds after they began to run a request with the crash mark, and
/// restart shortly after.
async fn start() -> RouteFleet {
    let mut servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    for shard in SHARDS {
        servers.extend([local_server(&format!("{shard}-n"), shard), remote_server(&format!("{shard}-f"), shard)]);
    }
    let all = json!({ "gather": SHARDS, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2, "timeoutMs": 2_500,
        "targetLatencyMs": 600 });
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
        write_route("all", "/all/", &all),
    ];
    let plan = RouteFleetPlan { nodes: NODES, servers, routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    for server in &fleet.servers {
        server.state.switches.crash_ms.store(10, Ordering::Relaxed);
        server.state.switches.down_ms.store(300, Ordering::Relaxed);
    }
    fleet
}

async fn call(fleet: &RouteFleet, node: usize, path: &str, id: &str) -> CallAnswer {
    fleet.call(node, Method::GET, path, id, Bytes::new()).await.expect("an answer")
}

fn count_crashes(fleet: &RouteFleet) -> usize {
    // A server that is down has not counted its crash yet, so the runs of the request are counted.
    fleet
        .servers
        .iter()
        .flat_map(|server| server.state.runs())
        .filter(|run| run.request.path.contains(CRASH_MARK))
        .count()
}

fn count_arrivals(fleet: &RouteFleet) -> usize {
    let calls = fleet.servers.iter().flat_map(|server| server.state.calls());
    calls.filter(|call| call.path.contains(CRASH_MARK)).count()
}

/// Waits until harmless requests through each node are answered completely.
async fn wait_healthy(fleet: &RouteFleet) {
    let mut number = 0;
    wait_for("the servers to be up", async || {
        number += 1;
        let mut is_healthy = true;
        for node in 0..NODES.iter().sum() {
            let answer = call(fleet, node, "/all/harmless", &format!("well-{node}-{number}")).await;
            is_healthy &= answer.status == 200 && header(&answer, "x-missing-parts").unwrap_or("0") == "0";
            is_healthy &= call(fleet, node, "/any/harmless", &format!("well-one-{node}-{number}")).await.status == 200;
        }
        is_healthy
    })
    .await;
}

/// Sends the same request to all nodes in rotation until it has crashed three servers, waits as long as it may still
/// reach servers, then sends it again and checks that it hardly reaches any.
async fn check_quarantine(path: &str) {
    check_quarantine_at(&start().await, path).await;
}

async fn check_quarantine_at(fleet: &RouteFleet, path: &str) {
    wait_healthy(fleet).await;
    let nodes = NODES.iter().sum::<usize>();
    let mut number = 0;
    wait_for("the third crash", async || {
        number += 1;
        let answer = call(fleet, number % nodes, path, &format!("first-{number}")).await;
        assert!(answer.status.is_server_error(), "{answer:?}");
        count_crashes(fleet) >= 3
    })
    .await;
    tokio::time::sleep(UPDATE_TIMEOUT).await;
    wait_healthy(fleet).await;
    let before = count_arrivals(fleet);
    for round in 0..ROUNDS {
        for node in 0..nodes {
            let answer = call(fleet, node, path, &format!("later-{round}-{node}")).await;
            assert!(answer.status.is_server_error(), "{answer:?}");
        }
    }
    let after = count_arrivals(fleet) - before;
    assert!(after <= MAX_ARRIVALS, "it reached servers {after} more times");
    for node in 0..nodes {
        let id = format!("other-{node}");
        check_answer(fleet, &call(fleet, node, "/any/harmless", &id).await, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_quarantined_on_a_route_over_all_shards() {
    check_quarantine(&format!("/all/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_quarantined_on_a_route_to_one_service() {
    check_quarantine(&format!("/any/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_quarantined_on_a_route_that_runs_it_once() {
    check_quarantine(&format!("/once/{CRASH_MARK}")).await;
}

/// Guards against counting crashes by server id: a server may restart under its old id, and each run counts.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_quarantined_where_they_restart_under_their_ids() {
    let fleet = start().await;
    for server in &fleet.servers {
        server.state.switches.keeps_id.store(true, Ordering::Relaxed);
    }
    check_quarantine_at(&fleet, &format!("/any/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_that_crashes_servers_does_not_crash_all_of_them() {
    let fleet = start().await;
    wait_healthy(&fleet).await;
    let answer = call(&fleet, 0, &format!("/all/{CRASH_MARK}"), "first").await;
    assert!(answer.status.is_server_error(), "{answer:?}");
    let crashes = count_crashes(&fleet);
    // One server of each shard at once, two retries before the outcome of these calls is known, and the canary.
    assert!(crashes <= SHARDS.len() + 3, "it crashed {crashes} servers");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_quarantines_the_request_too() {
    let mut fleet = start().await;
    wait_healthy(&fleet).await;
    let path = format!("/all/{CRASH_MARK}");
    call(&fleet, 0, &path, "first").await;
    wait_for("the content to be quarantined", async || {
        (0..NODES.iter().sum()).all(|node| !fleet.nodes[node].logged(&["event=content_held"]).is_empty())
    })
    .await;
    fleet.add_node(1, "zone-b-late").await.expect("a node");
    fleet.wait_ready(http::StatusCode::OK).await.expect("ready");
    let late = NODES.iter().sum::<usize>();
    wait_for("the quarantine at the late node", async || !fleet.nodes[late].logged(&["event=content_held"]).is_empty())
        .await;
    let before = count_arrivals(&fleet);
    let answer = call(&fleet, late, &path, "late").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(header(&answer, "retry-after").is_some(), "{answer:?}");
    assert_eq!(count_arrivals(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_only_ran_during_crashes_is_released() {
    let fleet = start().await;
    wait_healthy(&fleet).await;
    for server in &fleet.servers {
        server.state.switches.work_ms.store(400, Ordering::Relaxed);
    }
    let calling = call(&fleet, 0, "/all/innocent", "first");
    let crashing = async {
        wait_for("the calls", async || fleet.count_runs("first") >= SHARDS.len()).await;
        fleet.servers.iter().for_each(|server| server.state.crash());
    };
    let (answer, ()) = tokio::join!(calling, crashing);
    assert!(answer.status.is_server_error(), "{answer:?}");
    for server in &fleet.servers {
        server.state.switches.work_ms.store(0, Ordering::Relaxed);
    }
    let is_quarantined = async || !fleet.nodes[0].logged(&["event=content_held"]).is_empty();
    wait_for("the content to be quarantined", is_quarantined).await;
    let mut number = 0;
    wait_for("the request to be served again by every node", async || {
        number += 1;
        let mut is_served = true;
        for node in 0..NODES.iter().sum() {
            is_served &= call(&fleet, node, "/all/innocent", &format!("again-{node}-{number}")).await.status == 200;
        }
        is_served
    })
    .await;
    let is_released = async || !fleet.nodes[0].logged(&["event=content_released"]).is_empty();
    wait_for("the content to be released", is_released).await;
}
