//! Guards against a panic that leaves a request over all shards without an answer: a failure domain loses its last
//! usable node while the delegation to that node is being planned.

mod fakes;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use streamfold_model::{
    AllowedRegions, EntryRevision, GatherSpec, Incarnation, NodeEntry, Priority, RouteKind, RouteSpec, RouteTarget,
    ServerEntry, ServerId, ServerStart, ServiceName, TeamName,
};
use streamfold_router::answer::RefusalKind;
use streamfold_router::attempt_context::{AttemptContext, RequestOrigin};
use streamfold_router::canary::CanaryCall;
use streamfold_router::gather::{self, GatherOutcome};
use streamfold_router::interface::{
    CallFormat, CallerHead, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic, HeadError,
    PresentedKey, ReplyHead,
};
use streamfold_router::peers::PeerNode;
use streamfold_router::request::{CallerRequest, RequestArrival};
use streamfold_router::{Router, RunningRouter, router_start};
use streamfold_store::StoreError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// The longest wait for a condition; longer than any passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time limit of the request, longer than the test takes.
const REQUEST_LIMIT: Duration = Duration::from_secs(60);
/// The failure domain whose node is lost, checked before the other one since it precedes it by name.
const LOST_DOMAIN: &str = "zone-b";
/// The failure domain whose node stays usable.
const KEPT_DOMAIN: &str = "zone-c";
/// Shards with a server in the first of the domains only, and then in the second only.
const LOST_SHARDS: [&str; 2] = ["s-0", "s-1"];
const KEPT_SHARDS: [&str; 2] = ["s-2", "s-3"];

/// A store whose entries never change.
struct ConstantTopics {
    nodes: Vec<NodeEntry>,
    servers: Vec<ServerEntry>,
}

impl FakeTopics for ConstantTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => vec![make_table(1)],
            FeedTopic::Nodes => self.nodes.iter().cloned().map(FeedItem::Node).collect(),
            FeedTopic::Servers => self.servers.iter().cloned().map(FeedItem::Server).collect(),
            FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
        };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// A call format in which every answer of a server proves that the server ran the request.
struct ProvenReplies(NoFormat);

impl CallFormat for ProvenReplies {
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadError> {
        self.0.read_caller(headers)
    }

    fn write_team(&self, headers: &mut HeaderMap, team: Option<&TeamName>) {
        self.0.write_team(headers, team);
    }

    fn write_call(&self, headers: &mut HeaderMap, server: &ServerId, left: Duration) {
        self.0.write_call(headers, server, left);
    }

    fn read_reply(&self, _: &HeaderValue, _: StatusCode, _: &HeaderMap) -> ReplyHead {
        ReplyHead {
            has_matching_id: true,
            is_not_run: false,
            is_contradictory: false,
            is_other_server: false,
            is_encoded: false,
            proof: Some(HeaderValue::from_static("proof")),
            load: None,
            warmup_left: None,
            is_closing: true,
            keep_alive: None,
        }
    }

    fn write_gathered(&self, headers: &mut HeaderMap, proofs: &[HeaderValue], missing: usize) {
        self.0.write_gathered(headers, proofs, missing);
    }

    fn write_retry(&self, headers: &mut HeaderMap, wait: Duration) {
        self.0.write_retry(headers, wait);
    }

    fn ready_path(&self) -> &'static str {
        self.0.ready_path()
    }
}

/// Answers each request of each connection with an empty body.
async fn serve_empty_answers(listener: TcpListener) {
    loop {
        let (connection, _) = listener.accept().await.expect("a connection");
        tokio::spawn(answer_requests(connection));
    }
}

async fn answer_requests(mut connection: TcpStream) {
    let mut head = Vec::new();
    while connection.read_buf(&mut head).await.is_ok_and(|length| length > 0) {
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            // The node may have closed the connection meanwhile.
            let _ = connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        }
    }
}

/// A node that other nodes can connect to, and that never answers.
struct SilentNode {
    entry: NodeEntry,
    accepting: tokio::task::JoinHandle<()>,
}

impl SilentNode {
    async fn start(domain: &str) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let entry = NodeEntry {
            node: format!("{domain}-0").parse().expect("a name"),
            incarnation: Incarnation(1),
            domain: domain.parse().expect("a failure domain"),
            peer_address: listener.local_addr().expect("an address"),
            cpu_share: None,
        };
        let accepting = tokio::spawn(async move {
            let mut connections = Vec::new();
            loop {
                connections.push(listener.accept().await);
            }
        });
        Self { entry, accepting }
    }
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a name")
}

fn make_server(shard: &str, domain: &str, address: SocketAddr) -> ServerEntry {
    ServerEntry {
        id: format!("{shard}-i0").parse().expect("an id"),
        start: ServerStart(1),
        revision: EntryRevision::default(),
        service: service(shard),
        address,
        domain: domain.parse().expect("a failure domain"),
        slots: 1,
        is_draining: false,
        warmup: Duration::ZERO,
    }
}

/// Starts a node that connects to both silent nodes and knows a server of each shard.
async fn start_router(nodes: Vec<NodeEntry>) -> RunningRouter {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_empty_answers(listener));
    let lost = LOST_SHARDS.iter().map(|shard| make_server(shard, LOST_DOMAIN, address));
    let kept = KEPT_SHARDS.iter().map(|shard| make_server(shard, KEPT_DOMAIN, address));
    let feed = Arc::new(FakeFeed(ConstantTopics { nodes, servers: lost.chain(kept).collect() }));
    let format = Arc::new(ProvenReplies(NoFormat));
    let running = router_start::start(make_settings("own", 1.0), format, feed, String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    running
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_so() {
        assert!(started.elapsed() < MAX_WAIT, "{what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn find_peer(router: &Router, domain: &str) -> Option<Arc<PeerNode>> {
    let view = router.cluster.view();
    view.peers.iter().find(|peer| peer.entry.domain.as_str() == domain).cloned()
}

fn is_linked(router: &Router, domain: &str) -> bool {
    find_peer(router, domain).is_some_and(|peer| peer.link.is_open())
}

/// Creates a caller's request over all shards.
fn make_context(router: &Arc<Router>) -> AttemptContext {
    let shards: Vec<ServiceName> = LOST_SHARDS.iter().chain(&KEPT_SHARDS).map(|shard| service(shard)).collect();
    let route = RouteSpec {
        name: "all".parse().expect("a name"),
        host: "shop.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout: REQUEST_LIMIT,
        target_latency: REQUEST_LIMIT,
        max_attempts: 2,
        priority: Priority(0),
        allowed_regions: AllowedRegions::Any,
        is_auth_exempt: false,
        target: RouteTarget::Gather(GatherSpec { shards, top: 1, min_coverage: 0.5 }),
    };
    let now = router.clock.now();
    let head = CallerHead { request: HeaderValue::from_static("all-1"), deadline: None, key: PresentedKey::None };
    let (parts, ()) = Request::new(()).into_parts();
    let request = CallerRequest::new(head, parts, Bytes::new(), RequestArrival::at(now), REQUEST_LIMIT, false);
    AttemptContext {
        router: router.clone(),
        view: router.cluster.view(),
        route: Arc::new(route),
        request: Arc::new(request),
        allowed_regions: AllowedRegions::Any,
        team: None,
        priority: Priority(0),
        times: Arc::default(),
        retry_until: now.plus(REQUEST_LIMIT),
        request_share: 1.0,
        origin: RequestOrigin::Caller,
        canary: CanaryCall::over_shards(),
    }
}

/// Whether a thread of this process waits for something, such as a lock.
fn is_asleep(thread: &Path) -> bool {
    let stat = std::fs::read_to_string(Path::new("/proc").join(thread).join("stat")).unwrap_or_default();
    // The name of the thread, in parentheses, may contain spaces.
    stat.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('S'))
}

/// Runs a request over all shards. The node of one failure domain is lost once that domain has been found usable: by
/// then the request waits for the state of the other domain's node, which is locked here.
fn run_while_a_node_is_lost(runtime: &Runtime, router: &Arc<Router>, lost: &SilentNode) -> GatherOutcome {
    let context = make_context(router);
    let lost_peer = find_peer(router, LOST_DOMAIN).expect("the node that is lost");
    let kept_peer = find_peer(router, KEPT_DOMAIN).expect("the node that stays");
    let locked = kept_peer.state();
    let (sender, receiver) = mpsc::channel::<PathBuf>();
    let handle = runtime.handle().clone();
    let request = std::thread::spawn(move || {
        let RouteTarget::Gather(spec) = &context.route.target else { panic!("a route over shards") };
        sender.send(std::fs::read_link("/proc/thread-self").expect("this thread")).expect("a test that listens");
        handle.block_on(gather::run(&context, spec))
    });
    let thread = receiver.recv().expect("a thread that runs the request");
    wait_until("the request waits for the lock", || is_asleep(&thread));
    lost.accepting.abort();
    wait_until("the link is closed", || !lost_peer.link.is_open());
    drop(locked);
    request.join().expect("a request that ends")
}

#[test]
fn a_request_is_answered_if_a_failure_domain_loses_its_last_link_while_it_is_delegated() {
    let runtime = Runtime::new().expect("a runtime");
    let lost = runtime.block_on(SilentNode::start(LOST_DOMAIN));
    let kept = runtime.block_on(SilentNode::start(KEPT_DOMAIN));
    let running = runtime.block_on(start_router(vec![lost.entry.clone(), kept.entry.clone()]));
    let router = running.router.clone();
    let shards = LOST_SHARDS.len() + KEPT_SHARDS.len();
    wait_until("the servers are known", || router.cluster.view().services.len() == shards);
    wait_until("both links are open", || [LOST_DOMAIN, KEPT_DOMAIN].iter().all(|domain| is_linked(&router, domain)));
    let outcome = run_while_a_node_is_lost(&runtime, &router, &lost);
    let refusal = outcome.result.err().map(RefusalKind::name);
    assert_eq!(refusal, None, "missing: {}", outcome.missing);
    // The node that stays never answers, so its shards may be missing.
    let is_missing = |shard: &&str| outcome.missing.split(',').any(|missing| missing == *shard);
    assert!(!LOST_SHARDS.iter().any(is_missing), "missing: {}", outcome.missing);
}
