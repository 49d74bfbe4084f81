//! Fakes of a platform for routers in tests.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{
    CallerLimits, ContentId, CrashEntry, EntryRevision, NodeEntry, RouteTable, ServerId, TableVersion, TeamName,
};
use streamfold_router::interface::{
    CallFormat, CallerHead, ClusterFeed, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic,
    HeadError, ListAge, ReplyHead,
};
use streamfold_router::{Router, RouterSettings};
use streamfold_store::StoreError;

/// The longest wait for a condition; longer than any passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(15);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A call format for nodes that receive no requests.
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

/// The topics of a fake store.
pub trait FakeTopics: Send + Sync {
    /// Lists all entries of a topic.
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError>;

    /// Lists all entries of a topic, possibly stale, in one answer.
    fn list_one_page(&self, topic: FeedTopic) -> FeedList;

    /// Waits up to `wait` for changes after a position.
    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges>;

    /// Removes the entry of a content from quarantine.
    fn remove_crash(&self) -> FeedFuture<'_, ()> {
        ready(Ok(()))
    }
}

/// A store that accepts every write and discards it.
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
        self.0.remove_crash()
    }
}

/// Creates an empty route table of a version.
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

/// Creates the settings of a node on a loopback address of its own, with ports outside the ephemeral range.
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

/// Waits until a version of the routes is active at a node.
pub async fn wait_version(router: &Router, version: u64) {
    let started = Instant::now();
    while router.cluster.version() != TableVersion(version) {
        let node = &router.settings.node;
        assert!(started.elapsed() < MAX_WAIT, "{node} has version {}", router.cluster.version());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
