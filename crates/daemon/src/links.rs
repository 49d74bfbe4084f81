//! The links to other nodes, by node and by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use streamfold_model::NodeId;

use streamfold_link::PeerLink;

/// All links of this node. A link is kept by its address, so a node that comes back at
/// another address gets another link.
#[derive(Default)]
pub struct PeerLinks {
    by_address: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
    by_node: Mutex<HashMap<NodeId, SocketAddr>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerLinks {
    /// The link to an address, made if there is none.
    pub fn at(&self, address: SocketAddr) -> Arc<PeerLink> {
        lock(&self.by_address).entry(address).or_insert_with(|| PeerLink::new(address)).clone()
    }

    /// The link to a node, if its address is known.
    pub fn get(&self, node: &NodeId) -> Option<Arc<PeerLink>> {
        let address = lock(&self.by_node).get(node).copied();
        address.map(|address| self.at(address))
    }

    /// Notes where the nodes are and drops links that lead nowhere any more.
    pub fn keep(&self, nodes: HashMap<NodeId, SocketAddr>, seeds: &[SocketAddr]) {
        lock(&self.by_address)
            .retain(|address, _| nodes.values().any(|known| known == address) || seeds.contains(address));
        *lock(&self.by_node) = nodes;
    }
}
