//! The cluster view that requests read: an immutable snapshot that is replaced as a whole (read-copy-update).

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use streamfold_model::{Configuration, FailureDomain, IndexName, IndexVersion, NodeId, UpstreamIndex};
use streamfold_policy::HeldVersions;
use streamfold_policy::owner::choose_owners;

use streamfold_link::PeerLink;

/// A node that accepts work.
#[derive(Clone)]
pub struct WorkTarget {
    /// Name of the node.
    pub node: NodeId,
    /// The link to the node; `None` for this node itself.
    pub link: Option<Arc<PeerLink>>,
    /// Whether the failure detector suspects the node because its heartbeats are late.
    pub is_suspect: bool,
}

/// The configuration, the nodes and the owners of upstreams that a request uses to its end.
pub struct ClusterView {
    /// The configuration in force, if there is one.
    pub config: Option<Arc<Configuration>>,
    /// Nodes that accept work, by failure domain.
    pub workers: HashMap<FailureDomain, Vec<WorkTarget>>,
    /// Owners of each upstream, in the order of the configuration's upstreams, the preferred one first.
    pub owners: Vec<Arc<[WorkTarget]>>,
    /// The index versions that upstreams have reported.
    pub versions: Arc<VersionTable>,
}

impl ClusterView {
    /// Creates a view without a configuration and nodes.
    pub fn empty() -> Self {
        Self { config: None, workers: HashMap::new(), owners: Vec::new(), versions: Arc::default() }
    }

    /// Creates a view with `count` owners for each upstream.
    pub fn build(
        config: Option<Arc<Configuration>>,
        workers: HashMap<FailureDomain, Vec<WorkTarget>>,
        versions: Arc<VersionTable>,
        count: usize,
    ) -> Self {
        let specs = config.iter().flat_map(|config| &config.upstreams);
        let none = Vec::new();
        let owners = specs.map(|spec| {
            let domain = workers.get(&spec.domain).unwrap_or(&none);
            choose_targets(domain, spec.name.as_str(), count)
        });
        let owners = owners.collect();
        Self { config, workers, owners, versions }
    }

    /// The owner for attempt number `attempt` of a request. This node comes first if it is an owner. Otherwise
    /// `rotation` selects the first of the owners that are not suspected, which spreads the load over them. `None`
    /// after the last one.
    pub fn owner(&self, upstream: UpstreamIndex, rotation: usize, attempt: usize) -> Option<&WorkTarget> {
        let owners = self.owners(upstream);
        if attempt >= owners.len() {
            return None;
        }
        let rotating = owners.iter().take_while(|target| !target.is_suspect && target.link.is_some()).count();
        match attempt < rotating {
            true => owners.get((rotation % rotating + attempt) % rotating),
            false => owners.get(attempt),
        }
    }

    /// The owners of an upstream, the preferred one first.
    pub fn owners(&self, upstream: UpstreamIndex) -> &[WorkTarget] {
        &self.owners[upstream.0 as usize]
    }
}

/// Chooses owners by rendezvous hashing and orders them: this node first if it is an owner, suspected nodes last.
fn choose_targets(domain: &[WorkTarget], key: &str, count: usize) -> Arc<[WorkTarget]> {
    let chosen = choose_owners(domain.iter().map(|target| target.node.as_str()), key, count);
    let find = |name: &&str| domain.iter().find(|target| target.node.as_str() == *name).cloned();
    let mut targets: Vec<WorkTarget> = chosen.iter().filter_map(find).collect();
    targets.sort_by_key(|target| (target.is_suspect, target.link.is_some()));
    targets.into()
}

/// The range of reported versions; 0 and 0 without a report.
#[derive(Debug, Default)]
struct VersionCell {
    oldest: AtomicU64,
    newest: AtomicU64,
}

/// The index versions that each upstream has reported. Versions never decrease.
#[derive(Debug, Default)]
pub struct VersionTable {
    indexes: HashMap<IndexName, Vec<VersionCell>>,
}

impl VersionTable {
    /// Creates an empty table for a configuration.
    pub fn new(config: &Configuration) -> Self {
        let cells = || config.upstreams.iter().map(|_| VersionCell::default()).collect();
        Self { indexes: config.indexes.keys().map(|name| (name.clone(), cells())).collect() }
    }

    /// Copies the versions of the same upstreams from the table of another configuration.
    pub fn carry_over(&self, config: &Configuration, old: &Self, old_config: &Configuration) {
        let names = old_config.upstreams.iter().zip(0..);
        let positions: HashMap<_, _> = names.map(|(spec, position)| (&spec.name, UpstreamIndex(position))).collect();
        for index in config.indexes.keys() {
            for (spec, position) in config.upstreams.iter().zip(0..) {
                let known = positions.get(&spec.name).and_then(|old_position| old.get(index, *old_position));
                if let Some(held) = known {
                    self.record(index, UpstreamIndex(position), held);
                }
            }
        }
    }

    /// The reported versions of an upstream.
    pub fn get(&self, index: &IndexName, upstream: UpstreamIndex) -> Option<HeldVersions> {
        let cell = self.indexes.get(index)?.get(upstream.0 as usize)?;
        let newest = cell.newest.load(Ordering::Relaxed);
        let oldest = cell.oldest.load(Ordering::Relaxed);
        (newest > 0).then_some(HeldVersions { oldest: IndexVersion(oldest), newest: IndexVersion(newest) })
    }

    /// Records the versions that an upstream reported.
    pub fn record(&self, index: &IndexName, upstream: UpstreamIndex, held: HeldVersions) {
        let cell = self.indexes.get(index).and_then(|cells| cells.get(upstream.0 as usize));
        if let Some(cell) = cell {
            cell.oldest.fetch_max(held.oldest.0, Ordering::Relaxed);
            cell.newest.fetch_max(held.newest.0, Ordering::Relaxed);
        }
    }
}
