//! Selection of the nodes that read the store for a failure domain.

use std::time::Duration;

use streamfold_model::CoreShare;
use streamfold_policy::reader_choice::{self, ReaderCandidate, ReaderChoice};

fn nodes(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("node-{number}")).collect()
}

/// The choice of a node if all nodes are equally strong.
fn choose<'a>(own: &str, names: &[&'a str]) -> ReaderChoice<'a> {
    let nodes: Vec<ReaderCandidate> = names.iter().map(|name| ReaderCandidate { name, cpu_share: None }).collect();
    reader_choice::choose_readers(own, "zone-a", &nodes)
}

fn choose_readers<'a>(own: &str, names: &[&'a str]) -> Vec<&'a str> {
    choose(own, names).readers
}

fn names(nodes: &[String]) -> Vec<&str> {
    nodes.iter().map(String::as_str).collect()
}

/// Number of nodes that read the store directly.
fn count_readers(nodes: &[String]) -> usize {
    let names = names(nodes);
    names.iter().filter(|own| choose_readers(own, &names).is_empty()).count()
}

#[test]
fn one_of_many_nodes_reads_the_store_and_each_of_a_few() {
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
fn no_two_nodes_follow_each_other_with_different_views() {
    let all = nodes(12);
    // Every node knows a different subset of the others.
    let known = |own: usize| -> Vec<&str> {
        all.iter()
            .enumerate()
            .filter(|(other, _)| *other == own || !(own * 7 + other * 3).is_multiple_of(4))
            .map(|(_, name)| name.as_str())
            .collect()
    };
    let follows = |own: usize| choose_readers(&all[own], &known(own));
    for own in 0..all.len() {
        for reader in follows(own) {
            let other = all.iter().position(|name| name == reader).expect("a known node");
            assert!(!follows(other).contains(&all[own].as_str()), "{own} and {other} follow each other");
        }
    }
}

/// Number of nodes that prefer each reader, in descending order.
fn count_followers(nodes: &[String]) -> Vec<usize> {
    let names = names(nodes);
    let mut counts = std::collections::HashMap::new();
    for own in &names {
        if let Some(reader) = choose_readers(own, &names).first().copied() {
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
    assert!(names.iter().all(|own| choose_readers(own, &names).len() <= 8));
}

#[test]
fn a_node_missing_from_its_own_view_follows_no_reader() {
    let all = nodes(10);
    assert!(choose_readers("unknown", &names(&all)).is_empty());
}

#[test]
fn weak_nodes_follow_strong_nodes() {
    let all = nodes(48);
    let names = names(&all);
    let cpu_share = |position: usize| if position < 3 { CoreShare(500) } else { CoreShare(120) };
    let nodes: Vec<ReaderCandidate> = names
        .iter()
        .enumerate()
        .map(|(position, name)| ReaderCandidate { name, cpu_share: Some(cpu_share(position)) })
        .collect();
    let preferred = |own: &str| reader_choice::choose_readers(own, "zone-a", &nodes).readers.first().copied();
    let readers: std::collections::BTreeSet<&str> = names.iter().filter_map(|own| preferred(own)).collect();
    assert_eq!(readers, std::collections::BTreeSet::from(["node-0", "node-1", "node-2"]));
}

#[test]
fn few_of_the_nodes_that_start_together_have_a_short_startup_wait() {
    let all = nodes(48);
    let names = names(&all);
    let mut waits: Vec<Duration> = names.iter().map(|own| choose(own, &names).startup_wait).collect();
    waits.sort_unstable();
    let soon = waits.iter().filter(|wait| **wait < Duration::from_millis(400)).count();
    assert_eq!((waits[0], soon, waits[47]), (Duration::ZERO, 4, Duration::from_millis(1_200)));
}

/// A set of strong and weak nodes.
fn mixed(strong: usize, weak: usize) -> Vec<(String, CoreShare)> {
    let strong = (0..strong).map(|number| (format!("strong-{number}"), CoreShare(1_000)));
    strong.chain((0..weak).map(|number| (format!("weak-{number}"), CoreShare(120)))).collect()
}

#[test]
fn no_node_follows_a_weak_one_among_hundreds_of_nodes() {
    // A failure domain of the largest deployment, and ones with up to twice as many nodes.
    for (strong, weak) in [(10, 180), (20, 360), (10, 320)] {
        let all = mixed(strong, weak);
        let nodes: Vec<ReaderCandidate> =
            all.iter().map(|(name, cpu_share)| ReaderCandidate { name, cpu_share: Some(*cpu_share) }).collect();
        let mut followers = std::collections::BTreeMap::new();
        let mut longest = 0;
        for (own, _) in &all {
            let mut reader = reader_choice::choose_readers(own, "zone-a", &nodes).readers.first().copied();
            let mut steps = 0;
            if let Some(reader) = reader {
                *followers.entry(reader).or_insert(0) += 1;
            }
            while let Some(name) = reader {
                reader = reader_choice::choose_readers(name, "zone-a", &nodes).readers.first().copied();
                steps += 1;
            }
            longest = longest.max(steps);
        }
        assert!(followers.keys().all(|reader| reader.starts_with("strong-")), "{followers:?}");
        assert!(followers.values().all(|count| *count <= 32 + strong), "{followers:?}");
        assert!(longest <= 3, "{longest} steps from the store");
    }
}

#[test]
fn the_wait_for_a_starting_reader_grows_with_the_rank() {
    let all = mixed(10, 180);
    let nodes: Vec<ReaderCandidate> =
        all.iter().map(|(name, cpu_share)| ReaderCandidate { name, cpu_share: Some(*cpu_share) }).collect();
    let waits = all.iter().map(|(own, _)| reader_choice::choose_readers(own, "zone-a", &nodes).starting_reader_wait);
    let mut waits: Vec<Duration> = waits.collect();
    waits.sort_unstable();
    // At most this many nodes fetch a listing from the store if it takes seconds.
    let early = waits.iter().filter(|wait| **wait < Duration::from_secs(2)).count();
    assert!(early <= 16, "{early} of {} nodes wait less than two seconds", waits.len());
}
