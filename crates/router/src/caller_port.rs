//! The port for callers: accepts their connections and reads their requests, within limits.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use streamfold_link::socket::set_tcp_options;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::answer::{CallerAnswer, RefusalKind, refuse};
use crate::caller_body::discard_rest;
use crate::caller_connection::RequestGuard;
use crate::caller_limits::ConnectionEntry;
use crate::router::{LiveCount, Router, RouterPhase};
use crate::{front, task};
use streamfold_link::counted_stream::CountedStream;

/// The delay after a failed accept, for example when no file descriptors are left.
pub const ACCEPT_DELAY: Duration = Duration::from_millis(20);
/// How long a node that starts closing still takes what has arrived: connections that wait to be accepted, and requests on
/// connections that are otherwise closed as idle.
const LAST_ARRIVAL_TIME: Duration = Duration::from_millis(50);
/// The smallest request head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER: usize = 8 << 10;
/// The head buffer and the idle timeout while no routes, and thus no configured limits, are known.
const DEFAULT_HEAD_BUFFER: usize = 64 << 10;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts caller connections until the node starts closing. Then the port is closed as well: a request on a
/// connection opened that late could not finish before the process exits. Connections that already wait to be accepted
/// are served, since closing the port would reset them.
pub async fn serve(router: Arc<Router>, listener: Arc<TcpListener>) {
    router.is_accepting.store(true, Ordering::SeqCst);
    accept_connections(&router, &listener).await;
    accept_waiting(&router, &listener).await;
    router.is_accepting.store(false, Ordering::SeqCst);
}

/// Accepts connections until the node starts closing.
async fn accept_connections(router: &Arc<Router>, listener: &TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = router.wait_phase(RouterPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, peer)) => start_connection(router, stream, peer).await,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that wait to be accepted. A node that had no processor learns of them only some time after it
/// has learnt that it is to close.
async fn accept_waiting(router: &Arc<Router>, listener: &TcpListener) {
    let until = Instant::now() + LAST_ARRIVAL_TIME;
    while let Ok(Ok((stream, peer))) = tokio::time::timeout_at(until, listener.accept()).await {
        start_connection(router, stream, peer).await;
    }
}

/// Starts to serve a connection, unless there are too many.
async fn start_connection(router: &Arc<Router>, stream: TcpStream, peer: SocketAddr) {
    let Some(entry) = router.callers.admit(peer).await else {
        return note_unadmitted(peer);
    };
    // Counted before its task runs, so that a shutdown waits for it.
    router.connections.fetch_add(1, Ordering::SeqCst);
    tokio::spawn(serve_connection(router.clone(), stream, entry));
}

/// Records a connection that is closed at once since there are too many, none of which may be closed in its place.
pub fn note_unadmitted(peer: SocketAddr) {
    metrics::counter!("streamfold_connections_refused_total").increment(1);
    tracing::info!(event = "connection_refused", %peer);
}

async fn serve_connection(router: Arc<Router>, stream: TcpStream, entry: ConnectionEntry) {
    let _count = LiveCount::from_counted(&router.connections);
    let accepted = router.clock.now();
    if let Err(error) = set_tcp_options(&stream) {
        tracing::debug!(event = "connection_options_failed", %error);
        return;
    }
    let limits = router.cluster.view().table.as_ref().map(|table| table.limits);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts the idle time before a request head towards the time to read it.
        .header_read_timeout(limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout + limits.header_timeout))
        .max_buf_size(limits.map_or(DEFAULT_HEAD_BUFFER, |limits| limits.header_bytes.max(MIN_HEAD_BUFFER)));
    let is_answering = AtomicBool::new(false);
    let has_read_request = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        let (router, is_answering) = (router.clone(), &is_answering);
        let accepted = Some(accepted).filter(|_| !has_read_request.swap(true, Ordering::Relaxed));
        let guard = entry.connection.start_request();
        async move {
            guard.wait_if_cut().await;
            is_answering.store(true, Ordering::Relaxed);
            let (parts, mut body) = request.into_parts();
            // After a panic it is unknown what was sent, so the request may have run. The same holds for a request
            // that does not end by itself when the node does.
            let handled = tokio::select! {
                biased;
                handled = task::catch_panic(front::handle(&router, parts, &mut body, accepted, guard.connection())) => handled,
                () = router.wait_phase(RouterPhase::Ended) => None,
            };
            discard_rest(body);
            let answer = handled.unwrap_or_else(|| refuse(&*router.format, RefusalKind::Lost));
            is_answering.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(send_counted(answer, guard))
        }
    });
    let mut connection = std::pin::pin!(
        builder.serve_connection(TokioIo::new(CountedStream::new(stream, entry.connection.clone())), service)
    );
    let ended = tokio::select! {
        // In this order, a request that has arrived is read before its connection is closed as idle.
        biased;
        () = entry.connection.wait_cut() => return,
        ended = connection.as_mut() => ended,
        () = router.wait_phase(RouterPhase::Closing) => {
            let close = async {
                // Bytes of a request may have arrived without having been seen.
                if let Ok(ended) = tokio::time::timeout(LAST_ARRIVAL_TIME, connection.as_mut()).await {
                    return ended;
                }
                connection.as_mut().graceful_shutdown();
                connection.await
            };
            tokio::select! {
                () = entry.connection.wait_cut() => return,
                ended = close => ended,
            }
        }
    };
    log_end(&ended, is_answering.load(Ordering::Relaxed));
}

/// Hands over an answer whose memory counts as the caller's until it was sent.
pub(crate) fn send_counted(answer: CallerAnswer, guard: RequestGuard) -> CallerAnswer {
    let (parts, body) = answer.into_parts();
    let body = body.into_inner().unwrap_or_default();
    let body = guard.send(&parts.headers, body);
    Response::from_parts(parts, Full::new(body))
}

/// Logs why a caller's connection ended, if a request was left unanswered or an error occurred.
fn log_end(ended: &Result<(), hyper::Error>, is_unanswered: bool) {
    let error = ended.as_ref().err().map(ToString::to_string);
    if is_unanswered {
        let cause = ended.as_ref().err().and_then(std::error::Error::source).map(ToString::to_string);
        tracing::info!(event = "caller_connection_lost", error, cause);
    } else if error.is_some() {
        tracing::debug!(event = "caller_connection_ended", error);
    }
}
