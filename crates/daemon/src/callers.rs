//! The callers' port: queries, orders and tickets, as JSON over HTTP.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, RawQuery, State};
use axum::http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::{Deserialize, Serialize};
use streamfold_model::answer::{HEADER_DEADLINE, HEADER_KEY, HEADER_PREFER, HEADER_REPEATABLE};
use streamfold_model::server::read_shards;
use streamfold_model::{
    CallerPreference, CallerSpec, Configuration, ContentDigest, IndexName, IndexSpec, ProblemDetails, RanState,
    RequestId, ShardId,
};
use streamfold_policy::{AdmissionRefusal, FinishRule, Moment};
use tokio::net::TcpListener;

use crate::error::HeaderError;
use crate::http_server;
use crate::node::{Node, WorkCount};
use crate::order::{OrderAsk, run_claimed, run_ticket};
use crate::query::{QueryAsk, QueryFailure};
use crate::stats;
use crate::tickets::TICKET_PREFIX;
use crate::view::ClusterView;
use crate::wire::{OrderFailure, OrderReply};

/// The most shards a caller may name.
const MAX_NAMED_SHARDS: usize = 65_536;
/// The longest idempotency key.
const MAX_KEY_LEN: usize = 128;
/// Tickets minted by one request, at most.
const MAX_TICKETS: u32 = 1_000;
/// Share of the deadline kept for the way back to the caller.
const RETURN_SHARE: f64 = 0.02;
/// The most kept for it.
const MAX_RETURN: Duration = Duration::from_millis(5);
/// How much of a body over its limit is read, and for how long, before it is refused.
const MAX_DRAIN: usize = 16 << 20;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// When to ask again after a refusal that time alone will mend.
const RETRY_LATER: Duration = Duration::from_millis(1_000);

/// Why a request is refused or gives no answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CallerError {
    /// No token, or one that no caller has.
    #[error("the bearer token is missing or unknown")]
    UnknownCaller,
    /// The caller may not reach the index.
    #[error("caller {0} may not reach index {1}")]
    Forbidden(String, IndexName),
    /// There is no such index.
    #[error("index {0:?} does not exist")]
    UnknownIndex(String),
    /// A header is malformed.
    #[error(transparent)]
    BadHeader(#[from] HeaderError),
    /// The `shards` parameter is malformed.
    #[error("parameter shards: {0:?} is not a list like 0-3,7")]
    BadShards(String),
    /// A shard is not in the layout.
    #[error("shard {0} does not exist; the index has {1} shards")]
    NoSuchShard(ShardId, usize),
    /// The body is over its limit.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body broke off.
    #[error("the body could not be read")]
    BodyBroken,
    /// An order's body does not name a record.
    #[error("the body of an order is a JSON object with a string \"key\": {0}")]
    BadOrder(String),
    /// A request that is not repeatable needs a key.
    #[error("a request that is not repeatable needs the header Idempotency-Key; use the ticket given here")]
    KeyMissing(String),
    /// A query cannot be made not repeatable.
    #[error("a query is always repeatable; use an order")]
    QueryNotRepeatable,
    /// Over the caller's rate.
    #[error("the caller is over its rate")]
    OverRate(Duration),
    /// Too many requests of the caller running.
    #[error("the caller has too many requests running")]
    OverConcurrency,
    /// The node is stopping.
    #[error("this node is stopping")]
    Stopping,
    /// The node has no configuration.
    #[error("this node has no configuration yet")]
    NoConfiguration,
    /// No server told its versions.
    #[error("no server of the index has told which versions it holds")]
    NoVersion,
    /// An order gave no result; a ticket where one would help.
    #[error("the order gave no result: {0}")]
    Order(OrderFailure, Option<String>),
}

impl CallerError {
    /// Stable name and status.
    fn kind(&self) -> (&'static str, StatusCode) {
        match self {
            Self::UnknownCaller => ("unknown-caller", StatusCode::UNAUTHORIZED),
            Self::Forbidden(..) => ("forbidden", StatusCode::FORBIDDEN),
            Self::UnknownIndex(_) => ("unknown-index", StatusCode::NOT_FOUND),
            Self::BadHeader(_) => ("bad-header", StatusCode::BAD_REQUEST),
            Self::BadShards(_) => ("bad-shards", StatusCode::BAD_REQUEST),
            Self::NoSuchShard(..) => ("no-such-shard", StatusCode::BAD_REQUEST),
            Self::BodyTooLarge(_) => ("body-too-large", StatusCode::PAYLOAD_TOO_LARGE),
            Self::BodyBroken => ("body-broken", StatusCode::BAD_REQUEST),
            Self::BadOrder(_) => ("bad-order", StatusCode::BAD_REQUEST),
            Self::KeyMissing(_) => ("key-missing", StatusCode::BAD_REQUEST),
            Self::QueryNotRepeatable => ("query-not-repeatable", StatusCode::BAD_REQUEST),
            Self::OverRate(_) => ("over-rate", StatusCode::TOO_MANY_REQUESTS),
            Self::OverConcurrency => ("over-concurrency", StatusCode::TOO_MANY_REQUESTS),
            Self::Stopping => ("stopping", StatusCode::SERVICE_UNAVAILABLE),
            Self::NoConfiguration => ("no-configuration", StatusCode::SERVICE_UNAVAILABLE),
            Self::NoVersion => ("no-version", StatusCode::SERVICE_UNAVAILABLE),
            Self::Order(failure, _) => order_kind(*failure),
        }
    }

    fn ran(&self) -> RanState {
        match self {
            Self::Order(failure, _) => failure.ran(),
            _ => RanState::NotRun,
        }
    }

    /// The ticket to use, where one would help.
    fn ticket(&self) -> Option<&String> {
        match self {
            Self::KeyMissing(ticket) => Some(ticket),
            Self::Order(_, ticket) => ticket.as_ref(),
            _ => None,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverRate(wait) => Some(*wait),
            Self::OverConcurrency | Self::Stopping | Self::NoConfiguration | Self::NoVersion => Some(RETRY_LATER),
            Self::Order(OrderFailure::Missing(_) | OrderFailure::Stopping | OrderFailure::Full, _) => Some(RETRY_LATER),
            _ => None,
        }
    }
}

fn order_kind(failure: OrderFailure) -> (&'static str, StatusCode) {
    match failure {
        OrderFailure::Missing(_) => ("shard-missing", StatusCode::SERVICE_UNAVAILABLE),
        OrderFailure::OutcomeUnknown => ("outcome-unknown", StatusCode::GATEWAY_TIMEOUT),
        OrderFailure::AlreadyTaken => ("already-taken", StatusCode::CONFLICT),
        OrderFailure::BadTicket => ("bad-ticket", StatusCode::BAD_REQUEST),
        OrderFailure::Expired => ("ticket-expired", StatusCode::GONE),
        OrderFailure::Full => ("node-full", StatusCode::SERVICE_UNAVAILABLE),
        OrderFailure::MinterGone => ("minter-gone", StatusCode::GATEWAY_TIMEOUT),
        OrderFailure::Stopping => ("stopping", StatusCode::SERVICE_UNAVAILABLE),
        OrderFailure::ClaimFailed => ("claim-failed", StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// An order's result as told to the caller.
#[derive(Debug, Serialize)]
struct OrderAnswer<'a> {
    request: RequestId,
    ran: RanState,
    shard: ShardId,
    index_version: streamfold_model::IndexVersion,
    result: &'a serde_json::value::RawValue,
}

/// Tickets as told to the caller.
#[derive(Debug, Serialize)]
struct TicketAnswer {
    tickets: Vec<String>,
    expires_in_ms: u64,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    key: String,
}

/// A request that was let in, until it ends.
struct CallerVisit {
    node: Arc<Node>,
    view: Arc<ClusterView>,
    config: Arc<Configuration>,
    caller: Arc<CallerSpec>,
    started: Moment,
    _work: WorkCount,
}

impl Drop for CallerVisit {
    fn drop(&mut self) {
        if let Some(gate) = self.node.gates().get_mut(&self.caller.name) {
            gate.leave();
        }
        stats::set_inflight(self.node.work_in_flight().saturating_sub(1));
    }
}

/// Serves the callers' port until the node ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let connections = node.settings.connections;
    let router = Router::new()
        .route("/v1/indexes/{index}/query", post(query))
        .route("/v1/indexes/{index}/order", post(order))
        .route("/v1/tickets", post(tickets))
        .with_state(node.clone());
    http_server::serve(node, listener, router, connections).await;
}

async fn query(
    State(node): State<Arc<Node>>,
    Path(index): Path<String>,
    RawQuery(parameters): RawQuery,
    request: Request<Body>,
) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let result = answer_query(&node, id, &index, parameters.as_deref(), request).await;
    finish(&node, id, "query", &index, started, result)
}

async fn answer_query(
    node: &Arc<Node>,
    id: RequestId,
    index: &str,
    parameters: Option<&str>,
    request: Request<Body>,
) -> Result<Told, CallerError> {
    let visit = let_in(node, request.headers())?;
    let spec = find_index(&visit, index)?;
    if read_repeatable(request.headers())? == Some(false) {
        return Err(CallerError::QueryNotRepeatable);
    }
    let deadline = read_deadline(&visit, request.headers())?;
    let rule = read_rule(&visit.caller, request.headers())?;
    let wanted = read_wanted(parameters)?;
    let body = read_body(node, request).await?;
    let started = visit.started;
    let ask = QueryAsk { request: id, index: spec, body, wanted, started, deadline, rule };
    let answer = crate::query::run(node, &visit.view, &ask).await.map_err(|failure| match failure {
        QueryFailure::NoSuchShard(shard, count) => CallerError::NoSuchShard(shard, count),
        QueryFailure::NoVersion => CallerError::NoVersion,
    })?;
    let result = if answer.coverage.missing.is_empty() { "whole" } else { "partial" };
    let told = format!("{}/{}", answer.coverage.answered, answer.coverage.shards);
    let text = serde_json::to_vec(&answer).map_err(|_| CallerError::BodyBroken)?;
    Ok(Told { caller: visit.caller.name.to_string(), result, coverage: told, text })
}

/// What goes back to the caller and into the log.
struct Told {
    caller: String,
    result: &'static str,
    coverage: String,
    text: Vec<u8>,
}

async fn order(State(node): State<Arc<Node>>, Path(index): Path<String>, request: Request<Body>) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let result = answer_order(&node, id, &index, request).await;
    finish(&node, id, "order", &index, started, result)
}

async fn answer_order(
    node: &Arc<Node>,
    id: RequestId,
    index: &str,
    request: Request<Body>,
) -> Result<Told, CallerError> {
    let visit = let_in(node, request.headers())?;
    let spec = find_index(&visit, index)?;
    let deadline = read_deadline(&visit, request.headers())?;
    read_repeatable(request.headers())?;
    let key = read_key(request.headers())?.ok_or_else(|| CallerError::KeyMissing(mint(&visit)))?;
    let body = read_body(node, request).await?;
    let record = serde_json::from_slice::<OrderBody>(&body);
    let record = record.map_err(|error| CallerError::BadOrder(error.to_string()))?.key;
    let caller = visit.caller.name.clone();
    let index = spec.name.clone();
    let ask = OrderAsk { request: id, caller, index, record, key, body: body.to_vec(), deadline };
    let reply = match ask.key.starts_with(TICKET_PREFIX) {
        true => {
            let ticket = ask.key.parse().map_err(|_| CallerError::Order(OrderFailure::BadTicket, None))?;
            run_ticket(node, ask, &ticket).await
        }
        false => run_claimed(node, ask).await,
    };
    let (shard, index_version, result) = match reply {
        OrderReply::Done { shard, version, result } => (shard, version, result),
        OrderReply::Failed(failure @ OrderFailure::ClaimFailed) => {
            return Err(CallerError::Order(failure, Some(mint(&visit))));
        }
        OrderReply::Failed(failure) => return Err(CallerError::Order(failure, None)),
    };
    let raw: Result<&serde_json::value::RawValue, _> = serde_json::from_slice(&result);
    let raw = raw.map_err(|_| CallerError::Order(OrderFailure::OutcomeUnknown, None))?;
    let answer = OrderAnswer { request: id, ran: RanState::Ran, shard, index_version, result: raw };
    let text = serde_json::to_vec(&answer).map_err(|_| CallerError::Order(OrderFailure::OutcomeUnknown, None))?;
    Ok(Told { caller: visit.caller.name.to_string(), result: "ran", coverage: "1/1".to_owned(), text })
}

async fn tickets(State(node): State<Arc<Node>>, RawQuery(parameters): RawQuery, headers: HeaderMap) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let result = answer_tickets(&node, parameters.as_deref(), &headers);
    finish(&node, id, "tickets", "", started, result)
}

fn answer_tickets(node: &Arc<Node>, parameters: Option<&str>, headers: &HeaderMap) -> Result<Told, CallerError> {
    let visit = let_in(node, headers)?;
    let count = find_parameter(parameters, "count").unwrap_or("1");
    let bad = || HeaderError::BadValue { name: "count", found: count.to_owned(), wanted: "a number from 1 to 1000" };
    let wanted: u32 = count.parse().ok().filter(|wanted| (1..=MAX_TICKETS).contains(wanted)).ok_or_else(bad)?;
    let minted = (0..wanted).map(|_| mint(&visit));
    let life = node.settings.ticket_life.as_millis();
    let answer = TicketAnswer { tickets: minted.collect(), expires_in_ms: life as u64 };
    let text = serde_json::to_vec(&answer).map_err(|_| CallerError::BodyBroken)?;
    Ok(Told { caller: visit.caller.name.to_string(), result: "minted", coverage: String::new(), text })
}

fn mint(visit: &CallerVisit) -> String {
    visit.node.own_book().mint(visit.node.clock.now(), &visit.caller.name).to_string()
}

/// Finds out who calls and whether it may, by rate and concurrency.
fn let_in(node: &Arc<Node>, headers: &HeaderMap) -> Result<CallerVisit, CallerError> {
    // Counted before the phase is looked at, so that a stop never misses a request.
    let work = node.count_work();
    if node.is_refusing() {
        return Err(CallerError::Stopping);
    }
    let view = node.view();
    let config = view.config.clone().ok_or(CallerError::NoConfiguration)?;
    let token = headers.get(header::AUTHORIZATION).and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let token = ContentDigest::of(token.ok_or(CallerError::UnknownCaller)?);
    let caller = config.caller(token).ok_or(CallerError::UnknownCaller)?.clone();
    let started = node.clock.now();
    let admitted = {
        let mut gates = node.gates();
        let gate = gates.entry(caller.name.clone()).or_default();
        gate.admit(started, caller.rate, caller.concurrency)
    };
    admitted.map_err(|refusal| match refusal {
        AdmissionRefusal::OverRate(wait) => CallerError::OverRate(wait),
        AdmissionRefusal::OverConcurrency => CallerError::OverConcurrency,
    })?;
    stats::set_inflight(node.work_in_flight());
    Ok(CallerVisit { node: node.clone(), view, config, caller, started, _work: work })
}

fn find_index(visit: &CallerVisit, name: &str) -> Result<Arc<IndexSpec>, CallerError> {
    let unknown = || CallerError::UnknownIndex(name.chars().take(MAX_KEY_LEN).collect());
    let index: IndexName = name.parse().map_err(|_| unknown())?;
    let spec = visit.config.indexes.get(&index).ok_or_else(unknown)?;
    if !visit.caller.indexes.contains(&index) {
        return Err(CallerError::Forbidden(visit.caller.name.to_string(), index));
    }
    Ok(spec.clone())
}

fn read_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers.get(name).map(|value| value.to_str().unwrap_or("(not text)"))
}

fn bad_value(name: &'static str, found: &str, wanted: &'static str) -> HeaderError {
    HeaderError::BadValue { name, found: found.chars().take(MAX_KEY_LEN).collect(), wanted }
}

fn read_repeatable(headers: &HeaderMap) -> Result<Option<bool>, HeaderError> {
    match read_text(headers, HEADER_REPEATABLE) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(found) => Err(bad_value(HEADER_REPEATABLE, found, "true or false")),
    }
}

/// The deadline the caller names, at most its configured one, less the way back.
fn read_deadline(visit: &CallerVisit, headers: &HeaderMap) -> Result<Moment, HeaderError> {
    let longest = visit.caller.deadline;
    let span = match read_text(headers, HEADER_DEADLINE) {
        None => longest,
        Some(text) => {
            let millis: u64 = text
                .parse()
                .ok()
                .filter(|millis| *millis > 0)
                .ok_or_else(|| bad_value(HEADER_DEADLINE, text, "a whole number of milliseconds above 0"))?;
            Duration::from_millis(millis).min(longest)
        }
    };
    let way_back = span.mul_f64(RETURN_SHARE).min(MAX_RETURN);
    Ok(visit.started.plus(span - way_back))
}

fn read_rule(caller: &CallerSpec, headers: &HeaderMap) -> Result<FinishRule, HeaderError> {
    let prefer = match read_text(headers, HEADER_PREFER) {
        None => caller.prefer,
        Some("latency") => CallerPreference::Latency,
        Some("coverage") => CallerPreference::Coverage,
        Some(found) => return Err(bad_value(HEADER_PREFER, found, "latency or coverage")),
    };
    Ok(FinishRule { prefer, prefer_within: caller.prefer_within, wanted_coverage: caller.wanted_coverage })
}

fn find_parameter<'a>(parameters: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = parameters?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value)
}

fn read_wanted(parameters: Option<&str>) -> Result<Option<Vec<ShardId>>, CallerError> {
    let Some(text) = find_parameter(parameters, "shards") else { return Ok(None) };
    let bad = || CallerError::BadShards(text.chars().take(MAX_KEY_LEN).collect());
    let mut shards = read_shards(text, MAX_NAMED_SHARDS).ok_or_else(bad)?;
    shards.sort_unstable();
    shards.dedup();
    Ok(Some(shards))
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, HeaderError> {
    let Some(value) = headers.get(HEADER_KEY) else { return Ok(None) };
    let text = value.to_str().map_err(|_| HeaderError::BadKey)?;
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LEN || !is_visible {
        return Err(HeaderError::BadKey);
    }
    Ok(Some(text.to_owned()))
}

async fn read_body(node: &Node, request: Request<Body>) -> Result<Bytes, CallerError> {
    let limit = node.settings.body_limit.as_usize();
    let mut body = request.into_body();
    let read = Limited::new(&mut body, limit).collect().await;
    let error = match read {
        Ok(read) => return Ok(read.to_bytes()),
        Err(error) => error,
    };
    if !error.is::<LengthLimitError>() {
        return Err(CallerError::BodyBroken);
    }
    // A sender that is still sending would not see the refusal, so a bounded rest is read.
    let rest = Limited::new(body, MAX_DRAIN).collect();
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
    Err(CallerError::BodyTooLarge(limit))
}

/// Logs and counts how a request ended and makes its answer.
fn finish(
    node: &Arc<Node>,
    id: RequestId,
    verb: &'static str,
    index: &str,
    started: Moment,
    result: Result<Told, CallerError>,
) -> Response {
    let elapsed = node.clock.now().since(started);
    let elapsed_us = elapsed.as_micros() as u64;
    match result {
        Ok(told) => {
            stats::count_request(&told.caller, told.result, elapsed);
            tracing::info!(event = "answered", request = %id, verb, index, caller = told.caller, result = told.result, coverage = told.coverage, elapsed_us);
            let json = HeaderValue::from_static("application/json");
            (StatusCode::OK, [(header::CONTENT_TYPE, json)], told.text).into_response()
        }
        Err(error) => {
            let (kind, _) = error.kind();
            stats::count_request("", kind, elapsed);
            tracing::info!(event = "refused", request = %id, verb, index, result = kind, ran = %error.ran(), detail = %error, elapsed_us);
            problem(id, &error).into_response()
        }
    }
}

fn problem(id: RequestId, error: &CallerError) -> impl IntoResponse + use<> {
    let (kind, status) = error.kind();
    let retry_after = error.retry_after();
    let details = ProblemDetails {
        kind: kind.to_owned(),
        status: status.as_u16(),
        detail: error.to_string(),
        ran: error.ran(),
        request: Some(id),
        ticket: error.ticket().cloned(),
        retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64 + 1),
        problems: Vec::new(),
    };
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(wait) = retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.as_secs() + 1));
    }
    (status, headers, serde_json::to_vec(&details).unwrap_or_default())
}
