//! What a node knows of the cluster, as it is changed; requests see it as a view.

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

use crate::call_line::CallLine;
use crate::call_waits::CallWaits;
use crate::cluster_place::ClusterPlace;
use crate::cluster_view::{ClusterView, NodeCount, RouteTimes, Service};
use crate::contention::find_contended;
use crate::domain::DomainState;
use crate::evacuation::EvacuationList;
use crate::lenders::choose_lenders;
use crate::peers::PeerNode;
use crate::server::{Server, ServerShared};
use crate::spell_book::SpellBook;

/// Nodes of each other failure domain that a node keeps links to.
const PEERS_PER_DOMAIN: usize = 4;
/// The parts of the view, changed under a lock.
#[derive(Default)]
pub(crate) struct ClusterParts {
    /// The routes in force.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// Servers, leaving ones too.
    pub(crate) servers: HashMap<ServerId, Arc<Server>>,
    /// Servers whose entry is gone, with the moment from which they are gone too.
    pub(crate) doubtful: HashMap<ServerId, Moment>,
    /// Extra calls spent, by service.
    pub(crate) budgets: HashMap<ServiceName, Arc<Mutex<ExtraBudget>>>,
    /// Calls that wait, by service, where calls do.
    lines: HashMap<ServiceName, Arc<CallLine>>,
    waits: Arc<CallWaits>,
    /// Services that requests of different priority use.
    mixed: Arc<HashSet<ServiceName>>,
    times: HashMap<RouteName, RouteTimes>,
    turns: HashMap<RouteName, Arc<SplitSelector>>,
    /// How long servers stay slow.
    spells: Arc<SpellBook>,
    /// Failure domains that have, or had, servers or nodes.
    domains: HashMap<FailureDomain, Arc<DomainState>>,
    /// The evacuated failure domains, once anybody has told.
    pub(crate) evacuations: Option<EvacuationList>,
    /// Nodes, this one included.
    pub(crate) nodes: HashMap<NodeId, NodeEntry>,
    /// Nodes that went, with the moment until which they count.
    pub(crate) gone_nodes: Vec<(NodeEntry, Moment)>,
    peers: HashMap<NodeId, Arc<PeerNode>>,
}

impl ClusterParts {
    /// What is known of a failure domain.
    fn domain(&mut self, name: &FailureDomain, place: &ClusterPlace) -> Arc<DomainState> {
        let is_evacuated = self.evacuations.as_ref().is_some_and(|list| list.domains.contains(name));
        let make = || {
            let domain = DomainState::new(name, place);
            domain.set_evacuated(is_evacuated);
            Arc::new(domain)
        };
        self.domains.entry(name.clone()).or_insert_with(make).clone()
    }

    /// The nodes of a failure domain.
    pub(crate) fn nodes_of(&self, domain: &FailureDomain) -> Vec<NodeEntry> {
        self.nodes.values().filter(|entry| entry.domain == *domain).cloned().collect()
    }

    /// What a server in a failure domain shares with others.
    pub(crate) fn share(&mut self, domain: &FailureDomain, place: &ClusterPlace) -> ServerShared {
        let domain = self.domain(domain, place);
        ServerShared { domain, spells: self.spells.clone(), mechanisms: place.mechanisms }
    }

    /// Puts a list of evacuated failure domains in force. The servers of one that is given back count as
    /// cold where calls to cold ones are bounded: their machines may have been stopped meanwhile, and
    /// their entries tell that only later.
    pub(crate) fn set_evacuations(&mut self, now: Moment, list: EvacuationList) {
        for domain in self.domains.values() {
            let is_evacuated = list.domains.contains(&domain.name);
            if domain.set_evacuated(is_evacuated) && !is_evacuated {
                let servers = self.servers.values().filter(|server| server.domain == domain.name);
                servers.for_each(|server| server.state().record_warmup(now, self.bounded_cold(&server.service)));
            }
        }
        self.evacuations = Some(list);
    }

    /// How long servers of a service stay cold, where calls to cold ones are bounded; else nothing.
    fn bounded_cold(&self, service: &ServiceName) -> Duration {
        let spec = self.table.as_ref().and_then(|table| table.service(service));
        spec.filter(|spec| spec.warmup_rate.is_some()).map_or(Duration::ZERO, |spec| spec.warmup_duration)
    }

    /// Ends what is known of an earlier run of a server: what was learnt of it holds for no other.
    pub(crate) fn end_run_before(&mut self, entry: &ServerEntry) {
        let Some(known) = self.servers.get(&entry.id).filter(|known| known.start < entry.start) else { return };
        tracing::info!(
            event = "server_restarted",
            server = %entry.id,
            service = %entry.service,
            address = %entry.address,
            before = %known.start,
            start = %entry.start
        );
        known.mark_leaving();
        self.servers.remove(&entry.id);
    }

    /// Drops a server; whether it was known.
    pub(crate) fn drop_server(&mut self, id: &ServerId) -> bool {
        let Some(server) = self.servers.remove(id) else { return false };
        server.mark_leaving();
        tracing::info!(event = "server_gone", server = %id, service = %server.service);
        true
    }

    /// Chooses the nodes to keep links to, a few owners of each failure domain, so that links grow
    /// with domains and not with nodes. In its own domain a node keeps links only to stronger ones.
    pub(crate) fn choose_peers(&mut self, place: &ClusterPlace) {
        let domains: BTreeSet<FailureDomain> = self.nodes.values().map(|entry| entry.domain.clone()).collect();
        let states = domains.into_iter().map(|domain| (domain.clone(), self.domain(&domain, place)));
        let states: HashMap<FailureDomain, Arc<DomainState>> = states.collect();
        let strongest = self.find_strongest();
        let is_owner = |entry: &NodeEntry| {
            let strongest = strongest.get(&entry.domain).copied().flatten();
            placement::is_owner(entry.cpu_share, strongest)
        };
        let is_own_owner = self.nodes.get(&place.node).is_none_or(is_owner);
        let mut by_domain: HashMap<&FailureDomain, Vec<&NodeEntry>> = HashMap::new();
        for entry in self.nodes.values().filter(|entry| entry.domain != place.domain || !is_own_owner) {
            by_domain.entry(&entry.domain).or_default().push(entry);
        }
        let mut peers = HashMap::new();
        for (domain, entries) in by_domain {
            let owners = entries.iter().filter(|entry| is_owner(entry)).map(|entry| entry.node.as_str());
            let mut chosen = choose_owners(owners, place.node.as_str(), PEERS_PER_DOMAIN);
            if *domain != place.domain {
                // Others stand in where few owners are there and all of them are lost.
                let others = entries.iter().filter(|entry| !is_owner(entry)).map(|entry| entry.node.as_str());
                chosen.extend(choose_owners(others, place.node.as_str(), PEERS_PER_DOMAIN - chosen.len()));
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

    /// The processor of the strongest node of each failure domain, of those that went lately too.
    fn find_strongest(&self) -> HashMap<FailureDomain, Option<CoreShare>> {
        let gone = self.gone_nodes.iter().map(|(entry, _)| entry);
        let mut strongest: HashMap<FailureDomain, Option<CoreShare>> = HashMap::new();
        for entry in self.nodes.values().chain(gone) {
            let known = strongest.entry(entry.domain.clone()).or_default();
            *known = (*known).max(entry.cpu_share);
        }
        strongest
    }

    /// Keeps the latencies of routes that are in the new version too.
    pub(crate) fn keep_times(&mut self, table: &RouteTable) {
        let mut old = std::mem::take(&mut self.times);
        let mut keep = |name: &RouteName| old.remove(name).unwrap_or_default();
        self.times = table.routes().iter().map(|route| (route.name.clone(), keep(&route.name))).collect();
    }

    /// Goes on with the turns of splits that are in the new version too.
    pub(crate) fn keep_turns(&mut self, table: &RouteTable) {
        let mut old = std::mem::take(&mut self.turns);
        let mut keep = |name: &RouteName| {
            let known = old.remove(name);
            known.unwrap_or_else(|| Arc::new(SplitSelector::new(rand::random())))
        };
        let is_split = |route: &&Arc<RouteSpec>| matches!(&route.target, RouteTarget::Split(parts) if parts.len() > 1);
        let splits = table.routes().iter().filter(is_split);
        self.turns = splits.map(|route| (route.name.clone(), keep(&route.name))).collect();
    }

    /// Goes on with the lines of services whose calls wait in the new version too. Calls in another line go on
    /// waiting there, and look for room by themselves.
    pub(crate) fn keep_lines(&mut self, table: &RouteTable, place: &ClusterPlace) {
        let mut old = std::mem::take(&mut self.lines);
        self.mixed = Arc::new(table.mixed_priority_services());
        for (service, rule) in find_contended(table, &self.mixed, place) {
            let make = || CallLine::new(service.clone(), rule, self.waits.clone());
            let line = old.remove(&service).unwrap_or_else(make);
            line.set_rule(rule);
            self.lines.insert(service, line);
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

    /// The owners of a failure domain, also those that went lately: they may have called until then.
    fn owners_of(&self, domain: &FailureDomain) -> Vec<NodeId> {
        let strongest = self.find_strongest();
        let gone = self.gone_nodes.iter().map(|(entry, _)| entry);
        let here = self.nodes.values().chain(gone).filter(|entry| entry.domain == *domain);
        let owners = here.filter(|entry| placement::is_owner(entry.cpu_share, strongest[&entry.domain]));
        let names: BTreeSet<NodeId> = owners.map(|entry| entry.node.clone()).collect();
        names.into_iter().collect()
    }

    /// The nodes that give credit, where any team is limited.
    fn find_lenders(&self) -> BTreeMap<FailureDomain, Vec<NodeEntry>> {
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
        owners.into_iter().map(|(domain, nodes)| (domain, choose_lenders(&nodes))).collect()
    }

    /// Whether a node is an owner in its failure domain; one that is not known counts as none.
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

    /// The view of all this.
    pub(crate) fn build_view(&self, place: &ClusterPlace) -> ClusterView {
        let mut services: HashMap<ServiceName, Service> = HashMap::new();
        let shards = self.find_shards();
        for server in self.servers.values().filter(|server| !server.is_leaving()) {
            let make = || {
                let name = server.service.clone();
                let (is_shard, budget) = (shards.contains(&name), self.budgets.get(&name).cloned());
                let line = self.lines.get(&name).cloned();
                Service::new(name, is_shard, budget.unwrap_or_default(), line)
            };
            services.entry(server.service.clone()).or_insert_with(make).add(server.clone());
        }
        ClusterView {
            table: self.table.clone(),
            services,
            waits: self.waits.clone(),
            mixed: self.mixed.clone(),
            times: self.times.clone(),
            turns: self.turns.clone(),
            nodes: self.count_nodes(),
            is_owner: self.is_owner(&place.node),
            lenders: self.find_lenders(),
            near_owners: self.owners_of(&place.domain),
            peers: self.peers.values().cloned().collect(),
        }
    }
}
