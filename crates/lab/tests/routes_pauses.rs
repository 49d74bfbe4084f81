//! Nodes that are paused with work of another node, and go on: what is tried elsewhere, what runs. With real processes.

use std::sync::atomic::Ordering;

use serde_json::json;
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{get, remote_server, wait_delegated};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::RouteServer;

/// What a request meets.
struct SilentPlan {
    /// Servers of each shard near the other node, several as while one replaces another.
    servers: usize,
    /// How long it may take, and should.
    timeout_ms: u64,
    target_ms: u64,
}

/// Two nodes, of which the second is asked for all shards by the first; their servers read requests and do not answer.
async fn start_silent(shards: &[&'static str], silent: SilentPlan, settings: &'static str) -> RouteFleet {
    let servers = shards
        .iter()
        .flat_map(|shard| (0..silent.servers).map(move |number| remote_server(&format!("{shard}-{number}"), shard)));
    let gather = json!({ "gather": shards, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2,
        "timeoutMs": silent.timeout_ms, "targetLatencyMs": silent.target_ms });
    let routes = vec![write_route("all", "/all/", &gather)];
    let plan =
        RouteFleetPlan { nodes: [1, 1], servers: servers.collect(), routes, settings, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    // First whole, until the other node is asked for shards.
    wait_delegated(&fleet, shards.len()).await;
    for server in &fleet.servers {
        server.state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    }
    fleet
}

/// The servers of a shard that read a request.
fn count_asked(fleet: &RouteFleet, shard: &str, id: &str) -> usize {
    let asked = |server: &&RouteServer| server.state.calls().iter().any(|call| call.id() == id);
    fleet.servers.iter().filter(|server| server.state.plan.service == shard).filter(asked).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn taking_over_from_a_silent_node_asks_no_further_servers() {
    const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
    let fleet = start_silent(&SHARDS, SilentPlan { servers: 5, timeout_ms: 2_500, target_ms: 1_000 }, "").await;
    let id = "r-silent";
    let (answer, ()) = tokio::join!(get(&fleet, "/all/x", id), async {
        // The other node has hedged every shard; then it falls silent for good.
        wait_for("the hedges", async || SHARDS.iter().all(|shard| count_asked(&fleet, shard, id) == 2)).await;
        pause_process(&fleet.nodes[1].process).await;
        let event = ["event=batch_overdue", "request=r-silent"];
        wait_for("the takeover", async || !fleet.nodes[0].logged(&event).is_empty()).await;
    });
    send_signal(&fleet.nodes[1].process, "CONT").await;
    assert_ne!(answer.status, 200, "{answer:?}");
    let asked = SHARDS.map(|shard| count_asked(&fleet, shard, id));
    assert_eq!(asked, [2; 4], "servers of each shard that read the request");
}

/// Holds a batch up at a paused node until the asking node's log has an event of its request; how many
/// servers of each of three shards read the request then, and what the logs of both nodes say of it.
async fn hold_up_a_batch(settings: &'static str, event: &str) -> ([usize; 3], Vec<String>) {
    const SHARDS: [&str; 3] = ["s-0", "s-1", "s-2"];
    let fleet = start_silent(&SHARDS, SilentPlan { servers: 3, timeout_ms: 4_000, target_ms: 300 }, settings).await;
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
    (SHARDS.map(|shard| count_asked(&fleet, shard, id)), lines)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_was_held_up_on_its_way_is_not_begun_any_more() {
    let (asked, lines) = hold_up_a_batch("without: [dark_domains]\n", "event=batch_failed").await;
    assert_eq!(
        asked, [1; 3],
        "servers of each shard that read the request: the asking node's own calls alone: {lines:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_of_a_request_that_was_given_up_is_not_begun_any_more() {
    // The failure domain is taken for dark, so the request ends before the batch's own time-out.
    let (asked, lines) = hold_up_a_batch("", "event=request ").await;
    assert!(asked.iter().all(|count| *count <= 1), "the asking node's own calls at most: {asked:?}, {lines:?}");
}

/// Guards against second calls for a request that was given up while the node did not run: when it goes on, its alarms are
/// over, and the word that the batch was cancelled is not read yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_was_given_up_during_a_pause_gets_no_second_calls_after_it() {
    const SHARDS: [&str; 3] = ["s-0", "s-1", "s-2"];
    let fleet = start_silent(&SHARDS, SilentPlan { servers: 3, timeout_ms: 8_000, target_ms: 300 }, "").await;
    let (id, of_request) = ("r-given-up", "request=r-given-up");
    let (answer, ()) = tokio::join!(get(&fleet, "/all/x", id), async {
        wait_for("the first calls", async || SHARDS.iter().all(|shard| count_asked(&fleet, shard, id) == 1)).await;
        pause_process(&fleet.nodes[1].process).await;
        wait_for("the end of the request", async || !fleet.nodes[0].logged(&["event=request ", of_request]).is_empty())
            .await;
        send_signal(&fleet.nodes[1].process, "CONT").await;
        wait_for("the end of the batch", async || !fleet.nodes[1].logged(&["batch_cancelled", of_request]).is_empty())
            .await;
    });
    assert_ne!(answer.status, 200, "{answer:?}");
    let hedges = fleet.nodes[1].logged(&["event=call_overdue", of_request, "hedge="]);
    assert!(hedges.is_empty(), "{hedges:?}");
}
