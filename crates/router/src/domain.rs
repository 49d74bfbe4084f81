//! What a node knows of one failure domain: where it lies, whether it is evacuated, and whether it can
//! be reached. Its servers and nodes share one of these.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{FailureDomain, RegionName};
use streamfold_policy::domain_reach::{DomainReach, SilenceContext};
use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

use crate::cluster_place::ClusterPlace;

/// A failure domain as a node sees it.
pub struct DomainState {
    /// Its name.
    pub name: FailureDomain,
    /// Its region, if the settings tell.
    pub region: Option<RegionName>,
    /// How far away it is.
    pub distance: Distance,
    evacuated: AtomicBool,
    reach: Mutex<DomainReach>,
    /// Whether silence there is counted: not in the own one, where each server counts for itself.
    is_watched: bool,
}

impl DomainState {
    /// A failure domain of which nothing is known but its place.
    pub fn new(name: &FailureDomain, place: &ClusterPlace) -> Self {
        Self {
            name: name.clone(),
            region: place.region(name).cloned(),
            distance: place.distance(name),
            evacuated: AtomicBool::new(false),
            reach: Mutex::default(),
            is_watched: *name != place.domain && place.mechanisms.has(Mechanism::UnreachableDomains),
        }
    }

    fn reach(&self) -> MutexGuard<'_, DomainReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the operator has evacuated it.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Relaxed)
    }

    /// Marks whether it is evacuated; whether it was before.
    pub fn set_evacuated(&self, is_evacuated: bool) -> bool {
        self.evacuated.swap(is_evacuated, Ordering::Relaxed)
    }

    /// Whether nothing there is believed to answer now.
    pub fn is_dark(&self, now: Moment) -> bool {
        self.is_watched && self.reach().is_unreachable(now)
    }

    /// Notes that anything was heard from there.
    pub fn note_heard(&self, now: Moment) {
        if !self.is_watched {
            return;
        }
        let mut reach = self.reach();
        if reach.is_unreachable(now) {
            tracing::info!(event = "failure_domain_heard", failure_domain = %self.name);
        }
        reach.note_contact(now);
    }

    /// Notes that a node there was asked for a sign of life in vain.
    pub fn note_no_sign(&self, now: Moment) {
        self.reach().note_probe_failure(now);
    }

    /// Whether anything was heard from there within a span.
    pub fn was_heard_within(&self, now: Moment, span: Duration) -> bool {
        self.reach().had_contact_within(now, span)
    }

    /// Notes that a server or node there is overdue with a call that began at a moment.
    pub fn note_silent(&self, now: Moment, started: Moment, who: &str) {
        self.note_silent_in(now, started, who, SilenceContext::NoneUnreachable);
    }

    /// The same, with what else is believed.
    pub fn note_silent_in(&self, now: Moment, started: Moment, who: &str, context: SilenceContext) {
        if self.is_watched && self.reach().note_overdue(now, started, who, context) {
            metrics::counter!("streamfold_dark_failure_domains_total").increment(1);
            tracing::warn!(event = "failure_domain_dark", failure_domain = %self.name, last = who);
        }
    }
}
