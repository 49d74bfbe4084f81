//! A line of work that waits: each piece has a key that orders it and a moment from which it is worth nothing.
//!
//! The load pattern: more work than servers can take, whose order is decided anew each time one is free, and whose
//! submitters may leave meanwhile.

use std::collections::{BTreeMap, HashMap};

use crate::moment::Moment;

/// A place in a line, never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

/// Work that waits, or has just been taken out of the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingWork<K, T> {
    /// Its place, which it gets back by [`WaitQueue::requeue`].
    pub id: WaitId,
    /// What orders it.
    pub key: K,
    /// When it is worth nothing any more.
    pub expires: Moment,
    /// The work.
    pub item: T,
}

/// Waiting work in order of its keys; among equal ones who came first goes first.
#[derive(Debug, Clone)]
pub struct WaitQueue<K, T> {
    works: BTreeMap<(K, WaitId), WaitingWork<K, T>>,
    keys: HashMap<WaitId, K>,
    joined: u64,
}

impl<K: Copy + Ord, T> Default for WaitQueue<K, T> {
    fn default() -> Self {
        Self { works: BTreeMap::new(), keys: HashMap::new(), joined: 0 }
    }
}

impl<K: Copy + Ord, T> WaitQueue<K, T> {
    /// Pieces of work that wait.
    pub fn len(&self) -> usize {
        self.works.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.works.is_empty()
    }

    /// The waiting work in its order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingWork<K, T>> {
        self.works.values()
    }

    /// Puts work into the line.
    pub fn push(&mut self, key: K, expires: Moment, item: T) -> WaitId {
        let id = WaitId(self.joined);
        self.joined += 1;
        self.requeue(WaitingWork { id, key, expires, item });
        id
    }

    /// Puts work back that was taken out and could not start: it has its old place.
    pub fn requeue(&mut self, work: WaitingWork<K, T>) {
        self.keys.insert(work.id, work.key);
        self.works.insert((work.key, work.id), work);
    }

    /// Waiting work by its place.
    pub fn get_mut(&mut self, place: WaitId) -> Option<&mut T> {
        let key = self.keys.get(&place)?;
        self.works.get_mut(&(*key, place)).map(|work| &mut work.item)
    }

    /// Takes work out by its place, if it is still there.
    pub fn remove(&mut self, place: WaitId) -> Option<WaitingWork<K, T>> {
        let key = self.keys.remove(&place)?;
        self.works.remove(&(key, place))
    }

    /// Takes out the first piece of work; those before it that have expired are dropped.
    pub fn pop(&mut self, now: Moment) -> Option<WaitingWork<K, T>> {
        loop {
            let (_, work) = self.works.pop_first()?;
            self.keys.remove(&work.id);
            if now < work.expires {
                return Some(work);
            }
        }
    }

    /// Takes out all that has expired.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<WaitingWork<K, T>> {
        let expired: Vec<WaitId> = self.works.values().filter(|work| work.expires <= now).map(|work| work.id).collect();
        expired.into_iter().filter_map(|place| self.remove(place)).collect()
    }
}
