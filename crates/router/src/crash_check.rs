//! Checks whether the process of a server has crashed or only one connection to it was lost.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::crash_tracker::{CrashSuspect, SURVIVAL_DELAY};
use tokio::net::TcpStream;

use crate::quarantine;
use crate::router::Router;
use crate::server::Server;

/// Delay from the loss of a connection to the connection attempt that checks the server: the listening port closes when
/// the process exits, and not before its connections close.
const CHECK_DELAY: Duration = Duration::from_millis(5);
/// Timeout of that connection attempt; the one-way latency between regions is up to 12 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks a server after a connection with an open call on it was lost.
pub fn check_after_loss(router: &Arc<Router>, server: &Arc<Server>) {
    if server.is_crashed() {
        return;
    }
    // Taken now, since its other open calls are about to end as well.
    let suspects = server.recent_work(router.clock.now());
    tokio::spawn(check(router.clone(), server.clone(), suspects));
}

/// Records that a server refused a connection, which shows that its process has crashed.
pub fn note_refused(router: &Arc<Router>, server: &Server) {
    note_crash(router, server, &server.recent_work(router.clock.now()));
}

/// Whether a server that has just answered is still up after [`SURVIVAL_DELAY`].
pub async fn survives(server: &Server) -> bool {
    tokio::time::sleep(SURVIVAL_DELAY).await;
    !server.is_crashed() && matches!(connect(server).await, Some(Ok(_)))
}

/// Connects to a server; `None` if the attempt timed out.
async fn connect(server: &Server) -> Option<std::io::Result<TcpStream>> {
    tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(server.address)).await.ok()
}

/// Connects to a server: success shows that it is up, and a refused connection that it has crashed.
async fn check(router: Arc<Router>, server: Arc<Server>, suspects: Vec<CrashSuspect>) {
    tokio::time::sleep(CHECK_DELAY).await;
    match connect(&server).await {
        Some(Ok(_)) => server.note_alive(router.clock.now()),
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => note_crash(&router, &server, &suspects),
        _ => {}
    }
}

/// Records the crash of a server during the given contents, once per run of the server.
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
