//! Nodes that are paused with delegated work and resume, with real processes: which calls are retried elsewhere and
//! which still run.

use std::sync::atomic::Ordering;

use serde_json::json;
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{get, remote_server, wait_delegated};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::RouteServer;

/// The servers of a fleet and the time limits of its requests.
struct UnresponsivePlan {
    /// Servers of each shard in the other node's failure domain; several, as during a rolling replacement.
    servers: usize,
    /// The time-out and the target latency of a request.
    timeout_ms: u64,
    target_ms: u64,
}

/// Starts two nodes, of which the first delegates all shards to the second; the servers read requests and do not
/// answer.
async fn start_unresponsive(
    shards: &[&'static str],
    unresponsive: UnresponsivePlan,
    settings: &'static str,
) -> RouteFleet {
    let servers = shards.iter().flat_map(|shard| {
        (0..unresponsive.servers).map(move |number| remote_server(&format!("{shard}-{number}"), shard))
    });
    let gather = json!({ "gather": shards, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2,
        "timeoutMs": unresponsive.timeout_ms, "targetLatencyMs": unresponsive.target_ms });
    let routes = vec![write_route("all", "/all/", &gather)];
    let plan =
        RouteFleetPlan { nodes: [1, 1], servers: servers.collect(), routes, settings, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    // Servers answer until the first node delegates the shards.
    wait_delegated(&fleet, shards.len()).await;
    for server in &fleet.servers {
        server.state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    }
    fleet
}

/// The number of servers of a shard that read a request.
fn count_called(fleet: &RouteFleet, shard: &str, id: &str) -> usize {
    let is_called = |server: &&RouteServer| server.state.calls().iter().any(|call| call.id() == id);
    fleet.servers.iter().filter(|server| server.state.plan.service == shard).filter(is_called).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_takeover_from_an_unresponsive_node_calls_no_further_servers() {
    const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
    let fleet =
        start_unresponsive(&SHARDS, UnresponsivePlan { servers: 5, timeout_ms: 2_500, target_ms: 1_000 }, "").await;
    let id = "r-silent";
    let (answer, ()) = tokio::join!(get(&fleet, "/all/x", id), async {
        // Once the other node has hedged every shard, it stops responding.
        wait_for("the hedges", async || SHARDS.iter().all(|shard| count_called(&fleet, shard, id) == 2)).await;
        pause_process(&fleet.nodes[1].process).await;
        let event = ["event=batch_overdue", "request=r-silent"];
        wait_for("the takeover of the batch", async || !fleet.nodes[0].logged(&event).is_empty()).await;
    });
    send_signal(&fleet.nodes[1].process, "CONT").await;
    assert_ne!(answer.status, 200, "{answer:?}");
    let counts = SHARDS.map(|shard| count_called(&fleet, shard, id));
    assert_eq!(counts, [2; 4], "servers of each shard that read the request");
}

/// Delays a batch at a paused node until the log of the requesting node has an event of its request. Returns how many
/// servers of each of three shards read the request, and the lines of the request in the logs of both nodes.
async fn delay_batch(settings: &'static str, event: &str) -> ([usize; 3], Vec<String>) {
    const SHARDS: [&str; 3] = ["s-0", "s-1", "s-2"];
    let fleet =
        start_unresponsive(&SHARDS, UnresponsivePlan { servers: 3, timeout_ms: 4_000, target_ms: 300 }, settings).await;
    let id = "r-held-up";
    pause_process(&fleet.nodes[1].process).await;
    let (answer, ()) = tokio::join!(get(&fleet, "/all/x", id), async {
        let event = [event, "request=r-held-up"];
        wait_for("the end of the batch", async || !fleet.nodes[0].logged(&event).is_empty()).await;
        send_signal(&fleet.nodes[1].process, "CONT").await;
        wait_for("the other node", async || fleet.ready_status(1).await == Some(http::StatusCode::OK)).await;
    });
    assert_ne!(answer.status, 200, "{answer:?}");
    let lines = fleet.nodes.iter().flat_map(|node| node.logged(&["request=r-held-up"])).collect();
    (SHARDS.map(|shard| count_called(&fleet, shard, id)), lines)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_delayed_batch_is_not_started() {
    let (counts, lines) = delay_batch("without: [dark_domains]\n", "event=batch_failed").await;
    assert_eq!(
        counts, [1; 3],
        "servers of each shard that read the request: only the requesting node's own calls: {lines:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_of_a_request_that_was_given_up_is_not_begun_any_more() {
    // The failure domain is considered unreachable, so the request ends before the time-out of the batch.
    let (counts, lines) = delay_batch("", "event=request ").await;
    assert!(counts.iter().all(|count| *count <= 1), "the requesting node's own calls at most: {counts:?}, {lines:?}");
}

/// Guards against hedges for a request that was cancelled while the node was paused: when it resumes, its timers have
/// expired, and the cancellation of the batch has not been read yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_was_cancelled_during_a_pause_gets_no_hedges_after_it() {
    const SHARDS: [&str; 3] = ["s-0", "s-1", "s-2"];
    let fleet =
        start_unresponsive(&SHARDS, UnresponsivePlan { servers: 3, timeout_ms: 8_000, target_ms: 300 }, "").await;
    let (id, request_field) = ("r-given-up", "request=r-given-up");
    let (answer, ()) = tokio::join!(get(&fleet, "/all/x", id), async {
        wait_for("the first calls", async || SHARDS.iter().all(|shard| count_called(&fleet, shard, id) == 1)).await;
        pause_process(&fleet.nodes[1].process).await;
        wait_for("the end of the request", async || {
            !fleet.nodes[0].logged(&["event=request ", request_field]).is_empty()
        })
        .await;
        send_signal(&fleet.nodes[1].process, "CONT").await;
        wait_for("the end of the batch", async || {
            !fleet.nodes[1].logged(&["batch_cancelled", request_field]).is_empty()
        })
        .await;
    });
    assert_ne!(answer.status, 200, "{answer:?}");
    let hedges = fleet.nodes[1].logged(&["event=call_overdue", request_field, "hedge="]);
    assert!(hedges.is_empty(), "{hedges:?}");
}
