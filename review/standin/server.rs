//! Stand-in for the servers of a service: slots, a short queue, load reports, and an answer to each request.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};
use crate::random::{chance, random};

const POLL: Duration = Duration::from_millis(2);
/// How often a server pauses.
const PAUSE_EVERY: Duration = Duration::from_millis(3_600);
const TAIL: u32 = 5;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub at: Instant,
}

/// What all servers record.
#[derive(Default)]
pub struct Journal {
    pub runs: Mutex<Vec<Run>>,
    /// Requests that reached a server, whatever became of them.
    pub arrivals: Mutex<Vec<Run>>,
    /// Requests that a server rejected with `X-Not-Executed`, by the request's id.
    pub rejected: Mutex<HashMap<String, u32>>,
    /// Late second answers that were sent: the id that each carries, the id of the request in whose place it came, and
    /// its status line.
    pub surplus: Mutex<Vec<(String, String, String)>>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u64,
    queue: u64,
    work_ms: u64,
    running: Mutex<(u64, u64)>,
    /// Of how many answers in a thousand a second copy follows late, while the disruption lasts.
    pub surplus_permille: AtomicU64,
    /// Whether the server has ended.
    pub is_ended: AtomicBool,
    /// How long the server pauses in each span of [`PAUSE_EVERY`], in milliseconds.
    pub pause_ms: AtomicU64,
    /// Of how many requests in a thousand the work takes [`TAIL`] times as long.
    pub tail_permille: AtomicU64,
    started: Instant,
    proofs: AtomicU64,
    journal: Arc<Journal>,
}

/// A server's answer that was given, with the id of its request.
struct Sent {
    request: String,
    bytes: Vec<u8>,
    status: String,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        (slots, queue, work_ms): (u64, u64, u64),
        journal: &Arc<Journal>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("the address of a server"),
            slots,
            queue,
            work_ms,
            running: Mutex::default(),
            surplus_permille: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
            pause_ms: AtomicU64::new(0),
            tail_permille: AtomicU64::new(0),
            // Each server pauses at a time of its own.
            started: Instant::now() - Duration::from_millis(random() % PAUSE_EVERY.as_millis() as u64),
            proofs: AtomicU64::new(0),
            journal: journal.clone(),
        });
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The entry that the server writes to the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\"capacity\":{},\
             \"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":1700000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    fn load(&self) -> String {
        let (running, waiting) = *self.running.lock().unwrap();
        format!("{running},{waiting},{}", self.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut late: Option<Sent> = None;
        while let Ok(request) = connection.read() {
            if self.is_ended.load(Ordering::Relaxed) {
                return;
            }
            if request.target() == "/health" {
                let head = [("X-Instance-Id", self.id.as_str()), ("X-Server-Load", &self.load())];
                if connection.write(&answer("200 OK", &head, b"")).is_err() {
                    return;
                }
                continue;
            }
            let Some(sent) = self.answer(&mut connection, &request) else { return };
            let mut bytes = Vec::new();
            if let Some(late) = late.take() {
                bytes.extend_from_slice(&late.bytes);
                self.journal.surplus.lock().unwrap().push((late.request, sent.request.clone(), late.status));
            }
            bytes.extend_from_slice(&sent.bytes);
            if connection.write(&bytes).is_err() {
                return;
            }
            late = Some(sent).filter(|_| chance(self.surplus_permille.load(Ordering::Relaxed)));
        }
    }

    fn reject(&self, status: &str, id: &str) -> Sent {
        *self.journal.rejected.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        let head = [("X-Request-Id", id), ("X-Not-Executed", "1"), ("X-Server-Load", &self.load())];
        Sent { request: id.to_owned(), bytes: answer(status, &head, b""), status: status.to_owned() }
    }

    /// Answers a request; `None` if its connection ended.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<Sent> {
        let started = Instant::now();
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let arrival = Run { request: id.clone(), server: self.id.clone(), at: started };
        self.journal.arrivals.lock().unwrap().push(arrival);
        if id.is_empty() {
            return Some(self.reject("400 Bad Request", &id));
        }
        if request.header("x-target-instance").is_some_and(|target| target != self.id) {
            return Some(self.reject("421 Misdirected Request", &id));
        }
        self.pause();
        let left = request.header("x-deadline-ms").and_then(|left| left.parse().ok()).unwrap_or(60_000);
        let deadline = started + Duration::from_millis(left);
        if !self.enter() {
            return Some(self.reject("503 Service Unavailable", &id));
        }
        while !self.take_slot() {
            if has_ended(connection) {
                self.running.lock().unwrap().1 -= 1;
                return None;
            }
            if Instant::now() >= deadline {
                self.running.lock().unwrap().1 -= 1;
                return Some(self.reject("503 Service Unavailable", &id));
            }
            std::thread::sleep(POLL);
        }
        let run = Run { request: id.clone(), server: self.id.clone(), at: Instant::now() };
        self.journal.runs.lock().unwrap().push(run);
        let work = Duration::from_millis(self.work_ms / 2 + random() % self.work_ms.max(1));
        let factor = if chance(self.tail_permille.load(Ordering::Relaxed)) { TAIL } else { 1 };
        let end = Instant::now() + work * factor;
        let mut is_left = false;
        while Instant::now() < end && !is_left {
            std::thread::sleep(POLL);
            is_left = has_ended(connection);
        }
        self.running.lock().unwrap().0 -= 1;
        if is_left {
            return None;
        }
        let proof = format!("{}.{}", self.id, self.proofs.fetch_add(1, Ordering::Relaxed));
        let load = self.load();
        let head = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &proof), ("X-Server-Load", &load)];
        let body = format!("done {id} by {}", self.id);
        Some(Sent { bytes: answer("200 OK", &head, body.as_bytes()), request: id, status: "200 OK".to_owned() })
    }

    /// Waits while the server pauses.
    fn pause(&self) {
        let pause = Duration::from_millis(self.pause_ms.load(Ordering::Relaxed));
        let since = Duration::from_millis((self.started.elapsed().as_millis() % PAUSE_EVERY.as_millis()) as u64);
        std::thread::sleep(pause.saturating_sub(since));
    }

    /// Joins the queue; false if the server is full.
    fn enter(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        let has_room = running.0 < self.slots || running.1 < self.queue;
        running.1 += u64::from(has_room);
        has_room
    }

    /// Moves a request from the queue to a slot.
    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        let is_free = running.0 < self.slots;
        if is_free {
            running.0 += 1;
            running.1 -= 1;
        }
        is_free
    }
}

/// Whether the peer has closed or reset the connection.
fn has_ended(connection: &Connection) -> bool {
    let mut byte = [0];
    if connection.stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = connection.stream.peek(&mut byte);
    let is_open = match peeked {
        Ok(len) => len > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    };
    connection.stream.set_nonblocking(false).is_err() || !is_open
}
