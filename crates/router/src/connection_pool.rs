//! The pool of connections to one server, idle and in use, with a limit on their number.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::HeaderValue;
use streamfold_policy::Moment;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::ServerConnection;

/// Maximum idle time of a connection if the server announces no keep-alive timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Idle connections are closed this long before the server would close them.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Idle time of connections beyond the first. When machines that run nodes lose power, servers hold the old
/// connections open beside the new ones for a while and refuse connections over their limit.
const SPARE_IDLE_TIME: Duration = Duration::from_millis(400);
/// A request that must not run twice uses no connection that has been idle for longer, since the server may be closing
/// it at this moment.
const MAX_IDLE_IF_ONCE: Duration = Duration::from_millis(500);

/// Number of refused requests that a connection remembers. One with more is closed, which under heavy load costs a new
/// connection for as many refusals.
const MAX_REFUSED_REQUESTS: usize = 64;

/// Identifies a request on a connection: the hash of its id. Where two requests have the same hash, one of them only
/// goes over another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// The key of a request id.
    pub fn of(id: &HeaderValue) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

/// What a call needs of a connection.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTerms {
    /// The current time.
    pub now: Moment,
    /// The request that is sent.
    pub request: RequestKey,
    /// Whether the request must not run twice.
    pub is_once: bool,
    /// How long a new connection may take.
    pub timeout: Duration,
}

/// A request that the server refused on a connection.
#[derive(Debug, Clone, Copy)]
struct RefusedRequest {
    request: RequestKey,
    /// No further attempt of the request is made after its deadline.
    deadline: Moment,
}

/// An idle connection.
struct IdleConnection {
    leased: LeasedConnection,
    since: Moment,
    until: Moment,
}

/// Number of connections to one server, idle or in use.
#[derive(Default)]
struct ConnectionCount {
    open: AtomicU32,
    /// Number of connections that this node may have to the server.
    limit: AtomicU32,
    freed: Notify,
}

/// Counts one connection until it is dropped.
struct ConnectionPermit(Arc<ConnectionCount>);

impl ConnectionPermit {
    /// Counts one more connection unless the limit is reached.
    fn take(count: &Arc<ConnectionCount>) -> Option<Self> {
        let limit = count.limit.load(Ordering::Relaxed);
        let add_one = |open| (open < limit).then_some(open + 1);
        let counted = count.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one);
        counted.ok().map(|_| Self(count.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.freed.notify_one();
    }
}

/// A connection in use with its permit.
pub struct LeasedConnection {
    /// The connection.
    pub connection: ServerConnection,
    refused: Vec<RefusedRequest>,
    _permit: ConnectionPermit,
}

impl LeasedConnection {
    fn new(connection: ServerConnection, permit: ConnectionPermit) -> Self {
        Self { connection, refused: Vec::new(), _permit: permit }
    }

    /// Records that the server refused a request on this connection. Until its deadline, further attempts of the request
    /// go over other connections: a second copy of the refusal may arrive late, and the request id does not tell the
    /// attempts apart.
    pub fn note_refused(&mut self, now: Moment, request: RequestKey, deadline: Moment) {
        self.refused.retain(|refused| now < refused.deadline);
        self.refused.push(RefusedRequest { request, deadline });
    }

    fn has_refused(&self, request: RequestKey) -> bool {
        self.refused.iter().any(|refused| refused.request == request)
    }
}

/// The connections to one server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>,
    count: Arc<ConnectionCount>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum number of connections.
    pub fn set_connection_limit(&self, limit: u32) {
        self.count.limit.store(limit, Ordering::Relaxed);
    }

    /// The maximum number of connections, at least one.
    pub fn connection_limit(&self) -> u32 {
        self.count.limit.load(Ordering::Relaxed).max(1)
    }

    /// Takes an idle connection that the server has not closed and on which it has not refused the request. For a request
    /// that must not run twice, connections that have been idle for more than [`MAX_IDLE_IF_ONCE`] are closed.
    fn take_idle(&self, terms: &LeaseTerms) -> Option<LeasedConnection> {
        loop {
            let idle = self.pop_idle(terms.request)?;
            let mut leased = idle.leased;
            let is_stale = terms.is_once && terms.now.since(idle.since) > MAX_IDLE_IF_ONCE;
            if terms.now < idle.until && !is_stale && leased.connection.is_usable() {
                return Some(leased);
            }
        }
    }

    /// Removes the connection that became idle last, of those that may carry the request.
    fn pop_idle(&self, request: RequestKey) -> Option<IdleConnection> {
        let mut idle = self.idle();
        let position = idle.iter().rposition(|idle| !idle.leased.has_refused(request))?;
        Some(idle.remove(position))
    }

    /// Closes an idle connection; returns whether there was one.
    fn close_one_idle(&self) -> bool {
        let closed = self.idle().pop();
        closed.is_some()
    }

    /// Returns an idle connection, a new one, or the next one that is freed.
    ///
    /// # Errors
    /// No connection is available in time, or the server cannot be connected to.
    pub async fn lease(&self, address: SocketAddr, terms: &LeaseTerms) -> std::io::Result<LeasedConnection> {
        loop {
            if let Some(leased) = self.take_idle(terms) {
                return Ok(leased);
            }
            if let Some(permit) = ConnectionPermit::take(&self.count) {
                let connection = ServerConnection::open(address, terms.timeout).await?;
                return Ok(LeasedConnection::new(connection, permit));
            }
            // At the limit, a connection that may not carry this request makes room for one that may.
            if self.close_one_idle() {
                continue;
            }
            let freed = tokio::time::timeout(terms.timeout, self.count.freed.notified()).await;
            freed.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?;
        }
    }

    /// Returns a connection to the pool if it can carry another request. `keep_alive` is the timeout that the server
    /// announced.
    pub fn put_back(&self, now: Moment, mut leased: LeasedConnection, keep_alive: Option<Duration>) {
        if leased.refused.len() >= MAX_REFUSED_REQUESTS || !leased.connection.is_usable() {
            return;
        }
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |keep_alive| keep_alive.saturating_sub(KEEP_ALIVE_MARGIN));
        let mut idle = self.idle();
        let idle_time = if idle.is_empty() { idle_time } else { idle_time.min(SPARE_IDLE_TIME) };
        idle.push(IdleConnection { leased, since: now, until: now.plus(idle_time) });
        drop(idle);
        self.count.freed.notify_one();
    }

    /// Closes connections whose idle time is over, and those on which a server sends bytes that no request waits for, which
    /// would fill the machine's buffers.
    pub fn sweep(&self, now: Moment) {
        self.idle().retain_mut(|idle| now < idle.until && idle.leased.connection.is_usable());
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
    }
}
