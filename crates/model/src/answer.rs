//! Responses to callers: answers with their shard coverage, and errors that state whether the request ran.

use std::collections::BTreeMap;
use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::ids::{ConfigVersion, IndexVersion, RequestId, ShardId};

/// Request header: deadline in milliseconds from the arrival of the request.
pub const HEADER_DEADLINE: &str = "streamfold-deadline";
/// Request header: what the caller prefers, `latency` or `coverage`.
pub const HEADER_PREFER: &str = "streamfold-prefer";
/// Request header: `true` or `false`. A request that is not repeatable needs an `Idempotency-Key`.
pub const HEADER_REPEATABLE: &str = "streamfold-repeatable";
/// Request header: the idempotency key. Requests with the same key run at most once.
pub const HEADER_KEY: &str = "idempotency-key";

/// Whether a request ran at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// It certainly did not run and never will.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run; this cannot be determined.
    Unknown,
}

impl fmt::Display for ExecutionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No node that owns connections to the servers of the shard could be reached.
    NoOwner,
    /// No server of the shard could be connected to.
    Unreachable,
    /// The servers of the shard rejected the request because of overload.
    Shed,
    /// No server slot became free in time.
    Queued,
    /// The servers did not answer in time.
    Late,
    /// The servers do not hold the index version of the request, either no longer or not yet.
    VersionGone,
    /// The answer was malformed, too large, or belonged to another index version or another request.
    BadAnswer,
    /// Every server of the shard is shutting down.
    Leaving,
}

impl fmt::Display for MissingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoOwner => "no_owner",
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Queued => "queued",
            Self::Late => "late",
            Self::VersionGone => "version_gone",
            Self::BadAnswer => "bad_answer",
            Self::Leaving => "leaving",
        })
    }
}

/// A shard whose results are missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// The shards that an answer covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCoverage {
    /// Number of requested shards.
    pub shards: usize,
    /// Number of shards whose results are in the answer.
    pub answered: usize,
    /// The other shards, ordered by number.
    pub missing: Vec<MissingShard>,
}

impl ShardCoverage {
    /// Fraction of the requested shards that are answered, 0 to 1; 1 if none was requested.
    pub fn answered_fraction(&self) -> f64 {
        if self.shards == 0 {
            return 1.0;
        }
        self.answered as f64 / self.shards as f64
    }
}

/// The answer to a query: results of a single index version and the shards they cover.
#[derive(Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The id of the request, as in the logs.
    pub request: RequestId,
    /// The index version that all results come from.
    pub index_version: IndexVersion,
    /// The configuration version that the request ran under.
    pub config_version: ConfigVersion,
    /// Milliseconds since the node last confirmed that its configuration is the newest.
    pub config_age_ms: u64,
    /// The shards that the results cover.
    pub coverage: ShardCoverage,
    /// Results by shard, as JSON that is passed on unchanged from the servers.
    pub results: BTreeMap<ShardId, Box<RawValue>>,
}

/// An error as RFC 9457 problem details, with the addition of `ran`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// Stable identifier of the kind of problem, such as `unknown-index`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// Explanation for people.
    pub detail: String,
    /// Whether the request ran.
    pub ran: ExecutionState,
    /// The id of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// A ticket that a retry can use as its `Idempotency-Key`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Milliseconds after which a retry may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// All problems found, where there can be several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
}
