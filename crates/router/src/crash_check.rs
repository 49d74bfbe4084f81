//! Finds out whether a server's process is gone, as opposed to one connection to it.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::crash_tracker::{CrashSuspect, SURVIVAL_DELAY};
use tokio::net::TcpStream;

use crate::quarantine;
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
    let suspects = server.recent_work(router.clock.now());
    tokio::spawn(check(router.clone(), server.clone(), suspects));
}

/// Notes that a server refused a connection: its process is gone.
pub fn note_refused(router: &Arc<Router>, server: &Server) {
    note_crash(router, server, &server.recent_work(router.clock.now()));
}

/// Whether a server that has just answered lives on for a while.
pub async fn lives_on(server: &Server) -> bool {
    tokio::time::sleep(SURVIVAL_DELAY).await;
    !server.is_crashed() && matches!(connect(server).await, Some(Ok(_)))
}

/// Connects to a server, if that does not take too long.
async fn connect(server: &Server) -> Option<std::io::Result<TcpStream>> {
    tokio::time::timeout(CHECK_WITHIN, TcpStream::connect(server.address)).await.ok()
}

async fn check(router: Arc<Router>, server: Arc<Server>, suspects: Vec<CrashSuspect>) {
    tokio::time::sleep(CHECK_AFTER).await;
    match connect(&server).await {
        Some(Ok(_)) => server.note_alive(router.clock.now()),
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => note_crash(&router, &server, &suspects),
        _ => {}
    }
}

fn note_crash(router: &Arc<Router>, server: &Server, suspects: &[CrashSuspect]) {
    if suspects.is_empty() || !server.mark_crashed() {
        return;
    }
    let names: Vec<String> = suspects.iter().map(|suspect| suspect.content.to_string()).collect();
    metrics::counter!("streamfold_crashed_servers_total").increment(1);
    tracing::info!(
        event = "server_crashed",
        server = %server.run(),
        service = %server.service,
        contents = names.join(",")
    );
    quarantine::note_crash(router, &server.run(), suspects);
}
