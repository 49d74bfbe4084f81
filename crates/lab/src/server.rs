//! Stand-in for one server of an upstream, with shards, slots, a queue, a connection limit,
//! latencies, index versions, draining and load shedding. It records the requests that it ran.

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use streamfold_model::server::{
    SERVER_HEADER_ATTEMPT, SERVER_HEADER_DRAINING, SERVER_HEADER_HELD, SERVER_HEADER_INCARNATION, SERVER_HEADER_KEY,
    SERVER_HEADER_LOAD, SERVER_HEADER_RAN, SERVER_HEADER_REQUEST, SERVER_HEADER_SHARDS, SERVER_HEADER_VERSION,
    parse_shards,
};
use streamfold_model::{IndexName, ShardId};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

use streamfold_standin::rng;

/// Maximum number of shards in one call.
const MAX_SHARDS: usize = 65_536;

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct ServerPlan {
    /// Maximum number of calls that run concurrently.
    pub slots: usize,
    /// Maximum number of calls that wait for a slot; further calls are shed.
    pub queue: usize,
    /// Maximum number of open connections; further ones are closed.
    pub connections: usize,
    /// Delay before a new connection is served.
    pub connect_delay: Duration,
    /// Typical duration of one call; zero for an immediate answer.
    pub base: Duration,
    /// Maximum number of index versions that the server holds.
    pub max_versions: u64,
    /// Bytes that each shard adds to an answer, beyond a few.
    pub padding: usize,
}

impl Default for ServerPlan {
    fn default() -> Self {
        Self {
            slots: 2,
            queue: 16,
            connections: 25,
            connect_delay: Duration::from_millis(6),
            base: Duration::from_millis(4),
            max_versions: 5,
            padding: 0,
        }
    }
}

/// Fault switches of one server; they take effect immediately and may be combined.
#[derive(Debug)]
pub struct ServerSwitches {
    /// Of a thousand calls, the number that take `straggle_factor` times as long.
    pub straggle_per_mille: AtomicU64,
    /// See `straggle_per_mille`.
    pub straggle_factor: AtomicU64,
    /// Factor on the duration of every call.
    pub slow_factor: AtomicU64,
    /// Of a thousand calls, the number that are shed.
    pub shed_per_mille: AtomicU64,
    /// Whether the server is draining.
    pub draining: AtomicBool,
    /// Whether the health endpoint and the load report show a healthy, idle server whatever its real state.
    pub is_health_faked: AtomicBool,
    /// Of a thousand answers, the number that are replaced by the complete answer to an earlier request.
    pub crossed_per_mille: AtomicU64,
    /// Newest index version that the server holds.
    pub newest: AtomicU64,
}

/// Counters of a server.
#[derive(Debug, Default)]
pub struct ServerCounts {
    /// Calls received.
    pub calls: AtomicU64,
    /// Calls run.
    pub runs: AtomicU64,
    /// Calls shed.
    pub sheds: AtomicU64,
    /// Calls received while draining.
    pub calls_while_draining: AtomicU64,
    /// Maximum number of connections that were open concurrently.
    pub max_open_connections: AtomicUsize,
    /// Connections closed because they exceeded the limit.
    pub refused_connections: AtomicU64,
}

/// What all servers of a lab ran: orders by idempotency key and, if enabled, request ids.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<HashMap<String, u64>>,
    requests: Mutex<HashSet<String>>,
    is_recording_requests: AtomicBool,
}

impl RunLog {
    fn record_order(&self, key: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }

    /// Records the ids of all requests run from now on.
    pub fn record_requests(&self) {
        self.is_recording_requests.store(true, Ordering::Relaxed);
    }

    fn record_request(&self, request: &str) {
        if self.is_recording_requests.load(Ordering::Relaxed) {
            self.requests.lock().unwrap_or_else(PoisonError::into_inner).insert(request.to_owned());
        }
    }

    /// Whether a request ran on any server.
    pub fn has_run(&self, request: &str) -> bool {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).contains(request)
    }

    /// Number of runs of the order with this key.
    pub fn count(&self, key: &str) -> u64 {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).get(key).copied().unwrap_or(0)
    }

    /// Number of keys whose order ran more than once.
    pub fn count_duplicates(&self) -> usize {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().filter(|count| **count > 1).count()
    }
}

/// State of a server.
pub struct ServerState {
    /// Configuration.
    pub plan: ServerPlan,
    /// Fault switches.
    pub switches: ServerSwitches,
    /// Counters.
    pub counts: ServerCounts,
    index: IndexName,
    incarnation: u64,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    log: Arc<RunLog>,
    last_answer: Mutex<Option<(String, u64, Bytes)>>,
}

/// A running stand-in. Dropping it stops it and closes all its connections.
pub struct ServerStandin {
    /// State and fault switches.
    pub state: Arc<ServerState>,
    /// Address on which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for ServerStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server of one index that holds every shard that calls name.
///
/// # Errors
/// The port cannot be opened.
pub async fn start(
    address: SocketAddr,
    index: IndexName,
    plan: ServerPlan,
    log: Arc<RunLog>,
) -> std::io::Result<ServerStandin> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(1024)?;
    let address = listener.local_addr()?;
    let slots = Semaphore::new(plan.slots);
    let state = Arc::new(ServerState {
        plan,
        switches: ServerSwitches {
            straggle_per_mille: AtomicU64::new(0),
            straggle_factor: AtomicU64::new(1),
            slow_factor: AtomicU64::new(1),
            shed_per_mille: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            is_health_faked: AtomicBool::new(false),
            crossed_per_mille: AtomicU64::new(0),
            newest: AtomicU64::new(1),
        },
        counts: ServerCounts::default(),
        index,
        incarnation: rand::random(),
        slots,
        waiting: AtomicUsize::new(0),
        connections: AtomicUsize::new(0),
        log,
        last_answer: Mutex::new(None),
    });
    let task = tokio::spawn(accept(state.clone(), listener));
    Ok(ServerStandin { state, address, task })
}

async fn accept(state: Arc<ServerState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let open = state.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if open > state.plan.connections {
            state.connections.fetch_sub(1, Ordering::Relaxed);
            state.counts.refused_connections.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        state.counts.max_open_connections.fetch_max(open, Ordering::Relaxed);
        let state = state.clone();
        connections.spawn(async move {
            tokio::time::sleep(state.plan.connect_delay).await;
            // Errors are ignored: a socket without TCP_NODELAY still works.
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| answer(state.clone(), request));
            let mut builder = Builder::new(TokioExecutor::new());
            builder.http2().max_concurrent_streams(10_000);
            // Errors are ignored: the client notices them when the connection ends.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            state.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

type Answer = Result<Response<Full<Bytes>>, Infallible>;

async fn answer(state: Arc<ServerState>, request: Request<Incoming>) -> Answer {
    let is_health = request.uri().path() == "/health";
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    if is_health {
        return Ok(health_response(&state));
    }
    let is_order = parts.uri.path().ends_with("/order");
    Ok(state.run(&parts.headers, &body, is_order).await)
}

fn health_response(state: &ServerState) -> Response<Full<Bytes>> {
    let is_health_faked = state.switches.is_health_faked.load(Ordering::Relaxed);
    let draining = state.switches.draining.load(Ordering::Relaxed) && !is_health_faked;
    let (oldest, newest) = state.version_range();
    let (index, load, incarnation) = (&state.index, state.load(), state.incarnation);
    let body = format!(
        "{{\"draining\":{draining},\"load\":{load:.2},\"incarnation\":{incarnation},\
         \"indexes\":{{\"{index}\":{{\"oldest\":{oldest},\"newest\":{newest}}}}}}}"
    );
    Response::new(Full::from(body))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn chance(thousandths: &AtomicU64) -> bool {
    rng::chance(thousandths.load(Ordering::Relaxed))
}

impl ServerState {
    fn version_range(&self) -> (u64, u64) {
        let newest = self.switches.newest.load(Ordering::Relaxed);
        (newest.saturating_sub(self.plan.max_versions - 1).max(1), newest)
    }

    fn load(&self) -> f64 {
        if self.switches.is_health_faked.load(Ordering::Relaxed) {
            return 0.0;
        }
        let running = self.plan.slots - self.slots.available_permits();
        (running as f64 / self.plan.slots as f64).min(1.0)
    }

    fn response(&self, status: StatusCode, attempt: &str, body: Bytes) -> Response<Full<Bytes>> {
        let (oldest, newest) = self.version_range();
        let builder = Response::builder()
            .status(status)
            .header(SERVER_HEADER_ATTEMPT, attempt)
            .header(SERVER_HEADER_HELD, format!("{oldest}-{newest}"))
            .header(SERVER_HEADER_LOAD, format!("{:.2}", self.load()))
            .header(SERVER_HEADER_DRAINING, self.switches.draining.load(Ordering::Relaxed).to_string())
            .header(SERVER_HEADER_INCARNATION, self.incarnation.to_string());
        builder.body(Full::new(body)).unwrap_or_default()
    }

    fn refuse(&self, status: StatusCode, attempt: &str) -> Response<Full<Bytes>> {
        let mut response = self.response(status, attempt, Bytes::new());
        response.headers_mut().insert(SERVER_HEADER_RAN, http::HeaderValue::from_static("not_run"));
        response
    }

    async fn run(&self, headers: &HeaderMap, body: &Bytes, is_order: bool) -> Response<Full<Bytes>> {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        let attempt = header_text(headers, SERVER_HEADER_ATTEMPT).unwrap_or_default();
        let shards = header_text(headers, SERVER_HEADER_SHARDS).and_then(|shards| parse_shards(shards, MAX_SHARDS));
        let Some(shards) = shards else { return self.refuse(StatusCode::BAD_REQUEST, attempt) };
        if self.switches.draining.load(Ordering::Relaxed) {
            self.counts.calls_while_draining.fetch_add(1, Ordering::Relaxed);
        }
        let (oldest, newest) = self.version_range();
        let version =
            header_text(headers, SERVER_HEADER_VERSION).and_then(|version| version.parse().ok()).unwrap_or(newest);
        if version < oldest || version > newest {
            return self.refuse(StatusCode::CONFLICT, attempt);
        }
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting_guard = WaitingGuard(&self.waiting);
        if chance(&self.switches.shed_per_mille) || waiting >= self.plan.slots + self.plan.queue {
            self.counts.sheds.fetch_add(1, Ordering::Relaxed);
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, attempt);
        }
        let slot = self.slots.acquire().await;
        self.counts.runs.fetch_add(1, Ordering::Relaxed);
        self.log.record_request(header_text(headers, SERVER_HEADER_REQUEST).unwrap_or_default());
        if is_order && let Some(key) = header_text(headers, SERVER_HEADER_KEY) {
            self.log.record_order(key);
        }
        self.simulate_work().await;
        drop((slot, waiting_guard));
        let request = header_text(headers, SERVER_HEADER_REQUEST).unwrap_or_default();
        let current = (
            attempt.to_owned(),
            version,
            Bytes::from(format_results(&shards, version, request, body, self.plan.padding)),
        );
        let previous = self.last_answer.lock().unwrap_or_else(PoisonError::into_inner).replace(current.clone());
        let (attempt, version, body) = match previous {
            Some(previous) if chance(&self.switches.crossed_per_mille) => previous,
            _ => current,
        };
        let mut response = self.response(StatusCode::OK, &attempt, body);
        response.headers_mut().insert(SERVER_HEADER_VERSION, http::HeaderValue::from(version));
        response
    }

    async fn simulate_work(&self) {
        if self.plan.base.is_zero() {
            return;
        }
        let mut factor = rng::range(0.75..1.25);
        factor *= self.switches.slow_factor.load(Ordering::Relaxed) as f64;
        if chance(&self.switches.straggle_per_mille) {
            factor *= self.switches.straggle_factor.load(Ordering::Relaxed) as f64;
        }
        tokio::time::sleep(self.plan.base.mul_f64(factor)).await;
    }
}

struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Results that contain their shard, version and request, so that a check can tell to which request they belong.
fn format_results(shards: &[ShardId], version: u64, request: &str, body: &Bytes, padding: usize) -> String {
    use std::fmt::Write;
    let size = body.len();
    let padding = match padding {
        0 => String::new(),
        _ => format!(",\"padding\":\"{}\"", "x".repeat(padding)),
    };
    let mut text = String::from("{");
    for (position, shard) in shards.iter().enumerate() {
        let comma = if position == 0 { "" } else { "," };
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "{comma}\"{shard}\":{{\"shard\":{shard},\"version\":{version},\"request\":\"{request}\",\"asked\":{size}{padding}}}"
        );
    }
    text.push('}');
    text
}
