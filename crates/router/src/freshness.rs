//! How current this node's knowledge of each topic of the store is, and by which call it was last confirmed.
//!
//! The store numbers all changes with one revision, its position. Every answer reports the position at that time, so an
//! answer for one topic also confirms each other topic that is known up to that position.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::interface::{FeedPosition, FeedTopic};

/// The kind of message by which a topic was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ConfirmSource {
    /// The topic has not been confirmed.
    #[default]
    None,
    /// A listing of the topic.
    Listing,
    /// A watch of the topic.
    Watch,
    /// A check: a watch that does not wait.
    Check,
    /// The reader that this node follows.
    Reader,
    /// An answer for another topic, which reported no later change.
    OtherTopic,
}

impl ConfirmSource {
    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Listing => "listing",
            Self::Watch => "watch",
            Self::Check => "check",
            Self::Reader => "reader",
            Self::OtherTopic => "other_topic",
        }
    }
}

/// How current the knowledge of one topic is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TopicFreshness {
    /// The position up to which all changes of the topic are known.
    pub position: FeedPosition,
    /// The latest time at which every change confirmed by the store until then is known; `None` before the first
    /// confirmation.
    pub confirmed_at: Option<Instant>,
    /// By which message that is known.
    pub source: ConfirmSource,
}

impl TopicFreshness {
    /// How old the knowledge is; `None` if it was never confirmed.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.map(|confirmed| confirmed.elapsed())
    }

    fn confirm(&mut self, as_of: Instant, source: ConfirmSource) {
        if self.confirmed_at.is_none_or(|confirmed| confirmed < as_of) {
            self.confirmed_at = Some(as_of);
            self.source = source;
        }
    }
}

/// How old a node's knowledge of a topic is.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub struct TopicAge {
    topic: FeedTopic,
    /// The age in microseconds.
    age_us: u64,
}

/// How old a node's knowledge of each topic is.
#[derive(Debug, Clone, Encode, Decode)]
pub struct FeedAges {
    topics: Vec<TopicAge>,
    /// How long ago the store last failed, as far as the node knows, in microseconds.
    failure_age_us: Option<u64>,
}

fn to_us(age: Duration) -> u64 {
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// An answer of the store for one topic.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmedAnswer {
    /// The topic that was asked for.
    pub topic: FeedTopic,
    /// The position that the answer reported.
    pub position: FeedPosition,
    /// A time not after the one at which the store gave the answer. It cannot be the time of arrival, since an answer
    /// may be under way for long.
    pub as_of: Instant,
    /// The kind of call.
    pub source: ConfirmSource,
}

/// The freshness of every topic at one node.
#[derive(Debug, Default)]
pub struct FreshnessTable {
    topics: watch::Sender<[TopicFreshness; FeedTopic::ALL.len()]>,
    /// When the store last failed, as far as this node knows. A store that fails may lose entries.
    failed_at: Mutex<Option<Instant>>,
}

impl FreshnessTable {
    /// The freshness of a topic.
    pub fn get(&self, topic: FeedTopic) -> TopicFreshness {
        self.topics.borrow()[topic as usize]
    }

    /// How long ago every known entry of a topic was last known to be there, or the store failed.
    pub fn present_age(&self, topic: FeedTopic) -> Option<Duration> {
        self.get(topic).confirmed_at.max(*self.failed_at()).map(|present_at| present_at.elapsed())
    }

    /// Records that the store failed at a time: it refused a call, or could not be read.
    pub fn note_store_failure(&self, failed_at: Instant) {
        let mut latest = self.failed_at();
        *latest = (*latest).max(Some(failed_at));
    }

    /// Records that the machine was suspended. The clock of the recorded times stood still meanwhile, so they are longer
    /// ago by that time.
    pub fn note_suspension(&self, suspended: Duration) {
        let shift = |at: &mut Option<Instant>| *at = at.map(|at| at.checked_sub(suspended).unwrap_or(at));
        self.topics.send_modify(|topics| topics.iter_mut().for_each(|topic| shift(&mut topic.confirmed_at)));
        shift(&mut self.failed_at());
    }

    fn failed_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.failed_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a topic is known up to the position of an answer, and what the answer says of other topics.
    pub fn record(&self, answer: &ConfirmedAnswer) {
        metrics::counter!(
            "streamfold_feed_confirmed_total", "topic" => answer.topic.name(), "by" => answer.source.name()
        )
        .increment(1);
        self.topics.send_modify(|topics| {
            let own = &mut topics[answer.topic as usize];
            own.position = own.position.max(answer.position);
            own.confirm(answer.as_of, answer.source);
            for other in topics.iter_mut().filter(|other| other.position >= answer.position) {
                other.confirm(answer.as_of, ConfirmSource::OtherTopic);
            }
        });
    }

    /// The ages of all topics that were confirmed, for the nodes that follow this one.
    pub fn ages(&self) -> FeedAges {
        let topics = *self.topics.borrow();
        let age = |topic: FeedTopic| Some(TopicAge { topic, age_us: to_us(topics[topic as usize].age()?) });
        FeedAges {
            topics: FeedTopic::ALL.into_iter().filter_map(age).collect(),
            failure_age_us: self.failed_at().map(|failed_at| to_us(failed_at.elapsed())),
        }
    }

    /// Records what a reader says of its own knowledge, which this node shares.
    pub fn record_reader(&self, ages: &FeedAges) {
        let now = Instant::now();
        let to_instant = |age_us| now.checked_sub(Duration::from_micros(age_us));
        self.topics.send_modify(|topics| {
            for entry in &ages.topics {
                if let Some(as_of) = to_instant(entry.age_us) {
                    topics[entry.topic as usize].confirm(as_of, ConfirmSource::Reader);
                }
            }
        });
    }

    /// Records what a reader says of failures of the store. This comes before the reader's updates, which may lack entries
    /// that the store lost.
    pub fn record_reader_failure(&self, ages: &FeedAges) {
        let failed_at =
            ages.failure_age_us.and_then(|age_us| Instant::now().checked_sub(Duration::from_micros(age_us)));
        failed_at.into_iter().for_each(|failed_at| self.note_store_failure(failed_at));
    }

    /// Records that this node's state now comes from a reader. The reader may be behind the position up to which this
    /// node has read the store.
    pub fn forget_positions(&self) {
        self.topics.send_modify(|topics| topics.iter_mut().for_each(|topic| topic.position = FeedPosition::default()));
    }

    /// Waits until `is_met` holds for a topic.
    pub async fn wait_for(&self, topic: FeedTopic, is_met: impl Fn(&TopicFreshness) -> bool) {
        let mut changed = self.topics.subscribe();
        // The sender lives as long as the table, so this cannot fail.
        let _ = changed.wait_for(|topics| is_met(&topics[topic as usize])).await;
    }
}
