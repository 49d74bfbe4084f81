//! Frames that are no answer may come without end from an upstream's server over HTTP/2, as long as the node reads them.
//! The connection must end after a bounded number of bytes, and a call must never be taken for one that did not run.

mod endless_frames;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::uri::PathAndQuery;
use streamfold_daemon::upstream::ServerLink;
use streamfold_model::{AttemptOutcome, ServerAddress, ServerProtocol};
use tokio::net::{TcpListener, TcpStream};

use crate::endless_frames::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, ENDLESS, EndlessFrames, EndlessServer, HEADERS, MAX_WAIT, PING,
    STATUS_200, frame,
};

/// The longest body that the test accepts, in bytes.
const LIMIT: usize = 1 << 20;
/// The time that a call has.
const CALL_TIME: Duration = Duration::from_millis(500);
/// The pause between two pieces of a slow answer.
const DRIP_INTERVAL: Duration = Duration::from_millis(5);
/// Calls that are answered while another one's answer has no end.
const OTHER_CALLS: usize = 20;

fn request(link: &ServerLink) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = link.uri(PathAndQuery::from_static("/x"));
    request
}

/// Calls a faulty server once and checks that the call is not taken for an answer, or for one that did not run.
/// Returns why the connection does not end in time.
async fn call(upstream: &EndlessServer, frames: &EndlessFrames) -> Option<String> {
    let (link, task) = ServerLink::open(ServerAddress(upstream.address), ServerProtocol::H2, 4);
    let result = tokio::time::timeout(CALL_TIME, link.call(request(&link), LIMIT)).await;
    match result {
        Ok(Ok(answer)) => panic!("{} is no answer: {answer:?}", frames.name),
        Ok(Err(outcome)) => assert_eq!(outcome, AttemptOutcome::Unknown, "{}", frames.name),
        Err(_) => {}
    }
    let unclosed = upstream.find_unclosed(frames.name).await;
    task.abort();
    unclosed
}

/// Guards against a connection that is read for as long as a server sends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_frames_of_an_upstream_end_their_connection() {
    let mut unclosed = Vec::new();
    for frames in &ENDLESS {
        let upstream = EndlessServer::start(frames, Duration::ZERO).await;
        unclosed.extend(call(&upstream, frames).await);
    }
    assert!(unclosed.is_empty(), "{unclosed:#?}");
}

/// Guards against a slow answer without end that is read on after its call, or that ends the calls beside it.
#[tokio::test(flavor = "multi_thread")]
async fn slow_endless_frames_of_an_upstream_end_with_their_call() {
    for frames in ENDLESS.iter().filter(|frames| frames.name != "no protocol") {
        let upstream = EndlessServer::start(frames, DRIP_INTERVAL).await;
        let (link, task) = ServerLink::open(ServerAddress(upstream.address), ServerProtocol::H2, 4);
        let result = tokio::time::timeout(CALL_TIME, link.call(request(&link), LIMIT)).await;
        assert!(!matches!(result, Ok(Ok(_))), "{}", frames.name);
        if let Ok(Err(outcome)) = result {
            assert_eq!(outcome, AttemptOutcome::Unknown, "{}", frames.name);
        }
        task.abort();
    }
}

/// Guards against heads whose decoded headers take far more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_head_of_an_upstream_is_no_answer() {
    static LONG_HEAD: EndlessFrames = EndlessFrames {
        name: "a long head",
        beginning: |stream| {
            // The first header enters the table of the decoder; each byte after it repeats the header.
            let mut block = [STATUS_200, &[0x40, 1, b'x', 1, b'x']].concat();
            block.resize(1 << 14, 0x80 | 62);
            let next = frame(CONTINUATION, 0, stream, &[0x80 | 62; 1 << 14]);
            let last = frame(CONTINUATION, END_HEADERS, stream, &[]);
            [frame(HEADERS, 0, stream, &block), next.repeat(3), last, frame(DATA, END_STREAM, stream, b"x")].concat()
        },
        piece: |_| frame(PING, 0, 0, &[1; 8]),
    };
    let upstream = EndlessServer::start(&LONG_HEAD, Duration::ZERO).await;
    assert_eq!(call(&upstream, &LONG_HEAD).await, None);
}

/// Guards against a limit for faulty connections that ends one with many ordinary calls, some of them cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn many_calls_on_one_connection_keep_it() {
    const BODY_LEN: usize = 1 << 20;
    const CALLS: usize = 200;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = ServerAddress(listener.local_addr().expect("an address"));
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_all(stream, BODY_LEN));
        }
    });
    let (link, task) = ServerLink::open(address, ServerProtocol::H2, 4);
    for number in 0..CALLS {
        // Every other call is given up while its answer arrives.
        let time = if number % 2 == 0 { MAX_WAIT } else { Duration::from_millis(2) };
        let result = tokio::time::timeout(time, link.call(request(&link), BODY_LEN)).await;
        if number % 2 == 0 {
            let answer = result.expect("in time").expect("an answer");
            assert_eq!(answer.body().len(), BODY_LEN);
        }
    }
    for _ in 0..OTHER_CALLS {
        assert!(link.call(request(&link), BODY_LEN).await.is_ok());
    }
    assert_eq!(connections.load(Ordering::Relaxed), 1);
    task.abort();
}

async fn answer_all(stream: TcpStream, len: usize) {
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    while let Some(Ok((_, mut respond))) = connection.accept().await {
        tokio::spawn(async move {
            let Ok(mut body) = respond.send_response(http::Response::new(()), false) else { return };
            // An error means that the call was given up.
            let _ = body.send_data(Bytes::from(vec![b'x'; len]), true);
        });
    }
}
