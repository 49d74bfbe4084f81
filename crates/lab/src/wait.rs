//! Waiting for conditions in tests.

use std::time::{Duration, Instant};

/// How long a condition may take to hold; only a hung test waits so long.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
/// It does not within [`MAX_WAIT`].
pub async fn wait_for(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_within(MAX_WAIT, what, holds).await;
}

/// Waits until a condition holds, at most so long.
///
/// # Panics
/// It does not hold in time.
pub async fn wait_within(limit: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < limit, "{what} did not come about");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
