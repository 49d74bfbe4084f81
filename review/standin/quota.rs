//! A team sends more than its limit at every node, and one node at a time runs several times slower: it is stopped and
//! continued by turns.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::Connection;
use crate::node::{BOUNDS, Fleet, Node, SIGCONT, SIGSTOP, SIX_NODES, ZONES};
use crate::server::{Journal, Server};
use crate::stall::StallWatch;
use crate::store::Store;

const HOST: &str = "premises.example";
const CAPACITY: (u64, u64, u64) = (40, 16, 6);
const SERVERS: usize = 6;
/// The team's limit, and the bounds on it.
const RATE_PER_S: f64 = 60.0;
const BURST: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(5);
/// How long after the test machine was held up the nodes may still be behind.
const MARGIN: Duration = Duration::from_secs(1);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Clients at each node.
const CLIENTS: usize = 5;
/// One of six nodes runs this many times slower for this long; then all rest, and another one follows.
const SLOWER: u64 = 5;
const SLOW_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(5);
/// In each period the node runs for a part of it only.
const PERIOD: Duration = Duration::from_millis(100);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"addr-get\",\"host\":\"{HOST}\",\"pathPrefix\":\"/addr/\",\
         \"service\":\"premises-reg\",\"routeType\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\
         \"maxAttempts\":3,\"priority\":2}}],\"services\":[{{\"name\":\"premises-reg\",\"healthPath\":\"/health\",\
         \"maxConnections\":200}}],\"tenants\":[{{\"name\":\"big\",\"apiKeys\":[\"key-of-big\"],\"priority\":1,\
         \"ratePerS\":{RATE_PER_S},\"burstSize\":{BURST}}},{{\"name\":\"small\",\"apiKeys\":[\"key-of-small\"],\
         \"priority\":1,\"ratePerS\":5,\"burstSize\":5}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}"
    )
}

struct Outcome {
    request: String,
    sent: Instant,
    status: u16,
}

fn call(client: usize, node: SocketAddr, is_over: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let mut connection: Option<Connection> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let request = format!("r-{client}-{number}");
        if connection.is_none() {
            connection = TcpStream::connect(node).ok().map(Connection::new);
        }
        let Some(open) = &mut connection else { continue };
        let message = format!(
            "GET /addr/{client}/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2000\r\n\
             Authorization: Bearer key-of-big\r\n\r\n"
        );
        let sent = Instant::now();
        let answer = open.write(message.as_bytes()).and_then(|()| open.read());
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let retry_after: f64 = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.header("retry-after"))
            .and_then(|seconds| seconds.parse().ok())
            .unwrap_or(0.0);
        if answer.is_err() {
            connection = None;
        }
        outcomes.lock().unwrap().push(Outcome { request, sent, status });
        let pause = Duration::from_millis(10) + Duration::from_secs_f64(retry_after.clamp(0.0, 0.3));
        std::thread::sleep(pause);
    }
}

/// Runs a node at a fraction of its speed.
fn slow_down(node: &Node) {
    let end = Instant::now() + SLOW_TIME;
    let running = PERIOD / SLOWER as u32;
    while Instant::now() < end {
        node.signal(SIGSTOP);
        std::thread::sleep(PERIOD - running);
        node.signal(SIGCONT);
        std::thread::sleep(running);
    }
}

pub fn run(setup: &Setup) -> i32 {
    let (store, platform) = Store::start();
    let journal = Arc::new(Journal::default());
    store.put("config", "main", &config());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|i| Server::start(&format!("i-{i}"), "premises-reg", ZONES[i % 3].0, CAPACITY, &journal))
        .collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry());
    }
    let mut bounds = BOUNDS.to_vec();
    bounds.extend([("quotaWindowS", "5"), ("quotaExcess", "0.1"), ("quotaSlack", "20")]);
    let fleet = Fleet { zones: ZONES.to_vec(), platform, folder: setup.temporary.clone(), bounds };
    let nodes = fleet.start(&SIX_NODES);
    let watch = StallWatch::start();
    let start = Instant::now();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..nodes.len() * CLIENTS)
        .map(|client| {
            let node = nodes[client % nodes.len()].callers;
            let (is_over, outcomes) = (is_over.clone(), outcomes.clone());
            std::thread::spawn(move || call(client, node, &is_over, &outcomes))
        })
        .collect();
    let mut slow = Vec::new();
    for node in &nodes {
        std::thread::sleep(PAUSE);
        let from = Instant::now();
        match setup.has_trouble {
            true => slow_down(node),
            false => std::thread::sleep(SLOW_TIME),
        }
        slow.push((node.name.clone(), from, Instant::now()));
    }
    std::thread::sleep(PAUSE);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let stalls = watch.end();
    drop(nodes);
    judge(setup, start, &slow, &stalls, &journal, &outcomes.lock().unwrap())
}

fn judge(
    setup: &Setup,
    start: Instant,
    slow: &[(String, Instant, Instant)],
    stalls: &[Instant],
    journal: &Journal,
    outcomes: &[Outcome],
) -> i32 {
    let sent: HashMap<&str, Instant> = outcomes.iter().map(|outcome| (outcome.request.as_str(), outcome.sent)).collect();
    let runs = journal.runs.lock().unwrap();
    // A request that two servers ran counts once.
    let mut counted = std::collections::HashSet::new();
    let first_runs = runs.iter().filter(|run| counted.insert(run.request.as_str()));
    let mut ran: Vec<(Instant, Instant)> =
        first_runs.filter_map(|run| Some((*sent.get(run.request.as_str())?, run.at))).collect();
    ran.sort_unstable();
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    // The most requests of a window are found in one that begins as a request is sent.
    let count = |from: Instant, at: usize| ran[at..].iter().filter(|(_, arrived)| *arrived <= from + WINDOW).count();
    // A window is not judged if the test machine was held up in it or shortly before.
    let is_held_up = |from: Instant| stalls.iter().any(|at| *at + MARGIN >= from && *at <= from + WINDOW);
    let windows: Vec<(Instant, usize)> = ran
        .iter()
        .enumerate()
        .filter(|(_, (from, _))| !is_held_up(*from))
        .map(|(at, (from, _))| (*from, count(*from, at)))
        .collect();
    let most = windows.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let ms = |at: Instant| at.duration_since(start).as_millis();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    outcomes.iter().for_each(|outcome| *statuses.entry(outcome.status).or_default() += 1);
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    let mut record = format!(
        "disruption {}; requests {}; statuses {statuses:?}; windows judged {} of {}; the most that ran in a window of 5 s {most}, allowed {limit}\n",
        setup.has_trouble,
        outcomes.len(),
        windows.len(),
        ran.len()
    );
    print!("{record}");
    for (name, from, to) in slow {
        let within = windows.iter().filter(|(at, _)| at >= from && *at + WINDOW <= *to + WINDOW / 2);
        let most = within.map(|(_, count)| *count).max().unwrap_or(0);
        let _ = writeln!(record, "{name} slow from {} ms to {} ms; most in a window {most}", ms(*from), ms(*to));
    }
    let over = windows.iter().filter(|(_, count)| *count as f64 > limit);
    for (from, count) in over {
        let _ = writeln!(record, "from {} ms to {} ms {count} ran QUOTA", ms(*from), ms(*from + WINDOW));
    }
    for run in runs.iter() {
        let sent = sent.get(run.request.as_str()).map_or(0, |sent| ms(*sent));
        let _ = writeln!(record, "{} sent at {sent} ms, ran at {} at {} ms", run.request, run.server, ms(run.at));
    }
    std::fs::write(setup.folder.join("record.txt"), record).expect("the record");
    let is_too_little = ran.is_empty() || windows.len() < ran.len() / 2;
    match (is_too_little, most as f64 > limit) {
        (true, _) => 2,
        (false, true) => 1,
        (false, false) => 0,
    }
}
