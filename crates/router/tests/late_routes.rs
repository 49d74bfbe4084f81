//! A node that learns from another one of newer routes reads them from the store and must send them to its followers.
//! If it does not, the followers keep the old routes, even after the node gets a new reader, since a reader omits what
//! the node already has. In the failure that this test reproduces, two followers served a route six seconds after its
//! removal: the node they followed logged `event=routes_behind version=2` and
//! `event=routes_in_force version=5 before=2 source=store`, and the followers logged neither.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::{CoreShare, Incarnation, NodeEntry, TableVersion, TimeSpan};
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// A store as one node sees it, whose watches never return.
struct StalledTopics {
    version: Arc<AtomicU64>,
    nodes: Vec<NodeEntry>,
    /// Whether this node can list topics; otherwise it only gets the listing of the nodes in one answer.
    is_available: bool,
}

impl FakeTopics for StalledTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        if self.is_available { Ok(self.list_one_page(topic)) } else { Err(StoreError::Unreachable) }
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => vec![make_table(self.version.load(Ordering::Relaxed))],
            FeedTopic::Nodes => self.nodes.iter().cloned().map(FeedItem::Node).collect(),
            FeedTopic::Servers | FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
        };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

fn entry(name: &str, peer_address: SocketAddr, cpu_share: Option<CoreShare>) -> NodeEntry {
    let domain = "zone-a".parse().expect("a failure domain");
    NodeEntry { node: name.parse().expect("a name"), incarnation: Incarnation(1), domain, peer_address, cpu_share }
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_read_from_the_store_after_a_lag_reach_followers() {
    let (mut strong, mut weak) = (make_settings("strong", 1.0), make_settings("weak", 0.2));
    // The routes arrive by the read that the lag causes, and not by one that is due because nothing confirmed them.
    for settings in [&mut strong, &mut weak] {
        settings.routes_within = TimeSpan(Duration::from_secs(600));
    }
    let mut nodes =
        vec![entry("strong", strong.peers, strong.core_share()), entry("weak", weak.peers, weak.core_share())];
    // With fewer nodes no node follows another. These two do not exist.
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    nodes.extend(["away-0", "away-1"].map(|name| entry(name, unused, None)));
    let version = Arc::new(AtomicU64::new(1));
    let feed = |is_available| {
        Arc::new(FakeFeed(StalledTopics { version: version.clone(), nodes: nodes.clone(), is_available }))
    };
    let reader = router_start::start(strong, Arc::new(NoFormat), feed(true), String::new).await.expect("a node");
    let follower = router_start::start(weak, Arc::new(NoFormat), feed(false), String::new).await.expect("a node");
    wait_version(&reader.router, 1).await;
    wait_version(&follower.router, 1).await;
    version.store(2, Ordering::Relaxed);
    reader.router.note_version(TableVersion(2));
    wait_version(&reader.router, 2).await;
    wait_version(&follower.router, 2).await;
}
