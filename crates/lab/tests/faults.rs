//! Guarantees under faults, with real processes: duplicate deliveries, killed nodes, crossed answers, advancing
//! index versions, a lossy store, partitioned failure domains and malformed bytes on the peer port.

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
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    body["ran"].as_str().expect("a text").to_owned()
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
async fn tickets_of_a_killed_node_are_unknown_and_of_a_stopped_node_stay_valid() {
    let mut fleet = Fleet::start(plan()).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let killed_ticket = sender.mint(fleet.nodes[1].addresses.callers, 1).await.remove(0);
    let stopped_tickets = sender.mint(fleet.nodes[2].addresses.callers, 2).await;
    assert_eq!(ran(&order(&fleet, 0, &stopped_tickets[0]).await), "ran");
    let handle = fleet.nodes[2].handle.take().expect("a node");
    assert!(handle.stop().await);
    assert_eq!(ran(&order(&fleet, 0, &stopped_tickets[1]).await), "ran", "an unused ticket runs at the successor node");
    assert_eq!(ran(&order(&fleet, 0, &stopped_tickets[0]).await), "ran", "a used ticket returns its first outcome");
    assert_eq!(fleet.log.count(&stopped_tickets[0]), 1);
    if let Some(NodeHandle::Process(mut child)) = fleet.nodes[1].handle.take() {
        child.kill().await.expect("a kill");
    }
    assert_eq!(ran(&order(&fleet, 0, &killed_ticket).await), "unknown");
    assert_eq!(fleet.log.count(&killed_ticket), 0);
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
        fleet.add_node(domain, &name).await.expect("the restarted node");
        fleet.wait_ready().await.expect("a ready fleet");
    }
    for ticket in &tickets {
        assert_eq!(ran(&order(&fleet, 3, ticket).await), "ran");
        assert_eq!(fleet.log.count(ticket), 1);
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_and_truncated_answers_are_never_merged() {
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
async fn answers_come_from_one_version_during_a_repartition() {
    let fleet = Fleet::start(FleetPlan { repartition_at: Some(15), ..plan() }).await.expect("a fleet");
    let servers: Vec<_> = fleet.all_servers().map(|server| server.state.clone()).collect();
    let advance_task = tokio::spawn(async move {
        for version in 2..30 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for server in &servers {
                server.switches.newest.store(version, Ordering::Relaxed);
            }
        }
    });
    let report = run_load(&fleet, 100.0, 4).await;
    advance_task.await.expect("the versions advanced");
    assert_eq!((report.requests, report.broken, report.failed), (400, 0, 0), "{report:?}");
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert_eq!(answer.coverage.shards, 12, "the new layout has twice the shards");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn during_a_store_outage_tickets_run_and_idempotency_keys_are_refused_with_a_ticket() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    let refused = order(&fleet, 0, "own-key").await;
    assert_eq!(ran(&refused), "not_run");
    assert_eq!(fleet.log.count("own-key"), 0);
    let problem: Value = serde_json::from_slice(&refused.body).expect("JSON");
    let ticket = problem["ticket"].as_str().expect("a ticket");
    assert_eq!(ran(&order(&fleet, 3, ticket).await), "ran");
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert!(answer.coverage.missing.is_empty());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_over_a_lossy_store_are_in_the_audit_once() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    fleet.platform.state.faults.lost_answers.store(300, Ordering::Relaxed);
    let mut change_tasks = tokio::task::JoinSet::new();
    for operator in 0..2usize {
        let (client, config) = (fleet.client.clone(), fleet.config.clone());
        let address = fleet.nodes[operator * 2].addresses.operators;
        change_tasks.spawn(async move {
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
    let accepted: Vec<ChangeId> = change_tasks.join_all().await.into_iter().flatten().collect();
    fleet.platform.state.faults.lost_answers.store(0, Ordering::Relaxed);
    let head = fleet.platform.state.dump("config/head");
    let head: HeadRecord = serde_json::from_slice(&head[0].1).expect("a head");
    let audit = fleet.platform.state.dump("audit/");
    let audit = audit.iter().map(|(_, body)| serde_json::from_slice::<HeadRecord>(body).expect("a record"));
    let records: Vec<HeadRecord> = audit.filter(|record| record.version < head.version).chain([head.clone()]).collect();
    for change in &accepted {
        let found = records.iter().filter(|record| record.change == *change).count();
        assert_eq!(found, 1, "change {change} of {}", accepted.len());
    }
    assert!(!accepted.is_empty());
    assert_eq!(records.len() as u64, head.version.0, "no version may be missing from the audit");
    let newest_version = head.version;
    wait_for("the newest configuration at all nodes", async || {
        let mut versions: Vec<ConfigVersion> = Vec::new();
        for callers in fleet.caller_addresses() {
            versions.extend(fleet.query(callers).await.map(|answer| answer.config_version));
        }
        versions == vec![newest_version; 4]
    })
    .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_domain_serves_its_own_shards_and_rejoins() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let set_partitioned = |is_partitioned: bool| {
        for proxy in fleet.nodes.iter().filter_map(|node| node.proxy.as_ref()) {
            proxy.faults.refuse_connections.store(is_partitioned, Ordering::Relaxed);
            proxy.faults.break_all();
        }
    };
    set_partitioned(true);
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert_eq!((answer.coverage.shards, answer.coverage.answered), (6, 3));
    let reasons: Vec<MissingReason> = answer.coverage.missing.iter().map(|missing| missing.reason).collect();
    assert_eq!(reasons, [MissingReason::NoOwner; 3]);
    set_partitioned(false);
    wait_for("complete answers after the partition", async || {
        let answer = fleet.query(fleet.caller_addresses()[0]).await;
        answer.is_some_and(|answer| answer.coverage.missing.is_empty())
    })
    .await;
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_on_the_peer_port_close_only_their_connection() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let address = fleet.nodes[0].addresses.peers;
    for malformed_bytes in
        [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\xff\x07\x07junk"]
    {
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
        stream.write_all(malformed_bytes).await.expect("writing");
        let mut received = Vec::new();
        let closed = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut received)).await;
        assert!(closed.is_ok(), "the connection must be closed");
    }
    let report = run_load(&fleet, 50.0, 1).await;
    assert_eq!((report.whole, report.broken), (50, 0), "{report:?}");
    fleet.stop().await;
}

/// Whether any process has a connection to an address, including one that the other end has closed.
fn has_connections(address: std::net::SocketAddr) -> bool {
    /// The codes of `/proc/net/tcp` for established and close-wait sockets.
    const OPEN_STATES: [&str; 2] = ["01", "08"];
    let port = format!(":{:04X}", address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system's list of sockets");
    sockets.lines().skip(1).any(|socket| {
        let fields: Vec<&str> = socket.split_whitespace().collect();
        fields[2].ends_with(&port) && OPEN_STATES.contains(&fields[3])
    })
}

/// Guards against an unknown outcome for an order that certainly has not run: while there was no connection to the
/// node of its ticket, it was answered as unknown at once, though under load a new connection may take longer than
/// the time allowed for one.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_waits_for_a_connection_to_the_node_of_its_ticket() {
    let mut fleet = Fleet::start(FleetPlan { deadline: "8s", ..plan() }).await.expect("a fleet");
    let sender = OrderSender::new(fleet.client.clone());
    let ticket = sender.mint(fleet.nodes[0].addresses.callers, 1).await.remove(0);
    let node_proxy = fleet.nodes[0].proxy.take().expect("a proxy");
    let (address, target) = (node_proxy.address, *node_proxy.target.lock().expect("its target"));
    drop(node_proxy);
    // An order sent on a connection that is just breaking may have arrived, so its outcome is really unknown.
    wait_for("every connection through the proxy to be closed", async || !has_connections(address)).await;
    let (answer, node_proxy) = tokio::join!(order(&fleet, 3, &ticket), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        proxy::start(address, target).await.expect("the restarted proxy")
    });
    assert_eq!(ran(&answer), "ran", "{answer:?}");
    assert_eq!(fleet.log.count(&ticket), 1);
    drop(node_proxy);
    fleet.stop().await;
}
