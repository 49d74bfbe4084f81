//! Which nodes of a failure domain follow the platform's store, so that calls to the store grow
//! with failure domains and not with nodes.

use crate::owner::choose_owners;

/// With fewer nodes than this in a failure domain each follows the store by itself: sharing
/// would save a call or two and adds one more node that can fail.
const MIN_SHARING: usize = 4;
/// Readers that a node tries before it follows the store by itself.
const MAX_TRIED: usize = 3;

/// The nodes from which `own` may take the news of the store, the preferred first; none if it
/// follows the store by itself. A node only ever follows nodes of a higher rank, so no two
/// follow each other, whatever each of them knows.
pub fn choose_readers<'a>(own: &str, domain: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    if nodes.len() < MIN_SHARING {
        return Vec::new();
    }
    let ranked = choose_owners(nodes.iter().copied(), domain, nodes.len());
    let above = ranked.into_iter().take_while(|node| *node != own);
    above.take(MAX_TRIED).collect()
}
