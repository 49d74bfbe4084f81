//! Finds out whether a server's process is gone, as opposed to one connection to it.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::ContentId;
use tokio::net::TcpStream;

use crate::router::Router;
use crate::server::Server;

/// How long after a lost connection the server is connected to: its listening port closes with the
/// process, not before the connections.
const CHECK_AFTER: Duration = Duration::from_millis(5);
/// How long connecting may take; the regions are up to 12 ms apart one way.
const CHECK_WITHIN: Duration = Duration::from_millis(300);

/// Checks a server that lost a connection with a call on it.
pub fn note_lost(router: &Arc<Router>, server: &Arc<Server>) {
    if server.is_crashed() {
        return;
    }
    // What it works on now, since those calls are about to end as well.
    let contents = server.recent_work(router.clock.now());
    tokio::spawn(check(router.clone(), server.clone(), contents));
}

/// Notes that a server refused a connection: its process is gone.
pub fn note_refused(router: &Router, server: &Server) {
    note_crash(router, server, &server.recent_work(router.clock.now()));
}

async fn check(router: Arc<Router>, server: Arc<Server>, contents: Vec<ContentId>) {
    tokio::time::sleep(CHECK_AFTER).await;
    let connecting = tokio::time::timeout(CHECK_WITHIN, TcpStream::connect(server.address));
    if let Ok(Err(error)) = connecting.await
        && error.kind() == ErrorKind::ConnectionRefused
    {
        note_crash(&router, &server, &contents);
    }
}

fn note_crash(_router: &Router, server: &Server, contents: &[ContentId]) {
    if contents.is_empty() || !server.mark_crashed() {
        return;
    }
    let names: Vec<String> = contents.iter().map(ToString::to_string).collect();
    metrics::counter!("streamfold_crashed_servers_total").increment(1);
    tracing::info!(
        event = "server_crashed",
        server = %server.id,
        service = %server.service,
        contents = names.join(",")
    );
}
