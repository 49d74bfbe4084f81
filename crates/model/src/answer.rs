//! What callers get: answers with their coverage, and problems that say whether the request ran.

use std::collections::BTreeMap;
use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::ids::{ConfigVersion, IndexVersion, RequestId, ShardId};

/// Header: milliseconds the caller can wait, from arrival.
pub const HEADER_DEADLINE: &str = "streamfold-deadline";
/// Header: `latency` or `coverage`.
pub const HEADER_PREFER: &str = "streamfold-prefer";
/// Header: `true` or `false`; a request that is not repeatable needs an `Idempotency-Key`.
pub const HEADER_REPEATABLE: &str = "streamfold-repeatable";
/// Header: the key under which a request that is not repeatable runs at most once.
pub const HEADER_KEY: &str = "idempotency-key";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// It certainly did not run and never will.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run; nobody can say.
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
    /// No node that owns a connection to the shard's servers could be reached.
    NoOwner,
    /// No server of the shard could be connected to.
    Unreachable,
    /// The servers of the shard shed the work.
    Shed,
    /// No slot came free in time.
    Queued,
    /// The servers did not answer in time.
    Late,
    /// The servers no longer, or do not yet, hold the pinned index version.
    VersionGone,
    /// An answer was malformed, of another version, of another request or over the size limit.
    BadAnswer,
    /// Every server of the shard is leaving.
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

/// A shard that the answer does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// What an answer covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCoverage {
    /// Shards asked for.
    pub shards: usize,
    /// Shards whose results are in the answer.
    pub answered: usize,
    /// The others, in order.
    pub missing: Vec<MissingShard>,
}

impl ShardCoverage {
    /// The share answered, 0 to 1; 1 when nothing was asked for.
    pub fn answered_fraction(&self) -> f64 {
        if self.shards == 0 {
            return 1.0;
        }
        self.answered as f64 / self.shards as f64
    }
}

/// A whole answer: results of one index version, with what they cover.
#[derive(Debug, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The request's id, as in the logs.
    pub request: RequestId,
    /// The one index version every result comes from.
    pub index_version: IndexVersion,
    /// The configuration the request ran under.
    pub config_version: ConfigVersion,
    /// Milliseconds since the node last heard that its configuration is the newest.
    pub config_age_ms: u64,
    /// What the results cover.
    pub coverage: ShardCoverage,
    /// Results by shard, as the servers sent them.
    pub results: BTreeMap<ShardId, Box<RawValue>>,
}

/// An error as RFC 9457 problem details; `ran` says whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// A stable name of the kind of problem, such as `unknown-index`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status.
    pub status: u16,
    /// What went wrong, where, for people.
    pub detail: String,
    /// Whether the request ran.
    pub ran: ExecutionState,
    /// The request's id, when one was given out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// A ticket to use as `Idempotency-Key`, where one would help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Milliseconds after which asking again may help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Every problem found, where there can be several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<String>,
}
