//! The queue an owner keeps for one upstream. Work is bound to a server only when a slot
//! frees (late binding), the earliest deadline first; expired work is dropped.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion};

use crate::budget::TokenBudget;
use crate::hedge::HedgeRule;
use crate::latency::LatencyHistogram;
use crate::moment::Moment;
use crate::pin::HeldVersions;
use crate::retry::RetryBudget;
use crate::rules::AttemptRules;
use crate::server::{CallReport, ServerState};
use crate::wait_queue::{WaitId, WaitQueue};

/// Hedges a quiet upstream may make at once.
const HEDGE_RESERVE: f64 = 3.0;
/// A server that answered within this span counts as alive.
const ALIVE_SPAN: Duration = Duration::from_millis(500);
/// Samples wanted before a quantile of the latency means something.
const HEDGE_SAMPLES: u32 = 20;

/// What a piece of work needs of a server.
#[derive(Debug, Clone)]
pub struct WorkItem {
    /// The index asked.
    pub index: IndexName,
    /// The version wanted, if pinned.
    pub version: Option<IndexVersion>,
    /// When it is worth nothing any more.
    pub deadline: Moment,
    /// A server to keep away from if another can take it.
    pub avoid: Option<usize>,
}

/// What became of submitted work.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueSubmission<T> {
    /// It starts now on this server.
    Started(usize, T),
    /// It waits in this place, to be given to [`UpstreamQueue::cancel`].
    Waiting(WaitId),
    /// No server holds the version any more.
    VersionGone(T),
    /// Every server is leaving.
    Leaving(T),
}

/// Waiting work that starts now.
#[derive(Debug, PartialEq, Eq)]
pub struct StartedWork<T> {
    /// The server it is bound to.
    pub server: usize,
    /// What was submitted with it.
    pub tag: T,
}

struct QueuedWork<T> {
    item: WorkItem,
    tag: T,
}

/// The queue, the servers behind it and the budgets for extra attempts.
pub struct UpstreamQueue<T> {
    rules: Arc<dyn AttemptRules>,
    servers: Vec<ServerState>,
    /// The earliest deadline first.
    waiting: WaitQueue<Moment, QueuedWork<T>>,
    track: LatencyHistogram,
    hedging: Box<dyn HedgeRule>,
    hedges: TokenBudget,
    retries: RetryBudget,
}

impl<T> UpstreamQueue<T> {
    /// An empty queue before these servers.
    pub fn new(rules: Arc<dyn AttemptRules>, servers: Vec<ServerState>) -> Self {
        let hedging = rules.hedge_rule();
        let retries = RetryBudget::new(rules.retry_rates());
        Self {
            rules,
            servers,
            waiting: WaitQueue::default(),
            track: LatencyHistogram::default(),
            hedging,
            hedges: TokenBudget::new(HEDGE_RESERVE),
            retries,
        }
    }

    /// The servers, for status and tests.
    pub fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    /// A server, to note what it told of itself.
    pub fn server_mut(&mut self, server: usize) -> &mut ServerState {
        &mut self.servers[server]
    }

    /// Pieces of work waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The versions that any server that is not leaving is believed to hold.
    pub fn versions(&self, index: &IndexName) -> Option<HeldVersions> {
        let servers = self.servers.iter().filter(|server| !server.is_leaving());
        let held = servers.filter_map(|server| server.versions(index));
        held.reduce(|a, b| HeldVersions { oldest: a.oldest.min(b.oldest), newest: a.newest.max(b.newest) })
    }

    fn pick(&self, item: &WorkItem, now: Moment, dice: &mut dyn RngCore) -> Option<usize> {
        let able = |server: &ServerState| {
            let dropped = item.version.is_some_and(|version| server.has_dropped(&item.index, version));
            !server.is_leaving() && !dropped
        };
        let ready = |server: &ServerState| {
            able(server) && !item.version.is_some_and(|version| server.lags_behind(&item.index, version))
        };
        let fresh = |index: usize, server: &ServerState| Some(index) != item.avoid && ready(server);
        let pick = |allowed: &dyn Fn(usize, &ServerState) -> bool, dice: &mut dyn RngCore| {
            self.rules.pick(&self.servers, allowed, now, dice)
        };
        if let Some(server) = pick(&fresh, dice) {
            return Some(server);
        }
        let nobody_fresh = !self.servers.iter().enumerate().any(|(index, server)| fresh(index, server));
        let avoided_resting = item.avoid.is_some() && self.servers.len() > 1;
        if nobody_fresh || avoided_resting {
            return pick(&|_, server| able(server), dice);
        }
        None
    }

    /// Starts a piece of work or lets it wait. `is_retry` work does not earn budget.
    pub fn submit(
        &mut self,
        now: Moment,
        item: WorkItem,
        is_retry: bool,
        tag: T,
        dice: &mut dyn RngCore,
    ) -> QueueSubmission<T> {
        if self.servers.iter().all(ServerState::is_leaving) {
            return QueueSubmission::Leaving(tag);
        }
        let gone = |server: &ServerState| {
            server.is_leaving() || item.version.is_some_and(|version| server.has_dropped(&item.index, version))
        };
        if self.servers.iter().all(gone) {
            return QueueSubmission::VersionGone(tag);
        }
        if !is_retry {
            self.earn();
        }
        let must_wait = self.rules.is_limited() && !self.waiting.is_empty();
        if !must_wait && let Some(server) = self.pick(&item, now, dice) {
            self.servers[server].start();
            return QueueSubmission::Started(server, tag);
        }
        let deadline = item.deadline;
        QueueSubmission::Waiting(self.waiting.push(deadline, deadline, QueuedWork { item, tag }))
    }

    /// Starts a second attempt on another server than `first`, if the budget and a free
    /// slot allow it. A hedge never waits, and never goes ahead of waiting work.
    pub fn hedge(&mut self, now: Moment, item: &WorkItem, first: usize, dice: &mut dyn RngCore) -> Option<usize> {
        if !self.waiting.is_empty() {
            return None;
        }
        let allowed = |index: usize, server: &ServerState| {
            let missing = item.version.is_some_and(|version| {
                server.has_dropped(&item.index, version) || server.lags_behind(&item.index, version)
            });
            index != first && !server.is_leaving() && !server.is_backing_off(now) && !missing
        };
        let other = self.rules.pick(&self.servers, &allowed, now, dice)?;
        let server = self.better_hedge(now, first, other);
        if !self.hedges.spend() {
            return None;
        }
        self.servers[server].start();
        Some(server)
    }

    /// Another server, unless that one is far slower and the first one is known to answer:
    /// then what straggles is the attempt, not the server, and a second one there is sooner.
    fn better_hedge(&self, now: Moment, first: usize, other: usize) -> usize {
        let (own, far) = (&self.servers[first], &self.servers[other]);
        let is_alive = own.answered_within(now, ALIVE_SPAN) && own.has_slot();
        if is_alive && far.is_far_slower_than(own, now) { first } else { other }
    }

    fn earn(&mut self) {
        let load = self.load();
        let share = self.hedging.plan(load).map_or(0.0, |plan| plan.share);
        self.hedges.earn(share);
        self.retries.earn();
    }

    /// The share of call slots in use, waiting work included.
    pub fn load(&self) -> f64 {
        let slots: u32 = self.servers.iter().filter(|server| !server.is_leaving()).map(ServerState::limit).sum();
        let running: u32 = self.servers.iter().map(ServerState::inflight).sum();
        (f64::from(running) + self.waiting.len() as f64) / f64::from(slots.max(1))
    }

    /// When to hedge a call that starts now; `None` for never.
    pub fn hedge_delay(&mut self) -> Option<Duration> {
        if self.track.samples() < HEDGE_SAMPLES || self.servers.len() < 2 {
            return None;
        }
        let plan = self.hedging.plan(self.load())?;
        self.track.quantile(plan.quantile)
    }

    /// Whether a failed piece of work may be tried again; spends from the budget.
    pub fn may_retry(&mut self, outcome: AttemptOutcome, left: Duration, tries: u32) -> bool {
        self.retries.may_retry(outcome, &self.track, left, tries)
    }

    /// Notes how a call ended and starts waiting work that now fits.
    pub fn finish(
        &mut self,
        now: Moment,
        server: usize,
        report: CallReport,
        dice: &mut dyn RngCore,
    ) -> Vec<StartedWork<T>> {
        if let CallReport::Answered(latency) = report {
            self.track.add(latency);
        }
        self.servers[server].finish(now, report);
        self.start_waiting(now, dice)
    }

    /// Binds waiting work to free slots; drops what has expired.
    pub fn start_waiting(&mut self, now: Moment, dice: &mut dyn RngCore) -> Vec<StartedWork<T>> {
        let mut started = Vec::new();
        let mut passed = Vec::new();
        while let Some(work) = self.waiting.pop(now) {
            let Some(server) = self.pick(&work.item.item, now, dice) else {
                passed.push(work);
                if !self.servers.iter().any(ServerState::has_slot) {
                    break;
                }
                continue;
            };
            self.servers[server].start();
            started.push(StartedWork { server, tag: work.item.tag });
        }
        passed.into_iter().for_each(|work| self.waiting.requeue(work));
        started
    }

    /// Takes waiting work out again; false if it already started or expired.
    pub fn cancel(&mut self, place: WaitId) -> bool {
        self.waiting.remove(place).is_some()
    }
}
