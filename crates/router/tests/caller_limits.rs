//! What callers may hold together, without a network: what counts, what is given back and when, and whose connection is
//! closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};
use streamfold_router::answer_memory::AnswerReservation;
use streamfold_router::caller_limits::{CallerLimits, ConnectionEntry};
use streamfold_router::growing_buffer::GrowingBuffer;
use streamfold_router::machine_limits::MachineLimits;

/// A machine of which long answers get 4 MB, and short ones, heads and bodies 2, 1 and 2 MB.
const MACHINE: MachineLimits = MachineLimits { memory: 16 << 20, files: 4_100 };
const LONG_LEN: usize = 4 << 20;
/// What an answer takes before it counts as long.
const SHORT_LEN: usize = 64 << 10;
/// Longer than an answer may be on its way before it counts as read slowly.
const SLOW_TIME: Duration = Duration::from_millis(1_100);

fn limits() -> Arc<CallerLimits> {
    Arc::new(CallerLimits::new(MACHINE))
}

async fn connect(limits: &Arc<CallerLimits>) -> ConnectionEntry {
    limits.admit(SocketAddr::from(([127, 0, 0, 1], 9))).await.expect("a place")
}

/// An answer whose memory is counted.
async fn make_answer(limits: &Arc<CallerLimits>, len: usize) -> Option<Bytes> {
    let mut reservation = AnswerReservation::new(limits.clone());
    reservation.grow(len).await.then(|| reservation.attach(vec![0; len]))
}

/// Whether a connection is being closed.
async fn is_cut(entry: &ConnectionEntry) -> bool {
    tokio::time::timeout(Duration::from_millis(10), entry.connection.wait_cut()).await.is_ok()
}

#[test]
fn what_callers_may_hold_follows_from_the_machine() {
    let describe = |(memory, files): (usize, usize)| {
        let machine = MachineLimits { memory: memory << 20, files };
        format!(
            "{memory} MB, {files} files: heads {} KB, bodies {} KB, short answers {} KB, long answers {} KB, {} connections",
            machine.heads_len() >> 10,
            machine.bodies_len() >> 10,
            machine.short_answers_len() >> 10,
            machine.long_answers_len() >> 10,
            machine.connections()
        )
    };
    let lines = [(64, 256), (160, 4_100), (260, 4_100), (512, 8_192), (1_024, 16_384)].map(describe);
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_counts_until_its_last_part_is_gone() {
    let limits = limits();
    let mut answer = make_answer(&limits, LONG_LEN + SHORT_LEN).await.expect("room");
    let rest = answer.split_off(LONG_LEN);
    drop(answer);
    assert!(make_answer(&limits, SHORT_LEN + 1).await.is_none(), "a part of the answer is still in use");
    drop(rest);
    assert!(make_answer(&limits, LONG_LEN + SHORT_LEN).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn short_answers_count_too_and_are_not_kept_out_by_long_ones() {
    let limits = limits();
    let long = make_answer(&limits, LONG_LEN + SHORT_LEN).await;
    let mut short = Vec::new();
    while let Some(answer) = make_answer(&limits, SHORT_LEN).await {
        short.push(answer);
    }
    // One of the 32 that there is memory for is the first part of the long one.
    assert_eq!((short.len(), long.is_some()), (31, true));
}

#[tokio::test(start_paused = true)]
async fn an_answer_read_slowly_gives_way_to_another_and_a_young_one_does_not() {
    let limits = limits();
    let (slow, young) = (connect(&limits).await, connect(&limits).await);
    let slow_answer = make_answer(&limits, LONG_LEN / 2).await.expect("room");
    let _sending = slow.connection.start_request().send(&HeaderMap::new(), slow_answer);
    tokio::time::sleep(SLOW_TIME).await;
    let young_answer = make_answer(&limits, LONG_LEN / 2).await.expect("room");
    let _young = young.connection.start_request().send(&HeaderMap::new(), young_answer);
    // Its connection ends, and the answer with it.
    let ends = async {
        slow.connection.wait_cut().await;
        drop(_sending);
    };
    let (next, ()) = tokio::join!(make_answer(&limits, LONG_LEN / 2), ends);
    assert!(next.is_some());
    assert!(!is_cut(&young).await);
}

#[tokio::test(start_paused = true)]
async fn the_head_of_an_answer_counts_until_the_answer_is_sent() {
    let limits = limits();
    let entry = connect(&limits).await;
    let mut head = HeaderMap::new();
    let proofs = HeaderValue::from_bytes(&vec![b'p'; MACHINE.short_answers_len()]).expect("a value");
    head.insert(header::SERVER, proofs);
    let sending = entry.connection.start_request().send(&head, Bytes::from_static(b"records"));
    assert!(make_answer(&limits, 1).await.is_none(), "the head takes all memory of short answers");
    drop(sending);
    assert!(make_answer(&limits, 1).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_being_served_is_never_closed() {
    let limits = limits();
    let entry = connect(&limits).await;
    let _served = entry.connection.start_request();
    let _held = make_answer(&limits, LONG_LEN).await.expect("room");
    assert!(make_answer(&limits, LONG_LEN).await.is_none());
    assert!(!is_cut(&entry).await);
}

#[tokio::test(start_paused = true)]
async fn a_body_without_memory_is_refused_and_a_slow_one_closed() {
    let limits = limits();
    let (slow, other) = (connect(&limits).await, connect(&limits).await);
    let (_slow_request, _request) = (slow.connection.start_request(), other.connection.start_request());
    let mut slow_body = slow.connection.start_body();
    assert!(slow_body.grow(MACHINE.bodies_len()).await);
    // While the first is young, the second is refused at once.
    assert!(!other.connection.start_body().grow(1_024).await);
    tokio::time::sleep(SLOW_TIME).await;
    let ends = async {
        slow.connection.wait_cut().await;
        drop(slow_body);
    };
    let mut body = other.connection.start_body();
    let (is_held, ()) = tokio::join!(body.grow(1_024), ends);
    assert!(is_held);
}

#[tokio::test(start_paused = true)]
async fn one_connection_too_many_takes_the_place_of_the_one_that_waits_longest() {
    let limits = Arc::new(CallerLimits::new(MACHINE).with_connections(2));
    let (first, second) = (connect(&limits).await, connect(&limits).await);
    let _served = first.connection.start_request();
    let ends = async {
        second.connection.wait_cut().await;
        drop(second);
    };
    let (_third, ()) = tokio::join!(connect(&limits), ends);
    assert!(!is_cut(&first).await);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_while_its_connection_is_being_closed_does_not_run() {
    let limits = Arc::new(CallerLimits::new(MACHINE).with_connections(1));
    let entry = connect(&limits).await;
    let late = async {
        entry.connection.wait_cut().await;
        let request = entry.connection.start_request();
        let has_run = tokio::time::timeout(SLOW_TIME, request.wait_if_cut()).await.is_ok();
        drop(request);
        drop(entry);
        has_run
    };
    let (next, has_run) = tokio::join!(connect(&limits), late);
    assert!(!has_run);
    next.connection.start_request().wait_if_cut().await;
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_refused_where_none_may_be_closed() {
    let limits = Arc::new(CallerLimits::new(MACHINE).with_connections(1));
    let entry = connect(&limits).await;
    let _served = entry.connection.start_request();
    assert!(limits.admit(SocketAddr::from(([127, 0, 0, 1], 9))).await.is_none());
}

#[test]
fn a_buffer_keeps_what_it_is_given_up_to_its_limit() {
    const LIMIT: usize = 300_000;
    let mut buffer = GrowingBuffer::new(LIMIT);
    let mut wanted = Vec::new();
    for piece in [1, 4_095, 60_000, 1_441, 100_000, 134_463] {
        let data: Vec<u8> = (0..piece).map(|number| (number % 251) as u8).collect();
        buffer.push(&data).expect("room");
        wanted.extend_from_slice(&data);
    }
    assert_eq!(buffer.as_ref(), wanted);
    assert_eq!(buffer.len(), LIMIT);
    assert_eq!(
        buffer.push(b"x").map_err(|error| error.to_string()),
        Err("the bytes exceed the limit of the buffer".into())
    );
}
