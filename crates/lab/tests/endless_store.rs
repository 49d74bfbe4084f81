//! The platform's store sends bytes that are no answer, without end, in a head or in a body, with real processes. The
//! node's process must stay within the memory of its machine, close the connections, and answer requests meanwhile.

use std::sync::atomic::Ordering;

use streamfold_lab::endless::{EndlessBytes, EndlessProxy};
use streamfold_lab::route_checks::{check_answer, get, local_server, service_target};
use streamfold_lab::route_fleet::{MachinePlan, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::usage::{peak_memory, settled_peak_memory};
use streamfold_lab::wait::wait_for;
use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Memory of a node's machine, in megabytes.
const MEMORY_MB: u32 = 160;
/// Faulty answers that are waited for: some of each topic of the store.
const ANSWERS: u64 = 12;
/// Requests of callers meanwhile.
const REQUESTS: usize = 20;

/// Bytes without end in each part of an answer: a beginning, and what follows it again and again.
const ENDLESS: [(&str, &str, &str); 10] = [
    ("no protocol", "", "\u{1}garbage"),
    ("a status line", "HTTP/1.1 200 ", "OK"),
    ("a header", "HTTP/1.1 200 OK\r\nX: ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("a body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("a body of a false length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x"),
    ("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
    ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"),
];

/// Waits until no other test runs, then starts a node whose store may become faulty.
async fn start() -> (MutexGuard<'static, ()>, RouteFleet, EndlessProxy) {
    let alone = ALONE.lock().await;
    let plan = RouteFleetPlan {
        servers: vec![local_server("i-0", "list")],
        routes: vec![write_route("list", "/list/", &service_target("list"))],
        machine: MachinePlan { memory_mb: MEMORY_MB, ..MachinePlan::default() },
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let proxy = EndlessProxy::start(fleet.platform.address).await.expect("a proxy");
    fleet.platform.address = proxy.address;
    fleet.add_node(0, "zone-a-0").await.expect("a node");
    fleet.wait_ready(http::StatusCode::OK).await.expect("a node that is ready");
    (alone, fleet, proxy)
}

/// Plays one kind of bytes and checks the node; returns its memory if that is too much.
async fn play(name: &str, endless: EndlessBytes) -> Option<String> {
    let (_alone, mut fleet, proxy) = start().await;
    let pid = fleet.nodes[0].process.id().expect("a running node");
    let before = peak_memory(pid).expect("its memory") >> 10;
    proxy.flood(endless);
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/list/x", &id).await, &id);
    }
    wait_for("closed connections", async || proxy.counts.closed.load(Ordering::SeqCst) >= ANSWERS).await;
    let ended = fleet.nodes[0].process.try_wait().expect("the state of the process");
    assert_eq!(ended, None, "{name}: the process has ended");
    let memory = settled_peak_memory(pid).await.expect("its memory") >> 10;
    let sent = proxy.counts.sent.load(Ordering::Relaxed) >> 10;
    println!("{name}: {before} KB before, {memory} KB at most, {sent} KB sent");
    check_answer(&fleet, &get(&fleet, "/list/x", "last").await, "last");
    (memory > u64::from(MEMORY_MB) << 10).then(|| format!("{name}: {memory} KB"))
}

/// Guards against answers of the store that are kept without a limit of their memory.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_the_store_stay_within_the_memory() {
    let mut exceeded = Vec::new();
    for (name, beginning, piece) in ENDLESS {
        let played = play(name, EndlessBytes::fast(beginning.as_bytes(), piece.as_bytes()));
        exceeded.extend(played.await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// The same, in drips.
#[tokio::test(flavor = "multi_thread")]
async fn slow_endless_answers_of_the_store_end_with_their_calls() {
    let mut exceeded = Vec::new();
    for (name, beginning, piece) in ENDLESS {
        let played = play(name, EndlessBytes::in_drips(beginning.as_bytes(), piece.as_bytes()));
        exceeded.extend(played.await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against whole answers that take far more memory once they are decoded than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_of_the_store_stay_within_the_memory() {
    const LEN: usize = 8_000_000;
    let lists = [("numbers", "0"), ("empty objects", "{}"), ("objects without a name", "{\"meta\":{}}")];
    let mut exceeded = Vec::new();
    for (name, element) in lists {
        let elements = vec![element; LEN / (element.len() + 1) / 2].join(",");
        let body = format!("{{\"asOf\":1,\"items\":[{elements}],\"events\":[{elements}]}}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        exceeded.extend(play(name, EndlessBytes::fast(answer.as_bytes(), b"garbage")).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}
