//! Which services have too few good servers.
//!
//! The load pattern: of three servers of a shard one is slow for seconds and one is leaving. All requests over shards need
//! the one that is left, and an operator must see which shards bind the answers.

use std::collections::BTreeSet;

use streamfold_model::ServiceName;

/// A service with at most so many good servers is short: should that one pause, nobody answers.
const MOST_GOOD_IF_SHORT: usize = 1;
/// Services that a log line names at most.
const MAX_NAMED: usize = 5;

/// The servers of a service as a node sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceHealth {
    /// Servers that it is known with.
    pub servers: usize,
    /// Those that may be asked and are not known to be slow.
    pub good: usize,
}

impl ServiceHealth {
    /// Whether it is short: its good servers are one or none, of more.
    pub fn is_short(self) -> bool {
        self.good <= MOST_GOOD_IF_SHORT && self.good < self.servers
    }
}

/// What changed between two looks at all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShortageChange {
    /// Services that became short, and a few of them by name.
    pub began: (usize, Vec<ServiceName>),
    /// Services that are short no more, and a few of them by name.
    pub ended: (usize, Vec<ServiceName>),
}

/// The services that were short at the last look.
#[derive(Debug, Default)]
pub struct ShortageList {
    short: BTreeSet<ServiceName>,
}

impl ShortageList {
    /// How many are short.
    pub fn count(&self) -> usize {
        self.short.len()
    }

    /// Notes which services are short now; what changed by it.
    pub fn replace(&mut self, short: BTreeSet<ServiceName>) -> ShortageChange {
        let name = |from: &BTreeSet<ServiceName>, to: &BTreeSet<ServiceName>| {
            let fresh: Vec<&ServiceName> = to.difference(from).collect();
            (fresh.len(), fresh.into_iter().take(MAX_NAMED).cloned().collect())
        };
        let change = ShortageChange { began: name(&self.short, &short), ended: name(&short, &self.short) };
        self.short = short;
        change
    }
}
