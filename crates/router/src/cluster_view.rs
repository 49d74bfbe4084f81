//! What one request works with: the routes in force and the servers and nodes known then.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use streamfold_model::{FailureDomain, RouteName, RouteTable, ServiceName};
use streamfold_policy::extra_budget::ExtraBudget;
use streamfold_policy::owner::{CallingNodes, divide_connections};
use streamfold_policy::replica::Distance;
use streamfold_policy::split_rule::SplitTurns;

use crate::peers::PeerNode;
use crate::server::Server;
use crate::times::CallTimes;

/// Nodes counted on while none is known.
const ASSUMED_NODES: usize = 8;

/// A service with the servers that may get work.
pub struct Service {
    /// The servers.
    pub servers: Vec<Arc<Server>>,
    pub(crate) budget: Arc<Mutex<ExtraBudget>>,
}

impl Service {
    /// Extra calls spent on it by this node.
    pub fn budget(&self) -> MutexGuard<'_, ExtraBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Latencies of one route's calls to servers.
pub type RouteTimes = Arc<CallTimes>;

/// What one request works with.
pub struct ClusterView {
    /// The routes in force, once there are any.
    pub table: Option<Arc<RouteTable>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Latencies by route.
    pub times: HashMap<RouteName, RouteTimes>,
    /// Turns of the services of a route, by route.
    pub(crate) turns: HashMap<RouteName, Arc<SplitTurns>>,
    /// Nodes by failure domain, this one included; also those that were there until lately.
    pub nodes: HashMap<FailureDomain, usize>,
    /// Nodes of other failure domains that this one keeps links to.
    pub peers: Vec<Arc<PeerNode>>,
}

impl ClusterView {
    /// The turns of a route's services, if there are several.
    pub fn turns(&self, route: &RouteName) -> Option<&SplitTurns> {
        self.turns.get(route).map(|turns| &**turns)
    }

    /// Nodes that share what is divided among all of them.
    pub fn node_count(&self) -> usize {
        match self.nodes.values().sum() {
            0 => ASSUMED_NODES,
            count => count,
        }
    }

    /// Connections that this node may have to a server.
    pub(crate) fn connection_share(&self, server: &Server) -> u32 {
        let spec = self.table.as_ref().and_then(|table| table.service(&server.service));
        let Some(spec) = spec else { return 1 };
        let near = self.nodes.get(&server.domain).copied().unwrap_or(0);
        let nodes = CallingNodes { near, far: self.node_count() - near };
        divide_connections(spec.max_connections, nodes, server.distance == Distance::Domain)
    }
}
