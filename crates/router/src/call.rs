//! A single call to a server, with an outcome that tells whether the request may have run.

use std::io::ErrorKind;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_policy::Moment;
use streamfold_policy::replica::CallSample;

use crate::connection::AnswerLimits;
use crate::connection_pool::{LeaseTerms, LeasedConnection, RequestKey};
use crate::crash_check;
use crate::error::ExchangeError;
use crate::interface::ReplyHead;
use crate::request::CallerRequest;
use crate::router::Router;
use crate::server::Server;

/// The connect timeout. It covers the round trip, the handshake and a pause of the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest body accepted from a server, in bytes.
const MAX_ANSWER_LEN: usize = 16 << 20;

/// The statuses that an answer can have (RFC 9110, section 15). Informational ones precede an answer, and 101 ends HTTP on
/// the connection, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A server's complete answer.
#[derive(Debug)]
pub struct ServerReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The server's proof that it ran the request.
    pub proof: Option<HeaderValue>,
}

impl ServerReply {
    /// Whether it is a success with proof that this server ran the request.
    pub fn is_proven_success(&self) -> bool {
        self.status.is_success() && self.proof.is_some()
    }
}

/// Tells whether any byte of a call may have been sent. Until then, a call that is given up certainly did not run, so
/// callers may be told so and can safely repeat elsewhere a request that must not run twice.
#[derive(Debug, Clone, Default)]
pub struct SentMark(Arc<AtomicBool>);

impl SentMark {
    /// Marks the call as about to be sent.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it may have been sent.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Why a call got no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent, for example because there was no connection.
    NotSent,
    /// The server reported that it did not run the request.
    NotRun,
    /// The connection ended before any of the answer arrived. The request may have run, and the server process may
    /// have crashed.
    ConnectionLost,
    /// It is unknown whether the request ran.
    Unknown,
}

impl CallFailure {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::ConnectionLost => "connection_lost",
            Self::Unknown => "unknown",
        }
    }
}

/// A call that ended.
pub struct EndedCall {
    /// The server that was called.
    pub server: Arc<Server>,
    /// The answer, or why there is none.
    pub result: Result<ServerReply, CallFailure>,
}

/// Reports the end of a call to the server's state on drop, also when the call is cancelled.
struct CallRecord {
    server: Arc<Server>,
    started: Moment,
    sample: CallSample,
    router: Arc<Router>,
}

impl CallRecord {
    fn start(router: Arc<Router>, server: Arc<Server>, started: Moment, typical: Duration) -> Self {
        server.state().start_measured(started, typical);
        Self { server, started, sample: CallSample::Abandoned, router }
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let now = self.router.clock.now();
        self.server.note_end(now, self.started, self.sample);
    }
}

/// Sends a request to a server and reads its answer. `is_at_most_once` tells that the request must not run twice,
/// `mark` is set before anything is sent, and `typical` is how long such a call usually takes. The call counts as
/// running on the server as soon as this function is called.
pub fn run(
    router: Arc<Router>,
    server: Arc<Server>,
    request: Arc<CallerRequest>,
    is_at_most_once: bool,
    mark: SentMark,
    typical: Duration,
) -> impl Future<Output = EndedCall> {
    let started = router.clock.now();
    let record = CallRecord::start(router, server, started, typical);
    run_recorded(record, request, is_at_most_once, mark)
}

async fn run_recorded(
    mut record: CallRecord,
    request: Arc<CallerRequest>,
    is_at_most_once: bool,
    mark: SentMark,
) -> EndedCall {
    let (router, server) = (record.router.clone(), record.server.clone());
    let left = request.deadline.since(record.started);
    let result = match tokio::time::timeout(left, exchange(&router, &server, &request, is_at_most_once, &mark)).await {
        Ok(result) => result,
        Err(_) if mark.is_set() => Err(CallFailure::Unknown),
        Err(_) => Err(CallFailure::NotSent),
    };
    record.sample = match &result {
        Ok(_) => CallSample::Answered,
        Err(CallFailure::NotRun) => CallSample::Full,
        Err(_) => CallSample::Failed,
    };
    drop(record);
    EndedCall { server, result }
}

/// Takes a connection to the server on which this request was not refused before.
async fn lease_connection(
    router: &Arc<Router>,
    server: &Arc<Server>,
    terms: &LeaseTerms,
) -> Result<LeasedConnection, CallFailure> {
    server.lease(terms).await.map_err(|error| {
        match error.kind() {
            ErrorKind::TimedOut => server.note_domain_overdue(router.clock.now(), terms.now),
            // The machine is reachable, even though it refused the connection.
            ErrorKind::ConnectionRefused => {
                server.note_contact(router.clock.now());
                crash_check::note_refused(router, server);
            }
            ErrorKind::ConnectionReset => server.note_contact(router.clock.now()),
            _ => {}
        }
        tracing::debug!(event = "server_unreachable", server = %server.id, %error);
        CallFailure::NotSent
    })
}

async fn exchange(
    router: &Arc<Router>,
    server: &Arc<Server>,
    request: &CallerRequest,
    is_at_most_once: bool,
    mark: &SentMark,
) -> Result<ServerReply, CallFailure> {
    let terms = LeaseTerms {
        now: router.clock.now(),
        request: RequestKey::of(&request.id),
        is_once: is_at_most_once,
        timeout: CONNECT_TIMEOUT,
    };
    let mut leased = lease_connection(router, server, &terms).await?;
    let left = request.deadline.since(router.clock.now());
    // The server may have left while the call waited for its connection.
    if left.is_zero() || server.has_left(router.clock.now()) {
        return Err(CallFailure::NotSent);
    }
    if !server.admit_call(router.clock.now()) {
        server.put_back(router.clock.now(), leased, None);
        return Err(CallFailure::NotSent);
    }
    mark.set();
    let mut work = server.start_work(router.clock, request.suspect);
    let built = request.build(&*router.format, &server.id, left);
    let limits = AnswerLimits { body: MAX_ANSWER_LEN, memory: &router.callers };
    let response = leased.connection.exchange(built, limits).await.map_err(|error| match error {
        ExchangeError::NotSent => CallFailure::NotSent,
        ExchangeError::ConnectionLost => {
            crash_check::check_after_loss(router, server);
            CallFailure::ConnectionLost
        }
        ExchangeError::AnswerLost => CallFailure::Unknown,
        ExchangeError::AnswerTooLong => {
            note_discarded(server, request, None, "too_long");
            CallFailure::Unknown
        }
    })?;
    server.note_contact(router.clock.now());
    let (parts, body) = response.into_parts();
    let reply = router.format.read_reply(&request.id, parts.status, &parts.headers);
    check_reply(server, request, parts.status, &reply)?;
    work.note_answered();
    note_reply(router, server, &reply);
    if reply.is_not_run {
        leased.note_refused(router.clock.now(), terms.request, request.deadline);
    }
    if !reply.is_closing {
        server.put_back(router.clock.now(), leased, reply.keep_alive);
    }
    if reply.is_not_run {
        return Err(CallFailure::NotRun);
    }
    if reply.is_encoded {
        return Err(CallFailure::Unknown);
    }
    Ok(ServerReply { status: parts.status, headers: parts.headers, body, proof: reply.proof })
}

/// Checks that an answer is one, belongs to the request and does not contradict itself, before anything that it says
/// counts. The connection of another answer is out of step and is closed.
///
/// # Errors
/// It is unknown whether the request ran.
fn check_reply(
    server: &Server,
    request: &CallerRequest,
    status: StatusCode,
    reply: &ReplyHead,
) -> Result<(), CallFailure> {
    let reason = match (FINAL_STATUSES.contains(&status.as_u16()), reply.has_matching_id, reply.is_contradictory) {
        (false, ..) => "status",
        (true, false, _) => "other_request",
        (true, true, true) => "contradiction",
        (true, true, false) => return Ok(()),
    };
    note_discarded(server, request, Some(status), reason);
    Err(CallFailure::Unknown)
}

fn note_discarded(server: &Server, request: &CallerRequest, status: Option<StatusCode>, reason: &'static str) {
    metrics::counter!("streamfold_discarded_answers_total", "reason" => reason).increment(1);
    tracing::info!(
        event = "answer_discarded",
        request = request.id_text(),
        server = %server.id,
        status = status.map(|status| status.as_u16()),
        reason
    );
}

/// Records what an answer says about its server.
fn note_reply(router: &Router, server: &Server, reply: &ReplyHead) {
    note_load(router.clock.now(), server, reply);
    if reply.is_other_server {
        // Another server has this address now, so this run of the server has ended.
        tracing::info!(event = "server_replaced", server = %server.id, address = %server.address);
        server.mark_leaving();
    }
}

fn note_load(now: Moment, server: &Server, reply: &ReplyHead) {
    if let Some(left) = reply.warmup_left {
        server.state().record_warmup(now, left);
    }
    if let Some(load) = reply.load {
        server.state().record_load(now, load.running, load.waiting);
        if let Some(pace) = load.pace {
            server.record_reported_pace(now, pace);
        }
    }
}
