//! Stand-in for the platform: a store with versions, conditional writes and a long-poll
//! watch, and a VM list that lags. Faults are switches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::{Path, RawQuery, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use streamfold_platform::VmEntry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::dice;

/// The largest value held.
const MAX_VALUE: usize = 1 << 20;

/// Faults of the platform.
#[derive(Default)]
pub struct PlatformFaults {
    /// Every call is refused.
    pub outage: AtomicBool,
    /// Milliseconds added to each call.
    pub slow_ms: AtomicU64,
    /// In a thousand writes, so many take effect and their answer is lost.
    pub lost_answers: AtomicU64,
}

/// Calls the platform has had.
#[derive(Default)]
pub struct PlatformCalls {
    /// Reads and listings.
    pub reads: AtomicU64,
    /// Writes and deletes.
    pub writes: AtomicU64,
    /// Watches.
    pub watches: AtomicU64,
}

struct VmRow {
    entry: VmEntry,
    shown_from: Instant,
}

/// The platform's state.
pub struct PlatformState {
    /// Switches.
    pub faults: PlatformFaults,
    /// Counters.
    pub calls: PlatformCalls,
    objects: Mutex<BTreeMap<String, (u64, Bytes)>>,
    vms: Mutex<Vec<VmRow>>,
    next_tag: AtomicU64,
    changed: watch::Sender<u64>,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            faults: PlatformFaults::default(),
            calls: PlatformCalls::default(),
            objects: Mutex::default(),
            vms: Mutex::default(),
            next_tag: AtomicU64::new(1),
            changed: watch::Sender::new(0),
        }
    }
}

impl PlatformState {
    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, (u64, Bytes)>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists a VM, visible after the list's lag.
    pub fn list_vm(&self, entry: VmEntry, lag: Duration) {
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.push(VmRow { entry, shown_from: Instant::now() + lag });
    }

    /// Every stored key with its bytes, for checks.
    pub fn dump(&self, prefix: &str) -> Vec<(String, Bytes)> {
        let objects = self.objects();
        let found = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        found.map(|(key, (_, body))| (key.clone(), body.clone())).collect()
    }

    /// Puts a value as it was at another time, as a store that went back would.
    pub fn force(&self, key: &str, body: Bytes) {
        let tag = self.next_tag.fetch_add(1, Ordering::Relaxed);
        self.objects().insert(key.to_owned(), (tag, body));
        self.changed.send_replace(tag);
    }
}

/// A running stand-in.
pub struct PlatformStandin {
    /// Its state and switches.
    pub state: Arc<PlatformState>,
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a platform.
///
/// # Errors
/// The port cannot be opened.
pub async fn start(address: SocketAddr) -> std::io::Result<PlatformStandin> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let state = Arc::new(PlatformState::default());
    let router = Router::new()
        .route("/objects", get(list))
        .route("/objects/{*key}", get(read).put(write).delete(remove))
        .route("/vms", get(vms))
        .with_state(state.clone());
    let task = tokio::spawn(async move {
        // It serves until it is dropped.
        let _ = axum::serve(listener, router).await;
    });
    Ok(PlatformStandin { state, address, task })
}

async fn suffer(state: &PlatformState) -> Result<(), StatusCode> {
    let slow = state.faults.slow_ms.load(Ordering::Relaxed);
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    match state.faults.outage.load(Ordering::Relaxed) {
        true => Err(StatusCode::SERVICE_UNAVAILABLE),
        false => Ok(()),
    }
}

fn find<'a>(parameters: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = parameters?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value)
}

fn quote(tag: u64) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{tag}\"")).unwrap_or_else(|_| HeaderValue::from_static("\"0\""))
}

async fn read(
    State(state): State<Arc<PlatformState>>,
    Path(key): Path<String>,
    RawQuery(parameters): RawQuery,
    headers: HeaderMap,
) -> Result<Response, StatusCode> {
    let wait_ms: Option<u64> = find(parameters.as_deref(), "wait_ms").and_then(|wait| wait.parse().ok());
    let counter = if wait_ms.is_some() { &state.calls.watches } else { &state.calls.reads };
    counter.fetch_add(1, Ordering::Relaxed);
    suffer(&state).await?;
    let known = headers.get(header::IF_NONE_MATCH).cloned();
    let deadline = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    let mut changed = state.changed.subscribe();
    loop {
        let found = state.objects().get(&key).cloned();
        let is_known = found.as_ref().map(|(tag, _)| quote(*tag)) == known;
        if !is_known && let Some((tag, body)) = found {
            return Ok(([(header::ETAG, quote(tag))], body).into_response());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(if found_nothing(&known) { StatusCode::NOT_FOUND } else { StatusCode::NOT_MODIFIED });
        }
        // A change or the end of the wait: both are looked at above.
        let _ = tokio::time::timeout(left, changed.changed()).await;
        if state.faults.outage.load(Ordering::Relaxed) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

fn found_nothing(known: &Option<HeaderValue>) -> bool {
    known.is_none()
}

async fn write(
    State(state): State<Arc<PlatformState>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, StatusCode> {
    state.calls.writes.fetch_add(1, Ordering::Relaxed);
    suffer(&state).await?;
    if body.len() > MAX_VALUE {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let tag = {
        let mut objects = state.objects();
        let current = objects.get(&key).map(|(tag, _)| quote(*tag));
        let matches = headers.get(header::IF_MATCH).is_none_or(|wanted| Some(wanted) == current.as_ref());
        let absent = headers.get(header::IF_NONE_MATCH).is_none() || current.is_none();
        if !matches || !absent {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        let tag = state.next_tag.fetch_add(1, Ordering::Relaxed);
        objects.insert(key, (tag, body));
        tag
    };
    state.changed.send_replace(tag);
    if dice::chance(state.faults.lost_answers.load(Ordering::Relaxed)) {
        return Ok(lose_answer());
    }
    Ok(([(header::ETAG, quote(tag))], "").into_response())
}

/// An answer that breaks off before its end.
fn lose_answer() -> Response {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let stream = http_body_util::StreamBody::new(OneError(Some(broken)));
    Response::new(Body::new(stream))
}

struct OneError(Option<std::io::Error>);

impl futures_core::Stream for OneError {
    type Item = Result<hyper::body::Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(self.0.take().map(Err))
    }
}

async fn remove(State(state): State<Arc<PlatformState>>, Path(key): Path<String>) -> Result<StatusCode, StatusCode> {
    state.calls.writes.fetch_add(1, Ordering::Relaxed);
    suffer(&state).await?;
    state.objects().remove(&key);
    Ok(StatusCode::NO_CONTENT)
}

async fn list(
    State(state): State<Arc<PlatformState>>,
    RawQuery(parameters): RawQuery,
) -> Result<Json<Vec<String>>, StatusCode> {
    state.calls.reads.fetch_add(1, Ordering::Relaxed);
    suffer(&state).await?;
    let prefix = find(parameters.as_deref(), "prefix").unwrap_or_default().to_owned();
    let keys = state.dump(&prefix).into_iter().map(|(key, _)| key);
    Ok(Json(keys.collect()))
}

async fn vms(State(state): State<Arc<PlatformState>>) -> Result<Json<Vec<VmEntry>>, StatusCode> {
    state.calls.reads.fetch_add(1, Ordering::Relaxed);
    suffer(&state).await?;
    let now = Instant::now();
    let vms = state.vms.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Json(vms.iter().filter(|row| row.shown_from <= now).map(|row| row.entry.clone()).collect()))
}
