//! Ownership of keys, and the division of a server's connection limit among nodes.

use quickcheck::quickcheck;
use streamfold_policy::owner::{NodeCounts, NodeRole, choose_owners, divide_connections, group_by_owner};

/// The total of the connections of all nodes, where `owners` counts a subset of `nodes`.
fn total_connections(limit: u32, nodes: NodeCounts, owners: NodeCounts) -> usize {
    let share = |is_near, is_owner| divide_connections(limit, nodes, owners, NodeRole { is_near, is_owner }) as usize;
    let near = owners.near * share(true, true) + (nodes.near - owners.near) * share(true, false);
    let far = owners.far * share(false, true) + (nodes.far - owners.far) * share(false, false);
    near + far
}

quickcheck! {
    fn the_total_stays_within_the_limit_plus_one_connection_per_node(limit: u16, near: u8, far: u8, owners: (u8, u8)) -> bool {
        let nodes = NodeCounts { near: usize::from(near), far: usize::from(far) };
        let owners = NodeCounts {
            near: usize::from(owners.0).min(nodes.near),
            far: usize::from(owners.1).min(nodes.far),
        };
        let limit = u32::from(limit);
        // Nine tenths are divided. Only the minimum of one connection per node may exceed them.
        total_connections(limit, nodes, owners) <= limit as usize * 9 / 10 + 1 + nodes.near + nodes.far
    }
}

#[test]
fn owners_get_equal_shares_when_all_nodes_are_owners() {
    let nodes = NodeCounts { near: 3, far: 4 };
    let shares =
        [true, false].map(|is_near| divide_connections(26, nodes, nodes, NodeRole { is_near, is_owner: true }));
    assert_eq!(shares, [3, 2]);
}

#[test]
fn owners_get_most_connections_and_every_node_at_least_one() {
    let nodes = NodeCounts { near: 48, far: 247 };
    let owners = NodeCounts { near: 3, far: 15 };
    let share = |is_near, is_owner| divide_connections(175, nodes, owners, NodeRole { is_near, is_owner });
    assert_eq!([share(true, true), share(false, true), share(true, false), share(false, false)], [13, 2, 1, 1]);
}

#[test]
fn keys_are_grouped_by_their_owner_and_have_none_without_nodes() {
    let keys: Vec<String> = (0..40).map(|number| format!("shard-{number}")).collect();
    let nodes = ["a", "b", "c"];
    let owned = group_by_owner(&nodes, keys.iter().map(String::as_str));
    for (position, key) in keys.iter().enumerate() {
        let owner = choose_owners(nodes, key, 1)[0];
        let owners_of_key: Vec<&str> = nodes
            .into_iter()
            .zip(&owned)
            .filter(|(_, owned)| owned.contains(&position))
            .map(|(node, _)| node)
            .collect();
        assert_eq!(owners_of_key, [owner]);
    }
    assert!(group_by_owner(&[], keys.iter().map(String::as_str)).is_empty());
}
