//! Exclusion of servers from requests, whatever their cost.
//!
//! The load pattern: the best servers of a shard are where the request must not go, because its route is bound to other
//! regions or the operator has evacuated their failure domain; or a call would be lost, because their failure domain is
//! unreachable. The rule applies to first calls, retries, hedges and batches alike, so it is in one place. A shard
//! whose servers are all excluded is missing from the answer.

use std::fmt;

use streamfold_model::{AllowedRegions, RegionName};

/// Reason for which a server gets no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerExclusion {
    /// The server is draining.
    Leaving,
    /// The operator has evacuated its failure domain.
    Evacuated,
    /// Its failure domain is unreachable.
    Unreachable,
    /// The server is cold, and this node has used up its quota of calls.
    ColdLimit,
    /// The server is in a region where requests of the route must not be served.
    OutsideHomes,
}

impl fmt::Display for ServerExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Unreachable => "unreachable",
            Self::ColdLimit => "cold_limit",
            Self::OutsideHomes => "outside_homes",
        })
    }
}

/// State of a server that decides whether it is excluded.
#[derive(Debug, Clone, Copy)]
pub struct ServerConditions<'a> {
    /// Whether the server is draining.
    pub is_leaving: bool,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Whether its failure domain counts as unreachable.
    pub is_unreachable: bool,
    /// Whether the server is cold and this node has used up its quota of calls.
    pub is_cold_limit_reached: bool,
    /// Its region, if known.
    pub region: Option<&'a RegionName>,
}

/// The first reason that excludes a server from requests with these allowed regions, if any.
pub fn find_exclusion(allowed_regions: &AllowedRegions, conditions: ServerConditions<'_>) -> Option<ServerExclusion> {
    if conditions.is_leaving {
        return Some(ServerExclusion::Leaving);
    }
    if conditions.is_evacuated {
        return Some(ServerExclusion::Evacuated);
    }
    if !allowed_regions.allows(conditions.region) {
        return Some(ServerExclusion::OutsideHomes);
    }
    if conditions.is_unreachable {
        return Some(ServerExclusion::Unreachable);
    }
    conditions.is_cold_limit_reached.then_some(ServerExclusion::ColdLimit)
}
