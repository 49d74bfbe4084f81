//! Servers leave without a word while one machine at a time stands still. Requests must stop to reach a server
//! `drainMs` after its entry has gone.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::Connection;
use crate::node::{BOUNDS, Fleet, SIGCONT, SIGSTOP, ZONES};
use crate::random::random;
use crate::server::{Journal, Server};
use crate::stall::StallWatch;
use crate::store::Store;

const HOST: &str = "booking.example";
/// Four nodes in the first zone, as after `add_nodes`, and one in each other zone.
const NODES: [&str; 6] = ["bne-hall", "bne-hall", "bne-hall", "bne-hall", "scc-hall", "twb-hall"];
const FROZEN: usize = 4;
/// Shards with two servers each in the first zone, with two slots, a queue of 8 and 8 ms of work, of which one request
/// in a hundred takes five times as long.
const SHARDS: usize = 32;
const CAPACITY: (u64, u64, u64) = (2, 8, 8);
const PAUSE_MS: u64 = 150;
const TAIL_PERMILLE: u64 = 10;
/// Clients at each node, and the mean pause between their requests in milliseconds.
const CLIENTS: usize = 6;
const THINK_MS: u64 = 200;
/// Each of the four nodes stands still twice for 4 s, 10 s after the one before.
const ROUNDS: usize = 8;
const FREEZE_TIME: Duration = Duration::from_secs(4);
const ROUND_TIME: Duration = Duration::from_secs(10);
/// Servers of as many shards leave in each round, this long after the node has stopped.
const LEAVING: usize = SHARDS / ROUNDS;
const LEAVE_AFTER: Duration = Duration::from_millis(10);
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long a server that leaves serves on.
const SERVE_ON: Duration = Duration::from_secs(8);

fn config() -> String {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("\"field-desk-{shard}\"")).collect();
    let services: Vec<String> = names
        .iter()
        .map(|name| format!("{{\"name\":{name},\"healthPath\":\"/health\",\"maxConnections\":25}}"))
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"slot-find\",\"host\":\"{HOST}\",\"pathPrefix\":\"/slots/\",\
         \"gather\":[{}],\"topK\":10,\"minCoverage\":0.89,\"routeType\":\"safe\",\"timeoutMs\":800,\
         \"targetLatencyMs\":120,\"maxAttempts\":3,\"priority\":1}}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}",
        names.join(","),
        services.join(",")
    )
}

struct Outcome {
    request: String,
    node: String,
    sent: Instant,
    status: u16,
}

fn call(client: usize, node: (String, SocketAddr), is_over: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let mut connection: Option<Connection> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let request = format!("r-{client}-{number}");
        if connection.is_none() {
            connection = TcpStream::connect(node.1).ok().map(Connection::new);
        }
        let Some(open) = &mut connection else { continue };
        // The deadline of the request, and a margin.
        let _ = open.stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        let message = format!(
            "GET /slots/{client}/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 800\r\n\r\n"
        );
        let sent = Instant::now();
        let answer = open.write(message.as_bytes()).and_then(|()| open.read());
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        if answer.is_err() {
            connection = None;
        }
        outcomes.lock().unwrap().push(Outcome { request, node: node.0.clone(), sent, status });
        std::thread::sleep(Duration::from_millis(THINK_MS / 2 + random() % THINK_MS));
    }
}

/// The fewest rounds that have to be judged.
const MIN_JUDGED: usize = 6;

/// A server that left, and a span in which no request may reach it.
struct Departure {
    server: String,
    gone: Instant,
    frozen: String,
    until: Instant,
}

pub fn run(setup: &Setup) -> i32 {
    let (store, platform) = Store::start();
    let journal = Arc::new(Journal::default());
    store.put("config", "main", &config());
    let servers: Vec<Arc<Server>> = (0..SHARDS * 2)
        .map(|i| {
            let (shard, zone) = (i / 2, ZONES[0].0);
            Server::start(&format!("i-{shard}-{}", i % 2), &format!("field-desk-{shard}"), zone, CAPACITY, &journal)
        })
        .collect();
    for server in &servers {
        server.pause_ms.store(PAUSE_MS, Ordering::Relaxed);
        server.tail_permille.store(TAIL_PERMILLE, Ordering::Relaxed);
        store.put("servers", &server.id, &server.entry());
    }
    let fleet = Fleet { zones: ZONES.to_vec(), platform, folder: setup.temporary.clone(), bounds: BOUNDS.to_vec() };
    let nodes = fleet.start(&NODES);
    let start = Instant::now();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..nodes.len() * CLIENTS)
        .map(|client| {
            let node = &nodes[client % nodes.len()];
            let node = (node.name.clone(), node.callers);
            let (is_over, outcomes) = (is_over.clone(), outcomes.clone());
            std::thread::spawn(move || call(client, node, &is_over, &outcomes))
        })
        .collect();
    let watch = StallWatch::start();
    std::thread::sleep(ROUND_TIME);
    let mut departures = Vec::new();
    for round in 0..ROUNDS {
        let begun = Instant::now();
        let node = &nodes[round % FROZEN];
        if setup.has_trouble {
            node.signal(SIGSTOP);
        }
        std::thread::sleep(LEAVE_AFTER);
        let leaving: Vec<_> =
            (0..LEAVING).map(|i| servers[(round * LEAVING + i) * 2 + random() as usize % 2].clone()).collect();
        for server in &leaving {
            store.remove("servers", &server.id);
            let (server, gone, frozen) = (server.id.clone(), Instant::now(), node.name.clone());
            departures.push(Departure { server, gone, frozen, until: begun + FREEZE_TIME });
        }
        std::thread::sleep(FREEZE_TIME.saturating_sub(begun.elapsed()));
        if setup.has_trouble {
            node.signal(SIGCONT);
        }
        std::thread::sleep(SERVE_ON.saturating_sub(begun.elapsed()));
        leaving.iter().for_each(|server| server.is_ended.store(true, Ordering::Relaxed));
        std::thread::sleep(ROUND_TIME.saturating_sub(begun.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let stalls = watch.end();
    drop(nodes);
    let is_held_up = |departure: &Departure| {
        let begun = departure.until - FREEZE_TIME - Duration::from_secs(1);
        stalls.iter().any(|at| *at >= begun && *at <= departure.until)
    };
    let (held_up, judged): (Vec<_>, Vec<_>) = departures.into_iter().partition(is_held_up);
    for departure in &held_up {
        println!("not judged, the test machine was held up: the round in which {} left", departure.server);
    }
    if judged.len() < MIN_JUDGED * LEAVING {
        return 2;
    }
    judge(setup, start, &judged, &journal, &outcomes.lock().unwrap())
}

/// Counts the requests that reached a server later than `drainMs` after its entry had gone. Only the time until the
/// stopped node runs again is judged: that node sends nothing then, so each such request came from machines in touch.
fn judge(setup: &Setup, start: Instant, departures: &[Departure], journal: &Journal, outcomes: &[Outcome]) -> i32 {
    let by_request: HashMap<&str, &Outcome> =
        outcomes.iter().map(|outcome| (outcome.request.as_str(), outcome)).collect();
    let ms = |at: Instant| at.duration_since(start).as_millis();
    let arrivals = journal.arrivals.lock().unwrap();
    let mut record = String::new();
    let mut late = 0;
    for departure in departures {
        let Departure { server, gone, frozen, until } = departure;
        let _ = writeln!(record, "entry of {server} gone at {} ms while {frozen} stands still until {} ms", ms(*gone), ms(*until));
        let is_late = |at: Instant| at > *gone + DRAIN && at < *until;
        for arrival in arrivals.iter().filter(|arrival| arrival.server == *server && is_late(arrival.at)) {
            late += 1;
            let taken = by_request.get(arrival.request.as_str());
            let _ = writeln!(
                record,
                "  {} sent to {} at {} ms reached {server} {} ms after its entry had gone DRAIN",
                arrival.request,
                taken.map_or("?", |taken| taken.node.as_str()),
                taken.map_or(0, |taken| ms(taken.sent)),
                arrival.at.duration_since(*gone).as_millis()
            );
        }
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    outcomes.iter().for_each(|outcome| *statuses.entry(outcome.status).or_default() += 1);
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    let summary = format!(
        "disruption {}; requests {}; statuses {statuses:?}; requests at servers {}; servers that left {}; requests that \
         reached one later than {} ms {late}\n",
        setup.has_trouble,
        outcomes.len(),
        arrivals.len(),
        departures.len(),
        DRAIN.as_millis()
    );
    print!("{summary}");
    for arrival in arrivals.iter() {
        let _ = writeln!(record, "{} reached {} at {} ms", arrival.request, arrival.server, ms(arrival.at));
    }
    std::fs::write(setup.folder.join("record.txt"), summary + &record).expect("the record");
    let has_run = outcomes.iter().any(|outcome| outcome.status == 200);
    match (has_run, late > 0) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
