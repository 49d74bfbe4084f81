//! Watches the topics of the platform's store and applies their changes to this node's cluster state.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::feed_checks::MAX_WATCH_WAIT;
use streamfold_store::StoreError;
use tokio::time::Instant;

use crate::freshness::{ConfirmSource, ConfirmedAnswer};
use crate::interface::{FeedChanges, FeedPosition, FeedTopic, ListAge};
use crate::relay::FeedSource;
use crate::router::Router;
use crate::store_call::{self, CallReason};
use crate::store_turn::{backoff_delay, is_refusal_error};
use crate::topic_check::{CheckAnswer, TopicCheck};
use crate::topic_update;

/// Delay after a change before the next watch, so that one call returns all changes of that time. The limit for
/// requests to a server that has left is 3 s; changes of nodes are not urgent.
const SERVERS_COALESCING_DELAY: Duration = Duration::from_millis(200);
const NODES_COALESCING_DELAY: Duration = Duration::from_millis(3_000);

/// The state of watching one topic.
struct TopicWatcher {
    router: Arc<Router>,
    topic: FeedTopic,
    /// The position of the next watch; `None` if the topic has to be listed first.
    position: Option<FeedPosition>,
    failures: u32,
    /// Why the last call failed; empty after a success.
    failed_by: String,
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
            failed_by: String::new(),
            history_losses: 0,
            may_be_stale: topic == FeedTopic::Crashes,
            list_reason: CallReason::Begin,
        };
        tokio::select! {
            () = watcher.run() => {}
            () = wait_resumed(&router) => router.set_followed(topic, false),
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

impl TopicWatcher {
    async fn run(&mut self) {
        loop {
            match self.step().await {
                Ok(position) => self.note_success(position),
                Err(StoreError::HistoryGone) if self.skip_to_confirmed() => {}
                Err(StoreError::HistoryGone) => self.note_history_gone().await,
                Err(error) => self.note_failure(&error).await,
            }
        }
    }

    async fn step(&self) -> Result<FeedPosition, StoreError> {
        let Some(position) = self.position else { return self.list().await };
        let check = TopicCheck::new(&self.router, self.topic);
        tokio::select! {
            watched = self.watch(position) => watched,
            missed = check.find_missed() => {
                let CheckAnswer { update, started } = missed?;
                Ok(self.apply(update, started, ConfirmSource::Check).await)
            }
        }
    }

    async fn watch(&self, position: FeedPosition) -> Result<FeedPosition, StoreError> {
        let started = Instant::now();
        let watch = self.router.feed.watch(self.topic, position, MAX_WATCH_WAIT);
        let update = store_call::run(self.topic, CallReason::Watch, watch).await?;
        if !update.changes.is_empty() {
            return Ok(self.apply(update, started, ConfirmSource::Watch).await);
        }
        // The store answers a watch without changes only when its wait is over.
        let is_waited = started.elapsed() >= MAX_WATCH_WAIT;
        let as_of = if is_waited { started + MAX_WATCH_WAIT } else { started };
        self.confirm(update.position, as_of, ConfirmSource::Watch);
        Ok(update.position)
    }

    /// Applies changes and waits a little, so that the next watch returns all changes of that time.
    async fn apply(&self, update: FeedChanges, as_of: Instant, found_by: ConfirmSource) -> FeedPosition {
        let position = update.position;
        topic_update::apply_changes(&self.router, self.topic, update, found_by);
        self.confirm(position, as_of, found_by);
        tokio::time::sleep(self.coalescing_delay()).await;
        position
    }

    fn confirm(&self, position: FeedPosition, as_of: Instant, source: ConfirmSource) {
        self.router.freshness.record(&ConfirmedAnswer { topic: self.topic, position, as_of, source });
    }

    /// How current the next listing must be. For crashes a stale listing loses nothing, since the watch continues from
    /// its position; other topics need the current state at once.
    fn list_age(&self) -> ListAge {
        if self.may_be_stale { ListAge::MayBeStale } else { ListAge::Fresh }
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
        let ask = || async {
            let started = Instant::now();
            let list = router.feed.list(self.topic, self.list_age());
            Ok((store_call::run(self.topic, self.list_reason, list).await?, started))
        };
        let listing = async {
            // At a start many nodes list everything at once, and the store is slow because of that.
            if self.list_reason == CallReason::Begin {
                return ask().await;
            }
            store_call::repeat_unanswered(router.check_schedule(self.topic).relist_after(), ask).await
        };
        let (list, as_of) = router.store_breaker.call(listing).await?;
        let position = list.position;
        topic_update::apply_list(router, self.topic, list);
        // What a stale listing lacks is found by the watch and the check that follow it.
        self.confirm(position, as_of, ConfirmSource::Listing);
        Ok(position)
    }

    /// Continues from the position up to which a check has confirmed the topic, if that is later than the one of the
    /// watch; returns whether it is. A watch may wait for longer than the store keeps its history.
    fn skip_to_confirmed(&mut self) -> bool {
        let confirmed = self.router.freshness.get(self.topic).position;
        let is_later = self.position.is_some_and(|position| position < confirmed);
        if is_later {
            self.position = Some(confirmed);
        }
        is_later
    }

    fn note_success(&mut self, position: FeedPosition) {
        if self.failures > 0 {
            tracing::info!(event = "feed_regained", topic = %self.topic, failures = self.failures);
        }
        self.failures = 0;
        self.failed_by.clear();
        if self.position.is_some() {
            // It was a watch that succeeded, and not a listing.
            self.history_losses = 0;
        }
        self.position = Some(position);
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

    /// Logs the first failure, and each later one that has another reason.
    fn log_failure(&mut self, error: &StoreError) {
        let reason = error.to_string();
        if reason == self.failed_by {
            return;
        }
        let is_listed = self.router.is_listed(self.topic);
        tracing::warn!(event = "feed_lost", topic = %self.topic, failures = self.failures, is_listed, %error);
        self.failed_by = reason;
    }

    async fn note_failure(&mut self, error: &StoreError) {
        self.log_failure(error);
        metrics::counter!("streamfold_feed_failures_total").increment(1);
        // A watch may be cut while the store is sound. A listing that fails, or a refusal, shows that it is not.
        if self.position.is_none() || matches!(error, StoreError::Unavailable(_) | StoreError::Unreachable) {
            self.router.freshness.note_store_failure(Instant::now());
        }
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
