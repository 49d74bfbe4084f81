//! When a request acts on its timers.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::late_timer::TimerWatch;

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// Guards against hedges by a node that resumes after a pause and has not yet read what arrived meanwhile.
#[test]
fn a_timer_that_fires_far_too_late_is_postponed_once() {
    let mut watch = TimerWatch::default();
    assert!(watch.is_due(at(59), at(55)), "timers are a little late");
    assert_eq!(watch.wake_at(at(55)), at(55));
    assert!(!watch.is_due(at(400), at(55)), "the node was paused");
    assert_eq!([watch.wake_at(at(55)), watch.wake_at(at(500))], [at(405), at(500)]);
    assert!(watch.is_due(at(450), at(405)), "it is postponed only once");
    assert!(!watch.is_due(at(900), at(500)), "a later pause postpones again");
}
