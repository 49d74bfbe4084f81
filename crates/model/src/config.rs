//! The checked configuration, laid out for reading on the path of a request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::document::{CallerPreference, ServerProtocol};
use crate::ids::{
    CallerName, ConfigVersion, ContentDigest, FailureDomain, IndexName, IndexVersion, ServerAddress, ShardId,
    UpstreamIndex, UpstreamName,
};

/// A configuration that passed every check. It never changes; a new one replaces it whole.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The committed version, 0 before a commit.
    pub version: ConfigVersion,
    /// Indexes by name.
    pub indexes: BTreeMap<IndexName, Arc<IndexSpec>>,
    /// Upstreams; an [`UpstreamIndex`] is a position here.
    pub upstreams: Vec<Arc<UpstreamSpec>>,
    /// Callers by the digest of their token.
    pub callers: HashMap<ContentDigest, Arc<CallerSpec>>,
}

impl Configuration {
    /// The upstream at a position that came from this configuration.
    pub fn upstream(&self, index: UpstreamIndex) -> &Arc<UpstreamSpec> {
        &self.upstreams[index.0 as usize]
    }

    /// The upstream of this name; upstreams stand in the order of their names.
    pub fn find_upstream(&self, name: &UpstreamName) -> Option<&Arc<UpstreamSpec>> {
        let position = self.upstreams.binary_search_by(|spec| spec.name.cmp(name)).ok()?;
        Some(&self.upstreams[position])
    }

    /// The caller whose token has this digest.
    pub fn caller(&self, token: ContentDigest) -> Option<&Arc<CallerSpec>> {
        self.callers.get(&token)
    }
}

/// An index and its layouts.
#[derive(Debug, PartialEq)]
pub struct IndexSpec {
    /// Its name.
    pub name: IndexName,
    /// Layouts by rising first version; never empty.
    pub layouts: Vec<ShardLayout>,
}

impl IndexSpec {
    /// The layout of an index version: the last one that starts at or before it.
    pub fn layout(&self, version: IndexVersion) -> Option<&ShardLayout> {
        let mut layouts = self.layouts.iter().rev();
        layouts.find(|layout| layout.first_version <= version)
    }

    /// The newest layout.
    pub fn newest_layout(&self) -> &ShardLayout {
        &self.layouts[self.layouts.len() - 1]
    }
}

/// How an index is sharded from one index version on.
#[derive(Debug, PartialEq)]
pub struct ShardLayout {
    /// The first index version with this layout.
    pub first_version: IndexVersion,
    /// For each shard, by number, the upstreams that hold it, the preferred one first.
    pub shards: Vec<Arc<[UpstreamIndex]>>,
}

impl ShardLayout {
    /// The shard that an order's key belongs to: FNV-1a over the key, modulo the shards.
    /// The hash is part of the interface, since upstreams place records by it.
    pub fn shard_of(&self, key: &str) -> ShardId {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let hash = key.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
        ShardId((hash % self.shards.len() as u64) as u32)
    }
}

/// An upstream: servers that hold the same shards.
#[derive(Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: UpstreamName,
    /// The failure domain it runs in.
    pub domain: FailureDomain,
    /// Calls each server runs at the same time.
    pub slots: u32,
    /// Connections each server accepts from everybody together.
    pub connections: u32,
    /// Protocol towards its servers.
    pub protocol: ServerProtocol,
    /// Its servers.
    pub servers: Vec<ServerAddress>,
}

/// A caller and what it may do.
#[derive(Debug, PartialEq)]
pub struct CallerSpec {
    /// Its name.
    pub name: CallerName,
    /// SHA-256 of its bearer token.
    pub token: ContentDigest,
    /// Indexes it may reach.
    pub indexes: Vec<IndexName>,
    /// What it weighs most.
    pub prefer: CallerPreference,
    /// Its default and longest deadline.
    pub deadline: Duration,
    /// When a `latency` caller takes an answer with the wanted coverage.
    pub prefer_within: Duration,
    /// The share of shards a `latency` caller is content with, 0 to 1.
    pub wanted_coverage: f64,
    /// Requests a second at one node.
    pub rate: f64,
    /// Requests running at one node.
    pub concurrency: u32,
}
