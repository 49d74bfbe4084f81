//! Which nodes of a failure domain follow the platform's store, so that calls to the store grow
//! with failure domains and not with nodes.

use crate::owner::choose_owners;

/// With fewer nodes than this in a failure domain each follows the store by itself: sharing saves a
/// call or two, and a follower whose reader is cut off learns up to two seconds late that a server's
/// entry went, which with the doubt that follows is too late where servers leave within three.
const MIN_SHARING: usize = 4;
/// Nodes that prefer the same reader: with a hundred a reader of an eighth of a core was busy with
/// them alone and held 58 MB (sweep of 300 nodes).
const FAN_OUT: usize = 16;
/// Readers that a node tries before it follows the store by itself.
const MAX_TRIED: usize = 3;

/// The nodes from which `own` may take the news of the store, the preferred first; none if it
/// follows the store by itself. The nodes form a tree by rank, of which only the root follows the
/// store. A node only ever follows nodes of a higher rank, so no two follow each other, whatever
/// each of them knows.
pub fn choose_readers<'a>(own: &str, domain: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    if nodes.len() < MIN_SHARING {
        return Vec::new();
    }
    let ranked = choose_owners(nodes.iter().copied(), domain, nodes.len());
    let Some(rank) = ranked.iter().position(|node| *node == own) else { return Vec::new() };
    let way_up = std::iter::successors(find_parent(rank), |parent| find_parent(*parent));
    let mut readers: Vec<usize> = Vec::new();
    for reader in way_up.chain(0..rank) {
        if !readers.contains(&reader) {
            readers.push(reader);
        }
    }
    readers.into_iter().take(MAX_TRIED).map(|reader| ranked[reader]).collect()
}

/// The rank of the node that one of a rank prefers; none for the root.
fn find_parent(rank: usize) -> Option<usize> {
    rank.checked_sub(1).map(|before| before / FAN_OUT)
}
