//! Where a node stands among the failure domains, and by what it judges servers.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{FailureDomain, NodeId, RegionName};
use streamfold_policy::MechanismSet;
use streamfold_policy::replica::Distance;

use crate::settings::{ColdCallSettings, SchedulingSettings};

/// Where a node stands among failure domains.
pub struct NodeContext {
    /// This node.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, RegionName>,
    /// How long a node that is gone may have spent of what all nodes share: the window in which
    /// extra calls are counted.
    pub extra_call_window: Duration,
    /// The bound on calls to cold servers, if there is one.
    pub cold_calls: Option<ColdCallSettings>,
    /// Decisions where callers compete for room.
    pub scheduling: SchedulingSettings,
    /// The mechanisms by which servers are judged.
    pub mechanisms: MechanismSet,
}

impl NodeContext {
    /// The region of a failure domain, if the settings tell.
    pub fn region(&self, domain: &FailureDomain) -> Option<&RegionName> {
        self.regions.get(domain)
    }

    /// How far away another failure domain is; one whose region is not known counts as far.
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
