//! Connections to one server, opened ahead of demand and paced, and calls over them.

use std::collections::BTreeMap;
use std::error::Error as _;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Deserialize;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion, ServerAddress, ServerProtocol};
use streamfold_policy::HeldVersions;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The first pause after a failed connect; each is twice the one before, with jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pings find a connection that is cut without a word.
const PING_EVERY: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of each stream and connection.
const WINDOW: u32 = 4 << 20;
/// HTTP/1.1 connections kept warm.
const WARM_HTTP1: u32 = 2;

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

type ServerBody = Full<Bytes>;

/// One server's connections, at most `share` of them.
pub struct ServerLink {
    address: ServerAddress,
    protocol: ServerProtocol,
    share: u32,
    shared: ArcSwapOption<http2::SendRequest<ServerBody>>,
    idle: Mutex<Vec<http1::SendRequest<ServerBody>>>,
    open: Arc<AtomicU32>,
    state: watch::Sender<LinkState>,
}

/// Counts one open connection for as long as it lives.
struct OpenCount(Arc<AtomicU32>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerLink {
    /// A link with a task that keeps it connected; the task ends when the handle is aborted.
    pub fn open(address: ServerAddress, protocol: ServerProtocol, share: u32) -> (Arc<Self>, JoinHandle<()>) {
        let link = Arc::new(Self {
            address,
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
    pub async fn call(&self, request: Request<ServerBody>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
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

    async fn call_http2(&self, request: Request<ServerBody>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        let shared = self.shared.load_full().ok_or(AttemptOutcome::NotSent)?;
        let mut sender = http2::SendRequest::clone(&shared);
        sender.ready().await.map_err(|_| AttemptOutcome::NotSent)?;
        let sent = sender.try_send_request(request).await;
        let response = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => AttemptOutcome::NotSent,
            None => classify(failed.error()),
        })?;
        collect(response, limit).await
    }

    async fn call_http1(&self, request: Request<ServerBody>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
        let mut sender = self.take_http1().await?;
        let sent = sender.try_send_request(request).await;
        let response = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => AttemptOutcome::NotSent,
            None => AttemptOutcome::Unknown,
        })?;
        let response = collect(response, limit).await?;
        self.keep_idle(sender);
        Ok(response)
    }

    async fn take_http1(&self) -> Result<http1::SendRequest<ServerBody>, AttemptOutcome> {
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
    fn count_open(&self) -> Option<OpenCount> {
        let more = |open| (open < self.share).then_some(open + 1);
        let counted = self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        counted.ok().map(|_| OpenCount(self.open.clone()))
    }

    async fn connect_tcp(&self) -> Option<TcpStream> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address.0)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    async fn connect_http1(&self) -> Option<http1::SendRequest<ServerBody>> {
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
    async fn hold_http2(&self) -> bool {
        let Some(count) = self.count_open() else { return false };
        let Some(stream) = self.connect_tcp().await else { return false };
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder.timer(TokioTimer::new()).keep_alive_interval(PING_EVERY).keep_alive_timeout(PING_TIMEOUT);
        builder.initial_stream_window_size(WINDOW).initial_connection_window_size(WINDOW);
        let Ok((sender, connection)) = builder.handshake(TokioIo::new(stream)).await else { return false };
        self.shared.store(Some(Arc::new(sender)));
        self.state.send_replace(LinkState::Up);
        // A connection that fails is opened again, so its error needs no telling.
        let _ = connection.await;
        self.shared.store(None);
        self.state.send_replace(LinkState::Connecting);
        drop(count);
        true
    }

    /// Keeps a few idle connections; false if one could not be opened.
    async fn warm_http1(&self) -> bool {
        let wanted = WARM_HTTP1.min(self.share);
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

    fn keep_idle(&self, sender: http1::SendRequest<ServerBody>) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.push(sender);
        }
    }
}

/// Keeps a link connected for as long as the task runs, with growing, jittered pauses
/// while the server cannot be reached.
async fn keep_connected(link: Arc<ServerLink>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let connected = match link.protocol {
            ServerProtocol::H2 => link.hold_http2().await,
            ServerProtocol::Http1 => link.warm_http1().await,
        };
        pause = if connected { FIRST_PAUSE } else { (pause * 2).min(MAX_PAUSE) };
        if !connected {
            link.state.send_replace(LinkState::Down);
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

/// A stream that the server refused was not processed (RFC 9113, section 8.7).
fn classify(error: &hyper::Error) -> AttemptOutcome {
    let cause = error.source().and_then(|source| source.downcast_ref::<h2::Error>());
    match cause.and_then(h2::Error::reason) {
        Some(h2::Reason::REFUSED_STREAM) => AttemptOutcome::Refused,
        _ => AttemptOutcome::Unknown,
    }
}

async fn collect(response: Response<Incoming>, limit: usize) -> Result<Response<Bytes>, AttemptOutcome> {
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await.map_err(|_| AttemptOutcome::Unknown)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
