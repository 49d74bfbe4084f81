//! Another node answers with messages that are too long for the memory of this one, many at a time. What this node keeps
//! of them must stay within a limit that all its links share, and a short message must be answered meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use streamfold_link::frame_memory::set_limit;
use streamfold_link::{MAX_FRAME_LEN, PeerError, PeerLink};
use tokio::net::{TcpListener, TcpStream};

/// Messages whose answers never end, at the same time, and short ones meanwhile.
const LONG_CALLS: usize = 16;
const SHORT_CALLS: usize = 20;
/// Nodes that answer so.
const NODES: usize = 4;
const PATH_LONG: &str = "/long";
const PATH_SHORT: &str = "/short";
/// The longest wait for an answer; longer than any takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A piece of an answer.
const PIECE: &[u8] = &[1; 64 << 10];
/// The most memory that this process may take, in KB.
const MAX_MEMORY: u64 = 160 << 10;
/// What a machine with that memory gives the messages that are being read, in bytes.
const MESSAGES_LEN: usize = 20 << 20;

/// A node whose answers to long messages promise the longest frame and go on until the stream ends.
async fn start(ended: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, ended.clone()));
        }
    });
    address
}

async fn serve(stream: TcpStream, ended: Arc<AtomicUsize>) {
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let (ended, is_long) = (ended.clone(), request.uri().path() == PATH_LONG);
        tokio::spawn(async move {
            let mut message = request.into_body();
            while message.data().await.is_some() {}
            let Ok(mut body) = respond.send_response(http::Response::new(()), false) else { return };
            if is_long {
                let prefix = Bytes::copy_from_slice(&(MAX_FRAME_LEN as u32).to_be_bytes());
                let _ = body.send_data(prefix, false);
                while send(&mut body).await.is_some() {}
                ended.fetch_add(1, Ordering::SeqCst);
            } else {
                let _ = body.send_data(Bytes::from_static(&[0, 0, 0, 2, 1, 7]), true);
            }
        });
    }
}

/// Sends a piece once the caller accepts it; `None` when the stream has ended.
async fn send(body: &mut h2::SendStream<Bytes>) -> Option<()> {
    body.reserve_capacity(PIECE.len());
    let len = std::future::poll_fn(|cx| body.poll_capacity(cx)).await?.ok()?;
    body.send_data(Bytes::from_static(&PIECE[..len.min(PIECE.len())]), false).ok()
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the state of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
    line.split_whitespace().next().and_then(|number| number.parse().ok()).expect("a number")
}

/// Guards against messages that are bounded one by one only.
#[tokio::test(flavor = "multi_thread")]
async fn long_messages_of_other_nodes_share_a_limit() {
    set_limit(MESSAGES_LEN);
    let ended = Arc::new(AtomicUsize::new(0));
    let mut links = Vec::new();
    for _ in 0..NODES {
        links.push(PeerLink::new(start(ended.clone()).await));
    }
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..LONG_CALLS {
        let link = links[number % NODES].clone();
        calls.spawn(async move { link.call::<Vec<u8>, Vec<u8>>(PATH_LONG, &vec![1], CALL_TIMEOUT).await });
    }
    for number in 0..SHORT_CALLS {
        let answer = links[number % NODES].call::<Vec<u8>, Vec<u8>>(PATH_SHORT, &vec![1], CALL_TIMEOUT).await;
        assert_eq!(answer.expect("an answer to a short message"), [7]);
    }
    let results = calls.join_all().await;
    let memory = peak_memory_kb();
    println!("{memory} KB, {} streams ended", ended.load(Ordering::SeqCst));
    for result in &results {
        let error = result.as_ref().expect_err("no answer");
        assert!(!error.is_not_sent(), "{error}");
    }
    assert!(memory <= MAX_MEMORY, "{memory} KB");
    assert!(results.iter().any(|result| matches!(result, Err(PeerError::AnswerTooLong))), "{results:?}");
}
