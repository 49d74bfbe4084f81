//! What a node keeps of the paces of servers: by their runs, by how many a service has, and by who told.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{
    AllowedRegions, CallerLimits, FailureDomain, GatherSpec, Priority, RouteKind, RouteSpec, RouteTable, RouteTarget,
    ServerEntry, ServerRun, ServerStart, ServiceName, TableVersion, WeightedService,
};
use streamfold_policy::replica::CallSample;
use streamfold_policy::{Mechanism, MechanismSet, Moment};
use streamfold_router::batch::ServerPace;
use streamfold_router::border::{FeedChange, FeedItem, FeedTopic};
use streamfold_router::cluster::{Cluster, NewsOrigin};
use streamfold_router::cluster_place::ClusterPlace;
use streamfold_router::pace_report::{take_paces, tell_paces};
use streamfold_router::server::Server;
use streamfold_router::settings::SchedulingSettings;

const USUAL: Duration = Duration::from_millis(10);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn name() -> ServiceName {
    "shard".parse().expect("a name")
}

/// A route to the service, as a shard or alone.
fn make_table(is_shard: bool) -> RouteTable {
    let fold = GatherSpec { shards: vec![name()], top: 5, min_coverage: 0.5 };
    let lone = WeightedService { service: name(), weight: 1.0 };
    let route = RouteSpec {
        name: "route".parse().expect("a name"),
        host: "shop.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_attempts: 2,
        priority: Priority(0),
        allowed_regions: AllowedRegions::Any,
        is_auth_exempt: false,
        target: if is_shard { RouteTarget::Gather(fold) } else { RouteTarget::Split(vec![lone]) },
    };
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteTable::build(TableVersion(1), vec![route], Vec::new(), limits).expect("a table")
}

fn make_cluster(domain: &str, without: &[Mechanism]) -> Cluster {
    let cluster = make_empty_cluster(domain, without);
    cluster.offer_table(make_table(true), NewsOrigin::Store);
    cluster
}

fn make_empty_cluster(domain: &str, without: &[Mechanism]) -> Cluster {
    Cluster::new(ClusterPlace {
        node: "own".parse().expect("a name"),
        domain: domain.parse().expect("a failure domain"),
        regions: HashMap::new(),
        spent_for: Duration::from_secs(10),
        cold_calls: None,
        mechanisms: MechanismSet::without(without),
        scheduling: SchedulingSettings::default(),
    })
}

fn tell(cluster: &Cluster, id: &str, start: u64, is_draining: bool) {
    let entry = ServerEntry {
        id: id.parse().expect("an id"),
        start: ServerStart(start),
        service: name(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        domain: "zone-a".parse().expect("a failure domain"),
        slots: 2,
        is_draining,
        warmup: Duration::ZERO,
    };
    let change = FeedChange::Put(FeedItem::Server(entry));
    cluster.apply(Moment::default(), vec![change], FeedTopic::Servers, NewsOrigin::Store);
}

fn servers(cluster: &Cluster, now: Moment) -> Vec<Arc<Server>> {
    let view = cluster.view();
    view.services[&name()].usable(now, &AllowedRegions::Any).cloned().collect()
}

fn find(cluster: &Cluster, id: &str) -> Arc<Server> {
    servers(cluster, ms(0)).into_iter().find(|server| server.id.as_str() == id).expect("the server")
}

/// The failure domain of all servers.
fn near() -> FailureDomain {
    "zone-a".parse().expect("a failure domain")
}

/// Two calls that took ten times as long as usual, one after the other.
fn make_slow_calls(server: &Server) {
    for started in [ms(0), ms(200)] {
        server.state().start_measured(started, USUAL);
        server.note_end(started.plus(10 * USUAL), started, CallSample::Answered);
    }
}

fn slow_cluster(domain: &str, without: &[Mechanism]) -> Cluster {
    let cluster = make_cluster(domain, without);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| tell(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    cluster
}

fn told(cluster: &Cluster, now: Moment) -> Vec<ServerPace> {
    tell_paces(now, &cluster.view(), [name()].iter())
}

/// How many times as long as usual work is expected to take at a server.
fn stretch(server: &Server, now: Moment) -> f64 {
    (server.cost(now, USUAL) - server.distance.cost_us()) / USUAL.as_micros() as f64
}

/// How many times as much as an equal server a slow one costs.
fn dearness(cluster: &Cluster, now: Moment) -> f64 {
    find(cluster, "i-1").cost(now, USUAL) / find(cluster, "i-2").cost(now, USUAL)
}

#[test]
fn a_server_that_starts_again_loses_its_pace() {
    let cluster = slow_cluster("zone-a", &[]);
    assert!(dearness(&cluster, ms(300)) > 4.0);
    tell(&cluster, "i-1", 2, false);
    assert!((dearness(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    assert_eq!(find(&cluster, "i-1").measured_pace(ms(300)), None);
}

#[test]
fn among_two_servers_none_is_compared_and_two_that_are_left_of_three_are() {
    let cluster = make_cluster("zone-a", &[]);
    ["i-1", "i-2"].iter().for_each(|id| tell(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    assert!((dearness(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    tell(&cluster, "i-3", 1, false);
    assert!(dearness(&cluster, ms(300)) > 4.0);
    tell(&cluster, "i-3", 1, true);
    assert_eq!(servers(&cluster, ms(300)).len(), 2);
    assert!(dearness(&cluster, ms(300)) > 4.0);
}

#[test]
fn servers_of_a_service_that_answers_alone_are_not_compared() {
    let cluster = make_empty_cluster("zone-a", &[]);
    cluster.offer_table(make_table(false), NewsOrigin::Store);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| tell(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    assert!((dearness(&cluster, ms(300)) - 1.0).abs() < 1e-6);
}

#[test]
fn without_the_mechanism_nothing_is_judged_or_told() {
    let cluster = slow_cluster("zone-a", &[Mechanism::MeasuredPace]);
    assert!((dearness(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    assert_eq!(told(&cluster, ms(300)), Vec::new());
}

/// The node near the servers tells the slow one; the one that asks for it believes it a little, for a time.
#[test]
fn a_report_of_a_node_that_dies_then_fades() {
    let report = told(&slow_cluster("zone-a", &[]), ms(300));
    assert_eq!(
        report.iter().map(|pace| pace.server.id.as_str()).collect::<Vec<_>>(),
        ["i-1"],
        "usual ones are not told"
    );
    let asking = make_cluster("zone-b", &[]);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| tell(&asking, id, 1, false));
    take_paces(ms(1_000), &asking.view(), &near(), [name()].iter(), &report);
    let slowness = |now| stretch(&find(&asking, "i-1"), now);
    let slow: Vec<f64> = [1_000, 2_000, 8_000].iter().map(|at| slowness(ms(*at))).collect();
    assert!(slow[0] > 2.0 && slow[0] > slow[1] && slow[1] > slow[2] && slow[2] < 1.1, "{slow:?}");
    assert_eq!(told(&asking, ms(1_000)), Vec::new(), "nobody passes on what it was told");
}

#[test]
fn a_report_of_another_run_or_service_or_too_long_a_one_does_no_harm() {
    let asking = make_cluster("zone-b", &[]);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| tell(&asking, id, 2, false));
    let pace = |id: &str, start| ServerPace {
        server: ServerRun { id: id.parse().expect("an id"), start: ServerStart(start) },
        thousandths: u32::MAX,
        age_us: 0,
    };
    let mut report = vec![pace("i-1", 1), pace("i-9", 2), pace("i-2", 2), pace("i-2", 2)];
    report.extend((0..1_000).map(|_| pace("i-3", 2)));
    take_paces(ms(300), &asking.view(), &near(), [name()].iter(), &report);
    let is_slower = |id| stretch(&find(&asking, id), ms(300)) > 1.0;
    assert_eq!(["i-1", "i-2", "i-3"].map(is_slower), [false, true, false]);
}
