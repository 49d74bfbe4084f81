//! HTTP/1.1 and HTTP/2 server with limits on connections, headers and slow clients, and a graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

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

/// Serves a router until the node has stopped, then waits for open requests to finish. Connections beyond `connections`
/// are closed at once.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>, router: Router, connections: usize) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEADER_BYTES);
    builder.http2().max_concurrent_streams(MAX_STREAMS).max_header_list_size(MAX_HEADER_BYTES as u32);
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(connections));
    let mut phase = node.watch_phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == StopPhase::Ended) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        // Nagle's algorithm delays small answers. A socket that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // The client notices when its connection fails.
            let _ = connection.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}
