//! A confirmed change was not in force in time: the watches of the routes were read by a store that said nothing then,
//! and were never answered. Nothing else told the nodes of the change in the time that the settings state.

mod fakes;
#[allow(dead_code, reason = "shared with other tests")]
mod lossy_store;

use std::sync::atomic::Ordering;
use std::time::Duration;

use lossy_store::{
    BOUNDS, CONTENT, FollowedNode, LAST_MOMENT, SILENCE, START_TIME, SharedStore, StatedBounds, TestNode, domain,
    moments, time_until,
};
use streamfold_model::TableVersion;
use streamfold_router::interface::FeedTopic;

/// How long a node may take to apply what it was told.
const APPLY_TIME: Duration = Duration::from_millis(100);
impl TestNode {
    /// Whether the last change of a topic is in force.
    fn is_in_force(&self, topic: FeedTopic, version: TableVersion) -> bool {
        let router = self.router();
        let cluster = &router.cluster;
        match topic {
            FeedTopic::Routes => cluster.version() == version,
            FeedTopic::Evacuations => cluster.evacuations().is_some_and(|list| list.domains.contains(&domain())),
            FeedTopic::Servers => cluster.entries(router.clock.now()).servers.iter().any(|server| server.is_draining),
            FeedTopic::Nodes => cluster.has_node(&"other".parse().expect("a name")),
            FeedTopic::Crashes => !cluster.quarantine.crashed(CONTENT.parse().expect("a content")).is_empty(),
        }
    }
}

/// The topics whose calls are lost together.
const LOST_TOPICS: [&[FeedTopic]; 6] = [
    &[FeedTopic::Routes],
    &[FeedTopic::Servers],
    &[FeedTopic::Evacuations],
    &[FeedTopic::Nodes, FeedTopic::Crashes],
    &[FeedTopic::Routes, FeedTopic::Servers],
    &FeedTopic::ALL,
];

/// Loses the calls of some topics just after a change, makes another change at a later moment, and returns whether that
/// one was in force in time.
async fn play(bounds: StatedBounds, lost: &[FeedTopic], changed: FeedTopic, moment: Duration) -> bool {
    let store = SharedStore::new();
    let node = TestNode::start(bounds.settings("own", 1.0), &store).await;
    time_until(START_TIME, || node.router().is_ready()).await.expect("a node that is ready");
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.change(FeedTopic::Routes);
    tokio::time::sleep(Duration::from_millis(18)).await;
    node.lose(lost, SILENCE);
    tokio::time::sleep(SILENCE + moment).await;
    store.change(changed);
    let bound = node.router().settings.known_within(changed);
    let version = TableVersion(store.0.borrow().version);
    time_until(bound - APPLY_TIME, || node.is_in_force(changed, version)).await.is_some()
}

#[tokio::test(start_paused = true)]
async fn a_change_after_lost_watches_is_in_force_in_time() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for lost in LOST_TOPICS {
            for changed in FeedTopic::ALL {
                if changed == FeedTopic::Evacuations && bounds.evacuated_ms.is_none() {
                    continue;
                }
                for moment in moments() {
                    if !play(bounds, lost, changed, moment).await {
                        late.push(format!("{changed} after {moment:?} with {lost:?} lost, {bounds:?}"));
                    }
                }
            }
        }
    }
    assert!(late.is_empty(), "{} changes were not in force in time, the first: {}", late.len(), late[0]);
}

impl FollowedNode {
    /// Changes the routes and returns whether the follower has them in force in time.
    async fn change_in_time(&self) -> bool {
        self.store.change(FeedTopic::Routes);
        let version = TableVersion(self.store.0.borrow().version);
        let router = self.follower.router();
        let bound = router.settings.known_within(FeedTopic::Routes);
        time_until(bound - APPLY_TIME, || router.cluster.version() == version).await.is_some()
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_after_lost_watches_of_the_reader_is_in_force_at_a_follower_in_time() {
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            let nodes = FollowedNode::start(bounds).await;
            nodes.reader.lose(&FeedTopic::ALL, SILENCE);
            tokio::time::sleep(SILENCE + moment).await;
            assert!(nodes.change_in_time().await, "after {moment:?}, {bounds:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_at_a_follower_in_time_while_its_reader_hears_nothing_of_the_store() {
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            let nodes = FollowedNode::start(bounds).await;
            nodes.reader.lose(&FeedTopic::ALL, LAST_MOMENT * 2);
            tokio::time::sleep(moment).await;
            assert!(nodes.change_in_time().await, "after {moment:?}, {bounds:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_of_a_node_that_hears_the_store_asks_nothing_itself() {
    for bounds in [BOUNDS[0], BOUNDS[2], BOUNDS[4]] {
        let nodes = FollowedNode::start(bounds).await;
        let before = nodes.follower.calls.load(Ordering::Relaxed);
        tokio::time::sleep(LAST_MOMENT).await;
        assert_eq!(nodes.follower.calls.load(Ordering::Relaxed), before, "{bounds:?}");
        assert!(nodes.change_in_time().await, "{bounds:?}");
    }
}
