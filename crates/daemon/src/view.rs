//! What a request reads of the cluster: one value, replaced whole (read-copy-update).

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use streamfold_model::{Configuration, FailureDomain, IndexName, IndexVersion, NodeId, UpstreamIndex};
use streamfold_policy::HeldVersions;
use streamfold_policy::owner::choose_owners;

use streamfold_link::PeerLink;

/// A node that may be given work.
#[derive(Clone)]
pub struct WorkTarget {
    /// The node.
    pub node: NodeId,
    /// Its link; none for this node itself.
    pub link: Option<Arc<PeerLink>>,
    /// Whether its heartbeats are late.
    pub suspect: bool,
}

/// The configuration, the nodes and the owners that one request works with.
pub struct ClusterView {
    /// The configuration, once there is one.
    pub config: Option<Arc<Configuration>>,
    /// Nodes that may be given work, by failure domain.
    pub workers: HashMap<FailureDomain, Vec<WorkTarget>>,
    /// Owners of each upstream, the preferred one first.
    pub owners: Vec<Arc<[WorkTarget]>>,
    /// What is believed of index versions.
    pub versions: Arc<VersionTable>,
}

impl ClusterView {
    /// A view without configuration or nodes.
    pub fn empty() -> Self {
        Self { config: None, workers: HashMap::new(), owners: Vec::new(), versions: Arc::default() }
    }

    /// A view with the owners worked out; `count` owners for each upstream.
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

    /// The owner to try as number `attempt` for a request: this node first if it is one, else
    /// the owners in turn, so that each sees its part of the load. `None` when all were tried.
    pub fn owner(&self, upstream: UpstreamIndex, turn: usize, attempt: usize) -> Option<&WorkTarget> {
        let owners = self.owners(upstream);
        if attempt >= owners.len() {
            return None;
        }
        let steady = owners.iter().take_while(|target| !target.suspect && target.link.is_some()).count();
        match attempt < steady {
            true => owners.get((turn + attempt) % steady),
            false => owners.get(attempt),
        }
    }

    /// The owners of an upstream, the preferred one first.
    pub fn owners(&self, upstream: UpstreamIndex) -> &[WorkTarget] {
        &self.owners[upstream.0 as usize]
    }
}

/// Owners by rendezvous; this node first if it is one, nodes with late heartbeats last.
fn choose_targets(domain: &[WorkTarget], key: &str, count: usize) -> Arc<[WorkTarget]> {
    let chosen = choose_owners(domain.iter().map(|target| target.node.as_str()), key, count);
    let find = |name: &&str| domain.iter().find(|target| target.node.as_str() == *name).cloned();
    let mut targets: Vec<WorkTarget> = chosen.iter().filter_map(find).collect();
    targets.sort_by_key(|target| (target.suspect, target.link.is_some()));
    targets.into()
}

/// Oldest and newest version believed held, 0 and 0 for nothing known.
#[derive(Debug, Default)]
struct VersionCell {
    oldest: AtomicU64,
    newest: AtomicU64,
}

/// What is believed of the versions each upstream holds. Cells only rise.
#[derive(Debug, Default)]
pub struct VersionTable {
    indexes: HashMap<IndexName, Vec<VersionCell>>,
}

impl VersionTable {
    /// An empty table for a configuration.
    pub fn new(config: &Configuration) -> Self {
        let cells = || config.upstreams.iter().map(|_| VersionCell::default()).collect();
        Self { indexes: config.indexes.keys().map(|name| (name.clone(), cells())).collect() }
    }

    /// Takes over what another configuration's table knew of the same upstreams.
    pub fn carry_over(&self, config: &Configuration, old: &Self, old_config: &Configuration) {
        let names = old_config.upstreams.iter().zip(0..);
        let positions: HashMap<_, _> = names.map(|(spec, position)| (&spec.name, UpstreamIndex(position))).collect();
        for index in config.indexes.keys() {
            for (spec, position) in config.upstreams.iter().zip(0..) {
                let known = positions.get(&spec.name).and_then(|old_position| old.get(index, *old_position));
                if let Some(held) = known {
                    self.learn(index, UpstreamIndex(position), held);
                }
            }
        }
    }

    /// What is believed of an upstream.
    pub fn get(&self, index: &IndexName, upstream: UpstreamIndex) -> Option<HeldVersions> {
        let cell = self.indexes.get(index)?.get(upstream.0 as usize)?;
        let newest = cell.newest.load(Ordering::Relaxed);
        let oldest = cell.oldest.load(Ordering::Relaxed);
        (newest > 0).then_some(HeldVersions { oldest: IndexVersion(oldest), newest: IndexVersion(newest) })
    }

    /// Learns what an upstream told.
    pub fn learn(&self, index: &IndexName, upstream: UpstreamIndex, held: HeldVersions) {
        let cell = self.indexes.get(index).and_then(|cells| cells.get(upstream.0 as usize));
        if let Some(cell) = cell {
            cell.oldest.fetch_max(held.oldest.0, Ordering::Relaxed);
            cell.newest.fetch_max(held.newest.0, Ordering::Relaxed);
        }
    }
}
