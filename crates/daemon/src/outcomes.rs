//! Remembers what became of requests that must not run twice, by key, in this node's own
//! memory. A key is begun once; whoever presents it again is told the same outcome.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::Moment;
use tokio::sync::watch;

use crate::wire::{OrderFailure, OrderReply};

/// The outcome of a key, once it is known.
pub type OutcomeReceiver = watch::Receiver<Option<OrderReply>>;

/// What to do with a presented key.
pub enum KeyUse {
    /// First use: run it and give the outcome to the guard.
    Run(OutcomeGuard),
    /// Used before: wait for the outcome of that use.
    Wait(OutcomeReceiver),
    /// The table is full of keys that may not be forgotten yet.
    Full,
}

/// Tells the outcome to everybody who waits. Dropped without one, the outcome is unknown.
pub struct OutcomeGuard {
    sender: watch::Sender<Option<OrderReply>>,
}

impl OutcomeGuard {
    /// Tells the outcome.
    pub fn finish(self, reply: OrderReply) {
        self.sender.send_replace(Some(reply));
    }
}

struct OutcomeRow {
    begun: Moment,
    outcome: OutcomeReceiver,
}

/// Outcomes by key, for a time.
pub struct OutcomeTable<K> {
    rows: Mutex<HashMap<K, OutcomeRow>>,
    life: Duration,
    most: usize,
}

impl<K: Eq + Hash + Clone> OutcomeTable<K> {
    /// An empty table that remembers each key for `life`, and at most `most` of them.
    pub fn new(life: Duration, most: usize) -> Self {
        Self { rows: Mutex::default(), life, most }
    }

    fn rows(&self) -> MutexGuard<'_, HashMap<K, OutcomeRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The outcome of a key that was begun, to wait for.
    pub fn find(&self, key: &K) -> Option<OutcomeReceiver> {
        self.rows().get(key).map(|row| row.outcome.clone())
    }

    /// Begins a key, unless it was begun before.
    pub fn begin(&self, now: Moment, key: K) -> KeyUse {
        let mut rows = self.rows();
        if let Some(row) = rows.get(&key) {
            return KeyUse::Wait(row.outcome.clone());
        }
        if rows.len() >= self.most {
            return KeyUse::Full;
        }
        let (sender, outcome) = watch::channel(None);
        rows.insert(key, OutcomeRow { begun: now, outcome });
        KeyUse::Run(OutcomeGuard { sender })
    }

    /// Notes an outcome told by another node.
    pub fn adopt(&self, now: Moment, key: K, reply: OrderReply) {
        let (_, outcome) = watch::channel(Some(reply));
        self.rows().insert(key, OutcomeRow { begun: now, outcome });
    }

    /// Forgets a key whose request did not run, so that it may be presented again.
    pub fn release(&self, key: &K) {
        self.rows().remove(key);
    }

    /// Forgets keys begun too long ago.
    pub fn sweep(&self, now: Moment) {
        let life = self.life;
        self.rows().retain(|_, row| now.since(row.begun) < life);
    }

    /// Every key with its outcome; one still running is told as unknown.
    pub fn export(&self) -> Vec<(K, OrderReply)> {
        let unknown = OrderReply::Failed(OrderFailure::OutcomeUnknown);
        let rows = self.rows();
        let told = rows.iter().map(|(key, row)| {
            let outcome = row.outcome.borrow().clone();
            (key.clone(), outcome.unwrap_or_else(|| unknown.clone()))
        });
        told.collect()
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.rows().len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Waits for the outcome of another use of the same key.
pub async fn wait_outcome(mut outcome: OutcomeReceiver, wait: Duration) -> OrderReply {
    let told = tokio::time::timeout(wait, outcome.wait_for(Option::is_some)).await;
    let reply = match &told {
        Ok(Ok(reply)) => (**reply).clone(),
        _ => None,
    };
    reply.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
}
