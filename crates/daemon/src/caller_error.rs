//! Errors that callers receive, each with its HTTP status and whether the request ran.

use std::time::Duration;

use axum::http::StatusCode;
use streamfold_model::{ExecutionState, IndexName, ShardId};

use crate::error::HeaderError;
use crate::wire::OrderFailure;

/// Retry delay after a temporary refusal that has no delay of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Why a request is refused or has no result.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CallerError {
    /// The token is missing or belongs to no caller.
    #[error("the bearer token is missing or unknown")]
    UnknownCaller,
    /// The caller has no access to the index.
    #[error("caller {0} may not reach index {1}")]
    Forbidden(String, IndexName),
    /// The index does not exist.
    #[error("index {0:?} does not exist")]
    UnknownIndex(String),
    /// A header is malformed.
    #[error(transparent)]
    BadHeader(#[from] HeaderError),
    /// The `shards` parameter is malformed.
    #[error("parameter shards: {0:?} is not a list like 0-3,7")]
    BadShards(String),
    /// The shard is not in the index's layout of this many shards.
    #[error("shard {0} does not exist; the index has {1} shards")]
    NoSuchShard(ShardId, usize),
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body was not complete at the deadline.
    #[error("the body was not complete at the deadline")]
    BodyLate,
    /// There is no memory for the request.
    #[error("there is no memory for the request")]
    NoMemory,
    /// The request ran, and its answer cannot be written.
    #[error("the request ran, and its answer cannot be written")]
    AnswerUnwritable,
    /// The connection failed while the body was read.
    #[error("the body could not be read")]
    BodyBroken,
    /// The body of an order has no record key.
    #[error("the body of an order is a JSON object with a string \"key\": {0}")]
    BadOrder(String),
    /// A non-repeatable request has no idempotency key; the ticket is minted for the retry.
    #[error("a request that is not repeatable needs the header Idempotency-Key; use the ticket given here")]
    KeyMissing(String),
    /// A query was marked as non-repeatable.
    #[error("a query is always repeatable; use an order")]
    QueryNotRepeatable,
    /// The caller is over its rate limit; it may retry after this time.
    #[error("the caller is over its rate")]
    OverRate(Duration),
    /// The node has more work than it can finish in time; the caller may retry after this time.
    #[error("there is more work than can be done in time")]
    Overloaded(Duration),
    /// The caller has too many requests running or queued.
    #[error("the caller has too many requests running")]
    OverConcurrency,
    /// The node is stopping.
    #[error("this node is stopping")]
    Stopping,
    /// The node has no configuration yet.
    #[error("this node has no configuration yet")]
    NoConfiguration,
    /// No server has reported its index versions.
    #[error("no server of the index has told which versions it holds")]
    NoVersion,
    /// The handler panicked; it may have sent calls before that.
    #[error("this node failed over the request, which may have run")]
    NodeFault,
    /// An order has no result; includes a ticket if a retry with a ticket can succeed.
    #[error("the order gave no result: {0}")]
    Order(OrderFailure, Option<String>),
}

impl CallerError {
    /// The stable error name and the HTTP status.
    pub fn kind(&self) -> (&'static str, StatusCode) {
        match self {
            Self::UnknownCaller => ("unknown-caller", StatusCode::UNAUTHORIZED),
            Self::Forbidden(..) => ("forbidden", StatusCode::FORBIDDEN),
            Self::UnknownIndex(_) => ("unknown-index", StatusCode::NOT_FOUND),
            Self::BadHeader(_) => ("bad-header", StatusCode::BAD_REQUEST),
            Self::BadShards(_) => ("bad-shards", StatusCode::BAD_REQUEST),
            Self::NoSuchShard(..) => ("no-such-shard", StatusCode::BAD_REQUEST),
            Self::BodyTooLarge(_) => ("body-too-large", StatusCode::PAYLOAD_TOO_LARGE),
            Self::BodyLate => ("body-late", StatusCode::REQUEST_TIMEOUT),
            Self::NoMemory => ("no-memory", StatusCode::SERVICE_UNAVAILABLE),
            Self::AnswerUnwritable => ("answer-unwritable", StatusCode::INTERNAL_SERVER_ERROR),
            Self::BodyBroken => ("body-broken", StatusCode::BAD_REQUEST),
            Self::BadOrder(_) => ("bad-order", StatusCode::BAD_REQUEST),
            Self::KeyMissing(_) => ("key-missing", StatusCode::BAD_REQUEST),
            Self::QueryNotRepeatable => ("query-not-repeatable", StatusCode::BAD_REQUEST),
            Self::OverRate(_) => ("over-rate", StatusCode::TOO_MANY_REQUESTS),
            Self::Overloaded(_) => ("overloaded", StatusCode::SERVICE_UNAVAILABLE),
            Self::OverConcurrency => ("over-concurrency", StatusCode::TOO_MANY_REQUESTS),
            Self::Stopping => ("stopping", StatusCode::SERVICE_UNAVAILABLE),
            Self::NoConfiguration => ("no-configuration", StatusCode::SERVICE_UNAVAILABLE),
            Self::NoVersion => ("no-version", StatusCode::SERVICE_UNAVAILABLE),
            Self::NodeFault => ("node-fault", StatusCode::INTERNAL_SERVER_ERROR),
            Self::Order(failure, _) => order_kind(*failure),
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> ExecutionState {
        match self {
            Self::NodeFault => ExecutionState::Unknown,
            Self::AnswerUnwritable => ExecutionState::Ran,
            Self::Order(failure, _) => failure.ran(),
            _ => ExecutionState::NotRun,
        }
    }

    /// The ticket for a retry, if a retry with a ticket can succeed.
    pub fn ticket(&self) -> Option<&String> {
        match self {
            Self::KeyMissing(ticket) => Some(ticket),
            Self::Order(_, ticket) => ticket.as_ref(),
            _ => None,
        }
    }

    /// The delay after which a retry may succeed; `None` if a retry does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverRate(wait) | Self::Overloaded(wait) => Some(*wait),
            Self::OverConcurrency | Self::Stopping | Self::NoMemory | Self::NoConfiguration | Self::NoVersion => {
                Some(DEFAULT_RETRY_AFTER)
            }
            Self::Order(OrderFailure::Missing(_) | OrderFailure::Stopping | OrderFailure::Full, _) => {
                Some(DEFAULT_RETRY_AFTER)
            }
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
