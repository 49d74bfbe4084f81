//! Which nodes give the credit of a team: the same everywhere by their names.

use std::collections::BTreeMap;

use streamfold_model::{FailureDomain, NodeEntry, TeamName};
use streamfold_policy::owner::choose_owners;
use streamfold_policy::usage_credit::CreditDomains;

use crate::border::FeedTopic;
use crate::router::Router;

/// Nodes of each failure domain that give credit: so many links lead there from any node.
const LENDERS: usize = 4;
/// The key by which they are chosen, the same for all teams (rendezvous hashing).
const LENDERS_KEY: &str = "credit";

/// The nodes of each failure domain that give credit.
pub(crate) type LenderMap = BTreeMap<FailureDomain, Vec<NodeEntry>>;

/// The nodes of a failure domain that give credit, of all that could.
pub(crate) fn choose_lenders(nodes: &[&NodeEntry]) -> Vec<NodeEntry> {
    let names = nodes.iter().map(|entry| entry.node.as_str());
    let chosen = choose_owners(names, LENDERS_KEY, LENDERS);
    nodes.iter().filter(|entry| chosen.contains(&entry.node.as_str())).map(|entry| (*entry).clone()).collect()
}

/// At most `count` of the nodes that give credit, in the order in which a team's credit is asked of them.
pub(crate) fn rank_lenders<'a>(lenders: &'a [NodeEntry], team: &TeamName, count: usize) -> Vec<&'a NodeEntry> {
    let names = lenders.iter().map(|entry| entry.node.as_str());
    let ranked = choose_owners(names, team.as_str(), count);
    let find = |name: &str| lenders.iter().find(|entry| entry.node.as_str() == name);
    ranked.into_iter().filter_map(find).collect()
}

/// The failure domains that have nodes which give credit.
pub(crate) fn known_domains(lenders: &LenderMap) -> Vec<&str> {
    lenders.keys().map(FailureDomain::as_str).collect()
}

/// Among which failure domains credit is divided.
pub(crate) fn credit_domains<'a>(router: &Router, known: &'a [&'a str]) -> CreditDomains<'a> {
    CreditDomains {
        known,
        configured: router.settings.regions.len(),
        has_full_listing: router.is_listed(FeedTopic::Nodes),
    }
}

/// The node that lends from the pool of a team.
pub(crate) fn find_pool<'a>(router: &Router, lenders: &'a LenderMap, team: &TeamName) -> Option<&'a NodeEntry> {
    let known = known_domains(lenders);
    let home = credit_domains(router, &known).find_pool(team)?.to_owned();
    let here = lenders.iter().find(|(domain, _)| domain.as_str() == home);
    rank_lenders(here?.1, team, 1).first().copied()
}

/// Whether this node is the first to deal out a team's credit in its failure domain.
pub(crate) fn is_dealer(router: &Router, lenders: &LenderMap, team: &TeamName) -> bool {
    let here = lenders.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
    rank_lenders(here, team, 1).first().is_some_and(|entry| entry.node == router.settings.node)
}

/// Whether this node lends from a team's pool.
pub(crate) fn is_pool(router: &Router, lenders: &LenderMap, team: &TeamName) -> bool {
    find_pool(router, lenders, team).is_some_and(|entry| entry.node == router.settings.node)
}
