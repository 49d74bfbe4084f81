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
