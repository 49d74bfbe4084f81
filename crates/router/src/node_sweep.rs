//! Removes the entries of nodes that ended without removing them, and registers this node again if its own entry was
//! removed while it was partitioned from the others.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{NodeEntry, NodeId};
use streamfold_policy::absence::AbsenceTracker;
use tokio::net::TcpStream;

use crate::feed;
use crate::interface::FeedTopic;
use crate::quarantine;
use crate::relay::FeedSource;
use crate::router::{Router, RouterPhase};
use crate::store_call::{self, CallReason};

/// How often the other nodes of the failure domain are scanned in the time after which an absent one counts as gone.
const SCANS_PER_LIMIT: u32 = 6;
/// The timeout of a connection attempt. A live node in the same failure domain accepts within a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maintains the node entries of this failure domain until the node ends.
pub async fn run(router: Arc<Router>) {
    let mut tracker = AbsenceTracker::default();
    loop {
        let limit = router.settings.gone_after.0;
        tokio::time::sleep((limit / SCANS_PER_LIMIT).mul_f64(rand::random_range(0.8..1.2))).await;
        if !router.is_followed(FeedTopic::Nodes) || *router.phase.borrow() != RouterPhase::Serving {
            continue;
        }
        if !router.cluster.has_node(&router.settings.node) {
            tracing::warn!(event = "own_entry_missing", node = %router.settings.node);
            feed::announce(&router).await;
        }
        if *router.source.borrow() == FeedSource::Store {
            sweep(&router, &mut tracker, limit).await;
            quarantine::remove_expired(&router).await;
        }
    }
}

/// Scans the other nodes of the failure domain once and removes the entries of those that count as gone.
async fn sweep(router: &Router, tracker: &mut AbsenceTracker<(NodeId, u64)>, limit: Duration) {
    let neighbours = router.cluster.neighbours();
    let mut results = Vec::new();
    for entry in neighbours.iter().filter(|entry| entry.node != router.settings.node) {
        let is_reached = is_reached(entry).await;
        results.push(((entry.node.clone(), entry.incarnation.0), is_reached));
    }
    let reaches_others = router.cluster.view().peers.iter().any(|peer| peer.link.is_open());
    let gone = tracker.note_scan(router.clock.now(), &results, reaches_others, limit);
    let is_gone = |entry: &&NodeEntry| gone.contains(&(entry.node.clone(), entry.incarnation.0));
    for entry in neighbours.iter().filter(is_gone) {
        remove(router, entry, limit).await;
    }
}

async fn is_reached(entry: &NodeEntry) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.peer_address));
    matches!(connecting.await, Ok(Ok(_)))
}

async fn remove(router: &Router, entry: &NodeEntry, absent: Duration) {
    match store_call::run(FeedTopic::Nodes, CallReason::Sweep, router.feed.withdraw(entry)).await {
        Ok(()) => tracing::warn!(
            event = "node_entry_removed",
            node = %entry.node,
            incarnation = %entry.incarnation,
            absent_s = absent.as_secs()
        ),
        Err(error) => tracing::warn!(event = "node_entry_not_removed", node = %entry.node, %error),
    }
}
