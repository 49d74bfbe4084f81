//! Watches the topics of the platform's store and applies their changes to this node's cluster state.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::watch_timeout::{self, WatchProgress};
use streamfold_store::StoreError;
use tokio::time::Instant;

use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::freshness::{ConfirmSource, ConfirmedAnswer};
use crate::interface::{FeedChanges, FeedList, FeedPosition, FeedTopic, ListAge};
use crate::listing::{KnownEntries, RelaySnapshot};
use crate::relay::{FeedSource, RelayFrame};
use crate::router::Router;
use crate::store_call::{self, CallReason};
use crate::store_turn::{backoff_delay, is_refusal_error};

/// Delay after a change before the next watch, so that one call returns all changes of that time. The limit for
/// requests to a server that has left is 3 s; changes of nodes are not urgent.
const SERVERS_COALESCING_DELAY: Duration = Duration::from_millis(200);
const NODES_COALESCING_DELAY: Duration = Duration::from_millis(3_000);
/// How long this node waits for newer routes that another node already has before it reads them from the store.
const CATCH_UP_DELAY: Duration = Duration::from_millis(150);

/// The state of watching one topic.
struct TopicWatcher {
    router: Arc<Router>,
    topic: FeedTopic,
    /// The position of the next watch; `None` if the topic has to be listed first.
    position: Option<FeedPosition>,
    failures: u32,
    /// How often in a row a watch found the history gone at once after a listing.
    history_losses: u32,
    /// Whether the next listing may be stale. After a watch found that the history it continues from is gone, a fresh
    /// listing is needed.
    may_be_stale: bool,
    /// The reason recorded for the next listing.
    list_reason: CallReason,
}

/// Watches a topic in the store while the store is this node's source of updates, until the node ends.
pub async fn follow(router: Arc<Router>, topic: FeedTopic) {
    let mut source = router.source.subscribe();
    // The sender lives as long as the router, so waiting for it cannot fail.
    while source.wait_for(|source| *source == FeedSource::Store).await.is_ok() {
        let mut watcher = TopicWatcher {
            router: router.clone(),
            topic,
            position: None,
            failures: 0,
            history_losses: 0,
            may_be_stale: topic == FeedTopic::Crashes,
            list_reason: CallReason::Begin,
        };
        tokio::select! {
            () = watcher.run() => {}
            () = wait_resumed(&router) => router.set_followed(topic, false),
            // A fault that silences one connection to the store silences all of them.
            () = wait_servers_watch_lost(&router), if topic.relies_on_servers() => {}
            _ = source.wait_for(|source| *source != FeedSource::Store) => {}
        }
    }
}

/// Waits until the machine resumes from a suspension.
pub(crate) async fn wait_resumed(router: &Router) {
    let mut resumed = router.suspended_for.subscribe();
    // The sender lives as long as the router, so this cannot fail.
    let _ = resumed.changed().await;
}

/// Waits until the watch of servers is lost, which detects a silent connection sooner than other watches do.
async fn wait_servers_watch_lost(router: &Router) {
    let mut changed = router.feed_changed.subscribe();
    for is_followed in [true, false] {
        while router.is_followed(FeedTopic::Servers) != is_followed {
            // The sender lives as long as the router, so this cannot fail.
            let _ = changed.changed().await;
        }
    }
}

/// Reads the routes from the store when another node has newer ones that do not arrive here. While the store is
/// unavailable, other nodes are queried for them instead.
pub async fn catch_up(router: Arc<Router>) {
    loop {
        router.newer_routes.notified().await;
        tokio::time::sleep(CATCH_UP_DELAY).await;
        if !router.is_behind() || !router.is_followed(FeedTopic::Routes) {
            continue;
        }
        tracing::info!(event = "routes_behind", version = %router.cluster.version());
        let list = router.feed.list(FeedTopic::Routes, ListAge::Fresh);
        match store_call::run(FeedTopic::Routes, CallReason::Behind, list).await {
            Ok(list) => {
                router.cluster.replace(router.clock.now(), list.items.clone(), FeedTopic::Routes, UpdateOrigin::Store);
                // Followers of this node get these routes only from here: its own reader omits what this node has.
                router.relay_publisher.publish(|| RelayFrame::Listed(FeedTopic::Routes, list.items));
            }
            Err(error) => tracing::warn!(event = "routes_not_read", %error),
        }
    }
}

impl TopicWatcher {
    async fn run(&mut self) {
        loop {
            match self.step().await {
                Ok(position) => self.note_success(position),
                Err(StoreError::HistoryGone) => self.note_history_gone().await,
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    async fn step(&self) -> Result<FeedPosition, StoreError> {
        let Some(position) = self.position else { return self.list().await };
        let router = &self.router;
        let started = Instant::now();
        let wait = self.watch_wait(position);
        let watch = router.feed.watch(self.topic, position, wait);
        let update = tokio::select! {
            update = store_call::run(self.topic, CallReason::Watch, watch) => update?,
            () = self.wait_overdue(position) => return Ok(position),
        };
        let position = update.position;
        let is_unchanged = update.changes.is_empty();
        if !is_unchanged {
            self.log_update(update.changes.len(), position, ConfirmSource::Watch);
            self.apply_changes(update);
        }
        // The store answers a watch without changes only when its wait is over.
        let is_waited = is_unchanged && started.elapsed() >= wait;
        let as_of = if is_waited { started + wait } else { started };
        router.freshness.record(&ConfirmedAnswer { topic: self.topic, position, as_of, source: ConfirmSource::Watch });
        if is_unchanged {
            return Ok(position);
        }
        tokio::time::sleep(self.coalescing_delay()).await;
        Ok(position)
    }

    /// Logs that changes came, and how current the topic was known before.
    fn log_update(&self, changes: usize, position: FeedPosition, found_by: ConfirmSource) {
        let before = self.router.freshness.get(self.topic);
        let age_ms = before.age().map(|age| age.as_millis() as u64);
        let (topic, found_by, confirmed_by) = (self.topic, found_by.name(), before.source.name());
        // Servers and nodes change many times a second while a release is rolled out.
        match topic {
            FeedTopic::Routes | FeedTopic::Evacuations => {
                tracing::info!(event = "feed_updated", %topic, changes, position = position.0, found_by, age_ms, confirmed_by);
            }
            FeedTopic::Servers | FeedTopic::Nodes | FeedTopic::Crashes => {
                tracing::debug!(event = "feed_updated", %topic, changes, position = position.0, found_by, age_ms, confirmed_by);
            }
        }
    }

    /// Applies changes, then sends them to followers. In this order a node that starts to follow in between gets them
    /// twice; in the reverse order it would miss them.
    fn apply_changes(&self, update: FeedChanges) {
        let router = &self.router;
        if self.topic != FeedTopic::Evacuations {
            router.cluster.apply(router.clock.now(), update.changes.clone(), self.topic, UpdateOrigin::Store);
            router.relay_publisher.publish(|| RelayFrame::Changed(self.topic, update.changes));
        } else if let Some(known) = router.cluster.evacuations() {
            self.apply_evacuations(known.with_changes(&update.changes, update.position));
        }
    }

    fn apply_list(&self, list: FeedList) {
        let router = &self.router;
        if self.topic == FeedTopic::Evacuations {
            return self.apply_evacuations(EvacuationList::from_list(&list));
        }
        if matches!(self.topic, FeedTopic::Servers | FeedTopic::Nodes) {
            return self.apply_entries(list);
        }
        router.cluster.replace(router.clock.now(), list.items.clone(), self.topic, UpdateOrigin::Store);
        router.relay_publisher.publish(|| RelayFrame::Listed(self.topic, list.items));
    }

    /// Applies a listing of servers or nodes and sends followers what was not known before.
    fn apply_entries(&self, list: FeedList) {
        let router = &self.router;
        let known = KnownEntries::of(router).digest(router.cluster.version());
        router.cluster.replace(router.clock.now(), list.items, self.topic, UpdateOrigin::Store);
        router.relay_publisher.publish(|| {
            RelayFrame::Snapshot(Box::new(RelaySnapshot::build(router, &KnownEntries::of(router), &known)))
        });
    }

    fn apply_evacuations(&self, list: EvacuationList) {
        let router = &self.router;
        router.cluster.offer_evacuations(router.clock.now(), list.clone(), UpdateOrigin::Store);
        router.relay_publisher.publish(|| RelayFrame::Evacuations(list));
    }

    /// How current the next listing must be. For crashes a stale listing loses nothing, since the watch continues from
    /// its position; other topics need the current state at once.
    fn list_age(&self) -> ListAge {
        if self.may_be_stale { ListAge::MayBeStale } else { ListAge::Fresh }
    }

    /// How long a watch waits in the store for changes. The watch of servers is renewed at the interval in the settings
    /// and so detects silent connections for the other topics. Routes and evacuations choose their timeout from its
    /// progress. Changes of nodes are not urgent, and crashes rely on the watch of servers, so both wait longest.
    fn watch_wait(&self, position: FeedPosition) -> Duration {
        match self.topic {
            FeedTopic::Servers => self.router.settings.silence_within.0,
            FeedTopic::Routes | FeedTopic::Evacuations => watch_timeout::choose_timeout(&self.watch_progress(position)),
            FeedTopic::Nodes | FeedTopic::Crashes => watch_timeout::MAX_TIMEOUT,
        }
    }

    fn watch_progress(&self, position: FeedPosition) -> WatchProgress {
        let reported = self.router.reported_position.borrow().0;
        WatchProgress {
            topic_revision: position.0,
            store_revision: reported,
            silence_within: self.router.settings.silence_within.0,
        }
    }

    /// Waits until a watch that has just started must be restarted because its connection may be silent.
    async fn wait_overdue(&self, position: FeedPosition) {
        let has_adaptive_timeout = matches!(self.topic, FeedTopic::Routes | FeedTopic::Evacuations);
        let progress = self.watch_progress(position);
        // A short watch ends by itself.
        if !has_adaptive_timeout || watch_timeout::choose_timeout(&progress) <= progress.silence_within {
            return std::future::pending().await;
        }
        tokio::time::sleep(progress.silence_within).await;
        let mut reported = self.router.reported_position.subscribe();
        let is_overdue = |reported: &FeedPosition| {
            watch_timeout::is_overdue(
                &WatchProgress { store_revision: reported.0, ..progress },
                progress.silence_within,
            )
        };
        // The sender lives as long as the router, so this cannot fail.
        let _ = reported.wait_for(is_overdue).await;
    }

    fn coalescing_delay(&self) -> Duration {
        match self.topic {
            FeedTopic::Routes | FeedTopic::Evacuations | FeedTopic::Crashes => Duration::ZERO,
            FeedTopic::Servers => SERVERS_COALESCING_DELAY,
            FeedTopic::Nodes => NODES_COALESCING_DELAY,
        }
    }

    async fn list(&self) -> Result<FeedPosition, StoreError> {
        let router = &self.router;
        let started = Instant::now();
        let list = router.feed.list(self.topic, self.list_age());
        let list = router.store_breaker.call(store_call::run(self.topic, self.list_reason, list)).await?;
        let position = list.position;
        self.log_update(list.items.len(), position, ConfirmSource::Listing);
        self.apply_list(list);
        if !self.may_be_stale {
            let source = ConfirmSource::Listing;
            router.freshness.record(&ConfirmedAnswer { topic: self.topic, position, as_of: started, source });
        }
        Ok(position)
    }

    fn note_success(&mut self, position: FeedPosition) {
        if self.failures > 0 {
            tracing::info!(event = "feed_regained", topic = %self.topic, failures = self.failures);
        }
        self.failures = 0;
        if self.position.is_some() {
            // It was a watch that succeeded, and not a listing.
            self.history_losses = 0;
        }
        self.position = Some(position);
        self.router.note_reported_position(position);
        self.router.set_followed(self.topic, true);
    }

    /// The topic is listed again, at once only for the first time: a store whose history is shorter than a listing takes
    /// would be listed again and again without a pause.
    async fn note_history_gone(&mut self) {
        tracing::info!(event = "feed_history_gone", topic = %self.topic);
        self.position = None;
        self.may_be_stale = false;
        self.list_reason = CallReason::HistoryGone;
        if self.history_losses > 0 {
            tokio::time::sleep(backoff_delay(self.history_losses - 1)).await;
        }
        self.history_losses = self.history_losses.saturating_add(1);
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if self.failures == 0 {
            tracing::warn!(event = "feed_lost", topic = %self.topic, %error);
        }
        metrics::counter!("streamfold_feed_failures_total").increment(1);
        self.router.set_followed(self.topic, false);
        // The next watch may not report changes from the time of the failure, so the topic is listed again.
        self.position = None;
        self.list_reason = CallReason::AfterFailure;
        self.failures += 1;
        if is_refusal_error(error) {
            // Also after a failed watch, calls go one at a time until the store accepts them again.
            self.router.store_breaker.require_probe();
        } else {
            tokio::time::sleep(backoff_delay(self.failures - 1)).await;
        }
    }
}

/// Registers this node for the others; retries until it succeeds.
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
