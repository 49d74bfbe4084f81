//! Detects services with too few healthy servers.
//!
//! The failure is a shard with three servers, of which one is slow for seconds and one is leaving. All requests over
//! shards then depend on the remaining server, and an operator must see which shards limit the answers.

use std::collections::BTreeSet;

use streamfold_model::ServiceName;

/// A service with at most this many healthy servers is short: if that server pauses, no server answers.
const MAX_GOOD_IF_SHORT: usize = 1;
/// Maximum number of services that a log line names.
const MAX_NAMED: usize = 5;

/// The servers of a service from the view of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceHealth {
    /// Known servers.
    pub servers: usize,
    /// Servers that may receive requests and are not known to be slow.
    pub good: usize,
}

impl ServiceHealth {
    /// Whether the service is short: it has one healthy server or none, and further servers that are not healthy.
    pub fn is_short(self) -> bool {
        self.good <= MAX_GOOD_IF_SHORT && self.good < self.servers
    }
}

/// Changes between two checks of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShortageChange {
    /// Number of services that became short, and the names of the first few.
    pub began: (usize, Vec<ServiceName>),
    /// Number of services that are no longer short, and the names of the first few.
    pub ended: (usize, Vec<ServiceName>),
}

/// The services that were short at the last check.
#[derive(Debug, Default)]
pub struct ShortageList {
    short: BTreeSet<ServiceName>,
}

impl ShortageList {
    /// Number of services that are short.
    pub fn count(&self) -> usize {
        self.short.len()
    }

    /// Replaces the list of short services and returns the changes.
    pub fn replace(&mut self, short: BTreeSet<ServiceName>) -> ShortageChange {
        let added = |from: &BTreeSet<ServiceName>, to: &BTreeSet<ServiceName>| {
            let fresh: Vec<&ServiceName> = to.difference(from).collect();
            (fresh.len(), fresh.into_iter().take(MAX_NAMED).cloned().collect())
        };
        let change = ShortageChange { began: added(&self.short, &short), ended: added(&short, &self.short) };
        self.short = short;
        change
    }
}
