//! Messages that their sender gives up, and messages that are in flight on the same connection meanwhile.
//!
//! The failure these tests guard against: the HTTP/2 library limits how many streams the other side may reset, and it
//! ends the connection when a limit is reached, with every message in flight on it. Nodes give up batches all the time:
//! an answer is complete before each hedge has ended, and a batch to a paused node is given up after some tenths of a
//! second. A node that resumed after a pause thus closed its links as soon as it read more than 20 batches that had been
//! given up meanwhile, and a node that gave up batches closed a link after the 1,024th answer that arrived too late.
//! Requests with a batch in flight on such a link lost their shards.

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
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Paths whose messages are answered when the test releases them, and at once.
const PATH_HELD: &str = "/held";
const PATH_PROMPT: &str = "/prompt";
/// Messages given up while the other node is paused: more than the 20 that the library tolerates by default.
const UNREAD_MESSAGES: usize = 100;
/// Messages given up before their answers arrive: more than the 1,024 late answers that the library tolerates by default
/// on one connection, and the 50 given up streams that it remembers.
const LATE_ANSWERS: usize = 1_200;
/// Length of the frame that gives up a message.
const RESET_FRAME_LEN: usize = 13;
/// Timeout of calls that must succeed, longer than any of them takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Default)]
struct EchoNode {
    received: AtomicUsize,
    release: Notify,
}

impl EchoNode {
    async fn answer(&self, path: &str, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let number: u64 = read_message(body, 64).await?;
        let released = self.release.notified();
        self.received.fetch_add(1, Ordering::SeqCst);
        if path == PATH_HELD {
            released.await;
        }
        reply(respond, &(number + 1)).await
    }
}

impl PeerService for EchoNode {
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

/// One direction of the path between two nodes. While it is held, bytes wait as they do before a paused process.
struct Direction {
    is_held: watch::Sender<bool>,
    sent: AtomicUsize,
}

impl Direction {
    fn new() -> Arc<Self> {
        Arc::new(Self { is_held: watch::Sender::new(false), sent: AtomicUsize::new(0) })
    }

    fn set_held(&self, is_held: bool) {
        self.is_held.send_replace(is_held);
    }

    /// Number of bytes that were sent, including those that wait.
    fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }

    async fn forward(self: Arc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut is_held = self.is_held.subscribe();
        let mut waiting = Vec::new();
        loop {
            let is_passed = tokio::select! {
                read = from.read_buf(&mut waiting) => match read {
                    Ok(read) if read > 0 => {
                        self.sent.fetch_add(read, Ordering::SeqCst);
                        !*is_held.borrow_and_update()
                    }
                    _ => return,
                },
                changed = is_held.changed() => changed.is_ok() && !*is_held.borrow_and_update(),
            };
            if is_passed && to.write_all(&std::mem::take(&mut waiting)).await.is_err() {
                return;
            }
        }
    }
}

/// A node, the link to it and the path between them.
struct Nodes {
    node: Arc<EchoNode>,
    link: Arc<PeerLink>,
    requests: Arc<Direction>,
    answers: Arc<Direction>,
}

async fn start() -> Nodes {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let node = Arc::new(EchoNode::default());
    tokio::spawn(serve(node.clone(), Arc::new(listener)));
    let path = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = PeerLink::new(path.local_addr().expect("an address"));
    let (requests, answers) = (Direction::new(), Direction::new());
    let directions = (requests.clone(), answers.clone());
    tokio::spawn(async move {
        while let Ok((near, _)) = path.accept().await {
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = TcpStream::connect(address).await.expect("a connection").into_split();
            tokio::spawn(directions.0.clone().forward(near_read, far_write));
            tokio::spawn(directions.1.clone().forward(far_read, near_write));
        }
    });
    let nodes = Nodes { node, link, requests, answers };
    // Until its settings have arrived, the other node is assumed to accept few messages at once.
    assert_eq!(answer(nodes.call(PATH_PROMPT, 0)).await.expect("an answer to the first message"), 1);
    nodes
}

impl Nodes {
    /// Starts a call that ends only with its answer or an error.
    fn call(&self, path: &'static str, number: u64) -> JoinHandle<Result<u64, PeerError>> {
        let link = self.link.clone();
        tokio::spawn(async move { link.call_without_timeout(path, &number).await })
    }

    /// Starts a call whose answer is held back, and waits until the node has received it.
    async fn call_held(&self, number: u64) -> JoinHandle<Result<u64, PeerError>> {
        let received = self.node.received.load(Ordering::SeqCst);
        let held = self.call(PATH_HELD, number);
        wait_until(|| self.node.received.load(Ordering::SeqCst) > received).await;
        held
    }

    /// Sends a message and gives it up as soon as it is on its way.
    async fn give_up_unread(&self, number: u64) {
        let sent = self.requests.sent();
        let call = self.call(PATH_PROMPT, number);
        wait_until(|| self.requests.sent() > sent).await;
        let sent = self.requests.sent();
        call.abort();
        wait_until(|| self.requests.sent() >= sent + RESET_FRAME_LEN).await;
    }
}

async fn wait_until(is_met: impl Fn() -> bool) {
    let met = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, met).await.expect("the condition is met");
}

async fn answer(call: JoinHandle<Result<u64, PeerError>>) -> Result<u64, PeerError> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.expect("the call ends").expect("a call")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_resumes_answers_its_messages_although_many_others_were_given_up() {
    let nodes = start().await;
    let held = nodes.call_held(1).await;
    nodes.requests.set_held(true);
    for number in 0..UNREAD_MESSAGES {
        nodes.give_up_unread(number as u64).await;
    }
    let prompt = nodes.call(PATH_PROMPT, 5);
    nodes.requests.set_held(false);
    assert_eq!(answer(prompt).await.expect("an answer to a message that was not given up"), 6);
    nodes.node.release.notify_waiters();
    assert_eq!(answer(held).await.expect("an answer to a message received before"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_message_in_flight_is_answered_although_many_answers_to_others_arrive_too_late() {
    let nodes = start().await;
    let held = nodes.call_held(1).await;
    let received = nodes.node.received.load(Ordering::SeqCst);
    nodes.answers.set_held(true);
    let late: Vec<_> = (0..LATE_ANSWERS).map(|number| nodes.call(PATH_PROMPT, number as u64)).collect();
    wait_until(|| nodes.node.received.load(Ordering::SeqCst) == received + LATE_ANSWERS).await;
    let sent = nodes.requests.sent();
    late.iter().for_each(JoinHandle::abort);
    wait_until(|| nodes.requests.sent() >= sent + LATE_ANSWERS * RESET_FRAME_LEN).await;
    nodes.node.release.notify_waiters();
    nodes.answers.set_held(false);
    assert_eq!(answer(held).await.expect("an answer to the message in flight"), 2);
}
