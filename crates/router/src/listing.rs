//! Snapshots of a node's routes, servers and nodes for another node, in one section per failure domain. Only the
//! sections whose digest differs from the other node's are sent.
//!
//! This keeps the load low when a reader is lost: all its followers subscribe to another reader at the same time, and
//! they already have nearly all of its entries.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use streamfold_link::encode_frame;
use streamfold_model::{CrashEntry, EntryRevision, FailureDomain, NodeEntry, RouteTable, ServerEntry, TableVersion};
use xxhash_rust::xxh3::xxh3_64;

use crate::cluster::ClusterEntries;
use crate::evacuation::EvacuationList;
use crate::freshness::FeedAges;
use crate::interface::FeedPosition;
use crate::relay_service::known_entries;
use crate::router::Router;

/// The digest of a node's entries of one failure domain. Equal digests stand for equal entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct SectionDigest {
    servers: u64,
    nodes: u64,
}

/// The digest of a node's routes, servers and nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct KnownDigest {
    /// The version of the node's routes.
    pub version: TableVersion,
    sections: BTreeMap<FailureDomain, SectionDigest>,
}

/// The entries of one failure domain; `None` for entries that the receiver already has.
#[derive(Debug, Clone, Encode, Decode)]
pub struct DomainSection {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The servers in it.
    pub servers: Option<Vec<ServerEntry>>,
    /// The nodes in it.
    pub nodes: Option<Vec<NodeEntry>>,
}

/// Everything that a reader has and its follower lacks.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RelaySnapshot {
    /// The routes, if newer than the follower's.
    pub table: Option<RouteTable>,
    /// The position up to which the sections contain all changes of servers.
    pub servers_position: FeedPosition,
    /// A section for every failure domain that has entries.
    pub sections: Vec<DomainSection>,
    /// The evacuated failure domains, if known.
    pub evacuations: Option<EvacuationList>,
    /// Request contents that crashed servers.
    pub crashes: Vec<CrashEntry>,
    /// How old the sender's knowledge is. A follower that learned it later would read every topic itself at once.
    pub ages: FeedAges,
}

/// The entries of one failure domain with their digest.
#[derive(Debug, Clone, Default)]
struct DomainEntries {
    servers: Vec<ServerEntry>,
    nodes: Vec<NodeEntry>,
    digest: SectionDigest,
}

/// A node's entries of servers and nodes at one time, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct KnownEntries {
    domains: BTreeMap<FailureDomain, DomainEntries>,
    servers_position: FeedPosition,
}

impl KnownEntries {
    /// Copies this node's current entries.
    pub fn of(router: &Router) -> Self {
        let ClusterEntries { servers, servers_position, nodes } = router.cluster.entries(router.clock.now());
        let mut domains: BTreeMap<FailureDomain, DomainEntries> = BTreeMap::new();
        for server in servers {
            domains.entry(server.domain.clone()).or_default().servers.push(server);
        }
        for node in nodes {
            domains.entry(node.domain.clone()).or_default().nodes.push(node);
        }
        for entries in domains.values_mut() {
            entries.servers.sort_by(|a, b| a.id.cmp(&b.id));
            entries.nodes.sort_by(|a, b| a.node.cmp(&b.node));
            entries.digest = entries.digest();
        }
        Self { domains, servers_position }
    }

    /// The digest of these entries and a version of the routes.
    pub fn digest(&self, version: TableVersion) -> KnownDigest {
        let sections = self.domains.iter().map(|(domain, entries)| (domain.clone(), entries.digest));
        KnownDigest { version, sections: sections.collect() }
    }

    /// The sections that another node with this digest needs to have the same entries.
    pub fn sections_for(&self, known: &KnownDigest) -> Vec<DomainSection> {
        let section = |(domain, entries): (&FailureDomain, &DomainEntries)| {
            let other = known.sections.get(domain).copied().unwrap_or_default();
            DomainSection {
                domain: domain.clone(),
                servers: (other.servers != entries.digest.servers).then(|| entries.servers.clone()),
                nodes: (other.nodes != entries.digest.nodes).then(|| entries.nodes.clone()),
            }
        };
        self.domains.iter().map(section).collect()
    }

    /// Completes the sections received by this node with its own entries, and returns all servers and nodes.
    pub fn merge(mut self, sections: Vec<DomainSection>) -> (Vec<ServerEntry>, Vec<NodeEntry>) {
        let (mut servers, mut nodes) = (Vec::new(), Vec::new());
        for section in sections {
            let own = self.domains.remove(&section.domain).unwrap_or_default();
            servers.extend(section.servers.unwrap_or(own.servers));
            nodes.extend(section.nodes.unwrap_or(own.nodes));
        }
        (servers, nodes)
    }
}

impl DomainEntries {
    fn digest(&self) -> SectionDigest {
        // The remaining warm-up time changes all the time, so only whether there is any goes into the digest. The revision
        // says nothing about the entry itself.
        let warmup_flag = |server: &ServerEntry| std::time::Duration::from_micros(u64::from(!server.warmup.is_zero()));
        let servers = self.servers.iter().map(|server| {
            let revision = EntryRevision::default();
            ServerEntry { warmup: warmup_flag(server), revision, ..server.clone() }
        });
        SectionDigest { servers: hash(&servers.collect::<Vec<_>>()), nodes: hash(&self.nodes) }
    }
}

/// The hash of entries. 0 stands for no entries and for entries that cannot be encoded.
fn hash<T: Encode>(entries: &Vec<T>) -> u64 {
    if entries.is_empty() {
        return 0;
    }
    encode_frame(entries).map_or(0, |frame| xxh3_64(&frame))
}

impl RelaySnapshot {
    /// Builds the snapshot that a node with the digest `known` needs to have the same state as this node.
    pub fn build(router: &Router, known: &KnownDigest) -> Self {
        // The ages come first: they must not confirm what the entries do not contain yet.
        let ages = router.freshness.ages();
        let entries = known_entries(router);
        let table = router.cluster.view().table.clone();
        let newer = table.filter(|table| table.version > known.version);
        Self {
            table: newer.map(|table| (*table).clone()),
            servers_position: entries.servers_position,
            sections: entries.sections_for(known),
            evacuations: router.cluster.evacuations(),
            crashes: router.cluster.quarantine.entries(),
            ages,
        }
    }
}
