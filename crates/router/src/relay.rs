//! News of the store taken from another node of the failure domain, so that one node there
//! follows the store for all of them.

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
use crate::interface::{FeedChange, FeedItem, FeedTopic};
use crate::listing::{KnownDigest, KnownEntries, RelaySnapshot};
use crate::relay_service::known_entries;
use crate::router::Router;

/// Path of a subscription to the news of the store, with the form of the messages.
pub const PATH_RELAY: &str = "/5/relay";
/// How often a reader without news says that it follows the store.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A reader that said nothing for so long is given up: three signs of life are missing. A leaving
/// server must be known within three seconds, so as much is left for asking the store.
const SILENCE: Duration = Duration::from_millis(1_500);
/// How long a reader may take to begin: it may just be starting to follow the store itself.
const BEGIN_WITHIN: Duration = Duration::from_millis(800);
/// How long all readers together may take to begin before the store is followed directly.
const SWITCH_WITHIN: Duration = Duration::from_millis(1_000);
/// How long a reader keeps a node waiting until the next one is asked as well: one that follows the
/// store begins within a few milliseconds.
const NEXT_AFTER: Duration = Duration::from_millis(100);
/// The pause before a node that has just been started asks readers again that were not up yet.
const START_PAUSE: Duration = Duration::from_millis(50);
/// How often a node that waits for a reader which is about to begin looks whether that still says so.
const START_LOOK: Duration = Duration::from_millis(100);
/// Where a node has its news of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// It does not know yet.
    Undecided,
    /// It follows the store.
    Store,
    /// It follows another node.
    Relay,
}

/// Asks for the news of the store.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RelayRequest {
    /// The node that asks.
    pub node: NodeId,
    /// What it has: behind whole listings for many nodes that begin anew at once, calls over a weak link would wait.
    pub known: KnownDigest,
}

/// A message of a reader.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RelayFrame {
    /// All that it knows and the other node does not; the first message, and again where this node begins
    /// anew with its own reader.
    Snapshot(Box<RelaySnapshot>),
    /// All of one topic, read anew.
    Listed(FeedTopic, Vec<FeedItem>),
    /// Changes of a topic.
    Changed(FeedTopic, Vec<FeedChange>),
    /// The evacuated failure domains, whole.
    Evacuations(EvacuationList),
    /// Nothing new; the store is followed.
    Heartbeat,
    /// It is about to follow the store and begins then; before the first message.
    Starting,
}

impl RelayFrame {
    /// What it tells, for counters and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Snapshot(_) => "all",
            Self::Listed(FeedTopic::Routes, _) | Self::Changed(FeedTopic::Routes, _) => "routes",
            Self::Listed(FeedTopic::Servers, _) | Self::Changed(FeedTopic::Servers, _) => "servers",
            Self::Listed(FeedTopic::Nodes, _) | Self::Changed(FeedTopic::Nodes, _) => "nodes",
            Self::Listed(FeedTopic::Crashes, _) | Self::Changed(FeedTopic::Crashes, _) => "crashes",
            Self::Listed(FeedTopic::Evacuations, _) | Self::Changed(FeedTopic::Evacuations, _) => "evacuations",
            Self::Evacuations(_) => "evacuations",
            Self::Heartbeat => "alive",
            Self::Starting => "starting",
        }
    }
}

/// Why a reader is not followed, or not any more.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    /// The connection or the stream failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// It said nothing for too long.
    #[error("the reader is silent")]
    Silent,
    /// It does not follow the store any more, or is about to stop.
    #[error("the reader has ended")]
    Ended,
    /// This node's machine was suspended, so what came before is old.
    #[error("this machine was suspended")]
    Suspended,
    /// It began with something else than all that it knows.
    #[error("the reader began without a listing")]
    NoListing,
}

/// Follows another node of the failure domain wherever one can be followed, until the node
/// ends. Where none can, the store is followed.
pub async fn follow(router: Arc<Router>) {
    let mut lost: Option<NodeId>;
    let mut plan = ProbeSchedule::default();
    let mut reader = await_reader(&router).await;
    loop {
        match reader {
            Some(mut subscription) => {
                let error = subscription.run(&router).await;
                tracing::warn!(event = "reader_lost", reader = %subscription.reader, %error);
                lost = Some(subscription.reader);
                // It may have lost the store.
                router.store_turn.doubt();
                plan = ProbeSchedule::default();
            }
            None => {
                router.set_source(FeedSource::Store);
                lost = None;
                let pause = plan.next_delay(router.store_turn.is_refused());
                tokio::select! {
                    () = tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))) => {}
                    () = router.store_turn.wait_look_wanted() => {}
                }
            }
        }
        reader = find_reader(&router, lost.as_ref(), SWITCH_WITHIN).await;
        if reader.is_none() {
            router.store_turn.note_looked_in_vain();
        }
    }
}

/// The reader of a node that has just been started. Others may have been started with it, so those
/// that are not up yet are asked again, and one that is about to begin is waited for.
async fn await_reader(router: &Router) -> Option<RelaySubscription> {
    let choice = choose_own_readers(router);
    let starting = AtomicBool::new(false);
    let asking = async {
        loop {
            if let Some(subscription) = open_first(router, choice.readers.clone(), Some(&starting)).await {
                return subscription;
            }
            starting.store(false, Ordering::Relaxed);
            tokio::time::sleep(START_PAUSE).await;
        }
    };
    let mut asking = std::pin::pin!(asking);
    let began = router.clock.now();
    let mut patience = choice.patience;
    loop {
        if let Ok(subscription) = tokio::time::timeout(patience, &mut asking).await {
            return Some(subscription);
        }
        let waited = router.clock.now().since(began);
        if !starting.load(Ordering::Relaxed) || waited >= choice.starting_patience {
            tracing::info!(event = "no_reader", waited_ms = waited.as_millis() as u64);
            return None;
        }
        patience = START_LOOK;
    }
}

/// The first of the readers that begins in time; not the one that was just lost.
async fn find_reader(router: &Router, lost: Option<&NodeId>, within: Duration) -> Option<RelaySubscription> {
    let mut readers = choose_own_readers(router).readers;
    readers.retain(|entry| Some(&entry.node) != lost);
    tokio::time::timeout(within, open_first(router, readers, None)).await.unwrap_or_default()
}

/// Asks readers, the preferred first and each next one when those before have refused or keep this
/// node waiting; the first that begins. Where `starting` is given it is set once one says that it is about to begin,
/// and then no further one is asked.
async fn open_first(
    router: &Router,
    candidates: Vec<NodeEntry>,
    starting: Option<&AtomicBool>,
) -> Option<RelaySubscription> {
    let mut candidates = candidates.into_iter().peekable();
    let mut asked = FuturesUnordered::new();
    loop {
        let is_starting = starting.is_some_and(|starting| starting.load(Ordering::Relaxed));
        match candidates.next_if(|_| !is_starting || asked.is_empty()) {
            Some(entry) => asked.push(async move { RelaySubscription::open(router, &entry, starting).await }),
            None if asked.is_empty() => return None,
            None => {}
        }
        let has_more = candidates.peek().is_some();
        tokio::select! {
            Some(opened) = asked.next() => match opened {
                Ok(subscription) => return Some(subscription),
                Err(error) => tracing::debug!(event = "reader_refused", %error),
            },
            () = tokio::time::sleep(NEXT_AFTER), if has_more => {}
        }
    }
}

/// The nodes that this one may follow, and how long it waits for one.
fn choose_own_readers(router: &Router) -> OwnReaders {
    if !router.has(Mechanism::DomainReaders) {
        return OwnReaders::default();
    }
    let place = router.cluster.place();
    let mut neighbours = router.cluster.neighbours();
    // Its entry is not there while it is started again after a planned stop.
    if !router.cluster.has_node(&place.node) {
        neighbours.push(router.own_entry());
    }
    let nodes: Vec<ReaderCandidate> =
        neighbours.iter().map(|entry| ReaderCandidate { name: entry.node.as_str(), power: entry.cpu_share }).collect();
    let choice = choose_readers(place.node.as_str(), place.domain.as_str(), &nodes);
    router.store_turn.set_rank(choice.rank);
    let find = |name: &str| neighbours.iter().find(|entry| entry.node.as_str() == name).cloned();
    OwnReaders {
        readers: choice.readers.into_iter().filter_map(find).collect(),
        patience: choice.startup_wait,
        starting_patience: choice.starting_reader_wait,
    }
}

/// The nodes that this one may follow, the preferred first.
#[derive(Default)]
struct OwnReaders {
    readers: Vec<NodeEntry>,
    /// How long it waits for one when it has just been started.
    patience: Duration,
    /// How long it waits then for one that is about to begin.
    starting_patience: Duration,
}

/// A reader that has begun.
struct RelaySubscription {
    reader: NodeId,
    frames: FrameReader,
    // Dropped, it closes the connection.
    _link: Arc<PeerLink>,
}

impl RelaySubscription {
    async fn open(router: &Router, entry: &NodeEntry, starting: Option<&AtomicBool>) -> Result<Self, RelayError> {
        let link = PeerLink::new(entry.peer_address);
        let known = known_entries(router).digest(router.cluster.version());
        let request = RelayRequest { node: router.settings.node.clone(), known };
        let begin = async {
            let mut frames = link.stream(PATH_RELAY, &request).await?;
            let first = frames.next::<RelayFrame>().await?;
            Ok((frames, first))
        };
        let begun: Result<_, PeerError> =
            tokio::time::timeout(BEGIN_WITHIN, begin).await.map_err(|_| RelayError::Silent)?;
        let (mut frames, mut first) = begun?;
        while let Some(RelayFrame::Starting) = first {
            if let Some(starting) = starting {
                starting.store(true, Ordering::Relaxed);
            }
            let next = tokio::time::timeout(SILENCE, frames.next::<RelayFrame>()).await;
            first = next.map_err(|_| RelayError::Silent)??;
        }
        let Some(RelayFrame::Snapshot(listing)) = first else { return Err(RelayError::NoListing) };
        let news = listing.sections.iter().filter_map(|section| section.servers.as_ref()).map(Vec::len).sum::<usize>();
        take_frame(router, RelayFrame::Snapshot(listing));
        let servers = router.cluster.count_servers();
        tracing::info!(event = "reader_followed", reader = %entry.node, servers, news);
        router.set_source(FeedSource::Relay);
        Ok(Self { reader: entry.node.clone(), frames, _link: link })
    }

    /// Takes news until the reader is lost.
    async fn run(&mut self, router: &Router) -> RelayError {
        tokio::select! {
            error = self.take_news(router) => error,
            () = feed::wait_resumed(router) => RelayError::Suspended,
        }
    }

    async fn take_news(&mut self, router: &Router) -> RelayError {
        loop {
            match tokio::time::timeout(SILENCE, self.frames.next::<RelayFrame>()).await {
                Ok(Ok(Some(frame))) => take_frame(router, frame),
                Ok(Ok(None)) => return RelayError::Ended,
                Ok(Err(error)) => return error.into(),
                Err(_) => return RelayError::Silent,
            }
        }
    }
}

/// Takes all that a reader knows. Evacuations come before the servers that they concern, and servers
/// before routes that may name them.
fn take_listing(router: &Router, listing: RelaySnapshot) {
    if let Some(list) = listing.evacuations {
        take_evacuations(router, list);
    }
    let crashes = listing.crashes.into_iter().map(FeedItem::Crash).collect();
    take_topic(router, FeedTopic::Crashes, crashes);
    let (servers, nodes) = KnownEntries::of(router).merge(listing.sections);
    let servers = servers.into_iter().map(FeedItem::Server).collect();
    take_topic(router, FeedTopic::Servers, servers);
    let nodes = nodes.into_iter().map(FeedItem::Node).collect();
    take_topic(router, FeedTopic::Nodes, nodes);
    let table = listing.table.map(Box::new).map(FeedItem::Routes);
    take_topic(router, FeedTopic::Routes, table.into_iter().collect());
}

fn take_topic(router: &Router, topic: FeedTopic, items: Vec<FeedItem>) {
    router.cluster.replace(router.clock.now(), items, topic, UpdateOrigin::Reader);
    router.set_followed(topic, true);
}

fn take_evacuations(router: &Router, list: EvacuationList) {
    router.cluster.offer_evacuations(router.clock.now(), list, UpdateOrigin::Reader);
    router.set_followed(FeedTopic::Evacuations, true);
}

/// Takes a message of a reader and passes it on to the nodes that follow this one.
fn take_frame(router: &Router, frame: RelayFrame) {
    let is_news = !matches!(frame, RelayFrame::Heartbeat | RelayFrame::Starting);
    let copy = is_news.then(|| frame.clone());
    match frame {
        RelayFrame::Snapshot(listing) => take_listing(router, *listing),
        RelayFrame::Listed(topic, items) => take_topic(router, topic, items),
        RelayFrame::Changed(topic, changes) => {
            router.cluster.apply(router.clock.now(), changes, topic, UpdateOrigin::Reader);
        }
        RelayFrame::Evacuations(list) => take_evacuations(router, list),
        RelayFrame::Heartbeat | RelayFrame::Starting => {}
    }
    if let Some(copy) = copy {
        router.relay_publisher.publish(|| copy);
    }
}
