//! The HTTP front end: routes the requests of callers and makes their answers.

use std::sync::Arc;
use std::time::Duration;

use http::header::{HOST, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Response, Uri};
use hyper::body::Incoming;
use streamfold_model::{RouteSpec, RouteTable, RouteTarget, TeamSpec};
use streamfold_policy::crash_tracker::ContentStatus;
use streamfold_policy::request_start::find_request_start;
use streamfold_policy::retry_after::RefusalReason;
use streamfold_policy::split_rule::SplitSelector;
use streamfold_policy::{Mechanism, Moment};

use crate::answer::{CallerAnswer, RefusalKind, refuse};
use crate::attempt_context::{AttemptContext, RequestOrigin};
use crate::caller_body::read_body;
use crate::caller_connection::CallerConnection;
use crate::caller_team::find_team;
use crate::canary::CanaryCall;
use crate::cluster_view::ClusterView;
use crate::interface::{CallerHead, FeedTopic};
use crate::request::{CallerRequest, RequestArrival, find_deadline};
use crate::router::{LiveCount, Router, RouterPhase};
use crate::{entry, gather, quarantine, single, stop_check, usage};

/// A request to a single server is refused if no server accepts it within this share of its target latency.
const EARLY_REFUSAL_SHARE: f64 = 0.2;

/// A request's route, with the cluster view and the route table that it was found in.
struct RoutedRequest {
    view: Arc<ClusterView>,
    table: Arc<RouteTable>,
    route: Arc<RouteSpec>,
    body_limit: usize,
}

/// Serves a request of a caller's connection. `accepted` is when the connection was accepted, if the request is the first
/// one on it.
pub(crate) async fn handle(
    router: &Arc<Router>,
    parts: Parts,
    body: &mut Incoming,
    accepted: Option<Moment>,
    connection: &Arc<CallerConnection>,
) -> CallerAnswer {
    let _count = LiveCount::new(&router.requests);
    let arrival = find_arrival(router, accepted);
    match prepare(router, parts, body, arrival, connection).await {
        Ok(context) => run(router, context).await,
        Err(kind) => refuse(&*router.format, kind),
    }
}

/// The arrival time of a request that is being read now. `accepted` is when its connection was accepted, if the request
/// is the first one on it.
fn find_arrival(router: &Router, accepted: Option<Moment>) -> RequestArrival {
    let read = router.clock.now();
    let path_latency = router.settings.caller_way.filter(|_| router.has(Mechanism::HandshakeTime));
    RequestArrival { started: path_latency.map_or(read, |latency| find_request_start(read, accepted, latency.0)), read }
}

async fn prepare(
    router: &Arc<Router>,
    mut parts: Parts,
    body: &mut Incoming,
    arrival: RequestArrival,
    connection: &Arc<CallerConnection>,
) -> Result<AttemptContext, RefusalKind> {
    let head = router.format.read_caller(&parts.headers).map_err(|error| {
        tracing::info!(event = "request_unreadable", path = parts.uri.path(), %error);
        RefusalKind::BadRequest
    })?;
    let routed = find_route(router, &parts.headers, &parts.uri)
        .inspect_err(|kind| log_refused(router, &head.request, &parts.uri, *kind))?;
    let team = authenticate(router, &routed, &head, &mut parts.headers)?;
    let deadline = find_deadline(&head, arrival, routed.route.timeout);
    let reading = read_body(body, routed.body_limit, router.clock.instant(deadline), connection);
    let body = unless_ended(router, reading)
        .await
        .inspect_err(|kind| log_refused(router, &head.request, &parts.uri, *kind))?;
    let latencies = routed.view.latencies.get(&routed.route.name).cloned().unwrap_or_default();
    let is_single_service = matches!(routed.route.target, RouteTarget::Split(_));
    let request = CallerRequest::new(head, parts, body, arrival, routed.route.timeout, is_single_service);
    // A request to a single server is refused early, so that its caller still has time to retry.
    let retry_within = match routed.route.target {
        RouteTarget::Gather(_) => routed.route.target_latency,
        RouteTarget::Split(_) => routed.route.target_latency.mul_f64(EARLY_REFUSAL_SHARE),
    };
    let canary = if is_single_service { CanaryCall::default() } else { CanaryCall::over_shards() };
    Ok(AttemptContext {
        retry_until: arrival.started.plus(retry_within),
        router: router.clone(),
        allowed_regions: team.as_ref().map_or_else(
            || routed.route.allowed_regions.clone(),
            |team| routed.route.allowed_regions.intersect(&team.allowed_regions),
        ),
        priority: team.as_ref().and_then(|team| team.priority).unwrap_or(routed.route.priority),
        team,
        view: routed.view,
        route: routed.route,
        request: Arc::new(request),
        times: latencies,
        request_share: 1.0,
        origin: RequestOrigin::Caller,
        canary,
    })
}

/// Runs a step before the calls of a request. If the node ends first, the request has certainly not run.
async fn unless_ended<T>(
    router: &Router,
    step: impl Future<Output = Result<T, RefusalKind>>,
) -> Result<T, RefusalKind> {
    tokio::select! {
        biased;
        result = step => result,
        () = router.wait_phase(RouterPhase::Ended) => Err(RefusalKind::not_run(RefusalReason::Stopping)),
    }
}

/// Logs a request that is refused because it has no route or its body cannot be read.
fn log_refused(router: &Router, request: &HeaderValue, uri: &Uri, kind: RefusalKind) {
    tracing::info!(
        event = "request_refused",
        request = request.to_str().unwrap_or("not-text"),
        path = uri.path(),
        version = %router.cluster.version(),
        routes_followed = router.is_followed(FeedTopic::Routes),
        routes_age_ms = router.freshness.get(FeedTopic::Routes).age().map(|age| age.as_millis() as u64),
        reason = kind.name()
    );
}

/// Finds the team of a request by its API key, where teams are configured. Replaces the key in the headers by the
/// name of the team.
fn authenticate(
    router: &Router,
    routed: &RoutedRequest,
    head: &CallerHead,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<TeamSpec>>, RefusalKind> {
    let Some(teams) = routed.table.teams() else { return Ok(None) };
    let team = find_team(router, teams, &routed.route, head.key).inspect_err(|kind| {
        metrics::counter!("streamfold_keys_refused_total").increment(1);
        tracing::info!(
            event = "key_refused",
            request = head.request.to_str().unwrap_or("not-text"),
            route = %routed.route.name,
            shown = head.key.name(),
            version = %router.cluster.version(),
            unfollowed_ms = router.unfollowed_for(FeedTopic::Routes).as_millis() as u64,
            reason = kind.name()
        );
    })?;
    router.format.write_team(headers, team.as_ref().map(|team| &team.name));
    Ok(team)
}

/// The host that a request is for, in lower case and without a port.
fn read_host(headers: &HeaderMap, uri: &Uri) -> Option<String> {
    let named = uri.host().or_else(|| headers.get(HOST).and_then(|value| value.to_str().ok()))?;
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}

fn find_route(router: &Router, headers: &HeaderMap, uri: &Uri) -> Result<RoutedRequest, RefusalKind> {
    let view = router.cluster.view();
    let unknown = || RefusalKind::not_run(RefusalReason::RoutesUnknown { uptime: router.uptime() });
    let table: Arc<RouteTable> = view.table.clone().ok_or_else(unknown)?;
    let host = read_host(headers, uri).ok_or(RefusalKind::BadRequest)?;
    match table.find(&host, uri.path()) {
        Some(route) => {
            let (route, body_limit) = (route.clone(), table.limits.body_bytes);
            Ok(RoutedRequest { view, table, route, body_limit })
        }
        // While route updates are missing, the route may have been added meanwhile.
        None if !router.is_followed(FeedTopic::Routes) => Err(unknown()),
        None => Err(RefusalKind::NoRoute),
    }
}

/// Admits a request, refuses it, or admits it as the single trial of quarantined content.
async fn admit(context: &mut AttemptContext) -> Result<(), RefusalKind> {
    stop_check::check(context)?;
    entry::check(context)?;
    let router = &context.router;
    let content = context.request.suspect.content;
    let left = match router.cluster.quarantine.status(context.now(), content) {
        ContentStatus::Clear | ContentStatus::Suspect => return take_credit(context).await,
        ContentStatus::TrialDue if quarantine::claim_trial(router, content).await => {
            context.canary = CanaryCall::trial();
            return take_credit(context).await;
        }
        ContentStatus::TrialDue => Duration::ZERO,
        ContentStatus::Quarantined { until } => until.since(context.now()),
    };
    metrics::counter!("streamfold_quarantined_requests_total").increment(1);
    Err(RefusalKind::quarantined(left))
}

/// Spends credit of the request's team, if it has one. This is the last check, so that a request refused for another
/// reason spends none.
async fn take_credit(context: &AttemptContext) -> Result<(), RefusalKind> {
    let Some(team) = &context.team else { return Ok(()) };
    usage::admit(&context.router, &context.view, team, &context.request, context.route.target_latency).await
}

async fn run(router: &Arc<Router>, context: AttemptContext) -> CallerAnswer {
    let mut record = RequestRecord::new(context);
    let admitted = unless_ended(router, admit(&mut record.context)).await;
    let has_credit = admitted.is_ok();
    let result = match admitted {
        Ok(()) => serve_admitted(&mut record).await,
        Err(kind) => Err(kind),
    };
    let context = &record.context;
    if result.is_ok() {
        router.cluster.quarantine.note_served(context.now(), context.request.suspect.content);
    }
    if let (Some(team), true, Err(kind)) = (&context.team, has_credit, &result)
        && kind.is_not_run()
    {
        usage::give_back(router, &context.view, team);
    }
    record.outcome = result.as_ref().map_or_else(|kind| kind.name(), |_| "answered");
    record.status = result.as_ref().map_or_else(|kind| kind.status(), Response::status).as_u16();
    drop(record);
    result.unwrap_or_else(|kind| refuse(&*router.format, kind))
}

async fn serve_admitted(record: &mut RequestRecord) -> Result<CallerAnswer, RefusalKind> {
    let context = &record.context;
    match &context.route.target {
        RouteTarget::Gather(spec) => {
            let end = gather::run(context, spec).await;
            record.coverage = Some(RequestCoverage {
                answered: end.answered,
                shards: end.shards,
                delegated: end.delegated,
                peers: end.peers,
                missing: end.missing,
            });
            end.result
        }
        RouteTarget::Split(parts) => match single::choose_service(parts, find_split_selector(context)) {
            Some(service) => single::run(context, service).await,
            None => Err(RefusalKind::NoRoute),
        },
    }
}

/// The selector of a request's route, if its traffic is split among services in a fixed sequence.
fn find_split_selector(context: &AttemptContext) -> Option<&SplitSelector> {
    context.view.split_selector(&context.route.name).filter(|_| context.router.has(Mechanism::SplitSequence))
}

/// How many shards an answer covers, and which nodes and shards to name in the log.
struct RequestCoverage {
    answered: usize,
    shards: usize,
    delegated: usize,
    peers: String,
    missing: String,
}

/// Counts a request and logs how it ended. It does so on drop, so that a request cancelled by a caller that
/// disconnected, or abandoned by a node that ends, is covered as well, also while it is being admitted.
struct RequestRecord {
    context: AttemptContext,
    outcome: &'static str,
    status: u16,
    coverage: Option<RequestCoverage>,
}

impl RequestRecord {
    fn new(context: AttemptContext) -> Self {
        Self { context, outcome: "caller_left", status: 0, coverage: None }
    }

    /// Whether the request is dropped without an answer by a node that ends.
    fn is_abandoned(&self) -> bool {
        self.status == 0 && *self.context.router.phase.borrow() == RouterPhase::Ended
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let lost_status = RefusalKind::Lost.status().as_u16();
        if std::thread::panicking() {
            (self.outcome, self.status) = ("panicked", lost_status);
        } else if self.is_abandoned() {
            (self.outcome, self.status) = (RefusalKind::Lost.name(), lost_status);
        }
        let context = &self.context;
        let took = context.now().since(context.request.started);
        metrics::counter!("streamfold_requests_total", "outcome" => self.outcome).increment(1);
        metrics::histogram!("streamfold_request_seconds").record(took.as_secs_f64());
        let coverage = self.coverage.as_ref();
        tracing::info!(
            event = "request",
            request = context.request.id_text(),
            content = %context.request.suspect.content,
            route = %context.route.name,
            team = context.team.as_ref().map(|team| team.name.as_str()),
            version = %context.view.table.as_ref().map_or(Default::default(), |table| table.version),
            outcome = self.outcome,
            status = self.status,
            answered = coverage.map(|coverage| coverage.answered),
            shards = coverage.map(|coverage| coverage.shards),
            delegated = coverage.map(|coverage| coverage.delegated),
            peers = coverage.map(|coverage| coverage.peers.as_str()).filter(|peers| !peers.is_empty()),
            missing = coverage.map(|coverage| coverage.missing.as_str()).filter(|missing| !missing.is_empty()),
            unread_us = context.request.read.since(context.request.started).as_micros() as u64,
            late = took > context.route.target_latency,
            took_us = took.as_micros() as u64
        );
    }
}
