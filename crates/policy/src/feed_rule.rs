//! Which nodes of a failure domain follow the platform's store, so that calls to the store grow
//! with failure domains and not with nodes.
//!
//! The load pattern: hundreds of nodes lose their readers or are started again within a third of a
//! second, and the store turns some of them away.

use std::cmp::Reverse;
use std::time::Duration;

use streamfold_model::CoreShare;

use crate::owner::choose_owners;

/// With fewer nodes than this in a failure domain each follows the store by itself: sharing saves a
/// call or two, and a follower whose reader is cut off learns up to two seconds late that a server's
/// entry went, which with the doubt that follows is too late where servers leave within three.
const MIN_SHARING: usize = 4;
/// Nodes that prefer the same reader: with a hundred a reader of an eighth of a core was busy with
/// them alone and held 58 MB (sweep of 300 nodes).
const FAN_OUT: usize = 16;
/// Readers that a node tries before it follows the store by itself: the store may turn a third of all
/// nodes away, and with three tries a failure domain whose first three nodes were among them made
/// 400 calls in 9 s, each node for itself.
const MAX_TRIED: usize = 8;
/// How long a node that has just been started waits for a reader: so much for each rank, and the
/// longest. Nodes that are started together come up within 300 ms of each other, and one of half a
/// core has read the store 100 ms after; so few nodes of a failure domain read it, and where the first
/// ones do not come up the next in rank do.
const PATIENCE_STEP: Duration = Duration::from_millis(125);
const MAX_PATIENCE: Duration = Duration::from_millis(1_200);

/// A node that may follow or be followed.
#[derive(Debug, Clone, Copy)]
pub struct FeedNode<'a> {
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
    pub patience: Duration,
}

/// The nodes from which `own` may take the news of the store. The nodes form a tree by rank, the
/// strong ones first, of which only the root follows the store. A node only ever follows nodes of a
/// higher rank, so no two follow each other, whatever each of them knows.
pub fn choose_readers<'a>(own: &str, domain: &str, nodes: &[FeedNode<'a>]) -> ReaderChoice<'a> {
    let alone = ReaderChoice { readers: Vec::new(), patience: Duration::ZERO };
    if nodes.len() < MIN_SHARING {
        return alone;
    }
    let mut ranked = choose_owners(nodes.iter().map(|node| node.name), domain, nodes.len());
    let power = |name: &str| nodes.iter().find(|node| node.name == name).and_then(|node| node.power);
    ranked.sort_by_cached_key(|name| Reverse(power(name)));
    let Some(rank) = ranked.iter().position(|node| *node == own) else { return alone };
    let way_up = std::iter::successors(find_parent(rank), |parent| find_parent(*parent));
    let mut readers: Vec<usize> = Vec::new();
    for reader in way_up.chain(0..rank) {
        if !readers.contains(&reader) {
            readers.push(reader);
        }
    }
    let readers = readers.into_iter().take(MAX_TRIED).map(|reader| ranked[reader]).collect();
    let patience = (PATIENCE_STEP * rank as u32).min(MAX_PATIENCE);
    ReaderChoice { readers, patience }
}

/// The rank of the node that one of a rank prefers; none for the root.
fn find_parent(rank: usize) -> Option<usize> {
    rank.checked_sub(1).map(|before| before / FAN_OUT)
}
