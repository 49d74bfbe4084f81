//! A request that has arrived at a node when the node starts to close its connections. Its caller sent it on a kept
//! connection that was open, so it is answered. A node that had no processor for a moment finds the request and the
//! start of the phase at the same time.

mod fakes;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{ServerId, TeamName};
use streamfold_router::interface::{
    CallFormat, CallerHead, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic, HeadError, ReplyHead,
};
use streamfold_router::router::RouterPhase;
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// Timeout for an answer, longer than a passing test takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of connections on which a request has arrived when the phase starts.
const CONNECTIONS: usize = 32;
/// The header of a request that holds the node's only thread until the test releases it.
const HOLD: &str = "x-hold";

/// A call format that refuses every request and holds the thread for those with [`HOLD`].
struct HoldingFormat {
    entered: Sender<()>,
    released: Mutex<Receiver<()>>,
}

impl CallFormat for HoldingFormat {
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadError> {
        if headers.contains_key(HOLD) {
            self.entered.send(()).expect("a running test");
            // After the test has dropped the sender, no request is held any more.
            let _ = self.released.lock().expect("a lock").recv();
        }
        NoFormat.read_caller(headers)
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

/// A store with one version of the routes and nothing else.
struct RoutesOnly;

impl FakeTopics for RoutesOnly {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_patient_table()] } else { Vec::new() };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// Routes under which a kept connection lasts longer than the test.
fn make_patient_table() -> FeedItem {
    let FeedItem::Routes(mut table) = make_table(1) else { unreachable!("a table") };
    table.limits.idle_timeout = ANSWER_TIMEOUT;
    FeedItem::Routes(table)
}

fn send(caller: &mut TcpStream, header: &str) {
    let request = format!("GET /x HTTP/1.1\r\nHost: h\r\n{header}: 1\r\n\r\n");
    caller.write_all(request.as_bytes()).expect("a sent request");
}

/// Reads one answer. It is empty or incomplete if the connection ended before.
fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut chunk = [0; 1024];
    while !answer.ends_with(b"}") {
        match caller.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(length) => answer.extend_from_slice(&chunk[..length]),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Opens a connection and uses it once, so that it is kept.
fn open_kept(callers: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(callers).expect("a connection");
    caller.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a timeout");
    send(&mut caller, "x-first");
    assert!(read_answer(&mut caller).starts_with("HTTP/1.1 400 "), "the first request is answered");
    caller
}

// The node has one thread, and the test runs on another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn a_request_that_arrived_before_the_node_closes_connections_is_answered() {
    let (entered, is_entered) = channel();
    let (release, released) = channel();
    let format = Arc::new(HoldingFormat { entered, released: Mutex::new(released) });
    let settings = make_settings("own", 1.0);
    let callers = settings.callers;
    let feed = Arc::new(FakeFeed(RoutesOnly));
    let running = router_start::start(settings, format, feed, String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    let mut holder = open_kept(callers);
    let mut waiting: Vec<TcpStream> = (0..CONNECTIONS).map(|_| open_kept(callers)).collect();
    // All requests arrive while the thread is held, so the node finds them at the same time.
    send(&mut holder, HOLD);
    is_entered.recv_timeout(ANSWER_TIMEOUT).expect("a held thread");
    waiting.iter_mut().for_each(|caller| send(caller, HOLD));
    release.send(()).expect("a held thread");
    // The first of them is being handled, the others are about to be read.
    is_entered.recv_timeout(ANSWER_TIMEOUT).expect("a held thread");
    running.router.phase.send_replace(RouterPhase::Closing);
    drop(release);
    let answers: Vec<String> = waiting.iter_mut().map(read_answer).collect();
    let answered = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 400 ")).count();
    assert_eq!(answered, CONNECTIONS, "{answers:?}");
}
