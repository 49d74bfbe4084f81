//! A topic that rarely changes has a watch with a long timeout, which is restarted when the watch of servers reports
//! that the store has changed. Restarting every watch every few seconds instead, because a connection to the store may
//! become silent for good, wastes calls: of 294 calls on a day without faults nearly all returned no change.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::TimeSpan;
use streamfold_router::interface::{FeedChange, FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// How long a watch may be silent while the topic may have changed.
const SILENCE: Duration = Duration::from_millis(20);

/// A store whose first watch of the routes never returns. Every change is a route table whose version is the number of
/// changes.
#[derive(Default)]
struct SilentTopics {
    changes: AtomicU64,
    route_watches: AtomicU64,
    server_watches: AtomicU64,
}

impl SilentTopics {
    fn position(&self) -> FeedPosition {
        FeedPosition(self.changes.load(Ordering::Relaxed))
    }

    fn changes_after(&self, position: FeedPosition) -> FeedChanges {
        let last = self.position();
        let changes = if last > position { vec![FeedChange::Put(make_table(last.0, Vec::new()))] } else { Vec::new() };
        FeedChanges { changes, position: last }
    }
}

impl FakeTopics for SilentTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items =
            if topic == FeedTopic::Routes { vec![make_table(self.position().0, Vec::new())] } else { Vec::new() };
        FeedList { items, position: self.position() }
    }

    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges> {
        match topic {
            FeedTopic::Routes if self.route_watches.fetch_add(1, Ordering::Relaxed) == 0 => {
                Box::pin(std::future::pending())
            }
            FeedTopic::Routes => Box::pin(async move {
                let update = self.changes_after(after);
                tokio::time::sleep(if update.changes.is_empty() { wait } else { Duration::ZERO }).await;
                Ok(update)
            }),
            FeedTopic::Servers => Box::pin(async move {
                tokio::time::sleep(wait).await;
                self.server_watches.fetch_add(1, Ordering::Relaxed);
                Ok(FeedChanges { changes: Vec::new(), position: self.position() })
            }),
            FeedTopic::Nodes | FeedTopic::Evacuations | FeedTopic::Crashes => Box::pin(std::future::pending()),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_watch_of_routes_is_restarted_only_after_another_watch_reports_a_change() {
    let mut settings = make_settings("own", 1.0);
    settings.silence_within = TimeSpan(SILENCE);
    let feed = Arc::new(FakeFeed(SilentTopics { changes: AtomicU64::new(1), ..SilentTopics::default() }));
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    while feed.0.server_watches.load(Ordering::Relaxed) < 10 {
        tokio::time::sleep(SILENCE).await;
    }
    assert_eq!(feed.0.route_watches.load(Ordering::Relaxed), 1, "nothing has changed");
    feed.0.changes.store(2, Ordering::Relaxed);
    wait_version(&running.router, 2).await;
}
