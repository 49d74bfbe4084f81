//! A node refuses batches at once if they exceed the work that it can finish in time.

use std::time::Duration;

use streamfold_model::CoreShare;
use streamfold_policy::Moment;
use streamfold_policy::batch_gate::BatchGate;

const WITHIN: Duration = Duration::from_millis(60);

/// Offers a batch of 70 shards at each interval for a second; returns how many were accepted of those offered.
fn offer(power: u32, interval: Duration) -> String {
    let mut gate = BatchGate::default();
    let mut now = Moment::default().plus(Duration::from_secs(1));
    let count = (Duration::from_secs(1).as_micros() / interval.as_micros()) as usize;
    let accepted = (0..count)
        .filter(|_| {
            now = now.plus(interval);
            gate.admit(now, 70, CoreShare(power), WITHIN).is_ok()
        })
        .count();
    format!("{power}: {accepted} of {count}")
}

#[test]
fn a_burst_is_accepted_as_far_as_the_processor_can_finish_it_in_time() {
    let interval = Duration::from_millis(2);
    insta::assert_snapshot!([120, 250, 500, 2_000].map(|power| offer(power, interval)).join("\n"));
}

#[test]
fn an_idle_node_accepts_a_batch_of_any_size() {
    let mut gate = BatchGate::default();
    let now = Moment::default().plus(Duration::from_secs(1));
    assert_eq!(gate.admit(now, 10_000, CoreShare(120), WITHIN), Ok(()));
    let wait = gate.admit(now, 1, CoreShare(120), WITHIN).expect_err("a wait");
    assert!(wait > Duration::from_secs(3), "{wait:?}");
    assert_eq!(gate.admit(now.plus(wait), 1, CoreShare(120), WITHIN), Ok(()));
}
