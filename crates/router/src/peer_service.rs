//! Server side of the traffic between nodes: sends the calls of delegated batches to nearby shards and folds the
//! answers, and serves requests for cluster state, credit, quarantine updates and the relay.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use streamfold_link::server::{self, PeerService};
use streamfold_link::{PeerError, encode_frame, read_message, refuse, reply, send_frame};
use streamfold_model::{GatherSpec, RouteKind, RouteSpec, RouteTarget, TeamSpec};
use streamfold_policy::Moment;
use tokio::net::TcpListener;

use crate::attempt_context::{AttemptContext, RequestOrigin};
use crate::batch::{BatchFrame, BatchMode, MAX_BATCH_LEN, PATH_BATCH, PATH_KNOWLEDGE, ShardBatch, ShardReply};
use crate::caller_limits::MemoryKind;
use crate::canary::CanaryCall;
use crate::cluster_view::ClusterView;
use crate::delegate::DELEGATOR_SHARE;
use crate::interface::{CallerHead, PresentedKey};
use crate::knowledge::{self, KnowledgeRequest};
use crate::peer_gather::PeerGather;
use crate::quarantine_news::{self, PATH_QUARANTINE, QuarantineUpdate};
use crate::relay::{PATH_RELAY, RelayRequest};
use crate::relay_service;
use crate::request::{CallerRequest, RequestArrival};
use crate::router::{LiveCount, Router, RouterPhase};
use crate::usage::{self, CreditRequest, PATH_CREDIT};

/// Maximum length in bytes of a request for cluster state or for the relay.
const MAX_QUERY_LEN: usize = 1 << 10;
/// Maximum length of a credit request in bytes: the name of a team and a few numbers.
const MAX_CREDIT_LEN: usize = 1 << 8;
/// Maximum length of a quarantine update in bytes: the content and the names of some servers.
const MAX_QUARANTINE_LEN: usize = 8 << 10;
/// How long a new connection may stay without a message. Nodes connect to each other before they have a batch to send.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(120);

/// The service that a router offers to other nodes.
struct RouterService(Arc<Router>);

impl PeerService for RouterService {
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        match path {
            PATH_BATCH => serve_batch(&self.0, body, respond).boxed(),
            PATH_KNOWLEDGE => serve_knowledge(&self.0, body, respond).boxed(),
            PATH_CREDIT => serve_credit(&self.0, body, respond).boxed(),
            PATH_QUARANTINE => serve_quarantine(&self.0, body, respond).boxed(),
            PATH_RELAY => serve_relay(&self.0, body, respond).boxed(),
            _ => std::future::ready(refuse_path(path, respond)).boxed(),
        }
    }

    fn record_malformed(&self, _path: &str) {
        metrics::counter!("streamfold_bad_peer_messages_total").increment(1);
    }

    fn first_message_timeout(&self) -> Duration {
        FIRST_MESSAGE_TIMEOUT
    }
}

/// Serves other nodes until this one stops.
pub async fn serve(router: Arc<Router>, listener: Arc<TcpListener>) {
    server::serve(Arc::new(RouterService(router)), listener).await;
}

/// Answers an unknown path, which a node of another version may send, with 404; the connection stays open.
fn refuse_path(path: &str, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    tracing::info!(event = "peer_path_unknown", path);
    let mut refusal = Response::new(());
    *refusal.status_mut() = StatusCode::NOT_FOUND;
    respond.send_response(refusal, true)?;
    Ok(())
}

async fn serve_batch(
    router: &Arc<Router>,
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    let mut batch: ShardBatch = read_message(body, MAX_BATCH_LEN).await?;
    if *router.phase.borrow() >= RouterPhase::Closing {
        return refuse(respond);
    }
    if let Err(wait) = router.admit_batch(batch.shards.len(), max_wait(&batch)) {
        metrics::counter!("streamfold_batches_refused_total").increment(1);
        tracing::info!(
            event = "batch_refused",
            request = String::from_utf8_lossy(&batch.request.id).as_ref(),
            shards = batch.shards.len(),
            wait_ms = wait.as_millis() as u64
        );
        return refuse(respond);
    }
    let Some(copied_body) = hold_body(router, &mut batch) else {
        tracing::info!(event = "batch_without_memory", request = String::from_utf8_lossy(&batch.request.id).as_ref());
        return refuse(respond);
    };
    let _count = LiveCount::new(&router.requests);
    let accepted = router.clock.now();
    router.note_version(batch.version);
    let context = build_context(router, &batch, copied_body)?;
    let first_frame_delay = Duration::from_micros(batch.progress_within_us);
    let reply_within = Duration::from_micros(batch.reply_within_us);
    let mut stream = respond.send_response(Response::new(()), false)?;
    let RouteTarget::Gather(spec) = &context.route.target else { return Err(PeerError::BadStatus(400)) };
    let mut gather = PeerGather::start(&context, spec, &batch, reply_within);
    let first_frame_timer = tokio::time::sleep(first_frame_delay);
    tokio::pin!(first_frame_timer);
    let mut has_sent_frame = false;
    loop {
        tokio::select! {
            biased;
            // The delegating node needs no more answers or its caller has disconnected, so no further call is sent.
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => {
                log_cancelled(&context, accepted);
                return Ok(());
            }
            (reply, is_last) = gather.next() => {
                has_sent_frame = true;
                let is_stopping = *router.phase.borrow() != RouterPhase::Serving;
                let reply = ShardReply { is_stopping, ..reply };
                let frame = if is_last { BatchFrame::Done(reply) } else { BatchFrame::Partial(reply) };
                let frame = encode_frame(&frame)?;
                let mut unsent = router.callers.hold(MemoryKind::LongAnswers);
                unsent.grow(frame.len());
                send_frame(&mut stream, frame, is_last).await?;
                if is_last {
                    return Ok(());
                }
            }
            () = &mut first_frame_timer, if !has_sent_frame => {
                has_sent_frame = true;
                send_frame(&mut stream, encode_frame(&BatchFrame::Working)?, false).await?;
            }
        }
    }
}

/// Takes the body out of a batch and counts its memory for as long as it is in use; `None` if there is none for it.
fn hold_body(router: &Router, batch: &mut ShardBatch) -> Option<Bytes> {
    let body = std::mem::take(&mut batch.request.body);
    if body.is_empty() {
        return Some(Bytes::new());
    }
    let mut hold = router.callers.hold(MemoryKind::Bodies);
    hold.try_grow(body.len()).then(|| hold.attach(body))
}

fn log_cancelled(context: &AttemptContext, accepted: Moment) {
    tracing::info!(
        event = "batch_cancelled",
        request = context.request.id_text(),
        after_us = context.now().since(accepted).as_micros() as u64
    );
}

/// The longest time that a batch may queue: until its reply is due or, for hedged calls, which are answered as soon as
/// possible, the target latency.
fn max_wait(batch: &ShardBatch) -> Duration {
    let bound_us = match batch.mode {
        BatchMode::Folded => batch.reply_within_us,
        BatchMode::Each { .. } => batch.target_us,
    };
    Duration::from_micros(bound_us)
}

async fn serve_knowledge(
    router: &Router,
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    let request: KnowledgeRequest = read_message(body, MAX_QUERY_LEN).await?;
    reply(respond, &knowledge::answer(router, &request)).await
}

async fn serve_credit(router: &Router, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: CreditRequest = read_message(body, MAX_CREDIT_LEN).await?;
    match usage::serve(router, &request).await {
        Some(credit) => reply(respond, &credit).await,
        None => refuse(respond),
    }
}

async fn serve_quarantine(
    router: &Arc<Router>,
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    let update: QuarantineUpdate = read_message(body, MAX_QUARANTINE_LEN).await?;
    let ack = quarantine_news::receive(router, update).await;
    reply(respond, &ack).await
}

async fn serve_relay(router: &Router, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: RelayRequest = read_message(body, MAX_QUERY_LEN).await?;
    relay_service::serve(router, &request, respond).await
}

/// The team of a batch according to the routes that this node has in force.
fn find_team(view: &ClusterView, batch: &ShardBatch) -> Option<Arc<TeamSpec>> {
    view.table.as_ref()?.teams()?.find_by_name(batch.team.as_ref()?).cloned()
}

/// Builds the context in which a batch is processed as a request with this body, to its shards only.
///
/// # Errors
/// The copied request is malformed.
fn build_context(router: &Arc<Router>, batch: &ShardBatch, body: Bytes) -> Result<AttemptContext, PeerError> {
    let malformed = |_| PeerError::BadStatus(400);
    let (id, method, uri, headers) = batch.request.read().map_err(malformed)?;
    let mut copy = Request::new(());
    *copy.method_mut() = method;
    *copy.uri_mut() = uri;
    *copy.headers_mut() = headers;
    let (parts, ()) = copy.into_parts();
    let now = router.clock.now();
    // The delegating node has checked the API key and removed it.
    let head = CallerHead { request: id, deadline: None, key: PresentedKey::None };
    let left = Duration::from_micros(batch.left_us);
    let request = CallerRequest::new(head, parts, body, RequestArrival::at(now), left, false);
    let view = router.cluster.view();
    let latencies = view.latencies.get(&batch.route).cloned().unwrap_or_default();
    let shards = batch.shards.iter().map(|shard| shard.service.clone()).collect();
    let spec = GatherSpec { shards, top: batch.top, min_coverage: 0.0 };
    let route = RouteSpec {
        name: batch.route.clone(),
        host: String::new(),
        path_prefix: String::new(),
        kind: RouteKind::Repeatable,
        timeout: left,
        target_latency: Duration::from_micros(batch.target_us),
        max_attempts: batch.max_attempts,
        priority: batch.priority,
        allowed_regions: batch.allowed_regions.clone(),
        is_auth_exempt: true,
        target: RouteTarget::Gather(spec),
    };
    let (origin, request_share) = match batch.mode {
        BatchMode::Folded => (RequestOrigin::Node, 1.0 - DELEGATOR_SHARE),
        // The delegating node has counted the call as an extra call.
        BatchMode::Each { .. } => (RequestOrigin::HedgingNode, 0.0),
    };
    let retry_until = now.plus(Duration::from_micros(batch.reply_within_us));
    Ok(AttemptContext {
        retry_until,
        router: router.clone(),
        priority: batch.priority,
        team: find_team(&view, batch),
        view,
        allowed_regions: route.allowed_regions.clone(),
        route: Arc::new(route),
        request: Arc::new(request),
        times: latencies,
        request_share,
        origin,
        canary: CanaryCall::over_shards(),
    })
}
