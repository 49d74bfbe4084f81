//! A server of an index answers with a status that is none, or none that an answer can have: its shards are missing, and
//! whether they ran is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::uri::PathAndQuery;
use streamfold_daemon::clock::NodeClock;
use streamfold_daemon::headers;
use streamfold_daemon::piece::{PieceContext, PieceProgress};
use streamfold_daemon::pool::UpstreamPool;
use streamfold_model::{AttemptOutcome, ServerAddress, ServerProtocol, ShardId, UpstreamSpec};
use streamfold_policy::AdaptiveRules;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONNECTIONS: u32 = 4;
/// The time of a piece, within which further attempts are made.
const PIECE_TIME: Duration = Duration::from_millis(500);
const HEALTH: &str =
    r#"{"draining": false, "load": 0.0, "incarnation": 1, "indexes": {"carts": {"oldest": 1, "newest": 3}}}"#;
const STATUSES: [&str; 15] =
    ["000", "001", "099", "100", "101", "102", "199", "600", "999", "20", "2000", "0200", "-200", "2x0", "abc"];

/// Starts a server that is healthy and answers each call with a status.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, status));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, status: &'static str) {
    let mut buffer = [0; 4_096];
    while let Ok(len @ 1..) = stream.read(&mut buffer).await {
        let request = String::from_utf8_lossy(&buffer[..len]).into_owned();
        let lines = request.lines().filter_map(|line| line.split_once(": "));
        let attempt = lines.into_iter().find(|(name, _)| *name == headers::ATTEMPT.as_str());
        let (status, attempt, body) = match attempt {
            Some((_, attempt)) => (status, attempt, r#"{"0": []}"#),
            None => ("200", "", HEALTH),
        };
        let (attempt_name, version_name) = (headers::ATTEMPT, headers::VERSION);
        let answer = format!(
            "HTTP/1.1 {status} Told\r\n{attempt_name}: {attempt}\r\n{version_name}: 3\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn context(clock: NodeClock, is_order: bool) -> PieceContext {
    PieceContext {
        request_value: HeaderValue::from_static("1"),
        path: PathAndQuery::from_static("/v1/shards/carts/query"),
        index: "carts".parse().expect("a name"),
        version: (!is_order).then_some(streamfold_model::IndexVersion(3)),
        repeatable: !is_order,
        key: is_order.then(|| "k".to_owned()),
        body: Bytes::new(),
        deadline: clock.now().plus(PIECE_TIME),
        answer_limit: 1 << 20,
        callers: Arc::default(),
    }
}

/// Opens the pool of an upstream whose only server answers with a status.
async fn open_pool(clock: NodeClock, status: &'static str) -> Arc<UpstreamPool> {
    let spec = UpstreamSpec {
        name: "carts-a".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        slots: 2,
        connections: CONNECTIONS,
        protocol: ServerProtocol::Http1,
        servers: vec![ServerAddress(start_server(status).await)],
    };
    UpstreamPool::open(Arc::new(spec), CONNECTIONS, Arc::new(AdaptiveRules::default()), clock, Arc::default())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_an_index_server_without_a_valid_status_is_none() {
    let clock = NodeClock::start();
    let valid =
        open_pool(clock, "200").await.run(&context(clock, false), &[ShardId(0)], &PieceProgress::default()).await;
    assert!(valid.is_ok(), "{valid:?}");
    for status in STATUSES {
        let pool = open_pool(clock, status).await;
        for is_order in [false, true] {
            let progress = PieceProgress::default();
            let answer = pool.run(&context(clock, is_order), &[ShardId(0)], &progress).await;
            let failure = answer.map(|_| ()).expect_err(status);
            assert_eq!(failure.outcome, AttemptOutcome::Unknown, "{status}, order: {is_order}");
            assert!(!is_order || progress.calls() == 1, "{status}: an order was sent {} times", progress.calls());
        }
    }
}
