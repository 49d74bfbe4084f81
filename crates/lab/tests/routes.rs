//! Routing with real processes: what callers get and what servers see, on calm days and under
//! faults of servers, of the store and of nodes.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_lab::client::CallAnswer;
use streamfold_lab::fleet::send_signal;
use streamfold_lab::route_fleet::{DOMAINS, HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_standin::server::{RouteServer, RouteServerPlan, RouteSwitches, make_records};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const WAIT_AT_MOST: Duration = Duration::from_secs(20);

/// Waits until a condition holds; the test fails if it never does.
async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < WAIT_AT_MOST, "{what} did not come about");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A server of a service in the first failure domain.
fn near(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[0])
}

/// A server of a service in the other failure domain.
fn far(id: &str, service: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, service, DOMAINS[1])
}

fn to_service(service: &str) -> Value {
    json!({ "service": service })
}

/// A service whose requests must not run twice.
fn once_to(service: &str) -> Value {
    json!({ "service": service, "routeType": "non_idempotent" })
}

/// Two servers of one service behind `/any/` (repeatable) and `/once/`, and one node: `i-0` in
/// its failure domain, which is asked first, and `i-1` in the other one.
async fn start_pair() -> RouteFleet {
    let servers = vec![near("i-0", "cart"), far("i-1", "cart")];
    let routes =
        vec![write_route("any", "/any/", &to_service("cart")), write_route("once", "/once/", &once_to("cart"))];
    RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet")
}

/// One server behind `/any/` and `/once/`, and one node.
async fn start_single() -> RouteFleet {
    let routes =
        vec![write_route("any", "/any/", &to_service("cart")), write_route("once", "/once/", &once_to("cart"))];
    RouteFleet::start(RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![near("i-0", "cart")],
        routes,
        ..RouteFleetPlan::default()
    })
    .await
    .expect("a fleet")
}

async fn get(fleet: &RouteFleet, path: &str, id: &str) -> CallAnswer {
    fleet.call(0, Method::GET, path, id, Bytes::new()).await.expect("an answer")
}

fn header<'a>(answer: &'a CallAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).map(|value| value.to_str().expect("a text"))
}

/// Checks that a success is whole and the own answer of a server that ran this request.
fn check_own(fleet: &RouteFleet, answer: &CallAnswer, id: &str) {
    assert!(answer.status.is_success(), "{id}: {answer:?}");
    assert_eq!(header(answer, "x-request-id"), Some(id));
    let proof = header(answer, "x-server-stamp").expect("a proof");
    let service = fleet.find_proof(id, proof).expect("the proof of a server that ran it");
    let server = fleet.servers.iter().find(|server| server.state.plan.service == service).expect("a server");
    assert_eq!(answer.body, server.state.body(), "{id}");
}

/// A refusal as snapshots show it.
fn tell_refusal(answer: &CallAnswer) -> String {
    let retry = header(answer, "retry-after").map(|wait| wait.parse::<f64>().expect("seconds") > 0.0);
    format!("{} {} retry-after: {retry:?}", answer.status.as_u16(), String::from_utf8_lossy(&answer.body))
}

/// Writes bytes of a caller's own and reads until so many bytes of body are in or the
/// connection ends.
async fn exchange_raw(fleet: &RouteFleet, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    stream.write_all(request).await.expect("a sent request");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(WAIT_AT_MOST, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is to be closed");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_get_404_and_the_longest_prefix_wins() {
    let servers = vec![near("i-0", "wide"), near("i-1", "deep")];
    let routes =
        vec![write_route("wide", "/a/", &to_service("wide")), write_route("deep", "/a/b/", &to_service("deep"))];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    let mut seen = Vec::new();
    for (number, path) in ["/a/x", "/a/b/x", "/a/b", "/a/bc/x", "/a/b/", "/c/x", "/", "/a"].into_iter().enumerate() {
        let id = format!("r-{number}");
        let answer = get(&fleet, path, &id).await;
        let service = header(&answer, "x-server-stamp").and_then(|proof| fleet.find_proof(&id, proof));
        seen.push(format!("{path}: {} {service:?}", answer.status.as_u16()));
    }
    let headers = [("host", "other.example"), ("x-request-id", "r-host")];
    let callers = fleet.nodes[0].addresses.callers;
    let other = fleet.client.call(Method::GET, callers, "/a/x", &headers, Bytes::new(), WAIT_AT_MOST).await;
    seen.push(format!("another host: {}", other.expect("an answer").status.as_u16()));
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn before_the_first_configuration_requests_do_not_run() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![near("i-0", "cart")],
        routes: Vec::new(),
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let refused = get(&fleet, "/any/x", "r-0").await;
    insta::assert_snapshot!(tell_refusal(&refused));
    assert_eq!(fleet.count_calls("r-0"), 0);
    fleet.put_document(3, &[write_route("any", "/any/", &to_service("cart"))]);
    fleet.wait_ready(StatusCode::OK).await.expect("a ready node");
    check_own(&fleet, &get(&fleet, "/any/x", "r-1").await, "r-1");
}

/// The headers of a request as a server saw it, without those that say how it came.
fn passed_headers(headers: &[(String, String)]) -> Vec<String> {
    let is_kept = |name: &str| !["x-deadline-ms", "content-length", "transfer-encoding"].contains(&name);
    let mut kept: Vec<String> =
        headers.iter().filter(|(name, _)| is_kept(name)).map(|(name, value)| format!("{name}: {value}")).collect();
    kept.sort();
    kept
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_and_its_answer_pass_unchanged() {
    let fleet = start_single().await;
    let server = &fleet.servers[0];
    let fixed = format!(
        "Host: {HOST}\r\nX-Deadline-Ms: 5000\r\nX-Tone: first\r\nX-Tone: second\r\nX-Once: gone\r\n\
         Connection: close, x-once\r\nCookie: a=b; c=\"d\"\r\n"
    );
    let by_length = format!(
        "PUT /any/%C3%A4/b;c?d=e&f=%20g&h HTTP/1.1\r\nX-Request-Id: r-len\r\n{fixed}Content-Length: 11\r\n\r\nhello \0 you"
    );
    let by_chunks = format!(
        "PATCH /any/ HTTP/1.1\r\nX-Request-Id: r-chunk\r\n{fixed}Transfer-Encoding: chunked\r\n\r\n\
         6;note=x\r\nhello \r\n5\r\n\0 you\r\n0\r\n\r\n"
    );
    for (request, status) in [(&by_length, 201), (&by_chunks, 404)] {
        server.state.switches.status.store(status, Ordering::Relaxed);
        let answer = exchange_raw(&fleet, request.as_bytes()).await;
        let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert_eq!(body, String::from_utf8_lossy(&server.state.body()));
        let lower = head.to_ascii_lowercase();
        let run = server.state.runs().pop().expect("a run");
        assert!(lower.contains(&format!("x-server-stamp: {}", run.proof)), "{head}");
        assert!(lower.contains(&format!("x-request-id: {}", run.request.id())), "{head}");
        assert!(lower.contains("x-own: of the server") && !lower.contains("keep-alive: timeout"), "{head}");
    }
    let runs = server.state.runs();
    assert!(runs.iter().all(|run| run.request.deadline_ms().is_some_and(|left| left > 0.0 && left <= 5000.0)));
    let seen: Vec<String> = runs
        .iter()
        .map(|run| {
            let request = &run.request;
            let headers = passed_headers(&request.headers).join("\n");
            format!("{} {}\n{headers}\n{:?}", request.method, request.path, request.body)
        })
        .collect();
    insta::assert_snapshot!(seen.join("\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_reaches_its_services_by_weight() {
    let servers = vec![near("i-0", "old"), near("i-1", "new"), near("i-2", "none")];
    let split = json!({ "split": [
        { "service": "old", "weight": 3 }, { "service": "new", "weight": 1.0 }, { "service": "none", "weight": 0 }
    ] });
    let routes = vec![write_route("split", "/any/", &split)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    for number in 0..400 {
        let id = format!("r-{number}");
        check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    let runs: Vec<usize> = fleet.servers.iter().map(|server| server.state.runs().len()).collect();
    assert_eq!((runs[0] + runs[1], runs[2]), (400, 0));
    // Outside these bounds by chance once in about ten million runs.
    assert!((55..=150).contains(&runs[1]), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_a_split_without_room_refuses_its_share_and_moves_none() {
    let servers = vec![near("i-0", "old"), near("i-1", "new")];
    let split = json!({ "split": [{ "service": "old", "weight": 1 }, { "service": "new", "weight": 1 }] });
    let routes = vec![write_route("split", "/any/", &split)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    let mut refused = 0;
    for number in 0..40 {
        let id = format!("r-{number}");
        let answer = get(&fleet, "/any/x", &id).await;
        refused += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
    }
    let runs: Vec<usize> = fleet.servers.iter().map(|server| server.state.runs().len()).collect();
    assert_eq!((runs[0] + refused, runs[1]), (40, 0));
    // By turns the share is exact within a few requests; by dice it would be off by more than
    // this in about one run of four.
    assert!((17..=23).contains(&refused), "{refused} refused");
}

const SHARDS: [&str; 6] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5"];

/// Six shards: the first two near, one of them also far, the others far only. Two shards have
/// equal records.
async fn start_shards() -> RouteFleet {
    let mut servers = vec![near("i-0", "s-0"), near("i-1", "s-1"), far("i-2", "s-1")];
    servers.extend((2..6).map(|shard| far(&format!("i-{}", shard + 1), SHARDS[shard])));
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

/// The greatest records of some seeds, greatest first.
fn expect_fold(seeds: &[&str], top: usize) -> Bytes {
    let mut records: Vec<_> = seeds.iter().flat_map(|seed| make_records(seed, 8)).collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(top);
    Bytes::from(records.concat())
}

/// The shards that an answer's proofs name; each must be proven for this request, and once.
fn proven_shards(fleet: &RouteFleet, answer: &CallAnswer, id: &str) -> BTreeSet<String> {
    let values = answer.headers.get_all("x-part-stamps").iter().map(|value| value.to_str().expect("a text"));
    let proofs: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
    let found = proofs.iter().map(|proof| fleet.find_proof(id, proof).expect("a proof for this request").to_owned());
    let shards: BTreeSet<String> = found.collect();
    assert_eq!(shards.len(), proofs.len(), "a shard is in twice: {proofs:?}");
    shards
}

fn check_whole_fold(fleet: &RouteFleet, answer: &CallAnswer, id: &str) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(header(answer, "x-missing-parts").unwrap_or("0"), "0");
    assert_eq!(proven_shards(fleet, answer, id).len(), SHARDS.len());
    assert_eq!(answer.body, expect_fold(&["s-0", "s-1", "s-2", "s-3", "s-4", "s-4"], 7));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_over_all_shards_is_folded_here_and_at_the_other_node() {
    let fleet = start_shards().await;
    let mut number = 0;
    wait_for("a batch at the other node", async || {
        number += 1;
        let id = format!("r-{number}");
        check_whole_fold(&fleet, &get(&fleet, "/all/x", &id).await, &id);
        !fleet.nodes[0].logged(&["event=request ", "delegated=4"]).is_empty()
    })
    .await;
    let id = "r-far";
    let answer = fleet.call(1, Method::GET, "/all/x", id, Bytes::new()).await.expect("an answer");
    check_whole_fold(&fleet, &answer, id);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_shard_is_counted_and_too_few_are_no_success() {
    let fleet = start_shards().await;
    let answer = get(&fleet, "/gap/x", "r-gap").await;
    assert_eq!((answer.status.as_u16(), header(&answer, "x-missing-parts")), (200, Some("1")), "{answer:?}");
    assert_eq!(proven_shards(&fleet, &answer, "r-gap").len(), 2);
    assert_eq!(answer.body, expect_fold(&["s-0", "s-1"], 100));
    let answer = get(&fleet, "/few/x", "r-few").await;
    assert!(!answer.status.is_success(), "{answer:?}");
    let has_run = fleet.count_runs("r-few") > 0;
    assert!(!has_run || answer.status != 503, "a request that ran must not be told as not run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_shard_is_no_part_and_another_server_is_asked() {
    let fleet = start_shards().await;
    let failing = &fleet.servers[1].state.switches.fail;
    failing.store(true, Ordering::Relaxed);
    for number in 0..10 {
        let id = format!("r-{number}");
        check_whole_fold(&fleet, &get(&fleet, "/all/x", &id).await, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hedge_to_a_far_server_goes_through_the_node_near_it() {
    let fleet = start_shards().await;
    // The near server of a shard that has a far one too.
    fleet.servers[1].state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    let via = format!("via={}", fleet.nodes[1].name);
    let mut number = 0;
    let mut hedged = Vec::new();
    wait_for("a hedge through the other node", async || {
        number += 1;
        let id = format!("r-{number}");
        check_whole_fold(&fleet, &get(&fleet, "/all/x", &id).await, &id);
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
async fn a_paused_server_is_gone_round() {
    let fleet = start_pair().await;
    fleet.servers[0].state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    wait_for("a request that met the paused server", async || {
        let id = format!("r-{}", fleet.servers[1].state.runs().len());
        check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        !fleet.servers[0].state.calls().is_empty()
    })
    .await;
    assert!(fleet.servers[0].state.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_answers_for_another_is_not_called_again() {
    let fleet = start_pair().await;
    fleet.servers[0].state.set_id("i-other");
    for number in 0..60 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_own(&fleet, &get(&fleet, path, &id).await, &id);
        assert_eq!(fleet.count_runs(&id), 1);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
    // Not even where the only other server refuses.
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    for path in ["/any/x", "/once/x"] {
        assert_eq!(get(&fleet, path, "r-refused").await.status, 503);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
    assert!(fleet.servers[0].state.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_goes_to_another_server() {
    for path in ["/any/x", "/once/x"] {
        let fleet = start_pair().await;
        fleet.servers[0].state.switches.refuse.store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("r-{number}");
            check_own(&fleet, &get(&fleet, path, &id).await, &id);
            assert_eq!(fleet.count_runs(&id), 1);
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), "r-0", "the near server is asked first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_servers_refuse_the_caller_learns_that_it_did_not_run() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.refuse.store(true, Ordering::Relaxed);
    }
    let mut seen = Vec::new();
    for (path, id) in [("/any/x", "r-any"), ("/once/x", "r-once")] {
        let answer = get(&fleet, path, id).await;
        seen.push(format!("{path}: {}", tell_refusal(&answer)));
        assert!(fleet.count_calls(id) > 0);
        assert_eq!(fleet.count_runs(id), 0);
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_repeated() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = get(&fleet, "/once/x", &id).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(&id)), (502, 1), "{answer:?}");
        assert_eq!(header(&answer, "retry-after"), None);
    }
    let answer = get(&fleet, "/any/x", "r-any").await;
    assert_eq!(answer.status, 502, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_that_ran_is_not_sent_to_the_same_server_again() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    let answer = get(&fleet, "/any/x", "r-any").await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(fleet.count_calls("r-any"), 2, "a repeatable one goes to the other server too");
    let fleet = start_single().await;
    let switches = &fleet.servers[0].state.switches;
    for (name, fault) in
        [("wrong", &switches.wrong_id), ("cut", &switches.cut_body), ("before", &switches.surplus_first)]
    {
        fault.store(true, Ordering::Relaxed);
        let answer = get(&fleet, "/any/x", name).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(name)), (502, 1), "{name}: {answer:?}");
        fault.store(false, Ordering::Relaxed);
    }
}

/// The servers that ran a request.
fn count_runners(fleet: &RouteFleet, id: &str) -> usize {
    let ran = |server: &&RouteServer| server.state.runs().iter().any(|run| run.request.id() == id);
    fleet.servers.iter().filter(ran).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_on_no_more_servers_than_its_route_allows() {
    let mut servers: Vec<RouteServerPlan> = (0..5).map(|number| near(&format!("i-{number}"), "cart")).collect();
    for shard in ["s-0", "s-1"] {
        servers.extend((0..4).map(|number| far(&format!("{shard}-{number}"), shard)));
    }
    let gather = json!({ "gather": ["s-0", "s-1"], "topK": 7, "minCoverage": 0.5, "maxAttempts": 2 });
    let routes = vec![write_route("any", "/any/", &to_service("cart")), write_route("all", "/all/", &gather)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 1], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    // First whole, until the other node is asked for shards.
    let mut number = 0;
    wait_for("a batch at the other node", async || {
        number += 1;
        let answer = get(&fleet, "/all/x", &format!("r-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        !fleet.nodes[0].logged(&["event=request ", "delegated=2"]).is_empty()
    })
    .await;
    for server in &fleet.servers {
        server.state.switches.wrong_id.store(true, Ordering::Relaxed);
    }
    for number in 0..5 {
        let id = format!("any-{number}");
        assert_eq!(get(&fleet, "/any/x", &id).await.status, 502);
        assert!((1..=3).contains(&count_runners(&fleet, &id)), "{id}: {}", count_runners(&fleet, &id));
        let id = format!("all-{number}");
        assert_eq!(get(&fleet, "/all/x", &id).await.status, 502);
        assert!((2..=4).contains(&count_runners(&fleet, &id)), "{id}: {}", count_runners(&fleet, &id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_reachable_server_does_not_run() {
    let mut fleet = start_pair().await;
    fleet.servers.clear();
    let mut seen = Vec::new();
    for path in ["/any/x", "/once/x"] {
        seen.push(format!("{path}: {}", tell_refusal(&get(&fleet, path, "r-0").await)));
    }
    insta::assert_snapshot!(seen.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_s_own_failure_is_told_as_it_is() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.fail.store(true, Ordering::Relaxed);
    }
    let answer = get(&fleet, "/once/x", "r-once").await;
    assert_eq!((answer.status.as_u16(), fleet.count_calls("r-once")), (500, 1), "{answer:?}");
    assert_eq!(header(&answer, "x-request-id"), Some("r-once"));
    fleet.servers[1].state.switches.fail.store(false, Ordering::Relaxed);
    let before = fleet.servers[0].state.runs().len();
    let mut number = 0;
    wait_for("a request that failed at one server first", async || {
        number += 1;
        let id = format!("r-{number}");
        check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        fleet.servers[0].state.runs().len() > before
    })
    .await;
}

/// A fault of a server as its switch.
type Fault = fn(&RouteSwitches) -> &AtomicBool;

/// Faults that put bytes on a connection that are not the whole answer to its request.
const STRANGE_BYTES: [(&str, Fault); 4] = [
    ("wrong", |switches| &switches.wrong_id),
    ("cut", |switches| &switches.cut_body),
    ("before", |switches| &switches.surplus_first),
    ("after", |switches| &switches.surplus),
];

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_another_request_never_reaches_a_caller() {
    for (name, fault) in STRANGE_BYTES {
        let fleet = start_pair().await;
        fault(&fleet.servers[0].state.switches).store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("{name}-{number}");
            check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), format!("{name}-0"), "the near server is asked first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_another_request_is_no_reason_to_run_one_twice() {
    for (name, fault) in STRANGE_BYTES {
        let fleet = start_pair().await;
        fault(&fleet.servers[0].state.switches).store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("{name}-{number}");
            let answer = get(&fleet, "/once/x", &id).await;
            match answer.status.is_success() {
                true => check_own(&fleet, &answer, &id),
                false => assert_eq!(answer.status, 502, "{id}: {answer:?}"),
            }
            assert_eq!(fleet.count_calls(&id), 1, "{id}");
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), format!("{name}-0"), "the near server is asked first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_a_faulty_server_alone_callers_get_no_wrong_bytes() {
    let fleet = start_single().await;
    let switches = &fleet.servers[0].state.switches;
    for (name, fault) in
        [("wrong", &switches.wrong_id), ("cut", &switches.cut_body), ("before", &switches.surplus_first)]
    {
        fault.store(true, Ordering::Relaxed);
        let once = format!("{name}-once");
        let answer = get(&fleet, "/once/x", &once).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(&once)), (502, 1), "{name}: {answer:?}");
        let answer = get(&fleet, "/any/x", name).await;
        assert_eq!(answer.status, 502, "{name}: {answer:?}");
        fault.store(false, Ordering::Relaxed);
    }
    switches.surplus.store(true, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("after-{number}");
        let answer = get(&fleet, "/any/x", &id).await;
        // The surplus must cost nothing more than a connection.
        check_own(&fleet, &answer, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_closes_each_connection_costs_no_request() {
    let fleet = start_single().await;
    fleet.servers[0].state.switches.close.store(true, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_own(&fleet, &get(&fleet, path, &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.connections.load(Ordering::Relaxed), 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_gets_413() {
    let fleet = start_single().await;
    let mut seen = Vec::new();
    for (len, id) in [(65_536, "r-fits"), (65_537, "r-over"), (1 << 20, "r-far-over")] {
        let answer = fleet.call(0, Method::POST, "/any/x", id, Bytes::from(vec![b'x'; len])).await;
        let status = answer.expect("an answer").status.as_u16();
        seen.push((len, status, fleet.count_calls(id)));
    }
    assert_eq!(seen, [(65_536, 200, 1), (65_537, 413, 0), (1 << 20, 413, 0)]);
    let mut chunked = format!(
        "POST /any/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-chunks\r\nConnection: close\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    for _ in 0..66 {
        chunked.push_str(&format!("3e8\r\n{}\r\n", "x".repeat(1000)));
    }
    chunked.push_str("0\r\n\r\n");
    let answer = exchange_raw(&fleet, chunked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(fleet.count_calls("r-chunks"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_id_is_refused_and_not_sent() {
    let fleet = start_single().await;
    let request = format!("GET /any/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    let answer = exchange_raw(&fleet, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(fleet.servers[0].state.calls().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_routes_are_taken_and_older_ones_never() {
    let servers = vec![near("i-0", "old"), near("i-1", "new")];
    let route = |service: &str| vec![write_route("any", "/any/", &to_service(service))];
    let plan = RouteFleetPlan { nodes: [2, 1], servers, routes: route("old"), ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.put_document(12, &route("new"));
    let mut number = 0;
    for node in 0..fleet.nodes.len() {
        wait_for("the newer routes", async || {
            number += 1;
            let id = format!("r-{number}");
            let answer = fleet.call(node, Method::GET, "/any/x", &id, Bytes::new()).await.expect("an answer");
            check_own(&fleet, &answer, &id);
            fleet.find_proof(&id, header(&answer, "x-server-stamp").expect("a proof")) == Some("new")
        })
        .await;
    }
    // The older version, and behind it an entry that shows that both were seen.
    fleet.put_document(7, &route("old"));
    fleet.platform.state.put_object("config", "main", json!({ "version": "not a number" }));
    for node in &fleet.nodes {
        wait_for("the unreadable document", async || !node.logged(&["event=entry_unreadable"]).is_empty()).await;
    }
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("later-{number}");
        let answer =
            fleet.call(number % fleet.nodes.len(), Method::GET, "/any/x", &id, Bytes::new()).await.expect("an answer");
        check_own(&fleet, &answer, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before, "nothing goes by the older routes");
}

/// Waits until a path behind a new route answers.
async fn wait_for_route(fleet: &RouteFleet, path: &str) {
    let mut number = 0;
    wait_for("the new route", async || {
        number += 1;
        let id = format!("{path}-{number}");
        let answer = get(fleet, path, &id).await;
        match answer.status.as_u16() {
            200 => true,
            // Not yet known, or not sure that there is none.
            404 | 503 => false,
            _ => panic!("{path}: {answer:?}"),
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_and_a_cut_watch_hide_no_change() {
    let fleet = start_single().await;
    let mut routes = vec![write_route("any", "/any/", &to_service("cart"))];
    for round in 0..3 {
        // The change lies in the forgotten part, or in the time of the outage.
        routes.push(write_route(&format!("more-{round}"), &format!("/more-{round}/"), &to_service("cart")));
        fleet.put_document(10 + round, &routes);
        fleet.platform.state.forget_history();
        wait_for_route(&fleet, &format!("/more-{round}/x")).await;
    }
    let outage = &fleet.platform.state.faults.outage;
    for round in 3..6 {
        outage.store(true, Ordering::Relaxed);
        // Wakes the waiting watches, which are cut then.
        routes.push(write_route(&format!("more-{round}"), &format!("/more-{round}/"), &to_service("cart")));
        fleet.put_document(10 + round, &routes);
        if round % 2 == 0 {
            fleet.platform.state.forget_history();
        }
        check_own(&fleet, &get(&fleet, "/any/x", &format!("out-{round}")).await, &format!("out-{round}"));
        outage.store(false, Ordering::Relaxed);
        wait_for_route(&fleet, &format!("/more-{round}/x")).await;
    }
    check_own(&fleet, &get(&fleet, "/any/x", "r-end").await, "r-end");
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_came_and_went_behind_a_cut_watch_are_known_after() {
    let fleet = start_pair().await;
    let outage = &fleet.platform.state.faults.outage;
    let reads = &fleet.platform.state.calls.reads;
    let listed = reads.load(Ordering::Relaxed);
    outage.store(true, Ordering::Relaxed);
    fleet.register(0, "draining");
    wait_for("the cut watch", async || !fleet.nodes[0].logged(&["event=feed_lost", "topic=servers"]).is_empty()).await;
    // A watch that was cut may hide changes, so everything is listed.
    wait_for("a listing", async || reads.load(Ordering::Relaxed) > listed).await;
    outage.store(false, Ordering::Relaxed);
    wait_for("the leaving server", async || !fleet.nodes[0].logged(&["event=server_leaving"]).is_empty()).await;
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("r-{number}");
        check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_finishes_what_it_has_and_gets_nothing_new() {
    let fleet = start_pair().await;
    fleet.servers[0].state.switches.work_ms.store(3_000, Ordering::Relaxed);
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    let callers = fleet.nodes[0].addresses.callers;
    let client = fleet.client.clone();
    let in_flight = tokio::spawn(async move {
        let headers = [("host", HOST), ("x-request-id", "r-long"), ("x-deadline-ms", "8000")];
        client.call(Method::POST, callers, "/once/x", &headers, Bytes::new(), WAIT_AT_MOST).await
    });
    wait_for("the request in flight", async || fleet.count_runs("r-long") == 1).await;
    fleet.register(0, "draining");
    wait_for("the leaving server", async || !fleet.nodes[0].logged(&["event=server_leaving"]).is_empty()).await;
    fleet.servers[1].state.switches.refuse.store(false, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_own(&fleet, &get(&fleet, path, &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1, "only the request in flight");
    check_own(&fleet, &in_flight.await.expect("a caller").expect("an answer"), "r-long");
    fleet.unregister(0);
    fleet.unregister(1);
    wait_for("no server", async || {
        let refused = get(&fleet, "/once/x", "r-none").await;
        refused.status == 503
    })
    .await;
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_without_an_entry_is_used_only_where_there_is_no_other() {
    let fleet = start_pair().await;
    fleet.unregister(0);
    wait_for("the entry gone", async || !fleet.nodes[0].logged(&["event=server_doubtful"]).is_empty()).await;
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("r-{number}");
        check_own(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before);
    let fleet = start_single().await;
    fleet.unregister(0);
    wait_for("the entry gone", async || {
        let is_gone = !fleet.nodes[0].logged(&["event=server_doubtful"]).is_empty();
        if !is_gone {
            check_own(&fleet, &get(&fleet, "/any/x", "r-alone").await, "r-alone");
        }
        is_gone
    })
    .await;
    wait_for("an end of the doubt", async || {
        let answer = get(&fleet, "/any/x", "r-after").await;
        match answer.status.as_u16() {
            200 => false,
            503 => true,
            _ => panic!("{answer:?}"),
        }
    })
    .await;
    let calls = fleet.servers[0].state.calls().len();
    assert_eq!(get(&fleet, "/any/x", "r-late").await.status, 503);
    assert_eq!(fleet.servers[0].state.calls().len(), calls);
    // Its entry comes back, and so does it.
    fleet.register(0, "ready");
    wait_for("the server again", async || get(&fleet, "/any/x", "r-again").await.status == 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_asked_to_stop_finishes_its_requests_and_exits_with_0() {
    let mut fleet = start_single().await;
    fleet.servers[0].state.switches.work_ms.store(3_500, Ordering::Relaxed);
    let callers = fleet.nodes[0].addresses.callers;
    let client = fleet.client.clone();
    let in_flight = tokio::spawn(async move {
        let headers = [("host", HOST), ("x-request-id", "r-long"), ("x-deadline-ms", "8000")];
        client.call(Method::POST, callers, "/once/x", &headers, Bytes::new(), WAIT_AT_MOST).await
    });
    wait_for("the request in flight", async || fleet.count_runs("r-long") == 1).await;
    send_signal(&fleet.nodes[0].process, "TERM").await;
    fleet.wait_ready(StatusCode::SERVICE_UNAVAILABLE).await.expect("a node that is not ready");
    // The balancer has not noticed yet, so requests still come.
    fleet.servers[0].state.switches.work_ms.store(0, Ordering::Relaxed);
    check_own(&fleet, &get(&fleet, "/any/x", "r-late").await, "r-late");
    check_own(&fleet, &in_flight.await.expect("a caller").expect("an answer"), "r-long");
    let status = tokio::time::timeout(WAIT_AT_MOST, fleet.nodes[0].process.wait()).await;
    let status = status.expect("an end").expect("a status");
    assert!(status.success(), "{status}");
    assert_eq!(fleet.count_calls("r-long"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resting_connection_is_closed_when_the_node_stops() {
    let mut fleet = start_single().await;
    let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    let request = format!("GET /any/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-0\r\n\r\n");
    caller.write_all(request.as_bytes()).await.expect("a sent request");
    let mut first = [0; 1];
    caller.read_exact(&mut first).await.expect("an answer");
    send_signal(&fleet.nodes[0].process, "TERM").await;
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(WAIT_AT_MOST, caller.read_to_end(&mut rest)).await;
    closed.expect("a closed connection").expect("a closed connection");
    let status = tokio::time::timeout(WAIT_AT_MOST, fleet.nodes[0].process.wait()).await;
    assert!(status.expect("an end").expect("a status").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_takes_its_call_along() {
    // Nothing but the caller's leaving ends a call while the test waits.
    let long = |kind: &str| json!({ "service": "cart", "routeType": kind, "timeoutMs": 120_000 });
    let routes =
        vec![write_route("any", "/any/", &long("safe")), write_route("once", "/once/", &long("non_idempotent"))];
    let plan =
        RouteFleetPlan { nodes: [1, 0], servers: vec![near("i-0", "cart")], routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    let state = &fleet.servers[0].state;
    state.switches.pause_ms.store(120_000, Ordering::Relaxed);
    for (number, path) in ["/any/x", "/once/x"].into_iter().enumerate() {
        let mut caller = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
        let id = format!("r-{number}");
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 120000\r\n\r\n");
        caller.write_all(request.as_bytes()).await.expect("a sent request");
        wait_for("the call", async || fleet.count_calls(&id) > 0).await;
        drop(caller);
        wait_for("the end of the call", async || state.abandoned.load(Ordering::Relaxed) > number as u64).await;
    }
    assert!(state.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_takes_the_calls_of_all_shards_along() {
    // So high a target that no node tells another anything before the test gives up.
    let servers: Vec<RouteServerPlan> = vec![near("i-0", "s-0"), far("i-1", "s-1"), far("i-2", "s-2")];
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
