//! A node hears from another one that there are newer routes, and reads them from the store itself. It put them in
//! force and told nobody: nodes that follow it kept the old ones, also when its own next reader began anew, since that
//! one leaves out what the node has. Two nodes served a route that was gone six seconds before:
//! `event=routes_behind version=2`, `event=routes_in_force version=5 before=2 source=store` at the one they followed,
//! and no such line at them.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeNews, NoFormat, wait_version, write_settings, write_table};
use streamfold_model::{CoreShare, Incarnation, NodeEntry, TableVersion};
use streamfold_router::border::{FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// A store whose watches hear nothing, as one node sees it.
struct MuteNews {
    version: Arc<AtomicU64>,
    nodes: Vec<NodeEntry>,
    /// Whether it tells this node anything but the other nodes.
    is_there: bool,
}

impl FakeNews for MuteNews {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        if self.is_there { Ok(self.list_few(topic)) } else { Err(StoreError::Unreachable) }
    }

    fn list_few(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => vec![write_table(self.version.load(Ordering::Relaxed))],
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
    let (strong, weak) = (write_settings("strong", 1.0), write_settings("weak", 0.2));
    let mut nodes = vec![entry("strong", strong.peers, strong.power()), entry("weak", weak.peers, weak.power())];
    // Among so few that nodes would not follow each other; they are not there.
    let away = SocketAddr::from(([127, 0, 0, 1], 9));
    nodes.extend(["away-0", "away-1"].map(|name| entry(name, away, None)));
    let version = Arc::new(AtomicU64::new(1));
    let feed = |is_there| Arc::new(FakeFeed(MuteNews { version: version.clone(), nodes: nodes.clone(), is_there }));
    let reader = router_start::start(strong, Arc::new(NoFormat), feed(true), String::new).await.expect("a node");
    let follower = router_start::start(weak, Arc::new(NoFormat), feed(false), String::new).await.expect("a node");
    wait_version(&reader.router, 1).await;
    wait_version(&follower.router, 1).await;
    version.store(2, Ordering::Relaxed);
    reader.router.note_version(TableVersion(2));
    wait_version(&reader.router, 2).await;
    wait_version(&follower.router, 2).await;
}
