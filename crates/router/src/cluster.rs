//! What a node knows of routes, servers and other nodes. Requests read one value of it that
//! is replaced whole (read-copy-update).

use std::collections::HashSet;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use streamfold_model::{NodeEntry, NodeId, RouteTable, ServerEntry, ServerId, ServerStart, TableVersion};
use streamfold_policy::Moment;

use crate::border::{FeedChange, FeedItem, FeedTopic, RemovedEntry};
use crate::cluster_parts::ClusterParts;
use crate::cluster_place::ClusterPlace;
use crate::cluster_view::ClusterView;
use crate::evacuation::EvacuationList;
use crate::quarantine::CrashQuarantine;
use crate::server::Server;

/// How long a server whose entry is gone may still be used where no other answers. Entries
/// also lapse while the store is away, which a node whose watch stayed open does not notice;
/// those of servers that live are back within about two seconds. A server that left gets no
/// request later than three seconds after.
const DOUBT: Duration = Duration::from_millis(2_200);
/// Nodes that have a line each in the log when they come together; of more only their number has one.
const MAX_NAMED_NODES: usize = 16;

/// Who told this node something of the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsOrigin {
    /// The platform's store.
    Store,
    /// The node of its failure domain that follows the store for it.
    Reader,
    /// Another node, while the store is away.
    Peer,
}

impl fmt::Display for NewsOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Reader => "reader",
            Self::Peer => "peer",
        })
    }
}

/// What a node knows of the cluster.
pub struct Cluster {
    place: ClusterPlace,
    generation: AtomicU64,
    parts: Mutex<ClusterParts>,
    view: ArcSwap<ClusterView>,
    /// Contents that end servers.
    pub quarantine: CrashQuarantine,
}

impl Cluster {
    /// A cluster of which nothing is known yet.
    pub fn new(place: ClusterPlace) -> Self {
        let parts = ClusterParts::default();
        let view = ArcSwap::from_pointee(parts.build_view(&place));
        let quarantine = CrashQuarantine::default();
        Self { place, generation: AtomicU64::new(0), parts: Mutex::new(parts), view, quarantine }
    }

    /// The view that a request works with.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Where this node stands.
    pub fn place(&self) -> &ClusterPlace {
        &self.place
    }

    /// The version of the routes in force, 0 for none.
    pub fn version(&self) -> TableVersion {
        self.view.load().table.as_ref().map_or(TableVersion(0), |table| table.version)
    }

    fn parts(&self) -> MutexGuard<'_, ClusterParts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, parts: &ClusterParts) {
        self.generation.fetch_add(1, Ordering::Relaxed);
        let mut view = parts.build_view(&self.place);
        view.compare_servers(&self.view.load());
        view.share_out(&self.place.node, self.place.cold_calls);
        self.view.store(Arc::new(view));
    }

    /// Puts routes in force if they are newer than those in force; whether they were.
    pub fn offer_table(&self, table: RouteTable, origin: NewsOrigin) -> bool {
        let mut parts = self.parts();
        let own = parts.table.as_ref().map_or(TableVersion(0), |table| table.version);
        if table.version <= own {
            return false;
        }
        tracing::info!(event = "routes_in_force", version = %table.version, before = %own, source = %origin);
        metrics::gauge!("streamfold_routes_version").set(table.version.0 as f64);
        parts.keep_times(&table);
        parts.keep_turns(&table);
        parts.keep_lines(&table, &self.place);
        parts.table = Some(Arc::new(table));
        self.publish(&parts);
        true
    }

    /// Puts a list of evacuated failure domains in force if it is newer than the one in force; whether
    /// it was. Requests under way see it too, since each attempt asks the servers themselves.
    pub fn offer_evacuations(&self, now: Moment, list: EvacuationList, origin: NewsOrigin) -> bool {
        let mut parts = self.parts();
        let before = parts.evacuations.as_ref();
        if before.is_some_and(|before| before.position >= list.position) {
            return false;
        }
        if before.map_or(!list.domains.is_empty(), |before| before.domains != list.domains) {
            tracing::info!(
                event = "evacuations_in_force",
                failure_domains = list.name_domains(),
                position = list.position.0,
                source = %origin
            );
            metrics::gauge!("streamfold_evacuated_failure_domains").set(list.domains.len() as f64);
        }
        parts.set_evacuations(now, list);
        self.generation.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// The evacuated failure domains, if anybody has told.
    pub fn evacuations(&self) -> Option<EvacuationList> {
        self.parts().evacuations.clone()
    }

    /// Takes changes of a topic.
    pub fn apply(&self, now: Moment, changes: Vec<FeedChange>, topic: FeedTopic, origin: NewsOrigin) {
        let is_first = topic != FeedTopic::Routes && !self.knows_any(topic);
        if is_first && !changes.is_empty() {
            tracing::info!(event = "listed", topic = %topic, entries = changes.len(), source = %origin);
        }
        // A line for each of a thousand nodes at each of them would be a million of them when all start again.
        let is_many = changes.len() > MAX_NAMED_NODES;
        if is_many && !is_first && topic == FeedTopic::Nodes {
            tracing::info!(event = "nodes_seen", entries = changes.len(), source = %origin);
        }
        let mut is_changed = false;
        for change in changes {
            match change {
                FeedChange::Put(FeedItem::Routes(table)) => {
                    self.offer_table(*table, origin);
                }
                FeedChange::Put(FeedItem::Server(entry)) => is_changed |= self.put_server(now, &entry, is_first),
                FeedChange::Put(FeedItem::Node(entry)) => {
                    is_changed |= self.put_node(entry, origin, is_first || is_many);
                }
                // Known as a whole.
                FeedChange::Put(FeedItem::Evacuation(_)) => {}
                FeedChange::Put(FeedItem::Crash(entry)) => self.quarantine.put(now, entry, origin),
                FeedChange::Removed(entry) => is_changed |= self.remove(now, topic, &entry),
            }
        }
        // Also what is not in the view, such as doubt, is passed on to other nodes.
        self.generation.fetch_add(1, Ordering::Relaxed);
        if !is_changed {
            return;
        }
        let mut parts = self.parts();
        if topic == FeedTopic::Nodes {
            parts.choose_peers(&self.place);
        }
        self.publish(&parts);
    }

    /// Counts changes: while it stays the same, so do the entries and the routes.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    /// Takes all of a topic: what is not in it any more is gone.
    pub fn replace(&self, now: Moment, items: Vec<FeedItem>, topic: FeedTopic, origin: NewsOrigin) {
        let listed: HashSet<String> = items.iter().map(item_name).collect();
        let known: Vec<String> = match topic {
            FeedTopic::Routes | FeedTopic::Evacuations => Vec::new(),
            FeedTopic::Servers => self.parts().servers.keys().map(ToString::to_string).collect(),
            FeedTopic::Nodes => self.parts().nodes.keys().map(ToString::to_string).collect(),
            FeedTopic::Crashes => self.quarantine.contents().iter().map(ToString::to_string).collect(),
        };
        let gone = known.into_iter().filter(|name| !listed.contains(name));
        let gone = gone.map(RemovedEntry::any).map(FeedChange::Removed);
        let changes = items.into_iter().map(FeedChange::Put).chain(gone).collect();
        self.apply(now, changes, topic, origin);
    }

    fn knows_any(&self, topic: FeedTopic) -> bool {
        let parts = self.parts();
        match topic {
            FeedTopic::Routes => parts.table.is_some(),
            FeedTopic::Servers => !parts.servers.is_empty(),
            FeedTopic::Nodes => !parts.nodes.is_empty(),
            FeedTopic::Evacuations => parts.evacuations.is_some(),
            FeedTopic::Crashes => true,
        }
    }

    /// Takes a server's entry; one of the first listing has no line of its own, since thousands of
    /// them would push all others out of the log's buffer.
    fn put_server(&self, now: Moment, entry: &ServerEntry, is_first: bool) -> bool {
        let mut parts = self.parts();
        if parts.servers.get(&entry.id).is_some_and(|server| entry.start < server.start) {
            // An older run's entry by a slower way.
            return false;
        }
        parts.doubtful.remove(&entry.id);
        parts.end_run_before(entry);
        if let Some(server) = parts.servers.get(&entry.id) {
            server.set_doubtful(false);
            if !entry.warmup.is_zero() && server.state().warmup_left(now).is_zero() {
                tracing::info!(event = "server_cold", server = %entry.id, left_ms = entry.warmup.as_millis() as u64);
            }
            server.state().record_warmup(now, entry.warmup);
            if !entry.is_draining || server.is_leaving() {
                return false;
            }
            tracing::info!(event = "server_leaving", server = %entry.id, service = %entry.service);
            server.mark_leaving();
            return true;
        }
        if !is_first {
            tracing::info!(
                event = "server_seen",
                server = %entry.id,
                service = %entry.service,
                address = %entry.address,
                start = %entry.start,
                draining = entry.is_draining
            );
        }
        let shared = parts.share(&entry.domain, &self.place);
        let server = Server::new(entry, shared, now);
        parts.servers.insert(entry.id.clone(), server);
        parts.budgets.entry(entry.service.clone()).or_default();
        true
    }

    fn put_node(&self, entry: NodeEntry, origin: NewsOrigin, is_unnamed: bool) -> bool {
        let mut parts = self.parts();
        let known = parts.nodes.get(&entry.node);
        // What another node tells may be older than what the store has told.
        let is_older = known.is_some_and(|known| entry.incarnation < known.incarnation);
        if known == Some(&entry) || (is_older && origin == NewsOrigin::Peer) {
            return false;
        }
        if !is_unnamed {
            tracing::info!(
                event = "node_seen",
                node = %entry.node,
                incarnation = %entry.incarnation,
                address = %entry.peer_address
            );
        }
        parts.nodes.insert(entry.node.clone(), entry);
        true
    }

    fn remove(&self, now: Moment, topic: FeedTopic, removed: &RemovedEntry) -> bool {
        let mut parts = self.parts();
        let name = removed.name.as_str();
        match topic {
            FeedTopic::Routes | FeedTopic::Evacuations => false,
            FeedTopic::Crashes => {
                if let Ok(content) = name.parse() {
                    self.quarantine.remove(content);
                }
                false
            }
            FeedTopic::Nodes => {
                let gone = name.parse::<NodeId>().ok().and_then(|node| parts.nodes.remove(&node));
                let Some(gone) = gone else { return false };
                tracing::info!(event = "node_gone", node = name);
                parts.gone_nodes.push((gone, now.plus(self.place.spent_for)));
                true
            }
            FeedTopic::Servers => {
                let Ok(id) = name.parse::<ServerId>() else { return false };
                let Some(server) = parts.servers.get(&id) else { return false };
                if removed.start != ServerStart(0) && removed.start < server.start {
                    return false;
                }
                if server.is_leaving() {
                    return parts.drop_server(&id);
                }
                tracing::info!(event = "server_doubtful", server = %id, service = %server.service);
                server.set_doubtful(true);
                parts.doubtful.entry(id).or_insert(now.plus(DOUBT));
                false
            }
        }
    }

    /// Whether a node is registered.
    pub fn has_node(&self, node: &NodeId) -> bool {
        self.parts().nodes.contains_key(node)
    }

    /// The nodes of this one's failure domain, itself included.
    pub fn neighbours(&self) -> Vec<NodeEntry> {
        self.parts().nodes_of(&self.place.domain)
    }

    /// The nodes of the failure domain of a node, itself included; none if it is not known.
    pub fn neighbours_of(&self, node: &NodeId) -> Vec<NodeEntry> {
        let parts = self.parts();
        parts.nodes.get(node).map_or_else(Vec::new, |entry| parts.nodes_of(&entry.domain))
    }

    /// How many servers are known.
    pub fn count_servers(&self) -> usize {
        self.parts().servers.len()
    }

    /// The entries of servers and nodes known, for another node.
    pub fn entries(&self, now: Moment) -> (Vec<ServerEntry>, Vec<NodeEntry>) {
        let parts = self.parts();
        let servers = parts.servers.values().filter(|server| !server.is_doubtful()).map(|server| server.entry(now));
        (servers.collect(), parts.nodes.values().cloned().collect())
    }

    /// Drops doubtful servers that did not come back and closes connections that rested long.
    pub fn sweep(&self, now: Moment) {
        let mut parts = self.parts();
        let overdue: Vec<ServerId> =
            parts.doubtful.iter().filter(|(_, until)| **until <= now).map(|(id, _)| id.clone()).collect();
        for id in &overdue {
            parts.doubtful.remove(id);
            parts.drop_server(id);
        }
        parts.servers.values().for_each(|server| server.sweep(now));
        let counted = parts.gone_nodes.len();
        parts.gone_nodes.retain(|(_, until)| now < *until);
        if !overdue.is_empty() || parts.gone_nodes.len() < counted {
            self.publish(&parts);
        }
    }
}

fn item_name(item: &FeedItem) -> String {
    match item {
        FeedItem::Routes(_) => String::new(),
        FeedItem::Server(entry) => entry.id.to_string(),
        FeedItem::Node(entry) => entry.node.to_string(),
        FeedItem::Evacuation(domain) => domain.to_string(),
        FeedItem::Crash(entry) => entry.content.to_string(),
    }
}
