//! Waiting for conditions in tests.

use std::time::{Duration, Instant};

/// How long a condition may take to hold; only a hung test waits so long.
pub const WAIT_AT_MOST: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
/// It does not within [`WAIT_AT_MOST`].
pub async fn wait_for(what: &str, holds: impl AsyncFnMut() -> bool) {
    wait_within(WAIT_AT_MOST, what, holds).await;
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
