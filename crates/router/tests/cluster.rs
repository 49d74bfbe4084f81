//! What a node believes of others, by who told it.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{CoreShare, Incarnation, NodeEntry};
use streamfold_policy::{MechanismSet, Moment};
use streamfold_router::border::{FeedChange, FeedItem, FeedTopic};
use streamfold_router::cluster::{Cluster, NewsOrigin};
use streamfold_router::cluster_place::ClusterPlace;

fn entry(name: &str, incarnation: u64) -> NodeEntry {
    NodeEntry {
        node: name.parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        domain: "zone-a".parse().expect("a failure domain"),
        peer_address: "127.0.0.1:7380".parse().expect("an address"),
        power: None,
    }
}

fn make_cluster() -> Cluster {
    Cluster::new(ClusterPlace {
        node: "own".parse().expect("a name"),
        domain: "zone-a".parse().expect("a failure domain"),
        regions: HashMap::new(),
        spent_for: Duration::from_secs(10),
        cold_calls: None,
        mechanisms: MechanismSet::default(),
    })
}

fn tell(cluster: &Cluster, entry: NodeEntry, origin: NewsOrigin) {
    cluster.apply(Moment::default(), vec![FeedChange::Put(FeedItem::Node(entry))], FeedTopic::Nodes, origin);
}

#[test]
fn an_older_entry_that_another_node_tells_replaces_none() {
    let cluster = make_cluster();
    tell(&cluster, entry("a", 2), NewsOrigin::Store);
    tell(&cluster, entry("a", 1), NewsOrigin::Peer);
    tell(&cluster, entry("b", 1), NewsOrigin::Peer);
    assert_eq!(cluster.neighbours().into_iter().find(|known| known.node.as_str() == "a"), Some(entry("a", 2)));
    assert!(cluster.has_node(&"b".parse().expect("a name")), "one that was not known is added");
    let known = |name: &str| cluster.neighbours().into_iter().find(|known| known.node.as_str() == name);
    tell(&cluster, entry("a", 3), NewsOrigin::Peer);
    assert_eq!(known("a"), Some(entry("a", 3)), "a later run is taken while the store is away");
    // A clock that was put back: the store knows better.
    tell(&cluster, entry("a", 1), NewsOrigin::Store);
    assert_eq!(known("a"), Some(entry("a", 1)));
}

/// An entry of a node in a failure domain, with its processor.
fn sized(name: &str, domain: &str, thousandths: u32) -> NodeEntry {
    let domain = domain.parse().expect("a failure domain");
    NodeEntry { domain, power: Some(CoreShare(thousandths)), ..entry(name, 1) }
}

/// The nodes that a node of some size keeps links to, those of its own failure domain first, and its
/// part of what all nodes share in thousandths.
fn tell_links(own_thousandths: u32) -> String {
    let cluster = make_cluster();
    tell(&cluster, sized("own", "zone-a", own_thousandths), NewsOrigin::Store);
    for domain in ["zone-a", "zone-b"] {
        for number in 0..3 {
            tell(&cluster, sized(&format!("{domain}-strong-{number}"), domain, 500), NewsOrigin::Store);
        }
        for number in 0..5 {
            tell(&cluster, sized(&format!("{domain}-weak-{number}"), domain, 120), NewsOrigin::Store);
        }
    }
    let view = cluster.view();
    let mut links: Vec<String> = view.peers.iter().map(|peer| peer.entry.node.to_string()).collect();
    links.sort_unstable();
    format!("{own_thousandths}: {} part {:.0}", links.join(" "), view.shared_part() * 1e3)
}

#[test]
fn weak_nodes_keep_links_to_the_owners_near_them_and_owners_have_the_larger_part() {
    insta::assert_snapshot!([120, 500].map(tell_links).join("\n"));
}
