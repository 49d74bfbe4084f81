//! Connections to one server, which are opened ahead of demand and with backoff, and calls over them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use h2::client::SendRequest;
use http::uri::{Authority, Parts, PathAndQuery, Scheme};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use streamfold_link::counted_stream::CountedStream;
use streamfold_link::exchange_limit::{ExchangeAllowance, ExchangeGuard, MAX_HTTP2_HEAD_LEN};
use streamfold_link::read_limit::ReadAllowance;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion, ServerAddress, ServerProtocol};
use streamfold_policy::HeldVersions;
use streamfold_router::answer_memory::AnswerReservation;
use streamfold_router::caller_limits::CallerLimits;
use streamfold_router::growing_buffer::GrowingBuffer;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First delay before the next connect. The delay doubles after each failed connect, with jitter.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay before the next connect.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 pings and the timeout of their answers. Pings detect a connection that no longer delivers
/// anything but was not closed.
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP/2 flow-control windows of a connection and of each stream, in bytes. A response that waits for memory holds the
/// window of its stream.
const WINDOW_SIZE: u32 = 4 << 20;
const STREAM_WINDOW_SIZE: u32 = 1 << 20;
/// The longest head accepted over HTTP/1.1, in bytes.
const MAX_HTTP1_HEAD_LEN: usize = 64 << 10;
/// What may be read until the head is complete, in bytes: the head, the start of the body that comes with its end, and
/// informational responses, which precede a head.
const MAX_READ_WITH_HEAD: usize = 2 * MAX_HTTP1_HEAD_LEN;
/// How many times its length a body may take as it is sent, since its chunks have heads of their own.
const MAX_CHUNKED_FACTOR: usize = 2;
/// Number of HTTP/1.1 connections that are opened ahead of demand.
const MIN_IDLE_HTTP1: u32 = 2;

/// Whether a server is reachable, according to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// No connect has succeeded or failed yet, or the connection was lost.
    Connecting,
    /// A connection is open.
    Up,
    /// The last connect failed.
    Down,
}

/// The answer of a server's health endpoint.
#[derive(Debug, Clone, Deserialize)]
pub struct HealthReport {
    /// Whether the server is draining before its stop.
    pub draining: bool,
    /// The server's load, from 0 to 1.
    pub load: f64,
    /// Identifies the run of the server process.
    pub incarnation: u64,
    /// The held versions of each index.
    pub indexes: BTreeMap<IndexName, HeldRange>,
}

/// The range of held index versions.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct HeldRange {
    /// The oldest held version.
    pub oldest: IndexVersion,
    /// The newest held version.
    pub newest: IndexVersion,
}

impl From<HeldRange> for HeldVersions {
    fn from(range: HeldRange) -> Self {
        Self { oldest: range.oldest, newest: range.newest }
    }
}

/// The connections to one server, at most `max_connections`.
pub struct ServerLink {
    address: ServerAddress,
    authority: Authority,
    protocol: ServerProtocol,
    max_connections: u32,
    http2: ArcSwapOption<Http2Connection>,
    idle: Mutex<Vec<Http1Connection>>,
    open_count: Arc<AtomicU32>,
    state: watch::Sender<LinkState>,
}

/// An HTTP/2 connection, which carries many calls.
#[derive(Clone)]
struct Http2Connection {
    sender: SendRequest<Bytes>,
    allowance: Arc<ExchangeAllowance>,
}

/// An HTTP/1.1 connection, which carries one call at a time.
struct Http1Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    allowance: Arc<ReadAllowance>,
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<AtomicU32>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerLink {
    /// Creates a link and starts the task that keeps it connected, which runs until its handle is aborted.
    pub fn open(address: ServerAddress, protocol: ServerProtocol, max_connections: u32) -> (Arc<Self>, JoinHandle<()>) {
        let link = Arc::new(Self {
            address,
            authority: make_authority(address),
            protocol,
            max_connections,
            http2: ArcSwapOption::empty(),
            idle: Mutex::new(Vec::new()),
            open_count: Arc::default(),
            state: watch::Sender::new(LinkState::Connecting),
        });
        let task = tokio::spawn(keep_connected(link.clone()));
        (link, task)
    }

    /// The server's address.
    pub fn address(&self) -> ServerAddress {
        self.address
    }

    /// The URI of a path at the server.
    pub fn uri(&self, path: PathAndQuery) -> Uri {
        let mut parts = Parts::default();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority = Some(self.authority.clone());
        parts.path_and_query = Some(path);
        // Scheme, authority and path are all set, so this cannot fail.
        Uri::from_parts(parts).unwrap_or_default()
    }

    /// Whether the server is reachable.
    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the complete response, at most `limit` bytes.
    ///
    /// # Errors
    /// `NotSent` if nothing was sent, `Refused` if the server refused the stream without processing it, otherwise
    /// `Unknown`.
    pub async fn call(&self, request: Request<Bytes>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        self.run(request, AnswerCollector { buffer: GrowingBuffer::new(limit), reservation: None }).await
    }

    /// As [`Self::call`]. The memory of the response counts as that of answers to callers for as long as it is in use.
    ///
    /// # Errors
    /// As [`Self::call`]; `Unknown` if there is no memory for the response.
    pub async fn call_counted(
        &self,
        request: Request<Bytes>,
        limit: usize,
        memory: &Arc<CallerLimits>,
    ) -> Result<Response<Bytes>, AttemptOutcome> {
        let reservation = Some(AnswerReservation::new(memory.clone()));
        self.run(request, AnswerCollector { buffer: GrowingBuffer::new(limit), reservation }).await
    }

    async fn run(
        &self,
        request: Request<Bytes>,
        collector: AnswerCollector,
    ) -> Result<Response<Bytes>, AttemptOutcome> {
        self.wait_connected().await?;
        match self.protocol {
            ServerProtocol::H2 => self.call_http2(request, collector).await,
            ServerProtocol::Http1 => self.call_http1(request, collector).await,
        }
    }

    async fn wait_connected(&self) -> Result<(), AttemptOutcome> {
        if self.state() == LinkState::Up {
            return Ok(());
        }
        let mut state = self.state.subscribe();
        let known = state.wait_for(|state| *state != LinkState::Connecting).await;
        match known.as_deref() {
            Ok(LinkState::Up) => Ok(()),
            _ => Err(AttemptOutcome::NotSent),
        }
    }

    async fn call_http2(
        &self,
        request: Request<Bytes>,
        collector: AnswerCollector,
    ) -> Result<Response<Bytes>, AttemptOutcome> {
        let connection = self.http2.load_full().ok_or(AttemptOutcome::NotSent)?;
        let Http2Connection { sender, allowance } = Http2Connection::clone(&connection);
        let mut sender = sender.ready().await.map_err(|_| AttemptOutcome::NotSent)?;
        let (parts, body) = request.into_parts();
        let is_bodyless = body.is_empty();
        let mut exchange = allowance.begin();
        let sent = sender.send_request(Request::from_parts(parts, ()), is_bodyless);
        let (response, mut stream) = sent.map_err(|_| AttemptOutcome::NotSent)?;
        if !is_bodyless {
            // The stream buffers data that flow control holds back. The body limit for callers bounds its size.
            stream.send_data(body, true).map_err(|error| classify(&error))?;
        }
        let response = response.await.map_err(|error| classify(&error))?;
        let response = collect_http2(response, collector, &exchange).await?;
        exchange.finish();
        Ok(response)
    }

    async fn call_http1(
        &self,
        request: Request<Bytes>,
        collector: AnswerCollector,
    ) -> Result<Response<Bytes>, AttemptOutcome> {
        let mut connection = self.take_http1().await?;
        let allowance = connection.allowance.clone();
        allowance.start(MAX_READ_WITH_HEAD);
        let sent = connection.sender.try_send_request(request.map(Full::new)).await;
        let response = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => AttemptOutcome::NotSent,
            None => self.note_lost_answer(&allowance),
        })?;
        allowance.extend(collector.limit().saturating_mul(MAX_CHUNKED_FACTOR));
        let response = collect(response, collector).await.map_err(|_| self.note_lost_answer(&allowance))?;
        self.keep_idle(connection);
        Ok(response)
    }

    /// The outcome of a call whose answer was lost; logs it if the answer was too long.
    fn note_lost_answer(&self, allowance: &ReadAllowance) -> AttemptOutcome {
        if allowance.is_exceeded() {
            self.log_too_long();
        }
        AttemptOutcome::Unknown
    }

    fn log_too_long(&self) {
        tracing::warn!(event = "answer_discarded", server = %self.address, reason = "too_long");
    }

    async fn take_http1(&self) -> Result<Http1Connection, AttemptOutcome> {
        loop {
            let idle = self.idle.lock().ok().and_then(|mut idle| idle.pop());
            match idle {
                Some(mut connection) => {
                    if connection.sender.ready().await.is_ok() {
                        return Ok(connection);
                    }
                }
                None => break,
            }
        }
        self.connect_http1().await.ok_or(AttemptOutcome::NotSent)
    }

    /// Counts one more connection; `None` if `max_connections` are open.
    fn count_open(&self) -> Option<ConnectionGuard> {
        let add_one = |open| (open < self.max_connections).then_some(open + 1);
        let counted = self.open_count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one);
        counted.ok().map(|_| ConnectionGuard(self.open_count.clone()))
    }

    async fn connect_tcp(&self) -> Option<TcpStream> {
        let result = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address.0)).await;
        let stream = result.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    async fn connect_http1(&self) -> Option<Http1Connection> {
        let count = self.count_open()?;
        let stream = self.connect_tcp().await?;
        let allowance = Arc::new(ReadAllowance::default());
        let stream = TokioIo::new(CountedStream::new(stream, allowance.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HTTP1_HEAD_LEN).handshake(stream);
        let (sender, connection) = handshake.await.ok()?;
        tokio::spawn(async move {
            // The holder of the sender gets the error.
            let _ = connection.await;
            drop(count);
        });
        Some(Http1Connection { sender, allowance })
    }

    /// Opens the HTTP/2 connection and drives it until it ends; false if the connect failed.
    async fn run_http2(&self) -> bool {
        let Some(count) = self.count_open() else { return false };
        let Some(stream) = self.connect_tcp().await else { return false };
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW_SIZE).initial_connection_window_size(WINDOW_SIZE).enable_push(false);
        builder.max_header_list_size(MAX_HTTP2_HEAD_LEN);
        let allowance = Arc::new(ExchangeAllowance::new(STREAM_WINDOW_SIZE, WINDOW_SIZE));
        let stream = CountedStream::new(stream, allowance.clone());
        let Ok((sender, mut connection)) = builder.handshake::<_, Bytes>(stream).await else { return false };
        let pings = connection.ping_pong();
        self.http2.store(Some(Arc::new(Http2Connection { sender, allowance: allowance.clone() })));
        self.state.send_replace(LinkState::Up);
        // The error is dropped, since a failed connection is opened again.
        tokio::select! {
            _ = connection => {}
            () = watch_pings(pings, &allowance) => {}
        }
        if allowance.is_exceeded() {
            self.log_too_long();
        }
        self.http2.store(None);
        self.state.send_replace(LinkState::Connecting);
        drop(count);
        true
    }

    /// Opens an HTTP/1.1 connection if there are too few; false if the connect failed.
    async fn keep_warm_http1(&self) -> bool {
        let target = MIN_IDLE_HTTP1.min(self.max_connections);
        let Ok(idle_count) = self.idle.lock().map(|mut idle| {
            idle.retain(|connection| !connection.sender.is_closed());
            idle.len() as u32
        }) else {
            return false;
        };
        if idle_count >= target || self.open_connections() >= target {
            return true;
        }
        match self.connect_http1().await {
            Some(connection) => self.keep_idle(connection),
            None => return false,
        }
        self.state.send_replace(LinkState::Up);
        true
    }

    fn keep_idle(&self, connection: Http1Connection) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.push(connection);
        }
    }
}

/// The URI authority of a server. An IP address with a port is always a valid one.
fn make_authority(address: ServerAddress) -> Authority {
    Authority::try_from(address.to_string()).unwrap_or_else(|_| Authority::from_static("127.0.0.1"))
}

/// Keeps a link connected, with exponential backoff and jitter while the server is unreachable.
async fn keep_connected(link: Arc<ServerLink>) {
    let mut delay = FIRST_DELAY;
    loop {
        let is_connected = match link.protocol {
            ServerProtocol::H2 => link.run_http2().await,
            ServerProtocol::Http1 => link.keep_warm_http1().await,
        };
        delay = if is_connected { FIRST_DELAY } else { (delay * 2).min(MAX_DELAY) };
        if !is_connected {
            link.state.send_replace(LinkState::Down);
        }
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

/// Returns when the server no longer answers pings.
async fn watch_pings(pings: Option<h2::PingPong>, allowance: &ExchangeAllowance) {
    let Some(mut pings) = pings else { return std::future::pending().await };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let answered = tokio::time::timeout(PING_TIMEOUT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
        allowance.note_reply();
    }
}

/// The outcome of a call with this error. A refused stream was not processed (RFC 9113, section 8.7).
fn classify(error: &h2::Error) -> AttemptOutcome {
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => AttemptOutcome::Refused,
        _ => AttemptOutcome::Unknown,
    }
}

/// Collects the body of a response.
struct AnswerCollector {
    buffer: GrowingBuffer,
    /// The memory of the body, if it is counted.
    reservation: Option<AnswerReservation>,
}

impl AnswerCollector {
    /// The longest body, in bytes.
    fn limit(&self) -> usize {
        self.buffer.limit()
    }

    async fn push(&mut self, data: &[u8]) -> Result<(), AttemptOutcome> {
        let growth = self.buffer.growth(data.len()).map_err(|_| AttemptOutcome::Unknown)?;
        if let Some(reservation) = &mut self.reservation
            && !reservation.grow(growth).await
        {
            tracing::info!(event = "answer_without_memory", len = self.buffer.len() + data.len());
            return Err(AttemptOutcome::Unknown);
        }
        self.buffer.push(data).map_err(|error| {
            tracing::warn!(event = "answer_not_buffered", %error);
            AttemptOutcome::Unknown
        })
    }

    fn finish(self) -> Bytes {
        match self.reservation {
            Some(reservation) if !self.buffer.is_empty() => reservation.attach(self.buffer),
            _ => Bytes::from_owner(self.buffer),
        }
    }
}

async fn collect_http2(
    response: Response<h2::RecvStream>,
    mut collector: AnswerCollector,
    exchange: &ExchangeGuard,
) -> Result<Response<Bytes>, AttemptOutcome> {
    let (parts, mut body) = response.into_parts();
    while let Some(data) = body.data().await {
        let data = data.map_err(|error| classify(&error))?;
        exchange.note_data(data.len());
        collector.push(&data).await?;
        // Only now, so that the server sends no more than there is memory for.
        body.flow_control().release_capacity(data.len()).map_err(|error| classify(&error))?;
    }
    Ok(Response::from_parts(parts, collector.finish()))
}

async fn collect(
    response: Response<Incoming>,
    mut collector: AnswerCollector,
) -> Result<Response<Bytes>, AttemptOutcome> {
    let (parts, mut body) = response.into_parts();
    if body.size_hint().lower() > collector.limit() as u64 {
        return Err(AttemptOutcome::Unknown);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptOutcome::Unknown)?;
        if let Ok(data) = frame.into_data() {
            collector.push(&data).await?;
        }
    }
    Ok(Response::from_parts(parts, collector.finish()))
}
