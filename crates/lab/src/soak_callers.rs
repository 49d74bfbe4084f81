//! Callers of a soak: each keeps a connection and uses it until it is closed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use streamfold_standin::names;

use crate::client::LabClient;
use crate::route_fleet::HOST;
use crate::soak_audit::{ObservedRequest, SoakRoute};
use crate::soak_fleet::{SoakFleet, lock};

/// How long after its deadline a caller still listens.
const LISTEN: Duration = Duration::from_secs(3);

/// What callers saw, and whether they go on.
#[derive(Default)]
pub struct CallerLog {
    /// Set once they stop.
    pub is_over: AtomicBool,
    /// Their requests that ended.
    pub seen: Mutex<Vec<Arc<ObservedRequest>>>,
    next: AtomicU64,
}

impl CallerLog {
    /// Makes a request through a node and notes how it ended; whether it was a success.
    pub async fn call(
        &self,
        fleet: &SoakFleet,
        client: &LabClient,
        node: usize,
        route: SoakRoute,
        deadline: Duration,
    ) -> bool {
        let id = format!("{}-{}", route.name(), self.next.fetch_add(1, Ordering::Relaxed));
        let millis = deadline.as_millis().to_string();
        let headers = [("host", HOST), (names::REQUEST_ID, id.as_str()), (names::DEADLINE_MS, millis.as_str())];
        let path = format!("/{}/x", route.name());
        let target = &fleet.nodes[node];
        let (run, sent) = (target.run.load(Ordering::SeqCst), Instant::now());
        let body = Bytes::from(id.clone());
        let callers = target.addresses.callers;
        let result = client.call(Method::POST, callers, &path, &headers, body, deadline + LISTEN).await;
        let ended = Instant::now();
        let run = (target.run.load(Ordering::SeqCst) == run).then_some(run);
        let is_success = result.as_ref().is_ok_and(|answer| answer.status.is_success());
        let seen = ObservedRequest { id, route, node, run, sent, ended, deadline, result };
        lock(&self.seen).push(Arc::new(seen));
        is_success
    }
}

/// One caller: it calls one route of one node until it is told to stop.
pub async fn run_caller(fleet: Arc<SoakFleet>, log: Arc<CallerLog>, node: usize, route: SoakRoute, seed: u64) {
    let mut dice = SmallRng::seed_from_u64(seed);
    let client = LabClient::default();
    while !log.is_over.load(Ordering::Relaxed) {
        let deadline = Duration::from_millis(dice.random_range(300..3_000));
        log.call(&fleet, &client, node, route, deadline).await;
        tokio::time::sleep(Duration::from_millis(dice.random_range(5..90))).await;
    }
}
