//! Why a node calls the platform's store. Every call is paid for, so each is counted and logged by its reason.

use std::future::Future;
use std::time::Instant;

use streamfold_store::StoreError;

use crate::interface::FeedTopic;

/// Why a node calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReason {
    /// It begins to follow a topic.
    Begin,
    /// It lists a topic again after a call that failed.
    AfterFailure,
    /// It lists a topic again, since the history after its position is gone.
    HistoryGone,
    /// It waits for changes.
    Watch,
    /// It starts and wants to know the other nodes.
    LookAround,
    /// Another node has newer routes that do not arrive.
    Behind,
    /// It registers itself.
    Register,
    /// It stops and removes its entry.
    Withdraw,
    /// It removes the entry of a node that is gone.
    Sweep,
    /// It tells of a content that ends servers, asks what is known of it, or gives it free.
    Quarantine,
}

impl CallReason {
    /// Its name in counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::AfterFailure => "after_failure",
            Self::HistoryGone => "history_gone",
            Self::Watch => "watch",
            Self::LookAround => "look_around",
            Self::Behind => "behind",
            Self::Register => "register",
            Self::Withdraw => "withdraw",
            Self::Sweep => "sweep",
            Self::Quarantine => "quarantine",
        }
    }
}

/// Makes a call that is counted with its reason, and logged with its outcome.
///
/// # Errors
/// Those of the call.
pub(crate) async fn run<T>(
    topic: FeedTopic,
    reason: CallReason,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    metrics::counter!("streamfold_store_asked_total", "topic" => topic.name(), "reason" => reason.name()).increment(1);
    let began = Instant::now();
    let result = call.await;
    let outcome = result.as_ref().map_or_else(name_failure, |_| "answered");
    let took_ms = began.elapsed().as_millis() as u64;
    let reason = reason.name();
    // Readers watch all the time.
    match result.is_ok() && reason == CallReason::Watch.name() {
        true => tracing::debug!(event = "store_asked", topic = %topic, reason, outcome, took_ms),
        false => tracing::info!(event = "store_asked", topic = %topic, reason, outcome, took_ms),
    }
    result
}

fn name_failure(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unavailable(_) | StoreError::Unreachable => "refused",
        StoreError::ConnectionBroken => "broken",
        StoreError::AnswerLost => "lost",
        StoreError::HistoryGone => "history_gone",
        StoreError::Conflict => "conflict",
        _ => "failed",
    }
}
