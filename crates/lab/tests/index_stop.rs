//! Planned stops of nodes that serve indexes, with real processes, while work takes longer than the grace period. As the
//! platform does, each test kills a process that is still there when its grace period is over.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use streamfold_lab::client::LabClient;
use streamfold_lab::fleet::{Fleet, INDEX, NodeHandle, TOKEN, send_signal};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::orders::OrderSender;
use streamfold_lab::server::{RunLog, ServerPlan};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_model::{ExecutionState, ProblemDetails};
use tokio::process::Child;
use tokio::task::JoinSet;

/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(4);
/// Factor on the duration of a server's calls with which they outlast the grace period and the callers' deadline.
const SLOW_FACTOR: u64 = 15_000;
/// Orders of each kind that are sent at a time: more than the server's slots and its node's limit of calls.
const ORDERS: usize = 12;
/// Upstreams of a fleet of two nodes, so that each node is the first owner of some.
const UPSTREAMS: usize = 6;

/// What the caller of an order or a query was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallerOutcome {
    /// The order ran, or the query has an answer with some coverage.
    Answered,
    /// It has not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No complete answer arrived.
    NoAnswer(String),
}

/// An order and what its caller was told; a query has no key.
#[derive(Debug)]
struct CallerRecord {
    key: Option<String>,
    outcome: CallerOutcome,
}

/// Sends orders and queries of callers to one node.
#[derive(Clone)]
struct CallerGroup {
    client: LabClient,
    node: SocketAddr,
}

impl CallerGroup {
    fn new(fleet: &Fleet, node: usize) -> Self {
        Self { client: fleet.client.clone(), node: fleet.nodes[node].addresses.callers }
    }

    async fn send(&self, verb: &str, key: Option<&str>, body: String) -> CallerOutcome {
        let path = format!("/v1/indexes/{INDEX}/{verb}");
        let authorization = format!("Bearer {TOKEN}");
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let sent = self.client.call(Method::POST, self.node, &path, &headers, Bytes::from(body), MAX_WAIT).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(error) => return CallerOutcome::NoAnswer(error.to_string()),
        };
        if answer.status == StatusCode::OK {
            return CallerOutcome::Answered;
        }
        match serde_json::from_slice::<ProblemDetails>(&answer.body) {
            Ok(problem) if problem.ran == ExecutionState::NotRun => CallerOutcome::NotRun(problem.kind),
            Ok(problem) => CallerOutcome::Unknown(problem.kind),
            Err(error) => CallerOutcome::NoAnswer(error.to_string()),
        }
    }

    async fn send_order(self, key: String) -> CallerRecord {
        let outcome = self.send("order", Some(&key), format!("{{\"key\":\"cart-{key}\"}}")).await;
        CallerRecord { key: Some(key), outcome }
    }

    async fn send_query(self) -> CallerRecord {
        let outcome = self.send("query", None, "{}".to_owned()).await;
        CallerRecord { key: None, outcome }
    }

    /// Sends orders under callers' own keys and under the given tickets, and a query.
    fn start(&self, moment: &str, tickets: Vec<String>, callers: &mut JoinSet<CallerRecord>) {
        let own_keys = (0..ORDERS).map(|number| format!("{moment}-{number}"));
        for key in own_keys.chain(tickets) {
            callers.spawn(self.clone().send_order(key));
        }
        callers.spawn(self.clone().send_query());
    }
}

/// A fleet of one failure domain whose servers answer at once, until they are made slow.
async fn start(nodes: usize, upstreams: usize) -> Fleet {
    let server = ServerPlan { slots: 4, ..ServerPlan::default() };
    let plan = FleetPlan {
        domains: vec![DomainPlan { name: "vienna", nodes, upstreams }],
        servers: 1,
        server,
        deadline: "10s",
        has_processes: true,
        settings: format!("lame_duck: 1s\ngrace: {}s\nheartbeat: 100ms\nowners: 1\n", GRACE.as_secs()),
        ..FleetPlan::default()
    };
    Fleet::start(plan).await.expect("a fleet")
}

fn set_slow_factor(fleet: &Fleet, factor: u64) {
    for server in fleet.all_servers() {
        server.state.switches.slow_factor.store(factor, Ordering::Relaxed);
    }
}

/// Asks a node's process to stop, and kills it when its grace period is over; returns whether it ended by itself.
async fn stop_within_grace(mut process: Child) -> bool {
    send_signal(&process, "TERM").await;
    if let Ok(status) = tokio::time::timeout(GRACE, process.wait()).await {
        return status.expect("a status").success();
    }
    process.kill().await.expect("a killed process");
    false
}

/// Starts the stop of a node as a task.
fn start_stop(fleet: &mut Fleet, node: usize) -> tokio::task::JoinHandle<bool> {
    let Some(NodeHandle::Process(process)) = fleet.nodes[node].handle.take() else { panic!("a node in a process") };
    tokio::spawn(stop_within_grace(process))
}

async fn wait_lame_duck(fleet: &Fleet, node: usize) {
    let address = fleet.nodes[node].addresses.operators;
    wait_for("a node that is not ready", async || {
        let ready = fleet.client.call(Method::GET, address, "/readyz", &[], Bytes::new(), MAX_WAIT).await;
        ready.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
}

/// Checks that a caller got a complete answer, and that it is true.
fn check_record(record: &CallerRecord, log: &RunLog) {
    let runs = record.key.as_deref().map_or(0, |key| log.count(key));
    assert!(!matches!(record.outcome, CallerOutcome::NoAnswer(_)), "{record:?}, ran {runs} times");
    assert!(runs <= 1, "{record:?} ran {runs} times");
    if runs > 0 {
        assert!(!matches!(record.outcome, CallerOutcome::NotRun(_)), "{record:?} ran");
    }
}

async fn collect(callers: JoinSet<CallerRecord>) -> Vec<CallerRecord> {
    callers.join_all().await
}

/// Guards against a node that waits for work longer than the platform waits for the node: its callers lost their answers
/// when the process was killed.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_outlasts_the_grace_of_an_index_node_is_answered_before_its_end() {
    let mut fleet = start(1, 1).await;
    let group = CallerGroup::new(&fleet, 0);
    let sender = OrderSender::new(fleet.client.clone());
    let mut tickets = sender.mint(group.node, ORDERS * 2).await;
    let later_tickets = tickets.split_off(ORDERS);
    let mut callers = JoinSet::new();
    set_slow_factor(&fleet, SLOW_FACTOR);
    let calls = fleet.server_calls();
    group.start("before", tickets, &mut callers);
    wait_for("orders at the server", async || fleet.server_calls() > calls).await;
    let stop = start_stop(&mut fleet, 0);
    wait_lame_duck(&fleet, 0).await;
    group.start("lame-duck", later_tickets, &mut callers);
    let is_stopped = stop.await.expect("a stop");
    let records = collect(callers).await;
    for record in &records {
        check_record(record, &fleet.log);
    }
    let passed_on = fleet.server_calls() - calls;
    let not_run = records.iter().filter(|record| matches!(record.outcome, CallerOutcome::NotRun(_))).count() as u64;
    // An order that no server has read is known not to have run.
    assert!(not_run >= records.len() as u64 - 2 - passed_on, "{not_run} not run, {passed_on} passed on: {records:?}");
    assert!(is_stopped, "the process did not end within its grace period");
}

/// The same, for requests that arrive while the node refuses work, until its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_index_node_tells_late_callers_that_nothing_has_run() {
    let mut fleet = start(1, 1).await;
    let group = CallerGroup::new(&fleet, 0);
    let mut callers = JoinSet::new();
    set_slow_factor(&fleet, SLOW_FACTOR);
    let calls = fleet.server_calls();
    group.start("before", Vec::new(), &mut callers);
    wait_for("orders at the server", async || fleet.server_calls() > calls).await;
    let stop = start_stop(&mut fleet, 0);
    let mut refused = 0;
    let mut number = 0;
    while !stop.is_finished() {
        let key = format!("late-{number}");
        number += 1;
        let late = tokio::time::timeout(Duration::from_millis(100), group.clone().send_order(key.clone())).await;
        match late {
            Ok(record) if matches!(record.outcome, CallerOutcome::NotRun(_)) => {
                check_record(&record, &fleet.log);
                refused += 1;
            }
            Ok(record) if matches!(record.outcome, CallerOutcome::NoAnswer(_)) => {
                // The port is closed, or the node closed the connection without having read the request.
                assert_eq!(fleet.log.count(&key), 0, "{record:?} ran");
            }
            // Taken before the node refuses work, or no longer waited for.
            Ok(_) | Err(_) => {}
        }
    }
    let is_stopped = stop.await.expect("a stop");
    for record in collect(callers).await {
        check_record(&record, &fleet.log);
    }
    assert!(refused > 0, "no late order was refused");
    assert!(is_stopped, "the process did not end within its grace period");
}

/// Guards against tickets that are not handed over since orders outlast the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn tickets_are_handed_over_though_orders_outlast_the_grace() {
    let mut fleet = start(2, UPSTREAMS).await;
    let group = CallerGroup::new(&fleet, 0);
    let sender = OrderSender::new(fleet.client.clone());
    let mut tickets = sender.mint(group.node, 2).await;
    let (used, unused) = (tickets.remove(0), tickets.remove(0));
    let mut callers = JoinSet::new();
    set_slow_factor(&fleet, SLOW_FACTOR);
    callers.spawn(group.clone().send_order(used.clone()));
    wait_for("the order at the server", async || fleet.log.count(&used) == 1).await;
    let is_stopped = start_stop(&mut fleet, 0).await.expect("a stop");
    for record in collect(callers).await {
        check_record(&record, &fleet.log);
    }
    set_slow_factor(&fleet, 1);
    let successor = CallerGroup::new(&fleet, 1);
    let repeated = successor.clone().send_order(used).await;
    check_record(&repeated, &fleet.log);
    let first_use = successor.send_order(unused).await;
    assert_eq!(first_use.outcome, CallerOutcome::Answered, "{first_use:?}");
    assert!(is_stopped, "the process did not end within its grace period");
}

/// Guards against work for other nodes that ends with its owner: their callers are answered by them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_other_nodes_are_answered_truly_when_the_owner_of_their_work_stops() {
    let mut fleet = start(2, UPSTREAMS).await;
    let other = CallerGroup::new(&fleet, 1);
    let mut callers = JoinSet::new();
    set_slow_factor(&fleet, SLOW_FACTOR);
    let calls = fleet.server_calls();
    other.start("other", Vec::new(), &mut callers);
    wait_for("orders at the server", async || fleet.server_calls() > calls).await;
    let is_stopped = start_stop(&mut fleet, 0).await.expect("a stop");
    for record in collect(callers).await {
        check_record(&record, &fleet.log);
    }
    assert!(is_stopped, "the process did not end within its grace period");
}
