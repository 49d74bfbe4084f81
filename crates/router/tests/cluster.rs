//! Tests of the cluster state: entries from different sources, connections to peers and division of allowances.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{
    AllowedRegions, CallerLimits, CoreShare, EntryRevision, GatherSpec, Incarnation, NodeEntry, Priority, RouteKind,
    RouteSpec, RouteTable, RouteTarget, ServerEntry, ServerStart, ServiceName, TableVersion, WeightedService,
};
use streamfold_policy::{MechanismSet, Moment};
use streamfold_router::cluster::{Cluster, UpdateContext, UpdateOrigin};
use streamfold_router::cluster_place::NodeContext;
use streamfold_router::interface::{FeedChange, FeedItem, FeedPosition, FeedTopic};
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
    Cluster::new(NodeContext {
        node: "own".parse().expect("a name"),
        domain: "zone-a".parse().expect("a failure domain"),
        regions: HashMap::new(),
        extra_call_window: Duration::from_secs(10),
        drained_within: Duration::from_secs(3),
        cold_calls: None,
        scheduling: SchedulingSettings::default(),
        mechanisms: MechanismSet::default(),
    })
}

fn apply_node(cluster: &Cluster, entry: NodeEntry, origin: UpdateOrigin) {
    let context = UpdateContext {
        now: Moment::default(),
        topic: FeedTopic::Nodes,
        origin,
        position: FeedPosition::default(),
        present_age: None,
    };
    cluster.apply(vec![FeedChange::Put(FeedItem::Node(entry))], &context);
}

#[test]
fn an_older_entry_from_another_node_does_not_replace_a_newer_one() {
    let cluster = make_cluster();
    apply_node(&cluster, entry("a", 2), UpdateOrigin::Store);
    apply_node(&cluster, entry("a", 1), UpdateOrigin::Peer);
    apply_node(&cluster, entry("b", 1), UpdateOrigin::Peer);
    assert_eq!(cluster.neighbours().into_iter().find(|known| known.node.as_str() == "a"), Some(entry("a", 2)));
    assert!(cluster.has_node(&"b".parse().expect("a name")), "a node that was not known is added");
    let known = |name: &str| cluster.neighbours().into_iter().find(|known| known.node.as_str() == name);
    apply_node(&cluster, entry("a", 3), UpdateOrigin::Peer);
    assert_eq!(known("a"), Some(entry("a", 3)), "a later run replaces an earlier one while the store is unavailable");
    // The node's clock was set back: the entry in the store wins.
    apply_node(&cluster, entry("a", 1), UpdateOrigin::Store);
    assert_eq!(known("a"), Some(entry("a", 1)));
}

/// Creates the entry of a node in a failure domain with a CPU share in thousandths of a core.
fn entry_with_share(name: &str, domain: &str, thousandths: u32) -> NodeEntry {
    let domain = domain.parse().expect("a failure domain");
    NodeEntry { domain, cpu_share: Some(CoreShare(thousandths)), ..entry(name, 1) }
}

/// Creates a route to a target.
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

/// Activates a route to a shard and one to a single service, both with a server in a failure domain.
fn add_services(cluster: &Cluster, domain: &str) {
    let name = |name: &str| -> ServiceName { name.parse().expect("a name") };
    let gather = GatherSpec { shards: vec![name("shard")], top: 5, min_coverage: 0.5 };
    let single = WeightedService { service: name("lone"), weight: 1.0 };
    let routes = vec![route("all", RouteTarget::Gather(gather)), route("one", RouteTarget::Split(vec![single]))];
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let table = RouteTable::build(TableVersion(1), routes, Vec::new(), limits).expect("a table");
    cluster.offer_table(table, UpdateOrigin::Store);
    for service in ["shard", "lone"] {
        let server = ServerEntry {
            id: format!("i-{service}").parse().expect("an id"),
            start: ServerStart(1),
            revision: EntryRevision::default(),
            service: name(service),
            address: "127.0.0.1:8080".parse().expect("an address"),
            domain: domain.parse().expect("a failure domain"),
            slots: 1,
            is_draining: false,
            warmup: Duration::ZERO,
        };
        let change = FeedChange::Put(FeedItem::Server(server));
        let (now, origin) = (Moment::default(), UpdateOrigin::Store);
        let context = UpdateContext {
            now,
            topic: FeedTopic::Servers,
            origin,
            position: FeedPosition::default(),
            present_age: None,
        };
        cluster.apply(vec![change], &context);
    }
}

/// Describes the nodes that a node with a CPU share stays connected to, those of its own failure domain first, and its
/// part of a thousand extra calls to a shard and to a single service.
fn describe_peers(own_thousandths: u32) -> String {
    let cluster = make_cluster();
    apply_node(&cluster, entry_with_share("own", "zone-a", own_thousandths), UpdateOrigin::Store);
    for domain in ["zone-a", "zone-b"] {
        for number in 0..3 {
            apply_node(
                &cluster,
                entry_with_share(&format!("{domain}-strong-{number}"), domain, 500),
                UpdateOrigin::Store,
            );
        }
        for number in 0..5 {
            apply_node(
                &cluster,
                entry_with_share(&format!("{domain}-weak-{number}"), domain, 120),
                UpdateOrigin::Store,
            );
        }
    }
    add_services(&cluster, "zone-a");
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
fn weak_nodes_connect_to_owners_of_their_domain_and_owners_get_larger_allowances() {
    insta::assert_snapshot!([120, 500].map(describe_peers).join("\n"));
}

#[test]
fn neighbours_are_only_returned_for_a_known_node() {
    // Hundreds of nodes that start query at once, and neighbours of an unknown node are of no use to it.
    let cluster = make_cluster();
    for (name, domain) in [("a-1", "zone-a"), ("b-1", "zone-b"), ("b-2", "zone-b")] {
        apply_node(&cluster, entry_with_share(name, domain, 120), UpdateOrigin::Store);
    }
    let neighbours = |name: &str| {
        let entries = cluster.neighbours_of(&name.parse().expect("a name"));
        let mut names: Vec<String> = entries.iter().map(|entry| entry.node.to_string()).collect();
        names.sort_unstable();
        names
    };
    assert_eq!(neighbours("b-2"), ["b-1", "b-2"]);
    assert_eq!(neighbours("b-3"), Vec::<String>::new());
}

/// The entry of a server with a revision.
fn server_entry(revision: u64) -> ServerEntry {
    ServerEntry {
        id: "i-1".parse().expect("an id"),
        start: ServerStart(1),
        revision: EntryRevision(revision),
        service: "lone".parse().expect("a name"),
        address: "127.0.0.1:8080".parse().expect("an address"),
        domain: "zone-a".parse().expect("a failure domain"),
        slots: 1,
        is_draining: false,
        warmup: Duration::ZERO,
    }
}

/// The context of an update of servers that is complete up to a position. The servers were last confirmed a second
/// before.
fn servers_context(now: Moment, origin: UpdateOrigin, position: u64) -> UpdateContext {
    let present_age = Some(Duration::from_secs(1));
    UpdateContext { now, topic: FeedTopic::Servers, origin, position: FeedPosition(position), present_age }
}

/// How the cluster uses the server.
fn describe_server(cluster: &Cluster) -> String {
    let view = cluster.view();
    let name: ServiceName = "lone".parse().expect("a name");
    let servers = view.services.get(&name).map(|service| service.usable(Moment::default(), &AllowedRegions::Any));
    match servers.and_then(|mut servers| servers.next()) {
        Some(server) => server.usable_until().map_or("used".to_owned(), |until| format!("used until {} us", until.0)),
        None => "not used".to_owned(),
    }
}

/// Guards against requests to a server that has left: a node had read in the store that its entry was gone, and then
/// followed a reader that did not know so yet.
#[test]
fn the_entry_of_a_server_that_left_does_not_return_from_a_node_that_is_behind() {
    let cluster = make_cluster();
    let apply = |change, origin, position| {
        cluster.apply(vec![change], &servers_context(Moment::default(), origin, position));
        describe_server(&cluster)
    };
    let replace = |items, origin, position| {
        cluster.replace(items, &servers_context(Moment::default(), origin, position));
        describe_server(&cluster)
    };
    let put = |revision| FeedChange::Put(FeedItem::Server(server_entry(revision)));
    let entry = |revision| vec![FeedItem::Server(server_entry(revision))];
    let mut steps = vec![("listed", replace(entry(60), UpdateOrigin::Store, 70))];
    steps.push(("gone from the store", replace(Vec::new(), UpdateOrigin::Store, 75)));
    steps.push(("listed by a reader that is behind", replace(entry(60), UpdateOrigin::Reader, 72)));
    steps.push(("a change that the reader delivers late", apply(put(73), UpdateOrigin::Reader, 73)));
    steps.push(("told by a node without a position", apply(put(60), UpdateOrigin::Peer, 0)));
    cluster.sweep(Moment::default().plus(Duration::from_secs(3)));
    steps.push(("its time is over", describe_server(&cluster)));
    steps.push(("listed once more by a reader that is behind", replace(entry(60), UpdateOrigin::Reader, 72)));
    steps.push(("told once more by a node", apply(put(60), UpdateOrigin::Peer, 0)));
    steps.push(("registered again", apply(put(78), UpdateOrigin::Reader, 78)));
    steps.push(("not listed by a reader that is behind", replace(Vec::new(), UpdateOrigin::Reader, 76)));
    steps.push(("gone again", replace(Vec::new(), UpdateOrigin::Reader, 80)));
    let steps: Vec<String> = steps.into_iter().map(|(step, use_of)| format!("{step}: {use_of}")).collect();
    insta::assert_snapshot!(steps.join("\n"));
}
