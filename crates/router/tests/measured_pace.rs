//! What a node knows of the paces of servers: by their runs, by the number of servers of a service, and by reports of
//! other nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{
    AllowedRegions, CallerLimits, EntryRevision, FailureDomain, GatherSpec, Priority, RouteKind, RouteSpec, RouteTable,
    RouteTarget, ServerEntry, ServerRun, ServerStart, ServiceName, TableVersion, WeightedService,
};
use streamfold_policy::replica::CallSample;
use streamfold_policy::{Mechanism, MechanismSet, Moment};
use streamfold_router::batch::ServerPace;
use streamfold_router::cluster::{Cluster, UpdateContext, UpdateOrigin};
use streamfold_router::cluster_place::NodeContext;
use streamfold_router::interface::{FeedChange, FeedItem, FeedPosition, FeedTopic};
use streamfold_router::pace_report::{record_paces, report_paces};
use streamfold_router::server::Server;
use streamfold_router::settings::SchedulingSettings;

const USUAL_DURATION: Duration = Duration::from_millis(10);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn service_name() -> ServiceName {
    "shard".parse().expect("a name")
}

/// A route to the service, as a shard or as a single service.
fn make_table(is_shard: bool) -> RouteTable {
    let gather = GatherSpec { shards: vec![service_name()], top: 5, min_coverage: 0.5 };
    let single = WeightedService { service: service_name(), weight: 1.0 };
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
        target: if is_shard { RouteTarget::Gather(gather) } else { RouteTarget::Split(vec![single]) },
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
    cluster.offer_table(make_table(true), UpdateOrigin::Store);
    cluster
}

fn make_empty_cluster(domain: &str, without: &[Mechanism]) -> Cluster {
    Cluster::new(NodeContext {
        node: "own".parse().expect("a name"),
        domain: domain.parse().expect("a failure domain"),
        regions: HashMap::new(),
        extra_call_window: Duration::from_secs(10),
        drained_within: Duration::from_secs(3),
        cold_calls: None,
        mechanisms: MechanismSet::without(without),
        scheduling: SchedulingSettings::default(),
    })
}

fn put_entry(cluster: &Cluster, id: &str, start: u64, is_draining: bool) {
    let entry = ServerEntry {
        id: id.parse().expect("an id"),
        start: ServerStart(start),
        revision: EntryRevision::default(),
        service: service_name(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        domain: "zone-a".parse().expect("a failure domain"),
        slots: 2,
        is_draining,
        warmup: Duration::ZERO,
    };
    let change = FeedChange::Put(FeedItem::Server(entry));
    let (now, origin) = (Moment::default(), UpdateOrigin::Store);
    let context =
        UpdateContext { now, topic: FeedTopic::Servers, origin, position: FeedPosition::default(), present_age: None };
    cluster.apply(vec![change], &context);
}

fn servers(cluster: &Cluster, now: Moment) -> Vec<Arc<Server>> {
    let view = cluster.view();
    view.services[&service_name()].usable(now, &AllowedRegions::Any).cloned().collect()
}

fn find(cluster: &Cluster, id: &str) -> Arc<Server> {
    servers(cluster, ms(0)).into_iter().find(|server| server.id.as_str() == id).expect("the server")
}

/// The failure domain of all servers.
fn server_domain() -> FailureDomain {
    "zone-a".parse().expect("a failure domain")
}

/// Two consecutive calls that take ten times as long as usual.
fn make_slow_calls(server: &Server) {
    for started in [ms(0), ms(200)] {
        server.state().start_measured(started, USUAL_DURATION);
        server.note_end(started.plus(10 * USUAL_DURATION), started, CallSample::Answered);
    }
}

fn slow_cluster(domain: &str, without: &[Mechanism]) -> Cluster {
    let cluster = make_cluster(domain, without);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| put_entry(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    cluster
}

fn reported_paces(cluster: &Cluster, now: Moment) -> Vec<ServerPace> {
    report_paces(now, &cluster.view(), [service_name()].iter())
}

/// How many times as long as usual work is expected to take at a server.
fn slowdown(server: &Server, now: Moment) -> f64 {
    (server.cost(now, USUAL_DURATION) - server.distance.cost_us()) / USUAL_DURATION.as_micros() as f64
}

/// The cost of the slow server relative to an equal server that is not slow.
fn relative_cost(cluster: &Cluster, now: Moment) -> f64 {
    find(cluster, "i-1").cost(now, USUAL_DURATION) / find(cluster, "i-2").cost(now, USUAL_DURATION)
}

#[test]
fn a_restarted_server_loses_its_measured_pace() {
    let cluster = slow_cluster("zone-a", &[]);
    assert!(relative_cost(&cluster, ms(300)) > 4.0);
    put_entry(&cluster, "i-1", 2, false);
    assert!((relative_cost(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    assert_eq!(find(&cluster, "i-1").measured_pace(ms(300)), None);
}

#[test]
fn servers_are_compared_only_if_the_service_has_or_had_three() {
    let cluster = make_cluster("zone-a", &[]);
    ["i-1", "i-2"].iter().for_each(|id| put_entry(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    assert!((relative_cost(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    put_entry(&cluster, "i-3", 1, false);
    assert!(relative_cost(&cluster, ms(300)) > 4.0);
    put_entry(&cluster, "i-3", 1, true);
    assert_eq!(servers(&cluster, ms(300)).len(), 2);
    assert!(relative_cost(&cluster, ms(300)) > 4.0);
}

#[test]
fn servers_of_a_service_that_is_not_a_shard_are_not_compared() {
    let cluster = make_empty_cluster("zone-a", &[]);
    cluster.offer_table(make_table(false), UpdateOrigin::Store);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| put_entry(&cluster, id, 1, false));
    make_slow_calls(&find(&cluster, "i-1"));
    assert!((relative_cost(&cluster, ms(300)) - 1.0).abs() < 1e-6);
}

#[test]
fn without_the_mechanism_no_pace_is_measured_or_reported() {
    let cluster = slow_cluster("zone-a", &[Mechanism::MeasuredPace]);
    assert!((relative_cost(&cluster, ms(300)) - 1.0).abs() < 1e-6);
    assert_eq!(reported_paces(&cluster, ms(300)), Vec::new());
}

/// A node near the servers reports the slow one. The receiving node takes the report into account in part and for a
/// limited time.
#[test]
fn a_pace_report_decays_when_no_further_report_arrives() {
    let report = reported_paces(&slow_cluster("zone-a", &[]), ms(300));
    assert_eq!(
        report.iter().map(|pace| pace.server.id.as_str()).collect::<Vec<_>>(),
        ["i-1"],
        "servers at their usual pace are not reported"
    );
    let receiver = make_cluster("zone-b", &[]);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| put_entry(&receiver, id, 1, false));
    record_paces(ms(1_000), &receiver.view(), &server_domain(), [service_name()].iter(), &report);
    let slowness = |now| slowdown(&find(&receiver, "i-1"), now);
    let slow: Vec<f64> = [1_000, 2_000, 8_000].iter().map(|at| slowness(ms(*at))).collect();
    assert!(slow[0] > 2.0 && slow[0] > slow[1] && slow[1] > slow[2] && slow[2] < 1.1, "{slow:?}");
    assert_eq!(reported_paces(&receiver, ms(1_000)), Vec::new(), "a node does not forward received reports");
}

#[test]
fn reports_of_other_runs_or_servers_and_oversized_reports_are_ignored() {
    let receiver = make_cluster("zone-b", &[]);
    ["i-1", "i-2", "i-3"].iter().for_each(|id| put_entry(&receiver, id, 2, false));
    let pace = |id: &str, start| ServerPace {
        server: ServerRun { id: id.parse().expect("an id"), start: ServerStart(start) },
        thousandths: u32::MAX,
        age_us: 0,
    };
    let mut report = vec![pace("i-1", 1), pace("i-9", 2), pace("i-2", 2), pace("i-2", 2)];
    report.extend((0..1_000).map(|_| pace("i-3", 2)));
    record_paces(ms(300), &receiver.view(), &server_domain(), [service_name()].iter(), &report);
    let is_slower = |id| slowdown(&find(&receiver, id), ms(300)) > 1.0;
    assert_eq!(["i-1", "i-2", "i-3"].map(is_slower), [false, true, false]);
}
