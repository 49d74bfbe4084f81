//! The first arrival of a request that crashes every server that runs it, with real processes. One call goes to a
//! server of each shard at once, these crash within some milliseconds, and retries before the cause is known crash the
//! other server of each shard too. On 14 servers and seven nodes, where a share of 0.03 of one kind of request crashed
//! servers, the first one took down nearly the whole service within half a second, and only 39 of the 227 requests of
//! the next two seconds were answered in time.
//!
//! A first arrival cannot be recognised before servers have crashed, but the second replica of each shard can be
//! spared: at most half of the service may crash, and no shard may lose both servers to one request.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{local_server, remote_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::CRASH_MARK;

/// Nodes of each failure domain.
const NODES: [usize; 2] = [2, 1];
/// Shards, each with a server in each failure domain.
const SHARDS: usize = 20;
/// How long a server runs the request before it crashes, and how long it is down then.
const CRASH_DELAY_MS: u64 = 10;
const DOWN_MS: u64 = 60_000;
/// How long a server works on a harmless request that runs concurrently.
const WORK_MS: u64 = 30;

async fn start() -> RouteFleet {
    let shards: Vec<String> = (0..SHARDS).map(|number| format!("s-{number}")).collect();
    let servers = shards
        .iter()
        .flat_map(|shard| [local_server(&format!("{shard}-n"), shard), remote_server(&format!("{shard}-f"), shard)]);
    let all = json!({ "gather": shards, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2, "timeoutMs": 2_500,
        "targetLatencyMs": 600 });
    let plan = RouteFleetPlan {
        nodes: NODES,
        servers: servers.collect(),
        routes: vec![write_route("all", "/all/", &all)],
        ..RouteFleetPlan::default()
    };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    for server in &fleet.servers {
        server.state.switches.crash_ms.store(CRASH_DELAY_MS, Ordering::Relaxed);
        server.state.switches.down_ms.store(DOWN_MS, Ordering::Relaxed);
    }
    fleet
}

/// The number of servers of each shard that the request crashed.
fn count_crashed(fleet: &RouteFleet) -> BTreeMap<String, usize> {
    let mut crashed = BTreeMap::new();
    for server in &fleet.servers {
        let has_run = server.state.runs().iter().any(|run| run.request.path.contains(CRASH_MARK));
        *crashed.entry(server.state.plan.service.to_string()).or_default() += usize::from(has_run);
    }
    crashed
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_request_that_ends_its_servers_leaves_every_shard_a_server() {
    let fleet = start().await;
    let mut number = 0;
    wait_for("complete answers", async || {
        number += 1;
        let answer = fleet.call(0, Method::GET, "/all/harmless", &format!("well-{number}"), Bytes::new()).await;
        answer
            .is_ok_and(|answer| answer.status == 200 && answer.headers.get("x-missing-parts").is_none_or(|n| n == "0"))
    })
    .await;
    let path = format!("/all/{CRASH_MARK}");
    let answer = fleet.call(0, Method::GET, &path, "first", Bytes::new()).await.expect("an answer");
    assert!(answer.status.is_server_error(), "{answer:?}");
    let crashed = count_crashed(&fleet);
    let (all, both) = (crashed.values().sum::<usize>(), crashed.values().filter(|crashed| **crashed > 1).count());
    assert!(all <= SHARDS && both == 0, "{all} of {} servers crashed, {both} shards lost both", 2 * SHARDS);
}

/// Sends a harmless request until every shard is in its answer, so that the node also measures the servers' latency.
async fn wait_healthy(fleet: &RouteFleet) {
    let mut number = 0;
    wait_for("complete answers", async || {
        number += 1;
        let answer = fleet.call(0, Method::GET, "/all/harmless", &format!("well-{number}"), Bytes::new()).await;
        answer.is_ok_and(|answer| is_complete(&answer))
    })
    .await;
}

fn is_complete(answer: &CallAnswer) -> bool {
    answer.status == 200 && answer.headers.get("x-missing-parts").is_none_or(|count| count == "0")
}

/// Guards against callers that retry at other nodes at once: until all nodes know of the content, each retry would
/// crash the second server of the shards.
#[tokio::test(flavor = "multi_thread")]
async fn retries_at_other_nodes_crash_no_further_server() {
    let fleet = start().await;
    wait_healthy(&fleet).await;
    let path = format!("/all/{CRASH_MARK}");
    for node in 0..NODES.iter().sum() {
        let answer = fleet.call(node, Method::GET, &path, &format!("try-{node}"), Bytes::new()).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_server_error(), "{answer:?}");
    }
    let crashed = count_crashed(&fleet);
    let (all, both) = (crashed.values().sum::<usize>(), crashed.values().filter(|crashed| **crashed > 1).count());
    let lines = fleet.nodes.iter().flat_map(|node| node.logged(&["event=content_"]));
    let lines: String = lines.map(|line| format!("{line}\n")).collect();
    assert!(all <= SHARDS && both == 0, "{all} of {} servers crashed, {both} shards lost both\n{lines}", 2 * SHARDS);
}

/// Guards against quarantine of a concurrent request: one that runs beside a request that crashes servers is answered
/// and may be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_beside_one_that_ends_servers_is_answered_and_not_held_off() {
    let fleet = start().await;
    wait_healthy(&fleet).await;
    fleet.servers.iter().for_each(|server| server.state.switches.work_ms.store(WORK_MS, Ordering::Relaxed));
    let path = format!("/all/{CRASH_MARK}");
    let crashing = fleet.call(0, Method::GET, &path, "deadly", Bytes::new());
    let beside = async {
        wait_for("the first server that runs the crashing request", async || {
            count_crashed(&fleet).values().any(|crashed| *crashed > 0)
        })
        .await;
        fleet.call(0, Method::GET, "/all/beside", "beside", Bytes::new()).await
    };
    let (crashing, beside) = tokio::join!(crashing, beside);
    assert!(crashing.expect("an answer").status.is_server_error());
    let beside = beside.expect("an answer");
    assert!(is_complete(&beside), "{beside:?}");
    for node in 0..NODES.iter().sum() {
        let again = fleet.call(node, Method::GET, "/all/beside", &format!("again-{node}"), Bytes::new()).await;
        assert_eq!(again.expect("an answer").status, 200);
    }
}
