//! A piece that is queued in the pool of an upstream is sent once a server takes calls again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode};
use streamfold_daemon::clock::NodeClock;
use streamfold_daemon::headers;
use streamfold_daemon::piece::{PieceContext, PieceProgress};
use streamfold_daemon::pool::UpstreamPool;
use streamfold_model::{IndexVersion, ServerAddress, ServerProtocol, ShardId, UpstreamSpec};
use streamfold_policy::AdaptiveRules;
use tokio::net::TcpListener;

/// Failures after which a node stops calling a server for a while.
const FAILURES_TO_BACKOFF: u32 = 3;
/// Far longer than the node stops calling the server.
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CONNECTIONS: u32 = 4;
const SHARD: ShardId = ShardId(0);
const VERSION: IndexVersion = IndexVersion(3);

/// A server that fails its first calls and then answers.
struct FakeServer {
    is_draining: bool,
    failures_left: AtomicU32,
}

impl FakeServer {
    async fn start(is_draining: bool, failures: u32) -> SocketAddr {
        let server = Arc::new(Self { is_draining, failures_left: AtomicU32::new(failures) });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let router = Router::new().fallback(answer).with_state(server);
        tokio::spawn(async move { axum::serve(listener, router).await });
        address
    }
}

async fn answer(State(server): State<Arc<FakeServer>>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() == "/health" {
        let health = format!(
            r#"{{"draining": {}, "load": 0.0, "incarnation": 1, "indexes": {{"carts": {{"oldest": 1, "newest": 3}}}}}}"#,
            server.is_draining
        );
        return Response::new(Body::from(health));
    }
    let mut response = Response::new(Body::from(r#"{"0": []}"#));
    let attempt = request.headers().get(headers::ATTEMPT).expect("an attempt").clone();
    response.headers_mut().insert(headers::ATTEMPT, attempt);
    response.headers_mut().insert(headers::VERSION, HeaderValue::from(VERSION.0));
    let left = server.failures_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
    if left.is_ok() {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

fn context(clock: NodeClock) -> PieceContext {
    PieceContext {
        request_value: HeaderValue::from_static("1"),
        path: PathAndQuery::from_static("/v1/shards/carts/query"),
        index: "carts".parse().expect("a name"),
        version: Some(VERSION),
        repeatable: true,
        key: None,
        body: Bytes::new(),
        deadline: clock.now().plus(TIMEOUT),
        answer_limit: 1 << 20,
        callers: Arc::default(),
    }
}

/// Opens the pool of an upstream with these servers.
fn open_pool(clock: NodeClock, servers: &[SocketAddr]) -> Arc<UpstreamPool> {
    let spec = UpstreamSpec {
        name: "carts-a".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        slots: 2,
        connections: CONNECTIONS,
        protocol: ServerProtocol::Http1,
        servers: servers.iter().copied().map(ServerAddress).collect(),
    };
    UpstreamPool::open(Arc::new(spec), CONNECTIONS, Arc::new(AdaptiveRules::default()), clock, Arc::default())
}

#[tokio::test]
async fn a_piece_queued_while_the_only_usable_server_is_backed_off_is_sent_afterwards() {
    let clock = NodeClock::start();
    let usable = FakeServer::start(false, FAILURES_TO_BACKOFF).await;
    let draining = FakeServer::start(true, 0).await;
    let pool = open_pool(clock, &[usable, draining]);
    let is_draining_known = async {
        while !pool.servers().iter().any(|(_, state)| state.is_leaving()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, is_draining_known).await.expect("the draining server is known");
    let progress = PieceProgress::default();
    let answer = pool.run(&context(clock), &[SHARD], &progress).await;
    assert!(answer.is_ok(), "{answer:?} after {} calls", progress.calls());
    assert_eq!(progress.calls(), FAILURES_TO_BACKOFF + 1);
}
