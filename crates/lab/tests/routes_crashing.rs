//! A request may end the process of every server that begins to run it, and come again at any node. Nodes
//! kept nothing of one request for the next, so each time it was sent to a server of every shard, and its
//! retries to the others: in a recorded day 168 processes ended in 13 waves, each of some 40 within half a
//! second, a few seconds after the servers were back. The nodes' lines show it: `event=call_failed ...
//! failure=connection_lost` of one lookup at twelve servers in 150 ms, and a lookup with the same content four
//! seconds later at six more. With real processes.

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
/// How long after its third crash a request may still reach servers: what the platform gives nodes that
/// are in touch with it.
const CONTACT: Duration = Duration::from_millis(4_000);
/// How often it may reach servers after that.
const MOST_AFTER: usize = 3;
/// How often it is sent after that.
const ROUNDS: usize = 4;

/// A fleet whose servers end a few milliseconds after they began to run a request with the mark, and are
/// back shortly after.
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
    // A server that is down has not counted yet, so what its last run ran counts.
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

/// Waits until every server answers a request that does no harm, by each node.
async fn wait_well(fleet: &RouteFleet) {
    let mut number = 0;
    wait_for("the servers to be back", async || {
        number += 1;
        let mut is_well = true;
        for node in 0..NODES.iter().sum() {
            let answer = call(fleet, node, "/all/harmless", &format!("well-{node}-{number}")).await;
            is_well &= answer.status == 200 && header(&answer, "x-missing-parts").unwrap_or("0") == "0";
            is_well &= call(fleet, node, "/any/harmless", &format!("well-one-{node}-{number}")).await.status == 200;
        }
        is_well
    })
    .await;
}

/// Sends the same request to one node after the other until three servers have ended under it, then
/// waits as long as it may still reach servers, and sends it on.
async fn check_held_off(path: &str) {
    check_held_off_by(&start().await, path).await;
}

async fn check_held_off_by(fleet: &RouteFleet, path: &str) {
    wait_well(fleet).await;
    let nodes = NODES.iter().sum::<usize>();
    let mut number = 0;
    wait_for("the third crash", async || {
        number += 1;
        let answer = call(fleet, number % nodes, path, &format!("first-{number}")).await;
        assert!(answer.status.is_server_error(), "{answer:?}");
        count_crashes(fleet) >= 3
    })
    .await;
    tokio::time::sleep(CONTACT).await;
    wait_well(fleet).await;
    let before = count_arrivals(fleet);
    for round in 0..ROUNDS {
        for node in 0..nodes {
            let answer = call(fleet, node, path, &format!("later-{round}-{node}")).await;
            assert!(answer.status.is_server_error(), "{answer:?}");
        }
    }
    let after = count_arrivals(fleet) - before;
    assert!(after <= MOST_AFTER, "it reached servers {after} times more");
    for node in 0..nodes {
        let id = format!("other-{node}");
        check_answer(fleet, &call(fleet, node, "/any/harmless", &id).await, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_servers_is_held_off_where_it_goes_to_every_shard() {
    check_held_off(&format!("/all/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_servers_is_held_off_where_it_goes_to_one() {
    check_held_off(&format!("/any/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_servers_is_held_off_where_it_may_run_only_once() {
    check_held_off(&format!("/once/{CRASH_MARK}")).await;
}

/// Servers may be back under the ids that they had: each run counts, and not each id.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_servers_is_held_off_where_they_come_back_under_their_ids() {
    let fleet = start().await;
    for server in &fleet.servers {
        server.state.switches.keeps_id.store(true, Ordering::Relaxed);
    }
    check_held_off_by(&fleet, &format!("/any/{CRASH_MARK}")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_request_that_ends_its_servers_does_not_end_all_of_them() {
    let fleet = start().await;
    wait_well(&fleet).await;
    let answer = call(&fleet, 0, &format!("/all/{CRASH_MARK}"), "first").await;
    assert!(answer.status.is_server_error(), "{answer:?}");
    let crashes = count_crashes(&fleet);
    // One of each shard at once, two retries before it is known what became of those, and one that goes first.
    assert!(crashes <= SHARDS.len() + 3, "it ended {crashes} servers");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_holds_it_off_too() {
    let mut fleet = start().await;
    wait_well(&fleet).await;
    let path = format!("/all/{CRASH_MARK}");
    call(&fleet, 0, &path, "first").await;
    wait_for("the content to be held off", async || {
        (0..NODES.iter().sum()).all(|node| !fleet.nodes[node].logged(&["event=content_held"]).is_empty())
    })
    .await;
    fleet.add_node(1, "zone-b-late").await.expect("a node");
    fleet.wait_ready(http::StatusCode::OK).await.expect("ready");
    let late = NODES.iter().sum::<usize>();
    wait_for("the late node to know", async || !fleet.nodes[late].logged(&["event=content_held"]).is_empty()).await;
    let before = count_arrivals(&fleet);
    let answer = call(&fleet, late, &path, "late").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(header(&answer, "retry-after").is_some(), "{answer:?}");
    assert_eq!(count_arrivals(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_only_ran_beside_crashes_is_served_again() {
    let fleet = start().await;
    wait_well(&fleet).await;
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
    let held = async || !fleet.nodes[0].logged(&["event=content_held"]).is_empty();
    wait_for("the content to be held off", held).await;
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
    let released = async || !fleet.nodes[0].logged(&["event=content_released"]).is_empty();
    wait_for("the content to be released", released).await;
}
