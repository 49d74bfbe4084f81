//! A piece: the shards of a request that one upstream serves, as its owner executes them. Input, progress and answer.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::value::RawValue;
use streamfold_model::{AttemptOutcome, IndexName, IndexVersion, ShardId};
use streamfold_policy::{HeldVersions, Moment};
use streamfold_router::caller_limits::CallerLimits;

use crate::headers;
use crate::stats;

/// The input that all pieces of a batch share.
#[derive(Debug, Clone)]
pub struct PieceContext {
    /// The request's id as a header value.
    pub request_value: HeaderValue,
    /// The URL path at the servers.
    pub path: PathAndQuery,
    /// Name of the index.
    pub index: IndexName,
    /// The pinned index version; orders have none.
    pub version: Option<IndexVersion>,
    /// Whether an attempt with an unknown outcome may be repeated.
    pub repeatable: bool,
    /// The idempotency key of a non-repeatable request.
    pub key: Option<String>,
    /// The body of the caller's request.
    pub body: Bytes,
    /// The deadline on this node's clock.
    pub deadline: Moment,
    /// Maximum size of a server's answer, in bytes.
    pub answer_limit: usize,
    /// The memory that answers share.
    pub callers: Arc<CallerLimits>,
}

/// The progress of a piece, which can be read after the piece was cancelled.
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

    /// The number of calls to servers.
    pub fn calls(&self) -> u32 {
        self.lock().calls
    }

    /// The outcome to report if the piece is cancelled now.
    pub fn outcome(&self) -> AttemptOutcome {
        self.lock().outcome
    }

    /// Microseconds that it waited for slots at servers.
    pub fn waited_us(&self) -> u64 {
        self.lock().waited.as_micros() as u64
    }

    /// Microseconds that its calls to servers took.
    pub fn served_us(&self) -> u64 {
        self.lock().served.as_micros() as u64
    }

    pub(crate) fn count_call(&self) {
        self.lock().calls += 1;
    }

    pub(crate) fn replace_outcome(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        std::mem::replace(&mut self.lock().outcome, outcome)
    }

    /// Combines the outcome with that of another attempt.
    pub(crate) fn add_outcome(&self, outcome: AttemptOutcome) {
        let mut progress = self.lock();
        progress.outcome = progress.outcome.combine(outcome);
    }
}

/// The answer of one server.
#[derive(Debug)]
pub struct PieceAnswer {
    /// The index version that the results come from.
    pub version: IndexVersion,
    /// Results by shard.
    pub shards: Vec<(ShardId, Vec<u8>)>,
}

/// The parsed value of a header; `None` if it is missing or malformed.
pub fn read_header<T: FromStr>(fields: &HeaderMap, name: HeaderName) -> Option<T> {
    fields.get(name)?.to_str().ok()?.parse().ok()
}

/// The range of index versions that a server reports in its answer.
pub fn read_held_versions(fields: &HeaderMap) -> Option<HeldVersions> {
    let text = fields.get(headers::HELD)?.to_str().ok()?;
    let (oldest, newest) = text.split_once('-')?;
    let held = HeldVersions { oldest: oldest.parse().ok()?, newest: newest.parse().ok()? };
    (held.oldest <= held.newest).then_some(held)
}

/// Parses an answer; `None` if it is of another version than the pinned one, is malformed, or has shards that were not
/// requested.
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
