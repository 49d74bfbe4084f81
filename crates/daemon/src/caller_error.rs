//! Every way a caller's request can be refused or fail, with its status and whether it ran.

use std::time::Duration;

use axum::http::StatusCode;
use streamfold_model::{ExecutionState, IndexName, ShardId};

use crate::error::HeaderError;
use crate::wire::OrderFailure;

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
    /// More work than can be done in time.
    #[error("there is more work than can be done in time")]
    Overloaded(Duration),
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
    /// Work on the request panicked; what it had sent by then is not known.
    #[error("this node failed over the request, which may have run")]
    NodeFault,
    /// An order gave no result; a ticket where one would help.
    #[error("the order gave no result: {0}")]
    Order(OrderFailure, Option<String>),
}

impl CallerError {
    /// Stable name and status.
    pub fn kind(&self) -> (&'static str, StatusCode) {
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
            Self::Order(failure, _) => failure.ran(),
            _ => ExecutionState::NotRun,
        }
    }

    /// The ticket to use, where one would help.
    pub fn ticket(&self) -> Option<&String> {
        match self {
            Self::KeyMissing(ticket) => Some(ticket),
            Self::Order(_, ticket) => ticket.as_ref(),
            _ => None,
        }
    }

    /// When asking again may help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverRate(wait) | Self::Overloaded(wait) => Some(*wait),
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
