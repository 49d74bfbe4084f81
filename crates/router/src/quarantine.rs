//! Quarantine of request contents that crash the servers that run them. Crashes are recorded, published to all nodes
//! through the platform's store, and a quarantined content is tried again at one server after a delay. The rules are in
//! `policy::crash_tracker`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{ContentId, CrashEntry, EntryRevision, ServerRun};
use streamfold_policy::Moment;
use streamfold_policy::crash_tracker::{ContentStatus, CrashSuspect, CrashTracker, DECISION_DELAY, MIN_CRASHES};
use streamfold_store::StoreError;

use crate::cluster::UpdateOrigin;
use crate::crash_check;
use crate::interface::FeedTopic;
use crate::quarantine_news;
use crate::router::Router;
use crate::server::Server;
use crate::store_call::{self, CallReason};
use crate::store_turn::backoff_delay;

/// How long a node tries to write an entry to the store: store outages last only seconds, and a content that is
/// requested again is recorded again.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a request waits for its claim to be the trial of a content. Its caller could be refused with a retry time
/// instead, so the wait is short; the two calls to the store take about 20 ms.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// One node's record of contents that crash servers.
#[derive(Default)]
pub struct CrashQuarantine {
    tracker: Mutex<CrashTracker>,
    /// Whether there is a record of any content. Usually there is none, and then requests need not take the lock.
    is_used: AtomicBool,
}

impl CrashQuarantine {
    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change to the tracker and updates the metrics.
    fn change<T>(&self, change: impl FnOnce(&mut CrashTracker) -> T) -> T {
        let mut tracker = self.tracker();
        let changed = change(&mut tracker);
        self.is_used.store(!tracker.is_empty(), Ordering::Relaxed);
        metrics::gauge!("streamfold_quarantined_contents").set(tracker.count_quarantined() as f64);
        changed
    }

    fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// How a request with a content is to be treated now.
    pub fn status(&self, now: Moment, content: ContentId) -> ContentStatus {
        if self.is_used() { self.tracker().status(now, content) } else { ContentStatus::Clear }
    }

    /// The servers that are known to have crashed during a content.
    pub fn crashed(&self, content: ContentId) -> Vec<ServerRun> {
        if self.is_used() { self.tracker().crashed(content).into_iter().collect() } else { Vec::new() }
    }

    /// Records that a server answered a request with a content. Returns whether the caller has to check the survival of
    /// the server.
    fn note_answer(&self, content: ContentId, server: &ServerRun) -> bool {
        self.is_used() && self.tracker().note_answer(content, server)
    }

    /// Records a complete answer to a request with a content.
    pub fn note_served(&self, now: Moment, content: ContentId) {
        if self.is_used() {
            self.tracker().note_served(now, content);
        }
    }

    /// Quarantines a content that was found to crash servers. Returns the entry to send to all nodes, or `None` if the
    /// content is already quarantined.
    pub(crate) fn quarantine_content(&self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let entry = self.change(|tracker| tracker.quarantine(now, content))?;
        tracing::warn!(event = "content_blamed", %content, crashed = join_servers(&entry.crashed));
        Some(entry)
    }

    /// Applies the report that another node has quarantined a content or tries it again. Returns whether it changed the
    /// record.
    pub(crate) fn put_quarantined(&self, now: Moment, entry: &CrashEntry) -> bool {
        let is_new = self.change(|tracker| tracker.put_quarantined(now, entry));
        if is_new {
            let crashed = entry.crashed.len();
            let source = UpdateOrigin::Peer;
            let (content, trials) = (entry.content, entry.trials);
            tracing::warn!(event = "content_held", %content, crashed, trials, %source);
        }
        is_new
    }

    /// Applies the entry of a content in the store.
    pub(crate) fn put(&self, now: Moment, entry: CrashEntry, origin: UpdateOrigin) {
        let (content, servers, trials) = (entry.content, entry.crashed.len(), entry.trials);
        if self.change(|tracker| tracker.put_shared(now, entry)) {
            tracing::warn!(event = "content_held", %content, crashed = servers, trials, source = %origin);
        }
    }

    /// Applies the removal of a content from the store.
    pub(crate) fn remove(&self, content: ContentId) {
        if self.change(|tracker| tracker.remove_shared(content)) {
            tracing::info!(event = "content_released", %content);
        }
    }

    /// The contents that are known to be in the store.
    pub(crate) fn contents(&self) -> Vec<ContentId> {
        self.tracker().shared_contents()
    }

    /// The known entries of the store.
    pub(crate) fn entries(&self) -> Vec<CrashEntry> {
        self.tracker().shared_entries()
    }
}

/// Records that a server crashed while it ran the given contents or just after.
pub(crate) fn note_crash(router: &Arc<Router>, server: &ServerRun, suspects: &[CrashSuspect]) {
    let now = router.clock.now();
    for suspect in suspects {
        if router.cluster.quarantine.change(|tracker| tracker.note_crash(now, suspect.content, server)) {
            tokio::spawn(decide(router.clone(), *suspect));
        }
    }
}

/// Records that a server answered a request with a content. If servers have crashed during that content, also checks
/// whether this one survives.
pub(crate) fn note_answer(router: &Arc<Router>, content: ContentId, server: &Arc<Server>) {
    if !router.cluster.quarantine.note_answer(content, &server.run()) {
        return;
    }
    let (router, server) = (router.clone(), server.clone());
    tokio::spawn(async move {
        if crash_check::survives(&server).await {
            router.cluster.quarantine.tracker().note_survived(content, &server.run());
        }
    });
}

/// Records servers that crashed during a content according to another node.
pub(crate) fn note_reported(router: &Arc<Router>, suspect: CrashSuspect, servers: &[ServerRun]) {
    if servers.is_empty() {
        return;
    }
    let now = router.clock.now();
    if router.cluster.quarantine.change(|tracker| tracker.note_reported(now, suspect.content, servers)) {
        tokio::spawn(decide(router.clone(), suspect));
    }
}

/// Decides on a content when servers have had time to answer, and publishes the decision.
async fn decide(router: Arc<Router>, suspect: CrashSuspect) {
    tokio::time::sleep(DECISION_DELAY).await;
    let now = router.clock.now();
    let Some(entry) = router.cluster.quarantine.change(|tracker| tracker.decide(now, suspect)) else { return };
    if entry.crashed.len() >= MIN_CRASHES {
        tracing::warn!(
            event = "content_suspected",
            content = %entry.content,
            crashed = join_servers(&entry.crashed)
        );
    }
    publish(router, entry).await;
}

/// Publishes an entry to all nodes through the platform's store.
pub(crate) async fn publish(router: Arc<Router>, entry: CrashEntry) {
    let content = entry.content;
    match tokio::time::timeout(PUBLISH_TIMEOUT, merge_into_store(&router, entry)).await {
        // Applied at once, without waiting for the update from the store.
        Ok(entry) => router.cluster.quarantine.put(router.clock.now(), entry, UpdateOrigin::Store),
        Err(_) => tracing::warn!(event = "content_not_told", %content),
    }
}

/// Makes a store call on behalf of the quarantine.
async fn call_store<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    store_call::run(FeedTopic::Crashes, CallReason::Quarantine, call).await
}

fn join_servers(servers: &[ServerRun]) -> String {
    servers.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

/// Adds this node's entry to the one in the store, and retries until it succeeds. Returns the stored entry.
async fn merge_into_store(router: &Router, own: CrashEntry) -> CrashEntry {
    let mut failures = 0;
    let mut known: Option<(CrashEntry, EntryRevision)> = None;
    loop {
        let mut entry = known.as_ref().map_or_else(|| own.clone(), |(entry, _)| entry.clone());
        if !entry.add_crashed(&own.crashed) && known.is_some() {
            return entry;
        }
        let replaces = known.as_ref().map(|(_, revision)| *revision);
        let written = router.store_breaker.call(call_store(router.feed.write_crash(&entry, replaces))).await;
        let error = match written {
            Ok(()) => return entry,
            Err(StoreError::Conflict | StoreError::BadStatus(404)) => {
                match router.store_breaker.call(call_store(router.feed.read_crash(own.content))).await {
                    Ok(stored) => {
                        known = stored;
                        continue;
                    }
                    Err(error) => error,
                }
            }
            Err(error) => error,
        };
        if failures == 0 {
            tracing::warn!(event = "content_told_late", content = %own.content, %error);
        }
        tokio::time::sleep(backoff_delay(failures)).await;
        failures += 1;
    }
}

/// Claims the trial of a quarantined content for a request of this node. Returns false if another node has claimed it
/// or the store did not answer in time.
pub(crate) async fn claim_trial(router: &Arc<Router>, content: ContentId) -> bool {
    let quarantine = &router.cluster.quarantine;
    let shared = quarantine.tracker().shared_entry(content).cloned();
    let Some(known) = shared else {
        let entry = quarantine.change(|tracker| tracker.note_local_trial(router.clock.now(), content));
        tracing::info!(event = "content_tried", %content, trials = 0);
        if let Some(entry) = entry {
            quarantine_news::broadcast(router, entry).await;
        }
        return true;
    };
    let raised = tokio::time::timeout(CLAIM_TIMEOUT, raise_trials(router, &known)).await;
    match raised.unwrap_or(Err(StoreError::Unreachable)) {
        Ok(Some(entry)) => {
            tracing::info!(event = "content_tried", %content, trials = entry.trials);
            quarantine.put(router.clock.now(), entry, UpdateOrigin::Store);
            true
        }
        Ok(None) => false,
        Err(error) => {
            tracing::info!(event = "content_not_tried", %content, %error);
            false
        }
    }
}

/// Increments the number of trials in the store; `None` if another node has done so.
async fn raise_trials(router: &Router, known: &CrashEntry) -> Result<Option<CrashEntry>, StoreError> {
    let Some((mut entry, revision)) = call_store(router.feed.read_crash(known.content)).await? else { return Ok(None) };
    if entry.trials != known.trials {
        return Ok(None);
    }
    entry.trials = entry.trials.saturating_add(1);
    match call_store(router.feed.write_crash(&entry, Some(revision))).await {
        Ok(()) => Ok(Some(entry)),
        Err(StoreError::Conflict | StoreError::BadStatus(404)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Releases a content whose trial crashed no server, or whose entry has expired.
pub(crate) async fn release(router: &Router, content: ContentId) {
    let is_shared = router.cluster.quarantine.tracker().shared_entry(content).is_some();
    if is_shared && let Err(error) = router.store_breaker.call(call_store(router.feed.remove_crash(content))).await {
        // The content stays quarantined until its next trial.
        tracing::warn!(event = "content_not_released", %content, %error);
        return;
    }
    router.cluster.quarantine.remove(content);
}

/// Releases contents whose entries in the store have expired.
pub(crate) async fn remove_expired(router: &Router) {
    let expired = router.cluster.quarantine.tracker().find_expired(router.clock.now());
    for content in expired {
        release(router, content).await;
    }
}
