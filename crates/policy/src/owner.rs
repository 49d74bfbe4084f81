//! Ownership of upstream connections by rendezvous hashing over the live nodes, and the division of a
//! server's connection limit among nodes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rendezvous weight of a node for a key, the same at every node. The nodes with the highest weights own the key.
pub(crate) fn weight(node: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(node.as_bytes(), 0))
}

/// The `count` nodes with the highest weight for `key`, highest first. Two membership views that
/// differ by one node differ by at most one owner.
pub fn choose_owners<'a, I>(nodes: I, key: &str, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut weighted: Vec<(u64, &str)> = nodes.into_iter().map(|node| (weight(node, key), node)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// For each node the positions of the keys it owns. Without nodes no key has an owner.
pub fn group_by_owner<'a>(nodes: &[&str], keys: impl IntoIterator<Item = &'a str>) -> Vec<Vec<usize>> {
    let mut owned = vec![Vec::new(); nodes.len()];
    for (position, key) in keys.into_iter().enumerate() {
        let owner = nodes.iter().enumerate().max_by_key(|(_, node)| (weight(node, key), **node));
        if let Some((number, _)) = owner {
            owned[number].push(position);
        }
    }
    owned
}

/// Connections that one of `owners` owners may open to a server that accepts `limit`.
/// One share stays unused, for the time in which two membership views differ by one change.
pub fn connection_share(limit: u32, owners: usize) -> u32 {
    let parts = u32::try_from(owners).unwrap_or(u32::MAX).saturating_add(1);
    (limit / parts).max(1)
}

/// The share of a server's connection limit that is divided among nodes. The rest covers the time in which
/// two nodes count the nodes differently.
const SHARED_FRACTION: f64 = 0.9;
/// The part of that share that goes to the nodes of the server's own failure domain, if there are other nodes.
/// Near nodes make nearly all calls; far nodes call only to avoid a slow or failed server in their own domain.
const NEAR_FRACTION: f64 = 0.5;

/// The number of nodes that may call one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes in the failure domain of the server.
    pub near: usize,
    /// Nodes in all other failure domains.
    pub far: usize,
}

impl NodeCounts {
    /// The part of the divided connections that one node gets.
    fn share_per_node(self, is_near: bool) -> f64 {
        let (part, count) = match (self, is_near) {
            (Self { near, far: 0 }, _) => (1.0, near),
            (Self { near: 0, far }, _) => (1.0, far),
            (Self { near, .. }, true) => (NEAR_FRACTION, near),
            (Self { far, .. }, false) => (1.0 - NEAR_FRACTION, far),
        };
        part / count.max(1) as f64
    }
}

/// The role of a node towards a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeRole {
    /// Whether the node is in the server's failure domain.
    pub is_near: bool,
    /// Whether the node is an owner in its own failure domain.
    pub is_owner: bool,
}

/// Connections that a node may open to a server that accepts `limit` from all nodes together. The result
/// is at least one, since the node could not call the server without a connection. One half is divided
/// among the owners, which make nearly all calls, the other half among all nodes.
pub fn divide_connections(limit: u32, nodes: NodeCounts, owners: NodeCounts, role: NodeRole) -> u32 {
    let half = f64::from(limit) * SHARED_FRACTION / 2.0;
    let owned = if role.is_owner { half * owners.share_per_node(role.is_near) } else { 0.0 };
    ((owned + half * nodes.share_per_node(role.is_near)) as u32).max(1)
}
