//! Upstreams, the platform's store and other nodes send bytes that are no answer, without end, to a node that serves
//! indexes, with real processes. As in `endless_store.rs`, its process must stay within the memory of its machine, close
//! the connections, and answer meanwhile.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use streamfold_lab::endless::{EndlessBytes, EndlessPeer, EndlessProxy};
use streamfold_lab::fleet::{Fleet, FleetNode, INDEX, NodeHandle, TOKEN};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::usage::settled_peak_memory;
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_model::ByteSize;
use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Memory of the machine, in bytes.
const MEMORY: u64 = 160 << 20;
/// Upstreams of the index. All servers but that of the first shard become faulty.
const UPSTREAMS: usize = 20;
/// Faulty answers that are waited for.
const ANSWERS: u64 = 40;
/// Queries for all shards at the same time, whose answers the faulty servers give, and queries for the first shard.
const LONG_QUERIES: usize = 20;
const QUERIES: usize = 20;

/// Bytes without end in each part of an answer: a beginning, and what follows it again and again.
const ENDLESS: [(&str, &str, &str); 7] = [
    ("no protocol", "", "\u{1}garbage"),
    ("a header", "HTTP/1.1 200 OK\r\nX: ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("a body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"),
];

fn plan(upstreams: usize) -> FleetPlan {
    FleetPlan {
        settings: format!("{}memory: {}\n", FleetPlan::default().settings, ByteSize(MEMORY)),
        domains: vec![DomainPlan { name: "vienna", nodes: 1, upstreams }],
        servers: 1,
        deadline: "4s",
        has_processes: true,
        ..FleetPlan::default()
    }
}

/// Sends a query for some shards, or all.
async fn query(fleet: &Fleet, node: &FleetNode, shards: &str) -> Option<http::StatusCode> {
    let path = format!("/v1/indexes/{INDEX}/query{shards}");
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    let body = Bytes::from_static(b"{}");
    let answer = fleet.client.call(Method::POST, node.addresses.callers, &path, &headers, body, MAX_WAIT).await;
    answer.ok().map(|answer| answer.status)
}

/// Returns the memory of a node's process if it is too much.
async fn find_excess(node: &mut FleetNode, name: &str) -> Option<String> {
    let Some(NodeHandle::Process(process)) = &mut node.handle else { panic!("a node in a process") };
    assert_eq!(process.try_wait().expect("the state of the process"), None, "{name}: the process has ended");
    let pid = process.id().expect("a running process");
    let memory = settled_peak_memory(pid).await.expect("its memory");
    println!("{name}: {} KB", memory >> 10);
    (memory > MEMORY).then(|| format!("{name}: {} KB", memory >> 10))
}

/// A fleet whose servers are behind proxies that become faulty, and what they have to send.
async fn start_upstreams() -> (MutexGuard<'static, ()>, Fleet, Vec<EndlessProxy>) {
    let alone = ALONE.lock().await;
    let fleet = Fleet::start(plan(UPSTREAMS)).await.expect("a fleet");
    let mut proxies = Vec::new();
    let mut config = fleet.config.replace("{failure_domain: vienna,", "{failure_domain: vienna, protocol: http1,");
    for server in fleet.servers.iter().skip(1).flatten().flatten() {
        let proxy = EndlessProxy::start(server.address).await.expect("a proxy");
        config = config.replace(&format!("\"{}\"", server.address), &format!("\"{}\"", proxy.address));
        proxies.push(proxy);
    }
    fleet.apply(&config).await.expect("a configuration");
    wait_for("a query of all shards", async || query(&fleet, &fleet.nodes[0], "").await == Some(http::StatusCode::OK))
        .await;
    (alone, fleet, proxies)
}

async fn play_upstreams(name: &str, endless: &EndlessBytes) -> Option<String> {
    let (_alone, mut fleet, proxies) = start_upstreams().await;
    proxies.iter().for_each(|proxy| proxy.flood(endless.clone()));
    let long = futures_util::future::join_all((0..LONG_QUERIES).map(|_| query(&fleet, &fleet.nodes[0], "")));
    let short = async {
        for _ in 0..QUERIES {
            let status = query(&fleet, &fleet.nodes[0], "?shards=0").await;
            assert_eq!(status, Some(http::StatusCode::OK), "{name}");
        }
    };
    let (answers, ()) = tokio::join!(long, short);
    assert!(answers.iter().all(Option::is_some), "{name}: {answers:?}");
    let closed = || proxies.iter().map(|proxy| proxy.counts.closed.load(Ordering::SeqCst)).sum::<u64>();
    wait_for("closed connections", async || closed() >= ANSWERS).await;
    find_excess(&mut fleet.nodes[0], name).await
}

/// Guards against answers of upstreams that are kept without a limit of their memory.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_upstreams_stay_within_the_memory() {
    let mut exceeded = Vec::new();
    for (name, beginning, piece) in ENDLESS {
        exceeded.extend(play_upstreams(name, &EndlessBytes::fast(beginning.as_bytes(), piece.as_bytes())).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// The same, in drips.
#[tokio::test(flavor = "multi_thread")]
async fn slow_endless_answers_of_upstreams_end_with_their_calls() {
    let mut exceeded = Vec::new();
    for (name, beginning, piece) in ENDLESS {
        exceeded.extend(play_upstreams(name, &EndlessBytes::in_drips(beginning.as_bytes(), piece.as_bytes())).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against answers of the store that a node that serves indexes keeps without a limit of their memory.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_the_store_stay_within_the_memory_of_an_index_node() {
    let mut exceeded = Vec::new();
    for (name, beginning, piece) in ENDLESS {
        let _alone = ALONE.lock().await;
        let mut fleet = Fleet::start(plan(1)).await.expect("a fleet");
        let proxy = EndlessProxy::start(fleet.platform.address).await.expect("a proxy");
        fleet.platform.address = proxy.address;
        let second = fleet.add_node("vienna", "vienna-1").await.expect("a node");
        fleet.wait_ready().await.expect("a node that is ready");
        proxy.flood(EndlessBytes::fast(beginning.as_bytes(), piece.as_bytes()));
        for _ in 0..QUERIES {
            assert_eq!(query(&fleet, &fleet.nodes[second], "").await, Some(http::StatusCode::OK), "{name}");
        }
        wait_for("closed connections", async || proxy.counts.closed.load(Ordering::SeqCst) >= 2).await;
        exceeded.extend(find_excess(&mut fleet.nodes[second], name).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against messages of a faulty node that fill the memory of the nodes that ask it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_messages_of_another_node_stay_within_the_memory_of_an_index_node() {
    let _alone = ALONE.lock().await;
    let mut fleet = Fleet::start(plan(1)).await.expect("a fleet");
    let peer = EndlessPeer::start().await.expect("a faulty node");
    // The next node takes the faulty one for a seed, besides the first.
    let first = fleet.nodes[0].addresses.peers;
    fleet.nodes[0].addresses.peers = peer.address;
    let second = fleet.add_node("vienna", "vienna-1").await.expect("a node");
    fleet.nodes[0].addresses.peers = first;
    wait_for("messages without end", async || peer.ended.load(Ordering::SeqCst) >= ANSWERS).await;
    assert_eq!(find_excess(&mut fleet.nodes[second], "another node").await, None);
    assert_eq!(query(&fleet, &fleet.nodes[0], "").await, Some(http::StatusCode::OK));
}
