//! The context shared by all attempts of one request: selects servers, retries and hedges, and enforces the limits on
//! attempts and extra calls.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use streamfold_model::{
    AllowedRegions, FailureDomain, Priority, RouteKind, RouteSpec, ServerId, ServiceName, TeamSpec,
};
use streamfold_policy::canary::{CallPermission, RequestVerdict};
use streamfold_policy::crash_tracker::ContentStatus;
use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

use crate::attempts::{AttemptStop, ServiceAttempts};
use crate::call::{self, EndedCall, SentMark};
use crate::call_line::QueueEntry;
use crate::canary::CanaryCall;
use crate::cluster_view::{ClusterView, RouteLatencies, Service};
use crate::hedge::FarHedge;
use crate::quarantine;
use crate::request::CallerRequest;
use crate::router::Router;
use crate::server::Server;
use crate::server_choice::{CapacityNotice, ServerChoice};

/// Added to the cost of a server whose entry is gone, so that any other server that answers is preferred.
const DOUBTFUL_COST_US: f64 = 1e9;

/// The backoff before servers that did not accept a request are retried: the first pause, which doubles each time, and
/// the longest pause.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(20);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often to check whether the canary call was answered, or whether a server is still alive after its connection was
/// lost. That check takes about as long.
const CANARY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The shortest time allowed for the canary call: a server may pause for a quarter of a second, and the server of a
/// trial must then have stayed alive as long.
const MIN_CANARY_TIMEOUT: Duration = Duration::from_millis(800);

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another node that delegated shards to this one.
    Node,
    /// Another node that delegated hedges. They may only go to servers near this node.
    HedgingNode,
}

/// The context shared by all attempts of one request.
pub struct AttemptContext {
    /// This node.
    pub router: Arc<Router>,
    /// The cluster view that the request was routed with.
    pub view: Arc<ClusterView>,
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The regions in which its route and its team allow it to be served.
    pub allowed_regions: AllowedRegions,
    /// The team of its caller, where teams are configured.
    pub team: Option<Arc<TeamSpec>>,
    /// Its priority among requests for the same servers.
    pub priority: Priority,
    /// Latencies of the route.
    pub times: RouteLatencies,
    /// Until when servers that did not accept the request are retried.
    pub retry_until: Moment,
    /// The fraction of a request that this node counts towards its budget of extra calls.
    pub request_share: f64,
    /// Where the request comes from.
    pub origin: RequestOrigin,
    /// The canary call, which goes first if the request content is suspected to crash servers.
    pub canary: CanaryCall,
}

/// An event of a call in progress.
pub enum CallEvent {
    /// The call ended after this time.
    Ended(Duration, EndedCall),
    /// The call has left the queue and may be sent, or, without an entry, has waited too long.
    Dequeued(Option<QueueEntry>),
}

/// A call that is in flight or queued. Resolves to the position of its service within the request and the event.
pub type PendingCall = BoxFuture<'static, (usize, CallEvent)>;

/// The calls of one request that are in flight or queued.
pub type PendingCalls = FuturesUnordered<PendingCall>;

impl AttemptContext {
    /// The current time of the node clock.
    pub fn now(&self) -> Moment {
        self.router.clock.now()
    }

    fn is_at_most_once(&self) -> bool {
        self.route.kind == RouteKind::AtMostOnce
    }

    /// The server that a first attempt at a service would go to.
    pub fn best_server(&self, attempts: &ServiceAttempts) -> Option<Arc<Server>> {
        let service = self.view.services.get(&attempts.service)?;
        self.choose(attempts, service)
    }

    /// Picks the server to reserve when a shard is delegated to a failure domain. One of the allowed attempts is
    /// reserved for it, so that this node can still call that server itself.
    pub fn choose_reserved(&self, attempts: &ServiceAttempts, domain: &FailureDomain) -> Option<ServerId> {
        let service = self.view.services.get(&attempts.service)?;
        let usable = service.usable(self.now(), &self.allowed_regions);
        self.find_cheapest(usable.filter(|server| server.domain == *domain)).map(|server| server.id.clone())
    }

    /// The server to try next: the untried one that is expected to answer soonest.
    fn choose(&self, attempts: &ServiceAttempts, service: &Service) -> Option<Arc<Server>> {
        self.find_cheapest(self.candidates(attempts, service).iter())
    }

    /// The servers that may be tried next.
    pub(crate) fn candidates(&self, attempts: &ServiceAttempts, service: &Service) -> Vec<Arc<Server>> {
        let untried = |server: &&Arc<Server>| !attempts.tried.iter().any(|tried| Arc::ptr_eq(tried, server));
        let candidates = service.usable(self.now(), &self.allowed_regions).filter(untried);
        let candidates = candidates.filter(|server| attempts.allow(server, self.route.max_attempts));
        let is_near = |server: &&Arc<Server>| server.distance == Distance::Domain;
        let candidates = candidates.filter(|server| self.origin != RequestOrigin::HedgingNode || is_near(server));
        let tries_doubtful = self.router.has(Mechanism::DoubtfulServers);
        candidates.filter(|server| tries_doubtful || !server.is_doubtful()).cloned().collect()
    }

    /// The cost of a call to a server, in microseconds.
    pub(crate) fn cost(&self, server: &Server) -> f64 {
        let doubt = if server.is_doubtful() { DOUBTFUL_COST_US } else { 0.0 };
        server.cost(self.now(), self.typical_latency(server)) + doubt
    }

    /// The typical duration of a call to a server.
    pub(crate) fn typical_latency(&self, server: &Server) -> Duration {
        self.times.typical(server.distance, self.route.target_latency)
    }

    /// The server with the lowest cost, that is, the one expected to answer soonest.
    pub(crate) fn find_cheapest<'a>(&self, candidates: impl Iterator<Item = &'a Arc<Server>>) -> Option<Arc<Server>> {
        // The random factor spreads load across servers of equal cost.
        let cost = |server: &Arc<Server>| self.cost(server) * rand::random_range(0.95..1.05);
        let costed = candidates.map(|server| (cost(server), server));
        costed.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, server)| server.clone())
    }

    /// Starts the next attempt.
    ///
    /// # Errors
    /// No server is left, a limit forbids the call, or the call is queued.
    pub fn start(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
    ) -> Result<(), AttemptStop> {
        if attempts.is_queued {
            return Err(AttemptStop::Queued);
        }
        let entry = attempts.queue_entry.take();
        let service = self.view.services.get(&attempts.service).ok_or(AttemptStop::NoneLeft)?;
        if let Some(stop) = self.find_attempt_limit(attempts) {
            return Err(stop);
        }
        if !self.has_time_for(service) {
            return Err(AttemptStop::NodeEnds);
        }
        // Content that crashed the servers that ran it crashes the next one too, whatever the request id.
        let permission = self.call_permission();
        match permission {
            CallPermission::Allowed | CallPermission::AsCanary => {}
            CallPermission::Denied if !self.canary.is_undecided(self.content_status()) => {
                return Err(AttemptStop::Quarantined);
            }
            CallPermission::Wait | CallPermission::Denied => {
                attempts.canary_check_at = Some(self.now().plus(CANARY_CHECK_INTERVAL));
                return Err(AttemptStop::Canary);
            }
        }
        let choice = self.choose_server(attempts, service, entry).ok_or(AttemptStop::NoneLeft)?;
        let (server, entry) = match choice {
            ServerChoice::Now(server, entry) => (server, entry),
            ServerChoice::Wait(None) => return Err(AttemptStop::Queued),
            ServerChoice::Wait(Some(entry)) => {
                attempts.is_queued = true;
                calls.push(async move { (position, CallEvent::Dequeued(entry.wait().await)) }.boxed());
                return Err(AttemptStop::Queued);
            }
        };
        if !self.charge(attempts, service) {
            metrics::counter!("streamfold_extra_calls_refused_total").increment(1);
            return Err(AttemptStop::Budget);
        }
        match permission {
            CallPermission::AsCanary => self.canary.note_sent(self.now(), &server),
            _ => self.canary.note_unrestricted(),
        }
        attempts.sent += 1;
        let mark = attempts.note_start(server.run());
        attempts.tried.push(server.clone());
        attempts.started = self.now();
        attempts.is_overdue = false;
        attempts.is_remote_hedge = false;
        attempts.watch_silence(&server, attempts.started);
        let hedge_delay = self.times.hedge_delay(server.distance, self.route.target_latency);
        attempts.hedge_at = (!self.is_at_most_once()).then(|| attempts.started.plus(hedge_delay));
        calls.push(self.call(position, server, mark));
        if let Some(entry) = entry {
            entry.note_sent();
        }
        Ok(())
    }

    /// Starts the first attempt of this node, or logs why none can be made.
    pub fn start_first(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) {
        if let Err(stop) = self.start(position, attempts, calls)
            && !matches!(stop, AttemptStop::Canary | AttemptStop::Queued)
        {
            self.log_not_made(attempts, stop);
        }
    }

    pub(crate) fn log_not_made(&self, attempts: &ServiceAttempts, stop: AttemptStop) {
        tracing::info!(
            event = "call_not_made",
            request = self.request.id_text(),
            service = %attempts.service,
            %stop,
            barred = self.list_exclusions(&attempts.service)
        );
    }

    /// Describes for the log why servers of a service are excluded, with the number of servers for each reason. `None`
    /// if none is excluded.
    pub(crate) fn list_exclusions(&self, service: &ServiceName) -> Option<String> {
        let counts = self.view.services.get(service)?.count_exclusions(self.now(), &self.allowed_regions);
        let named: Vec<String> = counts.iter().map(|(bar, count)| format!("{bar}:{count}")).collect();
        (!named.is_empty()).then(|| named.join(","))
    }

    /// The current quarantine state of the request content.
    fn content_status(&self) -> ContentStatus {
        self.router.cluster.quarantine.status(self.now(), self.request.suspect.content)
    }

    /// Whether a call may be sent, given what is known about the request content.
    fn call_permission(&self) -> CallPermission {
        self.canary.permission(self.now(), self.content_status(), self.route.target_latency.max(MIN_CANARY_TIMEOUT))
    }

    /// Whether the request continues or its calls are to be cancelled, given what is known about the request content.
    pub(crate) fn verdict(&self) -> RequestVerdict {
        let status = self.content_status();
        if status == ContentStatus::Clear {
            return RequestVerdict::Continue;
        }
        let usual = self.times.typical(Distance::Far, self.route.target_latency);
        self.canary.verdict(status, self.now().since(self.request.started), usual)
    }

    /// Whether the request may have any number of calls in flight, that is, whether no canary has to go first.
    pub(crate) fn is_unrestricted(&self) -> bool {
        self.call_permission() == CallPermission::Allowed
    }

    /// Records how a call ended, to learn whether the request content crashes servers.
    pub(crate) fn note_ended(&self, ended: &EndedCall) {
        self.canary.note_outcome(&self.router, self.request.suspect.content, ended);
        if ended.result.as_ref().is_ok_and(|reply| reply.proof.is_some()) {
            quarantine::note_answer(&self.router, self.request.suspect.content, &ended.server);
        }
    }

    /// The limit that forbids sending the request to a further server, if one does.
    fn find_attempt_limit(&self, attempts: &ServiceAttempts) -> Option<AttemptStop> {
        if self.is_at_most_once() && attempts.may_have_run {
            return Some(AttemptStop::AtMostOnce);
        }
        (attempts.sent + attempts.sent_remotely >= self.route.max_attempts).then_some(AttemptStop::ServerBound)
    }

    /// Whether the request may be sent to no further server.
    pub(crate) fn is_at_attempt_limit(&self, attempts: &ServiceAttempts) -> bool {
        self.find_attempt_limit(attempts).is_some()
    }

    /// Charges a call to the budget of the service. Returns false if it is an extra call and the budget is exhausted.
    pub(crate) fn charge(&self, attempts: &ServiceAttempts, service: &Service) -> bool {
        let now = self.now();
        let limits = self.router.extra_limits(&self.view, service);
        let mut budget = service.budget();
        if attempts.tried.is_empty() && attempts.pauses == 0 && !attempts.has_reached_server {
            budget.note_request(now, &limits, self.request_share);
        }
        let is_extra = attempts.has_reached_server || attempts.is_calling();
        !is_extra || budget.spend(now, &limits)
    }

    fn call(&self, position: usize, server: Arc<Server>, mark: SentMark) -> PendingCall {
        let typical = self.times.typical(server.distance, self.route.target_latency);
        let queue = self.view.services.get(&server.service).and_then(Service::queue).cloned();
        let running =
            call::run(self.router.clone(), server, self.request.clone(), self.is_at_most_once(), mark, typical);
        let clock = self.router.clock;
        let started = self.now();
        let guard = queue.map(|queue| CapacityNotice { queue, clock });
        let timed = async move {
            let _guard = guard;
            let ended = running.await;
            (position, CallEvent::Ended(clock.now().since(started), ended))
        };
        timed.boxed()
    }

    /// Tries another server after one failed. If none is left, the servers that did not accept the request are retried
    /// after a backoff.
    pub fn retry(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) {
        let failed = attempts.tried.last().map(|server| server.id.to_string());
        let waited = self.now().since(attempts.started);
        let stop = self.start(position, attempts, calls).err();
        if stop
            .is_some_and(|stop| !matches!(stop, AttemptStop::Canary | AttemptStop::Quarantined | AttemptStop::Queued))
        {
            self.plan_retry(attempts);
        }
        tracing::info!(
            event = "call_failed",
            request = self.request.id_text(),
            content = %self.request.suspect.content,
            service = %attempts.service,
            server = failed,
            failure = attempts.failure,
            waited_ms = waited.as_millis() as u64,
            sent = attempts.sent,
            retry = attempts.tried.last().filter(|_| stop.is_none()).map(|server| server.id.as_str()),
            stop = stop.map(tracing::field::display),
            pauses = attempts.pauses
        );
    }

    /// Schedules a retry of the servers that did not accept the request, if there are any, time is left and the
    /// request may be sent to one more server.
    pub(crate) fn plan_retry(&self, attempts: &mut ServiceAttempts) {
        let pause = (FIRST_RETRY_PAUSE * 2u32.pow(attempts.pauses.min(4))).min(MAX_RETRY_PAUSE);
        let retry_at = self.now().plus(pause.mul_f64(rand::random_range(0.8..1.2)));
        let is_possible = self.router.has(Mechanism::RetryPauses) && !attempts.declined.is_empty();
        if !is_possible || self.is_at_attempt_limit(attempts) || retry_at > self.retry_until {
            return;
        }
        attempts.pauses += 1;
        let declined = std::mem::take(&mut attempts.declined);
        attempts.tried.retain(|tried| !declined.iter().any(|server| Arc::ptr_eq(server, tried)));
        attempts.retry_at = Some(retry_at);
    }

    /// Handles the timers that are due: retries after a backoff, checks the canary call and hedges overdue calls. If
    /// `far` is given, hedges to far servers are pushed there, to be made by nodes near those servers.
    pub fn handle_timers(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        far: Option<&mut Vec<FarHedge>>,
    ) {
        let now = self.now();
        attempts.note_silence(now);
        if attempts.retry_at.is_some_and(|at| at <= now) {
            attempts.retry_at = None;
            self.retry(position, attempts, calls);
        }
        if attempts.canary_check_at.is_some_and(|at| at <= now) {
            attempts.canary_check_at = None;
            self.start_first(position, attempts, calls);
        }
        if attempts.hedge_at.is_some_and(|at| at <= now) {
            self.hedge(position, attempts, calls, far);
        }
    }
}
