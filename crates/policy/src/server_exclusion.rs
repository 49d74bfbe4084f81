//! Which servers a request may be sent to at all, whatever they would cost.
//!
//! The load pattern: the best servers of a shard lie where the request must not go, because its route
//! is bound to other regions or because the operator has evacuated their failure domain, or a call there
//! would be lost, because nothing is heard from that failure domain. The rule holds for first calls, retries, second calls and batches alike,
//! so it stands in one place, and a shard whose servers are all barred is missing.

use std::fmt;

use streamfold_model::{AllowedRegions, RegionName};

/// Why a server gets no new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerExclusion {
    /// It is leaving.
    Leaving,
    /// The operator has evacuated its failure domain.
    Evacuated,
    /// Nothing is heard from its failure domain.
    Unreachable,
    /// It is cold, and this node has made the calls that are its part.
    ColdLimit,
    /// It is in a region where the route's requests must not be served.
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

/// How a server stands to new requests.
#[derive(Debug, Clone, Copy)]
pub struct ServerConditions<'a> {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Whether its failure domain is taken for dark.
    pub is_unreachable: bool,
    /// Whether it is cold and this node may make no call to it now.
    pub is_cold_limit_reached: bool,
    /// Its region, if that is known.
    pub region: Option<&'a RegionName>,
}

/// What keeps requests with these homes from a server, if anything does.
pub fn find_exclusion(homes: &AllowedRegions, standing: ServerConditions<'_>) -> Option<ServerExclusion> {
    if standing.is_leaving {
        return Some(ServerExclusion::Leaving);
    }
    if standing.is_evacuated {
        return Some(ServerExclusion::Evacuated);
    }
    if !homes.allows(standing.region) {
        return Some(ServerExclusion::OutsideHomes);
    }
    if standing.is_unreachable {
        return Some(ServerExclusion::Unreachable);
    }
    standing.is_cold_limit_reached.then_some(ServerExclusion::ColdLimit)
}
