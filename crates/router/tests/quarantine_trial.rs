//! The trial of a quarantined content: its first call goes to one server, and the others follow if that server survives.
//!
//! The failure this test guards against: the calls to the other shards waited until the store had confirmed the end of
//! the quarantine. While the store did not answer, they were never sent, and the request was refused although the server
//! had survived.

mod fakes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{ContentId, CrashEntry, EntryRevision, FailureDomain, ServerEntry, ServerRun, ServerStart};
use streamfold_policy::MechanismSet;
use streamfold_policy::canary::CallPermission;
use streamfold_policy::crash_tracker::ContentStatus;
use streamfold_router::call::{EndedCall, ServerReply};
use streamfold_router::canary::CanaryCall;
use streamfold_router::domain::DomainState;
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedItem, FeedList, FeedPosition, FeedTopic};
use streamfold_router::server::{Server, ServerShared};
use streamfold_router::slow_periods::SlowPeriodTracker;
use streamfold_router::{Router, router_start};
use streamfold_store::StoreError;
use tokio::net::TcpListener;

/// The longest wait for a condition; longer than a passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(15);
/// The longest time that the first call may take; it must not end during the test.
const CANARY_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A store that lists all topics but does not confirm the end of a quarantine.
struct SilentTopics;

impl FakeTopics for SilentTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = match topic {
            FeedTopic::Routes => vec![make_table(1)],
            FeedTopic::Crashes => vec![FeedItem::Crash(make_entry())],
            FeedTopic::Servers | FeedTopic::Nodes | FeedTopic::Evacuations => Vec::new(),
        };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }

    fn remove_crash(&self) -> FeedFuture<'_, ()> {
        Box::pin(std::future::pending())
    }
}

fn content() -> ContentId {
    ContentId::of(&[b"content"])
}

/// The entry of a content in quarantine.
fn make_entry() -> CrashEntry {
    let run = |name: &str| ServerRun { id: name.parse().expect("an id"), start: ServerStart(1) };
    CrashEntry { content: content(), crashed: ["i-1", "i-2", "i-3"].map(run).to_vec(), trials: 1 }
}

async fn wait_until(is_met: impl Fn() -> bool) {
    let met = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, met).await.expect("the condition is met");
}

fn make_server(router: &Router, address: SocketAddr) -> Arc<Server> {
    let domain: FailureDomain = "zone-a".parse().expect("a failure domain");
    let shared = ServerShared {
        domain: Arc::new(DomainState::new(&domain, router.cluster.context())),
        slow_periods: Arc::new(SlowPeriodTracker::default()),
        mechanisms: MechanismSet::default(),
    };
    let entry = ServerEntry {
        id: "i-4".parse().expect("an id"),
        start: ServerStart(1),
        revision: EntryRevision::default(),
        service: "shard".parse().expect("a name"),
        address,
        domain,
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    };
    Server::new(&entry, shared, router.clock.now())
}

fn make_reply() -> ServerReply {
    let proof = Some(HeaderValue::from_static("proof"));
    ServerReply { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new(), proof }
}

#[tokio::test]
async fn the_other_calls_of_a_trial_do_not_wait_for_the_store() {
    let feed = Arc::new(FakeFeed(SilentTopics));
    let node =
        router_start::start(make_settings("own", 1.0), Arc::new(NoFormat), feed, String::new).await.expect("a node");
    let router = node.router.clone();
    wait_version(&router, 1).await;
    let status = || router.cluster.quarantine.status(router.clock.now(), content());
    wait_until(|| status() != ContentStatus::Clear).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let server = make_server(&router, listener.local_addr().expect("an address"));
    let canary = CanaryCall::trial();
    let permission = || canary.permission(router.clock.now(), status(), CANARY_TIMEOUT);
    assert_eq!(permission(), CallPermission::AsCanary);
    canary.note_sent(router.clock.now(), &server);
    canary.note_outcome(&router, content(), &EndedCall { server, result: Ok(make_reply()) });
    assert_eq!(permission(), CallPermission::Wait, "it is not known yet whether the server survives");
    wait_until(|| permission() == CallPermission::Allowed).await;
}
