//! The position of a node among the failure domains and the rules by which it judges servers.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{FailureDomain, NodeId, RegionName};
use streamfold_policy::MechanismSet;
use streamfold_policy::replica::Distance;

use crate::settings::{ColdCallSettings, SchedulingSettings};

/// The position of a node among the failure domains and the settings that its view of the cluster depends on.
pub struct NodeContext {
    /// The name of this node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, RegionName>,
    /// The window in which extra calls are counted. What a removed node spent of the shared budget counts for this
    /// long.
    pub extra_call_window: Duration,
    /// How soon a server that leaves must receive no more requests.
    pub drained_within: Duration,
    /// The limit on calls to cold servers, if there is one.
    pub cold_calls: Option<ColdCallSettings>,
    /// Which scheduling decisions are made when callers compete for capacity.
    pub scheduling: SchedulingSettings,
    /// The mechanisms by which servers are judged.
    pub mechanisms: MechanismSet,
}

impl NodeContext {
    /// The region of a failure domain, if the settings contain it.
    pub fn region(&self, domain: &FailureDomain) -> Option<&RegionName> {
        self.regions.get(domain)
    }

    /// The distance of another failure domain. If its region is not known, it counts as far.
    pub fn distance(&self, domain: &FailureDomain) -> Distance {
        if *domain == self.domain {
            return Distance::Domain;
        }
        match (self.region(domain), self.region(&self.domain)) {
            (Some(other), Some(own)) if other == own => Distance::Region,
            _ => Distance::Far,
        }
    }
}
