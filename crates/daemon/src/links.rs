//! Connections (links) to other nodes, by node and by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use streamfold_model::NodeId;

use streamfold_link::PeerLink;

/// All links of this node. Links are stored by address, so a node that restarts at another address gets a new link.
#[derive(Default)]
pub struct PeerLinks {
    by_address: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
    by_node: Mutex<HashMap<NodeId, SocketAddr>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerLinks {
    /// The link to an address; created if there is none.
    pub fn for_address(&self, address: SocketAddr) -> Arc<PeerLink> {
        lock(&self.by_address).entry(address).or_insert_with(|| PeerLink::new(address)).clone()
    }

    /// The link to a node, if its address is known.
    pub fn get(&self, node: &NodeId) -> Option<Arc<PeerLink>> {
        let address = lock(&self.by_node).get(node).copied();
        address.map(|address| self.for_address(address))
    }

    /// Replaces the addresses of the nodes and drops the links to addresses of neither a node nor a seed.
    pub fn update(&self, nodes: HashMap<NodeId, SocketAddr>, seeds: &[SocketAddr]) {
        lock(&self.by_address)
            .retain(|address, _| nodes.values().any(|known| known == address) || seeds.contains(address));
        *lock(&self.by_node) = nodes;
    }
}
