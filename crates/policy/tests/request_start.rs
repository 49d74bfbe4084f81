//! Callers that open a connection have waited for its handshake before their request is read.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::request_start::find_request_start;

const ONE_WAY: Duration = Duration::from_millis(3);

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

#[test]
fn the_first_request_of_a_connection_includes_its_handshake() {
    assert_eq!(find_request_start(at(100), Some(at(100)), ONE_WAY), at(94), "a round trip");
    assert_eq!(find_request_start(at(104), Some(at(100)), ONE_WAY), at(94), "the node read it late");
}

#[test]
fn later_requests_and_those_on_a_preopened_connection_start_when_read() {
    assert_eq!(find_request_start(at(100), None, ONE_WAY), at(100));
    assert_eq!(find_request_start(at(900), Some(at(100)), ONE_WAY), at(900));
}

#[test]
fn a_request_never_starts_before_the_node() {
    assert_eq!(find_request_start(at(2), Some(at(2)), ONE_WAY), at(0));
}
