//! The connections to one server: at rest, in use, and how many there may be.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::Moment;
use tokio::sync::Notify;

use crate::connection::ServerConnection;

/// How long a connection rests at most where the server tells no time.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// A connection is given up so long before the server would close it.
const REST_MARGIN: Duration = Duration::from_millis(500);
/// Connections beyond the first rest only shortly: when machines lose power, servers hold the
/// old connections for a while beside the new ones, and refuse those over their limit.
const SPARE_REST: Duration = Duration::from_millis(400);
/// A request that must not run twice takes no connection that has rested longer: the server
/// may be closing it at this moment.
const FRESH_REST: Duration = Duration::from_millis(500);

/// A connection at rest.
struct RestingConnection {
    leased: LeasedConnection,
    since: Moment,
    until: Moment,
}

/// Connections to one server, at rest or in use.
#[derive(Default)]
struct ConnectionCount {
    open: AtomicU32,
    /// Connections this node may have to it.
    share: AtomicU32,
    freed: Notify,
}

/// Counts one connection for as long as it lives.
struct ConnectionPermit(Arc<ConnectionCount>);

impl ConnectionPermit {
    /// Counts one more connection, unless the share is used up.
    fn take(count: &Arc<ConnectionCount>) -> Option<Self> {
        let share = count.share.load(Ordering::Relaxed);
        let more = |open| (open < share).then_some(open + 1);
        let counted = count.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
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
    resting: Mutex<Vec<RestingConnection>>,
    count: Arc<ConnectionCount>,
}

impl ConnectionPool {
    fn resting(&self) -> MutexGuard<'_, Vec<RestingConnection>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how many connections there may be.
    pub fn set_connection_limit(&self, share: u32) {
        self.count.share.store(share, Ordering::Relaxed);
    }

    /// How many connections there may be, at least one.
    pub fn share(&self) -> u32 {
        self.count.share.load(Ordering::Relaxed).max(1)
    }

    /// Takes a resting connection that the server has not closed; one that rested long is
    /// passed over where `is_once` is set.
    async fn take_resting(&self, now: Moment, is_once: bool) -> Option<LeasedConnection> {
        loop {
            let resting = self.resting().pop()?;
            let mut leased = resting.leased;
            let is_stale = is_once && now.since(resting.since) > FRESH_REST;
            if now < resting.until && !is_stale && leased.connection.is_usable().await {
                return Some(leased);
            }
        }
    }

    /// A connection to the server: one at rest, a new one, or the next one that is freed.
    ///
    /// # Errors
    /// It cannot be connected to in time.
    pub async fn lease(
        &self,
        address: SocketAddr,
        now: Moment,
        is_once: bool,
        within: Duration,
    ) -> std::io::Result<LeasedConnection> {
        loop {
            if let Some(leased) = self.take_resting(now, is_once).await {
                return Ok(leased);
            }
            if let Some(permit) = ConnectionPermit::take(&self.count) {
                let connection = ServerConnection::open(address, within).await?;
                return Ok(LeasedConnection { connection, _permit: permit });
            }
            let freed = tokio::time::timeout(within, self.count.freed.notified()).await;
            freed.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?;
        }
    }

    /// Takes a connection back for the next request, if it can carry one.
    pub async fn put_back(&self, now: Moment, mut leased: LeasedConnection, told: Option<Duration>) {
        if !leased.connection.is_usable().await {
            return;
        }
        let rest = told.map_or(DEFAULT_REST, |told| told.saturating_sub(REST_MARGIN));
        let mut resting = self.resting();
        let rest = if resting.is_empty() { rest } else { rest.min(SPARE_REST) };
        resting.push(RestingConnection { leased, since: now, until: now.plus(rest) });
        drop(resting);
        self.count.freed.notify_one();
    }

    /// Closes connections that have rested too long.
    pub fn sweep(&self, now: Moment) {
        self.resting().retain(|resting| now < resting.until);
    }

    /// Closes all connections at rest.
    pub fn close_resting(&self) {
        self.resting().clear();
    }
}
