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

/// How many nodes prefer each reader, the most first.
fn count_followers(nodes: &[String]) -> Vec<usize> {
    let names = names(nodes);
    let mut counts = std::collections::HashMap::new();
    for own in &names {
        if let Some(reader) = choose_readers(own, "zone-a", &names).first().copied() {
            *counts.entry(reader).or_insert(0) += 1;
        }
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    counts
}

#[test]
fn a_node_tries_few_readers_and_no_reader_is_preferred_by_many() {
    let seen: Vec<String> =
        [4, 10, 17, 76].map(|count| format!("{count} nodes: {:?}", count_followers(&nodes(count)))).to_vec();
    insta::assert_snapshot!(seen.join("\n"), @r"
    4 nodes: [3]
    10 nodes: [9]
    17 nodes: [16]
    76 nodes: [16, 16, 16, 16, 11]
    ");
    let all = nodes(76);
    let names = names(&all);
    assert!(names.iter().all(|own| choose_readers(own, "zone-a", &names).len() <= 3));
}

#[test]
fn a_node_that_is_not_among_those_known_follows_nobody() {
    let all = nodes(10);
    assert!(choose_readers("unknown", "zone-a", &names(&all)).is_empty());
}
