//! What a router in a test has in place of a platform.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{CallerLimits, ContentId, CrashEntry, NodeEntry, RouteTable, ServerId, TableVersion, TeamName};
use streamfold_router::interface::{
    CallFormat, CallerHead, ClusterFeed, EntryRevision, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition,
    FeedTopic, HeadError, ListAge, ReplyHead,
};
use streamfold_router::{Router, RouterSettings};
use streamfold_store::StoreError;

/// Longer than any test takes that passes.
const WAIT_AT_MOST: Duration = Duration::from_secs(15);
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A format for nodes that get no requests.
pub struct NoFormat;

impl CallFormat for NoFormat {
    fn read_caller(&self, _: &HeaderMap) -> Result<CallerHead, HeadError> {
        Err(HeadError::NoRequest)
    }

    fn write_team(&self, _: &mut HeaderMap, _: Option<&TeamName>) {}

    fn write_call(&self, _: &mut HeaderMap, _: &ServerId, _: Duration) {}

    fn read_reply(&self, _: &HeaderValue, _: StatusCode, _: &HeaderMap) -> ReplyHead {
        unreachable!("nothing is sent to servers")
    }

    fn write_gathered(&self, _: &mut HeaderMap, _: &[HeaderValue], _: usize) {}

    fn write_retry(&self, _: &mut HeaderMap, _: Duration) {}

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// What a store tells of its topics.
pub trait FakeTopics: Send + Sync {
    /// Reads all of a topic.
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError>;

    /// Reads all of a topic, stale and in one answer.
    fn list_one_page(&self, topic: FeedTopic) -> FeedList;

    /// Waits for changes.
    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges>;
}

/// A store that takes whatever is written and keeps nothing of it.
pub struct FakeFeed<T>(pub T);

fn ready<T: Send + 'static>(result: Result<T, StoreError>) -> FeedFuture<'static, T> {
    Box::pin(std::future::ready(result))
}

impl<T: FakeTopics> ClusterFeed for FakeFeed<T> {
    fn list(&self, topic: FeedTopic, _: ListAge) -> FeedFuture<'_, FeedList> {
        ready(self.0.list(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedFuture<'_, Option<FeedList>> {
        ready(Ok(Some(self.0.list_one_page(topic))))
    }

    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges> {
        self.0.watch(topic, after, wait)
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

/// An empty table of routes of a version.
pub fn make_table(version: u64) -> FeedItem {
    let limits = CallerLimits {
        header_bytes: 1_024,
        body_bytes: 1_024,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let table = RouteTable::build(TableVersion(version), Vec::new(), Vec::new(), limits).expect("a table");
    FeedItem::Routes(Box::new(table))
}

/// Settings of a node on a loopback address of its own, with ports that the system does not give out.
pub fn make_settings(name: &str, cpu_share: f64) -> RouterSettings {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.8.{fourth}");
    let text = format!(
        "node: {name}\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\n\
         peers: {address}:9203\nmetrics: {address}:9204\nplatform: {address}:9205\ncores: 1\n\
         cpu_share: {cpu_share}\nextra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    );
    serde_saphyr::from_str(&text).expect("settings")
}

/// Waits until a node has a version of the routes.
pub async fn wait_version(router: &Router, version: u64) {
    let began = Instant::now();
    while router.cluster.version() != TableVersion(version) {
        let node = &router.settings.node;
        assert!(began.elapsed() < WAIT_AT_MOST, "{node} has version {}", router.cluster.version());
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
