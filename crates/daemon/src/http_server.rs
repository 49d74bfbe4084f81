//! HTTP/1.1 and HTTP/2 server with limits on connections, headers and slow clients, and a graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::http::{Request, Response};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulConnection;
use hyper_util::service::TowerToHyperService;
use streamfold_link::counted_stream::CountedStream;
use streamfold_router::caller_connection::CallerConnection;
use streamfold_router::caller_limits::CallerLimits;
use streamfold_router::caller_port::note_unadmitted;
use tokio::net::TcpListener;

use crate::node::Node;
use crate::stop::StopPhase;

/// Timeout for reading a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1_000;
/// Maximum size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Delay after an error of `accept`.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// Serves a router until the task is aborted. Once the node has stopped, a connection is closed when its request ends; a
/// new one is still accepted, since its caller would otherwise not hear that its request is refused. A connection beyond
/// the limits takes the place of one that waits, or is closed at once if there is none.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>, router: Router, limits: Arc<CallerLimits>) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEADER_BYTES);
    builder.http2().max_concurrent_streams(MAX_STREAMS).max_header_list_size(MAX_HEADER_BYTES as u32);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let Some(entry) = limits.admit(peer).await else {
            note_unadmitted(peer);
            continue;
        };
        // Nagle's algorithm delays small answers. A socket that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, entry.connection.clone());
        let service =
            CountedService { router: TowerToHyperService::new(router.clone()), caller: entry.connection.clone() };
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = close_at_end(node.clone(), connection);
        tokio::spawn(async move {
            tokio::select! {
                () = entry.connection.wait_cut() => {}
                () = connection => {}
            }
        });
    }
}

/// Serves a connection; when the node has stopped, it is closed after its current request. A connection that is accepted
/// after that serves requests until the process ends.
async fn close_at_end<C: GracefulConnection>(node: Arc<Node>, connection: C) {
    let mut phase = node.watch_phase();
    let mut connection = std::pin::pin!(connection);
    let is_late = node.phase() == StopPhase::Ended;
    tokio::select! {
        // The client notices when its connection fails.
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|phase| *phase == StopPhase::Ended), if !is_late => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Serves the requests of one connection and counts what they hold.
struct CountedService {
    router: TowerToHyperService<Router>,
    caller: Arc<CallerConnection>,
}

impl Service<Request<Incoming>> for CountedService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    /// Passes a request on with its connection, and hands over the answer, which is complete.
    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        let guard = self.caller.start_request();
        request.extensions_mut().insert(self.caller.clone());
        let answered = self.router.call(request);
        async move {
            guard.wait_if_cut().await;
            let (parts, body) = answered.await?.into_parts();
            // A body that this node has made cannot fail.
            let body = body.collect().await.map(Collected::to_bytes).unwrap_or_default();
            let body = guard.send(&parts.headers, body);
            Ok(Response::from_parts(parts, Full::new(body)))
        }
        .boxed()
    }
}
