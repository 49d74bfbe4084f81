//! A priority queue of work: each piece has a sort key and an expiry time.
//!
//! The load pattern: more work than servers can take, reordered each time a server is free, and whose submitters may
//! cancel it while it waits.

use std::collections::{BTreeMap, HashMap};

use crate::moment::Moment;

/// The id of a piece of work in one queue; it is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

/// Queued work, or work that has just been removed from the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingWork<K, T> {
    /// Its id, which it keeps when it is put back by [`WaitQueue::requeue`].
    pub id: WaitId,
    /// Its sort key; the least goes first.
    pub key: K,
    /// When its result no longer has any value.
    pub expires: Moment,
    /// The work itself.
    pub item: T,
}

/// A queue of work ordered by key; work with equal keys is in order of arrival.
#[derive(Debug, Clone)]
pub struct WaitQueue<K, T> {
    entries: BTreeMap<(K, WaitId), WaitingWork<K, T>>,
    keys: HashMap<WaitId, K>,
    next_id: u64,
}

impl<K: Copy + Ord, T> Default for WaitQueue<K, T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), keys: HashMap::new(), next_id: 0 }
    }
}

impl<K: Copy + Ord, T> WaitQueue<K, T> {
    /// The number of queued pieces of work.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no work is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The queued work in its order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingWork<K, T>> {
        self.entries.values()
    }

    /// Adds work to the queue.
    pub fn push(&mut self, key: K, expires: Moment, item: T) -> WaitId {
        let id = WaitId(self.next_id);
        self.next_id += 1;
        self.requeue(WaitingWork { id, key, expires, item });
        id
    }

    /// Puts back work that was removed and could not start; it keeps its position.
    pub fn requeue(&mut self, work: WaitingWork<K, T>) {
        self.keys.insert(work.id, work.key);
        self.entries.insert((work.key, work.id), work);
    }

    /// Queued work by its id.
    pub fn get_mut(&mut self, id: WaitId) -> Option<&mut T> {
        let key = self.keys.get(&id)?;
        self.entries.get_mut(&(*key, id)).map(|work| &mut work.item)
    }

    /// Removes work by its id; `None` if it is no longer queued.
    pub fn remove(&mut self, id: WaitId) -> Option<WaitingWork<K, T>> {
        let key = self.keys.remove(&id)?;
        self.entries.remove(&(key, id))
    }

    /// Removes the first piece of work that has not expired; expired work before it is dropped.
    pub fn pop(&mut self, now: Moment) -> Option<WaitingWork<K, T>> {
        loop {
            let (_, work) = self.entries.pop_first()?;
            self.keys.remove(&work.id);
            if now < work.expires {
                return Some(work);
            }
        }
    }

    /// Removes and returns all expired work.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<WaitingWork<K, T>> {
        let expired: Vec<WaitId> =
            self.entries.values().filter(|work| work.expires <= now).map(|work| work.id).collect();
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }
}
