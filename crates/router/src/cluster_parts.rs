//! The mutable state of the cluster, from which the views that requests read are built.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use streamfold_model::{
    CoreShare, FailureDomain, NodeEntry, NodeId, RouteName, RouteSpec, RouteTable, RouteTarget, ServerEntry, ServerId,
    ServiceName, TeamDirectory,
};
use streamfold_policy::Moment;
use streamfold_policy::extra_budget::ExtraBudget;
use streamfold_policy::owner::choose_owners;
use streamfold_policy::placement;
use streamfold_policy::split_rule::SplitSelector;

use crate::call_line::CallQueue;
use crate::call_waits::CallWaits;
use crate::cluster_place::NodeContext;
use crate::cluster_view::{ClusterView, NodeCount, RouteLatencies, Service};
use crate::contention::find_contended;
use crate::domain::DomainState;
use crate::evacuation::EvacuationList;
use crate::granters::choose_granters;
use crate::interface::FeedPosition;
use crate::older_entries::OlderEntries;
use crate::peers::PeerNode;
use crate::server::{Server, ServerShared};
use crate::slow_periods::SlowPeriodTracker;

/// How many nodes of each other failure domain a node keeps connections to.
const PEERS_PER_DOMAIN: usize = 4;
/// The state of the cluster, changed under a lock.
#[derive(Default)]
pub(crate) struct ClusterParts {
    /// The active routes.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// All servers, including those that are leaving.
    pub(crate) servers: HashMap<ServerId, Arc<Server>>,
    /// The position up to which all changes of servers are known.
    pub(crate) servers_position: FeedPosition,
    /// Servers whose entry is gone and that are still used.
    pub(crate) doubtful: HashSet<ServerId>,
    /// Entries of older runs that the store took after those of the known runs.
    pub(crate) older_entries: OlderEntries,
    /// Used extra calls by service.
    pub(crate) budgets: HashMap<ServiceName, Arc<Mutex<ExtraBudget>>>,
    /// Queues of calls by service, for services with contention.
    queues: HashMap<ServiceName, Arc<CallQueue>>,
    waits: Arc<CallWaits>,
    /// Services used by routes of different priority.
    mixed_priority_services: Arc<HashSet<ServiceName>>,
    latencies: HashMap<RouteName, RouteLatencies>,
    split_selectors: HashMap<RouteName, Arc<SplitSelector>>,
    /// Statistics on how long servers stay slow.
    slow_periods: Arc<SlowPeriodTracker>,
    /// Failure domains that have or had servers or nodes.
    domains: HashMap<FailureDomain, Arc<DomainState>>,
    /// The evacuated failure domains; `None` until a source has reported them.
    pub(crate) evacuations: Option<EvacuationList>,
    /// All nodes, including this one.
    pub(crate) nodes: HashMap<NodeId, NodeEntry>,
    /// Nodes that left, with the time until which they still count.
    pub(crate) gone_nodes: Vec<(NodeEntry, Moment)>,
    peers: HashMap<NodeId, Arc<PeerNode>>,
}

impl ClusterParts {
    /// The state of a failure domain, created on first use.
    fn domain(&mut self, name: &FailureDomain, context: &NodeContext) -> Arc<DomainState> {
        let is_evacuated = self.evacuations.as_ref().is_some_and(|list| list.domains.contains(name));
        let make = || {
            let domain = DomainState::new(name, context);
            domain.set_evacuated(is_evacuated);
            Arc::new(domain)
        };
        self.domains.entry(name.clone()).or_insert_with(make).clone()
    }

    /// The nodes of a failure domain.
    pub(crate) fn nodes_of(&self, domain: &FailureDomain) -> Vec<NodeEntry> {
        self.nodes.values().filter(|entry| entry.domain == *domain).cloned().collect()
    }

    /// The state that a server in a failure domain shares with others.
    pub(crate) fn server_shared(&mut self, domain: &FailureDomain, context: &NodeContext) -> ServerShared {
        let domain = self.domain(domain, context);
        ServerShared { domain, slow_periods: self.slow_periods.clone(), mechanisms: context.mechanisms }
    }

    /// Activates a list of evacuated failure domains. When an evacuation ends, the domain's servers count as warming up
    /// where calls to such servers are limited: their machines may have been stopped in the meantime, which their
    /// entries show only later.
    pub(crate) fn set_evacuations(&mut self, now: Moment, list: EvacuationList) {
        for domain in self.domains.values() {
            let is_evacuated = list.domains.contains(&domain.name);
            if domain.set_evacuated(is_evacuated) && !is_evacuated {
                let servers = self.servers.values().filter(|server| server.domain == domain.name);
                servers.for_each(|server| server.state().record_warmup(now, self.limited_warmup(&server.service)));
            }
        }
        self.evacuations = Some(list);
    }

    /// The warm-up time of a service's servers if its calls to servers that warm up are limited, otherwise zero.
    fn limited_warmup(&self, service: &ServiceName) -> Duration {
        let spec = self.table.as_ref().and_then(|table| table.service(service));
        spec.filter(|spec| spec.warmup_rate.is_some()).map_or(Duration::ZERO, |spec| spec.warmup_duration)
    }

    /// Whether an entry in an update that is complete up to `position` is known to be gone: it was written before the
    /// position that this node knows, and the server had none there.
    pub(crate) fn is_known_gone(&self, entry: &ServerEntry, position: FeedPosition) -> bool {
        let has_entry = self.servers.get(&entry.id).is_some_and(|server| !server.is_doubtful());
        position < self.servers_position && !has_entry && self.servers_position.includes(entry.revision)
    }

    /// Removes another run of a server, whose measurements do not apply to the new one.
    pub(crate) fn retire_previous_run(&mut self, entry: &ServerEntry) {
        let Some(previous) = self.servers.get(&entry.id).filter(|previous| previous.start != entry.start) else {
            return;
        };
        tracing::info!(
            event = "server_restarted",
            server = %entry.id,
            service = %entry.service,
            address = %entry.address,
            before = %previous.start,
            start = %entry.start
        );
        previous.mark_leaving();
        self.servers.remove(&entry.id);
    }

    /// Removes a server; returns whether it was known.
    pub(crate) fn remove_server(&mut self, id: &ServerId) -> bool {
        self.doubtful.remove(id);
        self.older_entries.remove(id);
        let Some(server) = self.servers.remove(id) else { return false };
        server.mark_leaving();
        tracing::info!(event = "server_gone", server = %id, service = %server.service);
        true
    }

    /// Chooses the nodes to stay connected to: a few owners of each failure domain, so that the number of connections
    /// grows with the failure domains and not with the nodes. In its own failure domain an owner connects to no nodes
    /// and any other node to owners only.
    pub(crate) fn choose_peers(&mut self, context: &NodeContext) {
        let domains: BTreeSet<FailureDomain> = self.nodes.values().map(|entry| entry.domain.clone()).collect();
        let states = domains.into_iter().map(|domain| (domain.clone(), self.domain(&domain, context)));
        let states: HashMap<FailureDomain, Arc<DomainState>> = states.collect();
        let strongest = self.find_strongest();
        let is_owner = |entry: &NodeEntry| {
            let strongest = strongest.get(&entry.domain).copied().flatten();
            placement::is_owner(entry.cpu_share, strongest)
        };
        let is_self_owner = self.nodes.get(&context.node).is_none_or(is_owner);
        let mut by_domain: HashMap<&FailureDomain, Vec<&NodeEntry>> = HashMap::new();
        for entry in self.nodes.values().filter(|entry| entry.domain != context.domain || !is_self_owner) {
            by_domain.entry(&entry.domain).or_default().push(entry);
        }
        let mut peers = HashMap::new();
        for (domain, entries) in by_domain {
            let owners = entries.iter().filter(|entry| is_owner(entry)).map(|entry| entry.node.as_str());
            let mut chosen = choose_owners(owners, context.node.as_str(), PEERS_PER_DOMAIN);
            if *domain != context.domain {
                // Where a failure domain has few owners, other nodes fill up, in case all of the owners are lost.
                let others = entries.iter().filter(|entry| !is_owner(entry)).map(|entry| entry.node.as_str());
                chosen.extend(choose_owners(others, context.node.as_str(), PEERS_PER_DOMAIN - chosen.len()));
            }
            for entry in entries.into_iter().filter(|entry| chosen.contains(&entry.node.as_str())) {
                let known = self.peers.get(&entry.node);
                let known = known.filter(|peer| peer.entry == *entry && peer.is_owner == is_owner(entry));
                let make = || PeerNode::new(entry.clone(), states[domain].clone(), is_owner(entry));
                peers.insert(entry.node.clone(), known.cloned().unwrap_or_else(make));
            }
        }
        self.peers = peers;
    }

    /// The largest CPU share of a node in each failure domain, including nodes that left recently.
    fn find_strongest(&self) -> HashMap<FailureDomain, Option<CoreShare>> {
        let gone = self.gone_nodes.iter().map(|(entry, _)| entry);
        let mut strongest: HashMap<FailureDomain, Option<CoreShare>> = HashMap::new();
        for entry in self.nodes.values().chain(gone) {
            let max_share = strongest.entry(entry.domain.clone()).or_default();
            *max_share = (*max_share).max(entry.cpu_share);
        }
        strongest
    }

    /// Keeps the measured latencies of routes that the new version still has.
    pub(crate) fn keep_latencies(&mut self, table: &RouteTable) {
        let mut old = std::mem::take(&mut self.latencies);
        let mut reuse = |name: &RouteName| old.remove(name).unwrap_or_default();
        self.latencies = table.routes().iter().map(|route| (route.name.clone(), reuse(&route.name))).collect();
    }

    /// Keeps the selectors of split routes that the new version still has.
    pub(crate) fn keep_split_selectors(&mut self, table: &RouteTable) {
        let mut old = std::mem::take(&mut self.split_selectors);
        let mut reuse = |name: &RouteName| {
            let existing = old.remove(name);
            existing.unwrap_or_else(|| Arc::new(SplitSelector::new(rand::random())))
        };
        let is_split = |route: &&Arc<RouteSpec>| matches!(&route.target, RouteTarget::Split(parts) if parts.len() > 1);
        let splits = table.routes().iter().filter(is_split);
        self.split_selectors = splits.map(|route| (route.name.clone(), reuse(&route.name))).collect();
    }

    /// Keeps the queues of services that still need one in the new version. Calls in a removed queue stay there and
    /// check for capacity periodically on their own.
    pub(crate) fn keep_queues(&mut self, table: &RouteTable, context: &NodeContext) {
        let mut old = std::mem::take(&mut self.queues);
        self.mixed_priority_services = Arc::new(table.mixed_priority_services());
        for (service, rule) in find_contended(table, &self.mixed_priority_services, context) {
            let make = || CallQueue::new(service.clone(), rule, self.waits.clone());
            let queue = old.remove(&service).unwrap_or_else(make);
            queue.set_rule(rule);
            self.queues.insert(service, queue);
        }
    }

    fn count_nodes(&self) -> HashMap<FailureDomain, NodeCount> {
        let strongest = self.find_strongest();
        let gone = self.gone_nodes.iter().map(|(entry, _)| entry);
        let mut counts: HashMap<FailureDomain, NodeCount> = HashMap::new();
        for entry in self.nodes.values().chain(gone) {
            let count = counts.entry(entry.domain.clone()).or_default();
            count.all += 1;
            count.owners += usize::from(placement::is_owner(entry.cpu_share, strongest[&entry.domain]));
        }
        counts
    }

    /// The owners of a failure domain, including those that left recently, since they may have made calls until then.
    fn owners_of(&self, domain: &FailureDomain) -> Vec<NodeId> {
        let strongest = self.find_strongest();
        let gone = self.gone_nodes.iter().map(|(entry, _)| entry);
        let here = self.nodes.values().chain(gone).filter(|entry| entry.domain == *domain);
        let owners = here.filter(|entry| placement::is_owner(entry.cpu_share, strongest[&entry.domain]));
        let names: BTreeSet<NodeId> = owners.map(|entry| entry.node.clone()).collect();
        names.into_iter().collect()
    }

    /// The nodes that grant credit in each failure domain; empty if no team has a limit.
    fn find_granters(&self) -> BTreeMap<FailureDomain, Vec<NodeEntry>> {
        let teams = self.table.as_ref().and_then(|table| table.teams());
        if !teams.is_some_and(TeamDirectory::has_limits) {
            return BTreeMap::new();
        }
        let strongest = self.find_strongest();
        let mut owners: BTreeMap<FailureDomain, Vec<&NodeEntry>> = BTreeMap::new();
        for entry in self.nodes.values().filter(|entry| placement::is_owner(entry.cpu_share, strongest[&entry.domain]))
        {
            owners.entry(entry.domain.clone()).or_default().push(entry);
        }
        owners.into_iter().map(|(domain, nodes)| (domain, choose_granters(&nodes))).collect()
    }

    /// Whether a node is an owner in its failure domain; `false` if the node is not known.
    fn is_owner(&self, node: &NodeId) -> bool {
        let strongest = self.find_strongest();
        let entry = self.nodes.get(node);
        entry.is_some_and(|entry| placement::is_owner(entry.cpu_share, strongest[&entry.domain]))
    }

    /// The services that are shards of routes.
    fn find_shards(&self) -> HashSet<ServiceName> {
        let routes = self.table.iter().flat_map(|table| table.routes());
        let gathered = routes.filter(|route| matches!(route.target, RouteTarget::Gather(_)));
        gathered.flat_map(|route| route.services()).cloned().collect()
    }

    /// Builds the view that requests read.
    pub(crate) fn build_view(&self, context: &NodeContext) -> ClusterView {
        let mut services: HashMap<ServiceName, Service> = HashMap::new();
        let shards = self.find_shards();
        for server in self.servers.values().filter(|server| !server.is_leaving()) {
            let make = || {
                let name = server.service.clone();
                let (is_shard, budget) = (shards.contains(&name), self.budgets.get(&name).cloned());
                let queue = self.queues.get(&name).cloned();
                Service::new(name, is_shard, budget.unwrap_or_default(), queue)
            };
            services.entry(server.service.clone()).or_insert_with(make).add(server.clone());
        }
        ClusterView {
            table: self.table.clone(),
            services,
            waits: self.waits.clone(),
            mixed_priority_services: self.mixed_priority_services.clone(),
            latencies: self.latencies.clone(),
            split_selectors: self.split_selectors.clone(),
            nodes: self.count_nodes(),
            is_owner: self.is_owner(&context.node),
            granters: self.find_granters(),
            near_owners: self.owners_of(&context.domain),
            peers: self.peers.values().cloned().collect(),
        }
    }
}
