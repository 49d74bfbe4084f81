//! Liveness probes of the other failure domains while one of them counts as unreachable. The domain is used again as
//! soon as it recovers, and a node that is partitioned from all other domains detects this before its callers do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::FailureDomain;
use streamfold_policy::domain_reach::SilenceContext;

use crate::batch::PATH_KNOWLEDGE;
use crate::knowledge::{KnowledgeReply, KnowledgeRequest};
use crate::peers::PeerNode;
use crate::router::Router;

/// Interval and timeout of the probes. Servers of an unreachable failure domain are used again this soon after it
/// recovers.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of nodes that are probed at a time in an unreachable failure domain, and in one without recent contact, which
/// may be unreachable too.
const PROBED_IN_UNREACHABLE: usize = 1;
const PROBED_BESIDE_UNREACHABLE: usize = 2;

/// Sends probes until the node ends.
pub async fn run(router: Arc<Router>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        for peer in choose_probed(&router) {
            tokio::spawn(probe_peer(router.clone(), peer));
        }
    }
}

/// The nodes to probe now; none while no failure domain is unreachable.
fn choose_probed(router: &Router) -> Vec<Arc<PeerNode>> {
    let now = router.clock.now();
    let view = router.cluster.view();
    if !view.peers.iter().any(|peer| peer.domain.is_unreachable(now)) {
        return Vec::new();
    }
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&Arc<PeerNode>>> = BTreeMap::new();
    for peer in &view.peers {
        by_domain.entry(&peer.domain.name).or_default().push(peer);
    }
    let choose = |mut peers: Vec<&Arc<PeerNode>>| {
        let domain = &peers[0].domain;
        let count = match (domain.is_unreachable(now), domain.had_contact_within(now, PROBE_INTERVAL)) {
            (true, _) => PROBED_IN_UNREACHABLE,
            (false, true) => 0,
            (false, false) => PROBED_BESIDE_UNREACHABLE,
        };
        peers.sort_by_cached_key(|_| rand::random::<u32>());
        peers.into_iter().take(count).cloned().collect::<Vec<_>>()
    };
    by_domain.into_values().flat_map(choose).collect()
}

async fn probe_peer(router: Arc<Router>, peer: Arc<PeerNode>) {
    let started = router.clock.now();
    let request = KnowledgeRequest { version: router.cluster.version(), known: None, neighbours_of: None };
    let reply = peer.link.call::<_, KnowledgeReply>(PATH_KNOWLEDGE, &request, PROBE_TIMEOUT).await;
    let now = router.clock.now();
    match reply {
        Ok(_) => peer.domain.note_contact(now),
        Err(_) if peer.domain.is_unreachable(now) => peer.domain.note_probe_failure(now),
        Err(_) => peer.domain.note_overdue_in(now, started, peer.entry.node.as_str(), SilenceContext::OtherUnreachable),
    }
}
