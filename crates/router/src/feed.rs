//! Follows routes, servers and nodes in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::watch_timeout::{self, WatchProgress};
use streamfold_store::StoreError;

use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::interface::{FeedChanges, FeedList, FeedPosition, FeedTopic, ListAge};
use crate::listing::{KnownEntries, RelaySnapshot};
use crate::relay::{FeedSource, RelayFrame};
use crate::router::Router;
use crate::store_call::{self, CallReason};
use crate::store_turn::{backoff_delay, is_refusal_error};

/// Pauses after changes, in which more of them may come that one call then brings. A server
/// that leaves must get no request 3 s after; nodes matter little from one second to the next.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);
const NODES_PAUSE: Duration = Duration::from_millis(3_000);
/// How long newer routes that another node has may take to arrive here as well, before they are
/// asked for.
const NEWER_WITHIN: Duration = Duration::from_millis(150);

/// What is known of one topic's feed.
struct FeedFollower {
    router: Arc<Router>,
    topic: FeedTopic,
    position: Option<FeedPosition>,
    failures: u32,
    /// Whether the next listing may be stale: the history that a stale one needs may be gone.
    may_be_stale: bool,
    /// Why the topic is listed next.
    list_reason: CallReason,
}

/// Follows a topic in the store until the node ends, whenever no other node is followed.
pub async fn follow(router: Arc<Router>, topic: FeedTopic) {
    let mut source = router.source.subscribe();
    // The sender lives as long as the router, so waiting for it cannot fail.
    while source.wait_for(|source| *source == FeedSource::Store).await.is_ok() {
        let mut follower = FeedFollower {
            router: router.clone(),
            topic,
            position: None,
            failures: 0,
            may_be_stale: topic == FeedTopic::Crashes,
            list_reason: CallReason::Begin,
        };
        tokio::select! {
            () = follower.run() => {}
            () = wait_resumed(&router) => router.set_followed(topic, false),
            // What makes one connection to the store fall silent does so to all of them.
            () = wait_servers_lost(&router), if topic.relies_on_servers() => {}
            _ = source.wait_for(|source| *source != FeedSource::Store) => {}
        }
    }
}

/// Waits until the machine was suspended.
pub(crate) async fn wait_resumed(router: &Router) {
    let mut suspended_for = router.suspended_for.subscribe();
    // The sender lives as long as the router.
    let _ = suspended_for.changed().await;
}

/// Waits until servers' entries are not followed any more, whose watch is soon known to be silent.
async fn wait_servers_lost(router: &Router) {
    let mut changed = router.feed_changed.subscribe();
    for is_followed in [true, false] {
        while router.is_followed(FeedTopic::Servers) != is_followed {
            // The sender lives as long as the router.
            let _ = changed.changed().await;
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
        let list = router.feed.list(FeedTopic::Routes, ListAge::Fresh);
        match store_call::run(FeedTopic::Routes, CallReason::Behind, list).await {
            Ok(list) => {
                router.cluster.replace(router.clock.now(), list.items.clone(), FeedTopic::Routes, UpdateOrigin::Store);
                // Who follows this node would not hear of them: what it has, its own reader leaves out.
                router.relay_publisher.publish(|| RelayFrame::Listed(FeedTopic::Routes, list.items));
            }
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
                    self.may_be_stale = false;
                    self.list_reason = CallReason::HistoryGone;
                }
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    async fn step(&self) -> Result<FeedPosition, StoreError> {
        let Some(position) = self.position else { return self.list().await };
        let router = &self.router;
        let watch = router.feed.watch(self.topic, position, self.watch_wait(position));
        let news = tokio::select! {
            news = store_call::run(self.topic, CallReason::Watch, watch) => news?,
            () = self.wait_overdue(position) => return Ok(position),
        };
        if news.changes.is_empty() {
            return Ok(news.position);
        }
        let position = news.position;
        self.take_changes(news);
        tokio::time::sleep(self.pause()).await;
        Ok(position)
    }

    /// Takes changes and passes them on. They are taken first: a node that begins to follow in between
    /// has them twice, and the other way round it would miss them.
    fn take_changes(&self, news: FeedChanges) {
        let router = &self.router;
        if self.topic != FeedTopic::Evacuations {
            router.cluster.apply(router.clock.now(), news.changes.clone(), self.topic, UpdateOrigin::Store);
            router.relay_publisher.publish(|| RelayFrame::Changed(self.topic, news.changes));
        } else if let Some(known) = router.cluster.evacuations() {
            self.take_evacuations(known.with_changes(&news.changes, news.position));
        }
    }

    fn take_list(&self, list: FeedList) {
        let router = &self.router;
        if self.topic == FeedTopic::Evacuations {
            return self.take_evacuations(EvacuationList::from_list(&list));
        }
        if matches!(self.topic, FeedTopic::Servers | FeedTopic::Nodes) {
            return self.take_entries(list);
        }
        router.cluster.replace(router.clock.now(), list.items.clone(), self.topic, UpdateOrigin::Store);
        router.relay_publisher.publish(|| RelayFrame::Listed(self.topic, list.items));
    }

    /// Takes all servers or nodes, and passes on what was not known before.
    fn take_entries(&self, list: FeedList) {
        let router = &self.router;
        let known = KnownEntries::of(router).digest(router.cluster.version());
        router.cluster.replace(router.clock.now(), list.items, self.topic, UpdateOrigin::Store);
        router
            .relay_publisher
            .publish(|| RelayFrame::Snapshot(Box::new(RelaySnapshot::make(router, &KnownEntries::of(router), &known))));
    }

    fn take_evacuations(&self, list: EvacuationList) {
        let router = &self.router;
        router.cluster.offer_evacuations(router.clock.now(), list.clone(), UpdateOrigin::Store);
        router.relay_publisher.publish(|| RelayFrame::Evacuations(list));
    }

    /// A watch goes on from what a stale listing shows, so nothing of crashes is missed by it. Other topics
    /// are listed where much depends on the moment.
    fn list_age(&self) -> ListAge {
        if self.may_be_stale { ListAge::MayBeStale } else { ListAge::Fresh }
    }

    /// How long a watch waits in the store. Nodes matter little from one second to the next, and for crashes the watch
    /// of servers tells that connections fell silent. That one is renewed as often as the settings say; routes and
    /// evacuations rely on what it tells.
    fn watch_wait(&self, position: FeedPosition) -> Duration {
        match self.topic {
            FeedTopic::Servers => self.router.settings.silence_within.0,
            FeedTopic::Routes | FeedTopic::Evacuations => watch_timeout::choose_timeout(&self.watch_ask(position)),
            FeedTopic::Nodes | FeedTopic::Crashes => watch_timeout::MAX_TIMEOUT,
        }
    }

    fn watch_ask(&self, position: FeedPosition) -> WatchProgress {
        let told = self.router.reported_position.borrow().0;
        WatchProgress {
            topic_revision: position.0,
            store_revision: told,
            silence_within: self.router.settings.silence_within.0,
        }
    }

    /// Waits until a watch that has just begun is to be begun anew, since its connection may have fallen silent.
    async fn wait_overdue(&self, position: FeedPosition) {
        let relies = matches!(self.topic, FeedTopic::Routes | FeedTopic::Evacuations);
        let ask = self.watch_ask(position);
        // A short one ends by itself.
        if !relies || watch_timeout::choose_timeout(&ask) <= ask.silence_within {
            return std::future::pending().await;
        }
        tokio::time::sleep(ask.silence_within).await;
        let mut told = self.router.reported_position.subscribe();
        let is_overdue = |told: &FeedPosition| {
            watch_timeout::is_overdue(&WatchProgress { store_revision: told.0, ..ask }, ask.silence_within)
        };
        // The sender lives as long as the router.
        let _ = told.wait_for(is_overdue).await;
    }

    fn pause(&self) -> Duration {
        match self.topic {
            FeedTopic::Routes | FeedTopic::Evacuations | FeedTopic::Crashes => Duration::ZERO,
            FeedTopic::Servers => SERVERS_PAUSE,
            FeedTopic::Nodes => NODES_PAUSE,
        }
    }

    async fn list(&self) -> Result<FeedPosition, StoreError> {
        let router = &self.router;
        let list = router.feed.list(self.topic, self.list_age());
        let list = router.store_breaker.call(store_call::run(self.topic, self.list_reason, list)).await?;
        let position = list.position;
        self.take_list(list);
        Ok(position)
    }

    fn note_success(&mut self, position: FeedPosition) {
        if self.failures > 0 {
            tracing::info!(event = "feed_regained", topic = %self.topic, failures = self.failures);
        }
        self.failures = 0;
        self.position = Some(position);
        self.router.note_reported_position(position);
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
        self.list_reason = CallReason::AfterFailure;
        self.failures += 1;
        if is_refusal_error(error) {
            // The next call waits for its turn, also where this one was a watch.
            self.router.store_breaker.require_probe();
        } else {
            tokio::time::sleep(backoff_delay(self.failures - 1)).await;
        }
    }
}

/// Registers this node for the others, however often it takes.
pub async fn announce(router: &Router) {
    let entry = router.own_entry();
    let mut failures = 0;
    let is_listed = router.cluster.has_node(&entry.node);
    let register = || store_call::run(FeedTopic::Nodes, CallReason::Register, router.feed.announce(&entry, is_listed));
    while let Err(error) = router.store_breaker.call(register()).await {
        if failures == 0 {
            tracing::warn!(event = "announce_failed", %error);
        }
        tokio::time::sleep(backoff_delay(failures)).await;
        failures += 1;
    }
    tracing::info!(event = "announced", node = %entry.node, incarnation = %entry.incarnation);
}
