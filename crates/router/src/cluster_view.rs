//! What one request works with: the routes in force and the servers and nodes known then.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use streamfold_model::{AllowedRegions, FailureDomain, NodeEntry, NodeId, RouteName, RouteTable, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::budget_share::{BudgetNode, BudgetNodes, divide_allowance};
use streamfold_policy::cold_limit::{ColdBound, cold_call_quota};
use streamfold_policy::extra_budget::ExtraBudget;
use streamfold_policy::owner::{NodeCounts, NodeRole, divide_connections};
use streamfold_policy::replica::Distance;
use streamfold_policy::server_exclusion::ServerExclusion;
use streamfold_policy::shard_health::ServiceHealth;
use streamfold_policy::split_rule::SplitSelector;

use crate::call_line::CallLine;
use crate::call_waits::CallWaits;
use crate::peers::PeerNode;
use crate::server::Server;
use crate::settings::ColdCallSettings;
use crate::times::CallTimes;

/// Servers of a shard from which on the measured pace chooses among them: between two a second call tells as much. A
/// node calls a service that answers alone too seldom, and its work spreads too widely, to tell a pace from luck.
const MIN_COMPARED: usize = 3;
/// Nodes counted on while none is known.
const ASSUMED_NODES: usize = 8;

/// A service with its servers. They are reached only through [`Service::usable`], so that no way of
/// choosing one can pass over what bars it.
pub struct Service {
    name: ServiceName,
    servers: Vec<Arc<Server>>,
    /// Failure domains that have any of them.
    domains: BTreeSet<FailureDomain>,
    /// Whether it is a shard of a route.
    is_shard: bool,
    /// Whether it has, or had until some left, enough servers to choose among them by their measured pace.
    is_compared: bool,
    budget: Arc<Mutex<ExtraBudget>>,
    line: Option<Arc<CallLine>>,
}

impl Service {
    /// A service without servers, with what was spent on it.
    pub(crate) fn new(
        name: ServiceName,
        is_shard: bool,
        budget: Arc<Mutex<ExtraBudget>>,
        line: Option<Arc<CallLine>>,
    ) -> Self {
        Self { name, servers: Vec::new(), domains: BTreeSet::new(), is_shard, is_compared: false, budget, line }
    }

    pub(crate) fn add(&mut self, server: Arc<Server>) {
        if !self.domains.contains(&server.domain) {
            self.domains.insert(server.domain.clone());
        }
        self.servers.push(server);
    }

    /// The servers that a request with these homes may be sent to.
    pub fn usable<'a>(&'a self, now: Moment, homes: &'a AllowedRegions) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers.iter().filter(move |server| server.find_bar(now, homes).is_none())
    }

    /// Its servers, whatever bars them.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.iter()
    }

    /// Whether it has, or had until some left, enough servers to choose among them by their measured pace.
    pub(crate) fn is_compared(&self) -> bool {
        self.is_compared
    }

    /// How many of its servers are good ones now.
    pub(crate) fn standing(&self, now: Moment) -> ServiceHealth {
        let is_good = |server: &&Arc<Server>| !server.is_doubtful() && !server.is_dark(now) && !server.is_slow(now);
        ServiceHealth { servers: self.servers.len(), good: self.servers.iter().filter(is_good).count() }
    }

    /// Where its calls wait, if they do.
    pub fn line(&self) -> Option<&Arc<CallLine>> {
        self.line.as_ref()
    }

    /// Whether a call of some request may find room at one of its servers.
    pub fn has_room(&self, now: Moment) -> bool {
        let live = self.servers.iter().filter(|server| !server.is_leaving() && !server.is_dark(now));
        live.filter(|server| server.has_room(now)).any(|server| !server.state().is_avoided(now))
    }

    /// How many of its servers each bar keeps requests with these homes from, for the log.
    pub fn count_bars(&self, now: Moment, homes: &AllowedRegions) -> BTreeMap<ServerExclusion, usize> {
        let mut counts = BTreeMap::new();
        for bar in self.servers.iter().filter_map(|server| server.find_bar(now, homes)) {
            *counts.entry(bar).or_default() += 1;
        }
        counts
    }

    /// Extra calls spent on it by this node.
    pub fn budget(&self) -> MutexGuard<'_, ExtraBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Latencies of one route's calls to servers.
pub type RouteTimes = Arc<CallTimes>;

/// Nodes of a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// All of them.
    pub all: usize,
    /// Its owners.
    pub owners: usize,
}

/// What one request works with.
pub struct ClusterView {
    /// The routes in force, once there are any.
    pub table: Option<Arc<RouteTable>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// How long calls waited lately.
    pub waits: Arc<CallWaits>,
    /// Services that requests of different priority use.
    pub(crate) mixed: Arc<HashSet<ServiceName>>,
    /// Latencies by route.
    pub times: HashMap<RouteName, RouteTimes>,
    /// Turns of the services of a route, by route.
    pub(crate) turns: HashMap<RouteName, Arc<SplitSelector>>,
    /// Nodes by failure domain, this one included; also those that were there until lately.
    pub nodes: HashMap<FailureDomain, NodeCount>,
    /// Whether this node is an owner in its failure domain.
    pub is_owner: bool,
    /// Nodes that this one keeps links to.
    pub peers: Vec<Arc<PeerNode>>,
    /// The nodes of each failure domain that give credit; none where no team is limited.
    pub(crate) lenders: BTreeMap<FailureDomain, Vec<NodeEntry>>,
    /// The owners of this node's failure domain by name, also those that were there until lately.
    pub near_owners: Vec<NodeId>,
}

impl ClusterView {
    /// The turns of a route's services, if there are several.
    pub fn turns(&self, route: &RouteName) -> Option<&SplitSelector> {
        self.turns.get(route).map(|turns| &**turns)
    }

    /// Nodes that share what is divided among all of them.
    pub fn node_count(&self) -> usize {
        match self.nodes.values().map(|count| count.all).sum() {
            0 => ASSUMED_NODES,
            count => count,
        }
    }

    /// This node's part of an allowance of extra calls to a service.
    pub fn divide_allowance(&self, allowance: f64, service: &Service, node: &NodeId) -> f64 {
        let owners_of = |domain: &FailureDomain| self.nodes.get(domain).map_or(0, |count| count.owners);
        let nodes = BudgetNodes {
            all: self.node_count(),
            owners: match self.nodes.values().map(|count| count.owners).sum() {
                0 => self.node_count(),
                count => count,
            },
            near_owners: service.domains.iter().map(owners_of).sum(),
            is_shard: service.is_shard,
        };
        let is_near = service.servers.iter().any(|server| server.distance == Distance::Domain);
        let node = BudgetNode { name: node.as_str(), is_owner: self.is_owner, is_near };
        divide_allowance(allowance, service.name.as_str(), nodes, node)
    }

    /// Finds the services that are, or were in the view before, wide enough to choose by measured pace: the servers that
    /// are left when others go must be told apart most of all.
    pub(crate) fn compare_servers(&mut self, before: &Self) {
        for (name, service) in &mut self.services {
            let was_compared = before.services.get(name).is_some_and(|service| service.is_compared);
            let staying = service.servers.iter().filter(|server| !server.is_doubtful()).count();
            service.is_compared = service.is_shard && (was_compared || staying >= MIN_COMPARED);
        }
    }

    /// Tells each server how many connections this node may have to it, and how many calls it may make
    /// while the server is cold.
    pub(crate) fn share_out(&self, node: &NodeId, cold_calls: Option<ColdCallSettings>) {
        for service in self.services.values() {
            service.servers.iter().for_each(|server| server.state().set_comparable(service.is_compared));
        }
        for server in self.services.values().flat_map(|service| &service.servers) {
            server.set_share(self.connection_share(server));
            server.set_cold_share(cold_calls.and_then(|cold| self.cold_share(server, node, cold)));
        }
    }

    /// Calls a second that this node may make to a server while it is cold, if they are bounded.
    fn cold_share(&self, server: &Server, node: &NodeId, cold: ColdCallSettings) -> Option<u32> {
        let rate = self.table.as_ref()?.service(&server.service)?.warmup_rate?;
        if server.distance != Distance::Domain {
            return Some(0);
        }
        let bound = ColdBound { rate, excess: cold.excess, allowance: cold.allowance };
        let owners: Vec<&str> = self.near_owners.iter().map(NodeId::as_str).collect();
        Some(cold_call_quota(bound, &owners, node.as_str(), server.id.as_str()))
    }

    fn connection_share(&self, server: &Server) -> u32 {
        let spec = self.table.as_ref().and_then(|table| table.service(&server.service));
        let Some(spec) = spec else { return 1 };
        let near = self.nodes.get(&server.domain).copied().unwrap_or_default();
        let owners = self.nodes.values().map(|count| count.owners).sum::<usize>();
        let nodes = NodeCounts { near: near.all, far: self.node_count() - near.all };
        let owners = NodeCounts { near: near.owners, far: owners - near.owners };
        divide_connections(spec.max_connections, nodes, owners, self.caller_kind(server))
    }

    fn caller_kind(&self, server: &Server) -> NodeRole {
        NodeRole { is_near: server.distance == Distance::Domain, is_owner: self.is_owner }
    }
}
