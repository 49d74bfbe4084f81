//! Checks with real processes and sockets that the TCP handshake of a caller's connection counts towards the time of
//! its first request.

use std::net::SocketAddr;

use streamfold_lab::route_checks::start_single;
use streamfold_lab::route_fleet::{HOST, RouteNode};
use streamfold_lab::wait::wait_for;
use streamfold_standin::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Twice the one-way latency to callers in the deployed settings, in microseconds.
const HANDSHAKE_US: u64 = 6_000;

/// Sends a request and reads the start of its answer.
async fn send_request(stream: &mut TcpStream, id: &str) {
    let head = format!("GET /any/x HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n\r\n", names::REQUEST_ID);
    stream.write_all(head.as_bytes()).await.expect("a sent request");
    let mut answer = vec![0; 4 << 10];
    let len = stream.read(&mut answer).await.expect("an answer");
    assert!(answer[..len].starts_with(b"HTTP/1.1 200"), "{id}");
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

/// How long the caller of a request had waited before the node read it, as the node logged it, in microseconds.
async fn find_unread(node: &RouteNode, id: &str) -> u64 {
    let wanted = format!("request={id} ");
    let line = || node.logged(&["event=request ", &wanted]).pop();
    wait_for("the line of the request", async || line().is_some()).await;
    let line = line().expect("the line of the request");
    let (_, value) = line.split_once("unread_us=").expect("a time");
    value.split(' ').next().and_then(|value| value.parse().ok()).expect("microseconds")
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_first_request_of_a_connection_includes_its_handshake() {
    let fleet = start_single().await;
    let node = &fleet.nodes[0];
    let mut number = 0;
    // When a request is read late, as under other load, its connection does not count as opened for it.
    wait_for("a request read soon after its connection was accepted", async || {
        number += 1;
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let mut stream = connect(node.addresses.callers).await;
        send_request(&mut stream, &first).await;
        send_request(&mut stream, &second).await;
        assert_eq!(find_unread(node, &second).await, 0, "the connection was open already");
        find_unread(node, &first).await >= HANDSHAKE_US
    })
    .await;
}
