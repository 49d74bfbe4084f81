//! What a node knows of routes, servers and nodes, as it is passed on: by sections, one a failure domain,
//! of which only those are sent that the other node does not have just so.
//!
//! Nodes that lose their reader begin anew with another one at the same moment, and have nearly all of what it knows.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use streamfold_link::encode_frame;
use streamfold_model::{CrashEntry, FailureDomain, NodeEntry, RouteTable, ServerEntry, TableVersion};
use xxhash_rust::xxh3::xxh3_64;

use crate::evacuation::EvacuationList;
use crate::router::Router;

/// What a node knows of one failure domain, in short. Two that are equal stand for the same entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct SectionDigest {
    servers: u64,
    nodes: u64,
}

/// What a node knows, in short.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct KnownDigest {
    /// The version of its routes.
    pub version: TableVersion,
    sections: BTreeMap<FailureDomain, SectionDigest>,
}

/// The entries of one failure domain; `None` where the other node has them already.
#[derive(Debug, Clone, Encode, Decode)]
pub struct DomainSection {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Its servers.
    pub servers: Option<Vec<ServerEntry>>,
    /// Its nodes.
    pub nodes: Option<Vec<NodeEntry>>,
}

/// All that a reader knows and the other node does not.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RelaySnapshot {
    /// The routes, if they are newer.
    pub table: Option<RouteTable>,
    /// Every failure domain that has entries.
    pub sections: Vec<DomainSection>,
    /// The evacuated failure domains, if it knows them.
    pub evacuations: Option<EvacuationList>,
    /// Contents that ended servers.
    pub crashes: Vec<CrashEntry>,
}

/// The entries of one failure domain.
#[derive(Debug, Clone, Default)]
struct DomainEntries {
    servers: Vec<ServerEntry>,
    nodes: Vec<NodeEntry>,
    digest: SectionDigest,
}

/// What a node knows of servers and nodes at one moment, by failure domain.
#[derive(Debug, Clone, Default)]
pub struct KnownEntries(BTreeMap<FailureDomain, DomainEntries>);

impl KnownEntries {
    /// What this node knows now.
    pub fn of(router: &Router) -> Self {
        let (servers, nodes) = router.cluster.entries(router.clock.now());
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
        Self(domains)
    }

    /// The same in short.
    pub fn digest(&self, version: TableVersion) -> KnownDigest {
        let sections = self.0.iter().map(|(domain, entries)| (domain.clone(), entries.digest));
        KnownDigest { version, sections: sections.collect() }
    }

    /// The sections that another node needs to know the same.
    pub fn sections_for(&self, known: &KnownDigest) -> Vec<DomainSection> {
        let section = |(domain, entries): (&FailureDomain, &DomainEntries)| {
            let has = known.sections.get(domain).copied().unwrap_or_default();
            DomainSection {
                domain: domain.clone(),
                servers: (has.servers != entries.digest.servers).then(|| entries.servers.clone()),
                nodes: (has.nodes != entries.digest.nodes).then(|| entries.nodes.clone()),
            }
        };
        self.0.iter().map(section).collect()
    }

    /// All servers and nodes by sections that were sent to this node, which has the others.
    pub fn complete(mut self, sections: Vec<DomainSection>) -> (Vec<ServerEntry>, Vec<NodeEntry>) {
        let (mut servers, mut nodes) = (Vec::new(), Vec::new());
        for section in sections {
            let own = self.0.remove(&section.domain).unwrap_or_default();
            servers.extend(section.servers.unwrap_or(own.servers));
            nodes.extend(section.nodes.unwrap_or(own.nodes));
        }
        (servers, nodes)
    }
}

impl DomainEntries {
    fn digest(&self) -> SectionDigest {
        // How much longer a server is cold changes from one moment to the next.
        let coldness = |server: &ServerEntry| std::time::Duration::from_micros(u64::from(!server.warmup.is_zero()));
        let servers = self.servers.iter().map(|server| ServerEntry { warmup: coldness(server), ..server.clone() });
        SectionDigest { servers: hash(&servers.collect::<Vec<_>>()), nodes: hash(&self.nodes) }
    }
}

/// The hash of some entries; 0 stands for none, and for those that cannot be encoded, which are always sent.
fn hash<T: Encode>(entries: &Vec<T>) -> u64 {
    if entries.is_empty() {
        return 0;
    }
    encode_frame(entries).map_or(0, |frame| xxh3_64(&frame))
}

impl RelaySnapshot {
    /// What another node needs to know the same as this one, which has these entries.
    pub fn make(router: &Router, entries: &KnownEntries, known: &KnownDigest) -> Self {
        let table = router.cluster.view().table.clone();
        let newer = table.filter(|table| table.version > known.version);
        Self {
            table: newer.map(|table| (*table).clone()),
            sections: entries.sections_for(known),
            evacuations: router.cluster.evacuations(),
            crashes: router.cluster.quarantine.entries(),
        }
    }
}
