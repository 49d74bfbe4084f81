//! Messages that are too long for a frame, and other messages on the same connection.
//!
//! The failure this test guards against: a node whose answer was too long to be sent took that for a malformed message of
//! the other node and closed the link, with every message in flight on it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use streamfold_link::server::{PeerService, read_message, reply, serve};
use streamfold_link::{MAX_FRAME_LEN, PeerError, PeerLink};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Paths whose messages are answered when the test releases them, and with an answer that is too long.
const PATH_HELD: &str = "/held";
const PATH_LONG: &str = "/long";
/// The longest wait for an answer; longer than any takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct LongNode {
    held: AtomicUsize,
    malformed: AtomicUsize,
    release: Notify,
}

impl LongNode {
    async fn answer(&self, path: &str, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let _: Vec<u8> = read_message(body, 64).await?;
        if path == PATH_LONG {
            return reply(respond, &vec![1u8; MAX_FRAME_LEN]).await;
        }
        let released = self.release.notified();
        self.held.fetch_add(1, Ordering::SeqCst);
        released.await;
        reply(respond, &vec![2u8]).await
    }
}

impl PeerService for LongNode {
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        self.answer(path, body, respond).boxed()
    }

    fn record_malformed(&self, _: &str) {
        self.malformed.fetch_add(1, Ordering::SeqCst);
    }
}

async fn call(link: &Arc<PeerLink>, path: &str, message: &Vec<u8>) -> Result<Vec<u8>, PeerError> {
    link.call(path, message, CALL_TIMEOUT).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_in_flight_is_answered_although_another_answer_is_too_long() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = PeerLink::new(listener.local_addr().expect("an address"));
    let node = Arc::new(LongNode::default());
    tokio::spawn(serve(node.clone(), Arc::new(listener)));
    let held = tokio::spawn({
        let link = link.clone();
        async move { call(&link, PATH_HELD, &vec![0]).await }
    });
    while node.held.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(call(&link, PATH_LONG, &vec![0]).await.is_err());
    node.release.notify_waiters();
    assert_eq!(held.await.expect("a call").expect("an answer to the message in flight"), [2]);
    assert_eq!(node.malformed.load(Ordering::SeqCst), 0, "no message was malformed");
}

#[tokio::test]
async fn a_message_that_is_too_long_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = PeerLink::new(listener.local_addr().expect("an address"));
    let error = call(&link, PATH_LONG, &vec![0; MAX_FRAME_LEN]).await.expect_err("a message that is too long");
    assert!(error.is_not_sent(), "{error}");
}
