//! One server: its entry, what is believed of it and the connections to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{AllowedRegions, FailureDomain, ServerEntry, ServerId, ServerRun, ServerStart, ServiceName};
use streamfold_policy::cold_limit::ColdCalls;
use streamfold_policy::crash_tracker::CrashSuspect;
use streamfold_policy::finish_estimate::{FinishEstimator, ServerEstimate};
use streamfold_policy::recent_work::RecentWork;
use streamfold_policy::replica::{CallSample, Distance, ReplicaState};
use streamfold_policy::server_exclusion::{ServerConditions, ServerExclusion, find_exclusion};
use streamfold_policy::{MechanismSet, Moment};

use crate::clock::NodeClock;
use crate::connection_pool::{ConnectionPool, LeasedConnection};
use crate::domain::DomainState;
use crate::spell_book::SpellBook;

/// What a server shares with others.
pub struct ServerShared {
    /// Its failure domain.
    pub domain: Arc<DomainState>,
    /// How long servers stay slow.
    pub spells: Arc<SpellBook>,
    /// The mechanisms by which it is judged.
    pub mechanisms: MechanismSet,
}

/// A run of a server process.
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// Which run of it.
    pub start: ServerStart,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// How far away it is.
    pub distance: Distance,
    domain_state: Arc<DomainState>,
    spells: Arc<SpellBook>,
    slots: u32,
    leaving: AtomicBool,
    doubtful: AtomicBool,
    /// Calls a second that this node may make while it is cold.
    cold_share: AtomicU32,
    cold_calls: Mutex<ColdCalls>,
    state: Mutex<ReplicaState>,
    work: Mutex<RecentWork>,
    crashed: AtomicBool,
    /// When its process was last found to live on after a connection was lost, in microseconds.
    alive_at: AtomicU64,
    pool: ConnectionPool,
}

/// Counts a call as work of a server for as long as it lives.
pub struct WorkRecord<'a> {
    server: &'a Server,
    clock: NodeClock,
    suspect: CrashSuspect,
    is_answered: bool,
}

impl WorkRecord<'_> {
    /// Notes that the server answered.
    pub fn note_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for WorkRecord<'_> {
    fn drop(&mut self) {
        lock(&self.server.work).note_end(self.clock.now(), self.suspect, self.is_answered);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// A server that is not connected to yet.
    pub fn new(entry: &ServerEntry, shared: ServerShared, now: Moment) -> Arc<Self> {
        let ServerShared { domain, spells, mechanisms } = shared;
        Arc::new(Self {
            id: entry.id.clone(),
            start: entry.start,
            service: entry.service.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            distance: domain.distance,
            domain_state: domain,
            spells,
            slots: entry.slots,
            leaving: AtomicBool::new(entry.is_draining),
            doubtful: AtomicBool::new(false),
            cold_share: AtomicU32::new(u32::MAX),
            cold_calls: Mutex::default(),
            state: Mutex::new(ReplicaState::new(entry.slots, now.plus(entry.warmup)).with_mechanisms(mechanisms)),
            work: Mutex::default(),
            crashed: AtomicBool::new(false),
            alive_at: AtomicU64::new(0),
            pool: ConnectionPool::default(),
        })
    }

    /// Notes that a call goes out to it.
    pub fn begin_work(&self, clock: NodeClock, suspect: CrashSuspect) -> WorkRecord<'_> {
        lock(&self.work).note_start(suspect);
        WorkRecord { server: self, clock, suspect, is_answered: false }
    }

    /// What it works on or has just worked on for this node.
    pub fn recent_work(&self, now: Moment) -> Vec<CrashSuspect> {
        lock(&self.work).suspects(now)
    }

    /// Notes that its process is gone; whether that is news.
    pub fn mark_crashed(&self) -> bool {
        !self.crashed.swap(true, Ordering::Relaxed)
    }

    /// Whether its process was found to be gone.
    pub fn is_crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }

    /// Notes that its process lives on though a connection was lost.
    pub fn note_alive(&self, now: Moment) {
        self.alive_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether its process was found to live on after a moment.
    pub fn is_alive_since(&self, moment: Moment) -> bool {
        self.alive_at.load(Ordering::Relaxed) > moment.0
    }

    /// Which run of which server it is.
    pub fn run(&self) -> ServerRun {
        ServerRun { id: self.id.clone(), start: self.start }
    }

    /// Its entry as another node needs it.
    pub fn entry(&self, now: Moment) -> ServerEntry {
        ServerEntry {
            id: self.id.clone(),
            start: self.start,
            service: self.service.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            is_draining: self.is_leaving(),
            warmup: self.state().warmup_left(now),
        }
    }

    /// Requests it works on at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// What is believed of it.
    pub fn state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    /// What a call there would cost, in microseconds, where `typical` is the time such a call usually
    /// takes.
    pub fn cost(&self, now: Moment, typical: Duration) -> f64 {
        self.state().cost(now, self.distance, typical, self.spells.spell())
    }

    /// Whether it is no good server now: far slower than usual, or not expected to answer.
    pub fn is_slow(&self, now: Moment) -> bool {
        self.state().is_slow(now, self.spells.spell())
    }

    /// The pace that calls of this node have shown, and when.
    pub fn measured_pace(&self, now: Moment) -> Option<(f64, Moment)> {
        self.state().measured_pace(now, self.spells.spell())
    }

    /// Notes how a call ended that started at a moment.
    pub fn note_end(&self, now: Moment, started: Moment, sample: CallSample) {
        let followed = self.state().finish_measured(now, started, sample, self.spells.spell());
        if let Some(followed) = followed {
            self.spells.note(followed);
        }
    }

    /// When a call that goes to it now is expected to be answered, where such calls usually take `typical`.
    pub fn outlook(&self, now: Moment, typical: Duration) -> ServerEstimate {
        self.state().estimate_finish(now, typical, self.spells.spell())
    }

    /// Notes how many times as long as usual work takes there by its own word.
    pub fn learn_pace(&self, now: Moment, pace: f64) {
        let sample = self.state().record_reported_pace(now, pace);
        if let Some(sample) = sample {
            self.spells.note(sample);
        }
    }

    /// Whether it is leaving; it gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// What keeps requests with these homes from it, if anything does.
    pub fn find_bar(&self, now: Moment, homes: &AllowedRegions) -> Option<ServerExclusion> {
        let standing = ServerConditions {
            is_leaving: self.is_leaving(),
            is_evacuated: self.domain_state.is_evacuated(),
            is_unreachable: self.is_dark(now),
            is_cold_limit_reached: self.is_cold_spent(now),
            region: self.domain_state.region.as_ref(),
        };
        find_exclusion(homes, standing)
    }

    /// Marks it as leaving and gives up the connections at rest. No run comes back from this: one that
    /// starts again is another, whatever its id.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.pool.close_resting();
    }

    /// Whether its entry is gone and it may be gone itself.
    pub fn is_doubtful(&self) -> bool {
        self.doubtful.load(Ordering::Relaxed)
    }

    /// Marks whether its entry is gone.
    pub fn set_doubtful(&self, is_doubtful: bool) {
        self.doubtful.store(is_doubtful, Ordering::Relaxed);
    }

    /// Whether nothing in its failure domain is believed to answer now.
    pub fn is_dark(&self, now: Moment) -> bool {
        self.domain_state.is_dark(now)
    }

    /// Notes that it was heard.
    pub fn note_heard(&self, now: Moment) {
        self.domain_state.note_heard(now);
    }

    /// Notes that a call to it that began at a moment is overdue.
    pub fn note_silent(&self, now: Moment, started: Moment) {
        self.domain_state.note_silent(now, started, self.id.as_str());
    }

    /// Sets how many calls a second this node may make while it is cold; `None` for any number.
    pub fn set_cold_share(&self, share: Option<u32>) {
        self.cold_share.store(share.unwrap_or(u32::MAX), Ordering::Relaxed);
    }

    /// This node's part of the calls that it bears now, if it is cold and they are bounded.
    fn cold_part(&self, now: Moment) -> Option<u32> {
        let share = self.cold_share.load(Ordering::Relaxed);
        (share != u32::MAX && !self.state().warmup_left(now).is_zero()).then_some(share)
    }

    fn is_cold_spent(&self, now: Moment) -> bool {
        self.cold_part(now).is_some_and(|part| !lock(&self.cold_calls).has_capacity(now, part))
    }

    /// Counts a call that is about to be sent; false if it is cold and this node may make none now.
    pub fn admit_call(&self, now: Moment) -> bool {
        self.cold_part(now).is_none_or(|part| lock(&self.cold_calls).take(now, part))
    }

    /// Whether this node may have one more call out there, where calls wait at the node: one without a connection
    /// would only wait in another place.
    pub fn has_room(&self, now: Moment) -> bool {
        let state = self.state();
        state.running() < self.pool.share() && state.has_capacity(now)
    }

    /// Sets how many connections this node may have to it.
    pub fn set_share(&self, share: u32) {
        self.pool.set_share(share);
    }

    /// A connection to it: one at rest, a new one, or the next one that is freed.
    ///
    /// # Errors
    /// It cannot be connected to in time.
    pub async fn lease(&self, now: Moment, is_once: bool, within: Duration) -> std::io::Result<LeasedConnection> {
        self.pool.lease(self.address, now, is_once, within).await
    }

    /// Takes a connection back for the next request, if it can carry one.
    pub async fn put_back(&self, now: Moment, leased: LeasedConnection, told: Option<Duration>) {
        if !self.is_leaving() {
            self.pool.put_back(now, leased, told).await;
        }
    }

    /// Closes connections that have rested too long.
    pub fn sweep(&self, now: Moment) {
        self.pool.sweep(now);
    }
}
