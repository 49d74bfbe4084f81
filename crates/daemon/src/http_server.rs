//! Serves HTTP/1.1 and HTTP/2 on a port, with bounds on connections and slow senders, and a
//! stop that lets open requests finish.

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

/// How long a sender may take for its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 1_000;
/// Header bytes taken on one request.
const MAX_HEADERS: usize = 64 << 10;
/// Pause when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a router until the node has ended, then lets open connections finish.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>, router: Router, connections: usize) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEADERS);
    builder.http2().max_concurrent_streams(MAX_STREAMS).max_header_list_size(MAX_HEADERS as u32);
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(connections));
    let mut phase = node.watch_phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == StopPhase::Ended) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        // Without it small answers wait for each other; a socket that refuses it works all the same.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A connection that fails is its caller's to notice.
            let _ = connection.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}
