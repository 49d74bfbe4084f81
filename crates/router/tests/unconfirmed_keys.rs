//! Keys lose their force when they were not confirmed for a stated time. That time began only when the node noticed that
//! it had lost the store: after calls that were lost without an error, taken keys had force for up to twice the time.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::TimeSpan;
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_router::settings::KeySettings;
use streamfold_store::StoreError;

/// The time within which a taken key must have no more force.
const WITHIN: Duration = Duration::from_millis(400);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A store whose watches never return, and which later can no longer be reached.
#[derive(Default)]
struct VanishingTopics {
    is_gone: AtomicBool,
}

impl FakeTopics for VanishingTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        if self.is_gone.load(Ordering::Relaxed) { Err(StoreError::Unreachable) } else { Ok(self.list_one_page(topic)) }
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_table(1)] } else { Vec::new() };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_unconfirmed_since_the_last_answer_and_not_since_the_loss_was_noticed() {
    let mut settings = make_settings("own", 1.0);
    settings.keys = Some(KeySettings { strict: Some(true), within: TimeSpan(WITHIN) });
    let feed = Arc::new(FakeFeed(VanishingTopics::default()));
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    let router = &running.router;
    wait_version(router, 1).await;
    feed.0.is_gone.store(true, Ordering::Relaxed);
    while router.is_followed(FeedTopic::Routes) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let unfollowed = router.unfollowed_for(FeedTopic::Routes);
    assert!(unfollowed >= WITHIN, "the last answer was {unfollowed:?} ago");
}
