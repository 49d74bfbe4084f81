//! The call queue of a node, with real processes: calls are sent by priority, those of callers that leave are removed,
//! and other servers or nodes take over the queued work of a server or owner that dies.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use serde_json::{Value, json};
use streamfold_lab::fleet::send_signal;
use streamfold_lab::route_checks::{get, local_server, read_metric};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::names;
use streamfold_standin::server::RouteServerPlan;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Requests in flight at a server: the capacity that it reports, and one more that a node sends beyond it.
const SERVER_LIMIT: usize = 9;
/// How long a request takes: long enough that others queue meanwhile, also on a machine under load.
const WORK_MS: u64 = 1_000;
/// The same for a test in which a call must stay queued until its caller has left.
const LONG_WORK_MS: u64 = 4_000;

fn to_cart(priority: u32) -> Value {
    json!({ "service": "cart", "priority": priority })
}

fn routes() -> Vec<Value> {
    vec![write_route("lookup", "/lookup/", &to_cart(0)), write_route("listing", "/listing/", &to_cart(2))]
}

async fn start(servers: Vec<RouteServerPlan>, settings: &'static str) -> RouteFleet {
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes: routes(), settings, ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

fn set_work(fleet: &RouteFleet, millis: u64) {
    let servers = fleet.servers.iter();
    servers.for_each(|server| server.state.switches.work_ms.store(millis, Ordering::Relaxed));
}

/// The ids of the requests that the first server has read, in order.
fn read_ids(fleet: &RouteFleet) -> Vec<String> {
    fleet.servers[0].state.calls().iter().map(|call| call.id().to_owned()).collect()
}

/// Waits until the first server has as many requests as it takes, so that further calls queue.
async fn wait_for_queue(fleet: &RouteFleet) {
    wait_for("a full server", async || read_ids(fleet).len() >= SERVER_LIMIT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_sent_before_listings_that_arrived_earlier() {
    let fleet = start(vec![local_server("i-0", "cart")], "").await;
    set_work(&fleet, WORK_MS);
    let ids: Vec<String> = (0..3 * SERVER_LIMIT).map(|number| format!("r-listing-{number}")).collect();
    let listings = join_all(ids.iter().map(|id| get(&fleet, "/listing/x", id)));
    let lookup = async {
        wait_for_queue(&fleet).await;
        get(&fleet, "/lookup/x", "r-lookup").await
    };
    let (listings, lookup) = tokio::join!(listings, lookup);
    assert_eq!(lookup.status, 200, "{lookup:?}");
    listings.iter().for_each(|listing| assert_eq!(listing.status, 200, "{listing:?}"));
    let arrival_position = read_ids(&fleet).iter().position(|id| id == "r-lookup").expect("a call");
    assert_eq!(arrival_position, SERVER_LIMIT, "right after those that were already in flight");
    let queued = fleet.nodes[0].logged(&["event=call_waited", "outcome=sent"]);
    assert_eq!(queued.len(), 2 * SERVER_LIMIT + 1, "{queued:?}");
    assert_eq!(fleet.nodes[0].logged(&["event=call_waited", "request=r-lookup", "priority=0"]).len(), 1);
    assert!(ids.iter().all(|id| fleet.count_runs(id) == 1), "each runs once");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_call_queues_calls_are_sent_at_once() {
    let fleet = start(vec![local_server("i-0", "cart")], "without: [call_lines]\n").await;
    set_work(&fleet, WORK_MS);
    let ids: Vec<String> = (0..3 * SERVER_LIMIT).map(|number| format!("r-listing-{number}")).collect();
    let answers = join_all(ids.iter().map(|id| get(&fleet, "/listing/x", id))).await;
    answers.iter().for_each(|answer| assert_eq!(answer.status, 200, "{answer:?}"));
    assert!(fleet.nodes[0].logged(&["event=call_waited"]).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queued_call_whose_deadline_expires_is_never_sent() {
    let fleet = start(vec![local_server("i-0", "cart")], "").await;
    set_work(&fleet, WORK_MS);
    let ids: Vec<String> = (0..2 * SERVER_LIMIT).map(|number| format!("r-listing-{number}")).collect();
    let listings = join_all(ids.iter().map(|id| get(&fleet, "/listing/x", id)));
    let late = async {
        wait_for_queue(&fleet).await;
        let headers = [("host", HOST), (names::REQUEST_ID, "r-late"), (names::DEADLINE_MS, "100")];
        let callers = fleet.nodes[0].addresses.callers;
        let timeout = Duration::from_secs(10);
        fleet.client.call(Method::GET, callers, "/listing/y", &headers, Bytes::new(), timeout).await.expect("an answer")
    };
    let (listings, late) = tokio::join!(listings, late);
    // Its deadline expired before a server was free, so it was never sent.
    assert_eq!(late.body, Bytes::from_static(b"{\"error\":\"not_run\"}"), "{late:?}");
    listings.iter().for_each(|listing| assert_eq!(listing.status, 200, "{listing:?}"));
    assert_eq!(fleet.count_calls("r-late"), 0);
    wait_for("the end of its queueing", async || {
        !fleet.nodes[0].logged(&["event=call_waited", "request=r-late", "outcome=expired"]).is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_queued_call_of_a_caller_that_disconnects_is_removed() {
    let fleet = start(vec![local_server("i-0", "cart")], "").await;
    set_work(&fleet, LONG_WORK_MS);
    let ids: Vec<String> = (0..SERVER_LIMIT).map(|number| format!("r-listing-{number}")).collect();
    let listings = join_all(ids.iter().map(|id| get(&fleet, "/listing/x", id)));
    let leaving_caller = async {
        wait_for_queue(&fleet).await;
        let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
        let id = names::REQUEST_ID;
        let head = format!("GET /listing/y HTTP/1.1\r\nhost: {HOST}\r\n{id}: r-left\r\n\r\n");
        caller.write_all(head.as_bytes()).await.expect("a sent request");
        wait_for("a queued call", async || read_metric(&fleet, 0, "streamfold_waiting_calls").await >= 1.0).await;
        drop(caller);
        wait_for("the end of its queueing", async || {
            !fleet.nodes[0].logged(&["event=call_waited", "request=r-left", "outcome=left"]).is_empty()
        })
        .await;
    };
    let (listings, ()) = tokio::join!(listings, leaving_caller);
    listings.iter().for_each(|listing| assert_eq!(listing.status, 200, "{listing:?}"));
    assert_eq!(fleet.count_calls("r-left"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_queued_for_a_server_that_crashes_go_to_another() {
    let fleet = start(vec![local_server("i-0", "cart"), local_server("i-1", "cart")], "").await;
    set_work(&fleet, WORK_MS);
    let ids: Vec<String> = (0..4 * SERVER_LIMIT).map(|number| format!("r-listing-{number}")).collect();
    let listings = join_all(ids.iter().map(|id| get(&fleet, "/listing/x", id)));
    let crash = async {
        wait_for_queue(&fleet).await;
        fleet.servers[0].state.switches.refuse.store(true, Ordering::Relaxed);
        fleet.servers[0].state.crash();
    };
    let (listings, ()) = tokio::join!(listings, crash);
    listings.iter().for_each(|listing| assert_eq!(listing.status, 200, "{listing:?}"));
    assert!(!fleet.nodes[0].logged(&["event=call_waited", "outcome=sent"]).is_empty(), "some calls were queued");
    assert!(ids.iter().all(|id| fleet.count_runs(id) <= 3), "no request runs on more servers than its route allows");
}

/// Shards, each with a server in the failure domain of both nodes: a weak one, which callers use, and a strong one, to
/// which it delegates the shards.
const SHARDS: usize = 6;

#[tokio::test(flavor = "multi_thread")]
async fn work_queued_at_an_owner_that_is_killed_is_taken_over() {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s-{shard}")).collect();
    let servers = shards.iter().map(|shard| local_server(&format!("i-{shard}"), shard)).collect();
    let gather = |priority: u32| json!({ "gather": shards, "topK": 7, "minCoverage": 1.0, "priority": priority, "targetLatencyMs": 4_000 });
    let routes = vec![write_route("all", "/all/", &gather(0)), write_route("list", "/list/", &gather(2))];
    let cpu_shares = HashMap::from([("zone-a-0", 0.1)]);
    let plan = RouteFleetPlan { nodes: [2, 0], servers, routes, cpu_shares, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    wait_for("shards at the strong node", async || {
        get(&fleet, "/all/x", &format!("r-{}", fleet.nodes[0].logged(&["event=request "]).len())).await;
        !fleet.nodes[0].logged(&["event=request ", &format!("delegated={SHARDS}")]).is_empty()
    })
    .await;
    set_work(&fleet, WORK_MS);
    let ids: Vec<String> = (0..2 * SERVER_LIMIT).map(|number| format!("r-list-{number}")).collect();
    let answers = join_all(ids.iter().map(|id| get(&fleet, "/list/x", id)));
    let kill = async {
        wait_for("queued work", async || read_metric(&fleet, 1, "streamfold_waiting_calls").await >= 1.0).await;
        send_signal(&fleet.nodes[1].process, "KILL").await;
    };
    let (answers, ()) = tokio::join!(answers, kill);
    answers.iter().for_each(|answer| assert_eq!(answer.status, 200, "{answer:?}"));
    for server in &fleet.servers {
        let runs = server.state.runs();
        let count = |id: &String| runs.iter().filter(|run| run.request.id() == id).count();
        let max_runs = ids.iter().map(count).max().expect("requests");
        assert!(max_runs <= 3, "{max_runs} times at one shard: no request is sent more often than its route allows");
    }
}
