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
use tokio::net::TcpListener;

use crate::front::ACCEPT_DELAY;
use crate::router::Router;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Connections without a request for this long are closed. Readiness checks come every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves requests until the node ends.
pub async fn serve(router: Arc<Router>, listener: Arc<TcpListener>, metrics_text: fn() -> String) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let router = router.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = answer(&router, request.uri().path(), metrics_text);
            async move { Ok::<_, Infallible>(response) }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "ready_connection_failed", %error);
            }
        });
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
