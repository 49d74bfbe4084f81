//! One server: its entry, its observed state and the connections to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{
    AllowedRegions, EntryRevision, FailureDomain, ServerEntry, ServerId, ServerRun, ServerStart, ServiceName,
};
use streamfold_policy::cold_limit::ColdCalls;
use streamfold_policy::crash_tracker::CrashSuspect;
use streamfold_policy::finish_estimate::{FinishEstimator, ServerEstimate};
use streamfold_policy::recent_work::RecentWork;
use streamfold_policy::replica::{CallSample, Distance, ReplicaState};
use streamfold_policy::server_exclusion::{ServerConditions, ServerExclusion, find_exclusion};
use streamfold_policy::{MechanismSet, Moment};

use crate::clock::NodeClock;
use crate::connection_pool::{ConnectionPool, LeaseTerms, LeasedConnection};
use crate::domain::DomainState;
use crate::slow_periods::SlowPeriodTracker;

/// The value of `usable_until` of a server that has an entry.
const NO_DOUBT: u64 = u64::MAX;

/// State that a server shares with others.
pub struct ServerShared {
    /// Its failure domain.
    pub domain: Arc<DomainState>,
    /// How long servers stay slow.
    pub slow_periods: Arc<SlowPeriodTracker>,
    /// The mechanisms by which its state is judged.
    pub mechanisms: MechanismSet,
}

/// One run of a server process.
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// Which of its runs this is.
    pub start: ServerStart,
    revision: AtomicU64,
    /// Its service.
    pub service: ServiceName,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// How far away it is.
    pub distance: Distance,
    domain_state: Arc<DomainState>,
    slow_periods: Arc<SlowPeriodTracker>,
    slots: u32,
    leaving: AtomicBool,
    /// When the server is used no longer since its entry is gone, in microseconds on the node clock; [`NO_DOUBT`] while
    /// it has an entry.
    usable_until: AtomicU64,
    /// Calls per second that this node may send while the server is cold.
    cold_quota: AtomicU32,
    cold_calls: Mutex<ColdCalls>,
    state: Mutex<ReplicaState>,
    work: Mutex<RecentWork>,
    crashed: AtomicBool,
    /// Time of the last check that found the process alive after a connection was lost, in microseconds.
    alive_at: AtomicU64,
    pool: ConnectionPool,
}

/// Counts a call as work of a server until it is dropped.
pub struct WorkGuard<'a> {
    server: &'a Server,
    clock: NodeClock,
    suspect: CrashSuspect,
    is_answered: bool,
}

impl WorkGuard<'_> {
    /// Records that the server answered.
    pub fn note_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        lock(&self.server.work).note_end(self.clock.now(), self.suspect, self.is_answered);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Creates a server without connections.
    pub fn new(entry: &ServerEntry, shared: ServerShared, now: Moment) -> Arc<Self> {
        let ServerShared { domain, slow_periods, mechanisms } = shared;
        Arc::new(Self {
            id: entry.id.clone(),
            start: entry.start,
            revision: AtomicU64::new(entry.revision.0),
            service: entry.service.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            distance: domain.distance,
            domain_state: domain,
            slow_periods,
            slots: entry.slots,
            leaving: AtomicBool::new(entry.is_draining),
            usable_until: AtomicU64::new(NO_DOUBT),
            cold_quota: AtomicU32::new(u32::MAX),
            cold_calls: Mutex::default(),
            state: Mutex::new(ReplicaState::new(entry.slots, now.plus(entry.warmup)).with_mechanisms(mechanisms)),
            work: Mutex::default(),
            crashed: AtomicBool::new(false),
            alive_at: AtomicU64::new(0),
            pool: ConnectionPool::default(),
        })
    }

    /// Records that a call is sent to the server.
    pub fn start_work(&self, clock: NodeClock, suspect: CrashSuspect) -> WorkGuard<'_> {
        lock(&self.work).note_start(suspect);
        WorkGuard { server: self, clock, suspect, is_answered: false }
    }

    /// Calls of this node that the server processes or has just processed.
    pub fn recent_work(&self, now: Moment) -> Vec<CrashSuspect> {
        lock(&self.work).suspects(now)
    }

    /// Records that the process is gone; true if that was not known.
    pub fn mark_crashed(&self) -> bool {
        !self.crashed.swap(true, Ordering::Relaxed)
    }

    /// Whether the process was found to be gone.
    pub fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Records that the process is alive although a connection was lost.
    pub fn note_alive(&self, now: Moment) {
        self.alive_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether the process was found to be alive after `moment`.
    pub fn is_alive_since(&self, moment: Moment) -> bool {
        self.alive_at.load(Ordering::Relaxed) > moment.0
    }

    /// The server's name and run.
    pub fn run(&self) -> ServerRun {
        ServerRun { id: self.id.clone(), start: self.start }
    }

    /// The server's entry, as sent to other nodes.
    pub fn entry(&self, now: Moment) -> ServerEntry {
        ServerEntry {
            id: self.id.clone(),
            start: self.start,
            revision: self.revision(),
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            is_draining: self.is_leaving(),
            warmup: self.state().warmup_left(now),
        }
    }

    /// Number of requests that the server processes concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The observed state of the server.
    pub fn state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    /// The expected cost of a call to the server, in microseconds. `typical` is the usual duration of such a call.
    pub fn cost(&self, now: Moment, typical: Duration) -> f64 {
        self.state().cost(now, self.distance, typical, self.slow_periods.mean())
    }

    /// Whether the server is unhealthy now: far slower than usual, or not expected to answer.
    pub fn is_slow(&self, now: Moment) -> bool {
        self.state().is_slow(now, self.slow_periods.mean())
    }

    /// The pace measured by calls of this node, and when it was measured.
    pub fn measured_pace(&self, now: Moment) -> Option<(f64, Moment)> {
        self.state().measured_pace(now, self.slow_periods.mean())
    }

    /// Records the outcome of a call that started at `started`.
    pub fn note_end(&self, now: Moment, started: Moment, sample: CallSample) {
        let period = self.state().finish_measured(now, started, sample, self.slow_periods.mean());
        if let Some(period) = period {
            self.slow_periods.note(period);
        }
    }

    /// When a call that is sent now is expected to finish. `typical` is the usual duration of such a call.
    pub fn estimate_finish(&self, now: Moment, typical: Duration) -> ServerEstimate {
        self.state().estimate_finish(now, typical, self.slow_periods.mean())
    }

    /// Records the pace that the server reported: how many times as long as usual its work takes.
    pub fn record_reported_pace(&self, now: Moment, pace: f64) {
        let sample = self.state().record_reported_pace(now, pace);
        if let Some(sample) = sample {
            self.slow_periods.note(sample);
        }
    }

    /// Whether the server is draining. It then gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// The reason why requests with these allowed regions are not sent to the server, if there is one.
    pub fn find_exclusion(&self, now: Moment, allowed_regions: &AllowedRegions) -> Option<ServerExclusion> {
        let conditions = ServerConditions {
            is_leaving: self.has_left(now),
            is_evacuated: self.domain_state.is_evacuated(),
            is_unreachable: self.is_unreachable(now),
            is_cold_limit_reached: self.is_cold_limit_reached(now),
            region: self.domain_state.region.as_ref(),
        };
        find_exclusion(allowed_regions, conditions)
    }

    /// Marks the server as draining and closes its idle connections. This is final for the run: a server that starts
    /// again is another run, even under the same id.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.pool.close_idle();
    }

    /// Whether the server's entry was removed. The server itself may be gone.
    pub fn is_doubtful(&self) -> bool {
        self.usable_until.load(Ordering::Relaxed) != NO_DOUBT
    }

    /// Until when the server is used although its entry is gone; `None` while it has an entry.
    pub fn usable_until(&self) -> Option<Moment> {
        Some(self.usable_until.load(Ordering::Relaxed)).filter(|until| *until != NO_DOUBT).map(Moment)
    }

    /// Records that the server's entry is gone, and until when the server is used all the same. Of several times the
    /// earliest holds.
    pub fn note_entry_gone(&self, usable_until: Moment) {
        self.usable_until.fetch_min(usable_until.0, Ordering::Relaxed);
    }

    /// Records that the server has an entry of this revision.
    pub fn note_entry(&self, revision: EntryRevision) {
        self.revision.fetch_max(revision.0, Ordering::Relaxed);
        self.usable_until.store(NO_DOUBT, Ordering::Relaxed);
    }

    /// The revision of the server's entry.
    pub fn revision(&self) -> EntryRevision {
        EntryRevision(self.revision.load(Ordering::Relaxed))
    }

    /// Whether the server gets no more calls: it is draining, or its entry has been gone for too long.
    pub fn has_left(&self, now: Moment) -> bool {
        self.is_leaving() || now.0 >= self.usable_until.load(Ordering::Relaxed)
    }

    /// Whether its failure domain is unreachable now.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.domain_state.is_unreachable(now)
    }

    /// Records a response from the server.
    pub fn note_contact(&self, now: Moment) {
        self.domain_state.note_contact(now);
    }

    /// Records for the failure domain that a call to the server, which started at `started`, is overdue.
    pub fn note_domain_overdue(&self, now: Moment, started: Moment) {
        self.domain_state.note_overdue(now, started, self.id.as_str());
    }

    /// Sets the calls per second that this node may send while the server is cold; `None` for no limit.
    pub fn set_cold_quota(&self, quota: Option<u32>) {
        self.cold_quota.store(quota.unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// This node's current limit on calls per second, if the server is cold and such a limit is set.
    fn current_cold_quota(&self, now: Moment) -> Option<u32> {
        let quota = self.cold_quota.load(Ordering::Relaxed);
        (quota != u32::MAX && !self.state().warmup_left(now).is_zero()).then_some(quota)
    }

    fn is_cold_limit_reached(&self, now: Moment) -> bool {
        self.current_cold_quota(now).is_some_and(|quota| !lock(&self.cold_calls).has_capacity(now, quota))
    }

    /// Counts a call that is about to be sent. Returns false if the server is cold and this node may not send a call
    /// now.
    pub fn admit_call(&self, now: Moment) -> bool {
        self.current_cold_quota(now).is_none_or(|quota| lock(&self.cold_calls).take(now, quota))
    }

    /// Whether this node may send one more call where calls are queued on the node. A call without a connection would
    /// only wait in the connection pool instead.
    pub fn has_capacity(&self, now: Moment) -> bool {
        let state = self.state();
        state.running() < self.pool.connection_limit() && state.has_capacity(now)
    }

    /// Sets the maximum number of connections of this node to the server.
    pub fn set_connection_limit(&self, limit: u32) {
        self.pool.set_connection_limit(limit);
    }

    /// Returns an idle connection, a new one, or the next one that is freed.
    ///
    /// # Errors
    /// No connection is available in time, or the server cannot be connected to.
    pub async fn lease(&self, terms: &LeaseTerms) -> std::io::Result<LeasedConnection> {
        self.pool.lease(self.address, terms).await
    }

    /// Returns a connection to the pool if it can carry another request. `keep_alive` is the timeout that the server
    /// announced.
    pub fn put_back(&self, now: Moment, leased: LeasedConnection, keep_alive: Option<Duration>) {
        if !self.is_leaving() {
            self.pool.put_back(now, leased, keep_alive);
        }
    }

    /// Closes idle connections whose time is over or on which the server sends bytes.
    pub fn sweep(&self, now: Moment) {
        self.pool.sweep(now);
    }
}
