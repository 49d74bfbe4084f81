//! Who follows the store for a failure domain.

use streamfold_policy::feed_rule::choose_readers;

fn nodes(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

fn names(nodes: &[String]) -> Vec<&str> {
    nodes.iter().map(String::as_str).collect()
}

/// Nodes that follow the store by themselves.
fn count_readers(nodes: &[String]) -> usize {
    let names = names(nodes);
    names.iter().filter(|own| choose_readers(own, "zone-a", &names).is_empty()).count()
}

#[test]
fn one_node_follows_the_store_where_there_are_many_and_each_where_there_are_few() {
    let readers: Vec<String> =
        [1, 2, 3, 4, 10, 76].map(|count| format!("{count} nodes: {}", count_readers(&nodes(count)))).to_vec();
    insta::assert_snapshot!(readers.join("\n"), @r"
    1 nodes: 1
    2 nodes: 2
    3 nodes: 3
    4 nodes: 1
    10 nodes: 1
    76 nodes: 1
    ");
}

#[test]
fn no_two_nodes_follow_each_other_whatever_they_know() {
    let all = nodes(12);
    // Every node knows another part of the others.
    let known = |own: usize| -> Vec<&str> {
        all.iter()
            .enumerate()
            .filter(|(other, _)| *other == own || !(own * 7 + other * 3).is_multiple_of(4))
            .map(|(_, name)| name.as_str())
            .collect()
    };
    let follows = |own: usize| choose_readers(&all[own], "zone-a", &known(own));
    for own in 0..all.len() {
        for reader in follows(own) {
            let other = all.iter().position(|name| name == reader).expect("a known node");
            assert!(!follows(other).contains(&all[own].as_str()), "{own} and {other} follow each other");
        }
    }
}

#[test]
fn a_node_tries_few_readers_and_the_same_ones_as_its_neighbours() {
    let all = nodes(10);
    let names = names(&all);
    let tried: Vec<Vec<&str>> = names.iter().map(|own| choose_readers(own, "zone-a", &names)).collect();
    assert!(tried.iter().all(|readers| readers.len() <= 3));
    let preferred: Vec<&str> = tried.iter().filter_map(|readers| readers.first().copied()).collect();
    assert_eq!(preferred.len(), 9);
    assert!(preferred.iter().all(|reader| *reader == preferred[0]));
}
