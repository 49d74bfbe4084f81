//! Handlers of the messages from other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Response;
use streamfold_link::server::{PeerService, serve as serve_peers};
use streamfold_link::{PeerError, encode_frame, read_message, refuse, reply, send_frame};
use streamfold_model::ConfigVersion;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::gossip;
use crate::node::Node;
use crate::order::{OrderJob, run_local_ticket};
use crate::stats;
use crate::wire::{
    AdoptReply, AdoptRequest, BatchRequest, ConfigReply, GossipMessage, OrderFailure, OrderReply, OrderRequest,
    PATH_ADOPT, PATH_BATCH, PATH_CONFIG, PATH_GOSSIP, PATH_ORDER,
};

/// Maximum message sizes in bytes, by kind.
const GOSSIP_LIMIT: usize = 256 << 10;
const BATCH_LIMIT: usize = 24 << 20;
const ORDER_LIMIT: usize = 24 << 20;
const CONFIG_LIMIT: usize = 1 << 10;
const ADOPT_LIMIT: usize = 64 << 20;
/// Capacity of the channel of replies that are not written yet.
const REPLY_BUFFER: usize = 64;

/// The service that a node offers to other nodes.
struct NodeService(Arc<Node>);

impl PeerService for NodeService {
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        let node = &self.0;
        match path {
            PATH_BATCH => serve_batch(node, body, respond).boxed(),
            PATH_ORDER => serve_order(node, body, respond).boxed(),
            PATH_GOSSIP => serve_gossip(node, body, respond).boxed(),
            PATH_CONFIG => serve_config(node, body, respond).boxed(),
            PATH_ADOPT => serve_adopt(node, body, respond).boxed(),
            _ => std::future::ready(Err(PeerError::BadStatus(404))).boxed(),
        }
    }

    fn record_malformed(&self, _path: &str) {
        stats::count_bad_peer();
    }
}

/// Serves the peers' port until the task is aborted.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>) {
    serve_peers(Arc::new(NodeService(node)), listener).await;
}

/// Runs a batch and streams its replies. A stream reset by the entry node cancels the running pieces.
async fn serve_batch(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let batch: BatchRequest = read_message(body, BATCH_LIMIT).await?;
    let _work = node.count_work();
    let config = node.view().config.clone();
    let Some(config) = config.filter(|_| !node.is_giving_up()) else {
        return refuse(respond);
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    let (sender, mut replies) = mpsc::channel(REPLY_BUFFER);
    let run = node.pools.run_batch(&config, node.settings.owners, batch, sender);
    let mut run = std::pin::pin!(run);
    let mut is_running = true;
    loop {
        tokio::select! {
            reply = replies.recv() => match reply {
                Some(reply) => send_frame(&mut stream, encode_frame(&reply)?, false).await?,
                None => break,
            },
            () = &mut run, if is_running => is_running = false,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        }
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

async fn serve_order(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let order: OrderRequest = read_message(body, ORDER_LIMIT).await?;
    let answer = match order.ticket.parse() {
        Ok(ticket) => {
            let deadline = node.clock.now().plus(Duration::from_micros(order.remaining_us));
            let job = OrderJob {
                request: order.request,
                caller: order.caller,
                index: order.index,
                record: order.record,
                key: order.ticket,
                body: order.body,
                deadline,
            };
            run_local_ticket(node, job, &ticket).await
        }
        Err(_) => OrderReply::Failed(OrderFailure::BadTicket),
    };
    reply(respond, &answer).await
}

async fn serve_gossip(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let message: GossipMessage = read_message(body, GOSSIP_LIMIT).await?;
    let answer = gossip::answer(node, message);
    reply(respond, &answer).await
}

async fn serve_config(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let known: ConfigVersion = read_message(body, CONFIG_LIMIT).await?;
    let active = node.keeper.current().filter(|active| active.bundle.head.version > known);
    reply(respond, &ConfigReply { bundle: active.map(|active| active.bundle.clone()) }).await
}

async fn serve_adopt(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: AdoptRequest = read_message(body, ADOPT_LIMIT).await?;
    if node.is_refusing() {
        return refuse(respond);
    }
    node.adopt(request.handovers);
    reply(respond, &AdoptReply).await
}
