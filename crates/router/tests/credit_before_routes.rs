//! A restarted node grants no credit before it knows the limits. Other nodes still send it credit requests as they did
//! before the restart, and a node that did not know the limit would grant everything requested.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_link::{PeerError, PeerLink};
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_router::usage::{CreditAction, CreditReply, CreditRequest, PATH_CREDIT};
use streamfold_store::StoreError;

/// Timeout of a call, longer than any answer takes.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A store with this version of the routes; unreachable if `None`.
struct FixedNews(Option<u64>);

impl FakeTopics for FixedNews {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        if self.0.is_some() { Ok(self.list_one_page(topic)) } else { Err(StoreError::Unreachable) }
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let routes = self.0.filter(|_| topic == FeedTopic::Routes);
        FeedList {
            items: routes.map(|version| make_table(version, Vec::new())).into_iter().collect(),
            position: FeedPosition(1),
        }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// Asks a node for credit of a team.
async fn request_credit(link: &Arc<PeerLink>, action: CreditAction) -> Result<CreditReply, PeerError> {
    let request = CreditRequest { team: "blue".parse().expect("a name"), action, caller: None };
    link.call(PATH_CREDIT, &request, TIMEOUT).await
}

/// Starts a node, with routes of this version if any, and checks that it refuses credit requests.
async fn assert_grants_none(version: Option<u64>) {
    let settings = make_settings("asked", 1.0);
    let link = PeerLink::new(settings.peers);
    let feed = Arc::new(FakeFeed(FixedNews(version)));
    let node = router_start::start(settings, Arc::new(NoFormat), feed, String::new).await.expect("a node");
    if let Some(version) = version {
        wait_version(&node.router, version).await;
    }
    for action in [CreditAction::Take, CreditAction::Lend(7)] {
        let answer = request_credit(&link, action).await;
        assert!(matches!(answer, Err(PeerError::BadStatus(503))), "{action:?}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_routes_grants_no_credit() {
    assert_grants_none(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_routes_lack_the_team_grants_it_no_credit() {
    assert_grants_none(Some(1)).await;
}
