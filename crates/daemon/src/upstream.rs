//! Connections to one server, opened ahead of demand and paced, and calls over them.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use http::uri::{Authority, Parts, PathAndQuery, Scheme};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion, ServerAddress, ServerProtocol};
use streamfold_policy::HeldVersions;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The first pause after a failed connect; each is twice the one before, with jitter.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// The longest such pause.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Pings find a connection that is cut without a word.
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of each stream and connection.
const WINDOW: u32 = 4 << 20;
/// HTTP/1.1 connections kept warm.
const MIN_IDLE_HTTP1: u32 = 2;

/// Whether a server can be reached, as its connections tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing is known yet.
    Connecting,
    /// There is a connection.
    Up,
    /// The last connect failed.
    Down,
}

/// What a server's health endpoint says.
#[derive(Debug, Clone, Deserialize)]
pub struct HealthReport {
    /// Whether it is leaving.
    pub draining: bool,
    /// Load, 0 to 1.
    pub load: f64,
    /// Which run of the process answers.
    pub incarnation: u64,
    /// Versions held by index.
    pub indexes: BTreeMap<IndexName, HeldRange>,
}

/// Oldest and newest version held.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct HeldRange {
    /// The oldest.
    pub oldest: IndexVersion,
    /// The newest.
    pub newest: IndexVersion,
}

impl From<HeldRange> for HeldVersions {
    fn from(range: HeldRange) -> Self {
        Self { oldest: range.oldest, newest: range.newest }
    }
}

/// One server's connections, at most `share` of them.
pub struct ServerLink {
    address: ServerAddress,
    authority: Authority,
    protocol: ServerProtocol,
    share: u32,
    shared: ArcSwapOption<SendRequest<Bytes>>,
    idle: Mutex<Vec<http1::SendRequest<Full<Bytes>>>>,
    open: Arc<AtomicU32>,
    state: watch::Sender<LinkState>,
}

/// Counts one open connection for as long as it lives.
struct ConnectionGuard(Arc<AtomicU32>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerLink {
    /// A link with a task that keeps it connected; the task ends when the handle is aborted.
    pub fn open(address: ServerAddress, protocol: ServerProtocol, share: u32) -> (Arc<Self>, JoinHandle<()>) {
        let link = Arc::new(Self {
            address,
            authority: make_authority(address),
            protocol,
            share,
            shared: ArcSwapOption::empty(),
            idle: Mutex::new(Vec::new()),
            open: Arc::default(),
            state: watch::Sender::new(LinkState::Connecting),
        });
        let keeper = tokio::spawn(keep_connected(link.clone()));
        (link, keeper)
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
        // All three parts are there, so this cannot fail.
        Uri::from_parts(parts).unwrap_or_default()
    }

    /// Whether the server can be reached.
    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Connections open now.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a request and reads the whole answer, at most `limit` bytes.
    ///
    /// # Errors
    /// `NotSent` if no byte went out, `Refused` if the server refused the stream unprocessed,
    /// else `Unknown`.
    pub async fn call(&self, request: Request<Bytes>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        self.wait_connected().await?;
        match self.protocol {
            ServerProtocol::H2 => self.call_http2(request, limit).await,
            ServerProtocol::Http1 => self.call_http1(request, limit).await,
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

    async fn call_http2(&self, request: Request<Bytes>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        let shared = self.shared.load_full().ok_or(AttemptOutcome::NotSent)?;
        let sender = SendRequest::clone(&shared);
        let mut sender = sender.ready().await.map_err(|_| AttemptOutcome::NotSent)?;
        let (parts, body) = request.into_parts();
        let is_bodyless = body.is_empty();
        let sent = sender.send_request(Request::from_parts(parts, ()), is_bodyless);
        let (response, mut stream) = sent.map_err(|_| AttemptOutcome::NotSent)?;
        if !is_bodyless {
            // Held back by flow control, it waits inside the stream; its size is bounded at the caller.
            stream.send_data(body, true).map_err(|error| classify(&error))?;
        }
        let response = response.await.map_err(|error| classify(&error))?;
        collect_http2(response, limit).await
    }

    async fn call_http1(&self, request: Request<Bytes>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        let mut sender = self.take_http1().await?;
        let sent = sender.try_send_request(request.map(Full::new)).await;
        let response = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => AttemptOutcome::NotSent,
            None => AttemptOutcome::Unknown,
        })?;
        let response = collect(response, limit).await?;
        self.keep_idle(sender);
        Ok(response)
    }

    async fn take_http1(&self) -> Result<http1::SendRequest<Full<Bytes>>, AttemptOutcome> {
        loop {
            let idle = self.idle.lock().ok().and_then(|mut idle| idle.pop());
            match idle {
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        return Ok(sender);
                    }
                }
                None => break,
            }
        }
        self.connect_http1().await.ok_or(AttemptOutcome::NotSent)
    }

    /// Counts one more connection, unless the share is used up.
    fn count_open(&self) -> Option<ConnectionGuard> {
        let more = |open| (open < self.share).then_some(open + 1);
        let counted = self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        counted.ok().map(|_| ConnectionGuard(self.open.clone()))
    }

    async fn connect_tcp(&self) -> Option<TcpStream> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address.0)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    async fn connect_http1(&self) -> Option<http1::SendRequest<Full<Bytes>>> {
        let count = self.count_open()?;
        let stream = self.connect_tcp().await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Its error reaches whoever holds the sender.
            let _ = connection.await;
            drop(count);
        });
        Some(sender)
    }

    /// Connects and holds the connection until it ends; false if it could not connect.
    async fn run_http2(&self) -> bool {
        let Some(count) = self.count_open() else { return false };
        let Some(stream) = self.connect_tcp().await else { return false };
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW).enable_push(false);
        let Ok((sender, mut connection)) = builder.handshake::<_, Bytes>(stream).await else { return false };
        let pings = connection.ping_pong();
        self.shared.store(Some(Arc::new(sender)));
        self.state.send_replace(LinkState::Up);
        // A connection that fails is opened again, so its error needs no telling.
        tokio::select! {
            _ = connection => {}
            () = watch_pings(pings) => {}
        }
        self.shared.store(None);
        self.state.send_replace(LinkState::Connecting);
        drop(count);
        true
    }

    /// Keeps a few idle connections; false if one could not be opened.
    async fn keep_warm_http1(&self) -> bool {
        let wanted = MIN_IDLE_HTTP1.min(self.share);
        let Ok(ready) = self.idle.lock().map(|mut idle| {
            idle.retain(|sender| !sender.is_closed());
            idle.len() as u32
        }) else {
            return false;
        };
        if ready >= wanted || self.open_connections() >= wanted {
            return true;
        }
        match self.connect_http1().await {
            Some(sender) => self.keep_idle(sender),
            None => return false,
        }
        self.state.send_replace(LinkState::Up);
        true
    }

    fn keep_idle(&self, sender: http1::SendRequest<Full<Bytes>>) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.push(sender);
        }
    }
}

/// An IP number and port are always an authority.
fn make_authority(address: ServerAddress) -> Authority {
    Authority::try_from(address.to_string()).unwrap_or_else(|_| Authority::from_static("127.0.0.1"))
}

/// Keeps a link connected for as long as the task runs, with growing, jittered pauses
/// while the server cannot be reached.
async fn keep_connected(link: Arc<ServerLink>) {
    let mut pause = FIRST_DELAY;
    loop {
        let connected = match link.protocol {
            ServerProtocol::H2 => link.run_http2().await,
            ServerProtocol::Http1 => link.keep_warm_http1().await,
        };
        pause = if connected { FIRST_DELAY } else { (pause * 2).min(MAX_DELAY) };
        if !connected {
            link.state.send_replace(LinkState::Down);
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

/// Ends when the server no longer answers pings.
async fn watch_pings(pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else { return std::future::pending().await };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let answered = tokio::time::timeout(PING_TIMEOUT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}

/// A stream that the server refused was not processed (RFC 9113, section 8.7).
fn classify(error: &h2::Error) -> AttemptOutcome {
    match error.reason() {
        Some(h2::Reason::REFUSED_STREAM) => AttemptOutcome::Refused,
        _ => AttemptOutcome::Unknown,
    }
}

async fn collect_http2(response: Response<h2::RecvStream>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
    let (parts, mut body) = response.into_parts();
    let mut whole = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|error| classify(&error))?;
        body.flow_control().release_capacity(data.len()).map_err(|error| classify(&error))?;
        if whole.is_empty() && body.is_end_stream() && data.len() <= limit {
            return Ok(Response::from_parts(parts, data));
        }
        if whole.len() + data.len() > limit {
            return Err(AttemptOutcome::Unknown);
        }
        whole.extend_from_slice(&data);
    }
    Ok(Response::from_parts(parts, whole.freeze()))
}

async fn collect(response: Response<Incoming>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await.map_err(|_| AttemptOutcome::Unknown)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
