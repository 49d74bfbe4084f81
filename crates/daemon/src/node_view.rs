//! Updates of a node's cluster view after changes of the membership or the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use streamfold_model::operator::MemberHealth;
use streamfold_model::{Configuration, FailureDomain};
use streamfold_policy::Moment;

use crate::node::Node;
use crate::stats;
use crate::view::{ClusterView, VersionTable, WorkTarget};

impl Node {
    /// Rebuilds the view if the members or the configuration changed, and updates the connection pools.
    pub fn refresh_view(&self) {
        let now = self.clock.now();
        let workers = self.find_workers(now);
        let active = self.keeper.current();
        let config = active.map(|active| active.config.clone());
        let old = self.view.load_full();
        let same_config = match (&config, &old.config) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (None, None) => true,
            _ => false,
        };
        if same_config && has_same_workers(&workers, &old.workers) {
            self.update_pools(&old);
            return;
        }
        let versions = match (&config, same_config) {
            (Some(config), false) => Arc::new(carry_versions(config, &old)),
            _ => old.versions.clone(),
        };
        stats::set_workers(workers.values().map(Vec::len).sum());
        let view = Arc::new(ClusterView::build(config, workers, versions, self.settings.owners));
        self.update_pools(&view);
        self.view.store(view);
    }

    fn find_workers(&self, now: Moment) -> HashMap<FailureDomain, Vec<WorkTarget>> {
        let mut members = self.members();
        members.forget(now);
        let all: HashMap<_, _> = members.entries().map(|entry| (entry.node.clone(), entry.peer_address)).collect();
        self.links.update(all, &self.seeds());
        let mut workers: HashMap<FailureDomain, Vec<WorkTarget>> = HashMap::new();
        for entry in members.workers(now) {
            let is_own = entry.node == self.settings.node;
            let is_suspect = members.health(now, &entry.node) == MemberHealth::Suspect;
            let link = (!is_own).then(|| self.links.for_address(entry.peer_address));
            let target = WorkTarget { node: entry.node.clone(), link, is_suspect };
            workers.entry(entry.domain.clone()).or_default().push(target);
        }
        workers
    }

    fn update_pools(&self, view: &ClusterView) {
        let Some(config) = &view.config else { return };
        let owners = view.owners.iter();
        let is_own = |targets: &[WorkTarget]| targets.iter().any(|target| target.link.is_none());
        let owned = config.upstreams.iter().zip(owners).filter(|(_, targets)| is_own(targets));
        let owned: Vec<_> = owned.map(|(spec, _)| spec.clone()).collect();
        self.pools.retain_owned(&owned, self.settings.owners);
    }
}

fn has_same_workers(
    new: &HashMap<FailureDomain, Vec<WorkTarget>>,
    old: &HashMap<FailureDomain, Vec<WorkTarget>>,
) -> bool {
    let same_target = |(a, b): (&WorkTarget, &WorkTarget)| {
        let address = |target: &WorkTarget| target.link.as_ref().map(|link| link.address());
        a.node == b.node && a.is_suspect == b.is_suspect && address(a) == address(b)
    };
    let same_domain = |domain: &FailureDomain, targets: &[WorkTarget]| {
        old.get(domain).is_some_and(|old| old.len() == targets.len() && targets.iter().zip(old).all(same_target))
    };
    new.len() == old.len() && new.iter().all(|(domain, targets)| same_domain(domain, targets))
}

fn carry_versions(config: &Configuration, old: &ClusterView) -> VersionTable {
    let table = VersionTable::new(config);
    if let Some(old_config) = &old.config {
        table.carry_over(config, &old.versions, old_config);
    }
    table
}
