//! A link that is given up. What happened: beside a machine full of other work, two heartbeats in a row had no answer
//! within their 0.8 s. The connection was given up and closed, and with it went every order that was on its way
//! over it: 169 forwarded orders and 38 pieces of orders in 8 plays of 50 orders ended by `stream closed because of a broken pipe`,
//! though both nodes ran, nothing was cut, and the orders' own time was not over. Their callers were told that they may
//! have run; 1 to 26 of 50 were told that they ran.
//!
//! So a link that is given up takes no new message, and what is on its way goes on.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use streamfold_link::server::{PeerService, read_message, reply, serve};
use streamfold_link::{PeerError, PeerLink};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Messages that are answered when the test says so, never, and at once.
const PATH_HELD: &str = "/held";
const PATH_SILENT: &str = "/silent";
const PATH_PROMPT: &str = "/prompt";
/// How long a heartbeat waits here.
const SHORT: Duration = Duration::from_millis(50);
/// Longer than any call takes that passes.
const LONG: Duration = Duration::from_secs(30);

#[derive(Default)]
struct SlowNode {
    held: AtomicUsize,
    release: Notify,
}

impl SlowNode {
    async fn answer(&self, path: &str, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let number: u64 = read_message(body, 64).await?;
        match path {
            PATH_HELD => {
                self.held.fetch_add(1, Ordering::SeqCst);
                self.release.notified().await;
            }
            PATH_SILENT => return std::future::pending().await,
            _ => {}
        }
        reply(respond, &(number + 1)).await
    }
}

impl PeerService for SlowNode {
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        self.answer(path, body, respond).boxed()
    }

    fn record_malformed(&self, _: &str) {}
}

async fn start() -> (Arc<SlowNode>, Arc<PeerLink>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = PeerLink::new(listener.local_addr().expect("an address"));
    let node = Arc::new(SlowNode::default());
    tokio::spawn(serve(node.clone(), Arc::new(listener)));
    (node, link)
}

/// Sends a message that is held, and waits until it is at the other node.
async fn send_held(node: &SlowNode, link: &Arc<PeerLink>) -> tokio::task::JoinHandle<Result<u64, PeerError>> {
    let link = link.clone();
    let before = node.held.load(Ordering::SeqCst);
    let held = tokio::spawn(async move { link.call::<u64, u64>(PATH_HELD, &7, LONG).await });
    while node.held.load(Ordering::SeqCst) == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    held
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_on_its_way_is_answered_though_heartbeats_beside_it_were_not() {
    let (node, link) = start().await;
    let held = send_held(&node, &link).await;
    for _ in 0..2 {
        assert!(link.call::<u64, u64>(PATH_SILENT, &1, SHORT).await.is_err());
    }
    assert!(!link.is_open(), "two calls in a row without an answer give the connection up");
    assert_eq!(link.call::<u64, u64>(PATH_PROMPT, &1, LONG).await.expect("an answer over a new one"), 2);
    node.release.notify_waiters();
    assert_eq!(held.await.expect("a call").expect("an answer over the one given up"), 8);
    assert!(link.is_open(), "the end of the old connection does not take the new one for ended");
    assert_eq!(link.call::<u64, u64>(PATH_PROMPT, &2, LONG).await.expect("an answer"), 3);
}
