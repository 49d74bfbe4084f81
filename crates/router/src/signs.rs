//! Signs of life asked of other failure domains while one of them is taken for dark: it is used again as
//! soon as it is back, and a node that is cut off from all of them knows so before its callers do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::FailureDomain;
use streamfold_policy::domain_reach::SilenceContext;

use crate::batch::PATH_KNOWLEDGE;
use crate::knowledge::{KnowledgeReply, KnowledgeRequest};
use crate::peers::PeerNode;
use crate::router::Router;

/// How often nodes are asked, and how long a sign may take: servers of a dark failure domain are used
/// again so soon after it is back.
const ASK_EVERY: Duration = Duration::from_millis(250);
const SIGN_WITHIN: Duration = Duration::from_millis(300);
/// Nodes of a dark failure domain that are asked at a time, and of one that may be cut off as well.
const ASKED_IN_DARK: usize = 1;
const ASKED_BESIDE: usize = 2;

/// Asks until the node ends.
pub async fn ask(router: Arc<Router>) {
    loop {
        tokio::time::sleep(ASK_EVERY.mul_f64(rand::random_range(0.8..1.2))).await;
        for peer in choose_asked(&router) {
            tokio::spawn(ask_peer(router.clone(), peer));
        }
    }
}

/// The nodes to ask now; none while no failure domain is dark.
fn choose_asked(router: &Router) -> Vec<Arc<PeerNode>> {
    let now = router.clock.now();
    let view = router.cluster.view();
    if !view.peers.iter().any(|peer| peer.domain.is_dark(now)) {
        return Vec::new();
    }
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&Arc<PeerNode>>> = BTreeMap::new();
    for peer in &view.peers {
        by_domain.entry(&peer.domain.name).or_default().push(peer);
    }
    let choose = |mut peers: Vec<&Arc<PeerNode>>| {
        let domain = &peers[0].domain;
        let count = match (domain.is_dark(now), domain.was_heard_within(now, ASK_EVERY)) {
            (true, _) => ASKED_IN_DARK,
            (false, true) => 0,
            (false, false) => ASKED_BESIDE,
        };
        peers.sort_by_cached_key(|_| rand::random::<u32>());
        peers.into_iter().take(count).cloned().collect::<Vec<_>>()
    };
    by_domain.into_values().flat_map(choose).collect()
}

async fn ask_peer(router: Arc<Router>, peer: Arc<PeerNode>) {
    let asked = router.clock.now();
    let request = KnowledgeRequest { version: router.cluster.version(), known: None, neighbours_of: None };
    let told = peer.link.call::<_, KnowledgeReply>(PATH_KNOWLEDGE, &request, SIGN_WITHIN).await;
    let now = router.clock.now();
    match told {
        Ok(_) => peer.domain.note_heard(now),
        Err(_) if peer.domain.is_dark(now) => peer.domain.note_no_sign(now),
        Err(_) => peer.domain.note_silent_in(now, asked, peer.entry.node.as_str(), SilenceContext::OtherUnreachable),
    }
}
