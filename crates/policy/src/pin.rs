//! Which index version a query is pinned to.

use bincode::{Decode, Encode};
use serde::Serialize;
use streamfold_model::IndexVersion;

/// The versions a server is believed to hold, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Encode, Decode)]
pub struct HeldVersions {
    /// The oldest.
    pub oldest: IndexVersion,
    /// The newest.
    pub newest: IndexVersion,
}

impl HeldVersions {
    /// Folds in a later report. Versions only advance, so neither end goes back, and a
    /// report that comes late does no harm.
    pub fn merge(&mut self, report: Self) {
        self.oldest = self.oldest.max(report.oldest);
        self.newest = self.newest.max(report.newest);
    }
}

/// The newest version that all of these ranges hold; where none is held by all, the one
/// that most hold, the newer of equals. `None` when nothing is believed yet.
///
/// Only versions up to `cap` count: an older layout ends where the next begins.
pub fn choose_version(held: &[HeldVersions], cap: IndexVersion) -> Option<IndexVersion> {
    let newest = held.iter().map(|held| held.newest).min()?.min(cap);
    let oldest = held.iter().map(|held| held.oldest).max()?;
    if oldest <= newest {
        return Some(newest);
    }
    choose_most_held(held, cap)
}

/// The version in most ranges. Some range's newest version is always among the best.
fn choose_most_held(held: &[HeldVersions], cap: IndexVersion) -> Option<IndexVersion> {
    let mut candidates: Vec<IndexVersion> = held.iter().map(|held| held.newest.min(cap)).collect();
    candidates.sort_unstable();
    candidates.dedup();
    let holders = |version: IndexVersion| {
        let holding = held.iter().filter(|held| held.oldest <= version && version <= held.newest);
        holding.count()
    };
    candidates.into_iter().max_by_key(|version| (holders(*version), *version))
}
