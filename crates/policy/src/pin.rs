//! Which index version a query is pinned to.

use streamfold_model::IndexVersion;

/// The versions a server is believed to hold, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldVersions {
    /// The oldest.
    pub oldest: IndexVersion,
    /// The newest.
    pub newest: IndexVersion,
}

impl HeldVersions {
    /// Folds in a later report. Versions only advance, so neither end goes back, and a
    /// report that comes late does no harm.
    pub fn learn(&mut self, report: Self) {
        self.oldest = self.oldest.max(report.oldest);
        self.newest = self.newest.max(report.newest);
    }
}

/// What is believed of one upstream for one index: the newest version any of its servers
/// holds, and the oldest that any still holds.
pub type VersionView = Option<HeldVersions>;

/// The newest version that every upstream is believed to hold, or, if their ranges do not
/// meet, the newest that most of the laggards hold. `None` when nothing is believed yet.
pub fn choose_version<'a>(views: impl IntoIterator<Item = &'a VersionView>) -> Option<IndexVersion> {
    let known = views.into_iter().flatten();
    known.map(|held| held.newest).min()
}
