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
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The longest body that the test accepts, in bytes.
const LIMIT: usize = 1 << 20;
/// The time that a call has.
const CALL_TIME: Duration = Duration::from_millis(500);
/// How often a piece is repeated in one write.
const REPEATS: usize = 1_024;

/// The beginning of an answer, and the piece that follows it without end.
const ENDLESS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("", "\u{1}garbage"),
];

/// A faulty server. It counts the requests that it read and the connections that were closed under its answers.
struct EndlessUpstream {
    address: ServerAddress,
    requests: Arc<AtomicUsize>,
    closed: watch::Sender<usize>,
}

impl EndlessUpstream {
    async fn start(beginning: &'static str, piece: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = ServerAddress(listener.local_addr().expect("an address"));
        let (requests, closed) = (Arc::new(AtomicUsize::new(0)), watch::Sender::new(0));
        let upstream = Self { address, requests: requests.clone(), closed: closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (requests, closed) = (requests.clone(), closed.clone());
                tokio::spawn(async move {
                    if answer(stream, beginning, piece, &requests).await {
                        closed.send_modify(|closed| *closed += 1);
                    }
                });
            }
        });
        upstream
    }
}

/// Answers a request until the connection is closed; returns false if there was no request.
async fn answer(mut stream: TcpStream, beginning: &str, piece: &str, requests: &AtomicUsize) -> bool {
    let mut request = [0; 4_096];
    if !stream.read(&mut request).await.is_ok_and(|len| len > 0) {
        return false;
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let pieces = piece.repeat(REPEATS);
    let mut next = beginning;
    while stream.write_all(next.as_bytes()).await.is_ok() {
        next = &pieces;
    }
    true
}

/// Guards against a call or a connection that reads for as long as a server sends.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_of_an_upstream_ends_with_its_call() {
    for (beginning, piece) in ENDLESS {
        let upstream = EndlessUpstream::start(beginning, piece).await;
        let (link, task) = ServerLink::open(upstream.address, ServerProtocol::Http1, 4);
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = link.uri(PathAndQuery::from_static("/x"));
        let result = tokio::time::timeout(CALL_TIME, link.call(request, LIMIT)).await;
        let is_answered = matches!(result, Ok(Ok(_)));
        assert!(!is_answered, "{beginning:?} {piece:?} is no answer");
        if let Ok(Err(outcome)) = result {
            assert_eq!(outcome, AttemptOutcome::Unknown, "{beginning:?} {piece:?}");
        }
        let mut closed = upstream.closed.subscribe();
        let requests = upstream.requests.load(Ordering::Relaxed);
        let closing = closed.wait_for(|closed| *closed >= requests);
        assert!(
            tokio::time::timeout(MAX_WAIT, closing).await.is_ok(),
            "{beginning:?} {piece:?}: the connection stays open"
        );
        task.abort();
    }
}
