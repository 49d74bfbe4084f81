//! Callers that do not behave, at a node that routes requests, with real processes: answers read slowly, connections
//! that send nothing, heads and bodies that never end, requests whose answers nobody reads. Whatever they do, the
//! process lives, its memory and its file descriptors stay within its machine, and an ordinary request is answered.
//!
//! The machine of each test is smaller than the users', so that a small crowd is too much for a node that counts
//! nothing. The tests run one after the other, since each measures a process.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_lab::client::CallAnswer;
use streamfold_lab::crowd::{CallerCrowd, write_head, write_tiny_chunks};
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_checks::{check_answer, get, local_server, remote_server, service_target, wait_delegated};
use streamfold_lab::route_fleet::{HOST, MachinePlan, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::usage::{count_descriptors, limit_descriptors, settled_peak_memory};
use streamfold_lab::wait::{wait_for, wait_within};
use streamfold_standin::documents::{CONFIG, CONFIG_NAME, write_document};
use streamfold_standin::names;
use streamfold_standin::server::RouteServerPlan;
use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Callers that read long answers slowly.
const SLOW_READERS: usize = 40;
/// Callers that only open a connection.
const SILENT_CALLERS: usize = 400;
/// Callers whose head or body never ends.
const SLOW_WRITERS: usize = 800;
/// Callers whose body never ends and comes in chunks of one byte.
const CHUNK_WRITERS: usize = 60;
/// Requests on one connection whose answers are not read.
const UNREAD_REQUESTS: usize = 20_000;
/// Requests with long bodies for a node that does not read.
const UNREAD_BATCHES: usize = 400;
/// Records of a long answer: 4 MB.
const LONG_RECORDS: usize = (4 << 20) / 16;
/// Shards of a gathered answer that is as long.
const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// Bytes of a body that never ends; the document allows 65,536.
const BODY_LEN: usize = 64_000;
/// Bytes of a head that never ends, and the longest that the document of that test allows.
const HEAD_LEN: usize = 60_000;
const MAX_HEAD_LEN: usize = 65_536;

/// The machine of tests with few long answers, and the one of tests with many small holdings.
const LARGE_MACHINE: MachinePlan = MachinePlan { memory_mb: 100, max_files: 4_100 };
const SMALL_MACHINE: MachinePlan = MachinePlan { memory_mb: 64, max_files: 4_100 };
/// The machine of tests with more connections than descriptors.
const FEW_FILES: MachinePlan = MachinePlan { memory_mb: 100, max_files: 256 };

/// A server with long answers.
fn long_server(id: &str, service: &str, records: usize) -> RouteServerPlan {
    RouteServerPlan { records, ..local_server(id, service) }
}

/// The routes of a node: `/long/` with answers of 4 MB, `/all/` that gathers as much, and `/list/` with short answers.
fn routes() -> Vec<Value> {
    let all = json!({ "gather": SHARDS, "topK": LONG_RECORDS, "minCoverage": 0.5 });
    vec![
        write_route("long", "/long/", &service_target("long")),
        write_route("all", "/all/", &all),
        write_route("list", "/list/", &service_target("list")),
    ]
}

/// One node on a machine, with servers near it.
async fn start(machine: MachinePlan) -> (MutexGuard<'static, ()>, RouteFleet) {
    let alone = ALONE.lock().await;
    let shards = SHARDS.iter().map(|shard| long_server(shard, shard, LONG_RECORDS / SHARDS.len()));
    let servers = shards.chain([long_server("i-long", "long", LONG_RECORDS), local_server("i-list", "list")]);
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: servers.collect(),
        routes: routes(),
        machine,
        ..RouteFleetPlan::default()
    };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    // Their answers are made before the crowd comes.
    fleet.servers.iter().for_each(|server| drop(server.state.body()));
    (alone, fleet)
}

/// The bytes of a complete request without a body.
fn write_request(path: &str, id: &str) -> Vec<u8> {
    let head = write_head("GET", path, &[("Host", HOST), (names::REQUEST_ID, id), (names::DEADLINE_MS, "8000")]);
    format!("{head}\r\n").into_bytes()
}

/// The bytes of a request that lacks the end of its body.
fn write_open_body(path: &str, id: &str) -> Vec<u8> {
    let length = (BODY_LEN + 1_000).to_string();
    let headers =
        [("Host", HOST), (names::REQUEST_ID, id), (names::DEADLINE_MS, "8000"), ("Content-Length", length.as_str())];
    let mut bytes = format!("{}\r\n", write_head("POST", path, &headers)).into_bytes();
    bytes.resize(bytes.len() + BODY_LEN, b'x');
    bytes
}

/// The bytes of a request that lacks the end of its head.
fn write_open_head(path: &str) -> Vec<u8> {
    let mut bytes = format!("{}X-Long: ", write_head("GET", path, &[("Host", HOST)])).into_bytes();
    bytes.resize(HEAD_LEN, b'x');
    bytes
}

/// Checks what must hold of a node whatever its callers do: its process lives, within the memory and the descriptors of
/// its machine, and it answers an ordinary request.
async fn check_node(fleet: &mut RouteFleet, machine: MachinePlan, name: &str) {
    check_process(fleet, machine, name).await;
    let answer = get(fleet, "/list/x", name).await;
    check_answer(fleet, &answer, name);
}

async fn check_process(fleet: &mut RouteFleet, machine: MachinePlan, name: &str) {
    let process = &mut fleet.nodes[0].process;
    assert_eq!(process.try_wait().expect("the state of the process"), None, "{name}: the process has ended");
    let pid = process.id().expect("a running process");
    let memory = settled_peak_memory(pid).await.expect("its memory");
    let descriptors = count_descriptors(pid).expect("its descriptors");
    println!("{name}: {} KB, {descriptors} descriptors", memory >> 10);
    assert!(memory <= u64::from(machine.memory_mb) << 20, "{name}: {} KB", memory >> 10);
    assert!(descriptors <= machine.max_files as usize, "{name}: {descriptors} descriptors");
}

/// Starts callers that read the answers of a path slowly, and waits until each has begun to read or was turned away.
async fn add_slow_readers(fleet: &RouteFleet, path: &str) -> CallerCrowd {
    let mut crowd = CallerCrowd::default();
    for number in 0..SLOW_READERS {
        let request = write_request(path, &format!("slow-{number}"));
        crowd.add_slow_reader(fleet.nodes[0].addresses.callers, request).await;
    }
    wait_for("slow readers", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_READERS).await;
    crowd
}

/// Guards against answers that are counted only while they are read from the server: those that callers read slowly took
/// all memory.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_read_slowly_stay_within_the_memory() {
    let (_alone, mut fleet) = start(LARGE_MACHINE).await;
    let _crowd = add_slow_readers(&fleet, "/long/x").await;
    check_node(&mut fleet, LARGE_MACHINE, "long-answers").await;
}

/// The same, for answers that the node makes of the answers of shards.
#[tokio::test(flavor = "multi_thread")]
async fn gathered_answers_read_slowly_stay_within_the_memory() {
    let (_alone, mut fleet) = start(LARGE_MACHINE).await;
    let _crowd = add_slow_readers(&fleet, "/all/x").await;
    check_node(&mut fleet, LARGE_MACHINE, "gathered-answers").await;
}

/// Guards against a bound that cuts off a slow reader though there is room for it.
#[tokio::test(flavor = "multi_thread")]
async fn one_slow_reader_gets_its_whole_answer() {
    let (_alone, mut fleet) = start(LARGE_MACHINE).await;
    let mut crowd = CallerCrowd::default();
    let request = write_request("/long/x", "one-slow");
    crowd.add_slow_reader(fleet.nodes[0].addresses.callers, request).await;
    let counts = crowd.counts.clone();
    let is_whole = async || counts.read.load(Ordering::Relaxed) > LONG_RECORDS * 16;
    wait_within(streamfold_lab::wait::MAX_WAIT * 4, "the whole answer", is_whole).await;
    check_node(&mut fleet, LARGE_MACHINE, "one-slow-reader").await;
}

/// Guards against callers that take all file descriptors: the node could reach no server, and other callers not the node.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request_leave_descriptors_for_others() {
    let (_alone, mut fleet) = start(FEW_FILES).await;
    let pid = fleet.nodes[0].process.id().expect("a running process");
    limit_descriptors(pid, FEW_FILES.max_files).expect("a lower limit");
    let mut crowd = CallerCrowd::default();
    (0..SILENT_CALLERS).for_each(|_| crowd.add_silent(fleet.nodes[0].addresses.callers, Vec::new()));
    wait_for("connections", async || crowd.counts.connected.load(Ordering::Relaxed) == SILENT_CALLERS).await;
    check_node(&mut fleet, FEW_FILES, "silent").await;
}

/// The same, for the ports for readiness and metrics.
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_readiness_and_metrics_ports_leave_descriptors_for_others() {
    let (_alone, mut fleet) = start(FEW_FILES).await;
    let pid = fleet.nodes[0].process.id().expect("a running process");
    limit_descriptors(pid, FEW_FILES.max_files).expect("a lower limit");
    let mut crowd = CallerCrowd::default();
    let addresses = fleet.nodes[0].addresses;
    for address in [addresses.ready, addresses.metrics] {
        (0..SILENT_CALLERS / 2).for_each(|_| crowd.add_silent(address, Vec::new()));
    }
    wait_for("connections", async || crowd.counts.connected.load(Ordering::Relaxed) == SILENT_CALLERS).await;
    check_node(&mut fleet, FEW_FILES, "silent-probes").await;
    assert_eq!(fleet.ready_status(0).await, Some(StatusCode::OK));
}

/// Guards against metrics that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn unread_metrics_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SMALL_MACHINE).await;
    let mut crowd = CallerCrowd::default();
    let request = write_request("/metrics", "metrics");
    for _ in 0..SLOW_READERS {
        crowd.add_silent(fleet.nodes[0].addresses.metrics, request.repeat(UNREAD_REQUESTS / SLOW_READERS));
    }
    wait_for("connections", async || crowd.counts.connected.load(Ordering::Relaxed) == SLOW_READERS).await;
    check_node(&mut fleet, SMALL_MACHINE, "unread-metrics").await;
}

/// Guards against bodies that are bounded one by one only.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_end_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SMALL_MACHINE).await;
    let mut crowd = CallerCrowd::default();
    for number in 0..SLOW_WRITERS {
        let request = write_open_body("/list/x", &format!("body-{number}"));
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, request);
    }
    wait_for("open bodies", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_WRITERS).await;
    check_node(&mut fleet, SMALL_MACHINE, "open-bodies").await;
}

/// Guards against bodies whose pieces take far more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SMALL_MACHINE).await;
    let mut crowd = CallerCrowd::default();
    for number in 0..CHUNK_WRITERS {
        let id = format!("chunks-{number}");
        let headers = [
            ("Host", HOST),
            (names::REQUEST_ID, id.as_str()),
            (names::DEADLINE_MS, "8000"),
            ("Transfer-Encoding", "chunked"),
        ];
        let head = format!("{}\r\n", write_head("POST", "/list/x", &headers));
        let request = [head.into_bytes(), write_tiny_chunks(BODY_LEN)].concat();
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, request);
    }
    wait_for("open bodies", async || crowd.counts.begun.load(Ordering::Relaxed) == CHUNK_WRITERS).await;
    check_node(&mut fleet, SMALL_MACHINE, "tiny-chunks").await;
}

/// Guards against heads that are bounded one by one only.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_never_end_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SMALL_MACHINE).await;
    let fresh = write_route("fresh", "/fresh/", &service_target("list"));
    let mut document = write_document(2, &[routes(), vec![fresh]].concat());
    document["limits"]["maxHeaderBytes"] = json!(MAX_HEAD_LEN);
    fleet.platform.state.put_object(CONFIG, CONFIG_NAME, document);
    wait_for("the document", async || get(&fleet, "/fresh/x", "fresh").await.status.is_success()).await;
    let mut crowd = CallerCrowd::default();
    for _ in 0..SLOW_WRITERS {
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, write_open_head("/list/x"));
    }
    wait_for("open heads", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_WRITERS).await;
    check_node(&mut fleet, SMALL_MACHINE, "open-heads").await;
}

/// Guards against requests that are read from a connection although nobody reads the answers to those before them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_reader_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SMALL_MACHINE).await;
    let mut crowd = CallerCrowd::default();
    let request = write_request("/list/x", "unread");
    crowd.add_silent(fleet.nodes[0].addresses.callers, request.repeat(UNREAD_REQUESTS));
    wait_for("requests", async || !fleet.nodes[0].logged(&["event=request ", "request=unread"]).is_empty()).await;
    check_node(&mut fleet, SMALL_MACHINE, "unread").await;
}

/// Guards against bodies that wait, once for each batch, for a node that does not read.
#[tokio::test(flavor = "multi_thread")]
async fn batches_for_a_node_that_does_not_read_stay_within_the_memory() {
    let _alone = ALONE.lock().await;
    let shards = SHARDS.iter().map(|shard| remote_server(&format!("{shard}-far"), shard));
    let servers = shards.chain([local_server("i-list", "list")]).collect();
    let all = json!({ "gather": SHARDS, "topK": 7, "minCoverage": 0.5 });
    let routes = vec![write_route("all", "/all/", &all), write_route("list", "/list/", &service_target("list"))];
    let plan = RouteFleetPlan { nodes: [1, 1], servers, routes, machine: SMALL_MACHINE, ..RouteFleetPlan::default() };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    wait_delegated(&fleet, SHARDS.len()).await;
    pause_process(&fleet.nodes[1].process).await;
    let post = |number: usize| {
        let (fleet, id) = (&fleet, format!("batch-{number}"));
        let body = Bytes::from(vec![b'x'; BODY_LEN]);
        async move { fleet.call(0, Method::POST, "/all/x", &id, body).await.ok() }
    };
    let answers: Vec<Option<CallAnswer>> = join_all((0..UNREAD_BATCHES).map(post)).await;
    send_signal(&fleet.nodes[1].process, "CONT").await;
    println!("batches: {} answers", answers.iter().flatten().count());
    check_node(&mut fleet, SMALL_MACHINE, "batches").await;
}

/// Guards against a stop that waits for callers who do not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_while_answers_are_read_slowly() {
    let (_alone, mut fleet) = start(LARGE_MACHINE).await;
    let _crowd = add_slow_readers(&fleet, "/long/x").await;
    send_signal(&fleet.nodes[0].process, "TERM").await;
    wait_for("the end of the process", async || {
        fleet.nodes[0].process.try_wait().expect("the state of the process").is_some_and(|status| status.success())
    })
    .await;
}
