//! Failure domains that the operator has evacuated: their servers get nothing until they are given back.
//!
//! The list is known as a whole with its position in the store's history, and the newest one holds,
//! whoever told it. So a node that cannot look keeps what it knows, and one that was told of an
//! evacuation's end is not led back by another that has not heard of it.

use std::collections::BTreeSet;

use bincode::{Decode, Encode};
use streamfold_model::FailureDomain;

use crate::interface::{FeedChange, FeedItem, FeedList, FeedPosition};

/// The evacuated failure domains at one position.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationList {
    /// The failure domains.
    pub domains: BTreeSet<FailureDomain>,
    /// The position up to which changes are in it.
    pub position: FeedPosition,
}

impl EvacuationList {
    /// The list that the store told.
    pub fn from_list(list: &FeedList) -> Self {
        let domains = list.items.iter().filter_map(read_domain).cloned().collect();
        Self { domains, position: list.position }
    }

    /// The failure domains for the log.
    pub fn format_domains(&self) -> String {
        let names: Vec<&str> = self.domains.iter().map(FailureDomain::as_str).collect();
        if names.is_empty() { "none".to_owned() } else { names.join(",") }
    }

    /// The list after some changes.
    pub fn with_changes(&self, changes: &[FeedChange], position: FeedPosition) -> Self {
        let mut domains = self.domains.clone();
        for change in changes {
            match change {
                FeedChange::Put(item) => domains.extend(read_domain(item).cloned()),
                FeedChange::Removed(entry) => domains.retain(|domain| domain.as_str() != entry.name),
            }
        }
        Self { domains, position }
    }
}

fn read_domain(item: &FeedItem) -> Option<&FailureDomain> {
    match item {
        FeedItem::Evacuation(domain) => Some(domain),
        _ => None,
    }
}
