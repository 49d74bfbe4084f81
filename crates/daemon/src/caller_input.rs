//! Parses the headers, URL parameters and bodies of callers' requests, with a typed error for each.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, Request};
use bytes::Bytes;
use streamfold_model::answer::{HEADER_DEADLINE, HEADER_KEY, HEADER_PREFER, HEADER_REPEATABLE};
use streamfold_model::server::parse_shards;
use streamfold_model::url_text::decode;
use streamfold_model::{CallerPreference, CallerSpec, IndexName, IndexSpec, ShardId};
use streamfold_policy::{FinishRule, Moment};
use streamfold_router::caller_body::{BodyError, discard, read_all};
use streamfold_router::caller_connection::CallerConnection;

use crate::caller_error::CallerError;
use crate::callers::RequestContext;
use crate::error::HeaderError;
use crate::node::Node;

/// Maximum number of shards in the `shards` parameter.
const MAX_SHARDS: usize = 65_536;
/// Maximum length of an idempotency key, and of the part of an invalid value that an error quotes.
const MAX_KEY_LEN: usize = 128;
/// Share of the deadline reserved for sending the answer back to the caller.
const RETURN_SHARE: f64 = 0.02;
/// Maximum of that reserved time.
const MAX_RETURN_TIME: Duration = Duration::from_millis(5);
/// Finds an index by name and checks that the caller has access to it.
pub fn find_index(context: &RequestContext, name: &str) -> Result<Arc<IndexSpec>, CallerError> {
    let unknown = || CallerError::UnknownIndex(name.chars().take(MAX_KEY_LEN).collect());
    let index: IndexName = name.parse().map_err(|_| unknown())?;
    let spec = context.config.indexes.get(&index).ok_or_else(unknown)?;
    if !context.caller.indexes.contains(&index) {
        return Err(CallerError::Forbidden(context.caller.name.to_string(), index));
    }
    Ok(spec.clone())
}

fn read_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers.get(name).map(|value| value.to_str().unwrap_or("(not text)"))
}

fn bad_value(name: &'static str, found: &str, wanted: &'static str) -> HeaderError {
    HeaderError::BadValue { name, found: found.chars().take(MAX_KEY_LEN).collect(), wanted }
}

/// Whether the caller marks the request as repeatable; `None` without the header.
pub fn read_repeatable(headers: &HeaderMap) -> Result<Option<bool>, HeaderError> {
    match read_text(headers, HEADER_REPEATABLE) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(found) => Err(bad_value(HEADER_REPEATABLE, found, "true or false")),
    }
}

/// The request's deadline: the caller's timeout, at most its configured one, less the time reserved for the answer.
pub fn read_deadline(context: &RequestContext, headers: &HeaderMap) -> Result<Moment, HeaderError> {
    let max_deadline = context.caller.deadline;
    let timeout = match read_text(headers, HEADER_DEADLINE) {
        None => max_deadline,
        Some(text) => {
            let millis: u64 = text
                .parse()
                .ok()
                .filter(|millis| *millis > 0)
                .ok_or_else(|| bad_value(HEADER_DEADLINE, text, "a whole number of milliseconds above 0"))?;
            Duration::from_millis(millis).min(max_deadline)
        }
    };
    let return_time = timeout.mul_f64(RETURN_SHARE).min(MAX_RETURN_TIME);
    Ok(context.started.plus(timeout - return_time))
}

/// The rule that decides when a query is answered with the results so far.
pub fn read_finish_rule(caller: &CallerSpec, headers: &HeaderMap) -> Result<FinishRule, HeaderError> {
    let prefer = match read_text(headers, HEADER_PREFER) {
        None => caller.prefer,
        Some("latency") => CallerPreference::Latency,
        Some("coverage") => CallerPreference::Coverage,
        Some(found) => return Err(bad_value(HEADER_PREFER, found, "latency or coverage")),
    };
    Ok(FinishRule { prefer, prefer_within: caller.prefer_within, wanted_coverage: caller.wanted_coverage })
}

/// The value of a URL parameter. HTTP libraries encode commas, for one.
pub fn find_parameter<'a>(parameters: Option<&'a str>, name: &str) -> Option<Cow<'a, str>> {
    let mut pairs = parameters?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(found, _)| *found == name).map(|(_, value)| decode(value))
}

/// The shards in the `shards` parameter, sorted; `None` without it.
pub fn read_shards(parameters: Option<&str>) -> Result<Option<Vec<ShardId>>, CallerError> {
    let Some(text) = find_parameter(parameters, "shards") else { return Ok(None) };
    let bad = || CallerError::BadShards(text.chars().take(MAX_KEY_LEN).collect());
    let mut shards = parse_shards(&text, MAX_SHARDS).ok_or_else(bad)?;
    shards.sort_unstable();
    shards.dedup();
    Ok(Some(shards))
}

/// The idempotency key; `None` without the header.
pub fn read_key(headers: &HeaderMap) -> Result<Option<String>, HeaderError> {
    let Some(value) = headers.get(HEADER_KEY) else { return Ok(None) };
    let text = value.to_str().map_err(|_| HeaderError::BadKey)?;
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_LEN || !is_visible {
        return Err(HeaderError::BadKey);
    }
    Ok(Some(text.to_owned()))
}

/// Reads the body, at most `body_limit` bytes, until the deadline or the end of the node. Its memory counts as the caller's for as long as any
/// part of it is in use.
pub async fn read_body(node: &Node, request: Request<Body>, deadline: Moment) -> Result<Bytes, CallerError> {
    let limit = node.settings.body_limit.as_usize();
    // Every connection is counted before it is served.
    let caller = request.extensions().get::<Arc<CallerConnection>>().cloned().ok_or(CallerError::NodeFault)?;
    let mut body = request.into_body();
    let left = deadline.since(node.clock.now());
    let reading = read_all(&mut body, limit, caller.start_body());
    let read = node.unless_given_up(tokio::time::timeout(left, reading)).await.ok_or(CallerError::Stopping)?;
    match read.map_err(|_| CallerError::BodyLate)? {
        Ok(read) => Ok(read),
        Err(BodyError::Broken) => Err(CallerError::BodyBroken),
        Err(BodyError::NoMemory) => Err(CallerError::NoMemory),
        Err(BodyError::TooLong) => {
            // A client that is still sending would not read the refusal, so a bounded rest of the body is read first.
            discard(body).await;
            Err(CallerError::BodyTooLarge(limit))
        }
    }
}
