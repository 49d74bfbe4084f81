//! Promises under faults, with real processes: doubled deliveries, kills, crossed answers,
//! advancing versions, a lossy store, cut domains, strangers at the peers' port.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::fleet::{Fleet, INDEX, NodeHandle, TOKEN};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::load::{self, DEFAULT_LATENCY_GOAL, LoadPlan, LoadReport};
use streamfold_lab::orders::OrderSender;
use streamfold_lab::proxy;
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_model::operator::ApplyRequest;
use streamfold_model::{ChangeId, ConfigVersion, HeadRecord, MissingReason, SourceFile};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn plan() -> FleetPlan {
    let domain = |name| DomainPlan { name, nodes: 2, upstreams: 3 };
    FleetPlan {
        domains: vec![domain("vienna"), domain("tyrol")],
        has_processes: true,
        has_proxies: true,
        ..FleetPlan::default()
    }
}

async fn run_load(fleet: &Fleet, rate: f64, seconds: u64) -> LoadReport {
    let plan = LoadPlan {
        nodes: fleet.caller_addresses(),
        index: INDEX.to_owned(),
        token: TOKEN.to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        headers: Vec::new(),
        latency_goal: DEFAULT_LATENCY_GOAL,
    };
    load::run(&fleet.client, &plan).await
}

async fn order(fleet: &Fleet, node: usize, key: &str) -> CallAnswer {
    let address = fleet.nodes[node].addresses.callers;
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str()), ("idempotency-key", key)];
    let path = format!("/v1/indexes/{INDEX}/order");
    let body = Bytes::from_static(b"{\"key\":\"cart-1\"}");
    fleet.client.call(Method::POST, address, &path, &headers, body, CALL_TIMEOUT).await.expect("an answer")
}

fn ran(answer: &CallAnswer) -> String {
    let told: Value = serde_json::from_slice(&answer.body).expect("JSON");
    told["ran"].as_str().expect("a word").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_delivered_twice_runs_once() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let mut keys = sender.mint(fleet.caller_addresses()[0], 30).await;
    keys.extend((0..20).map(|number| format!("own-{number}")));
    sender.run(&fleet.caller_addresses(), keys, 200.0).await;
    let report = sender.report(&fleet.log);
    assert_eq!((report.orders, report.doubled, report.not_run_that_ran, report.ran_that_did_not), (50, 0, 0, 0));
    assert_eq!(report.ran, 50, "{report:?}");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_of_a_killed_node_are_unknown_and_of_a_stopped_one_go_on() {
    let mut fleet = Fleet::start(plan()).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let killed = sender.mint(fleet.nodes[1].addresses.callers, 1).await.remove(0);
    let stopped = sender.mint(fleet.nodes[2].addresses.callers, 2).await;
    assert_eq!(ran(&order(&fleet, 0, &stopped[0]).await), "ran");
    let handle = fleet.nodes[2].handle.take().expect("a node");
    assert!(handle.stop().await);
    assert_eq!(ran(&order(&fleet, 0, &stopped[1]).await), "ran", "an unused ticket runs at the node that took over");
    assert_eq!(ran(&order(&fleet, 0, &stopped[0]).await), "ran", "a used one is told its first outcome");
    assert_eq!(fleet.log.count(&stopped[0]), 1);
    if let Some(NodeHandle::Process(mut child)) = fleet.nodes[1].handle.take() {
        child.kill().await.expect("a kill");
    }
    assert_eq!(ran(&order(&fleet, 0, &killed).await), "unknown");
    assert_eq!(fleet.log.count(&killed), 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_outlives_restarts_under_the_same_names() {
    let mut fleet = Fleet::start(plan()).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let tickets = sender.mint(fleet.nodes[0].addresses.callers, 2).await;
    assert_eq!(ran(&order(&fleet, 3, &tickets[0]).await), "ran");
    for number in [0, 1] {
        let (domain, name) = (fleet.nodes[number].domain, fleet.nodes[number].name.clone());
        let handle = fleet.nodes[number].handle.take().expect("a node");
        assert!(handle.stop().await);
        fleet.add_node(domain, &name).await.expect("the node again");
        fleet.wait_ready().await.expect("a ready fleet");
    }
    for ticket in &tickets {
        assert_eq!(ran(&order(&fleet, 3, ticket).await), "ran");
        assert_eq!(fleet.log.count(ticket), 1);
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_and_cut_answers_are_never_folded() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    for server in fleet.all_servers() {
        server.state.switches.crossed_per_mille.store(300, Ordering::Relaxed);
    }
    for proxy in &fleet.proxies {
        proxy.faults.reset_per_mille.store(20, Ordering::Relaxed);
    }
    let report = run_load(&fleet, 100.0, 3).await;
    assert_eq!((report.requests, report.broken, report.failed), (300, 0, 0), "{report:?}");
    assert!(report.answered > 0);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_from_one_version_through_a_repartition() {
    let fleet = Fleet::start(FleetPlan { repartition_at: Some(15), ..plan() }).await.expect("a fleet");
    let servers: Vec<_> = fleet.all_servers().map(|server| server.state.clone()).collect();
    let advancing = tokio::spawn(async move {
        for version in 2..30 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for server in &servers {
                server.switches.newest.store(version, Ordering::Relaxed);
            }
        }
    });
    let report = run_load(&fleet, 100.0, 4).await;
    advancing.await.expect("the versions advanced");
    assert_eq!((report.requests, report.broken, report.failed), (400, 0, 0), "{report:?}");
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert_eq!(answer.coverage.shards, 12, "the new layout has twice the shards");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_store_outage_tickets_run_and_own_keys_are_refused_with_one() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    let refused = order(&fleet, 0, "own-key").await;
    assert_eq!(ran(&refused), "not_run");
    assert_eq!(fleet.log.count("own-key"), 0);
    let told: Value = serde_json::from_slice(&refused.body).expect("JSON");
    let ticket = told["ticket"].as_str().expect("a ticket");
    assert_eq!(ran(&order(&fleet, 3, ticket).await), "ran");
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert!(answer.coverage.missing.is_empty());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_changes_over_a_lossy_store_are_each_once_in_the_audit() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    fleet.platform.state.faults.lost_answers.store(300, Ordering::Relaxed);
    let mut racing = tokio::task::JoinSet::new();
    for operator in 0..2usize {
        let (client, config) = (fleet.client.clone(), fleet.config.clone());
        let address = fleet.nodes[operator * 2].addresses.operators;
        racing.spawn(async move {
            let mut accepted = Vec::new();
            for _ in 0..10 {
                let change = ChangeId(rand::random());
                let files = vec![SourceFile { name: "fleet.yaml".to_owned(), text: config.clone() }];
                let (operator, reason) = (format!("operator-{operator}"), "race".to_owned());
                let request = ApplyRequest { files, change, expected: None, operator, reason, dry_run: false };
                let body = Bytes::from(serde_json::to_vec(&request).expect("JSON"));
                let answer = client.call(Method::POST, address, "/v1/config", &[], body, CALL_TIMEOUT).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    accepted.push(change);
                }
            }
            accepted
        });
    }
    let accepted: Vec<ChangeId> = racing.join_all().await.into_iter().flatten().collect();
    fleet.platform.state.faults.lost_answers.store(0, Ordering::Relaxed);
    let head = fleet.platform.state.dump("config/head");
    let head: HeadRecord = serde_json::from_slice(&head[0].1).expect("a head");
    let copies = fleet.platform.state.dump("audit/");
    let copies = copies.iter().map(|(_, body)| serde_json::from_slice::<HeadRecord>(body).expect("a record"));
    let records: Vec<HeadRecord> =
        copies.filter(|record| record.version < head.version).chain([head.clone()]).collect();
    for change in &accepted {
        let found = records.iter().filter(|record| record.change == *change).count();
        assert_eq!(found, 1, "change {change} of {}", accepted.len());
    }
    assert!(!accepted.is_empty());
    assert_eq!(records.len() as u64, head.version.0, "no version may be missing from the audit");
    let wanted = head.version;
    wait_for("the newest configuration everywhere", async || {
        let mut versions: Vec<ConfigVersion> = Vec::new();
        for callers in fleet.caller_addresses() {
            versions.extend(fleet.query(callers).await.map(|answer| answer.config_version));
        }
        versions == vec![wanted; 4]
    })
    .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_domain_serves_its_own_and_comes_back() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let set_cut = |is_cut: bool| {
        for proxy in fleet.nodes.iter().filter_map(|node| node.proxy.as_ref()) {
            proxy.faults.refuse_connections.store(is_cut, Ordering::Relaxed);
            proxy.faults.break_all();
        }
    };
    set_cut(true);
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert_eq!((answer.coverage.shards, answer.coverage.answered), (6, 3));
    let reasons: Vec<MissingReason> = answer.coverage.missing.iter().map(|missing| missing.reason).collect();
    assert_eq!(reasons, [MissingReason::NoOwner; 3]);
    set_cut(false);
    wait_for("whole answers after the cut", async || {
        let answer = fleet.query(fleet.caller_addresses()[0]).await;
        answer.is_some_and(|answer| answer.coverage.missing.is_empty())
    })
    .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_at_the_peers_port_closes_its_own_link_only() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let address = fleet.nodes[0].addresses.peers;
    for garbage in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\xff\x07\x07junk"]
    {
        let mut stranger = tokio::net::TcpStream::connect(address).await.expect("a connection");
        stranger.write_all(garbage).await.expect("writing");
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(MAX_WAIT, stranger.read_to_end(&mut rest)).await;
        assert!(closed.is_ok(), "the link must be closed");
    }
    let report = run_load(&fleet, 50.0, 1).await;
    assert_eq!((report.whole, report.broken), (50, 0), "{report:?}");
    fleet.stop().await;
}

/// Whether anybody has a connection to an address, also one whose other end is closed already.
fn has_connections(address: std::net::SocketAddr) -> bool {
    /// What the system calls established, and closed by the other end.
    const OPEN_STATES: [&str; 2] = ["01", "08"];
    let port = format!(":{:04X}", address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's list of sockets");
    sockets.lines().skip(1).any(|socket| {
        let fields: Vec<&str> = socket.split_whitespace().collect();
        fields[2].ends_with(&port) && OPEN_STATES.contains(&fields[3])
    })
}

/// A forwarded order for which there was no connection had certainly not run, and was told as unknown at once: beside
/// load a new connection may take longer than the time for one.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_waits_for_the_way_to_the_node_of_its_ticket() {
    let mut fleet = Fleet::start(FleetPlan { deadline: "8s", ..plan() }).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let ticket = sender.mint(fleet.nodes[0].addresses.callers, 1).await.remove(0);
    let way = fleet.nodes[0].proxy.take().expect("a proxy");
    let (address, target) = (way.address, *way.target.lock().expect("its target"));
    drop(way);
    // What goes out on a connection that is just breaking may have arrived, and is unknown in truth.
    wait_for("every connection over the way to be closed", async || !has_connections(address)).await;
    let (told, way) = tokio::join!(order(&fleet, 3, &ticket), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        proxy::start(address, target).await.expect("the way again")
    });
    assert_eq!(ran(&told), "ran", "{told:?}");
    assert_eq!(fleet.log.count(&ticket), 1);
    drop(way);
    fleet.stop().await;
}
