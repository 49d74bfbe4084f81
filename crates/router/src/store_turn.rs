//! Turns at the platform's store. While it refuses calls or breaks their connections, as when it turns some nodes
//! away, one of this node's asks at a time whether it takes them again, and the others wait: every refused call
//! costs the platform as much as an answered one.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use streamfold_policy::{reader_probe, store_backoff};
use streamfold_store::StoreError;
use tokio::sync::{Mutex, MutexGuard, Notify};
use tokio::time::Instant;

/// How long calls wait for the one that finds out whether the store takes calls: one that is turned away knows within a
/// few milliseconds, and a slow store is not to be waited for twice.
const DOUBT_WITHIN: Duration = Duration::from_millis(200);

/// The pause after so many failed calls in a row, spread so that nodes do not ask together.
pub(crate) fn choose_pause(failures: u32) -> Duration {
    spread(store_backoff::backoff_delay(failures, 0))
}

fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}

/// The turn of this node's calls while the store refuses them.
#[derive(Debug, Default)]
pub struct StoreTurn {
    is_refused: AtomicBool,
    /// Whether it is not known that the store takes calls.
    is_doubtful: AtomicBool,
    /// The rank of this node among those of its failure domain that ask the store.
    rank: AtomicUsize,
    refusals: Mutex<RefusalRecord>,
    /// A call that was refused is about to be made again, and a reader is to be looked for first.
    look_wanted: Notify,
    /// A reader was looked for in vain.
    looked_in_vain: Notify,
}

/// Calls refused in a row.
#[derive(Debug, Default)]
struct RefusalRecord {
    count: u32,
    again_at: Option<Instant>,
}

impl StoreTurn {
    /// Whether the store refused the last call that was made in turn.
    pub fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }

    /// Lets one call find out whether the store takes calls before others are made: what told of the store has
    /// broken off.
    pub fn doubt(&self) {
        self.is_doubtful.store(true, Ordering::Relaxed);
    }

    /// Takes the rank of this node in its failure domain: those before it ask a store that refuses more often.
    pub fn set_rank(&self, rank: usize) {
        self.rank.store(rank, Ordering::Relaxed);
    }

    /// Makes a call, in its turn while calls are refused.
    ///
    /// # Errors
    /// Those of the call.
    pub async fn call<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        if !self.is_needed() {
            return self.call_at_once(call).await;
        }
        let Some(mut refusals) = self.wait_turn().await else { return self.call_at_once(call).await };
        if let Some(again_at) = refusals.again_at.filter(|at| *at > Instant::now()) {
            tokio::time::sleep_until(again_at).await;
            self.look_first().await;
        }
        let result = call.await;
        match is_refusal(&result) {
            true => self.note_refusal(&mut refusals),
            // Also one that was lost: whether the store refuses is not known any more.
            false => {
                *refusals = RefusalRecord::default();
                self.is_refused.store(false, Ordering::Relaxed);
                self.is_doubtful.store(false, Ordering::Relaxed);
            }
        }
        result
    }

    /// Waits until a look for a reader is wanted.
    pub async fn wait_look_wanted(&self) {
        self.look_wanted.notified().await;
    }

    /// Takes that no reader was found. After one that was, what waits here is dropped: it follows that reader.
    pub fn note_looked_in_vain(&self) {
        self.looked_in_vain.notify_waiters();
    }

    /// Has a reader looked for, where those before this node may follow the store again.
    async fn look_first(&self) {
        let rank = self.rank.load(Ordering::Relaxed);
        if !reader_probe::is_probe_first(rank) {
            return;
        }
        let mut in_vain = std::pin::pin!(self.looked_in_vain.notified());
        in_vain.as_mut().enable();
        self.look_wanted.notify_one();
        // Readers that are silent are not waited for.
        let is_in_vain = tokio::time::timeout(reader_probe::PROBE_TIMEOUT, in_vain).await.is_ok();
        tracing::debug!(event = "reader_looked_for", rank, is_in_vain);
    }

    /// Waits for the turn of a call; none if it need not, or no longer.
    async fn wait_turn(&self) -> Option<MutexGuard<'_, RefusalRecord>> {
        let soon = tokio::time::timeout(DOUBT_WITHIN, self.refusals.lock()).await;
        let turn = match soon {
            Ok(turn) => turn,
            Err(_) if self.is_refused() => self.refusals.lock().await,
            // The store is slow.
            Err(_) => return None,
        };
        // The call before it may have found that the store takes calls.
        self.is_needed().then_some(turn)
    }

    /// Whether calls go one at a time.
    fn is_needed(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed) || self.is_doubtful.load(Ordering::Relaxed)
    }

    async fn call_at_once<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        let result = call.await;
        if is_refusal(&result) {
            self.note_refusal(&mut *self.refusals.lock().await);
        }
        result
    }

    fn note_refusal(&self, refusals: &mut RefusalRecord) {
        let rank = self.rank.load(Ordering::Relaxed);
        refusals.again_at = Some(Instant::now() + spread(store_backoff::backoff_delay(refusals.count, rank)));
        refusals.count += 1;
        self.is_refused.store(true, Ordering::Relaxed);
    }
}

fn is_refusal<T>(result: &Result<T, StoreError>) -> bool {
    result.as_ref().is_err_and(is_refused_by)
}

/// Whether a failure tells that the store takes no calls now. Where an answer is only late others may be answered.
pub(crate) fn is_refused_by(error: &StoreError) -> bool {
    matches!(error, StoreError::Unavailable(_) | StoreError::Unreachable | StoreError::ConnectionBroken)
}
