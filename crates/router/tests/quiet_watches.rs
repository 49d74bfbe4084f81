//! A topic that rarely changes is watched for long, and its watch is renewed when the watch of servers tells that the
//! store has changed. Each topic was asked for every few seconds on calm days, because a connection to the store may
//! fall silent for good: of 294 calls of a calm day nearly all told nothing.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::TimeSpan;
use streamfold_router::interface::{FeedChange, FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// How long a watch may be silent where something may have changed.
const SILENCE: Duration = Duration::from_millis(20);

/// A store whose first watch of the routes has fallen silent. Its last change is one of the routes, of its number.
#[derive(Default)]
struct SilentNews {
    changes: AtomicU64,
    route_watches: AtomicU64,
    server_watches: AtomicU64,
}

impl SilentNews {
    fn told(&self) -> FeedPosition {
        FeedPosition(self.changes.load(Ordering::Relaxed))
    }

    fn changes_after(&self, position: FeedPosition) -> FeedChanges {
        let told = self.told();
        let changes = if told > position { vec![FeedChange::Put(make_table(told.0))] } else { Vec::new() };
        FeedChanges { changes, position: told }
    }
}

impl FakeTopics for SilentNews {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_table(self.told().0)] } else { Vec::new() };
        FeedList { items, position: self.told() }
    }

    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges> {
        match topic {
            FeedTopic::Routes if self.route_watches.fetch_add(1, Ordering::Relaxed) == 0 => {
                Box::pin(std::future::pending())
            }
            FeedTopic::Routes => Box::pin(async move {
                let news = self.changes_after(after);
                tokio::time::sleep(if news.changes.is_empty() { wait } else { Duration::ZERO }).await;
                Ok(news)
            }),
            FeedTopic::Servers => Box::pin(async move {
                tokio::time::sleep(wait).await;
                self.server_watches.fetch_add(1, Ordering::Relaxed);
                Ok(FeedChanges { changes: Vec::new(), position: self.told() })
            }),
            FeedTopic::Nodes | FeedTopic::Evacuations | FeedTopic::Crashes => Box::pin(std::future::pending()),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_watch_of_routes_is_renewed_when_another_watch_tells_of_a_change_and_not_before() {
    let mut settings = make_settings("own", 1.0);
    settings.silence_within = TimeSpan(SILENCE);
    let feed = Arc::new(FakeFeed(SilentNews { changes: AtomicU64::new(1), ..SilentNews::default() }));
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    while feed.0.server_watches.load(Ordering::Relaxed) < 10 {
        tokio::time::sleep(SILENCE).await;
    }
    assert_eq!(feed.0.route_watches.load(Ordering::Relaxed), 1, "nothing has changed");
    feed.0.changes.store(2, Ordering::Relaxed);
    wait_version(&running.router, 2).await;
}
