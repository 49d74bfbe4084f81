//! Decides when an unreachable node counts as gone, so that its entry can be removed.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::moment::Moment;

/// Tracks unreachable targets and since when each of them has been unreachable.
#[derive(Debug)]
pub struct AbsenceTracker<K> {
    since: HashMap<K, Moment>,
}

impl<K> Default for AbsenceTracker<K> {
    fn default() -> Self {
        Self { since: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> AbsenceTracker<K> {
    /// Records one scan of all expected targets, each with whether it was reached, and returns those
    /// that no scan has reached for `limit`. A scan that reaches nothing at all is discarded and resets the
    /// tracker: the fault is then more likely at this node.
    pub fn note_scan(&mut self, now: Moment, results: &[(K, bool)], reaches_others: bool, limit: Duration) -> Vec<K> {
        if !reaches_others && results.iter().all(|(_, is_reached)| !is_reached) {
            self.since.clear();
            return Vec::new();
        }
        let absent: Vec<&K> = results.iter().filter(|(_, is_reached)| !is_reached).map(|(key, _)| key).collect();
        let since = absent.iter().map(|key| ((*key).clone(), self.since.get(*key).copied().unwrap_or(now)));
        self.since = since.collect();
        let is_gone = |key: &&&K| now.since(self.since[**key]) >= limit;
        absent.iter().filter(is_gone).map(|key| (*key).clone()).collect()
    }
}
