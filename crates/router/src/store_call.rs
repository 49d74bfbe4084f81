//! Calls to the platform's store by reason. Every call is charged for, so each is counted and logged with its reason.

use std::future::Future;
use std::time::Instant;

use streamfold_store::StoreError;

use crate::interface::FeedTopic;

/// Why a node calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReason {
    /// It starts to follow a topic.
    Begin,
    /// It lists a topic again after a failed call.
    AfterFailure,
    /// It lists a topic again because the history after its position is no longer available.
    HistoryGone,
    /// It waits for changes.
    Watch,
    /// It is starting and discovers the other nodes.
    LookAround,
    /// Another node has newer routes that have not arrived here.
    Behind,
    /// It registers itself.
    Register,
    /// It is stopping and removes its entry.
    Withdraw,
    /// It removes the entry of a node that is gone.
    Sweep,
    /// It reports a request content that crashes servers, reads what is known about it, or releases it from quarantine.
    Quarantine,
}

impl CallReason {
    /// The name of the reason in metrics and logs.
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

/// Makes a call to the store, counts it by its reason and logs its outcome.
///
/// # Errors
/// Those of the call.
pub(crate) async fn run<T>(
    topic: FeedTopic,
    reason: CallReason,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    metrics::counter!("streamfold_store_asked_total", "topic" => topic.name(), "reason" => reason.name()).increment(1);
    let started = Instant::now();
    let result = call.await;
    let outcome = result.as_ref().map_or_else(name_failure, |_| "answered");
    let took_ms = started.elapsed().as_millis() as u64;
    let reason = reason.name();
    // Successful watches are logged at debug level, since readers watch all the time.
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
