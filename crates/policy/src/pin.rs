//! Choice of the index version that a query is pinned to.

use bincode::{Decode, Encode};
use serde::Serialize;
use streamfold_model::IndexVersion;

/// The range of versions that a server holds according to its reports, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Encode, Decode)]
pub struct HeldVersions {
    /// The oldest version held.
    pub oldest: IndexVersion,
    /// The newest version held.
    pub newest: IndexVersion,
}

impl HeldVersions {
    /// Merges another report. Versions only advance, so neither end goes back and a report that arrives late does no
    /// harm.
    pub fn merge(&mut self, report: Self) {
        self.oldest = self.oldest.max(report.oldest);
        self.newest = self.newest.max(report.newest);
    }
}

/// Returns the newest version that all ranges contain. If there is none, returns the version that most ranges contain,
/// the newest of these on a tie. `None` without ranges.
///
/// Only versions up to `cap` count, because an older layout ends where the next one begins.
pub fn choose_version(held: &[HeldVersions], cap: IndexVersion) -> Option<IndexVersion> {
    let newest = held.iter().map(|held| held.newest).min()?.min(cap);
    let oldest = held.iter().map(|held| held.oldest).max()?;
    if oldest <= newest {
        return Some(newest);
    }
    choose_most_held(held, cap)
}

/// Returns the version that most ranges contain. The newest version of some range is always among the best, so only
/// these are compared.
fn choose_most_held(held: &[HeldVersions], cap: IndexVersion) -> Option<IndexVersion> {
    let mut candidates: Vec<IndexVersion> = held.iter().map(|held| held.newest.min(cap)).collect();
    candidates.sort_unstable();
    candidates.dedup();
    let holders = |version: IndexVersion| {
        let containing = held.iter().filter(|held| held.oldest <= version && version <= held.newest);
        containing.count()
    };
    candidates.into_iter().max_by_key(|version| (holders(*version), *version))
}
