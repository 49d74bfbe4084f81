//! Which services calls wait for at this node: those that requests of different rank compete for.

use std::collections::{BTreeSet, HashMap};

use streamfold_model::{Priority, RouteTable, ServiceName, TeamDirectory};
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
        Box::new(if self.by_team { order.with_turns() } else { order })
    }
}

/// The services whose calls wait, by the settings and the routes in force.
pub fn find_contended(table: &RouteTable, place: &ClusterPlace) -> HashMap<ServiceName, LineRule> {
    if !place.mechanisms.has(Mechanism::CallLines) {
        return HashMap::new();
    }
    let by_team = place.scheduling.by_team
        && place.mechanisms.has(Mechanism::TeamTurns)
        && table.teams().is_some_and(TeamDirectory::has_limits);
    let is_contended = |priorities: &BTreeSet<Priority>| place.scheduling.by_priority && priorities.len() > 1;
    let contended = priorities(table).into_iter().filter(|(_, priorities)| by_team || is_contended(priorities));
    contended.map(|(service, _)| (service, LineRule { by_team })).collect()
}

/// The ranks of the requests that each service gets.
fn priorities(table: &RouteTable) -> HashMap<ServiceName, BTreeSet<Priority>> {
    let of_teams: Vec<Priority> =
        table.teams().iter().flat_map(|teams| teams.teams()).filter_map(|team| team.priority).collect();
    let mut by_service: HashMap<ServiceName, BTreeSet<Priority>> = HashMap::new();
    for route in table.routes() {
        for service in route.services() {
            let known = by_service.entry(service.clone()).or_default();
            known.insert(route.priority);
            known.extend(&of_teams);
        }
    }
    by_service
}
