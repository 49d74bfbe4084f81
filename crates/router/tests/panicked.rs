//! A panic while a request is handled. The task is that of the caller's connection, so without a guard the caller gets
//! no answer (`connection closed before message completed`), although no server was called, and the node logs that the
//! caller has left.
//!
//! The panic that this test follows from: a request over all shards was delegated to the usable nodes, which were
//! determined twice. The links of a node that resumed after a pause were found broken between the two checks, so the
//! second found no node (`panicked at delegate.rs, index out of bounds: the len is 0`). With 0.1 s between the two
//! checks this occurred in 10 of 24 soak runs.
//!
//! Whatever panics, the caller must get an answer that does not claim that the request has not run, since that is
//! unknown.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{ContentId, CrashEntry, EntryRevision, NodeEntry, ServerId, TeamName};
use streamfold_router::interface::{
    CallFormat, CallerHead, ClusterFeed, FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic, HeadError,
    ListAge, ReplyHead,
};
use streamfold_router::{RouterSettings, RunningRouter, router_start};
use streamfold_store::StoreError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for an answer, longer than a passing test takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A call format that panics when it reads a request.
struct PanickingFormat;

impl CallFormat for PanickingFormat {
    fn read_caller(&self, _: &HeaderMap) -> Result<CallerHead, HeadError> {
        panic!("reading a request fails");
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

/// A store that is unreachable.
struct NoFeed;

fn unreachable_store<T: Send + 'static>() -> FeedFuture<'static, T> {
    Box::pin(std::future::ready(Err(StoreError::Unreachable)))
}

impl ClusterFeed for NoFeed {
    fn list(&self, _: FeedTopic, _: ListAge) -> FeedFuture<'_, FeedList> {
        unreachable_store()
    }

    fn list_one_page(&self, _: FeedTopic) -> FeedFuture<'_, Option<FeedList>> {
        unreachable_store()
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        unreachable_store()
    }

    fn announce<'a>(&'a self, _: &'a NodeEntry, _: bool) -> FeedFuture<'a, ()> {
        unreachable_store()
    }

    fn withdraw<'a>(&'a self, _: &'a NodeEntry) -> FeedFuture<'a, ()> {
        unreachable_store()
    }

    fn read_crash(&self, _: ContentId) -> FeedFuture<'_, Option<(CrashEntry, EntryRevision)>> {
        unreachable_store()
    }

    fn write_crash<'a>(&'a self, _: &'a CrashEntry, _: Option<EntryRevision>) -> FeedFuture<'a, ()> {
        unreachable_store()
    }

    fn remove_crash(&self, _: ContentId) -> FeedFuture<'_, ()> {
        unreachable_store()
    }
}

/// Settings of a node on a random loopback address, with ports outside the ephemeral range.
fn write_settings() -> RouterSettings {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.7.{fourth}");
    let text = format!(
        "node: own\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\npeers: {address}:9203\n\
         metrics: {address}:9204\nplatform: {address}:9205\nextra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    );
    serde_saphyr::from_str(&text).expect("settings")
}

/// A request without a body.
const SHORT_REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n";
/// The start of a request whose body continues with [`BODY_REST`].
const LONG_REQUEST: &[u8] = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 8\r\n\r\nhalf";
const BODY_REST: &[u8] = b"rest";

/// Sends a request and reads its answer.
async fn read_answer(caller: &mut TcpStream, request: &[u8]) -> String {
    caller.write_all(request).await.expect("a sent request");
    let mut answer = Vec::new();
    while !answer.ends_with(b"}") {
        let mut chunk = [0; 1024];
        let read = tokio::time::timeout(ANSWER_TIMEOUT, caller.read(&mut chunk)).await.expect("an answer in time");
        let length = read.expect("an answer");
        assert!(length > 0, "the connection was closed after {:?}", String::from_utf8_lossy(&answer));
        answer.extend_from_slice(&chunk[..length]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Starts a node whose call format panics, and connects to its callers' port.
async fn start_panicking() -> (RunningRouter, TcpStream) {
    let settings = write_settings();
    let callers = settings.callers;
    let feed = std::sync::Arc::new(NoFeed);
    let running = router_start::start(settings, std::sync::Arc::new(PanickingFormat), feed, String::new).await;
    let caller = TcpStream::connect(callers).await.expect("a connection");
    (running.expect("a node"), caller)
}

fn assert_lost(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(answer.ends_with("{\"error\":\"lost\"}"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_panic_in_a_request_is_answered_and_the_connection_serves_the_next_request() {
    let (_running, mut caller) = start_panicking().await;
    for _ in 0..2 {
        assert_lost(&read_answer(&mut caller, SHORT_REQUEST).await);
    }
}

/// If the connection were closed while the caller still writes its body, it would be reset and the caller could lose
/// the answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_panic_before_the_body_is_read_leaves_the_connection_open_for_the_rest_of_the_body() {
    let (_running, mut caller) = start_panicking().await;
    assert_lost(&read_answer(&mut caller, LONG_REQUEST).await);
    caller.write_all(BODY_REST).await.expect("a sent body");
    assert_lost(&read_answer(&mut caller, SHORT_REQUEST).await);
}
