//! One connection of a caller: what it is doing and what it holds.

use std::io::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::HeaderMap;
use streamfold_policy::Moment;
use streamfold_policy::caller_cut::{CallerHolding, CallerPhase};
use tokio::sync::Notify;

use crate::caller_limits::{CallerLimits, CutReason, MemoryKind};
use crate::memory_pool::{HeldBytes, MemoryHold};
use streamfold_link::counted_stream::ReadCounter;

/// A connection that counts against the limits until it is dropped. On HTTP/2 several requests and answers may be under way
/// at once; the connection then counts as receiving or sending, since what it holds is that of all of them.
#[derive(Debug)]
pub struct CallerConnection {
    pub(crate) id: u64,
    /// The caller's address.
    pub peer: SocketAddr,
    limits: Arc<CallerLimits>,
    state: Mutex<ConnectionState>,
    cut: Notify,
}

#[derive(Debug)]
struct ConnectionState {
    /// When the current phase began.
    since: Moment,
    has_requested: bool,
    /// Requests that have arrived and are not answered yet.
    requests: usize,
    /// Bodies that are being read.
    bodies: usize,
    /// Answers that are being sent, and their length in bytes.
    answers: usize,
    unsent: UnsentLen,
    /// Memory of the head that is being read.
    head: MemoryHold,
    /// Memory of the bodies that are being read.
    body_len: usize,
    cut: Option<CutReason>,
}

/// Length of the answers that are being sent, by the memory that they take, in bytes.
#[derive(Debug, Clone, Copy, Default)]
struct UnsentLen {
    short: usize,
    long: usize,
}

impl ConnectionState {
    fn phase(&self) -> CallerPhase {
        if self.bodies > 0 {
            CallerPhase::Receiving
        } else if self.answers > 0 {
            CallerPhase::Sending
        } else if self.requests > 0 {
            CallerPhase::Serving
        } else if self.has_requested {
            CallerPhase::Idle
        } else {
            CallerPhase::Unused
        }
    }

    fn held(&self, kind: MemoryKind) -> usize {
        match kind {
            MemoryKind::Heads => self.head.bytes(),
            MemoryKind::Bodies => self.body_len,
            MemoryKind::ShortAnswers => self.unsent.short,
            MemoryKind::LongAnswers => self.unsent.long,
        }
    }
}

impl CallerConnection {
    pub(crate) fn new(id: u64, peer: SocketAddr, limits: Arc<CallerLimits>) -> Arc<Self> {
        let state = ConnectionState {
            since: limits.now(),
            has_requested: false,
            requests: 0,
            bodies: 0,
            answers: 0,
            unsent: UnsentLen::default(),
            head: limits.hold(MemoryKind::Heads),
            body_len: 0,
            cut: None,
        };
        Arc::new(Self { id, peer, limits, state: Mutex::new(state), cut: Notify::new() })
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state; a change of the phase starts its time anew.
    fn change(&self, change: impl FnOnce(&mut ConnectionState)) {
        let mut state = self.state();
        let before = state.phase();
        change(&mut state);
        if state.phase() != before {
            state.since = self.limits.now();
        }
    }

    /// What it holds of one kind of memory; `None` once it is about to be closed.
    pub(crate) fn holding(&self, kind: Option<MemoryKind>) -> Option<CallerHolding> {
        let state = self.state();
        let bytes = kind.map_or(0, |kind| state.held(kind));
        state.cut.is_none().then(|| CallerHolding { phase: state.phase(), since: state.since, bytes })
    }

    /// Whether it is about to be closed.
    pub(crate) fn is_cut(&self) -> bool {
        self.state().cut.is_some()
    }

    /// The memory that it gives back once it is closed, if it is about to be.
    pub(crate) fn pending_len(&self, kind: MemoryKind) -> usize {
        let state = self.state();
        if state.cut.is_some() { state.held(kind) } else { 0 }
    }

    /// Has it closed, and logs why.
    pub(crate) fn close(&self, reason: CutReason) {
        let (holding, bytes) = {
            let mut state = self.state();
            state.cut = Some(reason);
            let bytes = state.head.bytes() + state.body_len + state.unsent.short + state.unsent.long;
            (CallerHolding { phase: state.phase(), since: state.since, bytes }, bytes)
        };
        metrics::counter!("streamfold_callers_cut_total", "reason" => reason.name()).increment(1);
        tracing::info!(
            event = "caller_cut",
            peer = %self.peer,
            reason = reason.name(),
            phase = ?holding.phase,
            bytes,
            for_ms = self.limits.now().since(holding.since).as_millis() as u64
        );
        self.cut.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub async fn wait_cut(&self) {
        self.cut.notified().await;
    }

    /// Counts a request whose head is complete.
    pub fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.change(|state| {
            state.has_requested = true;
            state.requests += 1;
            state.head.clear();
        });
        RequestGuard { connection: self.clone(), is_answered: false }
    }

    /// Counts a body that is being read.
    pub fn start_body(self: &Arc<Self>) -> BodyGuard {
        self.change(|state| state.bodies += 1);
        BodyGuard { connection: self.clone(), hold: self.limits.hold(MemoryKind::Bodies) }
    }

    fn note_sent(&self, unsent: UnsentLen) {
        self.change(|state| {
            state.answers -= 1;
            state.unsent.short -= unsent.short;
            state.unsent.long -= unsent.long;
        });
    }
}

impl ReadCounter for CallerConnection {
    /// Counts bytes that were read and are not part of a complete request yet.
    fn note_read(&self, bytes: usize) -> std::io::Result<()> {
        {
            let mut state = self.state();
            // While a request is served or answered, little is read of the next one.
            if matches!(state.phase(), CallerPhase::Serving | CallerPhase::Sending) {
                return Ok(());
            }
            state.head.grow(bytes);
        }
        if !self.limits.make_room(MemoryKind::Heads, 0) {
            return Ok(());
        }
        match self.state().cut {
            Some(reason) => Err(Error::other(reason.name())),
            None => Ok(()),
        }
    }
}

/// A request that is being served, until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Arc<CallerConnection>,
    is_answered: bool,
}

impl RequestGuard {
    /// The connection of the request.
    pub fn connection(&self) -> &Arc<CallerConnection> {
        &self.connection
    }

    /// Never returns if the connection is about to be closed: its closing was decided before the request had arrived, so
    /// the request must not run.
    pub async fn wait_if_cut(&self) {
        if self.connection.state().cut.is_some() {
            std::future::pending::<()>().await;
        }
    }

    /// Hands over the body of an answer with this head. Both count as being sent for as long as any part of the body is in
    /// use: the head is sent before it.
    pub fn send(mut self, head: &HeaderMap, body: Bytes) -> Bytes {
        let (short, long) = CallerLimits::split_answer(body.len());
        let head_len = head.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let short = short + head_len;
        let unsent = UnsentLen { short, long };
        let is_empty = body.is_empty();
        self.is_answered = true;
        self.connection.change(|state| {
            state.requests -= 1;
            if !is_empty {
                state.answers += 1;
                state.unsent.short += short;
                state.unsent.long += long;
            }
        });
        if is_empty {
            return body;
        }
        let mut head = self.connection.limits.hold(MemoryKind::ShortAnswers);
        head.grow(head_len);
        let sending = SendingAnswer { connection: self.connection.clone(), unsent, _head: head };
        Bytes::from_owner(HeldBytes { bytes: body, _hold: sending })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.connection.change(|state| state.requests -= 1);
        }
    }
}

/// An answer that is being sent, until it is dropped.
struct SendingAnswer {
    connection: Arc<CallerConnection>,
    unsent: UnsentLen,
    /// The memory of its head.
    _head: MemoryHold,
}

impl Drop for SendingAnswer {
    fn drop(&mut self) {
        self.connection.note_sent(self.unsent);
    }
}

/// A body that is being read, until it is dropped, with the memory that it takes.
#[derive(Debug)]
pub struct BodyGuard {
    connection: Arc<CallerConnection>,
    hold: MemoryHold,
}

impl BodyGuard {
    /// Takes memory for more of the body; returns false if there is none.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let is_held = self.connection.limits.grow_hold(MemoryKind::Bodies, &mut self.hold, bytes).await;
        self.connection.state().body_len += if is_held { bytes } else { 0 };
        is_held
    }

    /// Records that what was read of the connection so far is part of the body.
    pub fn note_taken(&self) {
        self.connection.state().head.clear();
    }

    /// Ends the body. Its memory is held for as long as any part of it is in use.
    pub fn finish<T: AsRef<[u8]> + Send + 'static>(mut self, bytes: T) -> Bytes {
        let empty = self.connection.limits.hold(MemoryKind::Bodies);
        let hold = std::mem::replace(&mut self.hold, empty);
        self.connection.state().body_len -= hold.bytes();
        hold.attach(bytes)
    }
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let held = self.hold.bytes();
        self.connection.change(|state| {
            state.bodies -= 1;
            state.body_len -= held;
            state.head.clear();
        });
    }
}
