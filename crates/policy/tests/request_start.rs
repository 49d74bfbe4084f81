//! Callers that open a connection have waited before their request is read.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::request_start::find_request_start;

const WAY: Duration = Duration::from_millis(3);

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

#[test]
fn the_first_request_of_a_connection_bears_its_handshake() {
    assert_eq!(find_request_start(at(100), Some(at(100)), WAY), at(94), "there and back");
    assert_eq!(find_request_start(at(104), Some(at(100)), WAY), at(94), "the node read it late");
}

#[test]
fn a_later_request_and_one_on_a_connection_kept_ready_bear_nothing() {
    assert_eq!(find_request_start(at(100), None, WAY), at(100));
    assert_eq!(find_request_start(at(900), Some(at(100)), WAY), at(900));
}

#[test]
fn a_request_in_the_first_moments_of_a_node_begins_with_it_at_the_earliest() {
    assert_eq!(find_request_start(at(2), Some(at(2)), WAY), at(0));
}
