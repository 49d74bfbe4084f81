//! The failure domains that the operator has evacuated. Their servers get no requests until the evacuation ends.
//!
//! The list is always handled as a whole, with its position in the store's history, and the one with the highest
//! position wins, whichever source it came from. A node that cannot reach the store therefore keeps the list it has,
//! and a node that knows of an evacuation's end is not reverted by another node that does not know of it yet.

use std::collections::BTreeSet;

use bincode::{Decode, Encode};
use streamfold_model::FailureDomain;

use crate::interface::{FeedChange, FeedItem, FeedList, FeedPosition};

/// The evacuated failure domains at one position.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationList {
    /// The failure domains.
    pub domains: BTreeSet<FailureDomain>,
    /// The position in the store's history up to which changes are included.
    pub position: FeedPosition,
}

impl EvacuationList {
    /// Builds the list from a listing of the store.
    pub fn from_list(list: &FeedList) -> Self {
        let domains = list.items.iter().filter_map(evacuated_domain).cloned().collect();
        Self { domains, position: list.position }
    }

    /// Formats the failure domains for the log.
    pub fn format_domains(&self) -> String {
        let names: Vec<&str> = self.domains.iter().map(FailureDomain::as_str).collect();
        if names.is_empty() { "none".to_owned() } else { names.join(",") }
    }

    /// Returns the list with changes applied.
    pub fn with_changes(&self, changes: &[FeedChange], position: FeedPosition) -> Self {
        let mut domains = self.domains.clone();
        for change in changes {
            match change {
                FeedChange::Put(item) => domains.extend(evacuated_domain(item).cloned()),
                FeedChange::Removed(entry) => domains.retain(|domain| domain.as_str() != entry.name),
            }
        }
        Self { domains, position }
    }
}

fn evacuated_domain(item: &FeedItem) -> Option<&FailureDomain> {
    match item {
        FeedItem::Evacuation(domain) => Some(domain),
        _ => None,
    }
}
