//! A node that is handed more than it can do in time says so at once.

use std::time::Duration;

use streamfold_model::CoreShare;
use streamfold_policy::Moment;
use streamfold_policy::batch_gate::BatchGate;

const WITHIN: Duration = Duration::from_millis(60);

/// Batches of 70 shards offered each `every` for a second; those taken of those offered.
fn offer(power: u32, every: Duration) -> String {
    let mut gate = BatchGate::default();
    let mut now = Moment::default().plus(Duration::from_secs(1));
    let count = (Duration::from_secs(1).as_micros() / every.as_micros()) as usize;
    let taken = (0..count)
        .filter(|_| {
            now = now.plus(every);
            gate.admit(now, 70, CoreShare(power), WITHIN).is_ok()
        })
        .count();
    format!("{power}: {taken} of {count}")
}

#[test]
fn a_burst_is_taken_as_far_as_the_processor_can_do_it_in_time() {
    let every = Duration::from_millis(2);
    insta::assert_snapshot!([120, 250, 500, 2_000].map(|power| offer(power, every)).join("\n"));
}

#[test]
fn an_idle_node_takes_a_batch_however_large() {
    let mut gate = BatchGate::default();
    let now = Moment::default().plus(Duration::from_secs(1));
    assert_eq!(gate.admit(now, 10_000, CoreShare(120), WITHIN), Ok(()));
    let wait = gate.admit(now, 1, CoreShare(120), WITHIN).expect_err("a wait");
    assert!(wait > Duration::from_secs(3), "{wait:?}");
    assert_eq!(gate.admit(now.plus(wait), 1, CoreShare(120), WITHIN), Ok(()));
}
