//! A node's state of the cluster: routes, servers and other nodes. Requests read an immutable view that every change
//! replaces as a whole (read-copy-update).

use std::collections::HashSet;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use streamfold_model::{NodeEntry, NodeId, RouteTable, ServerEntry, ServerId, TableVersion};
use streamfold_policy::Moment;

use crate::cluster_parts::ClusterParts;
use crate::cluster_place::NodeContext;
use crate::cluster_view::ClusterView;
use crate::evacuation::EvacuationList;
use crate::interface::{FeedChange, FeedItem, FeedPosition, FeedTopic, RemovedEntry};
use crate::quarantine::CrashQuarantine;

/// The most nodes of one update that are logged one by one; of a larger update only the count is logged.
const MAX_LOGGED_NODES: usize = 16;

/// The source of an update to the cluster state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// The platform's store.
    Store,
    /// The reader: the node of the same failure domain that watches the store for this one.
    Reader,
    /// Another node, while the store is unavailable.
    Peer,
}

impl fmt::Display for UpdateOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Reader => "reader",
            Self::Peer => "peer",
        })
    }
}

/// How an update to the cluster state came about.
#[derive(Debug, Clone, Copy)]
pub struct UpdateContext {
    /// When it is applied.
    pub now: Moment,
    /// The topic.
    pub topic: FeedTopic,
    /// Who sent it.
    pub origin: UpdateOrigin,
    /// The position of the store's history up to which it is complete; the default if that is not known.
    pub position: FeedPosition,
    /// How long ago every entry that it removes was last known to be there, or the store failed.
    pub present_age: Option<Duration>,
}

/// The entries of servers and nodes at one time.
#[derive(Debug, Clone)]
pub struct ClusterEntries {
    /// The servers, without doubtful ones.
    pub servers: Vec<ServerEntry>,
    /// The position up to which all changes of servers are known.
    pub servers_position: FeedPosition,
    /// The nodes.
    pub nodes: Vec<NodeEntry>,
}

/// The state of the cluster as this node knows it.
pub struct Cluster {
    context: NodeContext,
    generation: AtomicU64,
    parts: Mutex<ClusterParts>,
    view: ArcSwap<ClusterView>,
    /// Request contents that crash servers.
    pub quarantine: CrashQuarantine,
}

impl Cluster {
    /// Creates the state without any routes, servers or nodes.
    pub fn new(context: NodeContext) -> Self {
        let parts = ClusterParts::default();
        let view = ArcSwap::from_pointee(parts.build_view(&context));
        let quarantine = CrashQuarantine::default();
        Self { context, generation: AtomicU64::new(0), parts: Mutex::new(parts), view, quarantine }
    }

    /// The current view, for a new request.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// The location of this node and the settings by which it judges servers.
    pub fn context(&self) -> &NodeContext {
        &self.context
    }

    /// The version of the active routes, 0 for none.
    pub fn version(&self) -> TableVersion {
        self.view.load().table.as_ref().map_or(TableVersion(0), |table| table.version)
    }

    pub(crate) fn parts(&self) -> MutexGuard<'_, ClusterParts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, parts: &ClusterParts) {
        self.generation.fetch_add(1, Ordering::Relaxed);
        let mut view = parts.build_view(&self.context);
        view.mark_comparable(&self.view.load());
        view.assign_shares(&self.context.node, self.context.cold_calls);
        self.view.store(Arc::new(view));
    }

    /// Activates routes if they are newer than the active ones; returns whether they were.
    pub fn offer_table(&self, table: RouteTable, origin: UpdateOrigin) -> bool {
        let mut parts = self.parts();
        let active = parts.table.as_ref().map_or(TableVersion(0), |table| table.version);
        if table.version <= active {
            return false;
        }
        tracing::info!(event = "routes_in_force", version = %table.version, before = %active, source = %origin);
        metrics::gauge!("streamfold_routes_version").set(table.version.0 as f64);
        parts.keep_latencies(&table);
        parts.keep_split_selectors(&table);
        parts.keep_queues(&table, &self.context);
        parts.table = Some(Arc::new(table));
        self.publish(&parts);
        true
    }

    /// Activates a list of evacuated failure domains if it is newer than the active one; returns whether it was.
    /// Requests in progress see it too, since each attempt checks the current state of the servers.
    pub fn offer_evacuations(&self, now: Moment, list: EvacuationList, origin: UpdateOrigin) -> bool {
        let mut parts = self.parts();
        let current = parts.evacuations.as_ref();
        if current.is_some_and(|current| current.position >= list.position) {
            return false;
        }
        if current.map_or(!list.domains.is_empty(), |current| current.domains != list.domains) {
            tracing::info!(
                event = "evacuations_in_force",
                failure_domains = list.format_domains(),
                position = list.position.0,
                source = %origin
            );
            metrics::gauge!("streamfold_evacuated_failure_domains").set(list.domains.len() as f64);
        }
        parts.set_evacuations(now, list);
        self.generation.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// The evacuated failure domains; `None` until a source has reported them.
    pub fn evacuations(&self) -> Option<EvacuationList> {
        self.parts().evacuations.clone()
    }

    /// Applies changes of a topic.
    pub fn apply(&self, changes: Vec<FeedChange>, context: &UpdateContext) {
        let UpdateContext { now, topic, origin, .. } = *context;
        let is_first = topic != FeedTopic::Routes && !self.has_entries(topic);
        if is_first && !changes.is_empty() {
            tracing::info!(event = "listed", topic = %topic, entries = changes.len(), source = %origin);
        }
        // With a thousand nodes, a log line per node at every node is a million lines when all of them restart.
        let is_many = changes.len() > MAX_LOGGED_NODES;
        if is_many && !is_first && topic == FeedTopic::Nodes {
            tracing::info!(event = "nodes_seen", entries = changes.len(), source = %origin);
        }
        let mut is_changed = false;
        for change in changes {
            match change {
                FeedChange::Put(FeedItem::Routes(table)) => {
                    self.offer_table(*table, origin);
                }
                FeedChange::Put(FeedItem::Server(entry)) => is_changed |= self.put_server(&entry, is_first, context),
                FeedChange::Put(FeedItem::Node(entry)) => {
                    is_changed |= self.put_node(entry, origin, is_first || is_many);
                }
                // The list of evacuations is only replaced as a whole.
                FeedChange::Put(FeedItem::Evacuation(_)) => {}
                FeedChange::Put(FeedItem::Crash(entry)) => self.quarantine.put(now, entry, origin),
                FeedChange::Removed(entry) => is_changed |= self.remove(&entry, context),
            }
        }
        if topic == FeedTopic::Servers {
            let mut parts = self.parts();
            parts.servers_position = parts.servers_position.max(context.position);
        }
        // Other nodes are also sent state that is not part of the view, such as which servers are doubtful.
        self.generation.fetch_add(1, Ordering::Relaxed);
        if !is_changed {
            return;
        }
        let mut parts = self.parts();
        if topic == FeedTopic::Nodes {
            parts.choose_peers(&self.context);
        }
        self.publish(&parts);
    }

    /// A counter of changes. While it is unchanged, entries and routes are unchanged.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    /// Replaces all entries of a topic; those that `items` lacks are removed.
    pub fn replace(&self, items: Vec<FeedItem>, context: &UpdateContext) {
        let listed: HashSet<String> = items.iter().map(item_name).collect();
        let known: Vec<String> = match context.topic {
            FeedTopic::Routes | FeedTopic::Evacuations => Vec::new(),
            FeedTopic::Servers => self.parts().servers.keys().map(ToString::to_string).collect(),
            FeedTopic::Nodes => self.parts().nodes.keys().map(ToString::to_string).collect(),
            FeedTopic::Crashes => self.quarantine.contents().iter().map(ToString::to_string).collect(),
        };
        let gone = known.into_iter().filter(|name| !listed.contains(name));
        let gone = gone.map(RemovedEntry::any).map(FeedChange::Removed);
        let changes = items.into_iter().map(FeedChange::Put).chain(gone).collect();
        self.apply(changes, context);
    }

    fn has_entries(&self, topic: FeedTopic) -> bool {
        let parts = self.parts();
        match topic {
            FeedTopic::Routes => parts.table.is_some(),
            FeedTopic::Servers => !parts.servers.is_empty(),
            FeedTopic::Nodes => !parts.nodes.is_empty(),
            FeedTopic::Evacuations => parts.evacuations.is_some(),
            FeedTopic::Crashes => true,
        }
    }

    fn put_node(&self, entry: NodeEntry, origin: UpdateOrigin, is_unlogged: bool) -> bool {
        let mut parts = self.parts();
        let known = parts.nodes.get(&entry.node);
        // An entry from another node may be older than the one from the store.
        let is_older = known.is_some_and(|known| entry.incarnation < known.incarnation);
        if known == Some(&entry) || (is_older && origin == UpdateOrigin::Peer) {
            return false;
        }
        if !is_unlogged {
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

    fn remove(&self, removed: &RemovedEntry, context: &UpdateContext) -> bool {
        let mut parts = self.parts();
        let name = removed.name.as_str();
        match context.topic {
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
                parts.gone_nodes.push((gone, context.now.plus(self.context.extra_call_window)));
                true
            }
            FeedTopic::Servers => self.remove_server(&mut parts, removed, context),
        }
    }

    /// Whether a node has an entry.
    pub fn has_node(&self, node: &NodeId) -> bool {
        self.parts().nodes.contains_key(node)
    }

    /// The nodes of this node's failure domain, including this one.
    pub fn neighbours(&self) -> Vec<NodeEntry> {
        self.parts().nodes_of(&self.context.domain)
    }

    /// The nodes of a node's failure domain, including that node; empty if the node is not known.
    pub fn neighbours_of(&self, node: &NodeId) -> Vec<NodeEntry> {
        let parts = self.parts();
        parts.nodes.get(node).map_or_else(Vec::new, |entry| parts.nodes_of(&entry.domain))
    }

    /// The number of known servers.
    pub fn count_servers(&self) -> usize {
        self.parts().servers.len()
    }

    /// The entries to send to another node.
    pub fn entries(&self, now: Moment) -> ClusterEntries {
        let parts = self.parts();
        let servers = parts.servers.values().filter(|server| !server.is_doubtful()).map(|server| server.entry(now));
        ClusterEntries {
            servers: servers.collect(),
            servers_position: parts.servers_position,
            nodes: parts.nodes.values().cloned().collect(),
        }
    }

    /// Removes doubtful servers whose grace period is over, takes entries of older runs that stand in the store, stops
    /// counting nodes that left, and closes connections that were idle too long.
    pub fn sweep(&self, now: Moment) {
        let mut parts = self.parts();
        let has_left = |id: &&ServerId| parts.servers.get(*id).is_none_or(|server| server.has_left(now));
        let expired: Vec<ServerId> = parts.doubtful.iter().filter(has_left).cloned().collect();
        for id in &expired {
            parts.remove_server(id);
        }
        parts.servers.values().for_each(|server| server.sweep(now));
        let gone_count = parts.gone_nodes.len();
        parts.gone_nodes.retain(|(_, until)| now < *until);
        let is_replaced = self.take_older_entries(&mut parts, now);
        if !expired.is_empty() || parts.gone_nodes.len() < gone_count || is_replaced {
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
