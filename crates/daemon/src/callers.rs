//! The HTTP API for callers: queries, orders and tickets, with JSON answers.

use std::borrow::Cow;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, RawQuery, State};
use axum::http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use streamfold_model::{
    CallerSpec, Configuration, ContentDigest, ExecutionState, IndexVersion, ProblemDetails, QueryAnswer, RequestId,
    ShardId,
};
use streamfold_policy::Moment;
use streamfold_router::answer_memory::AnswerReservation;
use streamfold_router::growing_buffer::GrowingBuffer;
use streamfold_router::task;
use tokio::net::TcpListener;

use crate::admission::admit;
use crate::caller_error::CallerError;
use crate::caller_input::{
    find_index, find_parameter, read_body, read_deadline, read_finish_rule, read_key, read_repeatable, read_shards,
};
use crate::error::HeaderError;
use crate::http_server;
use crate::node::{Node, WorkGuard};
use crate::order::{OrderJob, run_with_key, run_with_ticket};
use crate::query::{QueryFailure, QueryJob};
use crate::stats;
use crate::tickets::TICKET_PREFIX;
use crate::view::ClusterView;
use crate::wire::{OrderFailure, OrderReply};

/// Maximum number of tickets that one request mints.
const MAX_TICKETS: u32 = 1_000;
/// The most that an answer tells of a shard besides its result, and of itself besides its shards, in bytes.
const SHARD_LEN: usize = 64;
const ANSWER_HEAD_LEN: usize = 4 << 10;

/// The context of an authenticated caller's request.
pub struct RequestContext {
    /// The cluster view that the request uses to its end.
    pub view: Arc<ClusterView>,
    /// The configuration that the request uses to its end.
    pub config: Arc<Configuration>,
    /// The caller.
    pub caller: Arc<CallerSpec>,
    /// When the request arrived.
    pub started: Moment,
    _work: WorkGuard,
}

/// The answer to an order.
#[derive(Debug, Serialize)]
struct OrderAnswer<'a> {
    request: RequestId,
    ran: ExecutionState,
    shard: ShardId,
    index_version: IndexVersion,
    result: &'a serde_json::value::RawValue,
}

/// The answer to a request for tickets.
#[derive(Debug, Serialize)]
struct TicketAnswer {
    tickets: Vec<String>,
    expires_in_ms: u64,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    key: String,
}

/// Serves the callers' port until the node stops.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>) {
    let limits = node.callers.clone();
    let router = Router::new()
        .route("/v1/indexes/{index}/query", post(query))
        .route("/v1/indexes/{index}/order", post(order))
        .route("/v1/tickets", post(tickets))
        .with_state(node.clone());
    http_server::serve(node, listener, router, limits).await;
}

async fn query(
    State(node): State<Arc<Node>>,
    Path(index): Path<String>,
    RawQuery(parameters): RawQuery,
    request: Request<Body>,
) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let answered = task::catch_panic(answer_query(&node, id, &index, parameters.as_deref(), request)).await;
    let result = answered.unwrap_or(Err(CallerError::NodeFault));
    finish(&node, id, "query", &index, started, result)
}

async fn answer_query(
    node: &Arc<Node>,
    id: RequestId,
    index: &str,
    parameters: Option<&str>,
    request: Request<Body>,
) -> Result<CallerAnswer, CallerError> {
    let context = authenticate(node, request.headers())?;
    let spec = find_index(&context, index)?;
    if read_repeatable(request.headers())? == Some(false) {
        return Err(CallerError::QueryNotRepeatable);
    }
    let deadline = read_deadline(&context, request.headers())?;
    let rule = read_finish_rule(&context.caller, request.headers())?;
    let shards = read_shards(parameters)?;
    check_room(node)?;
    let body = read_body(node, request, deadline).await?;
    let started = context.started;
    let job = QueryJob { request: id, index: spec, body, shards, started, deadline, rule };
    let mut permit = admit(node, &context, deadline).await?;
    let answer =
        crate::query::run(node, &context.view, &job, &mut permit.work).await.map_err(|failure| match failure {
            QueryFailure::NoSuchShard(shard, count) => CallerError::NoSuchShard(shard, count),
            QueryFailure::NoVersion => CallerError::NoVersion,
        })?;
    let result = if answer.coverage.missing.is_empty() { "whole" } else { "partial" };
    let ratio = format!("{}/{}", answer.coverage.answered, answer.coverage.shards);
    let text = write_answer(node, &answer)?;
    Ok(CallerAnswer { caller: context.caller.name.to_string(), result, coverage: ratio, text })
}

/// A successful answer and its fields in the access log.
struct CallerAnswer {
    caller: String,
    result: &'static str,
    coverage: String,
    text: Bytes,
}

/// Refuses a request whose answer there is no memory for.
fn check_room(node: &Node) -> Result<(), CallerError> {
    if node.callers.has_answer_room() { Ok(()) } else { Err(CallerError::NoMemory) }
}

/// Writes the answer to a query. Its memory counts as the caller's until it was sent.
fn write_answer(node: &Node, answer: &QueryAnswer) -> Result<Bytes, CallerError> {
    let results: usize = answer.results.values().map(|result| result.get().len() + SHARD_LEN).sum();
    let most = results + answer.coverage.missing.len() * SHARD_LEN + ANSWER_HEAD_LEN;
    let mut text = GrowingBuffer::new(most);
    serde_json::to_writer(&mut text, answer).map_err(|error| {
        tracing::warn!(event = "answer_unwritable", request = %answer.request, %error);
        CallerError::AnswerUnwritable
    })?;
    Ok(hold_answer(node, Bytes::from_owner(text)))
}

fn hold_answer(node: &Node, text: Bytes) -> Bytes {
    AnswerReservation::hold(node.callers.clone(), text)
}

async fn order(State(node): State<Arc<Node>>, Path(index): Path<String>, request: Request<Body>) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let answered = task::catch_panic(answer_order(&node, id, &index, request)).await;
    let result = answered.unwrap_or(Err(CallerError::NodeFault));
    finish(&node, id, "order", &index, started, result)
}

async fn answer_order(
    node: &Arc<Node>,
    id: RequestId,
    index: &str,
    request: Request<Body>,
) -> Result<CallerAnswer, CallerError> {
    let context = authenticate(node, request.headers())?;
    let spec = find_index(&context, index)?;
    let deadline = read_deadline(&context, request.headers())?;
    read_repeatable(request.headers())?;
    let key = read_key(request.headers())?.ok_or_else(|| CallerError::KeyMissing(mint(node, &context)))?;
    check_room(node)?;
    let body = read_body(node, request, deadline).await?;
    let record = serde_json::from_slice::<OrderBody>(&body);
    let record = record.map_err(|error| CallerError::BadOrder(error.to_string()))?.key;
    let caller = context.caller.name.clone();
    let index = spec.name.clone();
    let job = OrderJob { request: id, caller, index, record, key, body: body.to_vec(), deadline };
    let mut permit = admit(node, &context, deadline).await?;
    let reply = match job.key.starts_with(TICKET_PREFIX) {
        true => {
            let ticket = job.key.parse().map_err(|_| CallerError::Order(OrderFailure::BadTicket, None))?;
            run_with_ticket(node, job, &ticket).await
        }
        false => run_with_key(node, job).await,
    };
    // The waiting time of an order does not depend on the admission limit, so all its time counts as served.
    permit.work.served = node.clock.now().since(context.started);
    let (shard, index_version, result) = match reply {
        OrderReply::Done { shard, version, result } => (shard, version, result),
        OrderReply::Failed(failure @ OrderFailure::ClaimFailed) => {
            return Err(CallerError::Order(failure, Some(mint(node, &context))));
        }
        OrderReply::Failed(failure) => return Err(CallerError::Order(failure, None)),
    };
    let raw: Result<&serde_json::value::RawValue, _> = serde_json::from_slice(&result);
    let raw = raw.map_err(|_| CallerError::Order(OrderFailure::OutcomeUnknown, None))?;
    let answer = OrderAnswer { request: id, ran: ExecutionState::Ran, shard, index_version, result: raw };
    let text = serde_json::to_vec(&answer).map_err(|_| CallerError::Order(OrderFailure::OutcomeUnknown, None))?;
    let text = hold_answer(node, Bytes::from(text));
    Ok(CallerAnswer { caller: context.caller.name.to_string(), result: "ran", coverage: "1/1".to_owned(), text })
}

async fn tickets(State(node): State<Arc<Node>>, RawQuery(parameters): RawQuery, headers: HeaderMap) -> Response {
    let id = RequestId(rand::random());
    let started = node.clock.now();
    let result = answer_tickets(&node, parameters.as_deref(), &headers);
    finish(&node, id, "tickets", "", started, result)
}

fn answer_tickets(
    node: &Arc<Node>,
    parameters: Option<&str>,
    headers: &HeaderMap,
) -> Result<CallerAnswer, CallerError> {
    let context = authenticate(node, headers)?;
    let taken = node.admission().take_rate(context.started, &context.caller.name, context.caller.rate);
    taken.map_err(CallerError::OverRate)?;
    let count = find_parameter(parameters, "count").unwrap_or(Cow::Borrowed("1"));
    let bad = || HeaderError::BadValue { name: "count", found: count.to_string(), wanted: "a number from 1 to 1000" };
    let wanted: u32 = count.parse().ok().filter(|wanted| (1..=MAX_TICKETS).contains(wanted)).ok_or_else(bad)?;
    let minted = (0..wanted).map(|_| mint(node, &context));
    let lifetime = node.settings.ticket_life.as_millis();
    let answer = TicketAnswer { tickets: minted.collect(), expires_in_ms: lifetime as u64 };
    let text = serde_json::to_vec(&answer).map_err(|_| CallerError::NodeFault)?;
    let text = hold_answer(node, Bytes::from(text));
    Ok(CallerAnswer { caller: context.caller.name.to_string(), result: "minted", coverage: String::new(), text })
}

fn mint(node: &Node, context: &RequestContext) -> String {
    node.own_tickets().mint(context.started, &context.caller.name).to_string()
}

/// Authenticates the caller by its bearer token and refuses the request if the node is stopping.
fn authenticate(node: &Arc<Node>, headers: &HeaderMap) -> Result<RequestContext, CallerError> {
    // The request is counted before the phase is checked, so that a stop never misses a request.
    let work = node.count_work();
    if node.is_refusing() {
        return Err(CallerError::Stopping);
    }
    let view = node.view();
    let config = view.config.clone().ok_or(CallerError::NoConfiguration)?;
    let token = headers.get(header::AUTHORIZATION).and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let token = ContentDigest::of(token.ok_or(CallerError::UnknownCaller)?);
    let caller = config.caller(token).ok_or(CallerError::UnknownCaller)?.clone();
    Ok(RequestContext { view, config, caller, started: node.clock.now(), _work: work })
}

/// Logs and counts the result of a request and builds the HTTP response.
fn finish(
    node: &Arc<Node>,
    id: RequestId,
    verb: &'static str,
    index: &str,
    started: Moment,
    result: Result<CallerAnswer, CallerError>,
) -> Response {
    let elapsed = node.clock.now().since(started);
    let elapsed_us = elapsed.as_micros() as u64;
    match result {
        Ok(answer) => {
            stats::count_request(&answer.caller, answer.result, elapsed);
            tracing::info!(event = "answered", request = %id, verb, index, caller = answer.caller, result = answer.result, coverage = answer.coverage, elapsed_us);
            let json = HeaderValue::from_static("application/json");
            (StatusCode::OK, [(header::CONTENT_TYPE, json)], answer.text).into_response()
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
