//! The deadline-ordered queue that an owner keeps for one upstream. Work is bound to a server only when a slot frees
//! (late binding), the earliest deadline first; expired work is dropped.

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

/// The hedge budget's capacity: the hedges that an upstream with little traffic may send at once.
const HEDGE_RESERVE: f64 = 3.0;
/// A server that answered within this time counts as alive.
const ALIVE_WINDOW: Duration = Duration::from_millis(500);
/// Latency samples required before a quantile is meaningful; until then no call is hedged.
const MIN_HEDGE_SAMPLES: u32 = 20;

/// The requirements of a piece of work on its server.
#[derive(Debug, Clone)]
pub struct WorkItem {
    /// The queried index.
    pub index: IndexName,
    /// The required index version, if the query is pinned to one.
    pub version: Option<IndexVersion>,
    /// When its result no longer has any value; work that is still queued then is dropped.
    pub deadline: Moment,
    /// The index of a server to avoid if another one can take the work.
    pub avoid: Option<usize>,
}

/// The result of [`UpstreamQueue::submit`].
#[derive(Debug, PartialEq, Eq)]
pub enum QueueSubmission<T> {
    /// The work starts now on the server with this index.
    Started(usize, T),
    /// The work is queued; the id cancels it in [`UpstreamQueue::cancel`].
    Waiting(WaitId),
    /// No remaining server holds the required version any more.
    VersionGone(T),
    /// Every server is leaving (draining).
    Leaving(T),
}

/// Queued work that starts now.
#[derive(Debug, PartialEq, Eq)]
pub struct StartedWork<T> {
    /// The index of the server that it is bound to.
    pub server: usize,
    /// The tag that was submitted with it.
    pub tag: T,
}

struct QueuedWork<T> {
    item: WorkItem,
    tag: T,
}

/// The queue of one upstream, its servers, and the budgets for hedges and retries.
pub struct UpstreamQueue<T> {
    rules: Arc<dyn AttemptRules>,
    servers: Vec<ServerState>,
    /// Ordered by deadline, the earliest first.
    waiting: WaitQueue<Moment, QueuedWork<T>>,
    latencies: LatencyHistogram,
    hedging: Box<dyn HedgeRule>,
    hedges: TokenBudget,
    retries: RetryBudget,
}

impl<T> UpstreamQueue<T> {
    /// Creates an empty queue for these servers.
    pub fn new(rules: Arc<dyn AttemptRules>, servers: Vec<ServerState>) -> Self {
        let hedging = rules.hedge_rule();
        let retries = RetryBudget::new(rules.retry_rates());
        Self {
            rules,
            servers,
            waiting: WaitQueue::default(),
            latencies: LatencyHistogram::default(),
            hedging,
            hedges: TokenBudget::new(HEDGE_RESERVE),
            retries,
        }
    }

    /// The state of each server, for status reports and tests.
    pub fn servers(&self) -> &[ServerState] {
        &self.servers
    }

    /// Mutable state of a server, to apply what it reports about itself.
    pub fn server_mut(&mut self, server: usize) -> &mut ServerState {
        &mut self.servers[server]
    }

    /// The number of queued pieces of work.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The range of versions that servers which are not leaving are believed to hold.
    pub fn versions(&self, index: &IndexName) -> Option<HeldVersions> {
        let servers = self.servers.iter().filter(|server| !server.is_leaving());
        let held = servers.filter_map(|server| server.versions(index));
        held.reduce(|a, b| HeldVersions { oldest: a.oldest.min(b.oldest), newest: a.newest.max(b.newest) })
    }

    /// Picks a server that can take a call, preferably one that is neither avoided nor behind the required version. Any
    /// server that has not dropped the version will do where none is preferred, or where the work avoids a server
    /// and the preferred ones take no call now. Otherwise the work waits for a preferred one.
    fn pick(&self, item: &WorkItem, now: Moment, rng: &mut dyn RngCore) -> Option<usize> {
        let is_usable = |server: &ServerState| {
            let is_dropped = item.version.is_some_and(|version| server.has_dropped(&item.index, version));
            !server.is_leaving() && !is_dropped
        };
        let is_ready = |server: &ServerState| {
            is_usable(server) && !item.version.is_some_and(|version| server.lags_behind(&item.index, version))
        };
        let is_preferred = |index: usize, server: &ServerState| Some(index) != item.avoid && is_ready(server);
        let pick = |allowed: &dyn Fn(usize, &ServerState) -> bool, rng: &mut dyn RngCore| {
            self.rules.pick(&self.servers, allowed, now, rng)
        };
        if let Some(server) = pick(&is_preferred, rng) {
            return Some(server);
        }
        let has_no_preferred = !self.servers.iter().enumerate().any(|(index, server)| is_preferred(index, server));
        let may_use_avoided = item.avoid.is_some() && self.servers.len() > 1;
        if has_no_preferred || may_use_avoided {
            return pick(&|_, server| is_usable(server), rng);
        }
        None
    }

    /// Starts a piece of work or queues it. Work with `is_retry` earns no tokens for hedges and retries.
    pub fn submit(
        &mut self,
        now: Moment,
        item: WorkItem,
        is_retry: bool,
        tag: T,
        rng: &mut dyn RngCore,
    ) -> QueueSubmission<T> {
        if self.servers.iter().all(ServerState::is_leaving) {
            return QueueSubmission::Leaving(tag);
        }
        let is_gone = |server: &ServerState| {
            server.is_leaving() || item.version.is_some_and(|version| server.has_dropped(&item.index, version))
        };
        if self.servers.iter().all(is_gone) {
            return QueueSubmission::VersionGone(tag);
        }
        if !is_retry {
            self.earn();
        }
        let must_wait = self.rules.is_limited() && !self.waiting.is_empty();
        if !must_wait && let Some(server) = self.pick(&item, now, rng) {
            self.servers[server].start();
            return QueueSubmission::Started(server, tag);
        }
        let deadline = item.deadline;
        QueueSubmission::Waiting(self.waiting.push(deadline, deadline, QueuedWork { item, tag }))
    }

    /// Starts a hedge (a second attempt) if the hedge budget and a free slot on a server other than `first` allow it,
    /// and returns its server. A hedge is never queued and never starts ahead of queued work.
    pub fn hedge(&mut self, now: Moment, item: &WorkItem, first: usize, rng: &mut dyn RngCore) -> Option<usize> {
        if !self.waiting.is_empty() {
            return None;
        }
        let allowed = |index: usize, server: &ServerState| {
            let lacks_version = item.version.is_some_and(|version| {
                server.has_dropped(&item.index, version) || server.lags_behind(&item.index, version)
            });
            index != first && !server.is_leaving() && !server.is_backing_off(now) && !lacks_version
        };
        let other = self.rules.pick(&self.servers, &allowed, now, rng)?;
        let server = self.choose_hedge_server(now, first, other);
        if !self.hedges.spend() {
            return None;
        }
        self.servers[server].start();
        Some(server)
    }

    /// Chooses the server of a hedge: `other`, unless it is far slower than `first` and `first` is known to answer and
    /// has a free slot. In that case the attempt straggles and not the server, so a second attempt there ends sooner.
    fn choose_hedge_server(&self, now: Moment, first: usize, other: usize) -> usize {
        let (first_state, other_state) = (&self.servers[first], &self.servers[other]);
        let is_alive = first_state.answered_within(now, ALIVE_WINDOW) && first_state.has_slot();
        if is_alive && other_state.is_far_slower_than(first_state, now) { first } else { other }
    }

    /// Adds the tokens that one first attempt earns to the hedge and retry budgets.
    fn earn(&mut self) {
        let load = self.load();
        let share = self.hedging.plan(load).map_or(0.0, |plan| plan.share);
        self.hedges.earn(share);
        self.retries.earn();
    }

    /// The load as a share of the call slots, queued work included; above 1 when work waits.
    pub fn load(&self) -> f64 {
        let staying = self.servers.iter().filter(|server| !server.is_leaving());
        let slots: f64 = staying.map(|server| f64::from(server.limit())).sum();
        let running: f64 = self.servers.iter().map(|server| f64::from(server.inflight())).sum();
        (running + self.waiting.len() as f64) / slots.max(1.0)
    }

    /// How long after its start a call is hedged; `None` if it is not hedged.
    pub fn hedge_delay(&mut self) -> Option<Duration> {
        if self.latencies.samples() < MIN_HEDGE_SAMPLES || self.servers.len() < 2 {
            return None;
        }
        let plan = self.hedging.plan(self.load())?;
        self.latencies.quantile(plan.quantile)
    }

    /// Whether a failed piece of work may be retried; spends a token of the retry budget if so.
    pub fn may_retry(&mut self, outcome: AttemptOutcome, left: Duration, attempts: u32) -> bool {
        self.retries.may_retry(outcome, &self.latencies, left, attempts)
    }

    /// Records how a call ended and starts the queued work that now fits.
    pub fn finish(
        &mut self,
        now: Moment,
        server: usize,
        report: CallReport,
        rng: &mut dyn RngCore,
    ) -> Vec<StartedWork<T>> {
        if let CallReport::Answered(latency) = report {
            self.latencies.add(latency);
        }
        self.servers[server].finish(now, report);
        self.start_waiting(now, rng)
    }

    /// Binds queued work to free slots in deadline order and drops expired work.
    pub fn start_waiting(&mut self, now: Moment, rng: &mut dyn RngCore) -> Vec<StartedWork<T>> {
        let mut started = Vec::new();
        let mut skipped = Vec::new();
        while let Some(work) = self.waiting.pop(now) {
            let Some(server) = self.pick(&work.item.item, now, rng) else {
                skipped.push(work);
                if !self.servers.iter().any(ServerState::has_slot) {
                    break;
                }
                continue;
            };
            self.servers[server].start();
            started.push(StartedWork { server, tag: work.item.tag });
        }
        skipped.into_iter().for_each(|work| self.waiting.requeue(work));
        started
    }

    /// Starts queued work if no call is in flight: then no end of a call starts it. Work is queued in such a state while
    /// the only servers that it may use are backed off.
    pub fn start_stalled(&mut self, now: Moment, rng: &mut dyn RngCore) -> Vec<StartedWork<T>> {
        let is_stalled = !self.waiting.is_empty() && self.is_idle();
        if is_stalled { self.start_waiting(now, rng) } else { Vec::new() }
    }

    /// When the first backoff of a server ends, if no call is in flight; `None` if no server is backed off.
    pub fn stalled_until(&self, now: Moment) -> Option<Moment> {
        let ends = self.servers.iter().filter_map(|server| server.backoff_end(now));
        ends.min().filter(|_| self.is_idle())
    }

    /// Whether no call is in flight.
    fn is_idle(&self) -> bool {
        self.servers.iter().all(|server| server.inflight() == 0)
    }

    /// Removes queued work; false if it already started or expired.
    pub fn cancel(&mut self, id: WaitId) -> bool {
        self.waiting.remove(id).is_some()
    }
}
