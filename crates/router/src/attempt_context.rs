//! What all attempts of one request share: which server comes first, when another one is tried,
//! and whether that is allowed.

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
use crate::cluster_view::{ClusterView, RouteTimes, Service};
use crate::hedge::FarHedge;
use crate::quarantine;
use crate::request::CallerRequest;
use crate::router::Router;
use crate::server::Server;
use crate::server_choice::{CapacityNotice, ServerChoice};

/// Added to the cost of a server whose entry is gone: any other that answers goes first.
const DOUBT_COST_US: f64 = 1e9;

/// The pause before servers that did not take a request are tried again: the first, doubled
/// with each further one, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// How often it is looked whether the call that goes first was answered, or whether a server lives on whose
/// connection was lost: about what the check of that takes.
const CANARY_LOOK: Duration = Duration::from_millis(5);
/// How long that call may take at least: a server may pause for a quarter of a second, and a trial's
/// server must have lived on as long.
const MIN_CANARY_PATIENCE: Duration = Duration::from_millis(800);

/// Who asks for what a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestAsker {
    /// A caller.
    Caller,
    /// Another node, for its shards.
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
    /// Where it may be served: by its route, and by its team.
    pub homes: AllowedRegions,
    /// The team that it is of, where callers have keys.
    pub team: Option<Arc<TeamSpec>>,
    /// Its rank among requests for the same servers.
    pub priority: Priority,
    /// Latencies of the route.
    pub times: RouteTimes,
    /// How long servers that did not take the request are tried again.
    pub retry_until: Moment,
    /// The part of each request that this node counts for its budget of extra calls.
    pub request_share: f64,
    /// Who asks.
    pub asker: RequestAsker,
    /// The call that goes first, should what the request asks for be suspect.
    pub canary: CanaryCall,
}

/// What became of a call.
pub enum CallNews {
    /// It ended after so long.
    Ended(Duration, EndedCall),
    /// It has waited and is called up; without a place it has waited too long.
    CalledUp(Option<QueueEntry>),
}

/// A call in flight, or one that waits; it resolves to the position of its service among the request's.
pub type PendingCall = BoxFuture<'static, (usize, CallNews)>;

/// The calls in flight of one request.
pub type PendingCalls = FuturesUnordered<PendingCall>;

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

    /// The server of a failure domain that this node keeps a place for while another one is asked.
    pub fn choose_kept(&self, attempts: &ServiceAttempts, domain: &FailureDomain) -> Option<ServerId> {
        let service = self.view.services.get(&attempts.service)?;
        let usable = service.usable(self.now(), &self.homes);
        self.find_cheapest(usable.filter(|server| server.domain == *domain)).map(|server| server.id.clone())
    }

    /// The server to try next: the one believed to answer soonest that was not tried yet.
    fn choose(&self, attempts: &ServiceAttempts, service: &Service) -> Option<Arc<Server>> {
        self.find_cheapest(self.candidates(attempts, service).iter())
    }

    /// The servers that may be tried next.
    pub(crate) fn candidates(&self, attempts: &ServiceAttempts, service: &Service) -> Vec<Arc<Server>> {
        let untried = |server: &&Arc<Server>| !attempts.tried.iter().any(|tried| Arc::ptr_eq(tried, server));
        let candidates = service.usable(self.now(), &self.homes).filter(untried);
        let candidates = candidates.filter(|server| attempts.allow(server, self.route.max_attempts));
        let is_near = |server: &&Arc<Server>| server.distance == Distance::Domain;
        let candidates = candidates.filter(|server| self.asker != RequestAsker::Hedger || is_near(server));
        let tries_doubtful = self.router.has(Mechanism::DoubtfulServers);
        candidates.filter(|server| tries_doubtful || !server.is_doubtful()).cloned().collect()
    }

    /// What a call at a server would cost, in microseconds.
    pub(crate) fn cost(&self, server: &Server) -> f64 {
        let doubt = if server.is_doubtful() { DOUBT_COST_US } else { 0.0 };
        server.cost(self.now(), self.typical(server)) + doubt
    }

    /// How long a call at a server usually takes.
    pub(crate) fn typical(&self, server: &Server) -> Duration {
        self.times.typical(server.distance, self.route.target_latency)
    }

    /// The server that is believed to answer soonest.
    pub(crate) fn find_cheapest<'a>(&self, candidates: impl Iterator<Item = &'a Arc<Server>>) -> Option<Arc<Server>> {
        // Equal servers share the load.
        let cost = |server: &Arc<Server>| self.cost(server) * rand::random_range(0.95..1.05);
        let costed = candidates.map(|server| (cost(server), server));
        costed.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, server)| server.clone())
    }

    /// Starts the next attempt.
    ///
    /// # Errors
    /// There is no server, or a bound allows none, or the call waits for one.
    pub fn start(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
    ) -> Result<(), AttemptStop> {
        if attempts.is_waiting {
            return Err(AttemptStop::Waiting);
        }
        let place = attempts.place.take();
        let service = self.view.services.get(&attempts.service).ok_or(AttemptStop::NoneLeft)?;
        if let Some(stop) = self.find_bound(attempts) {
            return Err(stop);
        }
        // What ended the servers that ran it ends the next one too, under whatever request id it comes.
        let right = self.call_right();
        match right {
            CallPermission::Allowed | CallPermission::AsCanary => {}
            CallPermission::Denied if !self.canary.is_undecided(self.standing()) => {
                return Err(AttemptStop::Quarantined);
            }
            CallPermission::Wait | CallPermission::Denied => {
                attempts.canary_at = Some(self.now().plus(CANARY_LOOK));
                return Err(AttemptStop::Canary);
            }
        }
        let choice = self.choose_server(attempts, service, place).ok_or(AttemptStop::NoneLeft)?;
        let (server, place) = match choice {
            ServerChoice::Now(server, place) => (server, place),
            ServerChoice::Wait(None) => return Err(AttemptStop::Waiting),
            ServerChoice::Wait(Some(place)) => {
                attempts.is_waiting = true;
                calls.push(async move { (position, CallNews::CalledUp(place.wait().await)) }.boxed());
                return Err(AttemptStop::Waiting);
            }
        };
        if !self.charge(attempts, service) {
            metrics::counter!("streamfold_extra_calls_refused_total").increment(1);
            return Err(AttemptStop::Budget);
        }
        match right {
            CallPermission::AsCanary => self.canary.note_sent(self.now(), &server),
            _ => self.canary.note_free(),
        }
        attempts.sent += 1;
        let mark = attempts.note_start(server.run());
        attempts.tried.push(server.clone());
        attempts.started = self.now();
        attempts.is_overdue = false;
        attempts.is_handed = false;
        attempts.watch_silence(&server, attempts.started);
        let patience = self.times.hedge_delay(server.distance, self.route.target_latency);
        attempts.hedge_at = (!self.is_once()).then(|| attempts.started.plus(patience));
        calls.push(self.call(position, server, mark));
        if let Some(place) = place {
            place.note_sent();
        }
        Ok(())
    }

    /// Starts the first attempt of this node, or tells in the log why there is none.
    pub fn start_first(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) {
        if let Err(stop) = self.start(position, attempts, calls)
            && !matches!(stop, AttemptStop::Canary | AttemptStop::Waiting)
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
            barred = self.name_bars(&attempts.service)
        );
    }

    /// What keeps the request from servers of a service, with their number, for the log; `None` where
    /// nothing does.
    pub(crate) fn name_bars(&self, service: &ServiceName) -> Option<String> {
        let counts = self.view.services.get(service)?.count_bars(self.now(), &self.homes);
        let named: Vec<String> = counts.iter().map(|(bar, count)| format!("{bar}:{count}")).collect();
        (!named.is_empty()).then(|| named.join(","))
    }

    /// How what the request asks for is treated now.
    fn standing(&self) -> ContentStatus {
        self.router.cluster.quarantine.standing(self.now(), self.request.suspect.content)
    }

    /// Whether a call may be sent, by what is known of what the request asks for.
    fn call_right(&self) -> CallPermission {
        self.canary.right(self.now(), self.standing(), self.route.target_latency.max(MIN_CANARY_PATIENCE))
    }

    /// What becomes of the request's calls under way, by what is known of what it asks for.
    pub(crate) fn fate(&self) -> RequestVerdict {
        let standing = self.standing();
        if standing == ContentStatus::Clear {
            return RequestVerdict::Continue;
        }
        let usual = self.times.typical(Distance::Far, self.route.target_latency);
        self.canary.fate(standing, self.now().since(self.request.started), usual)
    }

    /// Whether the request may send any number of calls at once.
    pub(crate) fn is_free(&self) -> bool {
        self.call_right() == CallPermission::Allowed
    }

    /// Notes how a call ended, for what is known of what the request asks for.
    pub(crate) fn note_ended(&self, ended: &EndedCall) {
        self.canary.note_end(&self.router, self.request.suspect.content, ended);
        if ended.result.as_ref().is_ok_and(|reply| reply.proof.is_some()) {
            quarantine::note_answer(&self.router, self.request.suspect.content, &ended.server);
        }
    }

    /// The bound by which the request may run on no further server.
    fn find_bound(&self, attempts: &ServiceAttempts) -> Option<AttemptStop> {
        if self.is_once() && attempts.may_have_run {
            return Some(AttemptStop::AtMostOnce);
        }
        (attempts.sent + attempts.sent_elsewhere >= self.route.max_attempts).then_some(AttemptStop::ServerBound)
    }

    /// Whether the request may run on no further server.
    pub(crate) fn is_spent(&self, attempts: &ServiceAttempts) -> bool {
        self.find_bound(attempts).is_some()
    }

    /// Counts a call in the budget of the service; false if it is extra and the budget is spent.
    pub(crate) fn charge(&self, attempts: &ServiceAttempts, service: &Service) -> bool {
        let now = self.now();
        let limits = self.router.extra_limits(&self.view, service);
        let mut budget = service.budget();
        if attempts.tried.is_empty() && attempts.pauses == 0 && !attempts.has_arrived {
            budget.note_request(now, &limits, self.request_share);
        }
        let is_extra = attempts.has_arrived || attempts.is_calling();
        !is_extra || budget.spend(now, &limits)
    }

    fn call(&self, position: usize, server: Arc<Server>, mark: SentMark) -> PendingCall {
        let typical = self.times.typical(server.distance, self.route.target_latency);
        let line = self.view.services.get(&server.service).and_then(Service::line).cloned();
        let running = call::run(self.router.clone(), server, self.request.clone(), self.is_once(), mark, typical);
        let clock = self.router.clock;
        let started = self.now();
        let room = line.map(|line| CapacityNotice { queue: line, clock });
        let timed = async move {
            let _room = room;
            let ended = running.await;
            (position, CallNews::Ended(clock.now().since(started), ended))
        };
        timed.boxed()
    }

    /// Tries another server after one failed. Where none is left, those that did not take the
    /// request are tried again after a pause.
    pub fn retry(&self, position: usize, attempts: &mut ServiceAttempts, calls: &PendingCalls) {
        let failed = attempts.tried.last().map(|server| server.id.to_string());
        let waited = self.now().since(attempts.started);
        let stop = self.start(position, attempts, calls).err();
        if stop
            .is_some_and(|stop| !matches!(stop, AttemptStop::Canary | AttemptStop::Quarantined | AttemptStop::Waiting))
        {
            self.pause(attempts);
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

    /// Plans to try servers again that did not take the request, if there are any, there is
    /// time and the request may run on one more.
    pub(crate) fn pause(&self, attempts: &mut ServiceAttempts) {
        let pause = (FIRST_PAUSE * 2u32.pow(attempts.pauses.min(4))).min(MAX_PAUSE);
        let again = self.now().plus(pause.mul_f64(rand::random_range(0.8..1.2)));
        let is_possible = self.router.has(Mechanism::RetryPauses) && !attempts.passed.is_empty();
        if !is_possible || self.is_spent(attempts) || again > self.retry_until {
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
        attempts.note_silence(now);
        if attempts.retry_at.is_some_and(|at| at <= now) {
            attempts.retry_at = None;
            self.retry(position, attempts, calls);
        }
        if attempts.canary_at.is_some_and(|at| at <= now) {
            attempts.canary_at = None;
            self.start_first(position, attempts, calls);
        }
        if attempts.hedge_at.is_some_and(|at| at <= now) {
            self.hedge(position, attempts, calls, far);
        }
    }
}
