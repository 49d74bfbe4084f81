//! Follows routes, servers and nodes in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use streamfold_store::StoreError;

use crate::border::{FeedPosition, FeedTopic};
use crate::cluster::NewsOrigin;
use crate::relay::{FeedSource, RelayFrame};
use crate::router::Router;

/// How long a watch of nodes waits in the store, since nodes matter little from one second to the
/// next: about the longest that it allows. The other watches wait as long as the settings say.
const NODES_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Pauses after changes, in which more of them may come that one call then brings. A server
/// that leaves must get no request 3 s after; nodes matter little from one second to the next.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);
const NODES_PAUSE: Duration = Duration::from_millis(3_000);
/// Pauses after a failed call: the first, doubled with each further one, and the longest. The
/// store's rates bear all nodes asking at the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// How long newer routes that another node has may take to arrive here as well, before they are
/// asked for.
const NEWER_WITHIN: Duration = Duration::from_millis(150);

/// What is known of one topic's feed.
struct FeedFollower {
    router: Arc<Router>,
    topic: FeedTopic,
    position: Option<FeedPosition>,
    failures: u32,
}

/// Follows a topic in the store until the node ends, whenever no other node is followed.
pub async fn follow(router: Arc<Router>, topic: FeedTopic) {
    let mut source = router.source.subscribe();
    // The sender lives as long as the router, so waiting for it cannot fail.
    while source.wait_for(|source| *source == FeedSource::Store).await.is_ok() {
        let mut follower = FeedFollower { router: router.clone(), topic, position: None, failures: 0 };
        tokio::select! {
            () = follower.run() => {}
            _ = source.wait_for(|source| *source != FeedSource::Store) => {}
        }
    }
}

/// Reads the routes from the store when another node has newer ones that do not arrive. While the
/// store is away the other nodes are asked for them instead.
pub async fn catch_up(router: Arc<Router>) {
    loop {
        router.newer_routes.notified().await;
        tokio::time::sleep(NEWER_WITHIN).await;
        if !router.is_behind() || !router.is_followed(FeedTopic::Routes) {
            continue;
        }
        tracing::info!(event = "routes_behind", version = %router.cluster.version());
        match router.feed.list(FeedTopic::Routes).await {
            Ok(list) => router.cluster.replace(router.clock.now(), list.items, FeedTopic::Routes, NewsOrigin::Store),
            Err(error) => tracing::warn!(event = "routes_not_read", %error),
        }
    }
}

impl FeedFollower {
    async fn run(&mut self) {
        loop {
            match self.step().await {
                Ok(position) => self.note_success(position),
                Err(StoreError::HistoryGone) => {
                    tracing::info!(event = "feed_history_gone", topic = %self.topic);
                    self.position = None;
                }
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    async fn step(&self) -> Result<FeedPosition, StoreError> {
        let Some(position) = self.position else { return self.list().await };
        let router = &self.router;
        let news = router.feed.watch(self.topic, position, self.watch_wait()).await?;
        if news.changes.is_empty() {
            return Ok(news.position);
        }
        // Taken before it is passed on: a node that begins to follow in between has it twice, and
        // the other way round it would miss it.
        router.cluster.apply(router.clock.now(), news.changes.clone(), self.topic, NewsOrigin::Store);
        router.outlet.publish(|| RelayFrame::Changed(self.topic, news.changes));
        tokio::time::sleep(self.pause()).await;
        Ok(news.position)
    }

    fn watch_wait(&self) -> Duration {
        match self.topic {
            FeedTopic::Routes | FeedTopic::Servers => self.router.settings.silence_within.0,
            FeedTopic::Nodes => NODES_WATCH_WAIT,
        }
    }

    fn pause(&self) -> Duration {
        match self.topic {
            FeedTopic::Routes => Duration::ZERO,
            FeedTopic::Servers => SERVERS_PAUSE,
            FeedTopic::Nodes => NODES_PAUSE,
        }
    }

    async fn list(&self) -> Result<FeedPosition, StoreError> {
        let router = &self.router;
        let list = router.feed.list(self.topic).await?;
        router.cluster.replace(router.clock.now(), list.items.clone(), self.topic, NewsOrigin::Store);
        router.outlet.publish(|| RelayFrame::Listed(self.topic, list.items));
        Ok(list.position)
    }

    fn note_success(&mut self, position: FeedPosition) {
        if self.failures > 0 {
            tracing::info!(event = "feed_regained", topic = %self.topic, failures = self.failures);
        }
        self.failures = 0;
        self.position = Some(position);
        self.router.set_followed(self.topic, true);
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            tracing::warn!(event = "feed_lost", topic = %self.topic, %error);
        }
        metrics::counter!("streamfold_feed_failures_total").increment(1);
        self.router.set_followed(self.topic, false);
        // What changed while a watch was cut may be hidden from the next one, so everything is
        // listed again.
        self.position = None;
        let pause = (FIRST_PAUSE * 2u32.pow(self.failures.min(6))).min(MAX_PAUSE);
        self.failures += 1;
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

/// Registers this node for the others, however often it takes.
pub async fn announce(router: &Router) {
    let entry = router.own_entry();
    let mut failures = 0;
    while let Err(error) = router.feed.announce(&entry).await {
        if failures == 0 {
            tracing::warn!(event = "announce_failed", %error);
        }
        let pause = (FIRST_PAUSE * 2u32.pow(failures.min(6))).min(MAX_PAUSE);
        failures += 1;
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
    tracing::info!(event = "announced", node = %entry.node, incarnation = %entry.incarnation);
}
