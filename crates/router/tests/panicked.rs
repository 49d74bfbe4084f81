//! A task of a node panics. What happened: a request over all shards was handed out by the nodes that could be used,
//! and these were asked for twice. A node that had been paused went on, its links were found broken between the two
//! looks, and the second found nobody: `panicked at delegate.rs, index out of bounds: the len is 0`. The task
//! was the caller's connection's, so the caller got no answer at all (`connection closed before message completed`), no
//! server was called, and the node's line said that the caller had left. Played with 0.1 s between the two looks this
//! came in 10 of 24 soaks, twice for a request sent during the same pause of the same node.
//!
//! So whatever panics, the caller is answered, and truthfully: nobody knows whether the request has run.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{ContentId, CrashEntry, NodeEntry, ServerId, TeamName};
use streamfold_router::interface::{
    CallFormat, CallerHead, ClusterFeed, EntryRevision, FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic,
    HeadError, ListAge, ReplyHead,
};
use streamfold_router::{RouterSettings, router_start};
use streamfold_store::StoreError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than any test takes that passes.
const WAIT_AT_MOST: Duration = Duration::from_secs(30);

/// A format that panics over each request.
struct FaultyFormat;

impl CallFormat for FaultyFormat {
    fn read_caller(&self, _: &HeaderMap) -> Result<CallerHead, HeadError> {
        panic!("a fault of the format");
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

/// A store that is away.
struct NoFeed;

fn away<T: Send + 'static>() -> FeedFuture<'static, T> {
    Box::pin(std::future::ready(Err(StoreError::Unreachable)))
}

impl ClusterFeed for NoFeed {
    fn list(&self, _: FeedTopic, _: ListAge) -> FeedFuture<'_, FeedList> {
        away()
    }

    fn list_one_page(&self, _: FeedTopic) -> FeedFuture<'_, Option<FeedList>> {
        away()
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        away()
    }

    fn announce<'a>(&'a self, _: &'a NodeEntry, _: bool) -> FeedFuture<'a, ()> {
        away()
    }

    fn withdraw<'a>(&'a self, _: &'a NodeEntry) -> FeedFuture<'a, ()> {
        away()
    }

    fn read_crash(&self, _: ContentId) -> FeedFuture<'_, Option<(CrashEntry, EntryRevision)>> {
        away()
    }

    fn write_crash<'a>(&'a self, _: &'a CrashEntry, _: Option<EntryRevision>) -> FeedFuture<'a, ()> {
        away()
    }

    fn remove_crash(&self, _: ContentId) -> FeedFuture<'_, ()> {
        away()
    }
}

/// Settings of a node on a loopback address of its own, with ports that the system does not give out.
fn write_settings() -> RouterSettings {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.7.{fourth}");
    let text = format!(
        "node: own\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\npeers: {address}:9203\n\
         metrics: {address}:9204\nplatform: {address}:9205\nextra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    );
    serde_saphyr::from_str(&text).expect("settings")
}

async fn read_answer(caller: &mut TcpStream) -> String {
    caller.write_all(b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n").await.expect("a sent request");
    let mut answer = Vec::new();
    while !answer.ends_with(b"}") {
        let mut chunk = [0; 1024];
        let read = tokio::time::timeout(WAIT_AT_MOST, caller.read(&mut chunk)).await.expect("an answer in time");
        let length = read.expect("an answer");
        assert!(length > 0, "the connection was closed after {:?}", String::from_utf8_lossy(&answer));
        answer.extend_from_slice(&chunk[..length]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_handling_panics_is_answered_and_so_is_the_next_on_its_connection() {
    let settings = write_settings();
    let callers = settings.callers;
    let feed = std::sync::Arc::new(NoFeed);
    let running = router_start::start(settings, std::sync::Arc::new(FaultyFormat), feed, String::new).await;
    let running = running.expect("a node");
    let mut caller = TcpStream::connect(callers).await.expect("a connection");
    for _ in 0..2 {
        let answer = read_answer(&mut caller).await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(answer.ends_with("{\"error\":\"lost\"}"), "{answer}");
    }
    drop(running);
}
