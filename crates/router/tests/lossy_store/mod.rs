//! A store that loses the answers to calls, and nodes that read it or follow each other, for tests in paused time.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use streamfold_model::{
    CrashEntry, EntryRevision, FailureDomain, Incarnation, NodeEntry, ServerEntry, ServerRun, ServerStart, TimeSpan,
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

use crate::fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use crate::lossy_store::silent_link::SilentLink;

pub mod silent_link;

/// How long the store takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(30);
/// How long the store says nothing.
pub const SILENCE: Duration = Duration::from_millis(700);
/// The interval of the moments at which a change is made.
const MOMENT_STEP: Duration = Duration::from_millis(1_700);
/// The latest moment of a change: later than any watch ends.
pub const LAST_MOMENT: Duration = Duration::from_secs(34);
/// How long a node may take to start.
pub const START_TIME: Duration = Duration::from_secs(5);

/// The times that a deployment states.
#[derive(Debug, Clone, Copy)]
pub struct StatedBounds {
    routes_ms: u64,
    pub drain_ms: u64,
    contact_ms: u64,
    pub evacuated_ms: Option<u64>,
    keys_ms: Option<u64>,
}

impl StatedBounds {
    const fn new(routes_ms: u64, contact_ms: u64) -> Self {
        Self { routes_ms, drain_ms: routes_ms, contact_ms, evacuated_ms: None, keys_ms: None }
    }

    pub fn settings(self, name: &str, cpu_share: f64) -> RouterSettings {
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
pub const BOUNDS: [StatedBounds; 6] = [
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
pub struct StoreState {
    revision: u64,
    /// The revision of the last change of each topic.
    changed: HashMap<FeedTopic, u64>,
    pub version: u64,
    nodes: Vec<FeedItem>,
    is_evacuated: bool,
    is_draining: bool,
    is_server_gone: bool,
    has_crash: bool,
}

/// A store that all nodes of a test share.
pub struct SharedStore(pub watch::Sender<StoreState>);

impl SharedStore {
    pub fn new() -> Arc<Self> {
        Arc::new(Self(watch::Sender::new(StoreState { revision: 1, version: 1, ..StoreState::default() })))
    }

    pub fn change(&self, topic: FeedTopic) {
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

impl SharedStore {
    /// Removes the entry of the server.
    pub fn remove_server(&self) {
        self.0.send_modify(|state| {
            state.revision += 1;
            state.changed.insert(FeedTopic::Servers, state.revision);
            state.is_server_gone = true;
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

pub fn domain() -> FailureDomain {
    "zone-b".parse().expect("a failure domain")
}

/// The run of a server that leaves.
pub fn server_run() -> ServerRun {
    ServerRun { id: "i-1".parse().expect("a server"), start: ServerStart(1) }
}

fn server(is_draining: bool) -> FeedItem {
    let run = server_run();
    FeedItem::Server(ServerEntry {
        id: run.id,
        start: run.start,
        revision: EntryRevision(1),
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
pub const CONTENT: &str = "00000000000000000000000000000001";

fn crash() -> FeedItem {
    let content = CONTENT.parse().expect("a content");
    FeedItem::Crash(CrashEntry { content, crashed: vec![server_run()], trials: 0 })
}

fn items(state: &StoreState, topic: FeedTopic) -> Vec<FeedItem> {
    match topic {
        FeedTopic::Routes => vec![make_table(state.version)],
        FeedTopic::Nodes => state.nodes.clone(),
        FeedTopic::Evacuations if state.is_evacuated => vec![FeedItem::Evacuation(domain())],
        FeedTopic::Servers if state.is_server_gone => Vec::new(),
        FeedTopic::Servers => vec![server(state.is_draining)],
        FeedTopic::Crashes if state.has_crash => vec![crash()],
        FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
    }
}

/// The name of the entry whose removal a watch reports.
fn removed_name(topic: FeedTopic) -> String {
    if topic == FeedTopic::Servers { server_run().id.to_string() } else { "gone".to_owned() }
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
                    changes.extend(
                        changes.is_empty().then(|| FeedChange::Removed(RemovedEntry::any(removed_name(topic)))),
                    );
                }
                (changes, FeedPosition(state.revision))
            };
            self.answer(topic, started).await;
            Ok(FeedChanges { changes, position })
        })
    }
}

/// A node of a test with its own losses.
pub struct TestNode {
    pub running: RunningRouter,
    lost: Arc<Mutex<Option<LostCalls>>>,
    pub calls: Arc<AtomicU16>,
}

impl TestNode {
    pub async fn start(settings: RouterSettings, store: &Arc<SharedStore>) -> Self {
        let lost = Arc::new(Mutex::new(None));
        let calls = Arc::new(AtomicU16::new(0));
        let topics = LossyTopics { store: store.clone(), lost: lost.clone(), calls: calls.clone() };
        let feed = Arc::new(FakeFeed(topics));
        let running = router_start::start(settings, Arc::new(NoFormat), feed, String::new).await.expect("a node");
        Self { running, lost, calls }
    }

    pub fn router(&self) -> &Router {
        &self.running.router
    }

    /// Loses every call of these topics that has begun or begins within `silence`.
    pub fn lose(&self, topics: &[FeedTopic], silence: Duration) {
        let lost = LostCalls { topics: topics.to_vec(), before: Instant::now() + silence };
        *self.lost.lock().unwrap_or_else(PoisonError::into_inner) = Some(lost);
    }
}

/// How long it takes until a condition holds; `None` if it takes longer than `bound`.
pub async fn time_until(bound: Duration, is_met: impl Fn() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > bound {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Some(started.elapsed())
}

pub fn moments() -> impl Iterator<Item = Duration> {
    (0..).map(|step| MOMENT_STEP * step).take_while(|moment| *moment <= LAST_MOMENT)
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
pub struct FollowedNode {
    pub store: Arc<SharedStore>,
    pub reader: TestNode,
    pub follower: TestNode,
    /// The link between them, for some tests.
    pub link: Option<SilentLink>,
}

impl FollowedNode {
    pub async fn start(bounds: StatedBounds) -> Self {
        Self::start_linked(bounds, false).await
    }

    /// Starts both nodes, with a link between them that can fall silent.
    pub async fn start_with_link(bounds: StatedBounds) -> Self {
        Self::start_linked(bounds, true).await
    }

    async fn start_linked(bounds: StatedBounds, has_link: bool) -> Self {
        let store = SharedStore::new();
        let settings = [bounds.settings("strong", 1.0), bounds.settings("weak", 0.2)];
        let link = if has_link { Some(SilentLink::start(settings[0].peers).await) } else { None };
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
        if let (Some(link), Some(FeedItem::Node(reader))) = (&link, nodes.first_mut()) {
            reader.peer_address = link.address;
        }
        store.0.send_modify(|state| state.nodes = nodes);
        let [strong, weak] = settings;
        let reader = TestNode::start(strong, &store).await;
        wait_version(reader.router(), 1).await;
        let follower = TestNode::start(weak, &store).await;
        wait_version(follower.router(), 1).await;
        let follows = || *follower.router().source.borrow() == FeedSource::Relay;
        time_until(START_TIME, follows).await.expect("a node that follows the other one");
        Self { store, reader, follower, link }
    }
}
