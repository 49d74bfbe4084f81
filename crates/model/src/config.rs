//! The validated configuration, structured for fast lookups while requests are handled.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::document::{CallerPreference, ServerProtocol};
use crate::ids::{
    CallerName, ConfigVersion, ContentDigest, FailureDomain, IndexName, IndexVersion, ServerAddress, ShardId,
    UpstreamIndex, UpstreamName,
};

/// A validated configuration. It is immutable; a new version replaces it as a whole.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The committed version; 0 before the first commit.
    pub version: ConfigVersion,
    /// Indexes by name.
    pub indexes: BTreeMap<IndexName, Arc<IndexSpec>>,
    /// Upstreams; an [`UpstreamIndex`] is a position here.
    pub upstreams: Vec<Arc<UpstreamSpec>>,
    /// Callers by the SHA-256 digest of their bearer token.
    pub callers: HashMap<ContentDigest, Arc<CallerSpec>>,
}

impl Configuration {
    /// Returns an upstream by an index taken from this configuration.
    pub fn upstream(&self, index: UpstreamIndex) -> &Arc<UpstreamSpec> {
        &self.upstreams[index.0 as usize]
    }

    /// Finds an upstream by its name with a binary search, since upstreams are sorted by name.
    pub fn find_upstream(&self, name: &UpstreamName) -> Option<&Arc<UpstreamSpec>> {
        let position = self.upstreams.binary_search_by(|spec| spec.name.cmp(name)).ok()?;
        Some(&self.upstreams[position])
    }

    /// Finds the caller whose token has this digest.
    pub fn caller(&self, token: ContentDigest) -> Option<&Arc<CallerSpec>> {
        self.callers.get(&token)
    }
}

/// An index and its shard layouts.
#[derive(Debug, PartialEq)]
pub struct IndexSpec {
    /// Its name.
    pub name: IndexName,
    /// Layouts sorted by first version, ascending; never empty.
    pub layouts: Vec<ShardLayout>,
}

impl IndexSpec {
    /// Returns the layout of an index version: the newest one whose first version is not above it.
    pub fn layout(&self, version: IndexVersion) -> Option<&ShardLayout> {
        let mut layouts = self.layouts.iter().rev();
        layouts.find(|layout| layout.first_version <= version)
    }

    /// Returns the newest layout.
    pub fn newest_layout(&self) -> &ShardLayout {
        &self.layouts[self.layouts.len() - 1]
    }
}

/// How an index is sharded, starting with one index version.
#[derive(Debug, PartialEq)]
pub struct ShardLayout {
    /// The first index version with this layout.
    pub first_version: IndexVersion,
    /// The upstreams of each shard, indexed by shard number, the preferred upstream first.
    pub shards: Vec<Arc<[UpstreamIndex]>>,
}

impl ShardLayout {
    /// Returns the shard of an order's key: the FNV-1a hash of the key modulo the number of shards.
    /// The hash function is part of the public interface, since upstreams assign records to shards with it.
    pub fn shard_of(&self, key: &str) -> ShardId {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let hash = key.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
        ShardId((hash % self.shards.len() as u64) as u32)
    }
}

/// An upstream: a group of servers that hold the same shards.
#[derive(Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: UpstreamName,
    /// The failure domain it runs in.
    pub domain: FailureDomain,
    /// The most calls that one server runs concurrently.
    pub slots: u32,
    /// The most connections that one server accepts from all nodes together.
    pub connections: u32,
    /// The protocol that its servers use.
    pub protocol: ServerProtocol,
    /// Its servers.
    pub servers: Vec<ServerAddress>,
}

/// A caller and its limits.
#[derive(Debug, PartialEq)]
pub struct CallerSpec {
    /// Its name.
    pub name: CallerName,
    /// SHA-256 of its bearer token.
    pub token: ContentDigest,
    /// Indexes that it may query.
    pub indexes: Vec<IndexName>,
    /// Whether it prefers low latency or full coverage.
    pub prefer: CallerPreference,
    /// The deadline of its requests by default, and the longest that it may set.
    pub deadline: Duration,
    /// The time after which a `latency` caller accepts an answer with the wanted coverage.
    pub prefer_within: Duration,
    /// The fraction of shards that is enough for a `latency` caller, 0 to 1.
    pub wanted_coverage: f64,
    /// The most requests per second at one node.
    pub rate: f64,
    /// The most concurrent requests at one node.
    pub concurrency: u32,
}
