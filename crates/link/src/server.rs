//! Server side of links: accepts the HTTP/2 connections of other nodes. A malformed message closes only its own link.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::error::PeerError;
use crate::frame::{FrameReader, encode_frame, send_frame};
use crate::link::{PEER_HTTP2_FRAME_SIZE, PEER_WINDOW_SIZE};
use crate::socket::set_tcp_options;

/// The most streams that may be open at once on one link.
const MAX_STREAMS: u32 = 10_000;
/// The most streams on one link that may be reset before they were accepted. A node that was paused finds all messages
/// that were cancelled meanwhile; a lower limit would end the link with all messages in flight.
const MAX_UNACCEPTED_RESETS: usize = MAX_STREAMS as usize;
/// The longest time that the HTTP/2 handshake of a link may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time until the first message of a link, so that clients that are not nodes cannot hold connections open.
const FIRST_STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// A link with no open stream is closed after this long without a new message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles the messages of other nodes.
pub trait PeerService: Send + Sync {
    /// Handles one message. An error that means a malformed message closes the link.
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>>;

    /// Records a malformed message on this path.
    fn record_malformed(&self, path: &str);

    /// The longest time until the first message of a link.
    fn first_message_timeout(&self) -> Duration {
        FIRST_STREAM_TIMEOUT
    }
}

/// Accepts links on the listener until the task is dropped.
pub async fn serve(service: Arc<dyn PeerService>, listener: Arc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let service = service.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_link(service, stream).await {
                tracing::debug!(event = "peer_link_closed", error = %error);
            }
        });
    }
}

async fn serve_link(service: Arc<dyn PeerService>, stream: TcpStream) -> Result<(), h2::Error> {
    if let Err(error) = set_tcp_options(&stream) {
        // Without the options small frames may be delayed and a lost connection is detected later.
        tracing::debug!(event = "peer_options_failed", %error);
    }
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(PEER_WINDOW_SIZE).initial_connection_window_size(PEER_WINDOW_SIZE);
    builder.max_frame_size(PEER_HTTP2_FRAME_SIZE).max_concurrent_streams(MAX_STREAMS);
    builder.max_pending_accept_reset_streams(MAX_UNACCEPTED_RESETS);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let Ok(connection) = handshake else { return Ok(()) };
    let mut connection = connection?;
    let (close, mut closed) = mpsc::channel::<()>(1);
    let mut idle_timeout = service.first_message_timeout();
    loop {
        tokio::select! {
            accepted = tokio::time::timeout(idle_timeout, connection.accept()) => {
                // An idle link can be closed: the other node reconnects when it has a message to send.
                let Ok(accepted) = accepted else {
                    // Each open stream holds a sender. Some streams stay open as long as their nodes run.
                    if close.strong_count() > 1 {
                        continue;
                    }
                    return Ok(());
                };
                let Some(accepted) = accepted else { return Ok(()) };
                let (request, respond) = accepted?;
                idle_timeout = IDLE_TIMEOUT;
                tokio::spawn(serve_stream(service.clone(), request, respond, close.clone()));
            }
            _ = closed.recv() => {
                connection.abrupt_shutdown(Reason::PROTOCOL_ERROR);
                return std::future::poll_fn(|cx| connection.poll_closed(cx)).await;
            }
        }
    }
}

async fn serve_stream(
    service: Arc<dyn PeerService>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    close: mpsc::Sender<()>,
) {
    let path = request.uri().path().to_owned();
    let result = service.serve(&path, request.into_body(), &mut respond).await;
    if let Err(PeerError::Decode(_) | PeerError::FrameTooLong(_) | PeerError::BadStatus(_)) = result {
        service.record_malformed(&path);
        tracing::warn!(event = "bad_peer_message", path = %path);
        // A full channel means that the link is already being closed.
        let _ = close.try_send(());
    }
}

/// Reads the single message of a stream, of at most `limit` bytes.
///
/// # Errors
/// The stream fails, or the message is too long or malformed.
pub async fn read_message<M: bincode::Decode<()>>(body: RecvStream, limit: usize) -> Result<M, PeerError> {
    FrameReader::new(body, limit).next().await?.ok_or(PeerError::EndedEarly)
}

/// Answers with a single message.
///
/// # Errors
/// The stream fails.
pub async fn reply<M: bincode::Encode>(respond: &mut SendResponse<Bytes>, message: &M) -> Result<(), PeerError> {
    let mut stream = respond.send_response(Response::new(()), false)?;
    send_frame(&mut stream, encode_frame(message)?, true).await
}

/// Refuses a message: tells the other node with status 503 that it was not processed.
///
/// # Errors
/// The stream fails.
pub fn refuse(respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let mut refusal = Response::new(());
    *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    respond.send_response(refusal, true)?;
    Ok(())
}
