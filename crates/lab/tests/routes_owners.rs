//! Delegation between nodes of very different CPU shares, with real processes: strong nodes query shards for weak ones
//! as long as they can be reached.

use std::collections::HashMap;

use serde_json::json;
use streamfold_lab::fleet::send_signal;
use streamfold_lab::route_checks::{get, header, local_server};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;

/// Shards, all with a server in the failure domain of the nodes.
const SHARDS: usize = 24;
/// The node that callers use, and one with ten times its CPU share.
const WEAK: &str = "zone-a-0";
const STRONG: &str = "zone-a-1";

async fn start_unequal<const N: usize>(cpu_shares: [(&'static str, f64); N], target_ms: u32) -> RouteFleet {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s-{shard}")).collect();
    let servers = shards.iter().map(|shard| local_server(&format!("i-{shard}"), shard)).collect();
    let gather = json!({ "gather": shards, "topK": 7, "minCoverage": 0.5, "timeoutMs": 8_000,
        "targetLatencyMs": target_ms });
    let routes = vec![write_route("all", "/all/", &gather)];
    let cpu_shares = HashMap::from(cpu_shares);
    RouteFleet::start(RouteFleetPlan { nodes: [2, 0], servers, routes, cpu_shares, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// Sends queries to the first node until its log has a line with all the texts.
async fn query_until(fleet: &RouteFleet, what: &str, texts: &[&str]) {
    let mut number = 0;
    wait_for(what, async || {
        number += 1;
        let answer = get(fleet, "/all/x", &format!("r-{what}-{number}").replace(' ', "-")).await;
        assert_eq!((answer.status.as_u16(), header(&answer, "x-missing-parts").unwrap_or("0")), (200, "0"));
        !fleet.nodes[0].logged(texts).is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_weak_node_delegates_near_shards_to_a_strong_one_and_continues_without_it() {
    let mut fleet = start_unequal([(WEAK, 0.1)], 1_000).await;
    assert_eq!((fleet.nodes[0].name.as_str(), fleet.nodes[1].name.as_str()), (WEAK, STRONG));
    let delegated = format!("delegated={SHARDS} peers={STRONG}");
    query_until(&fleet, "shards at the strong node", &["event=request ", &delegated]).await;
    let answer = fleet.call(1, http::Method::GET, "/all/x", "r-strong", bytes::Bytes::new()).await.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    wait_for("the strong node's own request", async || {
        let line = fleet.nodes[1].logged(&["event=request ", "request=r-strong"]);
        line.iter().inspect(|line| assert!(line.contains("delegated=0"), "{line}")).count() == 1
    })
    .await;
    send_signal(&fleet.nodes[1].process, "KILL").await;
    fleet.nodes[1].process.wait().await.expect("an end");
    query_until(&fleet, "shards asked for alone", &["event=request ", "delegated=0", "answered=24"]).await;
}

/// Requests that are sent at the same moment.
const BURST: usize = 120;

#[tokio::test(flavor = "multi_thread")]
async fn an_overloaded_strong_node_refuses_batches_and_every_request_is_answered() {
    // A batch of 24 shards counts as 25 ms of work at so small a CPU share, and may queue as long.
    let fleet = start_unequal([(WEAK, 0.005), (STRONG, 0.05)], 150).await;
    let delegated = format!("delegated={SHARDS} peers={STRONG}");
    query_until(&fleet, "shards at the strong node", &["event=request ", &delegated]).await;
    let ids: Vec<String> = (0..BURST).map(|number| format!("r-burst-{number}")).collect();
    let answers = futures_util::future::join_all(ids.iter().map(|id| get(&fleet, "/all/x", id))).await;
    for (answer, id) in answers.iter().zip(&ids) {
        assert_eq!(answer.status, 200, "{id}: {answer:?}");
    }
    wait_for("refused batches", async || !fleet.nodes[1].logged(&["event=batch_refused"]).is_empty()).await;
    // A shard of a refused batch still runs only once.
    let exceeding = ids.iter().filter(|id| fleet.count_runs(id) > SHARDS * 2).count();
    assert_eq!(exceeding, 0, "requests that ran on more than two servers of some shard");
}
