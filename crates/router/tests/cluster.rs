//! What a node believes of others, by who told it.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{Incarnation, NodeEntry};
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
