//! The part of a service's fixed allowance of extra calls (hedges and retries) that one node may spend.
//!
//! The load pattern: eight of ten servers of every shard refuse calls, in a fleet of a thousand nodes of which a few
//! make nearly all calls to shards. An equal part for each node is less than one call there, which no node can make. So
//! the allowance is divided among the nodes that make the calls: for a shard mostly the owners in the failure domains
//! that have its servers, for a service without shards mostly all nodes. Parts below one call become whole calls for
//! some nodes.

use crate::owner::weight;

/// The part of a shard's allowance for the owners near its servers, which make nearly all calls to it.
const NEAR_PART: f64 = 0.6;
/// The part of a shard's allowance for all owners, which make the calls that avoid a lost failure domain.
const OWNER_PART: f64 = 0.3;
/// The part of the allowance for owners where a service has no shards. The node that receives a request calls such a
/// service, and owners receive some requests too.
const UNSHARDED_OWNER_PART: f64 = 0.2;

/// The counts of nodes among which an allowance is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetNodes {
    /// All nodes.
    pub all: usize,
    /// All owners.
    pub owners: usize,
    /// The owners in failure domains that have servers of the service.
    pub near_owners: usize,
    /// Whether the service is a shard, to which owners make the calls for other nodes.
    pub is_shard: bool,
}

/// The node whose part is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is an owner.
    pub is_owner: bool,
    /// Whether its failure domain has servers of the service.
    pub is_near: bool,
}

/// The number of calls of an allowance that one node may make.
pub fn divide_allowance(allowance: f64, service: &str, nodes: BudgetNodes, node: BudgetNode<'_>) -> f64 {
    let owner_part = if nodes.is_shard { OWNER_PART } else { UNSHARDED_OWNER_PART };
    // If no owner is near its servers, all owners make the calls.
    let near_part = if nodes.is_shard && nodes.near_owners > 0 { NEAR_PART } else { 0.0 };
    let near = part_of_one(near_part, nodes.near_owners, node.is_owner && node.is_near);
    let owned = part_of_one(owner_part, nodes.owners, node.is_owner);
    let other = part_of_one(1.0 - near_part - owner_part, nodes.all, true);
    round_to_whole(allowance * (near + owned + other), service, node.name)
}

/// The share of one node in a part that `count` nodes divide equally.
fn part_of_one(part: f64, count: usize, is_member: bool) -> f64 {
    if is_member { part / count.max(1) as f64 } else { 0.0 }
}

/// Rounds a part below one call to one call for that share of the nodes, chosen by a hash of their names, and to none
/// for the others.
fn round_to_whole(calls: f64, service: &str, node: &str) -> f64 {
    if calls >= 1.0 {
        return calls;
    }
    if (weight(node, service) as f64) < calls * u64::MAX as f64 { 1.0 } else { 0.0 }
}
