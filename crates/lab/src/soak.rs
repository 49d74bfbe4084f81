//! A soak: real nodes under faults played from outside, and the promises checked meanwhile.
//! Its seed names the plan of faults and the callers; the moments are the machine's. Clocks have
//! no fault of their own: a pause makes the monotonic one jump, and nothing is decided by the
//! time of day.

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

/// How often promises are checked meanwhile.
const CHECK_EVERY: Duration = Duration::from_secs(3);
/// How long after all faults requests may still fail.
const BACK_WITHIN: Duration = Duration::from_secs(10);
/// How long a request after the faults may take.
const BACK_DEADLINE: Duration = Duration::from_secs(2);
/// How long bytes that were held may still reach a server at the end.
const SETTLE: Duration = Duration::from_millis(300);
/// How often the lab looks how late it wakes up.
const LAG_LOOK: Duration = Duration::from_millis(20);

/// What the line of a panic has in a node's log.
const PANICKED: &str = " event=panicked ";

/// What a soak is.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Names faults and callers.
    pub seed: u64,
    /// How long faults are played.
    pub time: Duration,
    /// Nodes of each of the two failure domains.
    pub nodes: usize,
}

/// How a soak went.
#[derive(Debug)]
pub struct SoakReport {
    /// What it was.
    pub plan: SoakPlan,
    /// Requests by route and status.
    pub outcomes: BTreeMap<String, usize>,
    /// Faults played.
    pub faults: u64,
    /// Requests that had to go by the newest routes, as they were there for long enough.
    pub routed: usize,
    /// Requests that had to spare a server that had left long enough ago.
    pub spared: usize,
    /// Connections between nodes that went through proxies.
    pub links: u64,
    /// Requests that a node handed in part to another.
    pub delegated: usize,
    /// How often a node began to take the news of the store from another.
    pub relays: usize,
    /// The longest that the lab itself woke up late, as a measure of the machine's load.
    pub lab_late: Duration,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Where logs are.
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
            self.spared,
            self.links,
            self.delegated,
            self.relays,
            self.lab_late.as_millis(),
            self.violations.len(),
            self.folder.display()
        )
    }
}

/// Plays a soak and checks it.
///
/// # Errors
/// The fleet did not come up.
pub async fn run(plan: SoakPlan) -> Result<SoakReport, RouteFleetError> {
    streamfold_standin::dice::seed(plan.seed);
    let fleet = SoakFleet::start(plan.seed, plan.nodes).await?;
    let log = Arc::new(CallerLog::default());
    let late = Arc::new(AtomicU64::new(0));
    let mut watchers = JoinSet::new();
    watchers.spawn(watch_processes(fleet.clone()));
    watchers.spawn(watch_machine(fleet.clone()));
    watchers.spawn(check_often(fleet.clone(), log.clone()));
    watchers.spawn(measure_lag(late.clone()));
    let mut callers = start_callers(&fleet, &log, plan.seed);
    play(&fleet, plan).await;
    fleet.note_fault("end of all faults");
    check_back(&fleet, &log).await;
    log.is_over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    tokio::time::sleep(SETTLE).await;
    watchers.shutdown().await;
    let (routed, spared) = check(fleet.clone(), &log).await;
    note_panics(&fleet);
    let mut outcomes = BTreeMap::new();
    for request in lock(&log.seen).iter() {
        *outcomes.entry(request.outcome()).or_default() += 1;
    }
    Ok(SoakReport {
        plan,
        outcomes,
        routed,
        spared,
        links: fleet.nodes.iter().map(|node| node.links.faults.connections.load(Ordering::Relaxed)).sum(),
        delegated: fleet.count_logged(&[" event=request ", " peers="]),
        relays: fleet.count_logged(&[" event=reader_followed "]),
        faults: fleet.faults.load(Ordering::Relaxed),
        lab_late: Duration::from_micros(late.load(Ordering::Relaxed)),
        violations: fleet.violations(),
        folder: fleet.folder.clone(),
    })
}

fn start_callers(fleet: &Arc<SoakFleet>, log: &Arc<CallerLog>, seed: u64) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for node in 0..fleet.nodes.len() {
        for (number, route) in SoakRoute::ALL.into_iter().chain([SoakRoute::Once]).enumerate() {
            let own = seed.wrapping_mul(1_000) + (node * 10 + number) as u64;
            callers.spawn(run_caller(fleet.clone(), log.clone(), node, route, own));
        }
    }
    callers
}

/// Plays all lanes of faults and waits until everything is as it was.
async fn play(fleet: &Arc<SoakFleet>, plan: SoakPlan) {
    let end = Instant::now() + plan.time;
    let lane = |number: u64| {
        let dice = SmallRng::seed_from_u64(plan.seed.wrapping_mul(100).wrapping_add(number));
        FaultInjector { fleet: fleet.clone(), dice, end }
    };
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..fleet.nodes.len()).partition(|node| node % 2 == 0);
    let mut lanes = JoinSet::new();
    lanes.spawn(lane(1).play_nodes(even));
    lanes.spawn(lane(2).play_nodes(odd));
    lanes.spawn(lane(3).play_signals());
    lanes.spawn(lane(4).play_servers());
    lanes.spawn(lane(5).play_servers());
    lanes.spawn(lane(6).play_servers());
    lanes.spawn(lane(7).play_store());
    lanes.spawn(lane(8).play_changes());
    lanes.spawn(lane(9).play_links());
    lanes.spawn(lane(10).play_links());
    lanes.spawn(lane(11).play_store_ways());
    lanes.spawn(lane(12).play_settings());
    lanes.spawn(lane(13).play_silent_links());
    while lanes.join_next().await.is_some() {}
}

async fn check_often(fleet: Arc<SoakFleet>, log: Arc<CallerLog>) {
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        check(fleet.clone(), &log).await;
    }
}

/// Checks everything seen so far, on a thread of its own: callers and servers go on.
async fn check(fleet: Arc<SoakFleet>, log: &CallerLog) -> (usize, usize) {
    let seen = lock(&log.seen).clone();
    let look = move || {
        let audit = SoakAudit::new(&fleet, &seen);
        audit.check();
        audit.count_ripe()
    };
    let checked = tokio::task::spawn_blocking(look).await;
    checked.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

/// Notes what the nodes' logs tell of tasks that panicked, with the place.
fn note_panics(fleet: &SoakFleet) {
    for node in &fleet.nodes {
        for line in node.logged(&[PANICKED]) {
            fleet.note(ViolationKind::Panicked, &node.name, line);
        }
    }
}

async fn measure_lag(late: Arc<AtomicU64>) {
    loop {
        let begin = Instant::now();
        tokio::time::sleep(LAG_LOOK).await;
        let over = begin.elapsed().saturating_sub(LAG_LOOK).as_micros();
        late.fetch_max(u64::try_from(over).unwrap_or(u64::MAX), Ordering::Relaxed);
    }
}

/// After all faults every route must work again at every node.
async fn check_back(fleet: &Arc<SoakFleet>, log: &Arc<CallerLog>) {
    let mut checks = JoinSet::new();
    for node in 0..fleet.nodes.len() {
        for route in SoakRoute::ALL {
            checks.spawn(check_back_at(fleet.clone(), log.clone(), node, route));
        }
    }
    while checks.join_next().await.is_some() {}
}

async fn check_back_at(fleet: Arc<SoakFleet>, log: Arc<CallerLog>, node: usize, route: SoakRoute) {
    let client = LabClient::default();
    let begin = Instant::now();
    let mut row = 0;
    // Three in a row: one alone may have been lucky.
    while row < 3 {
        let is_success = log.call(&fleet, &client, node, route, BACK_DEADLINE).await;
        row = if is_success { row + 1 } else { 0 };
        if begin.elapsed() > BACK_WITHIN {
            let seen = format!("no three successes in a row on route {} within {BACK_WITHIN:?}", route.name());
            return fleet.note(ViolationKind::NotBack, &fleet.nodes[node].name, seen);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
