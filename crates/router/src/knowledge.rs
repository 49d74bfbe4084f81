//! What nodes tell each other of routes, servers and nodes while the platform's store is away.

use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use streamfold_link::{PeerError, PeerLink};
use streamfold_model::{CrashEntry, NodeEntry, NodeId, RouteTable, TableVersion};

use crate::batch::PATH_KNOWLEDGE;
use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::interface::{FeedChange, FeedItem, FeedTopic};
use crate::listing::{DomainSection, KnownDigest, KnownEntries};
use crate::relay::{FeedSource, RelayFrame};
use crate::router::Router;

/// How often another node is asked while the store is away.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How long a node that has no source of news counts as just started.
const START_TIME: Duration = Duration::from_millis(900);
/// How long a node may take to tell.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node may take to tell the nodes of a failure domain.
const NEIGHBOURS_TIMEOUT: Duration = Duration::from_millis(300);

/// What a node does not know.
#[derive(Debug, Clone, Encode, Decode)]
pub struct KnowledgeRequest {
    /// The version of the routes it has; only a newer one is of use.
    pub version: TableVersion,
    /// What it has of servers and nodes, if it has no news of them.
    pub known: Option<KnownDigest>,
    /// The node whose failure domain's nodes it wants to know, and nothing else.
    pub neighbours_of: Option<NodeId>,
}

/// What another node knows.
#[derive(Debug, Clone, Default, Encode, Decode)]
pub struct KnowledgeReply {
    /// Newer routes, if it has them.
    pub table: Option<RouteTable>,
    /// Servers and nodes that the asking node lacks or has otherwise, if it wants them.
    pub sections: Vec<DomainSection>,
    /// The nodes of the failure domain that was asked for; none if the node is not known.
    pub nodes: Vec<NodeEntry>,
    /// The evacuated failure domains, if it knows them.
    pub evacuations: Option<EvacuationList>,
    /// Contents that ended servers.
    pub crashes: Vec<CrashEntry>,
}

/// Answers another node.
pub fn answer(router: &Router, request: &KnowledgeRequest) -> KnowledgeReply {
    // Who starts asks many nodes at once with hundreds of others, and has the rest from its reader.
    if let Some(node) = &request.neighbours_of {
        return KnowledgeReply { nodes: router.cluster.neighbours_of(node), ..KnowledgeReply::default() };
    }
    let view = router.cluster.view();
    let newer = view.table.as_ref().filter(|table| table.version > request.version);
    let sections = request.known.as_ref().map_or_else(Vec::new, |known| KnownEntries::of(router).sections_for(known));
    KnowledgeReply {
        table: newer.map(|table| RouteTable::clone(table)),
        sections,
        nodes: Vec::new(),
        evacuations: router.cluster.evacuations(),
        crashes: router.cluster.quarantine.entries(),
    }
}

/// Asks other nodes while the store is away, until the node ends.
pub async fn poll_peers_in_outages(router: Arc<Router>) {
    // The store is asked first.
    loop {
        tokio::time::sleep(ASK_EVERY.mul_f64(rand::random_range(0.8..1.2))).await;
        // Nodes matter little from one second to the next.
        if router.topics().all(|topic| topic == FeedTopic::Nodes || router.is_followed(topic)) {
            continue;
        }
        // A node that has just been started waits for its reader: the others may have been started with it, and
        // all of them would ask the few that the settings name for all servers at once.
        if *router.source.borrow() == FeedSource::Undecided && router.uptime() < START_TIME {
            continue;
        }
        let Some(link) = choose_link(&router) else { continue };
        if let Err(error) = ask(&router, &link).await {
            tracing::debug!(event = "knowledge_failed", address = %link.address(), %error);
        }
    }
}

/// A node to ask: one that is connected or one that the settings name. Seeds are among them even
/// while links are open, since all of those may be silent.
fn choose_link(router: &Router) -> Option<Arc<PeerLink>> {
    let view = router.cluster.view();
    let open: Vec<Arc<PeerLink>> =
        view.peers.iter().filter(|peer| peer.link.is_open()).map(|peer| peer.link.clone()).collect();
    let links: Vec<&Arc<PeerLink>> = open.iter().chain(&router.seed_links).collect();
    let count = links.len();
    (count > 0).then(|| links[rand::random_range(0..count)].clone())
}

async fn ask(router: &Router, link: &Arc<PeerLink>) -> Result<(), PeerError> {
    let version = router.cluster.version();
    let known = (!router.is_followed(FeedTopic::Servers)).then(|| KnownEntries::of(router).digest(version));
    let request = KnowledgeRequest { version, known, neighbours_of: None };
    let reply: KnowledgeReply = link.call(PATH_KNOWLEDGE, &request, ASK_TIMEOUT).await?;
    if let Some(list) = reply.evacuations {
        router.cluster.offer_evacuations(router.clock.now(), list, UpdateOrigin::Peer);
    }
    let crashes = reply.crashes.into_iter().map(FeedItem::Crash).map(FeedChange::Put).collect();
    router.cluster.apply(router.clock.now(), crashes, FeedTopic::Crashes, UpdateOrigin::Peer);
    // Servers first, since newer routes may name services that only the newer entries have.
    take_entries(router, link, reply.sections);
    if let Some(table) = reply.table
        && router.cluster.offer_table(table.clone(), UpdateOrigin::Peer)
    {
        // Who follows this node would not hear of them: what it has, its own reader leaves out.
        router
            .relay_publisher
            .publish(|| RelayFrame::Listed(FeedTopic::Routes, vec![FeedItem::Routes(Box::new(table))]));
    }
    Ok(())
}

/// One of the nodes that the settings name; none if this is one of them itself.
pub fn choose_seed(router: &Router) -> Option<&Arc<PeerLink>> {
    let is_seed = router.settings.seeds.contains(&router.settings.peers);
    let count = router.seed_links.len();
    (count > 0 && !is_seed).then(|| &router.seed_links[rand::random_range(0..count)])
}

/// Learns the nodes of the own failure domain from another node; false if that one does not know
/// even this one yet.
pub async fn fetch_neighbours(router: &Router, link: &Arc<PeerLink>) -> bool {
    let own = router.settings.node.clone();
    let request = KnowledgeRequest { version: router.cluster.version(), known: None, neighbours_of: Some(own) };
    let reply: KnowledgeReply = match link.call(PATH_KNOWLEDGE, &request, NEIGHBOURS_TIMEOUT).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::info!(event = "neighbours_unknown", address = %link.address(), %error);
            return false;
        }
    };
    let knows_own = !reply.nodes.is_empty();
    if knows_own {
        let nodes = reply.nodes.into_iter().map(FeedItem::Node).map(FeedChange::Put).collect();
        router.cluster.apply(router.clock.now(), nodes, FeedTopic::Nodes, UpdateOrigin::Peer);
    }
    knows_own
}

/// Adds servers and nodes that another node knows. None is removed: that the other node does
/// not know one does not say that it is gone.
fn take_entries(router: &Router, link: &PeerLink, sections: Vec<DomainSection>) {
    let (mut servers, mut nodes) = (Vec::new(), Vec::new());
    for section in sections {
        servers.extend(section.servers.unwrap_or_default());
        nodes.extend(section.nodes.unwrap_or_default());
    }
    if (servers.is_empty() && nodes.is_empty()) || router.is_followed(FeedTopic::Servers) {
        return;
    }
    if !servers.is_empty() && !router.is_listed(FeedTopic::Servers) {
        tracing::info!(event = "entries_from_peer", address = %link.address(), servers = servers.len());
        router.set_listed(FeedTopic::Servers);
    }
    let now = router.clock.now();
    let servers = servers.into_iter().map(FeedItem::Server).map(FeedChange::Put).collect();
    router.cluster.apply(now, servers, FeedTopic::Servers, UpdateOrigin::Peer);
    let nodes = nodes.into_iter().map(FeedItem::Node).map(FeedChange::Put).collect();
    router.cluster.apply(now, nodes, FeedTopic::Nodes, UpdateOrigin::Peer);
}
