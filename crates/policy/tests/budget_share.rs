//! The nodes that make the calls may spend the allowance of extra calls, and together they do not exceed it.

use quickcheck::quickcheck;
use streamfold_policy::budget_share::{BudgetNode, BudgetNodes, divide_allowance};

/// The parts of all nodes of a fleet. Each failure domain has a number of owners and of other nodes; the first
/// `with_servers` of them have servers of the service.
fn parts(allowance: f64, service: &str, domains: &[(usize, usize)], with_servers: usize, is_shard: bool) -> Vec<Part> {
    let nodes = BudgetNodes {
        all: domains.iter().map(|(owners, others)| owners + others).sum(),
        owners: domains.iter().map(|(owners, _)| owners).sum(),
        near_owners: domains.iter().take(with_servers).map(|(owners, _)| owners).sum(),
        is_shard,
    };
    let mut parts = Vec::new();
    for (domain, (owners, others)) in domains.iter().enumerate() {
        for number in 0..owners + others {
            let name = format!("node-{domain}-{number}");
            let (is_owner, is_near) = (number < *owners, domain < with_servers);
            let node = BudgetNode { name: &name, is_owner, is_near };
            parts.push(Part { is_owner, is_near, calls: divide_allowance(allowance, service, nodes, node) });
        }
    }
    parts
}

struct Part {
    is_owner: bool,
    is_near: bool,
    calls: f64,
}

fn sum(parts: &[Part]) -> f64 {
    parts.iter().map(|part| part.calls).sum()
}

/// Fleets of six failure domains with ten strong and 154 weak nodes each, and with about twice as many.
const FLEETS: [[(usize, usize); 6]; 2] = [[(10, 154); 6], [(20, 313); 6]];
/// The divided part of the allowance in the largest deployment.
const ALLOWANCE: f64 = 832.0;

#[test]
fn owners_near_a_shard_can_spend_most_of_its_allowance() {
    for fleet in FLEETS {
        let parts = parts(ALLOWANCE, "shard-7", &fleet, 3, true);
        let whole_calls: f64 =
            parts.iter().filter(|part| part.is_owner && part.is_near).map(|part| part.calls.floor()).sum();
        assert!(whole_calls >= ALLOWANCE * 0.6, "{whole_calls} whole calls of {ALLOWANCE}");
    }
}

#[test]
fn most_of_the_allowance_of_an_unsharded_service_is_whole_calls() {
    for fleet in FLEETS {
        let parts = parts(ALLOWANCE, "billing", &fleet, 6, false);
        let whole_calls: f64 = parts.iter().map(|part| part.calls.floor()).sum();
        assert!(whole_calls >= ALLOWANCE * 0.8, "{whole_calls} whole calls of {ALLOWANCE}");
    }
}

#[test]
fn each_of_a_few_equal_nodes_has_a_part() {
    let parts = parts(43.0, "shard-7", &[(3, 0), (2, 0), (2, 0)], 2, true);
    assert!(parts.iter().all(|part| part.calls >= 2.0));
    assert!((sum(&parts) - 43.0).abs() < 1e-6);
}

quickcheck! {
    /// The parts of any fleet together stay within the allowance. Parts below one call are rounded by a hash of the
    /// node's name, so the sum may exceed the allowance by a few standard deviations, but not by more than the part
    /// that is not divided.
    fn the_parts_of_all_nodes_stay_within_the_allowance(domains: Vec<(u8, u8)>, with_servers: u8, allowance: u16, service: String, is_shard: bool) -> bool {
        let domains: Vec<(usize, usize)> =
            domains.into_iter().take(25).map(|(owners, others)| (usize::from(owners) + 1, usize::from(others))).collect();
        if domains.is_empty() {
            return true;
        }
        let allowance = f64::from(allowance % 2_000);
        let parts = parts(allowance, &service, &domains, usize::from(with_servers) % (domains.len() + 1), is_shard);
        sum(&parts) <= allowance + 5.0 * allowance.sqrt() + 5.0
    }
}
