//! Direct quarantine updates between nodes. The platform's store keeps quarantined contents and distributes them to all
//! nodes, but a caller may retry at another node before the update arrives there, and the store may be unavailable.

use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use futures_util::future::join_all;
use streamfold_model::{CrashEntry, FailureDomain};
use streamfold_policy::crash_tracker::CrashSuspect;

use crate::peers::PeerNode;
use crate::quarantine;
use crate::router::Router;

/// Path of quarantine updates, with the version of the message format.
pub const PATH_QUARANTINE: &str = "/1/quarantine";
/// The longest time that an answer is delayed so that other nodes have the update before its caller can retry there.
/// The one-way latency between regions is up to 12 ms, and nodes of the own failure domain get the update through
/// others.
const UPDATE_WAIT: Duration = Duration::from_millis(50);
/// Timeout for the acknowledgement of another node. It is longer than [`UPDATE_WAIT`], since the link is treated as
/// failed after it.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// An update about a content that is quarantined or tried again.
#[derive(Debug, Clone, Encode, Decode)]
pub struct QuarantineUpdate {
    /// The content and the servers that crashed during it.
    pub entry: CrashEntry,
    /// The failure domain to whose nodes the receivers forward the update, since a node has links to few nodes of its
    /// own failure domain.
    pub forward_to: Option<FailureDomain>,
}

/// Acknowledges an update.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub struct QuarantineAck;

/// Quarantines a content that was found to crash servers and sends the update to all nodes. Returns when the reachable
/// ones have acknowledged it, or after a short wait.
pub(crate) async fn quarantine_content(router: &Arc<Router>, suspect: CrashSuspect) {
    let now = router.clock.now();
    let Some(entry) = router.cluster.quarantine.quarantine_content(now, suspect.content) else { return };
    tokio::spawn(quarantine::publish(router.clone(), entry.clone()));
    broadcast(router, entry).await;
}

/// Sends all reachable nodes the update that a content is quarantined or tried again. Returns when they have
/// acknowledged it, or after a short wait.
pub(crate) async fn broadcast(router: &Router, entry: CrashEntry) {
    let forward_to = Some(router.cluster.context().domain.clone());
    send_to_peers(router, &QuarantineUpdate { entry, forward_to }, |_| true).await;
}

/// Applies an update of another node, and forwards it to the nodes that the sender has no links to.
pub(crate) async fn receive(router: &Arc<Router>, update: QuarantineUpdate) -> QuarantineAck {
    let QuarantineUpdate { entry, forward_to } = update;
    let is_new = router.cluster.quarantine.put_quarantined(router.clock.now(), &entry);
    if let (true, Some(domain)) = (is_new, forward_to) {
        send_to_peers(router, &QuarantineUpdate { entry, forward_to: None }, |peer| peer.entry.domain == domain).await;
    }
    QuarantineAck
}

/// Sends an update to the selected peers and waits a short time for their acknowledgements. Closed links, as after a
/// start, are opened for it.
async fn send_to_peers(router: &Router, update: &QuarantineUpdate, is_selected: impl Fn(&PeerNode) -> bool) {
    let view = router.cluster.view();
    let selected = view.peers.iter().filter(|peer| is_selected(peer));
    let sent = selected.map(|peer| tokio::spawn(send(peer.clone(), update.clone())));
    let all_acked = join_all(sent);
    if tokio::time::timeout(UPDATE_WAIT, all_acked).await.is_err() {
        tracing::info!(event = "quarantine_told_late", content = %update.entry.content);
    }
}

async fn send(peer: Arc<PeerNode>, update: QuarantineUpdate) {
    let acked = peer.link.call::<_, QuarantineAck>(PATH_QUARANTINE, &update, ACK_TIMEOUT).await;
    if let Err(error) = acked {
        tracing::info!(event = "quarantine_not_told", peer = %peer.entry.node, content = %update.entry.content, %error);
    }
}
