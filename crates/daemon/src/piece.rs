//! A piece of work at an owner: what it needs, how far it has come, what it gave.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::value::RawValue;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion, ShardId};
use streamfold_policy::{HeldVersions, Moment};

use crate::headers;
use crate::stats;

/// What every piece of one batch shares.
#[derive(Debug, Clone)]
pub struct PieceContext {
    /// The request's id as it goes out.
    pub request_value: HeaderValue,
    /// The path at the servers.
    pub path: PathAndQuery,
    /// The index.
    pub index: IndexName,
    /// The pinned version; orders have none.
    pub version: Option<IndexVersion>,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeatable: bool,
    /// The key of a request that is not repeatable.
    pub key: Option<String>,
    /// The caller's body.
    pub body: Bytes,
    /// The deadline by this node's clock.
    pub deadline: Moment,
    /// The largest answer taken.
    pub answer_limit: usize,
}

/// How far a piece of work has come, readable after it was cut short.
#[derive(Debug)]
pub struct PieceProgress(Mutex<ProgressCounts>);

#[derive(Debug)]
pub(crate) struct ProgressCounts {
    pub(crate) calls: u32,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) waited: Duration,
    pub(crate) served: Duration,
}

impl Default for PieceProgress {
    fn default() -> Self {
        let outcome = AttemptOutcome::NotSent;
        Self(Mutex::new(ProgressCounts { calls: 0, outcome, waited: Duration::ZERO, served: Duration::ZERO }))
    }
}

impl PieceProgress {
    pub(crate) fn lock(&self) -> MutexGuard<'_, ProgressCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls made.
    pub fn calls(&self) -> u32 {
        self.lock().calls
    }

    /// What may be said of the work if nothing more comes of it.
    pub fn outcome(&self) -> AttemptOutcome {
        self.lock().outcome
    }

    /// Microseconds it waited for slots.
    pub fn waited_us(&self) -> u64 {
        self.lock().waited.as_micros() as u64
    }

    /// Microseconds it was served.
    pub fn served_us(&self) -> u64 {
        self.lock().served.as_micros() as u64
    }

    pub(crate) fn count_call(&self) {
        self.lock().calls += 1;
    }

    pub(crate) fn replace(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        std::mem::replace(&mut self.lock().outcome, outcome)
    }

    /// Adds the outcome of one more attempt.
    pub(crate) fn note(&self, outcome: AttemptOutcome) {
        let mut progress = self.lock();
        progress.outcome = progress.outcome.combine(outcome);
    }
}

/// Results of one server.
#[derive(Debug)]
pub struct PieceAnswer {
    /// The version they come from.
    pub version: IndexVersion,
    /// Results by shard.
    pub shards: Vec<(ShardId, Vec<u8>)>,
}

/// A header's value, if it is there and well formed.
pub fn read_header<T: FromStr>(fields: &HeaderMap, name: HeaderName) -> Option<T> {
    fields.get(name)?.to_str().ok()?.parse().ok()
}

/// The versions a server says it holds.
pub fn read_held(fields: &HeaderMap) -> Option<HeldVersions> {
    let text = fields.get(headers::HELD)?.to_str().ok()?;
    let (oldest, newest) = text.split_once('-')?;
    let held = HeldVersions { oldest: oldest.parse().ok()?, newest: newest.parse().ok()? };
    (held.oldest <= held.newest).then_some(held)
}

/// Reads an answer's results; `None` if it is of another version than the pinned one, is
/// malformed or holds shards that were not asked for.
pub fn read_answer(context: &PieceContext, shards: &[ShardId], fields: &HeaderMap, body: &[u8]) -> Option<PieceAnswer> {
    let version: IndexVersion = read_header(fields, headers::VERSION)?;
    if context.version.is_some_and(|pinned| pinned != version) {
        stats::count_other_version();
        return None;
    }
    let results: BTreeMap<ShardId, &RawValue> = serde_json::from_slice(body).ok()?;
    if !results.keys().all(|shard| shards.binary_search(shard).is_ok()) {
        return None;
    }
    let own = results.into_iter().map(|(shard, raw)| (shard, raw.get().as_bytes().to_vec()));
    Some(PieceAnswer { version, shards: own.collect() })
}
