//! Entries of servers with an earlier start than the known run, which the store took after the entry of that run.
//!
//! Such an entry is a late write of the older run, and the known run soon writes its own again. If it does not, the
//! entry is the server's: its clock was put back, or the entry with the later start was another writer's.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{ServerEntry, ServerId, ServerStart};
use streamfold_policy::Moment;

/// How long an entry must have stood in the store to be the server's. A server that runs writes its entry every second
/// or so.
const STANDING_AFTER: Duration = Duration::from_secs(10);

/// The entries of older runs in the store, by server.
#[derive(Debug, Default)]
pub(crate) struct OlderEntries {
    entries: HashMap<ServerId, OlderEntry>,
}

#[derive(Debug)]
struct OlderEntry {
    entry: ServerEntry,
    /// When the first entry with this start arrived.
    since: Moment,
}

impl OlderEntries {
    /// Records the entry of an older run.
    pub(crate) fn note(&mut self, entry: &ServerEntry, now: Moment) {
        let known = self.entries.get(&entry.id).filter(|known| known.entry.start == entry.start);
        let since = known.map_or(now, |known| known.since);
        self.entries.insert(entry.id.clone(), OlderEntry { entry: entry.clone(), since });
    }

    /// Forgets the entry of a server, since the store holds another one or none.
    pub(crate) fn remove(&mut self, id: &ServerId) {
        self.entries.remove(id);
    }

    /// Whether the entry of a server in the store has this start.
    pub(crate) fn has(&self, id: &ServerId, start: ServerStart) -> bool {
        self.entries.get(id).is_some_and(|older| older.entry.start == start)
    }

    /// Removes and returns the entries that have stood in the store for long.
    pub(crate) fn take_standing(&mut self, now: Moment) -> Vec<ServerEntry> {
        let is_standing = |_: &ServerId, older: &mut OlderEntry| now.since(older.since) >= STANDING_AFTER;
        self.entries.extract_if(is_standing).map(|(_, older)| older.entry).collect()
    }
}
