//! Schema of the YAML configuration files. Values keep their line numbers for error messages.

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

/// An index and its shard layouts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexDocument {
    /// Layouts; an index version uses the one with the highest `from_version` that is not above it.
    pub layouts: Vec<Spanned<LayoutDocument>>,
}

/// How an index is sharded, starting with one index version.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LayoutDocument {
    /// The first index version with this layout.
    pub from_version: IndexVersion,
    /// The upstreams of each shard range. The ranges together cover all shards from 0 to the highest without a gap.
    pub shards: Vec<Spanned<ShardsDocument>>,
}

/// A range of shards and the upstreams that hold them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardsDocument {
    /// First and last shard of the range, inclusive.
    pub ids: (u32, u32),
    /// The upstreams, each of which holds all of these shards; the preferred one first.
    pub upstreams: Vec<UpstreamName>,
}

/// The protocol of the connections to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerProtocol {
    /// HTTP/2 with prior knowledge.
    #[default]
    H2,
    /// HTTP/1.1, one request at a time on each connection.
    Http1,
}

/// An upstream and its servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDocument {
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// The most calls that one server runs concurrently.
    pub slots: u32,
    /// The most connections that one server accepts from all nodes together.
    pub connections: u32,
    /// The protocol that its servers use.
    #[serde(default)]
    pub protocol: ServerProtocol,
    /// Its servers, each of which holds all of its shards.
    pub servers: Vec<Spanned<ServerAddress>>,
}

/// Whether a caller prefers low latency or full coverage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallerPreference {
    /// Answer as soon as the wanted coverage is reached and the preferred time has passed.
    Latency,
    /// Wait for all shards until the deadline.
    #[default]
    Coverage,
}

/// A caller and its limits.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerDocument {
    /// SHA-256 digest of its bearer token, in hex.
    pub token_sha256: ContentDigest,
    /// Indexes that it may query.
    pub indexes: Vec<Spanned<IndexName>>,
    /// Whether it prefers low latency or full coverage.
    #[serde(default)]
    pub prefer: CallerPreference,
    /// The deadline of requests that set none, and the longest that they may set.
    pub deadline: TimeSpan,
    /// The time after which a `latency` caller accepts an answer with the wanted coverage.
    pub prefer_within: Option<TimeSpan>,
    /// The fraction of shards that is enough for a `latency` caller, 0 to 1.
    pub wanted_coverage: Option<f64>,
    /// The most requests per second that it may send to one node.
    pub rate: CallRate,
    /// The most concurrent requests that it may have at one node.
    pub concurrency: u32,
}
