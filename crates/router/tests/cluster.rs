//! What a node believes of others, by who told it.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{
    AllowedRegions, CallerLimits, CoreShare, GatherSpec, Incarnation, NodeEntry, Priority, RouteKind, RouteSpec,
    RouteTable, RouteTarget, ServerEntry, ServerStart, ServiceName, TableVersion, WeightedService,
};
use streamfold_policy::{MechanismSet, Moment};
use streamfold_router::border::{FeedChange, FeedItem, FeedTopic};
use streamfold_router::cluster::{Cluster, NewsOrigin};
use streamfold_router::cluster_place::ClusterPlace;
use streamfold_router::settings::SchedulingSettings;

fn entry(name: &str, incarnation: u64) -> NodeEntry {
    NodeEntry {
        node: name.parse().expect("a name"),
        incarnation: Incarnation(incarnation),
        domain: "zone-a".parse().expect("a failure domain"),
        peer_address: "127.0.0.1:7380".parse().expect("an address"),
        cpu_share: None,
    }
}

fn make_cluster() -> Cluster {
    Cluster::new(ClusterPlace {
        node: "own".parse().expect("a name"),
        domain: "zone-a".parse().expect("a failure domain"),
        regions: HashMap::new(),
        spent_for: Duration::from_secs(10),
        cold_calls: None,
        scheduling: SchedulingSettings::default(),
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
    NodeEntry { domain, cpu_share: Some(CoreShare(thousandths)), ..entry(name, 1) }
}

/// A route to a target.
fn route(name: &str, target: RouteTarget) -> RouteSpec {
    RouteSpec {
        name: name.parse().expect("a name"),
        host: "shop.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_attempts: 2,
        priority: Priority(0),
        allowed_regions: AllowedRegions::Any,
        is_auth_exempt: false,
        target,
    }
}

/// Puts a route to a shard and one to a lone service in force, both with a server in a failure domain.
fn tell_services(cluster: &Cluster, domain: &str) {
    let name = |name: &str| -> ServiceName { name.parse().expect("a name") };
    let fold = GatherSpec { shards: vec![name("shard")], top: 5, min_coverage: 0.5 };
    let lone = WeightedService { service: name("lone"), weight: 1.0 };
    let routes = vec![route("all", RouteTarget::Gather(fold)), route("one", RouteTarget::Split(vec![lone]))];
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let table = RouteTable::build(TableVersion(1), routes, Vec::new(), limits).expect("a table");
    cluster.offer_table(table, NewsOrigin::Store);
    for service in ["shard", "lone"] {
        let server = ServerEntry {
            id: format!("i-{service}").parse().expect("an id"),
            start: ServerStart(1),
            service: name(service),
            address: "127.0.0.1:8080".parse().expect("an address"),
            domain: domain.parse().expect("a failure domain"),
            slots: 1,
            is_draining: false,
            warmup: Duration::ZERO,
        };
        let change = FeedChange::Put(FeedItem::Server(server));
        cluster.apply(Moment::default(), vec![change], FeedTopic::Servers, NewsOrigin::Store);
    }
}

/// The nodes that a node of some size keeps links to, those of its own failure domain first, and its
/// part of a thousand extra calls to a shard and to a lone service.
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
    tell_services(&cluster, "zone-a");
    let view = cluster.view();
    let own = "own".parse().expect("a name");
    let part = |service: &str| {
        let service = &view.services[&service.parse::<ServiceName>().expect("a name")];
        view.divide_allowance(1e3, service, &own)
    };
    let mut links: Vec<String> = view.peers.iter().map(|peer| peer.entry.node.to_string()).collect();
    links.sort_unstable();
    format!("{own_thousandths}: {} parts {:.0} and {:.0}", links.join(" "), part("shard"), part("lone"))
}

#[test]
fn weak_nodes_keep_links_to_the_owners_near_them_and_owners_have_the_larger_part() {
    insta::assert_snapshot!([120, 500].map(tell_links).join("\n"));
}

#[test]
fn a_node_that_starts_is_told_its_neighbours_once_it_is_known_itself() {
    // Hundreds ask at once: what is told of neighbours before that is of no use to them.
    let cluster = make_cluster();
    for (name, domain) in [("a-1", "zone-a"), ("b-1", "zone-b"), ("b-2", "zone-b")] {
        tell(&cluster, sized(name, domain, 120), NewsOrigin::Store);
    }
    let told = |name: &str| {
        let told = cluster.neighbours_of(&name.parse().expect("a name"));
        let mut names: Vec<String> = told.iter().map(|entry| entry.node.to_string()).collect();
        names.sort_unstable();
        names
    };
    assert_eq!(told("b-2"), ["b-1", "b-2"]);
    assert_eq!(told("b-3"), Vec::<String>::new());
}
