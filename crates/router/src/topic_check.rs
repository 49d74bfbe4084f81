//! Asks the store for changes of a topic that its watch did not deliver. A watch that is lost without an error looks
//! like one that waits for changes.

use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use streamfold_policy::feed_checks::{CHECK_WAIT, CheckSchedule};
use streamfold_store::StoreError;
use tokio::time::Instant;

use crate::freshness::{ConfirmSource, ConfirmedAnswer};
use crate::interface::{FeedChanges, FeedPosition, FeedTopic};
use crate::router::Router;
use crate::store_call::{self, CallReason};

/// Number of checks in a row without an answer in time that show that the store fails. The first may have been lost
/// with an idle connection, as the watch was.
const UNANSWERED_IF_FAILING: u32 = 2;

/// The answer to a check.
pub(crate) struct CheckAnswer {
    /// The changes that the node did not know.
    pub(crate) update: FeedChanges,
    /// When the check was made.
    pub(crate) started: Instant,
}

/// The checks of one topic while the node watches it in the store.
pub(crate) struct TopicCheck<'a> {
    router: &'a Router,
    topic: FeedTopic,
    schedule: CheckSchedule,
}

impl<'a> TopicCheck<'a> {
    pub(crate) fn new(router: &'a Router, topic: FeedTopic) -> Self {
        Self { router, topic, schedule: router.check_schedule(topic) }
    }

    /// Checks the topic whenever it was not confirmed for long, until a check finds changes.
    ///
    /// # Errors
    /// A check failed, or none was answered until the knowledge of the topic was too old.
    pub(crate) async fn find_missed(&self) -> Result<CheckAnswer, StoreError> {
        loop {
            wait_age(self.router, self.topic, self.schedule.check_age()).await;
            let position = self.router.freshness.get(self.topic).position;
            let Some(answer) = self.check(position).await? else { continue };
            if !answer.update.changes.is_empty() {
                tracing::warn!(event = "watch_silent", topic = %self.topic, position = answer.update.position.0);
                return Ok(answer);
            }
            self.router.freshness.record(&ConfirmedAnswer {
                topic: self.topic,
                position: answer.update.position,
                as_of: answer.started,
                source: ConfirmSource::Check,
            });
        }
    }

    /// Checks the topic, again and again while no check is answered; `None` if an answer for another topic has confirmed
    /// it meanwhile.
    async fn check(&self, position: FeedPosition) -> Result<Option<CheckAnswer>, StoreError> {
        let mut pending = FuturesUnordered::new();
        let mut unanswered = 0;
        loop {
            pending.push(self.ask(position));
            let mut repeat = std::pin::pin!(tokio::time::sleep(self.schedule.repeat_after()));
            loop {
                tokio::select! {
                    Some(answer) = pending.next() => match answer {
                        // The next check is due soon.
                        Err(StoreError::AnswerLost) => {}
                        answer => return answer.map(Some),
                    },
                    () = &mut repeat => break,
                }
            }
            unanswered += 1;
            if unanswered >= UNANSWERED_IF_FAILING {
                self.router.freshness.note_store_failure(Instant::now());
            }
            let age = self.router.freshness.get(self.topic).age().unwrap_or(Duration::MAX);
            if self.schedule.is_overdue(age) {
                return Err(StoreError::AnswerLost);
            }
            if age < self.schedule.check_age() {
                return Ok(None);
            }
        }
    }

    async fn ask(&self, position: FeedPosition) -> Result<CheckAnswer, StoreError> {
        let started = Instant::now();
        let watch = self.router.feed.watch(self.topic, position, CHECK_WAIT);
        let update = store_call::run(self.topic, CallReason::Check, watch).await?;
        Ok(CheckAnswer { update, started })
    }
}

/// Waits until the knowledge of a topic that was confirmed once has at least this age.
pub(crate) async fn wait_age(router: &Router, topic: FeedTopic, age: Duration) {
    loop {
        router.freshness.wait_for(topic, |freshness| freshness.confirmed_at.is_some()).await;
        let Some(confirmed_at) = router.freshness.get(topic).confirmed_at else { continue };
        let due = confirmed_at + age;
        if due <= Instant::now() {
            return;
        }
        tokio::time::sleep_until(due).await;
    }
}
