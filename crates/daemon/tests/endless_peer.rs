//! Frames that are no answer may come without end from another node, as long as this one reads them. The link must end
//! after a bounded number of bytes, and a message on it must not be taken for one that was not sent.

mod endless_frames;

use std::sync::Arc;
use std::time::Duration;

use streamfold_link::{PeerError, PeerLink};

use crate::endless_frames::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, ENDLESS, EndlessFrames, EndlessServer, HEADERS, PING, STATUS_100,
    STATUS_200, frame,
};

/// The time that a message has.
const CALL_TIME: Duration = Duration::from_millis(500);
/// The pause between two pieces of a slow answer.
const DRIP_INTERVAL: Duration = Duration::from_millis(5);

/// The most memory that this process may take, in KB.
const MAX_MEMORY: u64 = 100 << 10;

/// Sends one message; returns its error, and the link, which stays open without it.
async fn call(peer: &EndlessServer, name: &str) -> (PeerError, Arc<PeerLink>) {
    let link = PeerLink::new(peer.address);
    let error = link.call::<Vec<u8>, Vec<u8>>("/x", &vec![1; 64], CALL_TIME).await.expect_err("no answer");
    assert!(!error.is_not_sent(), "{name}: {error}");
    (error, link)
}

/// Guards against a link that is read for as long as the other node sends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_frames_of_another_node_end_their_link() {
    let mut unclosed = Vec::new();
    for frames in &ENDLESS {
        let peer = EndlessServer::start(frames, Duration::ZERO).await;
        let _link = call(&peer, frames.name).await;
        unclosed.extend(peer.find_unclosed(frames.name).await);
    }
    assert!(unclosed.is_empty(), "{unclosed:#?}");
}

/// Guards against a slow answer without end that holds up its caller.
#[tokio::test(flavor = "multi_thread")]
async fn slow_endless_frames_of_another_node_end_with_their_message() {
    for frames in ENDLESS.iter().filter(|frames| frames.name != "no protocol") {
        let peer = EndlessServer::start(frames, DRIP_INTERVAL).await;
        call(&peer, frames.name).await;
    }
}

/// Guards against heads whose decoded headers take far more memory than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_head_of_another_node_is_no_answer() {
    static LONG_HEAD: EndlessFrames = EndlessFrames {
        name: "a long head",
        beginning: |stream| {
            let mut block = [STATUS_200, &[0x40, 1, b'x', 1, b'x']].concat();
            block.resize(1 << 14, 0x80 | 62);
            let next = frame(CONTINUATION, 0, stream, &[0x80 | 62; 1 << 14]);
            let last = frame(CONTINUATION, END_HEADERS, stream, &[]);
            let message = [&5_u32.to_be_bytes()[..], &[4, 1, 2, 3, 4]].concat();
            [frame(HEADERS, 0, stream, &block), next.repeat(3), last, frame(DATA, END_STREAM, stream, &message)]
                .concat()
        },
        piece: |_| frame(PING, 0, 0, &[1; 8]),
    };
    let peer = EndlessServer::start(&LONG_HEAD, Duration::ZERO).await;
    let _link = call(&peer, LONG_HEAD.name).await;
    assert_eq!(peer.find_unclosed(LONG_HEAD.name).await, None);
}

/// Guards against informational responses that are kept while the other node accepts no message, which is as long as the
/// other node likes.
#[tokio::test(flavor = "multi_thread")]
async fn informational_responses_to_a_message_that_is_not_accepted_are_not_kept() {
    static HELD_MESSAGE: EndlessFrames = EndlessFrames {
        name: "informational responses before the message",
        beginning: |_| Vec::new(),
        piece: |stream| frame(HEADERS, END_HEADERS, stream, STATUS_100),
    };
    let peer = EndlessServer::start(&HELD_MESSAGE, Duration::ZERO).await;
    let link = PeerLink::new(peer.address);
    // Longer than the windows that every connection begins with.
    let message = vec![1_u8; 4 << 20];
    let error = link.call::<Vec<u8>, Vec<u8>>("/x", &message, CALL_TIME).await.expect_err("no answer");
    assert!(!error.is_not_sent(), "{error}");
    assert_eq!(peer.find_unclosed(HELD_MESSAGE.name).await, None);
    let memory = peak_memory_kb();
    println!("{memory} KB");
    assert!(memory < MAX_MEMORY, "{memory} KB");
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the state of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
    line.split_whitespace().next().and_then(|number| number.parse().ok()).expect("a number")
}
