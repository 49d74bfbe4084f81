//! Which nodes own what, and what they may take of a server's connections.

use quickcheck::quickcheck;
use streamfold_policy::owner::{NodeRole, NodeCounts, choose_owners, divide_connections, group_by_owner};

/// Connections of all nodes together, where `owners` are some of `nodes`.
fn sum_up(limit: u32, nodes: NodeCounts, owners: NodeCounts) -> usize {
    let share = |is_near, is_owner| divide_connections(limit, nodes, owners, NodeRole { is_near, is_owner }) as usize;
    let near = owners.near * share(true, true) + (nodes.near - owners.near) * share(true, false);
    let far = owners.far * share(false, true) + (nodes.far - owners.far) * share(false, false);
    near + far
}

quickcheck! {
    fn all_nodes_together_keep_the_limit_as_far_as_each_may_have_one(limit: u16, near: u8, far: u8, owners: (u8, u8)) -> bool {
        let nodes = NodeCounts { near: usize::from(near), far: usize::from(far) };
        let owners = NodeCounts {
            near: usize::from(owners.0).min(nodes.near),
            far: usize::from(owners.1).min(nodes.far),
        };
        let limit = u32::from(limit);
        // Nine tenths are divided; beyond them there is only the one that each node may have at least.
        sum_up(limit, nodes, owners) <= limit as usize * 9 / 10 + 1 + nodes.near + nodes.far
    }
}

#[test]
fn where_all_nodes_are_owners_each_has_an_equal_part() {
    let nodes = NodeCounts { near: 3, far: 4 };
    let shares =
        [true, false].map(|is_near| divide_connections(26, nodes, nodes, NodeRole { is_near, is_owner: true }));
    assert_eq!(shares, [3, 2]);
}

#[test]
fn owners_have_most_connections_and_every_node_one() {
    let nodes = NodeCounts { near: 48, far: 247 };
    let owners = NodeCounts { near: 3, far: 15 };
    let share = |is_near, is_owner| divide_connections(175, nodes, owners, NodeRole { is_near, is_owner });
    assert_eq!([share(true, true), share(false, true), share(true, false), share(false, false)], [13, 2, 1, 1]);
}

#[test]
fn keys_go_to_the_node_that_owns_them_and_to_none_where_there_is_none() {
    let keys: Vec<String> = (0..40).map(|number| format!("shard-{number}")).collect();
    let nodes = ["a", "b", "c"];
    let owned = group_by_owner(&nodes, keys.iter().map(String::as_str));
    for (position, key) in keys.iter().enumerate() {
        let owner = choose_owners(nodes, key, 1)[0];
        let holders: Vec<&str> = nodes
            .into_iter()
            .zip(&owned)
            .filter(|(_, owned)| owned.contains(&position))
            .map(|(node, _)| node)
            .collect();
        assert_eq!(holders, [owner]);
    }
    assert!(group_by_owner(&[], keys.iter().map(String::as_str)).is_empty());
}
