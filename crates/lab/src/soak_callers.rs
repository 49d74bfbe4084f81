//! Callers of a soak: each keeps one connection open and reuses it until it is closed.

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

/// How long a caller still waits for an answer after its deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(3);

/// Requests that the callers have sent and their results, and the flag that stops the callers.
#[derive(Default)]
pub struct CallerLog {
    /// Set when the callers must stop.
    pub is_finished: AtomicBool,
    /// Requests that have ended.
    pub requests: Mutex<Vec<Arc<ObservedRequest>>>,
    next_id: AtomicU64,
}

impl CallerLog {
    /// Sends a request through a node and records its result; returns whether it succeeded.
    pub async fn call(
        &self,
        fleet: &SoakFleet,
        client: &LabClient,
        node: usize,
        route: SoakRoute,
        deadline: Duration,
    ) -> bool {
        let id = format!("{}-{}", route.name(), self.next_id.fetch_add(1, Ordering::Relaxed));
        let millis = deadline.as_millis().to_string();
        let headers = [("host", HOST), (names::REQUEST_ID, id.as_str()), (names::DEADLINE_MS, millis.as_str())];
        let path = format!("/{}/x", route.name());
        let target = &fleet.nodes[node];
        let (run, sent) = (target.run.load(Ordering::SeqCst), Instant::now());
        let body = Bytes::from(id.clone());
        let callers = target.addresses.callers;
        let result = client.call(Method::POST, callers, &path, &headers, body, deadline + ANSWER_GRACE).await;
        let ended = Instant::now();
        let run = (target.run.load(Ordering::SeqCst) == run).then_some(run);
        let is_success = result.as_ref().is_ok_and(|answer| answer.status.is_success());
        let request = ObservedRequest { id, route, node, run, sent, ended, deadline, result };
        lock(&self.requests).push(Arc::new(request));
        is_success
    }
}

/// Runs one caller, which requests one route of one node until `log` tells it to stop.
pub async fn run_caller(fleet: Arc<SoakFleet>, log: Arc<CallerLog>, node: usize, route: SoakRoute, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = LabClient::default();
    while !log.is_finished.load(Ordering::Relaxed) {
        let deadline = Duration::from_millis(rng.random_range(300..3_000));
        log.call(&fleet, &client, node, route, deadline).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..90))).await;
    }
}
