//! What callers may hold together: connections, and memory for their requests and answers. While there is room, nothing
//! is limited. When there is none, the connection that holds most for longest is closed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::ByteSize;
use streamfold_policy::Moment;
use streamfold_policy::caller_cut::{CallerHolding, MIN_SEND_TIME, choose_for_connection, choose_for_memory};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::caller_connection::CallerConnection;
use crate::machine_limits::MachineLimits;
use crate::memory_pool::{MemoryHold, MemoryPool};

/// The first part of an answer, in bytes. Only what is longer takes of the memory for long answers, so that those never
/// keep out short ones.
const SHORT_ANSWER_LEN: usize = 64 << 10;
/// How long an answer waits for memory: until an answer that is sent now counts as read slowly.
const ROOM_TIMEOUT: Duration = MIN_SEND_TIME.saturating_add(ROOM_CHECK_INTERVAL);
/// How often it checks whether any connection may be closed by now.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many answers may wait for memory at the same time. What their servers send meanwhile waits in buffers.
const MAX_WAITING: usize = 16;
/// By how much of their memory answers may exceed it before further requests are refused.
const MAX_EXCESS: f64 = 0.5;
/// The memory of a machine about which nothing is known.
const DEFAULT_MEMORY: ByteSize = ByteSize(256 << 20);
/// Its file descriptors.
const DEFAULT_FILES: u32 = 4_096;

/// A kind of memory, each with a limit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// Request heads that are being read.
    Heads,
    /// Request bodies, and copies of them for other nodes.
    Bodies,
    /// The first part of each answer.
    ShortAnswers,
    /// The rest of long answers.
    LongAnswers,
}

/// Why a caller's connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// Another caller needs a connection.
    Connections,
    /// Another request needs memory.
    RequestMemory,
    /// Another answer needs memory.
    AnswerMemory,
}

impl CutReason {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::RequestMemory => "request_memory",
            Self::AnswerMemory => "answer_memory",
        }
    }
}

impl From<MemoryKind> for CutReason {
    fn from(kind: MemoryKind) -> Self {
        match kind {
            MemoryKind::Heads | MemoryKind::Bodies => Self::RequestMemory,
            MemoryKind::ShortAnswers | MemoryKind::LongAnswers => Self::AnswerMemory,
        }
    }
}

/// A place for one more connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPlace {
    Free,
    /// Another connection is being closed for it.
    BeingFreed,
}

/// The limits of all callers of a port, and what each of them holds.
#[derive(Debug)]
pub struct CallerLimits {
    heads: Arc<MemoryPool>,
    bodies: Arc<MemoryPool>,
    short_answers: Arc<MemoryPool>,
    long_answers: Arc<MemoryPool>,
    max_connections: usize,
    connections: Mutex<HashMap<u64, Arc<CallerConnection>>>,
    next_id: AtomicU64,
    /// Notified when a connection was closed.
    closed: Notify,
    started: Instant,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self::new(MachineLimits::new(Some(DEFAULT_MEMORY), Some(DEFAULT_FILES)))
    }
}

impl CallerLimits {
    /// Limits callers to their part of a machine.
    pub fn new(machine: MachineLimits) -> Self {
        Self {
            heads: MemoryPool::new(machine.heads_len()),
            bodies: MemoryPool::new(machine.bodies_len()),
            short_answers: MemoryPool::new(machine.short_answers_len()),
            long_answers: MemoryPool::new(machine.long_answers_len()),
            max_connections: machine.connections(),
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
            closed: Notify::new(),
            started: Instant::now(),
        }
    }

    /// The same limits with at most this many connections.
    pub fn with_connections(self, max_connections: usize) -> Self {
        Self { max_connections: self.max_connections.min(max_connections), ..self }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn table(&self) -> MutexGuard<'_, HashMap<u64, Arc<CallerConnection>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn pool(&self, kind: MemoryKind) -> &Arc<MemoryPool> {
        match kind {
            MemoryKind::Heads => &self.heads,
            MemoryKind::Bodies => &self.bodies,
            MemoryKind::ShortAnswers => &self.short_answers,
            MemoryKind::LongAnswers => &self.long_answers,
        }
    }

    /// A hold on one kind of memory, empty so far.
    pub fn hold(&self, kind: MemoryKind) -> MemoryHold {
        MemoryHold::new(self.pool(kind).clone())
    }

    /// The parts of an answer that take the memory for short and for long answers, in bytes.
    pub(crate) fn split_answer(len: usize) -> (usize, usize) {
        let short = len.min(SHORT_ANSWER_LEN);
        (short, len - short)
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.table().len()
    }

    /// Counts a new connection. If there are too many, it has one closed and waits for its end; `None` if none may be
    /// closed.
    pub async fn admit(self: &Arc<Self>, peer: SocketAddr) -> Option<ConnectionEntry> {
        while self.find_place()? == ConnectionPlace::BeingFreed {
            self.closed.notified().await;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = CallerConnection::new(id, peer, self.clone());
        self.table().insert(id, connection.clone());
        Some(ConnectionEntry { connection, limits: self.clone() })
    }

    /// Looks for a place for one more connection. If there is none, has a connection closed unless one is being closed
    /// already; `None` if none may be closed.
    fn find_place(&self) -> Option<ConnectionPlace> {
        let table = self.table();
        if table.len() < self.max_connections {
            return Some(ConnectionPlace::Free);
        }
        if !table.values().any(|connection| connection.is_cut()) {
            let chosen = choose_for_connection(self.now(), list_holdings(&table, None))?;
            chosen.close(CutReason::Connections);
        }
        Some(ConnectionPlace::BeingFreed)
    }

    /// Has connections closed until there is room for `bytes` more. Returns whether any that holds memory of this kind is
    /// being closed.
    pub(crate) fn make_room(&self, kind: MemoryKind, bytes: usize) -> bool {
        let missing = self.pool(kind).missing(bytes);
        if missing == 0 {
            return false;
        }
        let table = self.table();
        let mut pending: usize = table.values().map(|connection| connection.pending_len(kind)).sum();
        while pending < missing {
            let Some(chosen) = choose_for_memory(self.now(), list_holdings(&table, Some(kind))) else { break };
            chosen.close(kind.into());
            pending += chosen.pending_len(kind);
        }
        pending > 0
    }

    /// Whether a request may be served whose answer other nodes make, so that its length is known only once it is there.
    /// While answers exceed their memory, connections are closed that are slow to take theirs.
    pub fn has_answer_room(&self) -> bool {
        [MemoryKind::ShortAnswers, MemoryKind::LongAnswers].into_iter().all(|kind| {
            self.make_room(kind, 0);
            !self.pool(kind).is_exceeded_by(MAX_EXCESS)
        })
    }

    /// Holds more memory. If there is none, it has connections closed and waits for their end; returns false if none of
    /// them holds any.
    pub(crate) async fn grow_hold(&self, kind: MemoryKind, hold: &mut MemoryHold, bytes: usize) -> bool {
        while !hold.try_grow(bytes) {
            if !self.make_room(kind, bytes) {
                return hold.try_grow(bytes);
            }
            let is_free = || self.pool(kind).missing(bytes) == 0;
            // Memory may also be given back by requests that end.
            let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, self.pool(kind).wait_freed(is_free)).await;
        }
        true
    }

    /// Takes memory for more of an answer. If there is none, it has connections closed that are slow to take theirs, and
    /// waits for a limited time; returns false if there is none by then.
    pub(crate) async fn take_for_answer(&self, kind: MemoryKind, bytes: usize) -> bool {
        if self.pool(kind).try_take(bytes) {
            return true;
        }
        let until = self.now().plus(ROOM_TIMEOUT);
        while self.now() < until {
            self.make_room(kind, bytes);
            if self.pool(kind).count_waiting() >= MAX_WAITING {
                break;
            }
            let is_free = || self.pool(kind).missing(bytes) == 0;
            let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, self.pool(kind).wait_freed(is_free)).await;
            if self.pool(kind).try_take(bytes) {
                return true;
            }
        }
        metrics::counter!("streamfold_answers_without_memory_total").increment(1);
        false
    }

    pub(crate) fn give_back(&self, kind: MemoryKind, bytes: usize) {
        self.pool(kind).give_back(bytes);
    }

    /// Updates the metrics of what callers hold.
    pub fn report(&self) {
        metrics::gauge!("streamfold_caller_connections").set(self.open_connections() as f64);
        let kinds = [
            ("heads", MemoryKind::Heads),
            ("bodies", MemoryKind::Bodies),
            ("short_answers", MemoryKind::ShortAnswers),
            ("long_answers", MemoryKind::LongAnswers),
        ];
        for (name, kind) in kinds {
            metrics::gauge!("streamfold_caller_memory_bytes", "kind" => name).set(self.pool(kind).used() as f64);
        }
    }
}

/// The connections that are not being closed, and what they hold.
fn list_holdings(
    table: &HashMap<u64, Arc<CallerConnection>>,
    kind: Option<MemoryKind>,
) -> impl Iterator<Item = (&CallerConnection, CallerHolding)> {
    table.values().filter_map(move |connection| Some((&**connection, connection.holding(kind)?)))
}

/// A place among the connections, until it is dropped.
#[derive(Debug)]
pub struct ConnectionEntry {
    /// The connection.
    pub connection: Arc<CallerConnection>,
    limits: Arc<CallerLimits>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.limits.table().remove(&self.connection.id);
        self.limits.closed.notify_one();
    }
}
