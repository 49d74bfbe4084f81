//! The clock of decisions and its timers.

use std::time::Duration;

use streamfold_router::clock::{NodeClock, suspended};

#[test]
fn the_clock_goes_forward_and_timers_are_as_far_off_as_their_moments() {
    let clock = NodeClock::start();
    let first = clock.now();
    let second = clock.now();
    assert!(second >= first);
    let ahead = Duration::from_secs(100);
    let timer = clock.instant(second.plus(ahead));
    let left = timer - tokio::time::Instant::now();
    assert!(left <= ahead && left + clock.now().since(second) >= ahead - Duration::from_millis(1), "{left:?}");
    // A moment that is over is due now, not at some time before the clock began.
    assert!(clock.instant(first) >= tokio::time::Instant::now() - Duration::from_secs(1));
}

#[test]
fn only_what_a_clock_slept_through_counts_as_a_suspension() {
    let span = Duration::from_millis;
    assert_eq!(suspended(span(5_000), span(8_000)), span(3_000));
    assert_eq!(suspended(span(5_000), span(5_099)), Duration::ZERO, "two readings lie apart");
    assert_eq!(suspended(span(5_000), span(4_000)), Duration::ZERO);
}
