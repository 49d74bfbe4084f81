//! The first time that a request comes which ends every server that begins to run it. What happens: one call goes to a
//! server of each shard at once, all of them end within some milliseconds, and before anybody can know why, the lost calls are
//! tried again at the other server of each shard, which ends, too. On a played day (a share of 0.03 of one kind of request,
//! 14 servers, seven nodes) the first coming took nearly the whole service within half a second, and of what callers asked
//! for in the next two seconds 39 of 227 were in time.
//!
//! Nobody can know the first time before servers have ended. But the second copy of each shard can live on: at most half of the
//! service may end, and no shard may lose both of its servers to one request. With real processes.

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
/// How long a server runs the request before it ends, and how long it is gone then.
const ENDS_AFTER_MS: u64 = 10;
const GONE_FOR_MS: u64 = 60_000;
/// How long a server works on a harmless request that runs beside it.
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
        server.state.switches.crash_ms.store(ENDS_AFTER_MS, Ordering::Relaxed);
        server.state.switches.down_ms.store(GONE_FOR_MS, Ordering::Relaxed);
    }
    fleet
}

/// Servers that ended under the request, by shard.
fn count_ended(fleet: &RouteFleet) -> BTreeMap<String, usize> {
    let mut ended = BTreeMap::new();
    for server in &fleet.servers {
        let has_run = server.state.runs().iter().any(|run| run.request.path.contains(CRASH_MARK));
        *ended.entry(server.state.plan.service.to_string()).or_default() += usize::from(has_run);
    }
    ended
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_request_that_ends_its_servers_leaves_every_shard_a_server() {
    let fleet = start().await;
    let mut number = 0;
    wait_for("whole answers", async || {
        number += 1;
        let answer = fleet.call(0, Method::GET, "/all/harmless", &format!("well-{number}"), Bytes::new()).await;
        answer
            .is_ok_and(|answer| answer.status == 200 && answer.headers.get("x-missing-parts").is_none_or(|n| n == "0"))
    })
    .await;
    let path = format!("/all/{CRASH_MARK}");
    let answer = fleet.call(0, Method::GET, &path, "first", Bytes::new()).await.expect("an answer");
    assert!(answer.status.is_server_error(), "{answer:?}");
    let ended = count_ended(&fleet);
    let (all, both) = (ended.values().sum::<usize>(), ended.values().filter(|ended| **ended > 1).count());
    assert!(all <= SHARDS && both == 0, "{all} of {} servers ended, {both} shards lost both", 2 * SHARDS);
}

/// The harmless request that shows how fast servers answer, until every shard is in its answer.
async fn wait_well(fleet: &RouteFleet) {
    let mut number = 0;
    wait_for("whole answers", async || {
        number += 1;
        let answer = fleet.call(0, Method::GET, "/all/harmless", &format!("well-{number}"), Bytes::new()).await;
        answer.is_ok_and(|answer| is_whole(&answer))
    })
    .await;
}

fn is_whole(answer: &CallAnswer) -> bool {
    answer.status == 200 && answer.headers.get("x-missing-parts").is_none_or(|count| count == "0")
}

/// Guards against callers that ask again elsewhere at once: until all nodes know of the content, each of their retries ends
/// the second servers.
#[tokio::test(flavor = "multi_thread")]
async fn retries_at_other_nodes_end_no_further_server() {
    let fleet = start().await;
    wait_well(&fleet).await;
    let path = format!("/all/{CRASH_MARK}");
    for node in 0..NODES.iter().sum() {
        let answer = fleet.call(node, Method::GET, &path, &format!("try-{node}"), Bytes::new()).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_server_error(), "{answer:?}");
    }
    let ended = count_ended(&fleet);
    let (all, both) = (ended.values().sum::<usize>(), ended.values().filter(|ended| **ended > 1).count());
    let lines = fleet.nodes.iter().flat_map(|node| node.logged(&["event=content_"]));
    let lines: String = lines.map(|line| format!("{line}\n")).collect();
    assert!(all <= SHARDS && both == 0, "{all} of {} servers ended, {both} shards lost both\n{lines}", 2 * SHARDS);
}

/// Guards against blame for what another request did: one that ran beside it is answered, and may be asked again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_beside_one_that_ends_servers_is_answered_and_not_held_off() {
    let fleet = start().await;
    wait_well(&fleet).await;
    fleet.servers.iter().for_each(|server| server.state.switches.work_ms.store(WORK_MS, Ordering::Relaxed));
    let path = format!("/all/{CRASH_MARK}");
    let deadly = fleet.call(0, Method::GET, &path, "deadly", Bytes::new());
    let beside = async {
        wait_for("the first server that runs it", async || count_ended(&fleet).values().any(|ended| *ended > 0)).await;
        fleet.call(0, Method::GET, "/all/beside", "beside", Bytes::new()).await
    };
    let (deadly, beside) = tokio::join!(deadly, beside);
    assert!(deadly.expect("an answer").status.is_server_error());
    let beside = beside.expect("an answer");
    assert!(is_whole(&beside), "{beside:?}");
    for node in 0..NODES.iter().sum() {
        let again = fleet.call(node, Method::GET, "/all/beside", &format!("again-{node}"), Bytes::new()).await;
        assert_eq!(again.expect("an answer").status, 200);
    }
}
