//! Orders: non-repeatable requests, which run at most once, under a ticket of a node or an idempotency key that the
//! caller chose.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{
    AttemptId, AttemptOutcome, CallerName, IndexName, IndexSpec, MissingReason, RequestId, ShardId, ShardLayout,
    UpstreamIndex,
};
use streamfold_policy::Moment;
use streamfold_store::ClaimRecord;
use tokio::sync::mpsc;

use crate::clock::wall_ms;
use crate::node::Node;
use crate::outcomes::{KeyUse, wait_outcome};
use crate::tickets::{OrderTicket, TicketError};
use crate::view::{ClusterView, WorkTarget};
use crate::wire::{
    BatchRequest, OrderFailure, OrderReply, OrderRequest, PATH_BATCH, PATH_ORDER, PieceReply, PieceRequest,
};

/// Delay before the holder of a ticket is looked up again while the node is stopping or a connection to it fails.
const HANDOVER_DELAY: Duration = Duration::from_millis(50);

/// The result of forwarding an order to the node that holds its ticket.
enum ForwardResult {
    /// The reply of that node, or the failure of an order that may have reached it.
    Replied(OrderReply),
    /// The order did not reach that node, so it may be sent again.
    NotSent,
}

/// An order with everything that its execution needs.
#[derive(Clone)]
pub struct OrderJob {
    /// Id of the request.
    pub request: RequestId,
    /// The caller.
    pub caller: CallerName,
    /// Name of the index.
    pub index: IndexName,
    /// The key of the record, which selects the shard.
    pub record: String,
    /// The idempotency key or ticket.
    pub key: String,
    /// The body, forwarded as it is.
    pub body: Vec<u8>,
    /// When the answer is due.
    pub deadline: Moment,
}

/// Runs an order under a key that the caller chose. A repeated key waits for the outcome of its first use at this node;
/// a new key is claimed in the store, so that no other node runs it.
pub async fn run_with_key(node: &Arc<Node>, job: OrderJob) -> OrderReply {
    let table_key = (job.caller.clone(), job.key.clone());
    let timeout = job.deadline.since(node.clock.now());
    match node.caller_keys.begin(node.clock.now(), table_key.clone()) {
        KeyUse::Wait(outcome) => wait_outcome(outcome, timeout).await,
        KeyUse::Full => OrderReply::Failed(OrderFailure::Full),
        KeyUse::Run(guard) => {
            let node = node.clone();
            // A separate task, so that the order continues and its outcome is recorded if the caller disconnects.
            let run = tokio::spawn(async move {
                let reply = claim_and_execute(&node, &job).await;
                guard.finish(reply.clone());
                if reply == OrderReply::Failed(OrderFailure::ClaimFailed) {
                    node.caller_keys.release(&table_key);
                }
                reply
            });
            run.await.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
        }
    }
}

async fn claim_and_execute(node: &Arc<Node>, job: &OrderJob) -> OrderReply {
    if !node.take_claim_token() {
        return OrderReply::Failed(OrderFailure::ClaimFailed);
    }
    let record = ClaimRecord { attempt: AttemptId(rand::random()), request: job.request, time_ms: wall_ms() };
    match node.unless_given_up(node.claims.claim(&job.caller, &job.key, &record)).await {
        None => OrderReply::Failed(OrderFailure::Stopping),
        Some(Ok(())) => execute(node, job).await,
        Some(Err(streamfold_store::ClaimError::Taken)) => OrderReply::Failed(OrderFailure::AlreadyTaken),
        Some(Err(error)) => {
            tracing::warn!(event = "claim_failed", request = %job.request, error = %error);
            OrderReply::Failed(OrderFailure::ClaimFailed)
        }
    }
}

/// Runs an order under a ticket at the node that holds the ticket, which may be this one.
pub async fn run_with_ticket(node: &Arc<Node>, job: OrderJob, ticket: &OrderTicket) -> OrderReply {
    loop {
        let holder = node.members().ticket_holder(&ticket.node, ticket.incarnation);
        let forwarded = if holder.node == node.settings.node {
            ForwardResult::Replied(run_local_ticket(node, job.clone(), ticket).await)
        } else if holder.alive {
            forward(node, &job, &holder.node).await
        } else {
            tracing::info!(event = "order_holder_gone", request = %job.request, holder = %holder.node);
            ForwardResult::Replied(OrderReply::Failed(OrderFailure::MinterGone))
        };
        // Other deliveries of the same order may have run, so the outcome is unknown even if this one was not sent.
        let (reply, may_resend) = match forwarded {
            ForwardResult::Replied(reply) => (reply.clone(), reply == OrderReply::Failed(OrderFailure::Stopping)),
            ForwardResult::NotSent => (OrderReply::Failed(OrderFailure::MinterGone), true),
        };
        let remaining = job.deadline.since(node.clock.now());
        if !may_resend || remaining <= HANDOVER_DELAY || node.is_refusing() {
            return reply;
        }
        tokio::time::sleep(HANDOVER_DELAY).await;
    }
}

/// Runs an order under a ticket that this node minted or took over.
pub async fn run_local_ticket(node: &Arc<Node>, job: OrderJob, ticket: &OrderTicket) -> OrderReply {
    // The order is counted before the phase is checked. Once a stop has seen a count of zero, no further order starts.
    let running = node.count_order();
    if node.is_refusing() {
        return OrderReply::Failed(OrderFailure::Stopping);
    }
    let Some(book) = node.find_ticket_table(ticket) else { return OrderReply::Failed(OrderFailure::MinterGone) };
    let timeout = job.deadline.since(node.clock.now());
    match book.begin(node.clock.now(), ticket, &job.caller) {
        Err(TicketError::Forged) => OrderReply::Failed(OrderFailure::BadTicket),
        Err(TicketError::Expired) => OrderReply::Failed(OrderFailure::Expired),
        Ok(KeyUse::Wait(outcome)) => wait_outcome(outcome, timeout).await,
        Ok(KeyUse::Full) => OrderReply::Failed(OrderFailure::Full),
        Ok(KeyUse::Run(guard)) => {
            let node = node.clone();
            // A separate task, so that the order continues and its outcome is recorded if the caller disconnects.
            let run = tokio::spawn(async move {
                let reply = execute(&node, &job).await;
                guard.finish(reply.clone());
                drop(running);
                reply
            });
            run.await.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
        }
    }
}

async fn forward(node: &Arc<Node>, job: &OrderJob, holder: &streamfold_model::NodeId) -> ForwardResult {
    let Some(link) = node.links.get(holder) else {
        tracing::info!(event = "order_not_forwarded", request = %job.request, holder = %holder, error = "no address");
        return ForwardResult::NotSent;
    };
    let remaining = job.deadline.since(node.clock.now());
    let message = OrderRequest {
        request: job.request,
        remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        caller: job.caller.clone(),
        index: job.index.clone(),
        record: job.record.clone(),
        ticket: job.key.clone(),
        body: job.body.clone(),
    };
    match node.unless_given_up(link.call(PATH_ORDER, &message, remaining)).await {
        None => ForwardResult::Replied(OrderReply::Failed(OrderFailure::OutcomeUnknown)),
        Some(Ok(reply)) => ForwardResult::Replied(reply),
        Some(Err(error)) => {
            let left_ms = job.deadline.since(node.clock.now()).as_millis() as u64;
            tracing::info!(event = "order_not_forwarded", request = %job.request, holder = %holder, %error, left_ms);
            match error.is_not_sent() {
                true => ForwardResult::NotSent,
                false => ForwardResult::Replied(OrderReply::Failed(OrderFailure::MinterGone)),
            }
        }
    }
}

/// The layout that selects an order's shard: that of the newest index version that any server has reported.
fn current_layout<'a>(view: &ClusterView, index: &'a IndexSpec) -> &'a ShardLayout {
    let upstreams = (0..view.owners.len() as u32).map(UpstreamIndex);
    let newest = upstreams.filter_map(|upstream| view.versions.get(&index.name, upstream)).map(|held| held.newest);
    let layout = newest.max().and_then(|version| index.layout(version));
    layout.unwrap_or(&index.layouts[0])
}

/// Sends an order to its shard. Another owner or upstream is tried only if the order certainly did not run before.
async fn execute(node: &Arc<Node>, job: &OrderJob) -> OrderReply {
    let view = node.view();
    let missing = |reason| OrderReply::Failed(OrderFailure::Missing(reason));
    let Some(config) = &view.config else { return missing(MissingReason::NoOwner) };
    let Some(index) = config.indexes.get(&job.index) else { return missing(MissingReason::NoOwner) };
    let layout = current_layout(&view, index);
    let shard = layout.shard_of(&job.record);
    let mut reason = MissingReason::NoOwner;
    for upstream in layout.shards[shard.0 as usize].iter() {
        for target in view.owners(*upstream) {
            if node.is_giving_up() {
                return OrderReply::Failed(OrderFailure::Stopping);
            }
            let name = config.upstream(*upstream).name.clone();
            let piece = PieceRequest { piece: 0, upstream: name, shards: vec![shard] };
            let reply = send_piece(node, &view, target, job, piece).await;
            match (reply.outcome, reply.result) {
                (AttemptOutcome::Answered, Ok(results)) => return done_reply(shard, reply.version, results),
                (outcome, Err(last_reason)) if outcome.is_not_run() => reason = last_reason,
                (outcome, _) => {
                    let left_ms = job.deadline.since(node.clock.now()).as_millis() as u64;
                    tracing::info!(event = "order_lost", request = %job.request, owner = %target.node, ?outcome, left_ms);
                    return OrderReply::Failed(OrderFailure::OutcomeUnknown);
                }
            }
        }
    }
    match node.is_giving_up() {
        true => OrderReply::Failed(OrderFailure::Stopping),
        false => missing(reason),
    }
}

fn done_reply(
    shard: ShardId,
    version: Option<streamfold_model::IndexVersion>,
    results: Vec<(ShardId, Vec<u8>)>,
) -> OrderReply {
    let own = results.into_iter().find(|(found, _)| *found == shard);
    match (own, version) {
        (Some((_, result)), Some(version)) => OrderReply::Done { shard, version, result },
        _ => OrderReply::Failed(OrderFailure::OutcomeUnknown),
    }
}

async fn send_piece(
    node: &Arc<Node>,
    view: &Arc<ClusterView>,
    target: &WorkTarget,
    job: &OrderJob,
    piece: PieceRequest,
) -> PieceReply {
    let remaining = job.deadline.since(node.clock.now());
    let lost = |outcome, reason| PieceReply::lost(0, outcome, reason);
    if remaining.is_zero() {
        return lost(AttemptOutcome::NotSent, MissingReason::Late);
    }
    let batch = BatchRequest {
        request: job.request,
        remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
        index: job.index.clone(),
        version: None,
        repeatable: false,
        key: Some(job.key.clone()),
        body: job.body.clone(),
        pieces: vec![piece],
    };
    let unknown = lost(AttemptOutcome::Unknown, MissingReason::NoOwner);
    let Some(link) = &target.link else {
        let Some(config) = view.config.clone() else { return lost(AttemptOutcome::NotSent, MissingReason::NoOwner) };
        let (sender, mut replies) = mpsc::channel(1);
        let run = node.pools.run_batch(&config, node.settings.owners, batch, sender);
        let (reply, ()) = tokio::join!(replies.recv(), run);
        return reply.unwrap_or(unknown);
    };
    let call = tokio::time::timeout(remaining, link.call_without_timeout::<_, PieceReply>(PATH_BATCH, &batch));
    match node.unless_given_up(call).await {
        Some(Ok(Ok(reply))) => reply,
        Some(Ok(Err(error))) if error.is_not_sent() => lost(AttemptOutcome::NotSent, MissingReason::NoOwner),
        Some(Ok(Err(error))) => {
            tracing::info!(event = "order_piece_lost", request = %job.request, owner = %target.node, %error);
            unknown
        }
        Some(Err(_)) | None => unknown,
    }
}
