//! HTTP endpoint for the readiness check and the metrics of the node.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::caller_limits::{CallerLimits, ConnectionEntry};
use crate::caller_port::{ACCEPT_DELAY, note_unadmitted, send_counted};
use crate::router::Router;
use streamfold_link::counted_stream::CountedStream;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Connections without a request for this long are closed. Readiness checks come every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The most connections to one of these ports; the load balancer and those who read metrics need a few.
const MAX_CONNECTIONS: usize = 16;
/// The longest head of a request, in bytes.
const MAX_HEAD_LEN: usize = 16 << 10;

/// Serves requests until the node ends. Clients of this port have limits of their own, so that callers never keep out the
/// load balancer.
pub async fn serve(router: Arc<Router>, listener: Arc<TcpListener>, metrics_text: fn() -> String) {
    let limits = Arc::new(CallerLimits::new(router.settings.machine()).with_connections(MAX_CONNECTIONS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        match limits.admit(peer).await {
            Some(entry) => drop(tokio::spawn(serve_connection(router.clone(), stream, entry, metrics_text))),
            None => note_unadmitted(peer),
        }
    }
}

async fn serve_connection(
    router: Arc<Router>,
    stream: TcpStream,
    entry: ConnectionEntry,
    metrics_text: fn() -> String,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let guard = entry.connection.start_request();
        let response = answer(&router, request.uri().path(), metrics_text);
        async move { Ok::<_, Infallible>(send_counted(response, guard)) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(MAX_HEAD_LEN);
    let stream = CountedStream::new(stream, entry.connection.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = entry.connection.wait_cut() => {}
        ended = connection => {
            if let Err(error) = ended {
                tracing::debug!(event = "ready_connection_failed", %error);
            }
        }
    }
}

fn answer(router: &Router, path: &str, metrics_text: fn() -> String) -> Response<Full<Bytes>> {
    let (status, body) = if path == router.format.ready_path() {
        match router.is_ready() {
            true => (StatusCode::OK, "ready".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned()),
        }
    } else if path == METRICS_PATH {
        (StatusCode::OK, metrics_text())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
