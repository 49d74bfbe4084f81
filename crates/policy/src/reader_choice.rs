//! Selects the readers that a node may follow, which forward the updates of the platform's store to it. In a failure
//! domain with enough nodes only one of them reads the store, so the store load grows with the number of failure
//! domains and not of nodes.
//!
//! The load pattern is hundreds of nodes that lose their readers or restart within a third of a second, while
//! the store rejects some of them.

use std::cmp::Reverse;
use std::time::Duration;

use streamfold_model::CoreShare;

use crate::owner::choose_owners;
use crate::placement::is_owner;

/// With fewer nodes than this in a failure domain, each node reads the store directly. Sharing would save only a
/// call or two, and a follower whose reader is cut off learns up to two seconds late that a server's entry was
/// removed. With the verification that follows, that is too late for servers that leave within three seconds.
const MIN_NODES_TO_SHARE: usize = 4;
/// Maximum number of nodes that prefer the same reader if all nodes are equally strong. With a hundred followers, a
/// reader with an eighth of a core has little capacity left for callers.
const FAN_OUT: usize = 16;
/// Readers that a node tries before it reads the store directly. The store may reject a third of all nodes, including
/// the first few of a failure domain.
const MAX_READERS: usize = 8;
/// How long a node waits for a reader after its start: the wait per rank, and the maximum. Nodes that start together
/// come up within 300 ms of each other, and a node with half a core has read the store 100 ms later. So few nodes of a
/// failure domain read the store, and if the first ones do not come up, the next ones in rank do it.
const STARTUP_WAIT_STEP: Duration = Duration::from_millis(125);
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum wait for a reader that reports that it is starting. A listing grows with the number of servers. If hundreds
/// of nodes all stopped waiting after the same second and fetched it from the store, none would have it for ten
/// seconds.
const MAX_STARTING_READER_WAIT: Duration = Duration::from_secs(8);
/// Maximum number of weak nodes that follow one strong node; beyond it, weak nodes forward updates as well. The link
/// of a strong node can serve this many followers at once, while the link of a weak node takes seconds for a few.
const MAX_WEAK_FOLLOWERS: usize = 32;

/// A node that may act as a reader or follow one.
#[derive(Debug, Clone, Copy)]
pub struct ReaderCandidate<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Its CPU share, if it reports one.
    pub cpu_share: Option<CoreShare>,
}

/// The readers from which a node may receive store updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderChoice<'a> {
    /// Names of the readers in order of preference; empty if the node reads the store directly.
    pub readers: Vec<&'a str>,
    /// How long the node waits for a reader after its start.
    pub startup_wait: Duration,
    /// How long it then waits for a reader that reports that it is starting.
    pub starting_reader_wait: Duration,
    /// Its rank among the nodes that share readers; 0 for the first node and if readers are not shared.
    pub rank: usize,
}

/// Selects the readers from which `own` may receive store updates. The nodes form a tree by rank, the strong ones
/// first, and only the root reads the store. Weak nodes follow strong ones. A node only follows nodes that rank
/// before it, so no two nodes follow each other, even if their membership views differ.
pub fn choose_readers<'a>(own: &str, domain: &str, nodes: &[ReaderCandidate<'a>]) -> ReaderChoice<'a> {
    let direct = ReaderChoice {
        readers: Vec::new(),
        startup_wait: Duration::ZERO,
        starting_reader_wait: Duration::ZERO,
        rank: 0,
    };
    if nodes.len() < MIN_NODES_TO_SHARE {
        return direct;
    }
    let mut ranked = choose_owners(nodes.iter().map(|node| node.name), domain, nodes.len());
    let cpu_share = |name: &str| nodes.iter().find(|node| node.name == name).and_then(|node| node.cpu_share);
    ranked.sort_by_cached_key(|name| Reverse(cpu_share(name)));
    let Some(rank) = ranked.iter().position(|node| *node == own) else { return direct };
    let strongest = nodes.iter().map(|node| node.cpu_share).max().flatten();
    let strong = ranked.iter().filter(|name| is_owner(cpu_share(name), strongest)).count();
    let tree = NodeTree { nodes: ranked.len(), strong };
    let ancestors = std::iter::successors(tree.find_parent(rank), |parent| tree.find_parent(*parent));
    let mut readers: Vec<usize> = Vec::new();
    for reader in ancestors.chain(0..rank) {
        if !readers.contains(&reader) {
            readers.push(reader);
        }
    }
    let readers = readers.into_iter().take(MAX_READERS).map(|reader| ranked[reader]).collect();
    let startup_wait = STARTUP_WAIT_STEP * rank as u32;
    ReaderChoice {
        readers,
        startup_wait: startup_wait.min(MAX_STARTUP_WAIT),
        starting_reader_wait: startup_wait.min(MAX_STARTING_READER_WAIT),
        rank,
    }
}

/// The tree of the nodes of a failure domain, addressed by rank.
#[derive(Debug, Clone, Copy)]
struct NodeTree {
    nodes: usize,
    /// Number of strong nodes, which have the lowest ranks.
    strong: usize,
}

impl NodeTree {
    /// The rank of the preferred reader of the node with the given rank; `None` for the root.
    fn find_parent(self, rank: usize) -> Option<usize> {
        let before = rank.checked_sub(1)?;
        let weak = self.nodes - self.strong;
        if rank >= self.strong && weak <= self.strong * MAX_WEAK_FOLLOWERS {
            return Some((rank - self.strong) % self.strong);
        }
        Some(before / FAN_OUT)
    }
}
