//! Which nodes of a failure domain follow the platform's store, so that calls to the store grow
//! with failure domains and not with nodes.
//!
//! The load pattern: hundreds of nodes lose their readers or are started again within a third of a
//! second, and the store turns some of them away.

use std::cmp::Reverse;
use std::time::Duration;

use streamfold_model::CoreShare;

use crate::owner::choose_owners;
use crate::placement::is_owner;

/// With fewer nodes than this in a failure domain each follows the store by itself: sharing saves a
/// call or two, and a follower whose reader is cut off learns up to two seconds late that a server's
/// entry went, which with the doubt that follows is too late where servers leave within three.
const MIN_SHARING: usize = 4;
/// Nodes that prefer the same reader where all are alike: a reader of an eighth of a core has little left for
/// callers beside a hundred of them.
const FAN_OUT: usize = 16;
/// Readers that a node tries before it follows the store by itself: the store may turn a third of all nodes away,
/// the first few of a failure domain among them.
const MAX_TRIED: usize = 8;
/// How long a node that has just been started waits for a reader: so much for each rank, and the
/// longest. Nodes that are started together come up within 300 ms of each other, and one of half a
/// core has read the store 100 ms after; so few nodes of a failure domain read it, and where the first
/// ones do not come up the next in rank do.
const PATIENCE_STEP: Duration = Duration::from_millis(125);
const MAX_PATIENCE: Duration = Duration::from_millis(1_200);
/// How long it waits for one that says that it is about to begin. A listing grows with servers, and where every node
/// of hundreds takes it from the store after the same second, none has it for ten.
const MAX_STARTING_PATIENCE: Duration = Duration::from_secs(8);
/// Weak nodes that follow one strong node at most; with more of them weak nodes pass news on as well. A strong node's
/// link bears so many at once where a weak one's would take seconds for a few.
const MAX_LEAVES: usize = 32;

/// A node that may follow or be followed.
#[derive(Debug, Clone, Copy)]
pub struct ReaderCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// The processor it has.
    pub power: Option<CoreShare>,
}

/// The nodes from which a node may take the news of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderChoice<'a> {
    /// The nodes, the preferred first; none if it follows the store by itself.
    pub readers: Vec<&'a str>,
    /// How long it waits for one of them when it has just been started.
    pub startup_wait: Duration,
    /// How long it waits then for one that says that it is about to begin.
    pub starting_reader_wait: Duration,
    /// Its rank among those that share a reader, 0 for the first and where nobody does.
    pub rank: usize,
}

/// The nodes from which `own` may take the news of the store. The nodes form a tree by rank, the
/// strong ones first, of which only the root follows the store. Weak nodes follow strong ones. A node only ever follows nodes of a
/// higher rank, so no two follow each other, whatever each of them knows.
pub fn choose_readers<'a>(own: &str, domain: &str, nodes: &[ReaderCandidate<'a>]) -> ReaderChoice<'a> {
    let alone =
        ReaderChoice { readers: Vec::new(), startup_wait: Duration::ZERO, starting_reader_wait: Duration::ZERO, rank: 0 };
    if nodes.len() < MIN_SHARING {
        return alone;
    }
    let mut ranked = choose_owners(nodes.iter().map(|node| node.name), domain, nodes.len());
    let power = |name: &str| nodes.iter().find(|node| node.name == name).and_then(|node| node.power);
    ranked.sort_by_cached_key(|name| Reverse(power(name)));
    let Some(rank) = ranked.iter().position(|node| *node == own) else { return alone };
    let strongest = nodes.iter().map(|node| node.power).max().flatten();
    let strong = ranked.iter().filter(|name| is_owner(power(name), strongest)).count();
    let tree = NodeTree { nodes: ranked.len(), strong };
    let way_up = std::iter::successors(tree.find_parent(rank), |parent| tree.find_parent(*parent));
    let mut readers: Vec<usize> = Vec::new();
    for reader in way_up.chain(0..rank) {
        if !readers.contains(&reader) {
            readers.push(reader);
        }
    }
    let readers = readers.into_iter().take(MAX_TRIED).map(|reader| ranked[reader]).collect();
    let startup_wait = PATIENCE_STEP * rank as u32;
    ReaderChoice {
        readers,
        startup_wait: startup_wait.min(MAX_PATIENCE),
        starting_reader_wait: startup_wait.min(MAX_STARTING_PATIENCE),
        rank,
    }
}

/// How the nodes of a failure domain hang together, by their ranks.
#[derive(Debug, Clone, Copy)]
struct NodeTree {
    nodes: usize,
    /// The strong ones, which come first.
    strong: usize,
}

impl NodeTree {
    /// The rank of the node that one of a rank prefers; none for the root.
    fn find_parent(self, rank: usize) -> Option<usize> {
        let before = rank.checked_sub(1)?;
        let weak = self.nodes - self.strong;
        if rank >= self.strong && weak <= self.strong * MAX_LEAVES {
            return Some((rank - self.strong) % self.strong);
        }
        Some(before / FAN_OUT)
    }
}
