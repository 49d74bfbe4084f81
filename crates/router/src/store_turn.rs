//! Circuit breaker for the platform's store. While the store refuses calls or breaks their connections, for example
//! because it rejects some of the nodes, one call of this node at a time probes whether the store accepts calls again,
//! and the others wait. Every refused call costs the platform as much as an answered one.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use streamfold_policy::{reader_probe, store_backoff};
use streamfold_store::StoreError;
use tokio::sync::{Mutex, MutexGuard, Notify};
use tokio::time::Instant;

/// How long calls wait for the one that probes the store. A rejected call returns within a few milliseconds, and calls
/// must not wait for a slow store twice.
const PROBE_WAIT: Duration = Duration::from_millis(200);

/// The delay after `failures` consecutive failed calls, with jitter so that nodes do not call the store together.
pub(crate) fn backoff_delay(failures: u32) -> Duration {
    jitter(store_backoff::backoff_delay(failures, 0))
}

fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.0))
}

/// The circuit breaker for this node's store calls.
#[derive(Debug, Default)]
pub struct StoreBreaker {
    is_refused: AtomicBool,
    /// Whether it is unknown if the store accepts calls, so that one call must probe it.
    is_probe_required: AtomicBool,
    /// The rank of this node among the nodes of its failure domain that read the store.
    rank: AtomicUsize,
    refusals: Mutex<RefusalRecord>,
    /// Notified before a refused call is retried, to probe for a reader first.
    reader_probe_requested: Notify,
    /// Notified when a probe found no reader.
    no_reader_found: Notify,
}

/// Consecutive refused calls.
#[derive(Debug, Default)]
struct RefusalRecord {
    count: u32,
    retry_at: Option<Instant>,
}

impl StoreBreaker {
    /// Whether the store refused a call and no serialised call has got through since.
    pub fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }

    /// Lets one call probe whether the store accepts calls before others are made. Called when the connection that
    /// delivered updates from the store has ended.
    pub fn require_probe(&self) {
        self.is_probe_required.store(true, Ordering::Relaxed);
    }

    /// Sets the rank of this node in its failure domain. Nodes with a lower rank call a store that refuses calls more
    /// often.
    pub fn set_rank(&self, rank: usize) {
        self.rank.store(rank, Ordering::Relaxed);
    }

    /// Makes a call. While the store refuses calls, they are made one at a time.
    ///
    /// # Errors
    /// Those of the call.
    pub async fn call<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        if !self.is_serialised() {
            return self.call_directly(call).await;
        }
        let Some(mut refusals) = self.wait_for_lock().await else { return self.call_directly(call).await };
        if let Some(retry_at) = refusals.retry_at.filter(|at| *at > Instant::now()) {
            tokio::time::sleep_until(retry_at).await;
            self.probe_for_reader().await;
        }
        let result = call.await;
        match is_refusal(&result) {
            true => self.note_refusal(&mut refusals),
            // Also after a lost answer: it is no longer known that the store refuses calls.
            false => {
                *refusals = RefusalRecord::default();
                self.is_refused.store(false, Ordering::Relaxed);
                self.is_probe_required.store(false, Ordering::Relaxed);
            }
        }
        result
    }

    /// Waits until a probe for a reader is requested.
    pub async fn wait_probe_request(&self) {
        self.reader_probe_requested.notified().await;
    }

    /// Records that no reader was found. If one was found, the calls that wait here are dropped, since the node then
    /// follows that reader.
    pub fn note_no_reader(&self) {
        self.no_reader_found.notify_waiters();
    }

    /// Requests a probe for a reader if nodes that rank before this one may already follow the store again.
    async fn probe_for_reader(&self) {
        let rank = self.rank.load(Ordering::Relaxed);
        if !reader_probe::is_probe_first(rank) {
            return;
        }
        let mut no_reader = std::pin::pin!(self.no_reader_found.notified());
        no_reader.as_mut().enable();
        self.reader_probe_requested.notify_one();
        // Unresponsive readers are not waited for.
        let has_no_reader = tokio::time::timeout(reader_probe::PROBE_TIMEOUT, no_reader).await.is_ok();
        tracing::debug!(event = "reader_looked_for", rank, is_in_vain = has_no_reader);
    }

    /// Waits for the exclusive right to call the store; `None` if calls need not be serialised, or no longer.
    async fn wait_for_lock(&self) -> Option<MutexGuard<'_, RefusalRecord>> {
        let early_lock = tokio::time::timeout(PROBE_WAIT, self.refusals.lock()).await;
        let lock = match early_lock {
            Ok(lock) => lock,
            Err(_) if self.is_refused() => self.refusals.lock().await,
            // The store is slow but does not refuse calls.
            Err(_) => return None,
        };
        // The previous call may have found that the store accepts calls.
        self.is_serialised().then_some(lock)
    }

    /// Whether calls are made one at a time.
    fn is_serialised(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed) || self.is_probe_required.load(Ordering::Relaxed)
    }

    async fn call_directly<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        let result = call.await;
        if is_refusal(&result) {
            self.note_refusal(&mut *self.refusals.lock().await);
        }
        result
    }

    fn note_refusal(&self, refusals: &mut RefusalRecord) {
        let rank = self.rank.load(Ordering::Relaxed);
        refusals.retry_at = Some(Instant::now() + jitter(store_backoff::backoff_delay(refusals.count, rank)));
        refusals.count += 1;
        self.is_refused.store(true, Ordering::Relaxed);
    }
}

fn is_refusal<T>(result: &Result<T, StoreError>) -> bool {
    result.as_ref().is_err_and(is_refusal_error)
}

/// Whether an error means that the store currently accepts no calls. A late answer does not, since other calls may be
/// answered.
pub(crate) fn is_refusal_error(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Unavailable(_) | StoreError::Unreachable | StoreError::ConnectionBroken | StoreError::AnswerTooLong
    )
}
