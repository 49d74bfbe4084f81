//! Decides for which services calls are queued on this node: those for which requests of different priorities or teams
//! compete.

use std::collections::{HashMap, HashSet};

use streamfold_model::{RouteTable, ServiceName, TeamDirectory};
use streamfold_policy::Mechanism;
use streamfold_policy::call_order::{CallOrder, PriorityOrder};

use crate::cluster_place::NodeContext;

/// How the queued calls of a service are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRule {
    /// Whether calls of one priority are scheduled fairly between teams.
    pub by_team: bool,
}

impl QueueRule {
    /// Creates the call order of a new queue.
    pub fn order(self) -> Box<dyn CallOrder> {
        let order = PriorityOrder::default();
        Box::new(if self.by_team { order.with_fair_queueing() } else { order })
    }
}

/// The services whose calls are queued under the current settings and routes: those used by requests of different
/// priorities and, if teams have limits, all services whose routes require API keys.
pub fn find_contended(
    table: &RouteTable,
    mixed: &HashSet<ServiceName>,
    context: &NodeContext,
) -> HashMap<ServiceName, QueueRule> {
    if !context.mechanisms.has(Mechanism::CallQueues) {
        return HashMap::new();
    }
    let by_team = context.scheduling.by_team
        && context.mechanisms.has(Mechanism::TeamScheduling)
        && table.teams().is_some_and(TeamDirectory::has_limits);
    let keyed =
        table.routes().iter().filter(|route| by_team && !route.is_auth_exempt).flat_map(|route| route.services());
    let by_priority = mixed.iter().filter(|_| context.scheduling.by_priority);
    keyed.chain(by_priority).map(|service| (service.clone(), QueueRule { by_team })).collect()
}
