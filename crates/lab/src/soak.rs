//! Soak test: runs real node processes, injects overlapping faults from outside and checks the
//! guarantees while they run.
//! The seed determines the sequence of faults and the callers' requests; the exact timing depends
//! on the machine. There is no separate clock fault: pausing a process makes its monotonic clock
//! jump, and no decision depends on the wall clock.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;

use crate::client::LabClient;
use crate::route_fleet::RouteFleetError;
use crate::soak_audit::{SoakAudit, SoakRoute, Violation, ViolationKind};
use crate::soak_callers::{CallerLog, run_caller};
use crate::soak_faults::{FaultInjector, watch_processes};
use crate::soak_fleet::{SoakFleet, lock};
use crate::soak_machine::watch_machine;

/// How often the guarantees are checked during the run.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// How long requests may still fail once all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a request that is sent after the faults.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(2);
/// How long bytes that a proxy had held may still reach a server at the end of the run.
const DRAIN_DELAY: Duration = Duration::from_millis(300);
/// How often the scheduling lag of the lab itself is measured.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Text that marks a panic in a node's log.
const PANIC_EVENT: &str = " event=panicked ";

/// Parameters of a soak run.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// How long faults are injected.
    pub time: Duration,
    /// Number of nodes in each of the two failure domains.
    pub nodes: usize,
}

/// Result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    /// Parameters of the run.
    pub plan: SoakPlan,
    /// Number of requests by route and status.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of faults injected.
    pub faults: u64,
    /// Requests that had to use the newest routes, because these had been written long enough ago.
    pub routed: usize,
    /// Requests that had to skip a server whose entry had been withdrawn long enough ago.
    pub skipped: usize,
    /// Number of connections between nodes that went through proxies.
    pub links: u64,
    /// Requests of which a node delegated a part to another node.
    pub delegated: usize,
    /// How often a node started to receive store updates from another node.
    pub relays: usize,
    /// Longest scheduling lag of the lab itself, as a measure of the machine's load.
    pub max_lab_lag: Duration,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Folder of the logs.
    pub folder: PathBuf,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests: usize = self.outcomes.values().sum();
        let outcomes: Vec<String> = self.outcomes.iter().map(|(name, count)| format!("{name}={count}")).collect();
        write!(
            f,
            "soak seed={} seconds={} nodes={} requests={requests} {} faults={} routed={} spared={} links={} delegated={} relays={} lab_late_ms={} violations={} logs={}",
            self.plan.seed,
            self.plan.time.as_secs(),
            2 * self.plan.nodes,
            outcomes.join(" "),
            self.faults,
            self.routed,
            self.skipped,
            self.links,
            self.delegated,
            self.relays,
            self.max_lab_lag.as_millis(),
            self.violations.len(),
            self.folder.display()
        )
    }
}

/// Runs a soak and checks the guarantees during and after it.
///
/// # Errors
/// The fleet did not become ready.
pub async fn run(plan: SoakPlan) -> Result<SoakReport, RouteFleetError> {
    streamfold_standin::rng::seed(plan.seed);
    let fleet = SoakFleet::start(plan.seed, plan.nodes).await?;
    let log = Arc::new(CallerLog::default());
    let max_lag_us = Arc::new(AtomicU64::new(0));
    let mut watchers = JoinSet::new();
    watchers.spawn(watch_processes(fleet.clone()));
    watchers.spawn(watch_machine(fleet.clone()));
    watchers.spawn(check_periodically(fleet.clone(), log.clone()));
    watchers.spawn(measure_lag(max_lag_us.clone()));
    let mut callers = start_callers(&fleet, &log, plan.seed);
    inject_faults(&fleet, plan).await;
    fleet.log_fault("end of all faults");
    check_recovery(&fleet, &log).await;
    log.is_finished.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    tokio::time::sleep(DRAIN_DELAY).await;
    watchers.shutdown().await;
    let (routed, skipped) = check(fleet.clone(), &log).await;
    record_panics(&fleet);
    check_logs(fleet.clone(), &log).await;
    let mut outcomes = BTreeMap::new();
    for request in lock(&log.requests).iter() {
        *outcomes.entry(request.outcome()).or_default() += 1;
    }
    Ok(SoakReport {
        plan,
        outcomes,
        routed,
        skipped,
        links: fleet.nodes.iter().map(|node| node.links.faults.forwarded.load(Ordering::Relaxed)).sum(),
        delegated: fleet.count_logged(&[" event=request ", " peers="]),
        relays: fleet.count_logged(&[" event=reader_followed "]),
        faults: fleet.faults.load(Ordering::Relaxed),
        max_lab_lag: Duration::from_micros(max_lag_us.load(Ordering::Relaxed)),
        violations: fleet.violations(),
        folder: fleet.folder.clone(),
    })
}

fn start_callers(fleet: &Arc<SoakFleet>, log: &Arc<CallerLog>, seed: u64) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for node in 0..fleet.nodes.len() {
        for (number, route) in SoakRoute::ALL.into_iter().chain([SoakRoute::Once]).enumerate() {
            let caller_seed = seed.wrapping_mul(1_000) + (node * 10 + number) as u64;
            callers.spawn(run_caller(fleet.clone(), log.clone(), node, route, caller_seed));
        }
    }
    callers
}

/// Runs all fault injectors concurrently and waits until every fault has ended.
async fn inject_faults(fleet: &Arc<SoakFleet>, plan: SoakPlan) {
    let end = Instant::now() + plan.time;
    let injector = |number: u64| {
        let rng = SmallRng::seed_from_u64(plan.seed.wrapping_mul(100).wrapping_add(number));
        FaultInjector { fleet: fleet.clone(), rng, end }
    };
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..fleet.nodes.len()).partition(|node| node % 2 == 0);
    let mut injectors = JoinSet::new();
    injectors.spawn(injector(1).inject_node_faults(even));
    injectors.spawn(injector(2).inject_node_faults(odd));
    injectors.spawn(injector(3).inject_signals());
    injectors.spawn(injector(4).inject_server_faults());
    injectors.spawn(injector(5).inject_server_faults());
    injectors.spawn(injector(6).inject_server_faults());
    injectors.spawn(injector(7).inject_store_faults());
    injectors.spawn(injector(8).inject_changes());
    injectors.spawn(injector(9).inject_link_faults());
    injectors.spawn(injector(10).inject_link_faults());
    injectors.spawn(injector(11).inject_store_path_faults());
    injectors.spawn(injector(12).inject_settings_faults());
    injectors.spawn(injector(13).inject_silent_links());
    while injectors.join_next().await.is_some() {}
}

async fn check_periodically(fleet: Arc<SoakFleet>, log: Arc<CallerLog>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        check(fleet.clone(), &log).await;
    }
}

/// Checks everything that callers and servers have observed so far.
async fn check(fleet: Arc<SoakFleet>, log: &CallerLog) -> (usize, usize) {
    audit(fleet, log, |audit| {
        audit.check();
        audit.count_binding()
    })
    .await
}

/// Checks the nodes' logs, which are complete once the run is over.
async fn check_logs(fleet: Arc<SoakFleet>, log: &CallerLog) {
    audit(fleet, log, |audit| {
        audit.check_logs();
    })
    .await;
}

/// Runs checks on a blocking thread, so that callers and servers keep running.
async fn audit<T: Send + 'static>(
    fleet: Arc<SoakFleet>,
    log: &CallerLog,
    checks: impl FnOnce(&SoakAudit<'_>) -> T + Send + 'static,
) -> T {
    let requests = lock(&log.requests).clone();
    let checked = tokio::task::spawn_blocking(move || checks(&SoakAudit::new(&fleet, &requests))).await;
    checked.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

/// Records a violation for every panic in the nodes' logs, with its location.
fn record_panics(fleet: &SoakFleet) {
    for node in &fleet.nodes {
        for line in node.logged(&[PANIC_EVENT]) {
            fleet.note_violation(ViolationKind::Panicked, &node.name, line);
        }
    }
}

async fn measure_lag(max_lag_us: Arc<AtomicU64>) {
    loop {
        let start = Instant::now();
        tokio::time::sleep(LAG_CHECK_INTERVAL).await;
        let lag = start.elapsed().saturating_sub(LAG_CHECK_INTERVAL).as_micros();
        max_lag_us.fetch_max(u64::try_from(lag).unwrap_or(u64::MAX), Ordering::Relaxed);
    }
}

/// Checks that every route works again at every node after all faults.
async fn check_recovery(fleet: &Arc<SoakFleet>, log: &Arc<CallerLog>) {
    let mut checks = JoinSet::new();
    for node in 0..fleet.nodes.len() {
        for route in SoakRoute::ALL {
            checks.spawn(check_route_recovery(fleet.clone(), log.clone(), node, route));
        }
    }
    while checks.join_next().await.is_some() {}
}

async fn check_route_recovery(fleet: Arc<SoakFleet>, log: Arc<CallerLog>, node: usize, route: SoakRoute) {
    let client = LabClient::default();
    let start = Instant::now();
    let mut successes = 0;
    // Requires three consecutive successes: a single one may have been chance.
    while successes < 3 {
        let is_success = log.call(&fleet, &client, node, route, RECOVERY_DEADLINE).await;
        successes = if is_success { successes + 1 } else { 0 };
        if start.elapsed() > RECOVERY_TIMEOUT {
            let detail = format!("no three successes in a row on route {} within {RECOVERY_TIMEOUT:?}", route.name());
            return fleet.note_violation(ViolationKind::NotBack, &fleet.nodes[node].name, detail);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
