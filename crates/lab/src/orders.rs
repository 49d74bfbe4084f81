//! Load of orders, each delivered twice, and the check of what was told against what ran.

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
use streamfold_standin::dice;

/// How long one delivery may take.
const GIVE_UP: Duration = Duration::from_secs(8);

/// What was told of one delivery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToldOutcome {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// There was no answer; the caller knows as little as with `Unknown`.
    NoAnswer,
}

/// One key with what was told of each delivery.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// The key.
    pub key: String,
    /// What was told.
    pub told: Vec<ToldOutcome>,
}

/// What came of a load of orders.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderReport {
    /// Orders sent, each delivered twice.
    pub orders: usize,
    /// Orders of which a delivery was told that it ran.
    pub ran: usize,
    /// Orders that ran more than once.
    pub doubled: usize,
    /// Orders of which every delivery was told "not run", and which ran.
    pub not_run_that_ran: usize,
    /// Orders told as run that did not.
    pub ran_that_did_not: usize,
    /// Orders of which nothing better than "unknown" was told.
    pub unknown: usize,
    /// Deliveries by what was told.
    pub told: BTreeMap<String, usize>,
}

#[derive(Deserialize)]
struct MintedTickets {
    tickets: Vec<String>,
}

/// Sends orders and keeps what was told.
#[derive(Clone)]
pub struct OrderSender {
    client: LabClient,
    records: Arc<Mutex<Vec<OrderRecord>>>,
}

impl OrderSender {
    /// A sender without records.
    pub fn new(client: LabClient) -> Self {
        Self { client, records: Arc::default() }
    }

    /// Mints tickets at a node; none if it cannot.
    pub async fn mint(&self, node: SocketAddr, count: usize) -> Vec<String> {
        let path = format!("/v1/tickets?count={count}");
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        let answer = self.client.call(Method::POST, node, &path, &headers, Bytes::new(), GIVE_UP).await;
        let minted = answer.ok().and_then(|answer| serde_json::from_slice::<MintedTickets>(&answer.body).ok());
        minted.map(|minted| minted.tickets).unwrap_or_default()
    }

    async fn deliver(&self, node: SocketAddr, key: &str, record: &str) -> ToldOutcome {
        let path = format!("/v1/indexes/{INDEX}/order");
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
        let body = Bytes::from(format!("{{\"key\":\"{record}\"}}"));
        let Ok(answer) = self.client.call(Method::POST, node, &path, &headers, body, GIVE_UP).await else {
            return ToldOutcome::NoAnswer;
        };
        if answer.status == StatusCode::OK {
            return ToldOutcome::Ran;
        }
        match serde_json::from_slice::<ProblemDetails>(&answer.body) {
            Ok(problem) if problem.ran == ExecutionState::NotRun => ToldOutcome::NotRun(problem.kind),
            Ok(problem) => ToldOutcome::Unknown(problem.kind),
            Err(_) => ToldOutcome::NoAnswer,
        }
    }

    /// Delivers one order to two nodes, at once or one after the other.
    async fn deliver_twice(&self, nodes: [SocketAddr; 2], key: String, record: String, at_once: bool) {
        let told = if at_once {
            let (first, second) =
                tokio::join!(self.deliver(nodes[0], &key, &record), self.deliver(nodes[1], &key, &record));
            vec![first, second]
        } else {
            let first = self.deliver(nodes[0], &key, &record).await;
            vec![first, self.deliver(nodes[1], &key, &record).await]
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(OrderRecord { key, told });
    }

    /// Sends `count` orders at a rate; `keys` are used in turn. Each goes twice to random nodes.
    pub async fn run(&self, nodes: &[SocketAddr], keys: Vec<String>, rate: f64) {
        let start = Instant::now();
        let mut running = tokio::task::JoinSet::new();
        for (number, key) in keys.into_iter().enumerate() {
            let due = start + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(due.into()).await;
            while running.try_join_next().is_some() {}
            let pick = || nodes[dice::range(0.0..nodes.len() as f64) as usize];
            let (sender, pair, at_once) = (self.clone(), [pick(), pick()], dice::chance(500));
            running.spawn(async move { sender.deliver_twice(pair, key, format!("cart-{number}"), at_once).await });
        }
        while running.join_next().await.is_some() {}
    }

    /// Checks what was told against what the servers ran.
    pub fn report(&self, log: &RunLog) -> OrderReport {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut report = OrderReport { orders: records.len(), ..OrderReport::default() };
        for record in records.iter() {
            let runs = log.count(&record.key);
            let says_ran = record.told.contains(&ToldOutcome::Ran);
            let says_not = record.told.iter().all(|told| matches!(told, ToldOutcome::NotRun(_)));
            report.doubled += usize::from(runs > 1);
            report.ran += usize::from(says_ran);
            report.not_run_that_ran += usize::from(says_not && runs > 0);
            report.ran_that_did_not += usize::from(says_ran && runs == 0);
            report.unknown += usize::from(!says_ran && !says_not);
            for told in &record.told {
                *report.told.entry(describe(told)).or_default() += 1;
            }
        }
        report
    }
}

fn describe(told: &ToldOutcome) -> String {
    match told {
        ToldOutcome::Ran => "ran".to_owned(),
        ToldOutcome::NotRun(kind) => format!("not run: {kind}"),
        ToldOutcome::Unknown(kind) => format!("unknown: {kind}"),
        ToldOutcome::NoAnswer => "no answer".to_owned(),
    }
}
