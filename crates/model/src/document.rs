//! The configuration as written: YAML documents, with the line each value stands on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

use crate::ids::{CallerName, ContentDigest, FailureDomain, IndexName, IndexVersion, ServerAddress, UpstreamName};
use crate::units::{CallRate, TimeSpan};

/// One YAML file of a configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Indexes by name.
    #[serde(default)]
    pub indexes: BTreeMap<IndexName, Spanned<IndexDocument>>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Spanned<UpstreamDocument>>,
    /// Callers by name.
    #[serde(default)]
    pub callers: BTreeMap<CallerName, Spanned<CallerDocument>>,
}

/// An index and its layouts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// Layouts; the one with the highest `from_version` not above an index version is its own.
    pub layouts: Vec<Spanned<LayoutDocument>>,
}

/// How an index is sharded from one index version on.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayoutDocument {
    /// The first index version with this layout.
    pub from_version: IndexVersion,
    /// Which upstreams hold which shards; together they cover 0 to the highest without a gap.
    pub shards: Vec<Spanned<ShardsDocument>>,
}

/// A run of shards and the upstreams that hold them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardsDocument {
    /// First and last shard, both included.
    pub ids: (u32, u32),
    /// The upstreams, each holding all of these shards, the preferred one first.
    pub upstreams: Vec<UpstreamName>,
}

/// Protocol towards a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerProtocol {
    /// HTTP/2 with prior knowledge.
    #[default]
    H2,
    /// HTTP/1.1, one request at a time on a connection.
    Http1,
}

/// An upstream and its servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDocument {
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Calls each server runs at the same time.
    pub slots: u32,
    /// Connections each server accepts from everybody together.
    pub connections: u32,
    /// Protocol towards its servers.
    #[serde(default)]
    pub protocol: ServerProtocol,
    /// Its servers, each holding all of its shards.
    pub servers: Vec<Spanned<ServerAddress>>,
}

/// What a caller weighs most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallerPreference {
    /// Answer once the wanted coverage is there and the preferred time is over.
    Latency,
    /// Wait to the deadline for the whole.
    #[default]
    Coverage,
}

/// A caller and what it may do.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerDocument {
    /// SHA-256 of its bearer token, hex.
    pub token_sha256: ContentDigest,
    /// Indexes it may reach.
    pub indexes: Vec<Spanned<IndexName>>,
    /// What it weighs most.
    #[serde(default)]
    pub prefer: CallerPreference,
    /// The deadline of a request that names none, and the longest it may name.
    pub deadline: TimeSpan,
    /// The time after which a `latency` caller takes an answer with the wanted coverage.
    pub prefer_within: Option<TimeSpan>,
    /// The share of shards a `latency` caller is content with, 0 to 1.
    pub wanted_coverage: Option<f64>,
    /// Requests a second it may send to one node.
    pub rate: CallRate,
    /// Requests it may have running at one node.
    pub concurrency: u32,
}
