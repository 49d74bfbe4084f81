//! When nodes that read the platform's store directly probe for a reader.

use std::time::Duration;

use streamfold_policy::reader_probe::{PROBE_TIMEOUT, ProbeSchedule, is_probe_first};
use streamfold_policy::store_backoff::backoff_delay;

/// The delays between the probes of a node; each flag says whether the store refuses calls.
fn delays(is_refused: &[bool]) -> Vec<Duration> {
    let mut schedule = ProbeSchedule::default();
    is_refused.iter().map(|is_refused| schedule.next_delay(*is_refused)).collect()
}

#[test]
fn delays_grow_with_failed_probes() {
    insta::assert_snapshot!(format!("{:?}", delays(&[false; 5])), @"[500ms, 1s, 2s, 3s, 3s]");
}

/// Guards against a node of a later rank that reads the store directly for three seconds, because it was answered
/// first: after many probes during the outage, its next probe came as late as in normal operation.
#[test]
fn probes_restart_when_the_store_recovers() {
    let outage = [[true; 12].as_slice(), &[false; 3]].concat();
    insta::assert_snapshot!(format!("{:?}", &delays(&outage)[11..]), @"[500ms, 500ms, 1s, 2s]");
}

#[test]
fn all_but_the_first_node_probe_before_they_call_again() {
    assert!(!is_probe_first(0));
    assert!((1..20).all(is_probe_first));
    assert!((1..20).all(|rank| PROBE_TIMEOUT < backoff_delay(0, rank)), "a probe is short compared with the backoff");
}
