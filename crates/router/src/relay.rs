//! The client side of the relay of store updates: a node subscribes to another node of its failure domain, its reader,
//! so that only one node there watches the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bincode::{Decode, Encode};
use futures_util::stream::{FuturesUnordered, StreamExt};
use streamfold_link::{FrameReader, PeerError, PeerLink};
use streamfold_model::{NodeEntry, NodeId};
use streamfold_policy::Mechanism;
use streamfold_policy::reader_choice::{ReaderCandidate, choose_readers};
use streamfold_policy::reader_probe::ProbeSchedule;

use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::feed;
use crate::freshness::FeedAges;
use crate::interface::{FeedChange, FeedItem, FeedPosition, FeedTopic};
use crate::listing::{KnownDigest, KnownEntries, RelaySnapshot};
use crate::relay_service::known_entries;
use crate::router::Router;

/// The path of a subscription to store updates; the number is the version of the message format.
pub const PATH_RELAY: &str = "/7/relay";
/// The interval at which a reader sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The time without any message after which a reader is abandoned: three heartbeats are missing. A topic that must be
/// known sooner is read from the store before that.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout of a reader's first message. The reader may be starting to watch the store itself.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time to find a reader that sends a snapshot before the node watches the store directly.
const FIND_READER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a reader may take before the next one is tried as well. A reader that follows the store sends its snapshot
/// within a few milliseconds.
const NEXT_READER_DELAY: Duration = Duration::from_millis(100);
/// The delay before a node that has just started retries readers that were not up yet.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The interval at which a node that waits for a starting reader checks that the reader still reports so.
const STARTING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The source from which a node gets store updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// Not decided yet, just after the start.
    Undecided,
    /// The node watches the store.
    Store,
    /// The node follows another node.
    Relay,
}

/// A request to subscribe to store updates.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RelayRequest {
    /// The subscribing node.
    pub node: NodeId,
    /// The digest of what the node has. If the reader sent full snapshots to many nodes that subscribe at once, calls
    /// over a slow link would have to wait for them.
    pub known: KnownDigest,
}

/// A message of a reader.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RelayFrame {
    /// Everything the reader has and the follower lacks: the first message, and again when the reader lists servers or
    /// nodes in the store or subscribes to another reader.
    Snapshot(Box<RelaySnapshot>),
    /// All entries of one topic after a new listing.
    Listed(FeedTopic, Vec<FeedItem>),
    /// Changes to a topic, up to a position of the store's history.
    Changed(FeedTopic, Vec<FeedChange>, FeedPosition),
    /// The full list of evacuated failure domains.
    Evacuations(EvacuationList),
    /// The reader still follows the store, and how old its knowledge is.
    Heartbeat(FeedAges),
    /// Sent before the snapshot: the reader does not follow the store yet but is about to.
    Starting,
}

impl RelayFrame {
    /// The kind of message, for metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Snapshot(_) => "all",
            Self::Listed(FeedTopic::Routes, _) | Self::Changed(FeedTopic::Routes, ..) => "routes",
            Self::Listed(FeedTopic::Servers, _) | Self::Changed(FeedTopic::Servers, ..) => "servers",
            Self::Listed(FeedTopic::Nodes, _) | Self::Changed(FeedTopic::Nodes, ..) => "nodes",
            Self::Listed(FeedTopic::Crashes, _) | Self::Changed(FeedTopic::Crashes, ..) => "crashes",
            Self::Listed(FeedTopic::Evacuations, _) | Self::Changed(FeedTopic::Evacuations, ..) => "evacuations",
            Self::Evacuations(_) => "evacuations",
            Self::Heartbeat(_) => "alive",
            Self::Starting => "starting",
        }
    }
}

/// Why a reader is not followed or no longer followed.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    /// The connection or the stream failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// No message arrived in time.
    #[error("the reader timed out")]
    Silent,
    /// The reader no longer follows the store or is about to stop.
    #[error("the reader ended the subscription")]
    Ended,
    /// This node's machine was suspended, so the state received before is out of date.
    #[error("this machine was suspended")]
    Suspended,
    /// The first message was not a snapshot.
    #[error("the first message of the reader is not a snapshot")]
    NoSnapshot,
}

/// Follows a reader, another node of the failure domain, whenever one is available, until the node ends. While none is,
/// the node watches the store.
pub async fn follow(router: Arc<Router>) {
    let mut lost: Option<NodeId>;
    let mut schedule = ProbeSchedule::default();
    let mut reader = find_startup_reader(&router).await;
    loop {
        match reader {
            Some(mut subscription) => {
                let error = subscription.run(&router).await;
                tracing::warn!(event = "reader_lost", reader = %subscription.reader, %error);
                lost = Some(subscription.reader);
                // The reader may have lost the store.
                router.store_breaker.require_probe();
                schedule = ProbeSchedule::default();
            }
            None => {
                router.set_source(FeedSource::Store);
                lost = None;
                let delay = schedule.next_delay(router.store_breaker.is_refused());
                tokio::select! {
                    () = tokio::time::sleep(delay.mul_f64(rand::random_range(0.8..1.2))) => {}
                    () = router.store_breaker.wait_probe_request() => {}
                }
            }
        }
        reader = find_reader(&router, lost.as_ref(), FIND_READER_TIMEOUT).await;
        if reader.is_none() {
            router.store_breaker.note_no_reader();
        }
    }
}

/// Finds the reader of a node that has just started. Other nodes may have started at the same time, so readers that are
/// not up yet are retried, and one that reports that it is starting is waited for.
async fn find_startup_reader(router: &Router) -> Option<RelaySubscription> {
    let choice = choose_own_readers(router);
    let starting = AtomicBool::new(false);
    let opening = async {
        loop {
            if let Some(subscription) = open_first(router, choice.readers.clone(), Some(&starting)).await {
                return subscription;
            }
            starting.store(false, Ordering::Relaxed);
            tokio::time::sleep(STARTUP_RETRY_DELAY).await;
        }
    };
    let mut opening = std::pin::pin!(opening);
    let started = router.clock.now();
    let mut timeout = choice.startup_wait;
    loop {
        if let Ok(subscription) = tokio::time::timeout(timeout, &mut opening).await {
            return Some(subscription);
        }
        let waited = router.clock.now().since(started);
        if !starting.load(Ordering::Relaxed) || waited >= choice.starting_reader_wait {
            tracing::info!(event = "no_reader", waited_ms = waited.as_millis() as u64);
            return None;
        }
        timeout = STARTING_CHECK_INTERVAL;
    }
}

/// Returns the first reader that sends a snapshot in time, other than the one that was just lost.
async fn find_reader(router: &Router, lost: Option<&NodeId>, timeout: Duration) -> Option<RelaySubscription> {
    let mut readers = choose_own_readers(router).readers;
    readers.retain(|entry| Some(&entry.node) != lost);
    tokio::time::timeout(timeout, open_first(router, readers, None)).await.unwrap_or_default()
}

/// Subscribes to readers in order of preference, trying the next one when the earlier ones have refused or take too
/// long, and returns the first that sends a snapshot. If `starting` is given, it is set once a reader reports that it
/// is starting, and then no further reader is tried.
async fn open_first(
    router: &Router,
    candidates: Vec<NodeEntry>,
    starting: Option<&AtomicBool>,
) -> Option<RelaySubscription> {
    let mut candidates = candidates.into_iter().peekable();
    let mut pending = FuturesUnordered::new();
    loop {
        let is_starting = starting.is_some_and(|starting| starting.load(Ordering::Relaxed));
        match candidates.next_if(|_| !is_starting || pending.is_empty()) {
            Some(entry) => pending.push(async move { RelaySubscription::open(router, &entry, starting).await }),
            None if pending.is_empty() => return None,
            None => {}
        }
        let has_more = candidates.peek().is_some();
        tokio::select! {
            Some(opened) = pending.next() => match opened {
                Ok(subscription) => return Some(subscription),
                Err(error) => tracing::debug!(event = "reader_refused", %error),
            },
            () = tokio::time::sleep(NEXT_READER_DELAY), if has_more => {}
        }
    }
}

/// Chooses the readers that this node may follow, and how long it waits for one.
fn choose_own_readers(router: &Router) -> ReaderSelection {
    if !router.has(Mechanism::DomainReaders) {
        return ReaderSelection::default();
    }
    let context = router.cluster.context();
    let mut neighbours = router.cluster.neighbours();
    // This node has no entry while it restarts after a planned stop.
    if !router.cluster.has_node(&context.node) {
        neighbours.push(router.own_entry());
    }
    let nodes: Vec<ReaderCandidate> = neighbours
        .iter()
        .map(|entry| ReaderCandidate { name: entry.node.as_str(), cpu_share: entry.cpu_share })
        .collect();
    let choice = choose_readers(context.node.as_str(), context.domain.as_str(), &nodes);
    router.store_breaker.set_rank(choice.rank);
    let find = |name: &str| neighbours.iter().find(|entry| entry.node.as_str() == name).cloned();
    ReaderSelection {
        readers: choice.readers.into_iter().filter_map(find).collect(),
        startup_wait: choice.startup_wait,
        starting_reader_wait: choice.starting_reader_wait,
    }
}

/// The readers that this node may follow, in order of preference.
#[derive(Default)]
struct ReaderSelection {
    readers: Vec<NodeEntry>,
    /// How long the node waits for a reader after its start.
    startup_wait: Duration,
    /// How long it then waits for a reader that reports that it is starting.
    starting_reader_wait: Duration,
}

/// A subscription to a reader that has sent its snapshot.
struct RelaySubscription {
    reader: NodeId,
    frames: FrameReader,
    // The connection closes when this is dropped.
    _link: Arc<PeerLink>,
}

impl RelaySubscription {
    async fn open(router: &Router, entry: &NodeEntry, starting: Option<&AtomicBool>) -> Result<Self, RelayError> {
        let link = PeerLink::new(entry.peer_address);
        let known = known_entries(router).digest(router.cluster.version());
        let request = RelayRequest { node: router.settings.node.clone(), known };
        let opening = async {
            let mut frames = link.stream(PATH_RELAY, &request).await?;
            let first = frames.next::<RelayFrame>().await?;
            Ok((frames, first))
        };
        let opened: Result<_, PeerError> =
            tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, opening).await.map_err(|_| RelayError::Silent)?;
        let (mut frames, mut first) = opened?;
        while let Some(RelayFrame::Starting) = first {
            if let Some(starting) = starting {
                starting.store(true, Ordering::Relaxed);
            }
            let next = tokio::time::timeout(READER_TIMEOUT, frames.next::<RelayFrame>()).await;
            first = next.map_err(|_| RelayError::Silent)??;
        }
        let Some(RelayFrame::Snapshot(snapshot)) = first else { return Err(RelayError::NoSnapshot) };
        let received =
            snapshot.sections.iter().filter_map(|section| section.servers.as_ref()).map(Vec::len).sum::<usize>();
        router.freshness.forget_positions();
        apply_frame(router, RelayFrame::Snapshot(snapshot));
        let servers = router.cluster.count_servers();
        tracing::info!(event = "reader_followed", reader = %entry.node, servers, news = received);
        router.set_source(FeedSource::Relay);
        Ok(Self { reader: entry.node.clone(), frames, _link: link })
    }

    /// Applies updates until the reader is lost.
    async fn run(&mut self, router: &Router) -> RelayError {
        tokio::select! {
            error = self.apply_updates(router) => error,
            () = feed::wait_resumed(router) => RelayError::Suspended,
        }
    }

    async fn apply_updates(&mut self, router: &Router) -> RelayError {
        loop {
            match tokio::time::timeout(READER_TIMEOUT, self.frames.next::<RelayFrame>()).await {
                Ok(Ok(Some(frame))) => apply_frame(router, frame),
                Ok(Ok(None)) => return RelayError::Ended,
                Ok(Err(error)) => return error.into(),
                Err(_) => return RelayError::Silent,
            }
        }
    }
}

/// Applies a reader's snapshot: evacuations before the servers that they concern, and servers before routes that may
/// name their services.
fn apply_snapshot(router: &Router, snapshot: RelaySnapshot) {
    router.freshness.record_reader_failure(&snapshot.ages);
    if let Some(list) = snapshot.evacuations {
        apply_evacuations(router, list);
    }
    let crashes = snapshot.crashes.into_iter().map(FeedItem::Crash).collect();
    apply_topic(router, FeedTopic::Crashes, crashes, FeedPosition::default());
    let (servers, nodes) = KnownEntries::of(router).merge(snapshot.sections);
    let servers = servers.into_iter().map(FeedItem::Server).collect();
    apply_topic(router, FeedTopic::Servers, servers, snapshot.servers_position);
    let nodes = nodes.into_iter().map(FeedItem::Node).collect();
    apply_topic(router, FeedTopic::Nodes, nodes, FeedPosition::default());
    let table = snapshot.table.map(Box::new).map(FeedItem::Routes);
    apply_topic(router, FeedTopic::Routes, table.into_iter().collect(), FeedPosition::default());
    router.freshness.record_reader(&snapshot.ages);
}

fn apply_topic(router: &Router, topic: FeedTopic, items: Vec<FeedItem>, position: FeedPosition) {
    router.cluster.replace(items, &router.update_context(topic, UpdateOrigin::Reader, position));
    router.set_followed(topic, true);
}

fn apply_evacuations(router: &Router, list: EvacuationList) {
    router.cluster.offer_evacuations(router.clock.now(), list, UpdateOrigin::Reader);
    router.set_followed(FeedTopic::Evacuations, true);
}

/// Applies a message of a reader and sends it to the nodes that follow this one.
fn apply_frame(router: &Router, frame: RelayFrame) {
    let is_update = !matches!(frame, RelayFrame::Heartbeat(_) | RelayFrame::Starting);
    let copy = is_update.then(|| frame.clone());
    match frame {
        RelayFrame::Snapshot(snapshot) => apply_snapshot(router, *snapshot),
        RelayFrame::Listed(topic, items) => apply_topic(router, topic, items, FeedPosition::default()),
        RelayFrame::Changed(topic, changes, position) => {
            router.cluster.apply(changes, &router.update_context(topic, UpdateOrigin::Reader, position));
        }
        RelayFrame::Evacuations(list) => apply_evacuations(router, list),
        RelayFrame::Heartbeat(ages) => {
            router.freshness.record_reader_failure(&ages);
            router.freshness.record_reader(&ages);
        }
        RelayFrame::Starting => {}
    }
    if let Some(copy) = copy {
        router.relay_publisher.publish(|| copy);
    }
}
