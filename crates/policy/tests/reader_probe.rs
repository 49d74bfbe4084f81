//! When nodes that follow the platform's store look for a reader.

use std::time::Duration;

use streamfold_policy::reader_probe::{PROBE_TIMEOUT, ProbeSchedule, is_probe_first};
use streamfold_policy::store_backoff::backoff_delay;

/// The pauses of a node, by whether the store refuses calls.
fn pauses(is_refused: &[bool]) -> Vec<Duration> {
    let mut plan = ProbeSchedule::default();
    is_refused.iter().map(|is_refused| plan.next_pause(*is_refused)).collect()
}

#[test]
fn looks_in_vain_grow_rare() {
    insta::assert_snapshot!(format!("{:?}", pauses(&[false; 5])), @"[500ms, 1s, 2s, 3s, 3s]");
}

/// A node of a later rank that was answered first followed the store by itself for three seconds: it had looked so
/// often while the store was away that the next look was as late as in calm times.
#[test]
fn looks_begin_anew_when_the_store_is_back() {
    let away = [[true; 12].as_slice(), &[false; 3]].concat();
    insta::assert_snapshot!(format!("{:?}", &pauses(&away)[11..]), @"[500ms, 500ms, 1s, 2s]");
}

#[test]
fn all_but_the_first_node_look_before_they_ask_again() {
    assert!(!is_probe_first(0));
    assert!((1..20).all(is_probe_first));
    assert!((1..20).all(|rank| PROBE_TIMEOUT < backoff_delay(0, rank)), "a look is short beside the pause");
}
