//! Turns at the platform's store. While it refuses calls, as when it turns some nodes away, one of
//! this node's asks at a time whether it takes them again, and the others wait: every refused call
//! costs the platform as much as an answered one.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use streamfold_store::StoreError;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Pauses after a refused call: the first, doubled with each further one, and the longest. The
/// store's rates bear all nodes asking at the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// The pause after so many failed calls in a row, spread so that nodes do not ask together.
pub(crate) fn choose_pause(failures: u32) -> Duration {
    let pause = (FIRST_PAUSE * 2u32.pow(failures.min(6))).min(MAX_PAUSE);
    pause.mul_f64(rand::random_range(0.5..1.0))
}

/// The turn of this node's calls while the store refuses them.
#[derive(Debug, Default)]
pub struct StoreTurn {
    is_refused: AtomicBool,
    refusals: Mutex<RefusalRecord>,
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

    /// Makes a call, in its turn while calls are refused.
    ///
    /// # Errors
    /// Those of the call.
    pub async fn call<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        if !self.is_refused.load(Ordering::Relaxed) {
            let result = call.await;
            if is_refusal(&result) {
                self.note_refusal(&mut *self.refusals.lock().await);
            }
            return result;
        }
        let mut refusals = self.refusals.lock().await;
        if let Some(again_at) = refusals.again_at {
            tokio::time::sleep_until(again_at).await;
        }
        let result = call.await;
        match is_refusal(&result) {
            true => self.note_refusal(&mut refusals),
            // Also one that was lost: whether the store refuses is not known any more.
            false => {
                *refusals = RefusalRecord::default();
                self.is_refused.store(false, Ordering::Relaxed);
            }
        }
        result
    }

    fn note_refusal(&self, refusals: &mut RefusalRecord) {
        refusals.again_at = Some(Instant::now() + choose_pause(refusals.count));
        refusals.count += 1;
        self.is_refused.store(true, Ordering::Relaxed);
    }
}

fn is_refusal<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::Unavailable(_) | StoreError::Unreachable))
}
