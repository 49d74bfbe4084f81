//! The pace that servers report decays with the measured length of slow periods.

use std::time::Duration;

use streamfold_policy::replica::{Distance, ReplicaState};
use streamfold_policy::reported_pace::{ReportedPace, SlowPeriodSample, SlowPeriodStats};
use streamfold_policy::{Mechanism, MechanismSet, Moment};

const TYPICAL: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// Measured length of slow periods, when servers that report every `interval` are slow for `slow_period`.
fn measure(slow_period: Duration, interval: Duration) -> Duration {
    let mut stats = SlowPeriodStats::default();
    for _ in 0..300 {
        let reports = (slow_period.as_millis() / interval.as_millis()).max(1);
        (1..reports).for_each(|_| stats.add(SlowPeriodSample { span: interval, is_slow: true }));
        stats.add(SlowPeriodSample { span: interval, is_slow: false });
    }
    stats.mean()
}

#[test]
fn the_measured_mean_matches_the_length_of_slow_periods() {
    for (slow_period, interval) in [(400, 40), (2_000, 100), (8_000, 200)] {
        let found = measure(Duration::from_millis(slow_period), Duration::from_millis(interval)).as_millis() as f64;
        let ratio = found / slow_period as f64;
        assert!((0.8..1.25).contains(&ratio), "{slow_period} ms are measured as {found} ms");
    }
}

#[test]
fn a_report_decays_with_the_slow_period_and_is_replaced_by_a_later_one() {
    let mut reported_pace = ReportedPace::default();
    assert_eq!(reported_pace.slowdown(at(0), SECOND), 1.0);
    assert_eq!(reported_pace.record(at(0), 4.0), None);
    let lines: Vec<String> =
        [0, 500, 1_000, 3_000].map(|age| format!("{age} ms: {:.2}", reported_pace.slowdown(at(age), SECOND))).into();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(
        reported_pace.record(at(200), 4.0),
        Some(SlowPeriodSample { span: Duration::from_millis(200), is_slow: true })
    );
    assert_eq!(
        reported_pace.record(at(300), 1.0),
        Some(SlowPeriodSample { span: Duration::from_millis(100), is_slow: false })
    );
    assert_eq!(reported_pace.slowdown(at(300), SECOND), 1.0);
    assert_eq!(reported_pace.record(at(400), 0.5), None);
    assert_eq!(
        reported_pace.slowdown(at(400), SECOND),
        1.0,
        "a report of a fast pace does not make a server cheaper than a usual one"
    );
}

/// The near server of a shard is eight times as slow as usual for seconds, and the others are far away. While it is
/// avoided, it has no open calls that would give the node new information.
#[test]
fn a_server_that_reports_a_slow_pace_is_avoided_and_probed_again_after_a_slow_period() {
    let choose = |mechanisms: MechanismSet, slow_period: Duration, age: u64| {
        let mut near = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        near.record_reported_pace(at(0), 8.0);
        let far = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        let near = near.cost(at(age), Distance::Domain, TYPICAL, slow_period);
        let far = far.cost(at(age), Distance::Far, TYPICAL, slow_period);
        if near < far { "near" } else { "far" }
    };
    let all = MechanismSet::default();
    assert_eq!([0, 300, 3_000].map(|age| choose(all, SECOND, age)), ["far", "far", "near"]);
    assert_eq!([0, 300, 3_000].map(|age| choose(all, 8 * SECOND, age)), ["far", "far", "far"]);
    let without = MechanismSet::without(&[Mechanism::ReportedPace]);
    assert_eq!(choose(without, SECOND, 0), "near");
}
