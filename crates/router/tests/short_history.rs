//! A store that keeps no history is listed again with pauses.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// The longest wait for the second listing; longer than a passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const OBSERVED: Duration = Duration::from_millis(500);
/// With pauses a topic is listed a few times in that time, and without them thousands of times.
const MAX_LISTINGS: u64 = 50;

/// A store in which the history after every position is gone.
#[derive(Default)]
struct ForgetfulTopics {
    route_listings: AtomicU64,
}

impl FakeTopics for ForgetfulTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        self.route_listings.fetch_add(u64::from(topic == FeedTopic::Routes), Ordering::Relaxed);
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_table(1)] } else { Vec::new() };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(async {
            tokio::task::yield_now().await;
            Err(StoreError::HistoryGone)
        })
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_without_history_is_listed_again_with_pauses() {
    let feed = Arc::new(FakeFeed(ForgetfulTopics::default()));
    let settings = make_settings("own", 1.0);
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    let count_listings = || feed.0.route_listings.load(Ordering::Relaxed);
    let listed_again = async {
        while count_listings() < 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, listed_again).await.expect("the routes are listed again");
    tokio::time::sleep(OBSERVED).await;
    let listings = count_listings();
    assert!(listings < MAX_LISTINGS, "{listings} listings");
}
