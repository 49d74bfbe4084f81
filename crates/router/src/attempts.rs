//! The attempts of one request at one service: which server comes first, when a second one is
//! tried, and whether that is allowed.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use streamfold_model::{FailureDomain, RouteKind, RouteSpec, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::replica::Distance;

use crate::call::{self, CallFailure, CallTerms, EndedCall};
use crate::cluster::{ClusterView, RouteTimes, Service};
use crate::peers::PeerNode;
use crate::request::CallerRequest;
use crate::router::Router;
use crate::server::Server;

/// Calls that were outrun, or whose caller left another node, go on for so long: their answers
/// tell when a server that fell silent is back, and their connections stay usable. A caller
/// that left may keep servers at work for half a second.
const OUTRUN_LIFE: Duration = Duration::from_millis(300);

/// Added to the cost of a server whose entry is gone: any other that answers goes first.
const DOUBT_COST_US: f64 = 1e9;

/// The pause before servers that did not take a request are tried again: the first, doubled
/// with each further one, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// How long until a hedge that found no free server is looked at again.
const HEDGE_PAUSE: Duration = Duration::from_millis(15);

/// The least that a call is taken to need, in seconds, where latencies are divided by it.
pub(crate) const MIN_TYPICAL_SECONDS: f64 = 1e-4;

/// A hedge to a far server that goes through a node near it. The link to that node is open,
/// where the server would have to be connected to first, and the node leaves out records that
/// cannot be wanted.
pub struct FarHedge {
    /// The position of the shard in the request.
    pub position: usize,
    /// The node.
    pub peer: Arc<PeerNode>,
}

/// Who asks for what a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestAsker {
    /// A caller.
    Caller,
    /// Another node, for its shards. It may take over with the server near this node, so one of
    /// the servers that a shard may be sent to is kept for that one.
    Node,
    /// Another node, for hedges at servers near this node and at no others.
    Hedger,
}

/// What all attempts of one request share.
pub struct AttemptContext {
    /// This node.
    pub router: Arc<Router>,
    /// What the request works with.
    pub view: Arc<ClusterView>,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Latencies of the route.
    pub times: RouteTimes,
    /// How long servers that did not take the request are tried again.
    pub retry_until: Moment,
    /// The part of each request that this node counts for its budget of extra calls.
    pub request_share: f64,
    /// Who asks.
    pub asker: RequestAsker,
}

/// A call in flight; it resolves to the position of its service among the request's.
pub type PendingCall = BoxFuture<'static, (usize, Duration, EndedCall)>;

/// The calls in flight of one request.
pub type PendingCalls = FuturesUnordered<PendingCall>;

/// The attempts of one request at one service.
pub struct ServiceAttempts {
    /// The service.
    pub service: ServiceName,
    /// Calls in flight.
    pub pending: u32,
    /// Servers that may have run the request.
    sent: u32,
    /// Whether a call has reached a server, so that each further one is extra.
    has_arrived: bool,
    tried: Vec<Arc<Server>>,
    /// Those of them that did not take the request.
    passed: Vec<Arc<Server>>,
    /// Pauses made so far because no server took the request.
    pauses: u32,
    /// When the servers that did not take it are tried again.
    pub retry_at: Option<Moment>,
    /// When the newest call started.
    started: Moment,
    /// When the newest call counts as overdue, or a hedge is looked at again.
    pub hedge_at: Option<Moment>,
    /// Whether the newest call is known to be overdue.
    is_overdue: bool,
    /// Whether the newest call is one that another node makes.
    is_handed: bool,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// How the last call that failed did so, for the log.
    failure: &'static str,
    /// Where another node may have sent the request: its server there is asked again before
    /// one that certainly was not, so that the bound on servers holds.
    sent_in: Option<FailureDomain>,
}

impl ServiceAttempts {
    /// No attempt yet.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            pending: 0,
            sent: 0,
            has_arrived: false,
            tried: Vec::new(),
            passed: Vec::new(),
            pauses: 0,
            retry_at: None,
            started: Moment::default(),
            hedge_at: None,
            is_overdue: false,
            is_handed: false,
            may_have_run: false,
            failure: "none",
            sent_in: None,
        }
    }

    /// Servers that may have run the request, and whether a call reached any.
    pub fn tally(&self) -> (u32, bool) {
        (self.sent, self.has_arrived || self.pending > 0)
    }

    /// Notes what another node did for the request.
    pub fn note_elsewhere(&mut self, sent: u32, has_arrived: bool) {
        self.sent = self.sent.max(sent);
        self.has_arrived |= has_arrived;
        self.may_have_run |= sent > 0;
    }

    /// Notes that a node fell silent that may have sent the request to a server near it.
    pub fn note_silent_node(&mut self, domain: &FailureDomain) {
        self.sent_in = Some(domain.clone());
    }

    /// Notes that another node, asked for a hedge, made no call.
    pub fn note_hedge_not_made(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Notes how a call ended that gave no usable answer.
    pub fn note_failure(&mut self, server: Arc<Server>, failure: Option<CallFailure>) {
        self.pending = self.pending.saturating_sub(1);
        self.failure = failure.map_or("bad_answer", CallFailure::name);
        match failure {
            Some(CallFailure::NotSent) => {
                self.sent = self.sent.saturating_sub(1);
                self.passed.push(server);
            }
            Some(CallFailure::NotRun) => {
                self.sent = self.sent.saturating_sub(1);
                self.has_arrived = true;
                self.passed.push(server);
            }
            Some(CallFailure::Unknown) | None => {
                self.has_arrived = true;
                self.may_have_run = true;
            }
        }
    }

    /// Whether an answer may still come.
    pub fn is_open(&self) -> bool {
        self.pending > 0 || self.retry_at.is_some()
    }

    /// When something is to be done for it.
    pub fn next_alarm(&self) -> Option<Moment> {
        self.hedge_at.into_iter().chain(self.retry_at).min()
    }
}

impl AttemptContext {
    /// The present moment.
    pub fn now(&self) -> Moment {
        self.router.clock.now()
    }

    fn is_once(&self) -> bool {
        self.route.kind == RouteKind::AtMostOnce
    }

    /// The server that a first attempt at a service would go to.
    pub fn best_server(&self, attempts: &ServiceAttempts) -> Option<Arc<Server>> {
        let service = self.view.services.get(&attempts.service)?;
        self.choose(attempts, service)
    }

    /// The server to try next: the one believed to answer soonest that was not tried yet.
    fn choose(&self, attempts: &ServiceAttempts, service: &Service) -> Option<Arc<Server>> {
        let now = self.now();
        let untried = |server: &&Arc<Server>| !attempts.tried.iter().any(|tried| Arc::ptr_eq(tried, server));
        let is_asked = |server: &&Arc<Server>| attempts.sent_in.as_ref() == Some(&server.domain);
        let has_asked = service.servers.iter().any(|server| is_asked(&server));
        let candidates = service.servers.iter().filter(untried).filter(|server| !server.is_leaving());
        let candidates = candidates.filter(|server| !has_asked || is_asked(server));
        let needs_near = self.needs_near(attempts, service);
        let candidates = candidates.filter(|server| !needs_near || server.distance == Distance::Domain);
        let cost = |server: &Arc<Server>| {
            let typical = self.times.typical(server.distance, self.route.target_latency);
            let doubt = if server.is_doubtful() { DOUBT_COST_US } else { 0.0 };
            let cost = server.state().cost(now, server.distance, typical) + doubt;
            // Equal servers share the load.
            cost * rand::random_range(0.95..1.05)
        };
        let costed = candidates.map(|server| (cost(server), server));
        costed.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, server)| server.clone())
    }

    /// Whether only a server near this node may be tried: for a node that may take over, all but
    /// one of the servers allowed may be others.
    fn needs_near(&self, attempts: &ServiceAttempts, service: &Service) -> bool {
        if self.asker != RequestAsker::Node {
            return self.asker == RequestAsker::Hedger;
        }
        let is_near = |server: &&Arc<Server>| server.distance == Distance::Domain;
        let others = attempts.tried.iter().filter(|server| !is_near(server)).count();
        let is_kept = others + 1 >= self.route.max_attempts as usize;
        is_kept && service.servers.iter().any(|server| is_near(&server))
    }

    /// Starts the next attempt, if there is a server and the bounds allow one.
    pub fn start(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) -> bool {
        let Some(service) = self.view.services.get(&attempts.service) else { return false };
        if self.is_spent(attempts) {
            return false;
        }
        let Some(server) = self.choose(attempts, service) else { return false };
        if !self.charge(attempts, service) {
            metrics::counter!("streamfold_extra_calls_refused_total").increment(1);
            return false;
        }
        attempts.sent += 1;
        attempts.pending += 1;
        attempts.tried.push(server.clone());
        attempts.started = self.now();
        attempts.is_overdue = false;
        attempts.is_handed = false;
        let patience = self.times.patience(server.distance, self.route.target_latency);
        attempts.hedge_at = (!self.is_once()).then(|| attempts.started.plus(patience));
        calls.push(self.call(position, server));
        true
    }

    /// Whether the request may run on no further server.
    fn is_spent(&self, attempts: &ServiceAttempts) -> bool {
        attempts.sent >= self.route.max_attempts || (self.is_once() && attempts.may_have_run)
    }

    /// Counts a call in the budget of the service; false if it is extra and the budget is spent.
    fn charge(&self, attempts: &ServiceAttempts, service: &Service) -> bool {
        let now = self.now();
        let limits = self.router.extra_limits(&self.view);
        let mut budget = service.budget();
        if attempts.tried.is_empty() && attempts.pauses == 0 && !attempts.has_arrived {
            budget.note_request(now, &limits, self.request_share);
        }
        let is_extra = attempts.has_arrived || attempts.pending > 0;
        !is_extra || budget.spend(now, &limits)
    }

    fn call(&self, position: usize, server: Arc<Server>) -> PendingCall {
        let typical = self.times.typical(server.distance, self.route.target_latency);
        let terms = CallTerms { is_once: self.is_once(), typical };
        let running = call::run(self.router.clone(), server, self.request.clone(), terms);
        let clock = self.router.clock;
        let started = self.now();
        let timed = async move {
            let ended = running.await;
            (position, clock.now().since(started), ended)
        };
        timed.boxed()
    }

    /// Tries another server because the newest call is overdue, if one has a free slot: a hedge
    /// that would only wait in another queue makes both longer.
    fn hedge(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        far: Option<&mut Vec<FarHedge>>,
    ) {
        attempts.hedge_at = None;
        let now = self.now();
        let Some(late) = attempts.tried.last().cloned() else { return };
        let is_news = !std::mem::replace(&mut attempts.is_overdue, true);
        let waited = now.since(attempts.started);
        if is_news && !attempts.is_handed {
            self.note_overdue(&late, attempts.started);
        }
        let next = self.best_server(attempts).filter(|server| !server.state().is_busy(now));
        let via = next.as_ref().filter(|_| far.is_some()).and_then(|server| self.find_node_near(server));
        let has_started = match (&next, &via) {
            (None, _) => false,
            (Some(server), Some(_)) => self.hand_over(attempts, server),
            (Some(_), None) => self.start(position, attempts, calls),
        };
        let via = via.filter(|_| has_started);
        let via_name = via.as_ref().map(|peer| peer.entry.node.to_string());
        if let (Some(peer), Some(far)) = (via, far) {
            far.push(FarHedge { position, peer });
        }
        let again = now.plus(HEDGE_PAUSE);
        if !has_started && !self.is_spent(attempts) && again < self.retry_until {
            attempts.hedge_at = Some(again);
        }
        if !is_news && !has_started {
            return;
        }
        tracing::info!(
            event = "call_overdue",
            request = self.request.id_text(),
            service = %attempts.service,
            server = %late.id,
            waited_ms = waited.as_millis() as u64,
            hedge = attempts.tried.last().filter(|_| has_started).map(|server| server.id.as_str()),
            via = via_name
        );
    }

    /// A node near a far server, if one can be asked.
    fn find_node_near(&self, server: &Server) -> Option<Arc<PeerNode>> {
        let is_far = server.distance == Distance::Far;
        is_far.then(|| self.choose_peer(&server.domain)).flatten()
    }

    /// Counts a call to a server that another node makes; false if it is not allowed.
    fn hand_over(&self, attempts: &mut ServiceAttempts, server: &Arc<Server>) -> bool {
        let Some(service) = self.view.services.get(&attempts.service) else { return false };
        if self.is_spent(attempts) || !self.charge(attempts, service) {
            return false;
        }
        attempts.sent += 1;
        attempts.tried.push(server.clone());
        attempts.started = self.now();
        attempts.is_overdue = false;
        attempts.is_handed = true;
        let patience = self.times.patience(server.distance, self.route.target_latency);
        attempts.hedge_at = Some(attempts.started.plus(patience));
        true
    }

    /// Tells the server's state, once a call, that the call is overdue.
    fn note_overdue(&self, server: &Server, started: Moment) {
        let now = self.now();
        let typical = self.times.typical(server.distance, self.route.target_latency);
        let ratio = now.since(started).as_secs_f64() / typical.as_secs_f64().max(MIN_TYPICAL_SECONDS);
        server.state().note_overdue(now, started, ratio);
        metrics::counter!("streamfold_overdue_calls_total").increment(1);
    }

    /// Tries another server after one failed. Where none is left, those that did not take the
    /// request are tried again after a pause.
    pub fn retry(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) {
        let failed = attempts.tried.last().map(|server| server.id.to_string());
        let waited = self.now().since(attempts.started);
        let has_started = self.start(position, attempts, calls);
        if !has_started {
            self.pause(attempts);
        }
        tracing::info!(
            event = "call_failed",
            request = self.request.id_text(),
            service = %attempts.service,
            server = failed,
            failure = attempts.failure,
            waited_ms = waited.as_millis() as u64,
            sent = attempts.sent,
            retry = attempts.tried.last().filter(|_| has_started).map(|server| server.id.as_str()),
            pauses = attempts.pauses
        );
    }

    /// Plans to try servers again that did not take the request, if there are any, there is
    /// time and the request may run on one more.
    fn pause(&self, attempts: &mut ServiceAttempts) {
        let pause = (FIRST_PAUSE * 2u32.pow(attempts.pauses.min(4))).min(MAX_PAUSE);
        let again = self.now().plus(pause.mul_f64(rand::random_range(0.8..1.2)));
        if self.is_spent(attempts) || attempts.passed.is_empty() || again > self.retry_until {
            return;
        }
        attempts.pauses += 1;
        let passed = std::mem::take(&mut attempts.passed);
        attempts.tried.retain(|tried| !passed.iter().any(|server| Arc::ptr_eq(server, tried)));
        attempts.retry_at = Some(again);
    }

    /// Does what is due: tries again after a pause, or goes round a call that is overdue. Hedges
    /// to far servers are handed to the caller where `far` takes them.
    pub fn note_alarm(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        far: Option<&mut Vec<FarHedge>>,
    ) {
        let now = self.now();
        if attempts.retry_at.is_some_and(|at| at <= now) {
            attempts.retry_at = None;
            self.retry(position, attempts, calls);
        }
        if attempts.hedge_at.is_some_and(|at| at <= now) {
            self.hedge(position, attempts, calls, far);
        }
    }

    /// Lets calls that were outrun go on for a moment.
    pub fn release(&self, calls: PendingCalls) {
        if calls.is_empty() {
            return;
        }
        tokio::spawn(tokio::time::timeout(OUTRUN_LIFE, calls.for_each(|_| std::future::ready(()))));
    }
}
