//! A line of work that waits: each piece has a key that orders it and a moment from which it is worth nothing.
//!
//! The load pattern: more work than servers can take, whose order is decided anew each time one is free, and whose
//! submitters may leave meanwhile.

use std::collections::{BTreeMap, HashMap};

use crate::moment::Moment;

/// A place in a line, never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitPlace(u64);

/// Work that waits, or has just been taken out of the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingWork<K, T> {
    /// Its place, which it gets back by [`WaitLine::rejoin`].
    pub place: WaitPlace,
    /// What orders it.
    pub key: K,
    /// When it is worth nothing any more.
    pub expires: Moment,
    /// The work.
    pub item: T,
}

/// Waiting work in order of its keys; among equal ones who came first goes first.
#[derive(Debug, Clone)]
pub struct WaitLine<K, T> {
    works: BTreeMap<(K, WaitPlace), WaitingWork<K, T>>,
    keys: HashMap<WaitPlace, K>,
    joined: u64,
}

impl<K: Copy + Ord, T> Default for WaitLine<K, T> {
    fn default() -> Self {
        Self { works: BTreeMap::new(), keys: HashMap::new(), joined: 0 }
    }
}

impl<K: Copy + Ord, T> WaitLine<K, T> {
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
    pub fn join(&mut self, key: K, expires: Moment, item: T) -> WaitPlace {
        let place = WaitPlace(self.joined);
        self.joined += 1;
        self.rejoin(WaitingWork { place, key, expires, item });
        place
    }

    /// Puts work back that was taken out and could not start: it has its old place.
    pub fn rejoin(&mut self, work: WaitingWork<K, T>) {
        self.keys.insert(work.place, work.key);
        self.works.insert((work.key, work.place), work);
    }

    /// Waiting work by its place.
    pub fn get_mut(&mut self, place: WaitPlace) -> Option<&mut T> {
        let key = self.keys.get(&place)?;
        self.works.get_mut(&(*key, place)).map(|work| &mut work.item)
    }

    /// Takes work out by its place, if it is still there.
    pub fn leave(&mut self, place: WaitPlace) -> Option<WaitingWork<K, T>> {
        let key = self.keys.remove(&place)?;
        self.works.remove(&(key, place))
    }

    /// Takes out the first piece of work; those before it that have expired are dropped.
    pub fn next(&mut self, now: Moment) -> Option<WaitingWork<K, T>> {
        loop {
            let (_, work) = self.works.pop_first()?;
            self.keys.remove(&work.place);
            if now < work.expires {
                return Some(work);
            }
        }
    }

    /// Takes out all that has expired.
    pub fn expire(&mut self, now: Moment) -> Vec<WaitingWork<K, T>> {
        let expired: Vec<WaitPlace> =
            self.works.values().filter(|work| work.expires <= now).map(|work| work.place).collect();
        expired.into_iter().filter_map(|place| self.leave(place)).collect()
    }
}
