//! Waiting for conditions in tests, by polling.

use std::time::{Duration, Instant};

/// Default timeout of a condition; only a test that hangs waits so long.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
/// The condition does not hold within [`MAX_WAIT`].
pub async fn wait_for(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_within(MAX_WAIT, what, holds).await;
}

/// Waits until a condition holds, at most for `limit`.
///
/// # Panics
/// The condition does not hold within `limit`.
pub async fn wait_within(limit: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < limit, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
