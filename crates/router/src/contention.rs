//! Which services calls wait for at this node: those that requests of different rank compete for.

use std::collections::{HashMap, HashSet};

use streamfold_model::{RouteTable, ServiceName, TeamDirectory};
use streamfold_policy::Mechanism;
use streamfold_policy::call_order::{CallOrder, PriorityOrder};

use crate::cluster_place::ClusterPlace;

/// How calls that wait for a service are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineRule {
    /// Whether teams take turns among calls of one priority.
    pub by_team: bool,
}

impl LineRule {
    /// The order of a new line.
    pub fn order(self) -> Box<dyn CallOrder> {
        let order = PriorityOrder::default();
        Box::new(if self.by_team { order.with_fair_queueing() } else { order })
    }
}

/// The services whose calls wait, by the settings and the routes in force: those that requests of different priority
/// use, and where teams have limits all that take keys.
pub fn find_contended(
    table: &RouteTable,
    mixed: &HashSet<ServiceName>,
    place: &ClusterPlace,
) -> HashMap<ServiceName, LineRule> {
    if !place.mechanisms.has(Mechanism::CallQueues) {
        return HashMap::new();
    }
    let by_team = place.scheduling.by_team
        && place.mechanisms.has(Mechanism::TeamTurns)
        && table.teams().is_some_and(TeamDirectory::has_limits);
    let keyed =
        table.routes().iter().filter(|route| by_team && !route.is_auth_exempt).flat_map(|route| route.services());
    let by_priority = mixed.iter().filter(|_| place.scheduling.by_priority);
    keyed.chain(by_priority).map(|service| (service.clone(), LineRule { by_team })).collect()
}
