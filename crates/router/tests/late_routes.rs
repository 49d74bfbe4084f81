//! A node hears from another one that there are newer routes, and reads them from the store itself. It put them in
//! force and told nobody: nodes that follow it kept the old ones, also when its own next reader began anew, since that
//! one leaves out what the node has. Two nodes served a route that was gone six seconds before:
//! `event=routes_behind version=2`, `event=routes_in_force version=5 before=2 source=store` at the one they followed,
//! and no such line at them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{
    CallerLimits, ContentId, CoreShare, CrashEntry, Incarnation, NodeEntry, RouteTable, ServerId, TableVersion,
    TeamName,
};
use streamfold_router::border::{
    CallFormat, CallerHead, ClusterFeed, EntryRevision, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition,
    FeedTopic, HeadError, ListAge, ReplyHead,
};
use streamfold_router::{Router, RouterSettings, router_start};
use streamfold_store::StoreError;

/// Longer than any test takes that passes.
const WAIT_AT_MOST: Duration = Duration::from_secs(15);
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A format for nodes that get no requests.
struct NoFormat;

impl CallFormat for NoFormat {
    fn read_caller(&self, _: &HeaderMap) -> Result<CallerHead, HeadError> {
        Err(HeadError::NoRequest)
    }

    fn write_team(&self, _: &mut HeaderMap, _: Option<&TeamName>) {}

    fn write_call(&self, _: &mut HeaderMap, _: &ServerId, _: Duration) {}

    fn read_reply(&self, _: &HeaderValue, _: StatusCode, _: &HeaderMap) -> ReplyHead {
        unreachable!("nothing is sent to servers")
    }

    fn write_folded(&self, _: &mut HeaderMap, _: &[HeaderValue], _: usize) {}

    fn write_retry(&self, _: &mut HeaderMap, _: Duration) {}

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// A store whose watches hear nothing, as one node sees it.
struct MuteFeed {
    version: Arc<AtomicU64>,
    nodes: Vec<NodeEntry>,
    /// Whether it tells this node anything but the other nodes.
    is_there: bool,
}

fn ready<T: Send + 'static>(result: Result<T, StoreError>) -> FeedFuture<'static, T> {
    Box::pin(std::future::ready(result))
}

impl MuteFeed {
    fn make_list(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => {
                let limits = CallerLimits {
                    header_bytes: 1_024,
                    body_bytes: 1_024,
                    header_timeout: Duration::from_secs(1),
                    idle_timeout: Duration::from_secs(1),
                };
                let version = TableVersion(self.version.load(Ordering::Relaxed));
                let table = RouteTable::build(version, Vec::new(), Vec::new(), limits).expect("a table");
                vec![FeedItem::Routes(Box::new(table))]
            }
            FeedTopic::Nodes => self.nodes.iter().cloned().map(FeedItem::Node).collect(),
            FeedTopic::Servers | FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
        };
        FeedList { items, position: FeedPosition(1) }
    }
}

impl ClusterFeed for MuteFeed {
    fn list(&self, topic: FeedTopic, _: ListAge) -> FeedFuture<'_, FeedList> {
        ready(if self.is_there { Ok(self.make_list(topic)) } else { Err(StoreError::Unreachable) })
    }

    fn list_few(&self, topic: FeedTopic) -> FeedFuture<'_, Option<FeedList>> {
        ready(Ok(Some(self.make_list(topic))))
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }

    fn announce<'a>(&'a self, _: &'a NodeEntry, _: bool) -> FeedFuture<'a, ()> {
        ready(Ok(()))
    }

    fn withdraw<'a>(&'a self, _: &'a NodeEntry) -> FeedFuture<'a, ()> {
        ready(Ok(()))
    }

    fn read_crash(&self, _: ContentId) -> FeedFuture<'_, Option<(CrashEntry, EntryRevision)>> {
        ready(Ok(None))
    }

    fn write_crash<'a>(&'a self, _: &'a CrashEntry, _: Option<EntryRevision>) -> FeedFuture<'a, ()> {
        ready(Ok(()))
    }

    fn remove_crash(&self, _: ContentId) -> FeedFuture<'_, ()> {
        ready(Ok(()))
    }
}

/// Settings of a node on a loopback address of its own, with ports that the system does not give out.
fn write_settings(name: &str, cpu_share: f64) -> RouterSettings {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.8.{fourth}");
    let text = format!(
        "node: {name}\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\n\
         peers: {address}:9203\nmetrics: {address}:9204\nplatform: {address}:9205\ncores: 1\n\
         cpu_share: {cpu_share}\nextra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    );
    serde_saphyr::from_str(&text).expect("settings")
}

fn entry(name: &str, peer_address: SocketAddr, power: Option<CoreShare>) -> NodeEntry {
    let domain = "zone-a".parse().expect("a failure domain");
    NodeEntry { node: name.parse().expect("a name"), incarnation: Incarnation(1), domain, peer_address, power }
}

async fn wait_version(router: &Router, version: u64) {
    let began = Instant::now();
    while router.cluster.version() != TableVersion(version) {
        let node = &router.settings.node;
        assert!(began.elapsed() < WAIT_AT_MOST, "{node} has version {}", router.cluster.version());
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_read_from_the_store_after_a_lag_reach_followers() {
    let (strong, weak) = (write_settings("strong", 1.0), write_settings("weak", 0.2));
    let mut nodes = vec![entry("strong", strong.peers, strong.power()), entry("weak", weak.peers, weak.power())];
    // Among so few that nodes would not follow each other; they are not there.
    let away = SocketAddr::from(([127, 0, 0, 1], 9));
    nodes.extend(["away-0", "away-1"].map(|name| entry(name, away, None)));
    let version = Arc::new(AtomicU64::new(1));
    let feed = |is_there| Arc::new(MuteFeed { version: version.clone(), nodes: nodes.clone(), is_there });
    let reader = router_start::start(strong, Arc::new(NoFormat), feed(true), String::new).await.expect("a node");
    let follower = router_start::start(weak, Arc::new(NoFormat), feed(false), String::new).await.expect("a node");
    wait_version(&reader.router, 1).await;
    wait_version(&follower.router, 1).await;
    version.store(2, Ordering::Relaxed);
    reader.router.note_version(TableVersion(2));
    wait_version(&reader.router, 2).await;
    wait_version(&follower.router, 2).await;
}
