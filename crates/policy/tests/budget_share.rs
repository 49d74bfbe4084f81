//! Who may spend the allowance of extra calls is who makes the calls, and together they never spend more.

use quickcheck::quickcheck;
use streamfold_policy::budget_share::{BudgetNode, BudgetNodes, divide_allowance};

/// The parts of all nodes of a fleet: owners and others in each failure domain, servers in the first few.
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

/// Six failure domains of ten strong and 154 weak nodes, and twice as many.
const FLEETS: [[(usize, usize); 6]; 2] = [[(10, 154); 6], [(20, 313); 6]];
/// The allowance of the largest deployment, as far as it is divided.
const ALLOWANCE: f64 = 832.0;

#[test]
fn in_a_fleet_the_owners_near_a_shard_can_spend_most_of_its_allowance() {
    for fleet in FLEETS {
        let parts = parts(ALLOWANCE, "shard-7", &fleet, 3, true);
        let whole: f64 = parts.iter().filter(|part| part.is_owner && part.is_near).map(|part| part.calls.floor()).sum();
        assert!(whole >= ALLOWANCE * 0.6, "{whole} whole calls of {ALLOWANCE}");
    }
}

#[test]
fn in_a_fleet_most_of_the_allowance_of_a_lone_service_is_whole_calls() {
    for fleet in FLEETS {
        let parts = parts(ALLOWANCE, "billing", &fleet, 6, false);
        let whole: f64 = parts.iter().map(|part| part.calls.floor()).sum();
        assert!(whole >= ALLOWANCE * 0.8, "{whole} whole calls of {ALLOWANCE}");
    }
}

#[test]
fn among_few_equal_nodes_each_has_some() {
    let parts = parts(43.0, "shard-7", &[(3, 0), (2, 0), (2, 0)], 2, true);
    assert!(parts.iter().all(|part| part.calls >= 2.0));
    assert!((sum(&parts) - 43.0).abs() < 1e-6);
}

quickcheck! {
    /// Whatever the fleet is like: what is dealt in whole calls is a matter of names, so the sum may go over by some
    /// times its spread, and never beyond what is not divided.
    fn the_parts_of_all_nodes_are_the_allowance(domains: Vec<(u8, u8)>, with_servers: u8, allowance: u16, service: String, is_shard: bool) -> bool {
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
