//! Queries between nodes for routes, servers and nodes while the platform's store is unavailable.

use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use streamfold_link::{PeerError, PeerLink};
use streamfold_model::{CrashEntry, NodeEntry, NodeId, RouteTable, TableVersion};

use crate::batch::PATH_KNOWLEDGE;
use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::interface::{FeedChange, FeedItem, FeedPosition, FeedTopic};
use crate::listing::{DomainSection, KnownDigest, KnownEntries};
use crate::relay::{FeedSource, RelayFrame};
use crate::router::Router;

/// The interval of queries to other nodes while the store is unavailable.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a node without a source of updates counts as just started.
const STARTUP_TIME: Duration = Duration::from_millis(900);
/// The timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The timeout of a query for the nodes of a failure domain.
const NEIGHBOURS_TIMEOUT: Duration = Duration::from_millis(300);

/// A query for what the sending node does not know.
#[derive(Debug, Clone, Encode, Decode)]
pub struct KnowledgeRequest {
    /// The version of the sender's routes; only newer ones are returned.
    pub version: TableVersion,
    /// The digest of the sender's servers and nodes, if it gets no updates of them.
    pub known: Option<KnownDigest>,
    /// A node: only the nodes of its failure domain are returned.
    pub neighbours_of: Option<NodeId>,
}

/// The reply to a [`KnowledgeRequest`].
#[derive(Debug, Clone, Default, Encode, Decode)]
pub struct KnowledgeReply {
    /// Newer routes, if there are any.
    pub table: Option<RouteTable>,
    /// Servers and nodes of the failure domains in which they differ from the sender's, if it sent a digest.
    pub sections: Vec<DomainSection>,
    /// The nodes of the requested failure domain; empty if the node is not known.
    pub nodes: Vec<NodeEntry>,
    /// The evacuated failure domains, if known.
    pub evacuations: Option<EvacuationList>,
    /// Request contents that crashed servers.
    pub crashes: Vec<CrashEntry>,
}

/// Answers a query of another node.
pub fn answer(router: &Router, request: &KnowledgeRequest) -> KnowledgeReply {
    // The reply is kept small, since each starting node queries many others, together with hundreds of other nodes.
    // It gets the rest from its reader.
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

/// Queries other nodes while the store is unavailable, until the node ends.
pub async fn poll_peers_in_outages(router: Arc<Router>) {
    // The delay comes first, since the store is tried before other nodes.
    loop {
        tokio::time::sleep(POLL_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        // Changes of nodes are not urgent.
        if router.topics().all(|topic| topic == FeedTopic::Nodes || router.is_followed(topic)) {
            continue;
        }
        // A node that has just started waits for its reader. The other nodes may have started with it, and all of them
        // would query the few seeds for all servers at once.
        if *router.source.borrow() == FeedSource::Undecided && router.uptime() < STARTUP_TIME {
            continue;
        }
        let Some(link) = choose_link(&router) else { continue };
        if let Err(error) = query(&router, &link).await {
            tracing::debug!(event = "knowledge_failed", address = %link.address(), %error);
        }
    }
}

/// Chooses a node to query at random from the connected nodes and the seeds, the nodes named in the settings. Seeds are
/// included even while connections are open, since all of those may be silent.
fn choose_link(router: &Router) -> Option<Arc<PeerLink>> {
    let view = router.cluster.view();
    let open: Vec<Arc<PeerLink>> =
        view.peers.iter().filter(|peer| peer.link.is_open()).map(|peer| peer.link.clone()).collect();
    let links: Vec<&Arc<PeerLink>> = open.iter().chain(&router.seed_links).collect();
    let count = links.len();
    (count > 0).then(|| links[rand::random_range(0..count)].clone())
}

async fn query(router: &Router, link: &Arc<PeerLink>) -> Result<(), PeerError> {
    let version = router.cluster.version();
    let known = (!router.is_followed(FeedTopic::Servers)).then(|| KnownEntries::of(router).digest(version));
    let request = KnowledgeRequest { version, known, neighbours_of: None };
    let reply: KnowledgeReply = link.call(PATH_KNOWLEDGE, &request, QUERY_TIMEOUT).await?;
    if let Some(list) = reply.evacuations {
        router.cluster.offer_evacuations(router.clock.now(), list, UpdateOrigin::Peer);
    }
    let crashes = reply.crashes.into_iter().map(FeedItem::Crash).map(FeedChange::Put).collect();
    router
        .cluster
        .apply(crashes, &router.update_context(FeedTopic::Crashes, UpdateOrigin::Peer, FeedPosition::default()));
    // Servers come first, since newer routes may name services that only the newer entries have.
    add_entries(router, link, reply.sections);
    if let Some(table) = reply.table
        && router.cluster.offer_table(table.clone(), UpdateOrigin::Peer)
    {
        // Followers of this node get these routes only from here: its own reader omits what this node has.
        router
            .relay_publisher
            .publish(|| RelayFrame::Listed(FeedTopic::Routes, vec![FeedItem::Routes(Box::new(table))]));
    }
    Ok(())
}

/// A random seed, one of the nodes named in the settings; `None` if this node is a seed itself or there are no seeds.
pub fn choose_seed(router: &Router) -> Option<&Arc<PeerLink>> {
    let is_seed = router.settings.seeds.contains(&router.settings.peers);
    let count = router.seed_links.len();
    (count > 0 && !is_seed).then(|| &router.seed_links[rand::random_range(0..count)])
}

/// Fetches the nodes of this node's failure domain from another node; returns false if the call fails or the other node
/// does not know this one yet.
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
    let is_own_known = !reply.nodes.is_empty();
    if is_own_known {
        let nodes = reply.nodes.into_iter().map(FeedItem::Node).map(FeedChange::Put).collect();
        router
            .cluster
            .apply(nodes, &router.update_context(FeedTopic::Nodes, UpdateOrigin::Peer, FeedPosition::default()));
    }
    is_own_known
}

/// Adds servers and nodes that another node knows. None is removed: an entry that the other node lacks is not
/// necessarily gone.
fn add_entries(router: &Router, link: &PeerLink, sections: Vec<DomainSection>) {
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
    let servers = servers.into_iter().map(FeedItem::Server).map(FeedChange::Put).collect();
    router
        .cluster
        .apply(servers, &router.update_context(FeedTopic::Servers, UpdateOrigin::Peer, FeedPosition::default()));
    let nodes = nodes.into_iter().map(FeedItem::Node).map(FeedChange::Put).collect();
    router.cluster.apply(nodes, &router.update_context(FeedTopic::Nodes, UpdateOrigin::Peer, FeedPosition::default()));
}
