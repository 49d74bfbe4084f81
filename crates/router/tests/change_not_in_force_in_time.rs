//! A confirmed change was not in force in time: the watches of the routes were read by a store that said nothing then,
//! and were never answered. Nothing else told the nodes of the change in the time that the settings state.

mod fakes;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::{
    CrashEntry, FailureDomain, Incarnation, NodeEntry, ServerEntry, ServerRun, ServerStart, TableVersion, TimeSpan,
};
use streamfold_router::interface::{
    FeedChange, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic, RemovedEntry,
};
use streamfold_router::relay::FeedSource;
use streamfold_router::settings::KeySettings;
use streamfold_router::{Router, RouterSettings, RunningRouter, router_start};
use streamfold_store::StoreError;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the store takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(30);
/// How long the store says nothing.
const SILENCE: Duration = Duration::from_millis(700);
/// How long a node may take to apply what it was told.
const APPLY_TIME: Duration = Duration::from_millis(100);
/// The interval of the moments at which a change is made.
const MOMENT_STEP: Duration = Duration::from_millis(1_700);
/// The latest moment of a change: later than any watch ends.
const LAST_MOMENT: Duration = Duration::from_secs(34);
/// How long a node may take to start.
const START_TIME: Duration = Duration::from_secs(5);

/// The times that a deployment states.
#[derive(Debug, Clone, Copy)]
struct StatedBounds {
    routes_ms: u64,
    drain_ms: u64,
    contact_ms: u64,
    evacuated_ms: Option<u64>,
    keys_ms: Option<u64>,
}

impl StatedBounds {
    const fn new(routes_ms: u64, contact_ms: u64) -> Self {
        Self { routes_ms, drain_ms: routes_ms, contact_ms, evacuated_ms: None, keys_ms: None }
    }

    fn settings(self, name: &str, cpu_share: f64) -> RouterSettings {
        let span = |ms| TimeSpan(Duration::from_millis(ms));
        let mut settings = make_settings(name, cpu_share);
        let ip = next_address();
        for address in [&mut settings.callers, &mut settings.ready, &mut settings.peers, &mut settings.metrics] {
            address.set_ip(ip);
        }
        settings.routes_within = span(self.routes_ms);
        settings.drained_within = span(self.drain_ms);
        settings.silence_within = span(self.contact_ms);
        settings.evacuated_within = self.evacuated_ms.map(span);
        settings.keys = self.keys_ms.map(|ms| KeySettings { strict: None, within: span(ms) });
        settings
    }
}

/// Short and long times, with those of the other topics equal, shorter and longer.
const BOUNDS: [StatedBounds; 6] = [
    StatedBounds::new(3_000, 4_000),
    StatedBounds::new(3_000, 5_000),
    StatedBounds { evacuated_ms: Some(5_000), keys_ms: Some(5_000), ..StatedBounds::new(5_000, 6_000) },
    StatedBounds { evacuated_ms: Some(2_000), keys_ms: Some(2_500), ..StatedBounds::new(6_000, 6_000) },
    StatedBounds { evacuated_ms: Some(6_000), ..StatedBounds::new(8_000, 8_000) },
    StatedBounds { drain_ms: 12_000, ..StatedBounds::new(1_000, 20_000) },
];

/// A loopback address that no other node of this test has: with some hundred nodes, random ones meet.
fn next_address() -> IpAddr {
    static NETWORK: OnceLock<(u8, u8)> = OnceLock::new();
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let (second, third) = *NETWORK.get_or_init(|| (rand::random(), rand::random_range(16..=240)));
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    IpAddr::from([127, second, third + high, low])
}

/// Calls that are never answered.
#[derive(Debug, Clone)]
struct LostCalls {
    topics: Vec<FeedTopic>,
    /// Calls that began before this time are lost.
    before: Instant,
}

/// The state of a store. Each change raises its revision.
#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// The revision of the last change of each topic.
    changed: HashMap<FeedTopic, u64>,
    version: u64,
    nodes: Vec<FeedItem>,
    is_evacuated: bool,
    is_draining: bool,
    has_crash: bool,
}

/// A store that all nodes of a test share.
struct SharedStore(watch::Sender<StoreState>);

impl SharedStore {
    fn new() -> Arc<Self> {
        Arc::new(Self(watch::Sender::new(StoreState { revision: 1, version: 1, ..StoreState::default() })))
    }

    fn change(&self, topic: FeedTopic) {
        self.0.send_modify(|state| {
            state.revision += 1;
            state.changed.insert(topic, state.revision);
            match topic {
                FeedTopic::Routes => state.version += 1,
                FeedTopic::Evacuations => state.is_evacuated = true,
                FeedTopic::Servers => state.is_draining = true,
                FeedTopic::Nodes => state.nodes.push(other_node()),
                FeedTopic::Crashes => state.has_crash = true,
            }
        });
    }
}

/// The store as one node sees it.
struct LossyTopics {
    store: Arc<SharedStore>,
    lost: Arc<Mutex<Option<LostCalls>>>,
    /// Number of listings and watches.
    calls: Arc<AtomicU16>,
}

impl LossyTopics {
    /// Waits for ever if a call that began at `started` is lost.
    async fn answer(&self, topic: FeedTopic, started: Instant) {
        tokio::time::sleep(ANSWER_DELAY).await;
        let lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if lost.is_some_and(|lost| lost.topics.contains(&topic) && started < lost.before) {
            std::future::pending::<()>().await;
        }
    }
}

fn domain() -> FailureDomain {
    "zone-b".parse().expect("a failure domain")
}

/// The run of a server that leaves.
fn server_run() -> ServerRun {
    ServerRun { id: "i-1".parse().expect("a server"), start: ServerStart(1) }
}

fn server(is_draining: bool) -> FeedItem {
    let run = server_run();
    FeedItem::Server(ServerEntry {
        id: run.id,
        start: run.start,
        service: "cart".parse().expect("a service"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: domain(),
        slots: 1,
        is_draining,
        warmup: Duration::ZERO,
    })
}

/// A node that registers in the test, in another failure domain.
fn other_node() -> FeedItem {
    FeedItem::Node(NodeEntry {
        node: "other".parse().expect("a name"),
        incarnation: Incarnation(1),
        domain: domain(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 9)),
        cpu_share: None,
    })
}

/// A content that crashed a server.
const CONTENT: &str = "00000000000000000000000000000001";

fn crash() -> FeedItem {
    let content = CONTENT.parse().expect("a content");
    FeedItem::Crash(CrashEntry { content, crashed: vec![server_run()], trials: 0 })
}

fn items(state: &StoreState, topic: FeedTopic) -> Vec<FeedItem> {
    match topic {
        FeedTopic::Routes => vec![make_table(state.version)],
        FeedTopic::Nodes => state.nodes.clone(),
        FeedTopic::Evacuations if state.is_evacuated => vec![FeedItem::Evacuation(domain())],
        FeedTopic::Servers => vec![server(state.is_draining)],
        FeedTopic::Crashes if state.has_crash => vec![crash()],
        FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
    }
}

impl FakeTopics for LossyTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let state = self.store.0.borrow();
        FeedList { items: items(&state, topic), position: FeedPosition(state.revision) }
    }

    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let started = Instant::now();
            let mut states = self.store.0.subscribe();
            let is_changed = |state: &StoreState| state.changed.get(&topic).is_some_and(|at| *at > after.0);
            // An answer without changes is given when the wait is over.
            let changed = tokio::time::timeout(wait, states.wait_for(is_changed)).await.is_ok();
            let (changes, position) = {
                let state = self.store.0.borrow();
                let mut changes: Vec<FeedChange> = Vec::new();
                if changed {
                    changes = items(&state, topic).into_iter().map(FeedChange::Put).collect();
                    changes.extend(changes.is_empty().then(|| FeedChange::Removed(RemovedEntry::any("gone".into()))));
                }
                (changes, FeedPosition(state.revision))
            };
            self.answer(topic, started).await;
            Ok(FeedChanges { changes, position })
        })
    }
}

/// A node of a test with its own losses.
struct TestNode {
    running: RunningRouter,
    lost: Arc<Mutex<Option<LostCalls>>>,
    calls: Arc<AtomicU16>,
}

impl TestNode {
    async fn start(settings: RouterSettings, store: &Arc<SharedStore>) -> Self {
        let lost = Arc::new(Mutex::new(None));
        let calls = Arc::new(AtomicU16::new(0));
        let topics = LossyTopics { store: store.clone(), lost: lost.clone(), calls: calls.clone() };
        let feed = Arc::new(FakeFeed(topics));
        let running = router_start::start(settings, Arc::new(NoFormat), feed, String::new).await.expect("a node");
        Self { running, lost, calls }
    }

    fn router(&self) -> &Router {
        &self.running.router
    }

    /// Loses every call of these topics that has begun or begins within `silence`.
    fn lose(&self, topics: &[FeedTopic], silence: Duration) {
        let lost = LostCalls { topics: topics.to_vec(), before: Instant::now() + silence };
        *self.lost.lock().unwrap_or_else(PoisonError::into_inner) = Some(lost);
    }

    /// Whether the last change of a topic is in force.
    fn is_in_force(&self, topic: FeedTopic, version: TableVersion) -> bool {
        let router = self.router();
        let cluster = &router.cluster;
        match topic {
            FeedTopic::Routes => cluster.version() == version,
            FeedTopic::Evacuations => cluster.evacuations().is_some_and(|list| list.domains.contains(&domain())),
            FeedTopic::Servers => cluster.entries(router.clock.now()).0.iter().any(|server| server.is_draining),
            FeedTopic::Nodes => cluster.has_node(&"other".parse().expect("a name")),
            FeedTopic::Crashes => !cluster.quarantine.crashed(CONTENT.parse().expect("a content")).is_empty(),
        }
    }
}

/// How long it takes until a condition holds; `None` if it takes longer than `bound`.
async fn time_until(bound: Duration, is_met: impl Fn() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > bound {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Some(started.elapsed())
}

fn moments() -> impl Iterator<Item = Duration> {
    (0..).map(|step| MOMENT_STEP * step).take_while(|moment| *moment <= LAST_MOMENT)
}

/// The topics whose calls are lost together.
const LOST_TOPICS: [&[FeedTopic]; 6] = [
    &[FeedTopic::Routes],
    &[FeedTopic::Servers],
    &[FeedTopic::Evacuations],
    &[FeedTopic::Nodes, FeedTopic::Crashes],
    &[FeedTopic::Routes, FeedTopic::Servers],
    &FeedTopic::ALL,
];

/// Loses the calls of some topics just after a change, makes another change at a later moment, and returns whether that
/// one was in force in time.
async fn play(bounds: StatedBounds, lost: &[FeedTopic], changed: FeedTopic, moment: Duration) -> bool {
    let store = SharedStore::new();
    let node = TestNode::start(bounds.settings("own", 1.0), &store).await;
    time_until(START_TIME, || node.router().is_ready()).await.expect("a node that is ready");
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.change(FeedTopic::Routes);
    tokio::time::sleep(Duration::from_millis(18)).await;
    node.lose(lost, SILENCE);
    tokio::time::sleep(SILENCE + moment).await;
    store.change(changed);
    let bound = node.router().settings.known_within(changed);
    let version = TableVersion(store.0.borrow().version);
    time_until(bound - APPLY_TIME, || node.is_in_force(changed, version)).await.is_some()
}

#[tokio::test(start_paused = true)]
async fn a_change_after_lost_watches_is_in_force_in_time() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for lost in LOST_TOPICS {
            for changed in FeedTopic::ALL {
                if changed == FeedTopic::Evacuations && bounds.evacuated_ms.is_none() {
                    continue;
                }
                for moment in moments() {
                    if !play(bounds, lost, changed, moment).await {
                        late.push(format!("{changed} after {moment:?} with {lost:?} lost, {bounds:?}"));
                    }
                }
            }
        }
    }
    assert!(late.is_empty(), "{} changes were not in force in time, the first: {}", late.len(), late[0]);
}

fn entry(settings: &RouterSettings) -> FeedItem {
    FeedItem::Node(NodeEntry {
        node: settings.node.clone(),
        incarnation: Incarnation(1),
        domain: settings.failure_domain.clone(),
        peer_address: settings.peers,
        cpu_share: settings.core_share(),
    })
}

/// A node that reads the store and one that follows it.
struct FollowedNode {
    store: Arc<SharedStore>,
    reader: TestNode,
    follower: TestNode,
}

impl FollowedNode {
    async fn start(bounds: StatedBounds) -> Self {
        let store = SharedStore::new();
        let settings = [bounds.settings("strong", 1.0), bounds.settings("weak", 0.2)];
        let mut nodes: Vec<FeedItem> = settings.iter().map(entry).collect();
        // With fewer nodes no node follows another. These two do not exist.
        let unused = SocketAddr::from(([127, 0, 0, 1], 9));
        nodes.extend(["away-0", "away-1"].map(|name| {
            let mut away = settings[1].clone();
            away.node = name.parse().expect("a name");
            away.peers = unused;
            away.cpu_share = None;
            entry(&away)
        }));
        store.0.send_modify(|state| state.nodes = nodes);
        let [strong, weak] = settings;
        let reader = TestNode::start(strong, &store).await;
        wait_version(reader.router(), 1).await;
        let follower = TestNode::start(weak, &store).await;
        wait_version(follower.router(), 1).await;
        let follows = || *follower.router().source.borrow() == FeedSource::Relay;
        time_until(START_TIME, follows).await.expect("a node that follows the other one");
        Self { store, reader, follower }
    }

    /// Changes the routes and returns whether the follower has them in force in time.
    async fn change_in_time(&self) -> bool {
        self.store.change(FeedTopic::Routes);
        let version = TableVersion(self.store.0.borrow().version);
        let router = self.follower.router();
        let bound = router.settings.known_within(FeedTopic::Routes);
        time_until(bound - APPLY_TIME, || router.cluster.version() == version).await.is_some()
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_after_lost_watches_of_the_reader_is_in_force_at_a_follower_in_time() {
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            let nodes = FollowedNode::start(bounds).await;
            nodes.reader.lose(&FeedTopic::ALL, SILENCE);
            tokio::time::sleep(SILENCE + moment).await;
            assert!(nodes.change_in_time().await, "after {moment:?}, {bounds:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_at_a_follower_in_time_while_its_reader_hears_nothing_of_the_store() {
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            let nodes = FollowedNode::start(bounds).await;
            nodes.reader.lose(&FeedTopic::ALL, LAST_MOMENT * 2);
            tokio::time::sleep(moment).await;
            assert!(nodes.change_in_time().await, "after {moment:?}, {bounds:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_of_a_node_that_hears_the_store_asks_nothing_itself() {
    for bounds in [BOUNDS[0], BOUNDS[2], BOUNDS[4]] {
        let nodes = FollowedNode::start(bounds).await;
        let before = nodes.follower.calls.load(Ordering::Relaxed);
        tokio::time::sleep(LAST_MOMENT).await;
        assert_eq!(nodes.follower.calls.load(Ordering::Relaxed), before, "{bounds:?}");
        assert!(nodes.change_in_time().await, "{bounds:?}");
    }
}
