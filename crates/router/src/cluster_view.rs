//! The immutable view of the cluster that one request works with: active routes and the known servers and nodes.

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

use crate::call_latencies::CallLatencies;
use crate::call_line::CallQueue;
use crate::call_waits::CallWaits;
use crate::peers::PeerNode;
use crate::server::Server;
use crate::settings::ColdCallSettings;

/// The least number of a shard's servers for which the measured pace is used to choose among them: with two servers, a
/// second call to the other one reveals as much. Services that are not shards are excluded: a node calls them too
/// rarely and their service times vary too much to tell a server's pace from chance.
const MIN_COMPARABLE: usize = 3;
/// The number of nodes assumed while none is known.
const ASSUMED_NODES: usize = 8;

/// A service with its servers. A server for a request is only chosen from [`Service::usable`], so that no choice can
/// bypass an exclusion.
pub struct Service {
    name: ServiceName,
    servers: Vec<Arc<Server>>,
    /// Failure domains that have any of the servers.
    domains: BTreeSet<FailureDomain>,
    /// Whether the service is a shard of a route.
    is_shard: bool,
    /// Whether there are, or were until some left, enough servers to choose among them by measured pace.
    is_comparable: bool,
    budget: Arc<Mutex<ExtraBudget>>,
    queue: Option<Arc<CallQueue>>,
}

impl Service {
    /// Creates a service without servers, with the extra calls used so far and the queue of its calls, if it has one.
    pub(crate) fn new(
        name: ServiceName,
        is_shard: bool,
        budget: Arc<Mutex<ExtraBudget>>,
        queue: Option<Arc<CallQueue>>,
    ) -> Self {
        Self { name, servers: Vec::new(), domains: BTreeSet::new(), is_shard, is_comparable: false, budget, queue }
    }

    pub(crate) fn add(&mut self, server: Arc<Server>) {
        if !self.domains.contains(&server.domain) {
            self.domains.insert(server.domain.clone());
        }
        self.servers.push(server);
    }

    /// The servers that a request with these allowed regions may be sent to.
    pub fn usable<'a>(
        &'a self,
        now: Moment,
        allowed_regions: &'a AllowedRegions,
    ) -> impl Iterator<Item = &'a Arc<Server>> {
        self.servers.iter().filter(move |server| server.find_exclusion(now, allowed_regions).is_none())
    }

    /// All servers, including excluded ones.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.servers.iter()
    }

    /// Whether there are, or were until some left, enough servers to choose among them by measured pace.
    pub(crate) fn is_comparable(&self) -> bool {
        self.is_comparable
    }

    /// The number of servers, and of those that are neither doubtful, unreachable nor slow.
    pub(crate) fn health(&self, now: Moment) -> ServiceHealth {
        let is_good =
            |server: &&Arc<Server>| !server.is_doubtful() && !server.is_unreachable(now) && !server.is_slow(now);
        ServiceHealth { servers: self.servers.len(), good: self.servers.iter().filter(is_good).count() }
    }

    /// The queue of the service's calls, if it has one.
    pub fn queue(&self) -> Option<&Arc<CallQueue>> {
        self.queue.as_ref()
    }

    /// Whether any of the servers may have capacity for one more call.
    pub fn has_capacity(&self, now: Moment) -> bool {
        let live = self.servers.iter().filter(|server| !server.has_left(now) && !server.is_unreachable(now));
        live.filter(|server| server.has_capacity(now)).any(|server| !server.state().is_avoided(now))
    }

    /// Counts the servers that a request with these allowed regions may not use, by exclusion, for the log.
    pub fn count_exclusions(&self, now: Moment, allowed_regions: &AllowedRegions) -> BTreeMap<ServerExclusion, usize> {
        let mut counts = BTreeMap::new();
        for exclusion in self.servers.iter().filter_map(|server| server.find_exclusion(now, allowed_regions)) {
            *counts.entry(exclusion).or_default() += 1;
        }
        counts
    }

    /// The budget of this node's extra calls to the service.
    pub fn budget(&self) -> MutexGuard<'_, ExtraBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The measured latencies of one route's calls to servers.
pub type RouteLatencies = Arc<CallLatencies>;

/// The number of nodes of a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// All nodes.
    pub all: usize,
    /// The owners among them.
    pub owners: usize,
}

/// The state of the cluster at one time.
pub struct ClusterView {
    /// The active routes; `None` until there are any.
    pub table: Option<Arc<RouteTable>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Recent queueing times of calls.
    pub waits: Arc<CallWaits>,
    /// Services used by routes of different priority.
    pub(crate) mixed_priority_services: Arc<HashSet<ServiceName>>,
    /// Measured latencies by route.
    pub latencies: HashMap<RouteName, RouteLatencies>,
    /// Selectors of the service for a request, by split route.
    pub(crate) split_selectors: HashMap<RouteName, Arc<SplitSelector>>,
    /// Number of nodes by failure domain, including this one and nodes that left recently.
    pub nodes: HashMap<FailureDomain, NodeCount>,
    /// Whether this node is an owner in its failure domain.
    pub is_owner: bool,
    /// Nodes that this one stays connected to.
    pub peers: Vec<Arc<PeerNode>>,
    /// The nodes that grant credit in each failure domain; empty if no team has a limit.
    pub(crate) granters: BTreeMap<FailureDomain, Vec<NodeEntry>>,
    /// The owners of this node's failure domain, sorted by name, including those that left recently.
    pub near_owners: Vec<NodeId>,
}

impl ClusterView {
    /// The selector of a route that is split over several services.
    pub fn split_selector(&self, route: &RouteName) -> Option<&SplitSelector> {
        self.split_selectors.get(route).map(|selector| &**selector)
    }

    /// The number of nodes among which shared limits are divided.
    pub fn node_count(&self) -> usize {
        match self.nodes.values().map(|count| count.all).sum() {
            0 => ASSUMED_NODES,
            count => count,
        }
    }

    /// This node's part of the fleet's allowance of extra calls to a service.
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

    /// Marks the shards that have, or had in the previous view, enough servers to choose among them by measured pace:
    /// when others leave, telling the remaining servers apart matters most.
    pub(crate) fn mark_comparable(&mut self, before: &Self) {
        for (name, service) in &mut self.services {
            let was_comparable = before.services.get(name).is_some_and(|service| service.is_comparable);
            let remaining = service.servers.iter().filter(|server| !server.is_doubtful()).count();
            service.is_comparable = service.is_shard && (was_comparable || remaining >= MIN_COMPARABLE);
        }
    }

    /// Sets for each server how many connections this node may open to it, and how many calls per second this node may
    /// make while the server is cold.
    pub(crate) fn assign_shares(&self, node: &NodeId, cold_calls: Option<ColdCallSettings>) {
        for service in self.services.values() {
            service.servers.iter().for_each(|server| server.state().set_comparable(service.is_comparable));
        }
        for server in self.services.values().flat_map(|service| &service.servers) {
            server.set_connection_limit(self.connection_share(server));
            server.set_cold_quota(cold_calls.and_then(|limit| self.cold_quota(server, node, limit)));
        }
    }

    /// Calls per second that this node may make to a cold server; `None` if they are not limited.
    fn cold_quota(&self, server: &Server, node: &NodeId, limit: ColdCallSettings) -> Option<u32> {
        let rate = self.table.as_ref()?.service(&server.service)?.warmup_rate?;
        if server.distance != Distance::Domain {
            return Some(0);
        }
        let bound = ColdBound { rate, excess: limit.excess, allowance: limit.allowance };
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
        divide_connections(spec.max_connections, nodes, owners, self.node_role(server))
    }

    fn node_role(&self, server: &Server) -> NodeRole {
        NodeRole { is_near: server.distance == Distance::Domain, is_owner: self.is_owner }
    }
}
