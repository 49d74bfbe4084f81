//! Bytes that are no answer may come without end from an upstream's server, in a head or in a body, until its caller
//! closes, where the node serves indexes over HTTP/1.1. A call must end by its limit or its deadline, and its connection
//! with it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::uri::PathAndQuery;
use streamfold_daemon::upstream::ServerLink;
use streamfold_model::{AttemptOutcome, ServerAddress, ServerProtocol};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest wait for a condition; longer than any passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// The longest body that the test accepts, in bytes.
const LIMIT: usize = 1 << 20;
/// What may be sent until a call ends, in bytes: what it may read, and what the buffers of the two sockets hold.
const MAX_SENT: usize = 2 * LIMIT + (16 << 20);
/// The time that a call has for a slow answer, and the pause between two pieces of one.
const CALL_TIME: Duration = Duration::from_millis(300);
const DRIP_INTERVAL: Duration = Duration::from_millis(5);
/// How often a piece is repeated in one write.
const REPEATS: usize = 1_024;

/// The beginning of an answer, and the piece that follows it without end.
const ENDLESS: [(&str, &str); 7] = [
    ("HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("", "\u{1}garbage"),
    ("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"),
];

/// A faulty server. It counts the requests that it read and the connections that were closed under its answers.
struct EndlessUpstream {
    address: ServerAddress,
    requests: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
    closed: watch::Sender<usize>,
}

impl EndlessUpstream {
    async fn start(beginning: &'static str, piece: &'static str, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = ServerAddress(listener.local_addr().expect("an address"));
        let (requests, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let closed = watch::Sender::new(0);
        let upstream = Self { address, requests: requests.clone(), sent: sent.clone(), closed: closed.clone() };
        let pieces = if pause.is_zero() { piece.repeat(REPEATS) } else { piece.to_owned() };
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (requests, sent, closed) = (requests.clone(), sent.clone(), closed.clone());
                let pieces = pieces.clone();
                tokio::spawn(async move {
                    let mut request = [0; 4_096];
                    if stream.read(&mut request).await.is_ok_and(|len| len > 0) {
                        requests.fetch_add(1, Ordering::Relaxed);
                        answer(stream, beginning, &pieces, pause, &sent).await;
                        closed.send_modify(|closed| *closed += 1);
                    }
                });
            }
        });
        upstream
    }

    /// Calls the server once within a time; `None` if the time was over.
    async fn call(&self, time: Duration) -> Option<Result<(), AttemptOutcome>> {
        let (link, task) = ServerLink::open(self.address, ServerProtocol::Http1, 4);
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = link.uri(PathAndQuery::from_static("/x"));
        let result = tokio::time::timeout(time, link.call(request, LIMIT)).await.ok();
        task.abort();
        result.map(|result| result.map(|_| ()))
    }

    /// Waits until every connection with a request is closed.
    async fn wait_closed(&self, name: &str) {
        let requests = self.requests.load(Ordering::Relaxed);
        let mut closed = self.closed.subscribe();
        let closing = closed.wait_for(|closed| *closed >= requests);
        assert!(tokio::time::timeout(MAX_WAIT, closing).await.is_ok(), "{name:?}: the connection stays open");
    }
}

/// Answers until the connection is closed.
async fn answer(mut stream: TcpStream, beginning: &str, pieces: &str, pause: Duration, sent: &AtomicUsize) {
    let mut next = beginning;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next = pieces;
        tokio::time::sleep(pause).await;
    }
}

/// Guards against a call or a connection that reads for as long as a server sends.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_of_an_upstream_ends_by_its_limit() {
    let mut late = Vec::new();
    for (beginning, piece) in ENDLESS {
        let upstream = EndlessUpstream::start(beginning, piece, Duration::ZERO).await;
        let result = upstream.call(MAX_WAIT).await;
        upstream.wait_closed(piece).await;
        let sent = upstream.sent.load(Ordering::Relaxed);
        println!("{beginning:?} {piece:?}: {result:?}, {sent} bytes sent");
        if result != Some(Err(AttemptOutcome::Unknown)) || sent > MAX_SENT {
            late.push(format!("{beginning:?} {piece:?}: {result:?}, {sent} bytes sent"));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against a slow answer without end that is read on after the time of its call.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_endless_answer_of_an_upstream_ends_with_its_call() {
    for (beginning, piece) in ENDLESS {
        let upstream = EndlessUpstream::start(beginning, piece, DRIP_INTERVAL).await;
        let result = upstream.call(CALL_TIME).await;
        assert!(matches!(result, None | Some(Err(AttemptOutcome::Unknown))), "{beginning:?} {piece:?}: {result:?}");
        upstream.wait_closed(piece).await;
    }
}

/// Guards against idle connections whose bytes fill the machine's buffers, or are taken for the next call's answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_on_an_idle_connection_to_an_upstream_close_it() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=3600\r\n\r\n";
    let upstream = EndlessUpstream::start(whole, "HTTP/1.1 200 OK\r\n\r\n", DRIP_INTERVAL).await;
    assert_eq!(upstream.call(MAX_WAIT).await, Some(Ok(())));
    upstream.wait_closed("idle").await;
}
