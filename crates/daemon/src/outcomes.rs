//! In-memory table of the outcomes of requests that must not run twice, by idempotency key. A key is used once; a
//! request that repeats it gets the outcome of that use.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_policy::Moment;
use tokio::sync::watch;

use crate::wire::{OrderFailure, OrderReply};

/// Receives the outcome of a key's first use.
pub type OutcomeReceiver = watch::Receiver<Option<OrderReply>>;

/// How a request proceeds with its key.
pub enum KeyUse {
    /// First use: run the request and pass the outcome to the guard.
    Run(OutcomeGuard),
    /// Repeated use: wait for the outcome of the first one.
    Wait(OutcomeReceiver),
    /// The table is full of keys that have not expired yet.
    Full,
}

/// Publishes the outcome to all waiting requests. If it is dropped before, the outcome is unknown.
pub struct OutcomeGuard {
    sender: watch::Sender<Option<OrderReply>>,
}

impl OutcomeGuard {
    /// Publishes the outcome.
    pub fn finish(self, reply: OrderReply) {
        self.sender.send_replace(Some(reply));
    }
}

struct OutcomeRow {
    started: Moment,
    outcome: OutcomeReceiver,
}

/// Outcomes by key, which expire after a time.
pub struct OutcomeTable<K> {
    rows: Mutex<HashMap<K, OutcomeRow>>,
    lifetime: Duration,
    capacity: usize,
}

impl<K: Eq + Hash + Clone> OutcomeTable<K> {
    /// Creates an empty table that keeps each key for `lifetime`, and at most `capacity` keys.
    pub fn new(lifetime: Duration, capacity: usize) -> Self {
        Self { rows: Mutex::default(), lifetime, capacity }
    }

    fn rows(&self) -> MutexGuard<'_, HashMap<K, OutcomeRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The receiver of a used key's outcome.
    pub fn find(&self, key: &K) -> Option<OutcomeReceiver> {
        self.rows().get(key).map(|row| row.outcome.clone())
    }

    /// Marks a key as used, or returns the outcome of its earlier use.
    pub fn begin(&self, now: Moment, key: K) -> KeyUse {
        let mut rows = self.rows();
        if let Some(row) = rows.get(&key) {
            return KeyUse::Wait(row.outcome.clone());
        }
        if rows.len() >= self.capacity {
            return KeyUse::Full;
        }
        let (sender, outcome) = watch::channel(None);
        rows.insert(key, OutcomeRow { started: now, outcome });
        KeyUse::Run(OutcomeGuard { sender })
    }

    /// Inserts an outcome that another node handed over.
    pub fn adopt(&self, now: Moment, key: K, reply: OrderReply) {
        let (_, outcome) = watch::channel(Some(reply));
        self.rows().insert(key, OutcomeRow { started: now, outcome });
    }

    /// Removes a key whose request did not run, so that it can be used again.
    pub fn release(&self, key: &K) {
        self.rows().remove(key);
    }

    /// Removes expired keys.
    pub fn sweep(&self, now: Moment) {
        let lifetime = self.lifetime;
        self.rows().retain(|_, row| now.since(row.started) < lifetime);
    }

    /// Every key with its outcome; a request that is still running has an unknown one.
    pub fn export(&self) -> Vec<(K, OrderReply)> {
        let unknown = OrderReply::Failed(OrderFailure::OutcomeUnknown);
        let rows = self.rows();
        let outcomes = rows.iter().map(|(key, row)| {
            let outcome = row.outcome.borrow().clone();
            (key.clone(), outcome.unwrap_or_else(|| unknown.clone()))
        });
        outcomes.collect()
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.rows().len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Waits for the outcome of the first use of a key; it is unknown after the timeout.
pub async fn wait_outcome(mut outcome: OutcomeReceiver, timeout: Duration) -> OrderReply {
    let result = tokio::time::timeout(timeout, outcome.wait_for(Option::is_some)).await;
    let reply = match &result {
        Ok(Ok(reply)) => (**reply).clone(),
        _ => None,
    };
    reply.unwrap_or(OrderReply::Failed(OrderFailure::OutcomeUnknown))
}
