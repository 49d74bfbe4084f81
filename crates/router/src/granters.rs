//! Chooses the nodes that grant credit to teams: rendezvous hashing over the node names, so that all nodes choose the
//! same ones without coordination.

use std::collections::BTreeMap;

use streamfold_model::{FailureDomain, NodeEntry, TeamName};
use streamfold_policy::owner::choose_owners;
use streamfold_policy::usage_credit::CreditDomains;

use crate::interface::FeedTopic;
use crate::router::Router;

/// Number of nodes per failure domain that grant credit; each node connects to at most this many of them.
const GRANTERS: usize = 4;
/// Hash key for choosing these nodes, the same for all teams.
const GRANTERS_KEY: &str = "credit";

/// The nodes of each failure domain that grant credit.
pub(crate) type GranterMap = BTreeMap<FailureDomain, Vec<NodeEntry>>;

/// Chooses the nodes of one failure domain that grant credit from all its candidates.
pub(crate) fn choose_granters(nodes: &[&NodeEntry]) -> Vec<NodeEntry> {
    let names = nodes.iter().map(|entry| entry.node.as_str());
    let chosen = choose_owners(names, GRANTERS_KEY, GRANTERS);
    nodes.iter().filter(|entry| chosen.contains(&entry.node.as_str())).map(|entry| (*entry).clone()).collect()
}

/// The first `count` nodes that grant credit, in the order in which they are asked for the credit of a team.
pub(crate) fn rank_granters<'a>(granters: &'a [NodeEntry], team: &TeamName, count: usize) -> Vec<&'a NodeEntry> {
    let names = granters.iter().map(|entry| entry.node.as_str());
    let ranked = choose_owners(names, team.as_str(), count);
    let find = |name: &str| granters.iter().find(|entry| entry.node.as_str() == name);
    ranked.into_iter().filter_map(find).collect()
}

/// The failure domains in which there are nodes that grant credit.
pub(crate) fn known_domains(granters: &GranterMap) -> Vec<&str> {
    granters.keys().map(FailureDomain::as_str).collect()
}

/// The failure domains among which credit is divided, as this node knows them.
pub(crate) fn credit_domains<'a>(router: &Router, known: &'a [&'a str]) -> CreditDomains<'a> {
    CreditDomains {
        known,
        configured: router.settings.regions.len(),
        has_full_listing: router.is_listed(FeedTopic::Nodes),
    }
}

/// The node that grants credit from the pool of a team; `None` before the full list of nodes is known.
pub(crate) fn find_pool<'a>(router: &Router, granters: &'a GranterMap, team: &TeamName) -> Option<&'a NodeEntry> {
    let known = known_domains(granters);
    let pool_domain = credit_domains(router, &known).find_pool(team)?.to_owned();
    let found = granters.iter().find(|(domain, _)| domain.as_str() == pool_domain);
    rank_granters(found?.1, team, 1).first().copied()
}

/// Whether this node is the first to be asked for the credit of a team in its failure domain.
pub(crate) fn is_domain_granter(router: &Router, granters: &GranterMap, team: &TeamName) -> bool {
    let local = granters.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
    rank_granters(local, team, 1).first().is_some_and(|entry| entry.node == router.settings.node)
}

/// Whether this node grants credit from the pool of a team.
pub(crate) fn is_pool(router: &Router, granters: &GranterMap, team: &TeamName) -> bool {
    find_pool(router, granters, team).is_some_and(|entry| entry.node == router.settings.node)
}
