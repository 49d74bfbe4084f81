//! Orders: requests that are not repeatable and run at most once, under a ticket or a key
//! of the caller's own.

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
use crate::tickets::{OrderTicket, TicketFault};
use crate::view::{ClusterView, WorkTarget};
use crate::wire::{
    BatchRequest, OrderFailure, OrderReply, OrderRequest, PATH_BATCH, PATH_ORDER, PieceReply, PieceRequest,
};

/// Pause before the holder of a ticket is looked up again while its node stops, or cannot be connected to.
const HANDOVER_PAUSE: Duration = Duration::from_millis(50);

/// What became of an order that was handed to the node that holds its ticket.
enum ForwardResult {
    /// That node's reply, or why there is none though the order may have reached it.
    Replied(OrderReply),
    /// It certainly did not reach it, so it may go there again.
    NotSent,
}

/// An order that was let in.
#[derive(Clone)]
pub struct OrderAsk {
    /// Its id.
    pub request: RequestId,
    /// Who orders.
    pub caller: CallerName,
    /// The index.
    pub index: IndexName,
    /// The record's key, which names the shard.
    pub record: String,
    /// The idempotency key.
    pub key: String,
    /// The body, passed on unread.
    pub body: Vec<u8>,
    /// When it must be answered.
    pub deadline: Moment,
}

/// Runs an order under a key of the caller's own: remembered here, or claimed in the store.
pub async fn run_claimed(node: &Arc<Node>, ask: OrderAsk) -> OrderReply {
    let memory_key = (ask.caller.clone(), ask.key.clone());
    let wait = ask.deadline.since(node.clock.now());
    match node.own_keys.begin(node.clock.now(), memory_key.clone()) {
        KeyUse::Wait(outcome) => wait_outcome(outcome, wait).await,
        KeyUse::Full => OrderReply::Failed(OrderFailure::Full),
        KeyUse::Run(guard) => {
            let node = node.clone();
            // The order goes on when its caller hangs up, so that its outcome is known.
            let run = tokio::spawn(async move {
                let reply = claim_and_execute(&node, &ask).await;
                guard.finish(reply.clone());
                if reply == OrderReply::Failed(OrderFailure::ClaimFailed) {
                    node.own_keys.release(&memory_key);
                }
                reply
            });
            run.await.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
        }
    }
}

async fn claim_and_execute(node: &Arc<Node>, ask: &OrderAsk) -> OrderReply {
    if !node.take_claim_token() {
        return OrderReply::Failed(OrderFailure::ClaimFailed);
    }
    let record = ClaimRecord { attempt: AttemptId(rand::random()), request: ask.request, time_ms: wall_ms() };
    match node.claims.claim(&ask.caller, &ask.key, &record).await {
        Ok(()) => execute(node, ask).await,
        Err(streamfold_store::ClaimError::Taken) => OrderReply::Failed(OrderFailure::AlreadyTaken),
        Err(error) => {
            tracing::warn!(event = "claim_failed", request = %ask.request, error = %error);
            OrderReply::Failed(OrderFailure::ClaimFailed)
        }
    }
}

/// Runs an order under a ticket, wherever the ticket was minted.
pub async fn run_ticket(node: &Arc<Node>, ask: OrderAsk, ticket: &OrderTicket) -> OrderReply {
    loop {
        let holder = node.members().ticket_holder(&ticket.node, ticket.incarnation);
        let forwarded = if holder.node == node.settings.node {
            ForwardResult::Replied(run_held(node, ask.clone(), ticket).await)
        } else if holder.alive {
            forward(node, &ask, &holder.node).await
        } else {
            tracing::info!(event = "order_holder_gone", request = %ask.request, holder = %holder.node);
            ForwardResult::Replied(OrderReply::Failed(OrderFailure::MinterGone))
        };
        // Nobody can tell what other deliveries of the order did, so one that reached no holder is unknown.
        let (reply, may_go_again) = match forwarded {
            ForwardResult::Replied(reply) => (reply.clone(), reply == OrderReply::Failed(OrderFailure::Stopping)),
            ForwardResult::NotSent => (OrderReply::Failed(OrderFailure::MinterGone), true),
        };
        let left = ask.deadline.since(node.clock.now());
        if !may_go_again || left <= HANDOVER_PAUSE || node.is_refusing() {
            return reply;
        }
        tokio::time::sleep(HANDOVER_PAUSE).await;
    }
}

/// Runs an order under a ticket that this node minted or took over.
pub async fn run_held(node: &Arc<Node>, ask: OrderAsk, ticket: &OrderTicket) -> OrderReply {
    // Running orders are counted before the stop is looked at, so that a stop that has seen
    // no order running can be sure that none starts any more.
    let running = node.count_order();
    if node.is_refusing() {
        return OrderReply::Failed(OrderFailure::Stopping);
    }
    let Some(book) = node.find_book(ticket) else { return OrderReply::Failed(OrderFailure::MinterGone) };
    let wait = ask.deadline.since(node.clock.now());
    match book.begin(node.clock.now(), ticket, &ask.caller) {
        Err(TicketFault::Forged) => OrderReply::Failed(OrderFailure::BadTicket),
        Err(TicketFault::Expired) => OrderReply::Failed(OrderFailure::Expired),
        Ok(KeyUse::Wait(outcome)) => wait_outcome(outcome, wait).await,
        Ok(KeyUse::Full) => OrderReply::Failed(OrderFailure::Full),
        Ok(KeyUse::Run(guard)) => {
            let node = node.clone();
            // The order goes on when its caller hangs up, so that its outcome is known.
            let run = tokio::spawn(async move {
                let reply = execute(&node, &ask).await;
                guard.finish(reply.clone());
                drop(running);
                reply
            });
            run.await.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
        }
    }
}

async fn forward(node: &Arc<Node>, ask: &OrderAsk, holder: &streamfold_model::NodeId) -> ForwardResult {
    let Some(link) = node.links.get(holder) else {
        tracing::info!(event = "order_not_forwarded", request = %ask.request, holder = %holder, error = "no address");
        return ForwardResult::NotSent;
    };
    let left = ask.deadline.since(node.clock.now());
    let message = OrderRequest {
        request: ask.request,
        remaining_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
        caller: ask.caller.clone(),
        index: ask.index.clone(),
        record: ask.record.clone(),
        ticket: ask.key.clone(),
        body: ask.body.clone(),
    };
    match link.call(PATH_ORDER, &message, left).await {
        Ok(reply) => ForwardResult::Replied(reply),
        Err(error) => {
            let left_ms = ask.deadline.since(node.clock.now()).as_millis() as u64;
            tracing::info!(event = "order_not_forwarded", request = %ask.request, holder = %holder, %error, left_ms);
            match error.is_not_sent() {
                true => ForwardResult::NotSent,
                false => ForwardResult::Replied(OrderReply::Failed(OrderFailure::MinterGone)),
            }
        }
    }
}

/// The layout that orders go by: that of the newest index version any server told of.
fn current_layout<'a>(view: &ClusterView, index: &'a IndexSpec) -> &'a ShardLayout {
    let upstreams = (0..view.owners.len() as u32).map(UpstreamIndex);
    let newest = upstreams.filter_map(|upstream| view.beliefs.get(&index.name, upstream)).map(|held| held.newest);
    let layout = newest.max().and_then(|version| index.layout(version));
    layout.unwrap_or(&index.layouts[0])
}

/// Sends an order to its shard. Another server or owner is tried only after one that
/// certainly did not run it.
async fn execute(node: &Arc<Node>, ask: &OrderAsk) -> OrderReply {
    let view = node.view();
    let missing = |reason| OrderReply::Failed(OrderFailure::Missing(reason));
    let Some(config) = &view.config else { return missing(MissingReason::NoOwner) };
    let Some(index) = config.indexes.get(&ask.index) else { return missing(MissingReason::NoOwner) };
    let layout = current_layout(&view, index);
    let shard = layout.shard_of(&ask.record);
    let mut reason = MissingReason::NoOwner;
    for upstream in layout.shards[shard.0 as usize].iter() {
        for target in view.owners(*upstream) {
            let name = config.upstream(*upstream).name.clone();
            let piece = PieceRequest { piece: 0, upstream: name, shards: vec![shard] };
            let reply = send_piece(node, &view, target, ask, piece).await;
            match (reply.outcome, reply.result) {
                (AttemptOutcome::Answered, Ok(results)) => return done(shard, reply.version, results),
                (outcome, Err(told)) if outcome.is_not_run() => reason = told,
                (outcome, _) => {
                    let left_ms = ask.deadline.since(node.clock.now()).as_millis() as u64;
                    tracing::info!(event = "order_lost", request = %ask.request, owner = %target.node, ?outcome, left_ms);
                    return OrderReply::Failed(OrderFailure::OutcomeUnknown);
                }
            }
        }
    }
    missing(reason)
}

fn done(
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
    ask: &OrderAsk,
    piece: PieceRequest,
) -> PieceReply {
    let left = ask.deadline.since(node.clock.now());
    let lost = |outcome, reason| PieceReply::lost(0, outcome, reason);
    if left.is_zero() {
        return lost(AttemptOutcome::NotSent, MissingReason::Late);
    }
    let batch = BatchRequest {
        request: ask.request,
        remaining_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
        index: ask.index.clone(),
        version: None,
        repeatable: false,
        key: Some(ask.key.clone()),
        body: ask.body.clone(),
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
    match tokio::time::timeout(left, link.call_without_timeout::<_, PieceReply>(PATH_BATCH, &batch)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) if error.is_not_sent() => lost(AttemptOutcome::NotSent, MissingReason::NoOwner),
        Ok(Err(error)) => {
            tracing::info!(event = "order_piece_lost", request = %ask.request, owner = %target.node, %error);
            unknown
        }
        Err(_) => unknown,
    }
}
