//! Calls to the platform's store by reason. Every call is charged for, so each is counted and logged with its reason.

use std::future::Future;
use std::time::{Duration, Instant};

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
    /// It has not confirmed a topic for long.
    Check,
    /// The reader that it follows has not confirmed a topic for long.
    Overdue,
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
            Self::Check => "check",
            Self::Overdue => "overdue",
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
    // Successful watches and checks are logged at debug level, since readers make them all the time.
    let is_routine = matches!(reason, CallReason::Watch | CallReason::Check);
    let reason = reason.name();
    match result.is_ok() && is_routine {
        true => tracing::debug!(event = "store_asked", topic = %topic, reason, outcome, took_ms),
        false => tracing::info!(event = "store_asked", topic = %topic, reason, outcome, took_ms),
    }
    result
}

/// Makes a call, and once more if it is not answered after `repeat_after`, since an answer may be lost without an error;
/// returns the first answer.
///
/// # Errors
/// Those of the call; a lost answer only if the other call has none either.
pub(crate) async fn repeat_unanswered<T, F>(repeat_after: Duration, call: impl Fn() -> F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut first = std::pin::pin!(call());
    tokio::select! {
        result = &mut first => return result,
        () = tokio::time::sleep(repeat_after) => {}
    }
    let mut second = std::pin::pin!(call());
    tokio::select! {
        result = &mut first => match result {
            Err(StoreError::AnswerLost) => second.await,
            result => result,
        },
        result = &mut second => match result {
            Err(StoreError::AnswerLost) => first.await,
            result => result,
        },
    }
}

fn name_failure(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unavailable(_) | StoreError::Unreachable => "refused",
        StoreError::ConnectionBroken => "broken",
        StoreError::AnswerLost => "lost",
        StoreError::AnswerTooLong => "too_long",
        StoreError::HistoryGone => "history_gone",
        StoreError::Conflict => "conflict",
        _ => "failed",
    }
}
