//! Load generator of orders, each delivered twice, and the check of the reported outcomes against what the servers ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use streamfold_model::{ExecutionState, ProblemDetails};

use crate::client::LabClient;
use crate::fleet::{INDEX, TOKEN};
use crate::server::RunLog;
use streamfold_standin::rng;

/// Client-side timeout of one delivery.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Outcome of one delivery, as the node reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The order ran.
    Ran,
    /// The order did not run, with the kind of problem.
    NotRun(String),
    /// The order may have run, with the kind of problem.
    Unknown(String),
    /// No readable answer arrived; the order may have run, as with `Unknown`.
    NoAnswer,
}

/// An order and the reported outcome of each of its deliveries.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// Idempotency key.
    pub key: String,
    /// Reported outcome of each delivery.
    pub outcomes: Vec<ReportedOutcome>,
}

/// Results of a load of orders.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderReport {
    /// Orders sent, each delivered twice.
    pub orders: usize,
    /// Orders of which a delivery was reported as run.
    pub ran: usize,
    /// Orders that ran more than once.
    pub doubled: usize,
    /// Orders that ran although every delivery was reported as "not run".
    pub not_run_that_ran: usize,
    /// Orders that did not run although a delivery was reported as run.
    pub ran_that_did_not: usize,
    /// Orders for which the reports leave it unknown whether they ran.
    pub unknown: usize,
    /// Deliveries by reported outcome.
    pub told: BTreeMap<String, usize>,
}

#[derive(Deserialize)]
struct MintedTickets {
    tickets: Vec<String>,
}

/// Sends orders and records the reported outcomes.
#[derive(Clone)]
pub struct OrderSender {
    client: LabClient,
    records: Arc<Mutex<Vec<OrderRecord>>>,
}

impl OrderSender {
    /// Creates a sender without records.
    pub fn new(client: LabClient) -> Self {
        Self { client, records: Arc::default() }
    }

    /// Mints tickets at a node; returns none if that fails.
    pub async fn mint(&self, node: SocketAddr, count: usize) -> Vec<String> {
        let path = format!("/v1/tickets?count={count}");
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        let answer = self.client.call(Method::POST, node, &path, &headers, Bytes::new(), DELIVERY_TIMEOUT).await;
        let minted = answer.ok().and_then(|answer| serde_json::from_slice::<MintedTickets>(&answer.body).ok());
        minted.map(|minted| minted.tickets).unwrap_or_default()
    }

    async fn deliver(&self, node: SocketAddr, key: &str, record: &str) -> ReportedOutcome {
        let path = format!("/v1/indexes/{INDEX}/order");
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
        let body = Bytes::from(format!("{{\"key\":\"{record}\"}}"));
        let Ok(answer) = self.client.call(Method::POST, node, &path, &headers, body, DELIVERY_TIMEOUT).await else {
            return ReportedOutcome::NoAnswer;
        };
        if answer.status == StatusCode::OK {
            return ReportedOutcome::Ran;
        }
        match serde_json::from_slice::<ProblemDetails>(&answer.body) {
            Ok(problem) if problem.ran == ExecutionState::NotRun => ReportedOutcome::NotRun(problem.kind),
            Ok(problem) => ReportedOutcome::Unknown(problem.kind),
            Err(_) => ReportedOutcome::NoAnswer,
        }
    }

    /// Delivers one order to two nodes, concurrently or one after the other.
    async fn deliver_twice(&self, nodes: [SocketAddr; 2], key: String, record: String, is_concurrent: bool) {
        let outcomes = if is_concurrent {
            let (first, second) =
                tokio::join!(self.deliver(nodes[0], &key, &record), self.deliver(nodes[1], &key, &record));
            vec![first, second]
        } else {
            let first = self.deliver(nodes[0], &key, &record).await;
            vec![first, self.deliver(nodes[1], &key, &record).await]
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(OrderRecord { key, outcomes });
    }

    /// Sends one order for each key at `rate` orders a second, each twice to random nodes.
    pub async fn run(&self, nodes: &[SocketAddr], keys: Vec<String>, rate: f64) {
        let start = Instant::now();
        let mut running = tokio::task::JoinSet::new();
        for (number, key) in keys.into_iter().enumerate() {
            let due = start + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(due.into()).await;
            while running.try_join_next().is_some() {}
            let random_node = || nodes[rng::range(0.0..nodes.len() as f64) as usize];
            let (sender, pair, is_concurrent) = (self.clone(), [random_node(), random_node()], rng::chance(500));
            running
                .spawn(async move { sender.deliver_twice(pair, key, format!("cart-{number}"), is_concurrent).await });
        }
        while running.join_next().await.is_some() {}
    }

    /// Compares the reported outcomes with what the servers ran.
    pub fn report(&self, log: &RunLog) -> OrderReport {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut report = OrderReport { orders: records.len(), ..OrderReport::default() };
        for record in records.iter() {
            let runs = log.count(&record.key);
            let is_reported_run = record.outcomes.contains(&ReportedOutcome::Ran);
            let is_reported_not_run =
                record.outcomes.iter().all(|outcome| matches!(outcome, ReportedOutcome::NotRun(_)));
            report.doubled += usize::from(runs > 1);
            report.ran += usize::from(is_reported_run);
            report.not_run_that_ran += usize::from(is_reported_not_run && runs > 0);
            report.ran_that_did_not += usize::from(is_reported_run && runs == 0);
            report.unknown += usize::from(!is_reported_run && !is_reported_not_run);
            for outcome in &record.outcomes {
                *report.told.entry(describe(outcome)).or_default() += 1;
            }
        }
        report
    }
}

fn describe(outcome: &ReportedOutcome) -> String {
    match outcome {
        ReportedOutcome::Ran => "ran".to_owned(),
        ReportedOutcome::NotRun(kind) => format!("not run: {kind}"),
        ReportedOutcome::Unknown(kind) => format!("unknown: {kind}"),
        ReportedOutcome::NoAnswer => "no answer".to_owned(),
    }
}
