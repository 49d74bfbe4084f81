//! Answers that the router generates itself: refusals and errors.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use streamfold_policy::retry_after::{RefusalReason, choose_retry_after};

use crate::interface::CallFormat;

/// An answer to a caller.
pub type CallerAnswer = Response<Full<Bytes>>;

/// Why a request gets no answer from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// It carries no valid API key.
    NoKey,
    /// No route matches it.
    NoRoute,
    /// Its head or body exceeds the size limit.
    TooLong,
    /// It did not run; the caller may retry after this time.
    NotRun(Duration),
    /// It did not run because the same content has crashed servers before; the caller may retry after this time.
    Quarantined(Duration),
    /// It did not run because its team is over its limit; the caller may retry after this time.
    OverLimit(Duration),
    /// It may have run, but its answer was lost.
    Lost,
    /// It may have run, but its deadline has passed.
    Late,
}

impl RefusalKind {
    /// Refuses a request that did not run, with a randomized retry time.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self::NotRun(choose_retry_after(reason, rand::random()))
    }

    /// Refuses a request whose content stays in quarantine for `left`.
    pub fn quarantined(left: Duration) -> Self {
        Self::Quarantined(choose_retry_after(RefusalReason::Quarantined { left }, rand::random()))
    }

    /// Refuses a request whose team is over its limit.
    pub fn over_limit(reason: RefusalReason) -> Self {
        Self::OverLimit(choose_retry_after(reason, rand::random()))
    }

    /// Whether it is certain that the request reached no server.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Lost | Self::Late)
    }

    /// The HTTP status sent to the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun(_) | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The name used in logs and in the answer's body.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoKey => "no_key",
            Self::NoRoute => "no_route",
            Self::TooLong => "too_long",
            Self::NotRun(_) => "not_run",
            Self::Quarantined(_) => "quarantined",
            Self::OverLimit(_) => "over_limit",
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }
}

/// Builds the answer for a refusal. Its JSON body names the kind of refusal.
pub fn refuse(format: &dyn CallFormat, kind: RefusalKind) -> CallerAnswer {
    let body = format!("{{\"error\":\"{}\"}}", kind.name());
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = kind.status();
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if kind == RefusalKind::NoKey {
        answer.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let RefusalKind::NotRun(wait) | RefusalKind::Quarantined(wait) | RefusalKind::OverLimit(wait) = kind {
        format.write_retry(answer.headers_mut(), wait);
    }
    answer
}
