//! A node that has just started gives no credit before it knows the limits: others still ask it, since its run before
//! dealt out credit, and it granted whatever it was asked for.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_link::{PeerError, PeerLink};
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_router::usage::{CreditAction, CreditReply, CreditRequest, PATH_CREDIT};
use streamfold_store::StoreError;

/// Longer than an answer takes.
const WITHIN: Duration = Duration::from_secs(5);

/// A store with these routes, if any.
struct FixedNews(Option<u64>);

impl FakeTopics for FixedNews {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        if self.0.is_some() { Ok(self.list_one_page(topic)) } else { Err(StoreError::Unreachable) }
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let routes = self.0.filter(|_| topic == FeedTopic::Routes);
        FeedList { items: routes.map(make_table).into_iter().collect(), position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

/// What a node answers to whoever asks for credit of a team.
async fn ask(link: &Arc<PeerLink>, ask: CreditAction) -> Result<CreditReply, PeerError> {
    let request = CreditRequest { team: "blue".parse().expect("a name"), ask, caller: None };
    link.call(PATH_CREDIT, &request, WITHIN).await
}

async fn assert_gives_none(version: Option<u64>) {
    let settings = make_settings("asked", 1.0);
    let link = PeerLink::new(settings.peers);
    let feed = Arc::new(FakeFeed(FixedNews(version)));
    let node = router_start::start(settings, Arc::new(NoFormat), feed, String::new).await.expect("a node");
    if let Some(version) = version {
        wait_version(&node.router, version).await;
    }
    for kind in [CreditAction::Take, CreditAction::Lend(7)] {
        let answer = ask(&link, kind).await;
        assert!(matches!(answer, Err(PeerError::BadStatus(503))), "{kind:?}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_routes_gives_no_credit() {
    assert_gives_none(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_routes_do_not_name_the_team_gives_it_no_credit() {
    assert_gives_none(Some(1)).await;
}
