//! The peers' port: serves other nodes over `h2`. A malformed message closes its link alone.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use streamfold_model::ConfigVersion;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::error::PeerError;
use crate::gossip;
use crate::link::{PEER_FRAME, PEER_WINDOW};
use crate::node::Node;
use crate::order::{OrderAsk, run_held};
use crate::stats;
use crate::wire::{
    AdoptRequest, BatchRequest, ConfigReply, FrameReader, GossipMessage, OrderFailure, OrderReply, OrderRequest,
    PATH_ADOPT, PATH_BATCH, PATH_CONFIG, PATH_GOSSIP, PATH_ORDER, TakenReply, encode_frame, send_frame,
};

/// Streams one node may have open at once on one link.
const MAX_STREAMS: u32 = 10_000;
/// Largest messages taken, by kind.
const GOSSIP_LIMIT: usize = 256 << 10;
const BATCH_LIMIT: usize = 24 << 20;
const ORDER_LIMIT: usize = 24 << 20;
const CONFIG_LIMIT: usize = 1 << 10;
const ADOPT_LIMIT: usize = 64 << 20;
/// Replies that may wait to be written.
const REPLY_BUFFER: usize = 64;
/// How long a link may take to begin.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long until its first message, so that strangers do not hold links open.
const FIRST_STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a link may be without a new message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Serves the peers' port until the node ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: let some be closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_link(node, stream).await {
                tracing::debug!(event = "peer_link_closed", error = %error);
            }
        });
    }
}

async fn serve_link(node: Arc<Node>, stream: TcpStream) -> Result<(), h2::Error> {
    // Without it frames wait for each other; a socket that refuses it works all the same.
    let _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(PEER_WINDOW).initial_connection_window_size(PEER_WINDOW);
    builder.max_frame_size(PEER_FRAME).max_concurrent_streams(MAX_STREAMS);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let Ok(connection) = handshake else { return Ok(()) };
    let mut connection = connection?;
    let (close, mut closed) = mpsc::channel::<()>(1);
    let mut patience = FIRST_STREAM_TIMEOUT;
    loop {
        tokio::select! {
            accepted = tokio::time::timeout(patience, connection.accept()) => {
                // Nodes connect when they have something to say, and again when they need to.
                let Ok(Some(accepted)) = accepted else { return Ok(()) };
                let (request, respond) = accepted?;
                patience = IDLE_TIMEOUT;
                tokio::spawn(serve_stream(node.clone(), request, respond, close.clone()));
            }
            _ = closed.recv() => {
                connection.abrupt_shutdown(Reason::PROTOCOL_ERROR);
                return std::future::poll_fn(|cx| connection.poll_closed(cx)).await;
            }
        }
    }
}

async fn serve_stream(
    node: Arc<Node>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    close: mpsc::Sender<()>,
) {
    let path = request.uri().path().to_owned();
    let result = match path.as_str() {
        PATH_BATCH => serve_batch(&node, request.into_body(), &mut respond).await,
        PATH_ORDER => serve_order(&node, request.into_body(), &mut respond).await,
        PATH_GOSSIP => serve_gossip(&node, request.into_body(), &mut respond).await,
        PATH_CONFIG => serve_config(&node, request.into_body(), &mut respond).await,
        PATH_ADOPT => serve_adopt(&node, request.into_body(), &mut respond).await,
        _ => Err(PeerError::BadStatus(404)),
    };
    if let Err(PeerError::Decode(_) | PeerError::FrameTooLong(_) | PeerError::BadStatus(_)) = result {
        stats::count_bad_peer();
        tracing::warn!(event = "bad_peer_message", path = %path);
        // A full channel means that the link is being closed already.
        let _ = close.try_send(());
    }
}

async fn read<M: bincode::Decode<()>>(body: RecvStream, limit: usize) -> Result<M, PeerError> {
    FrameReader::new(body, limit).next().await?.ok_or(PeerError::EndedEarly)
}

async fn reply<M: bincode::Encode>(respond: &mut SendResponse<Bytes>, message: &M) -> Result<(), PeerError> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    send_frame(&mut stream, encode_frame(message)?, true).await
}

/// Tells the other node that nothing was done with its message.
fn refuse(respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let mut refusal = Response::new(());
    *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    respond.send_response(refusal, true)?;
    Ok(())
}

/// Runs a batch and streams its replies; a reset by the entry node ends what still runs.
async fn serve_batch(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let batch: BatchRequest = read(body, BATCH_LIMIT).await?;
    let _work = node.count_work();
    let config = node.view().config.clone();
    let Some(config) = config.filter(|_| !node.is_ended()) else {
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
    let order: OrderRequest = read(body, ORDER_LIMIT).await?;
    let answer = match order.ticket.parse() {
        Ok(ticket) => {
            let deadline = node.clock.now().plus(Duration::from_micros(order.remaining_us));
            let ask = OrderAsk {
                request: order.request,
                caller: order.caller,
                index: order.index,
                record: order.record,
                key: order.ticket,
                body: order.body,
                deadline,
            };
            run_held(node, ask, &ticket).await
        }
        Err(_) => OrderReply::Failed(OrderFailure::BadTicket),
    };
    reply(respond, &answer).await
}

async fn serve_gossip(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let message: GossipMessage = read(body, GOSSIP_LIMIT).await?;
    let answer = gossip::answer(node, message);
    reply(respond, &answer).await
}

async fn serve_config(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let known: ConfigVersion = read(body, CONFIG_LIMIT).await?;
    let kept = node.keeper.current().filter(|kept| kept.bundle.head.version > known);
    reply(respond, &ConfigReply { bundle: kept.map(|kept| kept.bundle.clone()) }).await
}

async fn serve_adopt(node: &Arc<Node>, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let request: AdoptRequest = read(body, ADOPT_LIMIT).await?;
    if node.is_refusing() {
        return refuse(respond);
    }
    node.adopt(request.books);
    reply(respond, &TakenReply).await
}
