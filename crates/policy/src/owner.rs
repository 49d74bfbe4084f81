//! Who owns the connections to an upstream: rendezvous hashing over the live nodes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a node for a key, the same everywhere; the highest weights own it.
pub(crate) fn weight(node: &str, key: &str) -> u64 {
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

/// For each of some nodes the keys that it owns, by their positions. Without a node nobody owns any.
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
pub struct NodeCounts {
    /// Those of its own failure domain.
    pub near: usize,
    /// All others.
    pub far: usize,
}

impl NodeCounts {
    /// The part of one of these nodes, near the server or not.
    fn part_of_one(self, is_near: bool) -> f64 {
        let (part, count) = match (self, is_near) {
            (Self { near, far: 0 }, _) => (1.0, near),
            (Self { near: 0, far }, _) => (1.0, far),
            (Self { near, .. }, true) => (NEAR_PART, near),
            (Self { far, .. }, false) => (1.0 - NEAR_PART, far),
        };
        part / count.max(1) as f64
    }
}

/// How a node stands to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeRole {
    /// Whether it is in the server's failure domain.
    pub is_near: bool,
    /// Whether it is an owner in its own.
    pub is_owner: bool,
}

/// Connections that a node may have to a server that accepts `limit` from all nodes together;
/// at least one, since without it the node could not call the server at all. One half is divided
/// among the owners, which make nearly all calls, and one among all nodes.
pub fn divide_connections(limit: u32, nodes: NodeCounts, owners: NodeCounts, kind: NodeRole) -> u32 {
    let half = f64::from(limit) * DIVIDED_SHARE / 2.0;
    let owned = if kind.is_owner { half * owners.part_of_one(kind.is_near) } else { 0.0 };
    ((owned + half * nodes.part_of_one(kind.is_near)) as u32).max(1)
}
