//! Contents that end the servers that run them: noted, told to all nodes through the platform's store, held
//! off, and tried again at one server after a while. The rules are in `policy::crash_tracker`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{ContentId, CrashEntry, ServerRun};
use streamfold_policy::Moment;
use streamfold_policy::crash_tracker::{ContentStatus, CrashSuspect, CrashTracker, DECISION_DELAY, MIN_CRASHES};
use streamfold_store::StoreError;

use crate::border::{EntryRevision, FeedTopic};
use crate::cluster::NewsOrigin;
use crate::crash_check;
use crate::quarantine_news;
use crate::router::Router;
use crate::server::Server;
use crate::store_call::{self, CallReason};
use crate::store_turn::choose_pause;

/// How long a node tries to tell the others of a content: the store is away at most for seconds, and a
/// content that comes again is noted again.
const TELL_WITHIN: Duration = Duration::from_secs(30);
/// How long a request waits to become the one that tries a content again, while its caller could have been told
/// when to come back: two calls to the store take some 20 ms.
const CLAIM_WITHIN: Duration = Duration::from_millis(250);

/// What a node knows of contents that end servers.
#[derive(Default)]
pub struct CrashQuarantine {
    book: Mutex<CrashTracker>,
    /// Whether anything is known of any content: most of the time nothing is, and no request waits for a lock.
    is_used: AtomicBool,
}

impl CrashQuarantine {
    fn book(&self) -> MutexGuard<'_, CrashTracker> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, change: impl FnOnce(&mut CrashTracker) -> T) -> T {
        let mut book = self.book();
        let changed = change(&mut book);
        self.is_used.store(!book.is_empty(), Ordering::Relaxed);
        metrics::gauge!("streamfold_quarantined_contents").set(book.count_quarantined() as f64);
        changed
    }

    fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    /// How a request with a content is treated now.
    pub fn standing(&self, now: Moment, content: ContentId) -> ContentStatus {
        if self.is_used() { self.book().status(now, content) } else { ContentStatus::Clear }
    }

    /// Servers that ended under a content, as far as is known.
    pub fn crashed(&self, content: ContentId) -> Vec<ServerRun> {
        if self.is_used() { self.book().crashed(content).into_iter().collect() } else { Vec::new() }
    }

    /// Notes that a server answered a request with a content; whether it is to be found out if it lives on.
    fn note_answer(&self, content: ContentId, server: &ServerRun) -> bool {
        self.is_used() && self.book().note_answer(content, server)
    }

    /// Notes that a request with a content was answered whole.
    pub fn note_served(&self, now: Moment, content: ContentId) {
        if self.is_used() {
            self.book().note_served(now, content);
        }
    }

    /// Holds a content off that was found to end servers; what is to be told to all nodes, if that is news.
    pub(crate) fn blame(&self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let entry = self.change(|book| book.quarantine(now, content))?;
        tracing::warn!(event = "content_blamed", %content, crashed = join(&entry.crashed));
        Some(entry)
    }

    /// Takes that another node found a content to end servers; whether that is news.
    pub(crate) fn put_blamed(&self, now: Moment, entry: &CrashEntry) -> bool {
        let is_news = self.change(|book| book.put_quarantined(now, entry));
        if is_news {
            let crashed = entry.crashed.len();
            let source = NewsOrigin::Peer;
            let (content, trials) = (entry.content, entry.trials);
            tracing::warn!(event = "content_held", %content, crashed, trials, %source);
        }
        is_news
    }

    /// Takes what the store holds of a content.
    pub(crate) fn put(&self, now: Moment, entry: CrashEntry, origin: NewsOrigin) {
        let (content, servers, trials) = (entry.content, entry.crashed.len(), entry.trials);
        if self.change(|book| book.put_shared(now, entry)) {
            tracing::warn!(event = "content_held", %content, crashed = servers, trials, source = %origin);
        }
    }

    /// Takes that the store holds nothing of a content any more.
    pub(crate) fn remove(&self, content: ContentId) {
        if self.change(|book| book.remove_shared(content)) {
            tracing::info!(event = "content_released", %content);
        }
    }

    /// The contents that the store is known to hold.
    pub(crate) fn contents(&self) -> Vec<ContentId> {
        self.book().shared_contents()
    }

    /// What the store is known to hold.
    pub(crate) fn entries(&self) -> Vec<CrashEntry> {
        self.book().shared_entries()
    }
}

/// Notes that a server ended while it worked on something or just after.
pub(crate) fn note_crash(router: &Arc<Router>, server: &ServerRun, suspects: &[CrashSuspect]) {
    let now = router.clock.now();
    for suspect in suspects {
        if router.cluster.quarantine.change(|book| book.note_crash(now, suspect.content, server)) {
            tokio::spawn(settle(router.clone(), *suspect));
        }
    }
}

/// Notes that a server answered a request with a content, and if servers ended under that finds out whether
/// this one lives on.
pub(crate) fn note_answer(router: &Arc<Router>, content: ContentId, server: &Arc<Server>) {
    if !router.cluster.quarantine.note_answer(content, &server.run()) {
        return;
    }
    let (router, server) = (router.clone(), server.clone());
    tokio::spawn(async move {
        if crash_check::lives_on(&server).await {
            router.cluster.quarantine.book().note_survived(content, &server.run());
        }
    });
}

/// Notes servers that ended under a content as another node has told.
pub(crate) fn note_told(router: &Arc<Router>, suspect: CrashSuspect, servers: &[ServerRun]) {
    if servers.is_empty() {
        return;
    }
    let now = router.clock.now();
    if router.cluster.quarantine.change(|book| book.note_reported(now, suspect.content, servers)) {
        tokio::spawn(settle(router.clone(), suspect));
    }
}

/// Decides on a content when servers had time to answer, and tells all nodes of it.
async fn settle(router: Arc<Router>, suspect: CrashSuspect) {
    tokio::time::sleep(DECISION_DELAY).await;
    let now = router.clock.now();
    let Some(entry) = router.cluster.quarantine.change(|book| book.decide(now, suspect)) else { return };
    if entry.crashed.len() >= MIN_CRASHES {
        tracing::warn!(
            event = "content_suspected",
            content = %entry.content,
            crashed = join(&entry.crashed)
        );
    }
    share(router, entry).await;
}

/// Tells all nodes of a content through the platform's store.
pub(crate) async fn share(router: Arc<Router>, entry: CrashEntry) {
    let content = entry.content;
    match tokio::time::timeout(TELL_WITHIN, tell(&router, entry)).await {
        // Others need not be waited for.
        Ok(entry) => router.cluster.quarantine.put(router.clock.now(), entry, NewsOrigin::Store),
        Err(_) => tracing::warn!(event = "content_not_told", %content),
    }
}

/// Makes a call of the quarantine.
async fn ask<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    store_call::make(FeedTopic::Crashes, CallReason::Quarantine, call).await
}

fn join(servers: &[ServerRun]) -> String {
    servers.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}

/// Adds what this node has seen to what the store holds, however often it takes; what it holds then.
async fn tell(router: &Router, own: CrashEntry) -> CrashEntry {
    let mut failures = 0;
    let mut known: Option<(CrashEntry, EntryRevision)> = None;
    loop {
        let mut entry = known.as_ref().map_or_else(|| own.clone(), |(entry, _)| entry.clone());
        if !entry.add_crashed(&own.crashed) && known.is_some() {
            return entry;
        }
        let replaces = known.as_ref().map(|(_, revision)| *revision);
        let written = router.store_turn.call(ask(router.feed.write_crash(&entry, replaces))).await;
        let error = match written {
            Ok(()) => return entry,
            Err(StoreError::Conflict | StoreError::BadStatus(404)) => {
                match router.store_turn.call(ask(router.feed.read_crash(own.content))).await {
                    Ok(held) => {
                        known = held;
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
        tokio::time::sleep(choose_pause(failures)).await;
        failures += 1;
    }
}

/// Whether this node is the one of all that tries a content again: it was the first to note that it does.
pub(crate) async fn claim_trial(router: &Arc<Router>, content: ContentId) -> bool {
    let quarantine = &router.cluster.quarantine;
    let shared = quarantine.book().shared_entry(content).cloned();
    let Some(known) = shared else {
        let entry = quarantine.change(|book| book.note_local_trial(router.clock.now(), content));
        tracing::info!(event = "content_tried", %content, trials = 0);
        if let Some(entry) = entry {
            quarantine_news::tell_all(router, entry).await;
        }
        return true;
    };
    let raised = tokio::time::timeout(CLAIM_WITHIN, raise_trials(router, &known)).await;
    match raised.unwrap_or(Err(StoreError::Unreachable)) {
        Ok(Some(entry)) => {
            tracing::info!(event = "content_tried", %content, trials = entry.trials);
            quarantine.put(router.clock.now(), entry, NewsOrigin::Store);
            true
        }
        Ok(None) => false,
        Err(error) => {
            tracing::info!(event = "content_not_tried", %content, %error);
            false
        }
    }
}

/// Counts one more trial in the store, unless another node has done so.
async fn raise_trials(router: &Router, known: &CrashEntry) -> Result<Option<CrashEntry>, StoreError> {
    let Some((mut entry, revision)) = ask(router.feed.read_crash(known.content)).await? else { return Ok(None) };
    if entry.trials != known.trials {
        return Ok(None);
    }
    entry.trials += 1;
    match ask(router.feed.write_crash(&entry, Some(revision))).await {
        Ok(()) => Ok(Some(entry)),
        Err(StoreError::Conflict | StoreError::BadStatus(404)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Gives a content free whose trial did no harm.
pub(crate) async fn release(router: &Router, content: ContentId) {
    let is_shared = router.cluster.quarantine.book().shared_entry(content).is_some();
    if is_shared && let Err(error) = router.store_turn.call(ask(router.feed.remove_crash(content))).await {
        // It stays held off, and is tried again.
        tracing::warn!(event = "content_not_released", %content, %error);
        return;
    }
    router.cluster.quarantine.remove(content);
}

/// Removes what the store need not hold any more.
pub(crate) async fn remove_expired(router: &Router) {
    let expired = router.cluster.quarantine.book().find_expired(router.clock.now());
    for content in expired {
        release(router, content).await;
    }
}
