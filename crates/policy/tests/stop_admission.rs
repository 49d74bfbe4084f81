//! Calls of a node that is stopping.

use std::time::Duration;

use streamfold_policy::finish_estimate::ServerEstimate;
use streamfold_policy::stop_admission::is_call_in_time;

const LEFT: Duration = Duration::from_secs(3);
const LONG: Duration = Duration::from_millis(3_001);

/// Guards against calls whose servers usually work longer than the node lives.
#[test]
fn a_call_that_usually_takes_longer_than_the_node_lives_is_not_made() {
    assert!(!is_call_in_time(LEFT, Some(LONG), ServerEstimate::UNKNOWN));
    assert!(is_call_in_time(LEFT, Some(LEFT), ServerEstimate::UNKNOWN));
}

/// Guards against refusals of requests that would have been served.
#[test]
fn a_call_is_made_while_nothing_tells_that_it_takes_too_long() {
    assert!(is_call_in_time(LEFT, None, ServerEstimate::UNKNOWN));
    let once = ServerEstimate { finish: LONG, observations: 1 };
    assert!(is_call_in_time(LEFT, None, once), "a single observation may be wrong");
}

#[test]
fn a_call_to_a_server_that_is_confirmed_to_take_too_long_is_not_made() {
    let confirmed = ServerEstimate { finish: LONG, observations: 2 };
    assert!(!is_call_in_time(LEFT, None, confirmed));
    assert!(!is_call_in_time(LEFT, Some(Duration::from_millis(5)), confirmed));
}
