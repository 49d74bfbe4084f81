//! The pool of connections to one server, idle and in use, with a limit on their number.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::Moment;
use tokio::sync::Notify;

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
    _permit: ConnectionPermit,
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

    /// Takes an idle connection that the server has not closed. If `is_once` is set, connections that have been idle
    /// for more than [`MAX_IDLE_IF_ONCE`] are closed.
    async fn take_idle(&self, now: Moment, is_once: bool) -> Option<LeasedConnection> {
        loop {
            let idle = self.idle().pop()?;
            let mut leased = idle.leased;
            let is_stale = is_once && now.since(idle.since) > MAX_IDLE_IF_ONCE;
            if now < idle.until && !is_stale && leased.connection.is_usable().await {
                return Some(leased);
            }
        }
    }

    /// Returns an idle connection, a new one, or the next one that is freed.
    ///
    /// # Errors
    /// No connection is available within `timeout`, or the server cannot be connected to.
    pub async fn lease(
        &self,
        address: SocketAddr,
        now: Moment,
        is_once: bool,
        timeout: Duration,
    ) -> std::io::Result<LeasedConnection> {
        loop {
            if let Some(leased) = self.take_idle(now, is_once).await {
                return Ok(leased);
            }
            if let Some(permit) = ConnectionPermit::take(&self.count) {
                let connection = ServerConnection::open(address, timeout).await?;
                return Ok(LeasedConnection { connection, _permit: permit });
            }
            let freed = tokio::time::timeout(timeout, self.count.freed.notified()).await;
            freed.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?;
        }
    }

    /// Returns a connection to the pool if it can carry another request. `keep_alive` is the timeout that the server
    /// announced.
    pub async fn put_back(&self, now: Moment, mut leased: LeasedConnection, keep_alive: Option<Duration>) {
        if !leased.connection.is_usable().await {
            return;
        }
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |keep_alive| keep_alive.saturating_sub(KEEP_ALIVE_MARGIN));
        let mut idle = self.idle();
        let idle_time = if idle.is_empty() { idle_time } else { idle_time.min(SPARE_IDLE_TIME) };
        idle.push(IdleConnection { leased, since: now, until: now.plus(idle_time) });
        drop(idle);
        self.count.freed.notify_one();
    }

    /// Closes connections whose idle time is over.
    pub fn sweep(&self, now: Moment) {
        self.idle().retain(|idle| now < idle.until);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
    }
}
