//! Gather requests over all shards, with real processes: merged results, coverage and hedges.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{get, header, local_server, remote_server};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::{RouteServer, RouteServerPlan, make_records};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SHARDS: [&str; 6] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5"];

/// Starts a fleet of six shards: the first two have near servers, one of them a far one too, the others only far ones.
/// Two shards have equal records.
async fn start_shards() -> RouteFleet {
    let mut servers = vec![local_server("i-0", "s-0"), local_server("i-1", "s-1"), remote_server("i-2", "s-1")];
    servers.extend((2..6).map(|shard| remote_server(&format!("i-{}", shard + 1), SHARDS[shard])));
    servers[6].seed = servers[5].seed.clone();
    let gather = json!({ "gather": SHARDS, "topK": 7, "minCoverage": 0.5 });
    let mut missing = vec!["s-none"];
    missing.extend(&SHARDS[..2]);
    let with_gap = json!({ "gather": missing, "topK": 100, "minCoverage": 0.6 });
    let too_few = json!({ "gather": ["s-0", "s-none", "s-nil"], "topK": 7, "minCoverage": 0.5 });
    let routes = vec![
        write_route("all", "/all/", &gather),
        write_route("gap", "/gap/", &with_gap),
        write_route("few", "/few/", &too_few),
    ];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 1], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// The greatest records of the seeds' shards, in descending order.
fn expected_records(seeds: &[&str], top: usize) -> Bytes {
    let mut records: Vec<_> = seeds.iter().flat_map(|seed| make_records(seed, 8)).collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(top);
    Bytes::from(records.concat())
}

/// The shards that the proofs of an answer name, which must each be proven for this request, and only once.
fn proven_shards(fleet: &RouteFleet, answer: &CallAnswer, id: &str) -> BTreeSet<String> {
    let values = answer.headers.get_all("x-part-stamps").iter().map(|value| value.to_str().expect("a text"));
    let proofs: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
    let found =
        proofs.iter().map(|proof| fleet.find_service_by_proof(id, proof).expect("a proof for this request").to_owned());
    let shards: BTreeSet<String> = found.collect();
    assert_eq!(shards.len(), proofs.len(), "a shard is in twice: {proofs:?}");
    shards
}

fn check_complete_gather(fleet: &RouteFleet, answer: &CallAnswer, id: &str) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(header(answer, "x-missing-parts").unwrap_or("0"), "0");
    assert_eq!(proven_shards(fleet, answer, id).len(), SHARDS.len());
    assert_eq!(answer.body, expected_records(&["s-0", "s-1", "s-2", "s-3", "s-4", "s-4"], 7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_all_shards_is_gathered_locally_and_at_the_other_node() {
    let fleet = start_shards().await;
    let mut number = 0;
    wait_for("a batch at the other node", async || {
        number += 1;
        let id = format!("r-{number}");
        check_complete_gather(&fleet, &get(&fleet, "/all/x", &id).await, &id);
        !fleet.nodes[0].logged(&["event=request ", "delegated=4"]).is_empty()
    })
    .await;
    let id = "r-far";
    let answer = fleet.call(1, Method::GET, "/all/x", id, Bytes::new()).await.expect("an answer");
    check_complete_gather(&fleet, &answer, id);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_shard_is_counted_and_too_little_coverage_is_refused() {
    let fleet = start_shards().await;
    let answer = get(&fleet, "/gap/x", "r-gap").await;
    assert_eq!((answer.status.as_u16(), header(&answer, "x-missing-parts")), (200, Some("1")), "{answer:?}");
    assert_eq!(proven_shards(&fleet, &answer, "r-gap").len(), 2);
    assert_eq!(answer.body, expected_records(&["s-0", "s-1"], 100));
    let answer = get(&fleet, "/few/x", "r-few").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(header(&answer, "retry-after").is_some(), "{answer:?}");
    assert_eq!(fleet.count_calls("r-few"), 0, "no server is called for a request that cannot be answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_answer_is_not_gathered_and_another_server_is_called() {
    let fleet = start_shards().await;
    let failing = &fleet.servers[1].state.switches.fail;
    failing.store(true, Ordering::Relaxed);
    for number in 0..10 {
        let id = format!("r-{number}");
        check_complete_gather(&fleet, &get(&fleet, "/all/x", &id).await, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hedge_to_a_far_server_goes_through_the_node_near_it() {
    let fleet = start_shards().await;
    // The near server of a shard that also has a far one.
    fleet.servers[1].state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    let via = format!("via={}", fleet.nodes[1].name);
    let mut number = 0;
    let mut hedged = Vec::new();
    wait_for("a hedge through the other node", async || {
        number += 1;
        let id = format!("r-{number}");
        check_complete_gather(&fleet, &get(&fleet, "/all/x", &id).await, &id);
        hedged = fleet.nodes[0].logged(&["event=call_overdue", "hedge=i-2", &via]);
        !hedged.is_empty()
    })
    .await;
    let id = hedged[0].split(' ').find_map(|field| field.strip_prefix("request=")).expect("a request");
    let count = |server: &RouteServer| server.state.calls().iter().filter(|call| call.id() == id).count();
    let calls: Vec<usize> = fleet.servers[1..3].iter().map(count).collect();
    assert_eq!(calls, [1, 1], "one call at each server of the shard");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_calls_to_all_shards_are_cancelled_when_the_caller_leaves() {
    // With so high a target latency no node reports anything to another one before the test times out.
    let servers: Vec<RouteServerPlan> =
        vec![local_server("i-0", "s-0"), remote_server("i-1", "s-1"), remote_server("i-2", "s-2")];
    let gather = json!({ "gather": ["s-0", "s-1", "s-2"], "topK": 7, "minCoverage": 0.5, "timeoutMs": 700_000,
        "targetLatencyMs": 600_000, "maxAttempts": 1 });
    let routes = vec![write_route("all", "/all/", &gather)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 1], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    let mut number = 0;
    wait_for("a batch at the other node", async || {
        number += 1;
        let answer = get(&fleet, "/all/x", &format!("r-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        !fleet.nodes[0].logged(&["event=request ", "delegated=2"]).is_empty()
    })
    .await;
    for server in &fleet.servers {
        server.state.switches.pause_ms.store(700_000, Ordering::Relaxed);
    }
    let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    let request =
        format!("GET /all/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-left\r\nX-Deadline-Ms: 700000\r\n\r\n");
    caller.write_all(request.as_bytes()).await.expect("a sent request");
    wait_for("the calls", async || fleet.count_calls("r-left") == 3).await;
    drop(caller);
    wait_for("the end of the calls", async || {
        fleet.servers.iter().all(|server| server.state.abandoned.load(Ordering::Relaxed) > 0)
    })
    .await;
    assert_eq!(fleet.count_runs("r-left"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_needs_an_unreachable_failure_domain_is_refused_at_once() {
    const FAR_SHARDS: [&str; 4] = ["f-0", "f-1", "f-2", "f-3"];
    let mut servers = vec![local_server("n-0", "near-0"), local_server("n-1", "near-1")];
    servers.extend(FAR_SHARDS.iter().map(|shard| remote_server(&format!("{shard}-f"), shard)));
    let shards = ["near-0", "near-1", "f-0", "f-1", "f-2", "f-3"];
    let target = |coverage: f64| {
        json!({ "gather": shards, "topK": 7, "minCoverage": coverage, "maxAttempts": 2, "timeoutMs": 2_500,
            "targetLatencyMs": 400 })
    };
    let routes = vec![write_route("most", "/most/", &target(0.6)), write_route("few", "/few/", &target(0.3))];
    let plan = RouteFleetPlan { nodes: [1, 1], servers, routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    let set_stalled = async |is_stalled: bool| {
        for server in fleet.servers.iter().filter(|server| FAR_SHARDS.contains(&server.state.plan.service.as_str())) {
            server.state.switches.pause_ms.store(if is_stalled { 30_000 } else { 0 }, Ordering::Relaxed);
        }
        match is_stalled {
            true => pause_process(&fleet.nodes[1].process).await,
            false => send_signal(&fleet.nodes[1].process, "CONT").await,
        }
    };
    assert_eq!(get(&fleet, "/most/x", "r-whole").await.status, 200);
    set_stalled(true).await;
    let mut number = 0;
    wait_for("a refusal", async || {
        number += 1;
        let id = format!("r-{number}");
        let answer = get(&fleet, "/most/x", &id).await;
        let is_refused = answer.status == 503;
        if is_refused {
            assert!(header(&answer, "retry-after").is_some());
            assert_eq!(fleet.count_calls(&id), 0, "{id} was reported as not run");
        }
        is_refused
    })
    .await;
    let event = ["event=failure_domain_dark", "failure_domain=zone-b"];
    wait_for("the log line with the reason", async || !fleet.nodes[0].logged(&event).is_empty()).await;
    // A request that can do without the failure domain is still served.
    let answer = get(&fleet, "/few/x", "r-few").await;
    assert_eq!((answer.status.as_u16(), header(&answer, "x-missing-parts")), (200, Some("4")), "{answer:?}");
    set_stalled(false).await;
    wait_for("complete answers again", async || {
        number += 1;
        let answer = get(&fleet, "/most/x", &format!("r-{number}")).await;
        answer.status == 200 && header(&answer, "x-missing-parts") == Some("0")
    })
    .await;
}
