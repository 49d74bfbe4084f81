//! A new version of the config raises `maxHeaderBytes` while clients keep their connections. Later requests have heads
//! within the new limit.

use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use crate::Setup;
use crate::http::Connection;
use crate::node::{BOUNDS, Fleet, SIX_NODES, ZONES};
use crate::server::{Journal, Server};
use crate::store::Store;

const HOST: &str = "premises.example";
const CAPACITY: (u64, u64, u64) = (4, 16, 4);
const SERVERS: usize = 3;
/// The limit of the first version and of the second one, in bytes.
const LOW_LIMIT: usize = 8_192;
const HIGH_LIMIT: usize = 32_768;
/// The length of the large header of later requests.
const HEADER_LEN: usize = 12_000;
/// Kept connections at each node.
const CONNECTIONS: usize = 10;
/// Requests on each connection before and after the change, and the pause between them.
const REQUESTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(200);
/// `configApplyMs` is 3 s; the clients wait longer before they send larger heads.
const IN_FORCE_AFTER: Duration = Duration::from_secs(6);

fn config(version: u32, header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"addr-get\",\"host\":\"{HOST}\",\"pathPrefix\":\"/addr/\",\
         \"service\":\"premises-reg\",\"routeType\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\
         \"maxAttempts\":3,\"priority\":2}}],\"services\":[{{\"name\":\"premises-reg\",\"healthPath\":\"/health\",\
         \"maxConnections\":42}}],\"limits\":{{\"maxHeaderBytes\":{header_bytes},\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}"
    )
}

struct Outcome {
    request: String,
    head_len: usize,
    at: Instant,
    /// The status; 0 if the connection ended.
    status: u16,
    is_of_server: bool,
}

/// Sends one request after the other on one connection, and opens a new one only after the old one was closed.
struct Client {
    number: usize,
    node: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    fn call(&mut self, phase: &str, number: usize, extra: usize, outcomes: &Mutex<Vec<Outcome>>) {
        let request = format!("r-{}-{phase}-{number}", self.number);
        if self.connection.is_none() {
            self.connection = TcpStream::connect(self.node).ok().map(Connection::new);
        }
        let Some(open) = &mut self.connection else { return };
        let mut message = format!(
            "GET /addr/{} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2000\r\n",
            self.number
        );
        if extra > 0 {
            let _ = write!(message, "X-Session: {}\r\n", "s".repeat(extra));
        }
        message += "\r\n";
        let answer = open.write(message.as_bytes()).and_then(|()| open.read());
        let is_kept = answer.as_ref().is_ok_and(|answer| answer.header("connection") != Some("close"));
        outcomes.lock().unwrap().push(Outcome {
            request,
            head_len: message.len(),
            at: Instant::now(),
            status: answer.as_ref().map_or(0, |answer| answer.status()),
            is_of_server: answer.is_ok_and(|answer| answer.header("x-server-stamp").is_some()),
        });
        if !is_kept {
            self.connection = None;
        }
        std::thread::sleep(PAUSE);
    }
}

pub fn run(setup: &Setup) -> i32 {
    let (store, platform) = Store::start();
    let journal = Arc::new(Journal::default());
    // Without the disruption the limit is the high one from the start.
    store.put("config", "main", &config(1, if setup.has_trouble { LOW_LIMIT } else { HIGH_LIMIT }));
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
    let count = nodes.len() * CONNECTIONS;
    let (before, after) = (Arc::new(Barrier::new(count + 1)), Arc::new(Barrier::new(count + 1)));
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let mut client = Client { number, node: nodes[number % nodes.len()].callers, connection: None };
            let (before, after, outcomes) = (before.clone(), after.clone(), outcomes.clone());
            std::thread::spawn(move || {
                (0..REQUESTS).for_each(|number| client.call("small", number, 0, &outcomes));
                before.wait();
                after.wait();
                (0..REQUESTS).for_each(|number| client.call("large", number, HEADER_LEN, &outcomes));
            })
        })
        .collect();
    before.wait();
    if setup.has_trouble {
        store.put("config", "main", &config(2, HIGH_LIMIT));
    }
    let confirmed = Instant::now();
    std::thread::sleep(IN_FORCE_AFTER);
    after.wait();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    drop(nodes);
    judge(setup, start, confirmed, &outcomes.lock().unwrap())
}

fn judge(setup: &Setup, start: Instant, confirmed: Instant, outcomes: &[Outcome]) -> i32 {
    let mut record = String::new();
    let mut denied = 0;
    for outcome in outcomes {
        let is_denied = matches!(outcome.status, 300..=499)
            && !matches!(outcome.status, 408 | 421 | 429)
            && !outcome.is_of_server;
        denied += usize::from(is_denied);
        let _ = writeln!(
            record,
            "{} head of {} bytes, answered {} at {} ms{}",
            outcome.request,
            outcome.head_len,
            outcome.status,
            outcome.at.duration_since(start).as_millis(),
            if is_denied { " DENIED" } else { "" }
        );
    }
    let allowed = 5 + outcomes.len() / 500;
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let summary = format!(
        "disruption {}; config with the higher limit confirmed at {} ms; requests {}; served {served}; ended with a 4xx \
         of the system's own {denied}, allowed {allowed}\n",
        setup.has_trouble,
        confirmed.duration_since(start).as_millis(),
        outcomes.len()
    );
    print!("{summary}");
    std::fs::write(setup.folder.join("record.txt"), summary + &record).expect("the record");
    match (served > 0, denied > allowed) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
