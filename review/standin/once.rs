//! Requests that may run at most once, while some servers send a second copy of an answer late: where the answer to
//! the next request on the connection is due.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::Connection;
use crate::node::{BOUNDS, Fleet, SIX_NODES, ZONES};
use crate::server::{Journal, Server};
use crate::store::Store;

const HOST: &str = "premises.example";
/// Servers of the service, and how many of them are faulty: a share of 0.6.
const SERVERS: usize = 5;
const FAULTY: usize = 3;
/// Slots, places in the queue and the mean work time of each server in milliseconds.
const CAPACITY: (u64, u64, u64) = (4, 2, 60);
/// Late second answers per thousand answers of a faulty server.
const SURPLUS_PERMILLE: u64 = 30;
/// The disruption lasts 5 s, and comes again after a pause.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(2);
const ROUNDS: u32 = 12;
/// Clients at each of the six nodes.
const CLIENTS: usize = 6;

/// What a client got for a request; status 0 if the connection ended.
struct Outcome {
    request: String,
    status: u16,
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"addr-set\",\"host\":\"{HOST}\",\"pathPrefix\":\"/addr/\",\
         \"service\":\"premises-reg\",\"routeType\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\
         \"maxAttempts\":3,\"priority\":2}}],\"services\":[{{\"name\":\"premises-reg\",\"healthPath\":\"/health\",\
         \"maxConnections\":42}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends requests one after the other, each with an id of its own, and never repeats one.
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
        let body = format!("{{\"set\":\"{request}\"}}");
        let message = format!(
            "POST /addr/set HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2000\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = open.write(message.as_bytes()).and_then(|()| open.read());
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let is_kept = answer.is_ok_and(|answer| answer.header("connection") != Some("close")) && open.is_clean();
        outcomes.lock().unwrap().push(Outcome { request, status });
        if !is_kept {
            connection = None;
        }
        std::thread::sleep(Duration::from_millis(20 + crate::random::random() % 40));
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
    let fleet = Fleet { zones: ZONES.to_vec(), platform, folder: setup.temporary.clone(), bounds: BOUNDS.to_vec() };
    let nodes = fleet.start(&SIX_NODES);
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
    for _ in 0..ROUNDS {
        std::thread::sleep(PAUSE);
        let permille = if setup.has_trouble { SURPLUS_PERMILLE } else { 0 };
        servers.iter().take(FAULTY).for_each(|server| server.surplus_permille.store(permille, Ordering::Relaxed));
        std::thread::sleep(TROUBLE_TIME);
        servers.iter().for_each(|server| server.surplus_permille.store(0, Ordering::Relaxed));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    std::thread::sleep(Duration::from_secs(2));
    drop(nodes);
    judge(setup, start, &journal, &outcomes.lock().unwrap())
}

fn judge(setup: &Setup, start: Instant, journal: &Journal, outcomes: &[Outcome]) -> i32 {
    let runs = journal.runs.lock().unwrap();
    let mut by_request: HashMap<&str, Vec<String>> = HashMap::new();
    for run in runs.iter() {
        let at = run.at.duration_since(start).as_millis();
        by_request.entry(&run.request).or_default().push(format!("{} at {at} ms", run.server));
    }
    let surplus = journal.surplus.lock().unwrap();
    let rejected = journal.rejected.lock().unwrap();
    let mut record = String::new();
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    let (mut twice, mut refused) = (0, 0);
    for Outcome { request, status } in outcomes {
        *statuses.entry(*status).or_default() += 1;
        let ran = by_request.get(request.as_str()).map_or(&[][..], Vec::as_slice);
        let is_twice = ran.len() > 1;
        let is_refused = matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty();
        twice += usize::from(is_twice);
        refused += usize::from(is_refused);
        let broken = match (is_twice, is_refused) {
            (true, _) => " TWICE",
            (_, true) => " REFUSED",
            _ => "",
        };
        let _ = writeln!(record, "{request} answered {status} ran {}{broken}", ran.join(" and "));
    }
    for (carried, place, status) in surplus.iter() {
        let _ = writeln!(record, "second answer of {carried} ({status}) came in the place of the answer to {place}");
    }
    let of_rejections = surplus.iter().filter(|(_, _, status)| !status.starts_with("200")).count();
    let mut counts: Vec<_> = statuses.into_iter().collect();
    counts.sort_unstable();
    let summary = format!(
        "disruption {}; requests {}; statuses {counts:?}; requests rejected by servers {}; late second answers {}, \
         of which of rejections {of_rejections}; requests that ran twice {twice}; refused though they ran {refused}\n",
        setup.has_trouble,
        outcomes.len(),
        rejected.len(),
        surplus.len(),
    );
    print!("{summary}");
    std::fs::write(setup.folder.join("record.txt"), summary + &record).expect("the record");
    let has_run = outcomes.iter().any(|outcome| outcome.status == 200);
    match (has_run, twice > 0) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
