//! The state of one failure domain as seen by this node: its distance, whether it is evacuated and whether it is
//! reachable. The servers and nodes of the domain share it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{FailureDomain, RegionName};
use streamfold_policy::domain_reach::{DomainReach, SilenceContext};
use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

use crate::cluster_place::NodeContext;

/// A failure domain as seen by this node.
pub struct DomainState {
    /// Its name.
    pub name: FailureDomain,
    /// Its region, if the settings contain it.
    pub region: Option<RegionName>,
    /// How far away it is.
    pub distance: Distance,
    evacuated: AtomicBool,
    reach: Mutex<DomainReach>,
    /// Whether overdue calls there are counted. Not so for the node's own failure domain, where each server is judged
    /// by itself.
    is_watched: bool,
}

impl DomainState {
    /// Creates the state of a failure domain of which only the name and the position are known.
    pub fn new(name: &FailureDomain, context: &NodeContext) -> Self {
        Self {
            name: name.clone(),
            region: context.region(name).cloned(),
            distance: context.distance(name),
            evacuated: AtomicBool::new(false),
            reach: Mutex::default(),
            is_watched: *name != context.domain && context.mechanisms.has(Mechanism::UnreachableDomains),
        }
    }

    fn reach(&self) -> MutexGuard<'_, DomainReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the operator has evacuated it.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Relaxed)
    }

    /// Sets whether it is evacuated and returns whether it was before.
    pub fn set_evacuated(&self, is_evacuated: bool) -> bool {
        self.evacuated.swap(is_evacuated, Ordering::Relaxed)
    }

    /// Whether the failure domain counts as unreachable now.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.is_watched && self.reach().is_unreachable(now)
    }

    /// Records a response from the failure domain.
    pub fn note_contact(&self, now: Moment) {
        if !self.is_watched {
            return;
        }
        let mut reach = self.reach();
        if reach.is_unreachable(now) {
            tracing::info!(event = "failure_domain_heard", failure_domain = %self.name);
        }
        reach.note_contact(now);
    }

    /// Records that a liveness probe of a node there failed.
    pub fn note_probe_failure(&self, now: Moment) {
        self.reach().note_probe_failure(now);
    }

    /// Whether a response arrived from there within the last `span`.
    pub fn had_contact_within(&self, now: Moment, span: Duration) -> bool {
        self.reach().had_contact_within(now, span)
    }

    /// Records that a call to the server or node `who` there, which began at `started`, is overdue.
    pub fn note_overdue(&self, now: Moment, started: Moment, who: &str) {
        self.note_overdue_in(now, started, who, SilenceContext::NoneUnreachable);
    }

    /// Like [`Self::note_overdue`], with the state of the other failure domains.
    pub fn note_overdue_in(&self, now: Moment, started: Moment, who: &str, context: SilenceContext) {
        if self.is_watched && self.reach().note_overdue(now, started, who, context) {
            metrics::counter!("streamfold_dark_failure_domains_total").increment(1);
            tracing::warn!(event = "failure_domain_dark", failure_domain = %self.name, last = who);
        }
    }
}
