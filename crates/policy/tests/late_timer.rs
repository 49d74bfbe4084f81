//! When a request acts on its alarms.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::late_timer::TimerWatch;

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// Guards against second calls by a node that goes on after a pause, before it has read what came meanwhile.
#[test]
fn an_alarm_that_fires_far_too_late_is_put_off_once() {
    let mut watch = TimerWatch::default();
    assert!(watch.is_due(at(59), at(55)), "timers are a little late");
    assert_eq!(watch.wake_at(at(55)), at(55));
    assert!(!watch.is_due(at(400), at(55)), "the node did not run");
    assert_eq!([watch.wake_at(at(55)), watch.wake_at(at(500))], [at(405), at(500)]);
    assert!(watch.is_due(at(450), at(405)), "it is not put off for ever");
    assert!(!watch.is_due(at(900), at(500)), "the next pause counts anew");
}
