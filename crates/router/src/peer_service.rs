//! What this node does for others: queries shards near it and folds them.

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
use crate::batch::{BatchFrame, BatchMode, PATH_BATCH, PATH_KNOWLEDGE, ShardBatch, ShardReply};
use crate::border::{CallerHead, ShownKey};
use crate::canary::CanaryCall;
use crate::cluster_view::ClusterView;
use crate::delegate::REQUESTER_SHARE;
use crate::knowledge::{self, KnowledgeRequest};
use crate::peer_gather::PeerGather;
use crate::quarantine_news::{self, PATH_QUARANTINE, QuarantineNews};
use crate::relay::{PATH_RELAY, RelayRequest};
use crate::relay_service;
use crate::request::{CallerRequest, RequestArrival};
use crate::router::{LiveCount, Router, RouterPhase};
use crate::usage::{self, CreditRequest, PATH_CREDIT};

/// The largest batch taken: a caller's head and body, and the names of the shards.
const BATCH_LIMIT: usize = 8 << 20;
/// The largest question about the cluster taken.
const KNOWLEDGE_LIMIT: usize = 1 << 10;
/// The largest request for credit taken: a team's name and some numbers.
const CREDIT_LIMIT: usize = 1 << 8;
/// The largest news of a content that ends servers taken: the content and the names of some servers.
const QUARANTINE_LIMIT: usize = 8 << 10;
/// Links are opened ahead of the first batch.
const FIRST_MESSAGE_WITHIN: Duration = Duration::from_secs(120);

/// A router as other nodes see it.
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
        FIRST_MESSAGE_WITHIN
    }
}

/// Serves other nodes until this one ends.
pub async fn serve(router: Arc<Router>, listener: Arc<TcpListener>) {
    server::serve(Arc::new(RouterService(router)), listener).await;
}

/// Tells a node of another version that its message is not known here; the link stays open.
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
    let batch: ShardBatch = read_message(body, BATCH_LIMIT).await?;
    if *router.phase.borrow() == RouterPhase::Closing {
        return refuse(respond);
    }
    if let Err(wait) = router.admit_batch(batch.shards.len(), wait_bound(&batch)) {
        metrics::counter!("streamfold_batches_refused_total").increment(1);
        tracing::info!(
            event = "batch_refused",
            request = String::from_utf8_lossy(&batch.request.id).as_ref(),
            shards = batch.shards.len(),
            wait_ms = wait.as_millis() as u64
        );
        return refuse(respond);
    }
    let _count = LiveCount::new(&router.requests);
    let taken = router.clock.now();
    router.note_version(batch.version);
    let context = build_context(router, &batch)?;
    let progress_within = Duration::from_micros(batch.progress_within_us);
    let reply_within = Duration::from_micros(batch.reply_within_us);
    let mut stream = respond.send_response(Response::new(()), false)?;
    let RouteTarget::Gather(fold) = &context.route.target else { return Err(PeerError::BadStatus(400)) };
    let mut gather = PeerGather::start(&context, fold, &batch, reply_within);
    let alive = tokio::time::sleep(progress_within);
    tokio::pin!(alive);
    let mut is_told = false;
    loop {
        tokio::select! {
            biased;
            // The asking node is done with it or its caller has left: no call starts any more.
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => {
                log_cancelled(&context, taken);
                return Ok(());
            }
            (reply, is_last) = gather.next() => {
                is_told = true;
                let is_stopping = *router.phase.borrow() != RouterPhase::Serving;
                let reply = ShardReply { is_stopping, ..reply };
                let frame = if is_last { BatchFrame::Done(reply) } else { BatchFrame::Partial(reply) };
                send_frame(&mut stream, encode_frame(&frame)?, is_last).await?;
                if is_last {
                    return Ok(());
                }
            }
            () = &mut alive, if !is_told => {
                is_told = true;
                send_frame(&mut stream, encode_frame(&BatchFrame::Working)?, false).await?;
            }
        }
    }
}

fn log_cancelled(context: &AttemptContext, taken: Moment) {
    tracing::info!(
        event = "batch_cancelled",
        request = context.request.id_text(),
        after_us = context.now().since(taken).as_micros() as u64
    );
}

/// The time that bounds a batch's waiting: until its reply is wanted, or for hedges, whose answers are
/// wanted as soon as they are there, the target latency.
fn wait_bound(batch: &ShardBatch) -> Duration {
    let within = match batch.mode {
        BatchMode::Folded => batch.reply_within_us,
        BatchMode::Each { .. } => batch.target_us,
    };
    Duration::from_micros(within)
}

async fn serve_knowledge(
    router: &Router,
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    let request: KnowledgeRequest = read_message(body, KNOWLEDGE_LIMIT).await?;
    reply(respond, &knowledge::tell(router, &request)).await
}

async fn serve_credit(router: &Router, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: CreditRequest = read_message(body, CREDIT_LIMIT).await?;
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
    let news: QuarantineNews = read_message(body, QUARANTINE_LIMIT).await?;
    let known = quarantine_news::take(router, news).await;
    reply(respond, &known).await
}

async fn serve_relay(router: &Router, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: RelayRequest = read_message(body, KNOWLEDGE_LIMIT).await?;
    relay_service::serve(router, &request, respond).await
}

/// The team of a batch, by the routes in force here.
fn find_team(view: &ClusterView, batch: &ShardBatch) -> Option<Arc<TeamSpec>> {
    view.table.as_ref()?.teams()?.find_by_name(batch.team.as_ref()?).cloned()
}

/// The batch as a request of its own, over just its shards.
fn build_context(router: &Arc<Router>, batch: &ShardBatch) -> Result<AttemptContext, PeerError> {
    let malformed = |_| PeerError::BadStatus(400);
    let (id, method, uri, headers) = batch.request.read().map_err(malformed)?;
    let mut copy = Request::new(());
    *copy.method_mut() = method;
    *copy.uri_mut() = uri;
    *copy.headers_mut() = headers;
    let (parts, ()) = copy.into_parts();
    let now = router.clock.now();
    // The node that asks has checked the key and taken it out.
    let head = CallerHead { request: id, deadline: None, key: ShownKey::None };
    let body = Bytes::copy_from_slice(&batch.request.body);
    let left = Duration::from_micros(batch.left_us);
    let request = CallerRequest::new(head, parts, body, RequestArrival::at(now), left, false);
    let view = router.cluster.view();
    let times = view.times.get(&batch.route).cloned().unwrap_or_default();
    let shards = batch.shards.iter().map(|shard| shard.service.clone()).collect();
    let fold = GatherSpec { shards, top: batch.top, min_coverage: 0.0 };
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
        target: RouteTarget::Gather(fold),
    };
    let (origin, request_share) = match batch.mode {
        BatchMode::Folded => (RequestOrigin::Node, 1.0 - REQUESTER_SHARE),
        // The asking node has counted it as an extra call.
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
        times,
        request_share,
        origin,
        canary: CanaryCall::over_shards(),
    })
}
