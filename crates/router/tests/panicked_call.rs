//! A panic while an admitted request is served. The request must be counted as panicked, not as one whose caller has
//! left, and the call that it had begun must no longer count as running on its server.

mod fakes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use http::{HeaderMap, HeaderValue, StatusCode};
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use streamfold_model::{
    AllowedRegions, EntryRevision, Priority, RouteKind, RouteSpec, RouteTable, RouteTarget, ServerEntry, ServerId,
    ServerStart, ServiceName, TableVersion, TeamName, WeightedService,
};
use streamfold_policy::Moment;
use streamfold_router::interface::{
    CallFormat, CallerHead, FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic, HeadError,
    PresentedKey, ReplyHead,
};
use streamfold_router::{Router, router_start};
use streamfold_store::StoreError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout for an answer, longer than a passing test takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the test checks whether the node is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The counter of requests, which is labelled with their outcomes.
const REQUEST_COUNTER: &str = "streamfold_requests_total";

fn service_name() -> ServiceName {
    "service".parse().expect("a name")
}

/// A call format that panics when it writes a call to a server.
struct PanickingFormat;

impl CallFormat for PanickingFormat {
    fn read_caller(&self, _: &HeaderMap) -> Result<CallerHead, HeadError> {
        Ok(CallerHead { request: HeaderValue::from_static("r"), deadline: None, key: PresentedKey::None })
    }

    fn write_team(&self, headers: &mut HeaderMap, team: Option<&TeamName>) {
        NoFormat.write_team(headers, team);
    }

    fn write_call(&self, _: &mut HeaderMap, _: &ServerId, _: Duration) {
        panic!("writing a call fails");
    }

    fn read_reply(&self, request: &HeaderValue, status: StatusCode, headers: &HeaderMap) -> ReplyHead {
        NoFormat.read_reply(request, status, headers)
    }

    fn write_gathered(&self, headers: &mut HeaderMap, proofs: &[HeaderValue], missing: usize) {
        NoFormat.write_gathered(headers, proofs, missing);
    }

    fn write_retry(&self, headers: &mut HeaderMap, wait: Duration) {
        NoFormat.write_retry(headers, wait);
    }

    fn ready_path(&self) -> &'static str {
        NoFormat.ready_path()
    }
}

/// A store with one route to one server.
struct OneServer(SocketAddr);

impl OneServer {
    fn route() -> RouteSpec {
        let single = WeightedService { service: service_name(), weight: 1.0 };
        RouteSpec {
            name: "route".parse().expect("a name"),
            host: "h".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RouteKind::Repeatable,
            timeout: ANSWER_TIMEOUT,
            target_latency: ANSWER_TIMEOUT,
            max_attempts: 1,
            priority: Priority(0),
            allowed_regions: AllowedRegions::Any,
            is_auth_exempt: true,
            target: RouteTarget::Split(vec![single]),
        }
    }

    /// A table with the route and the limits of the other tests.
    fn table() -> FeedItem {
        let FeedItem::Routes(empty) = make_table(1) else { unreachable!("a table") };
        let table = RouteTable::build(TableVersion(1), vec![Self::route()], Vec::new(), empty.limits);
        FeedItem::Routes(Box::new(table.expect("a table")))
    }

    fn server(&self) -> ServerEntry {
        ServerEntry {
            id: "server".parse().expect("an id"),
            start: ServerStart(1),
            revision: EntryRevision::default(),
            service: service_name(),
            address: self.0,
            domain: "zone-a".parse().expect("a failure domain"),
            slots: 2,
            is_draining: false,
            warmup: Duration::ZERO,
        }
    }
}

impl FakeTopics for OneServer {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => vec![Self::table()],
            FeedTopic::Servers => vec![FeedItem::Server(self.server())],
            FeedTopic::Nodes | FeedTopic::Evacuations | FeedTopic::Crashes => Vec::new(),
        };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// A metrics recorder that keeps the outcomes of requests.
#[derive(Default)]
struct OutcomeRecorder {
    outcomes: Mutex<Vec<String>>,
}

impl OutcomeRecorder {
    fn outcomes(&self) -> Vec<String> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Recorder for OutcomeRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        if key.name() == REQUEST_COUNTER {
            let outcomes = key.labels().map(|label| label.value().to_owned());
            self.outcomes.lock().unwrap_or_else(PoisonError::into_inner).extend(outcomes);
        }
        Counter::noop()
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

async fn wait_ready(router: &Router) {
    wait_version(router, 1).await;
    while !router.is_ready() {
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
}

/// Sends a request and reads the start of its answer.
async fn read_answer(callers: SocketAddr) -> String {
    let mut caller = TcpStream::connect(callers).await.expect("a connection");
    caller.write_all(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("a sent request");
    let mut answer = vec![0; 1_024];
    let read = tokio::time::timeout(ANSWER_TIMEOUT, caller.read(&mut answer)).await.expect("an answer in time");
    answer.truncate(read.expect("an answer"));
    String::from_utf8_lossy(&answer).into_owned()
}

/// The calls that count as running on the server.
fn running_calls(router: &Router) -> Vec<u32> {
    let view = router.cluster.view();
    let servers = view.services[&service_name()].usable(Moment::default(), &AllowedRegions::Any);
    servers.map(|server| server.state().running()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_panic_in_an_admitted_request_is_counted_and_ends_its_call() {
    let recorder = Arc::new(OutcomeRecorder::default());
    assert!(metrics::set_global_recorder(recorder.clone()).is_ok());
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let feed = Arc::new(FakeFeed(OneServer(server.local_addr().expect("an address"))));
    let settings = make_settings("own", 1.0);
    let callers = settings.callers;
    let running = router_start::start(settings, Arc::new(PanickingFormat), feed, String::new).await.expect("a node");
    wait_ready(&running.router).await;
    let answer = read_answer(callers).await;
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert_eq!(recorder.outcomes(), ["panicked"]);
    assert_eq!(running_calls(&running.router), [0]);
}
