//! The monotonic clock of the node and its timers.

use std::time::Duration;

use streamfold_router::clock::{NodeClock, suspended};

#[test]
fn the_clock_is_monotonic_and_timers_match_its_moments() {
    let clock = NodeClock::start();
    let first = clock.now();
    let second = clock.now();
    assert!(second >= first);
    let ahead = Duration::from_secs(100);
    let timer = clock.instant(second.plus(ahead));
    let left = timer - tokio::time::Instant::now();
    assert!(left <= ahead && left + clock.now().since(second) >= ahead - Duration::from_millis(1), "{left:?}");
    // A past moment is due now, not at some time before the clock was started.
    assert!(clock.instant(first) >= tokio::time::Instant::now() - Duration::from_secs(1));
}

#[test]
fn only_differences_beyond_the_clock_reading_error_count_as_suspension() {
    let duration = Duration::from_millis;
    assert_eq!(suspended(duration(5_000), duration(8_000)), duration(3_000));
    assert_eq!(
        suspended(duration(5_000), duration(5_099)),
        Duration::ZERO,
        "the two clocks are read at different times"
    );
    assert_eq!(suspended(duration(5_000), duration(4_000)), Duration::ZERO);
}
