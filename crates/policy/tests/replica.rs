//! Estimates from what a server reports about itself, whatever it reports.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::entry_gate::{EntryDecision, EntryGate, EntryRequest, EntryRule};
use streamfold_policy::finish_estimate::FinishEstimator;
use streamfold_policy::replica::ReplicaState;
use streamfold_policy::retry_after::{RefusalReason, choose_retry_after};

/// Usual duration of a call of a route whose target latency is two hours.
const LONG_CALL: Duration = Duration::from_secs(1_080);
const SLOW_PERIOD: Duration = Duration::from_secs(1);

/// When a call is expected to finish at a server that has just reported this pace and load.
fn expected_finish(typical: Duration, pace: f64, running: u32, waiting: u32) -> Duration {
    let mut state = ReplicaState::new(1, Moment(0));
    state.record_reported_pace(Moment(0), pace);
    state.record_load(Moment(0), running, waiting);
    state.estimate_finish(Moment(0), typical, SLOW_PERIOD).finish
}

#[test]
fn the_largest_reported_pace_and_load_refuse_a_request_with_a_time_to_retry() {
    let expected = expected_finish(LONG_CALL, f64::from(u32::MAX) / 100.0, u32::MAX, u32::MAX);
    let request = EntryRequest {
        priority: streamfold_model::Priority(0),
        target: LONG_CALL,
        left: LONG_CALL,
        expected: Some(expected),
        waited: Duration::ZERO,
    };
    let EntryDecision::CannotFinish { wait } = EntryGate::default().decide(Moment(0), &request) else {
        panic!("the request is refused");
    };
    assert!(choose_retry_after(RefusalReason::Overload { wait }, 1.0) >= wait);
}

quickcheck! {
    fn any_report_gives_an_estimate(typical_us: u64, hundredths: u32, running: u32, waiting: u32) -> bool {
        let typical = Duration::from_micros(typical_us);
        let finish = expected_finish(typical, f64::from(hundredths) / 100.0, running, waiting);
        finish <= Duration::MAX
    }
}
