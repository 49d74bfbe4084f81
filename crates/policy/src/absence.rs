//! When a node that cannot be reached counts as gone, so that its entry may be removed.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::moment::Moment;

/// Things that could not be reached, with the moment since when.
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
    /// Takes one look at all that should be there, each with whether it was reached, and returns
    /// those that no look has reached for `limit`. Where nothing at all was reached the fault is
    /// more likely here, so that look tells nothing.
    pub fn note_scan(&mut self, now: Moment, looks: &[(K, bool)], reaches_others: bool, limit: Duration) -> Vec<K> {
        if !reaches_others && looks.iter().all(|(_, is_reached)| !is_reached) {
            self.since.clear();
            return Vec::new();
        }
        let absent: Vec<&K> = looks.iter().filter(|(_, is_reached)| !is_reached).map(|(key, _)| key).collect();
        let since = absent.iter().map(|key| ((*key).clone(), self.since.get(*key).copied().unwrap_or(now)));
        self.since = since.collect();
        let is_gone = |key: &&&K| now.since(self.since[**key]) >= limit;
        absent.iter().filter(is_gone).map(|key| (*key).clone()).collect()
    }
}
