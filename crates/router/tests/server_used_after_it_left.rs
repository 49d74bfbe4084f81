//! Requests reached a server later after its entry had gone than the settings allow. A node learnt of it late, since its
//! watch was lost or the node that it follows had fallen silent, and then used the server for a constant time more as a
//! last resort.

mod fakes;
#[allow(dead_code, reason = "shared with other tests")]
mod lossy_store;

use std::time::Duration;

use lossy_store::{
    BOUNDS, FollowedNode, LAST_MOMENT, SILENCE, START_TIME, SharedStore, StatedBounds, TestNode, moments, time_until,
};
use streamfold_model::AllowedRegions;
use streamfold_router::interface::FeedTopic;
use streamfold_router::server::Server;
use tokio::time::Instant;

/// The topics whose calls are lost together.
const LOST_TOPICS: [&[FeedTopic]; 3] =
    [&[FeedTopic::Servers], &[FeedTopic::Routes, FeedTopic::Servers], &FeedTopic::ALL];
/// The interval at which a test checks what a node knows.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a follower's reader may have been silent when a server leaves: the time between two heartbeats.
const SILENT_FOR: [u64; 4] = [0, 125, 250, 375];

impl TestNode {
    /// How much longer the node uses the server; `None` while it has not learnt that the entry is gone.
    fn used_for(&self) -> Option<Duration> {
        let router = self.router();
        let now = router.clock.now();
        let view = router.cluster.view();
        let servers: Vec<_> =
            view.services.values().flat_map(|service| service.usable(now, &AllowedRegions::Any)).collect();
        let Some(server) = servers.first() else { return Some(Duration::ZERO) };
        Server::usable_until(server).map(|until| until.since(now))
    }

    /// How long after now the node uses the server for the last time, at most; `None` if it does not learn within
    /// `bound` that the entry is gone.
    async fn last_use(&self, bound: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() <= bound {
            if let Some(used_for) = self.used_for() {
                return Some(started.elapsed() + used_for);
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        None
    }
}

/// Plays a departure and describes it if the server is used for too long after it.
async fn find_late_use(node: &TestNode, store: &SharedStore, bounds: StatedBounds, case: String) -> Option<String> {
    let bound = Duration::from_millis(bounds.drain_ms);
    assert_eq!(node.used_for(), None, "the server has an entry");
    store.remove_server();
    let last_use = node.last_use(bound).await;
    last_use.is_none_or(|last_use| last_use >= bound).then(|| format!("{last_use:?} {case}, {bounds:?}"))
}

fn check_none(late: &[String]) {
    assert!(late.is_empty(), "{} servers were used for too long, the first: {}", late.len(), late[0]);
}

/// Guards against a grace period that starts when a lost watch is found, for a node that reads the store itself.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_while_the_watch_was_lost_is_not_used_for_too_long() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for lost in LOST_TOPICS {
            for moment in moments() {
                let store = SharedStore::new();
                let node = TestNode::start(bounds.settings("own", 1.0), &store).await;
                time_until(START_TIME, || node.router().is_ready()).await.expect("a node that is ready");
                tokio::time::sleep(Duration::from_secs(1)).await;
                store.change(FeedTopic::Routes);
                tokio::time::sleep(Duration::from_millis(18)).await;
                node.lose(lost, SILENCE);
                tokio::time::sleep(SILENCE + moment).await;
                late.extend(find_late_use(&node, &store, bounds, format!("{lost:?} lost {moment:?} before")).await);
            }
        }
    }
    check_none(&late);
}

/// Guards against a grace period that starts when a silent reader is given up, for a node that follows it.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_while_the_reader_was_silent_is_not_used_for_too_long() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            for silent_for in SILENT_FOR.map(Duration::from_millis) {
                let nodes = FollowedNode::start_with_link(bounds).await;
                tokio::time::sleep(moment).await;
                nodes.link.as_ref().expect("a link").silence();
                tokio::time::sleep(silent_for).await;
                let case = format!("after {moment:?}, the reader silent for {silent_for:?}");
                late.extend(find_late_use(&nodes.follower, &nodes.store, bounds, case).await);
            }
        }
    }
    check_none(&late);
}

/// Guards against a follower that takes the age of its reader's knowledge for younger than it is.
#[tokio::test(start_paused = true)]
async fn a_server_that_left_while_the_reader_heard_nothing_is_not_used_for_too_long() {
    let mut late = Vec::new();
    for bounds in BOUNDS {
        for moment in moments().step_by(4) {
            let nodes = FollowedNode::start_with_link(bounds).await;
            nodes.reader.lose(&FeedTopic::ALL, LAST_MOMENT * 2);
            tokio::time::sleep(moment).await;
            let case = format!("the reader without the store for {moment:?}");
            late.extend(find_late_use(&nodes.follower, &nodes.store, bounds, case).await);
        }
    }
    check_none(&late);
}

/// Guards against live servers that are not used any more since the store lost their entries as it failed.
#[tokio::test(start_paused = true)]
async fn a_server_whose_entry_was_lost_while_the_store_failed_is_used_on() {
    for bounds in BOUNDS {
        let store = SharedStore::new();
        let node = TestNode::start(bounds.settings("own", 1.0), &store).await;
        time_until(START_TIME, || node.router().is_ready()).await.expect("a node that is ready");
        let outage = Duration::from_millis(bounds.drain_ms) * 2;
        node.lose(&FeedTopic::ALL, outage);
        tokio::time::sleep(outage).await;
        store.remove_server();
        let used_on = async {
            loop {
                if let Some(used_for) = node.used_for() {
                    return used_for;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        let used_for =
            tokio::time::timeout(LAST_MOMENT, used_on).await.expect("the node learns that the entry is gone");
        assert!(!used_for.is_zero(), "{bounds:?}");
    }
}
