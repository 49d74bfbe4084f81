//! A watch has a long wait, and a topic whose watch may be silent is checked by a short call. While nothing changes, one
//! check confirms all topics. Restarting every watch every few seconds instead, because a connection to the store may
//! become silent for good, wastes calls: of 294 calls on a day without faults nearly all returned no change.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::TimeSpan;
use streamfold_policy::feed_checks::CHECK_WAIT;
use streamfold_router::interface::{FeedChange, FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::router_start;
use streamfold_store::StoreError;

/// The time within which changes must be known.
const BOUND: Duration = Duration::from_secs(4);
/// How long nothing changes.
const QUIET_TIME: Duration = Duration::from_secs(40);

/// A store whose watches never return. Every change is a route table whose version is the number of changes.
#[derive(Default)]
struct SilentTopics {
    changes: AtomicU64,
    watches: AtomicU64,
    route_watches: AtomicU64,
    checks: AtomicU64,
    route_checks: AtomicU64,
    /// Number of changes of topics that are not tested.
    other_changes: AtomicU64,
}

impl SilentTopics {
    fn position(&self) -> FeedPosition {
        FeedPosition(self.changes.load(Ordering::Relaxed) + self.other_changes.load(Ordering::Relaxed))
    }

    fn changes_after(&self, topic: FeedTopic, position: FeedPosition) -> FeedChanges {
        let last = self.position();
        let is_busy = self.other_changes.load(Ordering::Relaxed) > 0;
        let is_changed = topic == FeedTopic::Routes && !is_busy && last > position;
        let changes = if is_changed { vec![FeedChange::Put(make_table(last.0))] } else { Vec::new() };
        FeedChanges { changes, position: last }
    }
}

impl FakeTopics for SilentTopics {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_table(self.position().0)] } else { Vec::new() };
        FeedList { items, position: self.position() }
    }

    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges> {
        if wait == CHECK_WAIT {
            self.checks.fetch_add(1, Ordering::Relaxed);
            if topic == FeedTopic::Routes {
                self.route_checks.fetch_add(1, Ordering::Relaxed);
            }
            return Box::pin(std::future::ready(Ok(self.changes_after(topic, after))));
        }
        self.watches.fetch_add(1, Ordering::Relaxed);
        if topic == FeedTopic::Routes {
            self.route_watches.fetch_add(1, Ordering::Relaxed);
        }
        Box::pin(std::future::pending())
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_of_routes_is_restarted_only_after_a_check_finds_a_change() {
    let mut settings = make_settings("own", 1.0);
    settings.routes_within = TimeSpan(BOUND);
    settings.drained_within = TimeSpan(BOUND);
    settings.silence_within = TimeSpan(BOUND);
    let feed = Arc::new(FakeFeed(SilentTopics { changes: AtomicU64::new(1), ..SilentTopics::default() }));
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    tokio::time::sleep(QUIET_TIME).await;
    let count = |calls: &AtomicU64| calls.load(Ordering::Relaxed);
    assert_eq!(count(&feed.0.watches), 4, "nothing has changed, so one watch of each topic is enough");
    let checks = u64::try_from(QUIET_TIME.as_millis() * 2 / BOUND.as_millis()).expect("a number of checks");
    assert!(count(&feed.0.checks) <= checks, "one check confirms all topics, not {}", count(&feed.0.checks));
    feed.0.changes.store(2, Ordering::Relaxed);
    tokio::time::sleep(BOUND).await;
    wait_version(&running.router, 2).await;
    assert_eq!(count(&feed.0.route_watches), 2, "the silent watch is restarted once");
}

#[tokio::test(start_paused = true)]
async fn a_topic_costs_one_check_in_half_of_its_time_while_other_topics_change_all_the_time() {
    let mut settings = make_settings("own", 1.0);
    settings.routes_within = TimeSpan(BOUND);
    let feed = Arc::new(FakeFeed(SilentTopics { changes: AtomicU64::new(1), ..SilentTopics::default() }));
    let running = router_start::start(settings, Arc::new(NoFormat), feed.clone(), String::new).await.expect("a node");
    wait_version(&running.router, 1).await;
    let started = tokio::time::Instant::now();
    while started.elapsed() < QUIET_TIME {
        feed.0.other_changes.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let checks = u64::try_from(QUIET_TIME.as_millis() * 2 / BOUND.as_millis()).expect("a number of checks");
    let found = feed.0.route_checks.load(Ordering::Relaxed);
    assert!(found <= checks, "{found} checks of the routes, {checks} at most");
}
