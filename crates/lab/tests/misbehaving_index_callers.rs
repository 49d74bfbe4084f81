//! Callers that do not behave, at a node that serves indexes, with real processes. As in `misbehaving_callers.rs`, the
//! process lives, its memory and its file descriptors stay within its machine, and an ordinary query is answered.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, Request};
use streamfold_lab::crowd::{CallerCrowd, write_head, write_tiny_chunks};
use streamfold_lab::fleet::{Fleet, INDEX, NodeHandle, TOKEN};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::server::ServerPlan;
use streamfold_lab::usage::{LoweredDescriptors, count_descriptors, settled_peak_memory};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_model::ByteSize;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Callers that read long answers slowly, and streams of one connection whose answers are not read.
const SLOW_READERS: usize = 40;
/// Callers that only open a connection.
const SILENT_CALLERS: usize = 400;
/// Callers whose body never ends.
const SLOW_WRITERS: usize = 120;
/// Callers whose head never ends, and bytes of it; a node accepts 65,536.
const HEAD_WRITERS: usize = 1_600;
const HEAD_LEN: usize = 60_000;
/// Callers whose body never ends and comes in chunks of one byte, and the chunks of each.
const CHUNK_WRITERS: usize = 20;
const CHUNKS: usize = 500_000;
/// Shards of the index, and bytes that each adds to an answer: 4 MB in all.
const SHARDS: usize = 20;
const SHARD_LEN: usize = (4 << 20) / SHARDS;
/// Bytes of a body that never ends; a node accepts 1,048,576.
const BODY_LEN: usize = 1_000_000;
/// What an answer is at least, in bytes.
const SHORT_LEN: usize = 64;

/// Memory of the machine, in bytes, and descriptors of the process.
const MEMORY: u64 = 100 << 20;
const MAX_FILES: u32 = 256;

/// Waits until no other test runs, then starts a node.
async fn start(padding: usize) -> (MutexGuard<'static, ()>, Fleet) {
    let alone = ALONE.lock().await;
    (alone, start_node(padding).await)
}

/// One node of a process of its own; servers add `padding` bytes to each shard.
async fn start_node(padding: usize) -> Fleet {
    let server = ServerPlan { padding, slots: 64, ..ServerPlan::default() };
    let settings = format!("{}memory: {}\n", FleetPlan::default().settings, ByteSize(MEMORY));
    let plan = FleetPlan {
        settings,
        domains: vec![DomainPlan { name: "vienna", nodes: 1, upstreams: SHARDS }],
        server,
        deadline: "8s",
        has_processes: true,
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("a fleet")
}

/// The head of a query with a body of this length.
fn write_query_head(length: usize) -> String {
    let (token, length) = (format!("Bearer {TOKEN}"), length.to_string());
    let headers = [("Host", "node"), ("Authorization", token.as_str()), ("Content-Length", length.as_str())];
    write_head("POST", &format!("/v1/indexes/{INDEX}/query"), &headers) + "\r\n"
}

/// Checks that the node's process lives within its machine and answers an ordinary query for one shard.
async fn check_node(fleet: &mut Fleet, name: &str) {
    let pid = check_process(fleet, name).await;
    let descriptors = count_descriptors(pid).expect("its descriptors");
    println!("{name}: {descriptors} descriptors");
    assert!(descriptors <= MAX_FILES as usize, "{name}: {descriptors} descriptors");
    check_query(fleet, name).await;
}

/// Checks that the node's process lives within the memory of its machine; returns its id.
async fn check_process(fleet: &mut Fleet, name: &str) -> u32 {
    let Some(NodeHandle::Process(process)) = &mut fleet.nodes[0].handle else { panic!("a node in a process") };
    assert_eq!(process.try_wait().expect("the state of the process"), None, "{name}: the process has ended");
    let pid = process.id().expect("a running process");
    let memory = settled_peak_memory(pid).await.expect("its memory");
    println!("{name}: {} KB", memory >> 10);
    assert!(memory <= MEMORY, "{name}: {} KB", memory >> 10);
    pid
}

async fn check_query(fleet: &Fleet, name: &str) {
    let address = fleet.nodes[0].addresses.callers;
    let path = format!("/v1/indexes/{INDEX}/query?shards=0");
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    let body = Bytes::from_static(b"{}");
    let answer = fleet.client.call(Method::POST, address, &path, &headers, body, MAX_WAIT).await.expect("an answer");
    assert!(answer.status.is_success(), "{name}: {answer:?}");
    assert!(answer.body.len() > SHORT_LEN, "{name}: {answer:?}");
}

/// Guards against answers that callers read slowly.
#[tokio::test(flavor = "multi_thread")]
async fn long_index_answers_read_slowly_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SHARD_LEN).await;
    let mut crowd = CallerCrowd::default();
    for _ in 0..SLOW_READERS {
        let request = (write_query_head(2) + "{}").into_bytes();
        crowd.add_slow_reader(fleet.nodes[0].addresses.callers, request).await;
    }
    wait_for("slow readers", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_READERS).await;
    check_node(&mut fleet, "index-answers").await;
}

/// The same, for answers on the streams of one HTTP/2 connection.
#[tokio::test(flavor = "multi_thread")]
async fn unread_index_answers_on_one_connection_stay_within_the_memory() {
    let (_alone, mut fleet) = start(SHARD_LEN).await;
    let address = fleet.nodes[0].addresses.callers;
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
    let connection = tokio::spawn(connection);
    let mut unread = Vec::new();
    for _ in 0..SLOW_READERS {
        let request = Request::post(format!("http://{address}/v1/indexes/{INDEX}/query"));
        let request = request.header("authorization", format!("Bearer {TOKEN}")).body(()).expect("a request");
        // The node may have closed the connection.
        let Ok(ready) = sender.ready().await else { break };
        sender = ready;
        let Ok((response, mut body)) = sender.send_request(request, false) else { break };
        let _ = body.send_data(Bytes::from_static(b"{}"), true);
        // The head of an answer comes once the whole answer is made. Its body is kept and not read.
        unread.push(response.await);
    }
    check_node(&mut fleet, "index-streams").await;
    drop(unread);
    connection.abort();
}

/// Guards against bodies that are bounded one by one only.
#[tokio::test(flavor = "multi_thread")]
async fn index_bodies_that_never_end_stay_within_the_memory() {
    let (_alone, mut fleet) = start(0).await;
    let mut crowd = CallerCrowd::default();
    for _ in 0..SLOW_WRITERS {
        let mut request = write_query_head(BODY_LEN + 1_000).into_bytes();
        request.resize(request.len() + BODY_LEN, b' ');
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, request);
    }
    wait_for("open bodies", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_WRITERS).await;
    check_node(&mut fleet, "index-bodies").await;
}

/// Guards against bodies whose pieces take far more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn index_bodies_in_chunks_of_one_byte_stay_within_the_memory() {
    let (_alone, mut fleet) = start(0).await;
    let mut crowd = CallerCrowd::default();
    let token = format!("Bearer {TOKEN}");
    let headers = [("Host", "node"), ("Authorization", token.as_str()), ("Transfer-Encoding", "chunked")];
    let head = format!("{}\r\n", write_head("POST", &format!("/v1/indexes/{INDEX}/query"), &headers));
    for _ in 0..CHUNK_WRITERS {
        let request = [head.clone().into_bytes(), write_tiny_chunks(CHUNKS)].concat();
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, request);
    }
    wait_for("open bodies", async || crowd.counts.begun.load(Ordering::Relaxed) == CHUNK_WRITERS).await;
    check_node(&mut fleet, "index-tiny-chunks").await;
}

/// Guards against heads that are bounded one by one only.
#[tokio::test(flavor = "multi_thread")]
async fn index_heads_that_never_end_stay_within_the_memory() {
    let (_alone, mut fleet) = start(0).await;
    let mut crowd = CallerCrowd::default();
    let mut request = format!("{}X-Long: ", write_head("POST", "/v1/tickets", &[("Host", "node")])).into_bytes();
    request.resize(HEAD_LEN, b'x');
    for _ in 0..HEAD_WRITERS {
        crowd.add_slow_writer(fleet.nodes[0].addresses.callers, request.clone());
    }
    wait_for("open heads", async || crowd.counts.begun.load(Ordering::Relaxed) == HEAD_WRITERS).await;
    let pid = check_process(&mut fleet, "index-heads").await;
    assert!(count_descriptors(pid).is_some_and(|count| count <= HEAD_WRITERS));
    check_query(&fleet, "index-heads").await;
}

/// Guards against a stop that waits for callers who do not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_of_a_node_that_serves_indexes_ends_while_answers_are_read_slowly() {
    let (_alone, mut fleet) = start(SHARD_LEN).await;
    let mut crowd = CallerCrowd::default();
    for _ in 0..SLOW_READERS {
        let request = (write_query_head(2) + "{}").into_bytes();
        crowd.add_slow_reader(fleet.nodes[0].addresses.callers, request).await;
    }
    wait_for("slow readers", async || crowd.counts.begun.load(Ordering::Relaxed) == SLOW_READERS).await;
    let handle = fleet.nodes[0].handle.take().expect("a running node");
    assert!(handle.stop().await, "the process ends with success");
}

/// Guards against callers that take all file descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn index_connections_without_a_request_leave_descriptors_for_others() {
    // The limit holds for the whole process of the tests, so no other one may run meanwhile.
    let _alone = ALONE.lock().await;
    let lowered = LoweredDescriptors::set(MAX_FILES).expect("a lower limit");
    let mut fleet = start_node(0).await;
    drop(lowered);
    let mut crowd = CallerCrowd::default();
    (0..SILENT_CALLERS).for_each(|_| crowd.add_silent(fleet.nodes[0].addresses.callers, Vec::new()));
    wait_for("connections", async || crowd.counts.connected.load(Ordering::Relaxed) == SILENT_CALLERS).await;
    check_node(&mut fleet, "index-silent").await;
}
