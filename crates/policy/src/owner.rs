//! Who owns the connections to an upstream: rendezvous hashing over the live nodes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a node for a key; the highest weights own it.
fn weight(node: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(node.as_bytes(), 0))
}

/// The `count` nodes with the highest weight for `key`, heaviest first. Two views that
/// differ by one node differ by at most one owner.
pub fn choose_owners<'a, I>(nodes: I, key: &str, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut weighed: Vec<(u64, &str)> = nodes.into_iter().map(|node| (weight(node, key), node)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, node)| node).collect()
}

/// Connections that one of `owners` owners may open to a server that accepts `limit`:
/// one share stays spare for the moment in which two views differ by one change.
pub fn connection_share(limit: u32, owners: usize) -> u32 {
    let parts = u32::try_from(owners).unwrap_or(u32::MAX).saturating_add(1);
    (limit / parts).max(1)
}

/// The share of a server's connections that nodes divide; the rest is for the moment in which
/// two of them count the nodes differently.
const DIVIDED_SHARE: f64 = 0.9;
/// The part of those that the nodes of the server's own failure domain divide, if there are
/// other nodes: theirs are nearly all calls, the others' are calls round a slow or lost server.
const NEAR_PART: f64 = 0.5;

/// Nodes that may call one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallingNodes {
    /// Those of its own failure domain.
    pub near: usize,
    /// All others.
    pub far: usize,
}

/// Connections that a node may have to a server that accepts `limit` from all nodes together;
/// at least one, since without it the node could not call the server at all.
pub fn divide_connections(limit: u32, nodes: CallingNodes, is_near: bool) -> u32 {
    let (part, count) = match (nodes, is_near) {
        (CallingNodes { near, far: 0 }, _) => (1.0, near),
        (CallingNodes { near: 0, far }, _) => (1.0, far),
        (CallingNodes { near, .. }, true) => (NEAR_PART, near),
        (CallingNodes { far, .. }, false) => (1.0 - NEAR_PART, far),
    };
    let share = f64::from(limit) * DIVIDED_SHARE * part / count.max(1) as f64;
    (share as u32).max(1)
}
