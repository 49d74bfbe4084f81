//! Requests that end before a server is chosen. Each request whose head was read has a line with its id, also if its
//! caller leaves while it is being admitted, and each is answered, also if its body does not arrive.

mod fakes;

use std::collections::HashMap;
use std::fmt::Debug;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{
    AllowedRegions, EntryRevision, Incarnation, KeyDigest, NodeEntry, Priority, RouteKind, RouteSpec, RouteTable,
    RouteTarget, ServerEntry, ServerId, ServerStart, TableVersion, TeamDirectory, TeamKeys, TeamName, TeamSpec,
    TimeSpan, UsageLimit, WeightedService,
};
use streamfold_router::interface::{
    CallFormat, CallerHead, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic, HeadError,
    PresentedKey, ReplyHead,
};
use streamfold_router::{RouterSettings, RunningRouter, router_start};
use streamfold_store::StoreError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tracing::field::{Field, Visit};
use tracing::span;

/// Timeout for an answer or a log line, longer than a passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The interval at which the log is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The grace period of a stop, a little longer than the time in which a stopping node still accepts requests.
const SHORT_GRACE: Duration = Duration::from_secs(3);

/// The fields of a log line.
type LogLine = HashMap<&'static str, String>;

/// All log lines of the process.
static LOG: LazyLock<Mutex<Vec<LogLine>>> = LazyLock::new(|| {
    tracing::subscriber::set_global_default(LogCapture).expect("the only subscriber");
    Mutex::default()
});

struct LogCapture;

#[derive(Default)]
struct FieldReader(LogLine);

impl Visit for FieldReader {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name(), value.to_owned());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.0.insert(field.name(), format!("{value:?}"));
    }
}

impl tracing::Subscriber for LogCapture {
    fn enabled(&self, metadata: &tracing::Metadata<'_>) -> bool {
        metadata.target().starts_with("streamfold")
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}

    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let mut fields = FieldReader::default();
        event.record(&mut fields);
        LOG.lock().unwrap_or_else(PoisonError::into_inner).push(fields.0);
    }

    fn enter(&self, _: &span::Id) {}

    fn exit(&self, _: &span::Id) {}
}

/// Waits for the line of an event with a request's id.
async fn wait_line(event: &str, request: &str) -> LogLine {
    let started = Instant::now();
    loop {
        let lines = LOG.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let is_line = |line: &&LogLine| line["event"] == event && line.get("request").is_some_and(|id| id == request);
        if let Some(line) = lines.iter().find(is_line) {
            return line.clone();
        }
        assert!(started.elapsed() < MAX_WAIT, "no {event} of {request} in {lines:#?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A call format with the headers `x-request-id` and `x-deadline-ms`. Every request has the key of the only team, but for
/// those with `x-anonymous`.
struct FakeFormat {
    /// Notified when a request's team has been found.
    authenticated: Sender<()>,
}

impl CallFormat for FakeFormat {
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadError> {
        let request = headers.get("x-request-id").ok_or(HeadError::NoRequest)?.clone();
        let deadline = headers.get("x-deadline-ms").map(|value| value.to_str().ok().and_then(|text| text.parse().ok()));
        let deadline = deadline.map(|millis| millis.ok_or(HeadError::BadDeadline)).transpose()?;
        let key = if headers.contains_key("x-anonymous") { PresentedKey::None } else { PresentedKey::Key(key()) };
        Ok(CallerHead { request, deadline: deadline.map(Duration::from_millis), key })
    }

    fn write_team(&self, headers: &mut HeaderMap, team: Option<&TeamName>) {
        NoFormat.write_team(headers, team);
        // No test waits for it any more at its end.
        let _ = self.authenticated.send(());
    }

    fn write_call(&self, _: &mut HeaderMap, _: &ServerId, _: Duration) {}

    fn read_reply(&self, _: &HeaderValue, _: StatusCode, _: &HeaderMap) -> ReplyHead {
        unreachable!("nothing is sent to servers")
    }

    fn write_gathered(&self, _: &mut HeaderMap, _: &[HeaderValue], _: usize) {}

    fn write_retry(&self, _: &mut HeaderMap, _: Duration) {}

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

fn key() -> KeyDigest {
    KeyDigest::of(b"secret")
}

/// A store with the routes, the only node that grants credit and the only server.
struct FixedTopics {
    granter: SocketAddr,
    server: SocketAddr,
}

impl FixedTopics {
    fn items(&self, topic: FeedTopic) -> Vec<FeedItem> {
        match topic {
            FeedTopic::Routes => vec![FeedItem::Routes(Box::new(make_limited_table()))],
            FeedTopic::Nodes => vec![FeedItem::Node(NodeEntry {
                node: "granter".parse().expect("a name"),
                incarnation: Incarnation(1),
                domain: "zone-a".parse().expect("a failure domain"),
                peer_address: self.granter,
                cpu_share: None,
            })],
            FeedTopic::Servers => vec![FeedItem::Server(ServerEntry {
                id: "i-0".parse().expect("an id"),
                start: ServerStart(1),
                revision: EntryRevision::default(),
                service: "shop".parse().expect("a name"),
                address: self.server,
                domain: "zone-a".parse().expect("a failure domain"),
                slots: 2,
                is_draining: false,
                warmup: Duration::ZERO,
            })],
            FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
        }
    }
}

impl FakeTopics for FixedTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        FeedList { items: self.items(topic), position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// A route for a team with a limit and for anonymous callers, to a service with one server.
fn make_limited_table() -> RouteTable {
    let FeedItem::Routes(empty) = make_table(1) else { unreachable!("a table") };
    let service = WeightedService { service: "shop".parse().expect("a name"), weight: 1.0 };
    let route = RouteSpec {
        name: "route".parse().expect("a name"),
        host: "h".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout: 2 * MAX_WAIT,
        target_latency: 2 * MAX_WAIT,
        max_attempts: 2,
        priority: Priority(0),
        allowed_regions: AllowedRegions::Any,
        is_auth_exempt: true,
        target: RouteTarget::Split(vec![service]),
    };
    let team = TeamSpec {
        name: "blue".parse().expect("a name"),
        priority: None,
        allowed_regions: AllowedRegions::Any,
        limit: Some(UsageLimit { rate: 1.0, burst: 1.0 }),
    };
    let teams = TeamDirectory::build(vec![TeamKeys { team, keys: vec![key()] }]).expect("teams");
    RouteTable::build(TableVersion(1), vec![route], Vec::new(), empty.limits).expect("a table").with_teams(teams)
}

/// A node whose requests for credit and calls to the server are never answered.
struct TestNode {
    running: RunningRouter,
    authenticated: Receiver<()>,
    server: tokio::net::TcpListener,
    _granter: TcpListener,
}

impl TestNode {
    async fn start() -> Self {
        LazyLock::force(&LOG);
        let granter = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let granter_address = granter.local_addr().expect("an address");
        let server_address = server.local_addr().expect("an address");
        let feed = Arc::new(FakeFeed(FixedTopics { granter: granter_address, server: server_address }));
        let (sender, authenticated) = channel();
        let format = Arc::new(FakeFormat { authenticated: sender });
        let settings = RouterSettings { grace: TimeSpan(SHORT_GRACE), ..make_settings("own", 1.0) };
        let running = router_start::start(settings, format, feed, String::new).await.expect("a node");
        wait_version(&running.router, 1).await;
        let started = Instant::now();
        while ![FeedTopic::Nodes, FeedTopic::Servers].iter().all(|topic| running.router.is_listed(*topic)) {
            assert!(started.elapsed() < MAX_WAIT, "the nodes or servers are not listed");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Self { running, authenticated, server, _granter: granter }
    }

    /// Sends the head and the first bytes of the body of a request on a new connection.
    async fn send(&self, request: &str, headers: &str, body: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.running.router.settings.callers).await.expect("a connection");
        let text = format!("POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n{headers}\r\n{body}");
        caller.write_all(text.as_bytes()).await.expect("a sent request");
        caller
    }
}

/// Reads one answer with a JSON body.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.ends_with(b"}") {
        let mut chunk = [0; 1024];
        let read = tokio::time::timeout(MAX_WAIT, caller.read(&mut chunk)).await.expect("an answer in time");
        let length = read.expect("an answer");
        assert!(length > 0, "the connection was closed after {:?}", String::from_utf8_lossy(&answer));
        answer.extend_from_slice(&chunk[..length]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_leaves_while_it_is_admitted_has_its_line() {
    let node = TestNode::start().await;
    let caller = node.send("r-left", "", "").await;
    node.authenticated.recv_timeout(MAX_WAIT).expect("a request that is being admitted");
    drop(caller);
    wait_line("request", "r-left").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_not_complete_at_its_deadline_is_answered() {
    let node = TestNode::start().await;
    let mut caller = node.send("r-slow", "Content-Length: 5\r\nX-Deadline-Ms: 50\r\n", "abc").await;
    let answer = read_answer(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.ends_with("{\"error\":\"late\"}"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_cannot_be_read_has_its_line() {
    let node = TestNode::start().await;
    let mut too_long = node.send("r-long", "Content-Length: 5000\r\n", &"x".repeat(5_000)).await;
    let answer = read_answer(&mut too_long).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(wait_line("request_refused", "r-long").await["reason"], "too_long");
    drop(node.send("r-broken", "Content-Length: 5\r\n", "abc").await);
    assert_eq!(wait_line("request_refused", "r-broken").await["reason"], "bad_request");
    let mut late = node.send("r-late", "Content-Length: 5\r\nX-Deadline-Ms: 50\r\n", "abc").await;
    read_answer(&mut late).await;
    assert_eq!(wait_line("request_refused", "r-late").await["reason"], "late");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_node_abandons_at_its_stop_is_answered() {
    let node = TestNode::start().await;
    let mut caller = node.send("r-abandoned", "X-Anonymous: 1\r\nContent-Length: 0\r\n", "").await;
    let accepted = tokio::time::timeout(MAX_WAIT, node.server.accept()).await.expect("a call");
    let (mut call, _) = accepted.expect("a call");
    call.read_u8().await.expect("a sent call");
    node.running.stop().await;
    let answer = read_answer(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(answer.ends_with("{\"error\":\"lost\"}"), "{answer}");
    assert_eq!(wait_line("request", "r-abandoned").await["outcome"], "lost");
}
