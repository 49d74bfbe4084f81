//! Service after all nodes were killed at once and have returned, with real processes: a deployment of 50 shards with two
//! servers each, lists of several pages, requests all the while, and a store that fails around the return.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use streamfold_lab::client::LabClient;
use streamfold_lab::route_checks::{header, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_within;
use streamfold_standin::documents::{CONFIG, SERVERS};
use streamfold_standin::names;
use streamfold_standin::server::RouteServer;
use streamfold_standin::store::PlatformState;
use tokio::task::JoinSet;

/// Nodes of each failure domain: those of the first share a reader, those of the second follow the store by themselves.
const NODES: [usize; 2] = [4, 2];
/// Number of shards, each with a server in each failure domain.
const SHARDS: usize = 50;
/// Entries of a page of a listing.
const PAGE_LEN: usize = 20;
/// How long service may take to come back.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long the store fails after the return of the nodes.
const FAULT_TIME: Duration = Duration::from_secs(2);
/// How long a caller waits.
const DEADLINE: Duration = Duration::from_secs(2);
/// Pause between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
/// Callers of each node.
const CALLERS: usize = 2;

fn shard(number: usize) -> String {
    format!("s-{number}")
}

async fn start() -> RouteFleet {
    let mut servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    for number in 0..SHARDS {
        let service = shard(number);
        servers.push(local_server(&format!("{service}-n"), &service));
        servers.push(remote_server(&format!("{service}-f"), &service));
    }
    let shards: Vec<String> = (0..SHARDS).map(shard).collect();
    let all = json!({ "gather": shards, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2 });
    let routes = vec![write_route("any", "/any/", &service_target("cart")), write_route("all", "/all/", &all)];
    let plan = RouteFleetPlan { nodes: NODES, servers, routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.platform.state.page_len.store(PAGE_LEN, Ordering::Relaxed);
    fleet
}

/// Sends a request; returns whether it was answered by all shards of its route.
async fn is_served(client: &LabClient, node: SocketAddr, path: &str) -> bool {
    let id = format!("{:016x}", rand::random::<u64>());
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [("host", HOST), (names::REQUEST_ID, id.as_str()), (names::DEADLINE_MS, deadline.as_str())];
    let answer = client.call(Method::GET, node, path, &headers, Bytes::new(), DEADLINE).await;
    answer.is_ok_and(|answer| answer.status == 200 && header(&answer, "x-missing-parts").unwrap_or("0") == "0")
}

/// Callers that send requests to all nodes until they are dropped.
fn start_callers(fleet: &RouteFleet) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for node in fleet.nodes.iter().map(|node| node.addresses.callers) {
        for _ in 0..CALLERS {
            let client = fleet.client.clone();
            callers.spawn(async move {
                loop {
                    is_served(&client, node, &format!("/all/{}", rand::random::<u16>())).await;
                    tokio::time::sleep(CALLER_PAUSE).await;
                }
            });
        }
    }
    callers
}

/// Waits until every node answers whole requests on both routes.
async fn check_recovery(fleet: &RouteFleet, what: &str) {
    let since = Instant::now();
    for node in &fleet.nodes {
        let address = node.addresses.callers;
        wait_within(RECOVERY_TIMEOUT, &format!("{what}: whole answers of {}", node.name), async || {
            is_served(&fleet.client, address, "/all/check").await
                && is_served(&fleet.client, address, "/any/check").await
        })
        .await;
    }
    println!("{what}: service is back after {:?}", since.elapsed());
}

/// A fault of the store around the return of all nodes.
#[derive(Debug, Clone, Copy)]
enum StoreFault {
    None,
    Refuses,
    Breaks,
    /// No call is answered.
    Silent,
    /// Milliseconds added to each answer.
    Slow(u64),
    /// Reads in a second.
    Limited(u64),
    /// Reads of a thousand that are not answered.
    LosesReads(u64),
    /// Writes are done and not answered.
    LosesWrites,
    Forgets,
    /// Watches deliver no changes.
    Mute,
}

impl StoreFault {
    fn draw(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..10) {
            0 => Self::None,
            1 => Self::Refuses,
            2 => Self::Breaks,
            3 => Self::Silent,
            4 => Self::Slow(rng.random_range(50..2_500)),
            5 => Self::Limited(rng.random_range(3..60)),
            6 => Self::LosesReads(rng.random_range(50..500)),
            7 => Self::LosesWrites,
            8 => Self::Forgets,
            _ => Self::Mute,
        }
    }

    fn set(self, state: &PlatformState, is_on: bool) {
        let faults = &state.faults;
        let number = |value: u64| if is_on { value } else { 0 };
        match self {
            Self::None => {}
            Self::Refuses => faults.outage.store(is_on, Ordering::Relaxed),
            Self::Breaks => faults.broken.store(is_on, Ordering::Relaxed),
            Self::Silent => faults.silent.store(is_on, Ordering::Relaxed),
            Self::Slow(delay) => faults.slow_ms.store(number(delay), Ordering::Relaxed),
            Self::Limited(limit) => faults.reads_per_s.store(number(limit), Ordering::Relaxed),
            Self::LosesReads(lost) => faults.lost_reads.store(number(lost), Ordering::Relaxed),
            Self::LosesWrites => faults.lost_answers.store(number(1_000), Ordering::Relaxed),
            Self::Forgets => state.forget_history(),
            Self::Mute => faults.mute_watches.store(is_on, Ordering::Relaxed),
        }
    }
}

/// Plays a fault of the store that begins before all nodes are killed and ends some time after they have returned.
async fn play(what: &str, begin: impl FnOnce(&PlatformState), end: impl FnOnce(&PlatformState)) {
    let mut fleet = start().await;
    check_recovery(&fleet, "before").await;
    let callers = start_callers(&fleet);
    begin(&fleet.platform.state);
    fleet.kill_all().await.expect("a kill");
    fleet.start_all_again().await.expect("a start");
    tokio::time::sleep(FAULT_TIME).await;
    end(&fleet.platform.state);
    check_recovery(&fleet, what).await;
    drop(callers);
}

/// The entry of a node that is gone, whose address accepts connections and answers nothing.
fn silent_node(listener: &std::net::TcpListener, domain: &str) -> Value {
    let address = listener.local_addr().expect("an address").to_string();
    json!({ "incarnation": 1, "failure_domain": domain, "peer_address": address, "power": 4000 })
}

fn put_gone_nodes(state: &PlatformState, count: usize, entry: &Value) {
    (0..count).for_each(|number| state.put_object("streamfold-nodes", &format!("gone-{number}"), entry.clone()));
}

#[tokio::test(flavor = "multi_thread")]
async fn service_returns_after_the_store_refused_broke_or_left_unanswered_all_calls() {
    for fault in [StoreFault::Refuses, StoreFault::Breaks, StoreFault::Silent, StoreFault::Slow(2_500)] {
        play(&format!("{fault:?}"), |state| fault.set(state, true), |state| fault.set(state, false)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_returns_while_the_store_limits_forgets_or_is_slow() {
    for fault in [StoreFault::Limited(10), StoreFault::Slow(500), StoreFault::Mute, StoreFault::LosesWrites] {
        play(&format!("{fault:?} throughout"), |state| fault.set(state, true), |_| {}).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_returns_beside_entries_of_nodes_that_are_gone() {
    let silent = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    for (count, domain) in [(60, "zone-a"), (1_000, "zone-b")] {
        let entry = silent_node(&silent, domain);
        play(&format!("{count} gone nodes"), |state| put_gone_nodes(state, count, &entry), |_| {}).await;
    }
}

/// The entry need not end a page: the answer that contains it could not be read at all.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_was_served_after_a_restart_beside_an_entry_that_is_not_json() {
    let mut failed = Vec::new();
    for (kind, raw) in [(SERVERS, "NaN"), (SERVERS, "\"a\nb\""), (SERVERS, "{\u{0}"), (CONFIG, "NaN")] {
        let mut fleet = start().await;
        fleet.platform.state.page_len.store(500, Ordering::Relaxed);
        fleet.platform.state.put_raw(kind, "other", raw.as_bytes());
        check_recovery(&fleet, "beside it").await;
        fleet.kill_all().await.expect("a kill");
        fleet.start_all_again().await.expect("a start");
        if let Err(error) = fleet.wait_ready(StatusCode::OK).await {
            failed.push(format!("{raw:?} in {kind}: {error}"));
        } else {
            check_recovery(&fleet, raw).await;
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// The id of the content of a request, from the line of the node that served it.
async fn find_content(fleet: &RouteFleet, path: &str) -> String {
    is_served(&fleet.client, fleet.nodes[0].addresses.callers, path).await;
    let mut content = None;
    wait_within(RECOVERY_TIMEOUT, "the line of a request", async || {
        let lines = fleet.nodes[0].logged(&["event=request "]);
        content = lines.last().and_then(|line| line.split("content=").nth(1)?.split(' ').next().map(str::to_owned));
        content.is_some()
    })
    .await;
    content.expect("a content")
}

/// A claim that was made counted as a trial although its node did not hear so and made none: the next one came 30 s
/// later, and 300 s after another lost answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_to_the_claim_of_a_trial_kept_a_harmless_content_in_quarantine() {
    let fleet = start().await;
    check_recovery(&fleet, "before").await;
    let state = &fleet.platform.state;
    let content = find_content(&fleet, "/all/check").await;
    StoreFault::LosesWrites.set(state, true);
    let crashed = ["s-0-n@1", "s-1-n@1", "s-2-n@1"];
    state.put_object("streamfold-crashes", &content, json!({ "crashed": crashed, "trials": 0 }));
    wait_within(RECOVERY_TIMEOUT, "a claim without an answer", async || {
        is_served(&fleet.client, fleet.nodes[0].addresses.callers, "/all/check").await;
        !fleet.nodes[0].logged(&["event=content_not_tried"]).is_empty()
    })
    .await;
    StoreFault::LosesWrites.set(state, false);
    check_recovery(&fleet, "after a lost answer to a claim").await;
}

/// The faults of one play, drawn from its seed.
#[derive(Debug)]
struct ReturnPlan {
    page_len: usize,
    /// Faults of the store: when each begins, and for how long it lasts.
    faults: Vec<(StoreFault, Duration, Duration)>,
    /// When the nodes are killed, and for how long they are away.
    killed_after: Duration,
    away: Duration,
    /// How long after their return they are killed once more.
    killed_again: Option<Duration>,
    /// Whether the servers' entries lapse until the store is well again.
    has_lapses: bool,
    /// Whether servers reset new connections until the store is well again.
    has_resets: bool,
    /// The share of servers that crash with the nodes.
    crashes: f64,
    gone_nodes: usize,
}

fn draw_time(rng: &mut SmallRng, millis: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}

impl ReturnPlan {
    fn draw(rng: &mut SmallRng) -> Self {
        let faults = (0..rng.random_range(1..4))
            .map(|_| (StoreFault::draw(rng), draw_time(rng, 0..4_000), draw_time(rng, 100..6_000)))
            .collect();
        Self {
            page_len: rng.random_range(3..60),
            faults,
            killed_after: draw_time(rng, 0..4_000),
            away: draw_time(rng, 0..1_500),
            killed_again: rng.random_bool(0.4).then(|| draw_time(rng, 0..2_000)),
            has_lapses: rng.random_bool(0.3),
            has_resets: rng.random_bool(0.2),
            crashes: if rng.random_bool(0.3) { rng.random_range(0.05..1.0) } else { 0.0 },
            gone_nodes: if rng.random_bool(0.3) { rng.random_range(1..300) } else { 0 },
        }
    }
}

/// Begins a fault some time from now, and ends it later.
async fn apply_fault(state: Arc<PlatformState>, fault: StoreFault, after: Duration, time: Duration) {
    tokio::time::sleep(after).await;
    fault.set(&state, true);
    if matches!(fault, StoreFault::Silent) {
        state.silence_watches();
    }
    tokio::time::sleep(time).await;
    fault.set(&state, false);
}

fn set_resets(fleet: &RouteFleet, is_on: bool) {
    fleet.servers.iter().for_each(|server| server.state.switches.reset_new.store(is_on, Ordering::Relaxed));
}

fn crash_servers(fleet: &RouteFleet, rng: &mut SmallRng, share: f64) {
    for server in &fleet.servers {
        if rng.random_bool(share) {
            server.state.switches.down_ms.store(rng.random_range(100..2_500), Ordering::Relaxed);
            server.state.switches.keeps_id.store(rng.random_bool(0.5), Ordering::Relaxed);
            server.state.crash();
        }
    }
}

/// Kills all nodes and lets them return under the faults of a seed, and waits until the faults are over.
async fn play_return(fleet: &mut RouteFleet, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let plan = ReturnPlan::draw(&mut rng);
    println!("seed {seed}: {plan:?}");
    let state = fleet.platform.state.clone();
    state.page_len.store(plan.page_len, Ordering::Relaxed);
    let mut faults = JoinSet::new();
    for (fault, after, time) in plan.faults {
        faults.spawn(apply_fault(state.clone(), fault, after, time));
    }
    tokio::time::sleep(plan.killed_after).await;
    let silent = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    put_gone_nodes(&state, plan.gone_nodes, &silent_node(&silent, "zone-a"));
    set_resets(fleet, plan.has_resets);
    crash_servers(fleet, &mut rng, plan.crashes);
    if plan.has_lapses {
        fleet.servers.iter().for_each(|server| state.remove_object(SERVERS, &server.state.id()));
    }
    fleet.kill_all().await.expect("a kill");
    tokio::time::sleep(plan.away).await;
    fleet.start_all_again().await.expect("a start");
    if let Some(pause) = plan.killed_again {
        tokio::time::sleep(pause).await;
        fleet.kill_all().await.expect("a kill");
        fleet.start_all_again().await.expect("a start");
    }
    while faults.join_next().await.is_some() {}
    if plan.has_lapses {
        let put = |server: &RouteServer| state.put_object(SERVERS, &server.state.id(), server.entry("ready"));
        fleet.servers.iter().for_each(put);
    }
    set_resets(fleet, false);
}

/// More seeds by hand: `STREAMFOLD_RECOVER_SEEDS=10-60`.
#[tokio::test(flavor = "multi_thread")]
async fn service_returns_under_overlapping_faults() {
    let seeds = std::env::var("STREAMFOLD_RECOVER_SEEDS").unwrap_or_else(|_| "1-3".to_owned());
    let (first, last) = seeds.split_once('-').expect("a range");
    for seed in first.parse::<u64>().expect("a seed")..=last.parse().expect("a seed") {
        let mut fleet = start().await;
        check_recovery(&fleet, "before").await;
        let callers = start_callers(&fleet);
        play_return(&mut fleet, seed).await;
        check_recovery(&fleet, &format!("seed {seed}")).await;
        drop(callers);
    }
}
