//! Counts the calls to the platform's store and limits their rate with a token bucket.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use streamfold_policy::{Moment, TokenBucket};
use streamfold_store::store::StoreFuture;
use streamfold_store::{EntityTag, ObjectStore, PutCondition, StoreError, StoredObject};

use crate::clock::NodeClock;
use crate::stats;

/// Maximum number of store calls per second of one node.
const MAX_CALL_RATE: f64 = 100.0;
/// HTTP status of the error for a call over that rate. The call is not sent.
const OVER_RATE: u16 = 429;

/// A store client that counts calls and limits their rate.
pub struct MeteredStore {
    inner: Arc<dyn ObjectStore>,
    clock: NodeClock,
    bucket: Mutex<TokenBucket>,
}

impl MeteredStore {
    /// Wraps a store client.
    pub fn new(inner: Arc<dyn ObjectStore>) -> Self {
        Self { inner, clock: NodeClock::start(), bucket: Mutex::default() }
    }

    async fn meter<T>(&self, kind: &'static str, call: StoreFuture<'_, T>) -> Result<T, StoreError> {
        if !self.take_token(self.clock.now()) {
            return Err(StoreError::Unavailable(OVER_RATE));
        }
        let result = call.await;
        stats::count_store_call(kind, !matches!(&result, Err(error) if *error != StoreError::Conflict));
        result
    }

    fn take_token(&self, now: Moment) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.take(now, MAX_CALL_RATE).is_ok()
    }
}

impl ObjectStore for MeteredStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(self.meter("get", self.inner.get(key)))
    }

    fn put<'a>(&'a self, key: &'a str, body: Bytes, condition: PutCondition) -> StoreFuture<'a, EntityTag> {
        Box::pin(self.meter("put", self.inner.put(key, body, condition)))
    }

    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(self.meter("delete", self.inner.delete(key)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>> {
        Box::pin(self.meter("list", self.inner.list(prefix)))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: Option<EntityTag>,
        wait: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(self.meter("watch", self.inner.watch(key, known, wait)))
    }
}
