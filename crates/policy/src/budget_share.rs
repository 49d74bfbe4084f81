//! Which part of a fixed allowance of extra calls to a service a node may spend.
//!
//! The load pattern: eight of ten servers of every shard turn calls away, in a fleet of a thousand nodes of which a
//! few make nearly all calls to shards. A part for each node alike is less than one call there, which nobody can make.
//! So the allowance is divided among those who make the calls: for a shard the owners of the failure domains that have
//! servers of it, for a service that answers alone all nodes; what would be less than a call goes whole to some of them.

use crate::owner::weight;

/// The part of a shard's allowance that the owners near its servers divide: they make nearly all calls to it.
const NEAR_PART: f64 = 0.6;
/// The part of it that all owners divide: they make the calls round a failure domain that is lost.
const OWNER_PART: f64 = 0.3;
/// The part of the allowance of a service that answers alone which owners divide: the node that takes a request
/// calls it, and owners take some too.
const LONE_OWNER_PART: f64 = 0.2;

/// The nodes among which an allowance is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetNodes {
    /// All of them.
    pub all: usize,
    /// The owners.
    pub owners: usize,
    /// The owners of failure domains that have servers of the service.
    pub near_owners: usize,
    /// Whether the service is a shard, whose calls owners make for the others.
    pub is_shard: bool,
}

/// The node that may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is an owner.
    pub is_owner: bool,
    /// Whether its failure domain has servers of the service.
    pub is_near: bool,
}

/// Calls of an allowance that one node may make.
pub fn divide_allowance(allowance: f64, service: &str, nodes: BudgetNodes, node: BudgetNode<'_>) -> f64 {
    let owner_part = if nodes.is_shard { OWNER_PART } else { LONE_OWNER_PART };
    // Without an owner near its servers all owners make the calls.
    let near_part = if nodes.is_shard && nodes.near_owners > 0 { NEAR_PART } else { 0.0 };
    let near = part_of_one(near_part, nodes.near_owners, node.is_owner && node.is_near);
    let owned = part_of_one(owner_part, nodes.owners, node.is_owner);
    let rest = part_of_one(1.0 - near_part - owner_part, nodes.all, true);
    whole_call(allowance * (near + owned + rest), service, node.name)
}

fn part_of_one(part: f64, count: usize, is_among: bool) -> f64 {
    if is_among { part / count.max(1) as f64 } else { 0.0 }
}

/// Less than a call becomes a whole one for as large a share of the nodes, by their names.
fn whole_call(calls: f64, service: &str, node: &str) -> f64 {
    if calls >= 1.0 {
        return calls;
    }
    if (weight(node, service) as f64) < calls * u64::MAX as f64 { 1.0 } else { 0.0 }
}
