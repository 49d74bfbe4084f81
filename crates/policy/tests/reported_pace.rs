//! What servers tell of their pace is believed as long as their spells are seen to last.

use std::time::Duration;

use streamfold_policy::replica::{Distance, ReplicaState};
use streamfold_policy::reported_pace::{ReportedPace, SlowPeriodSample, SlowPeriodStats};
use streamfold_policy::{Mechanism, MechanismSet, Moment};

const TYPICAL: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// The length of spells that a record finds, where servers that are asked each `look` are slow for `spell`.
fn measure(spell: Duration, look: Duration) -> Duration {
    let mut record = SlowPeriodStats::default();
    for _ in 0..300 {
        let looks = (spell.as_millis() / look.as_millis()).max(1);
        (1..looks).for_each(|_| record.add(SlowPeriodSample { span: look, is_slow: true }));
        record.add(SlowPeriodSample { span: look, is_slow: false });
    }
    record.mean()
}

#[test]
fn spells_are_found_as_long_as_they_are() {
    for (spell, look) in [(400, 40), (2_000, 100), (8_000, 200)] {
        let found = measure(Duration::from_millis(spell), Duration::from_millis(look)).as_millis() as f64;
        let ratio = found / spell as f64;
        assert!((0.8..1.25).contains(&ratio), "{spell} ms are taken for {found} ms");
    }
}

#[test]
fn a_slow_word_fades_as_spells_end_and_a_later_one_replaces_it() {
    let mut belief = ReportedPace::default();
    assert_eq!(belief.stretch(at(0), SECOND), 1.0);
    assert_eq!(belief.learn(at(0), 4.0), None);
    let told: Vec<String> =
        [0, 500, 1_000, 3_000].map(|age| format!("{age} ms: {:.2}", belief.stretch(at(age), SECOND))).into();
    insta::assert_snapshot!(told.join("\n"));
    assert_eq!(belief.learn(at(200), 4.0), Some(SlowPeriodSample { span: Duration::from_millis(200), is_slow: true }));
    assert_eq!(belief.learn(at(300), 1.0), Some(SlowPeriodSample { span: Duration::from_millis(100), is_slow: false }));
    assert_eq!(belief.stretch(at(300), SECOND), 1.0);
    assert_eq!(belief.learn(at(400), 0.5), None);
    assert_eq!(belief.stretch(at(400), SECOND), 1.0, "a fast word makes no server cheaper than a usual one");
}

/// The load: one server of a shard is near and eight times as slow as usual, for seconds; the others are
/// far. Its own open calls tell the node nothing while it is left.
#[test]
fn a_server_that_tells_a_slow_pace_is_left_and_looked_at_again_as_spells_end() {
    let choose = |mechanisms: MechanismSet, spell: Duration, age: u64| {
        let mut near = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        near.record_reported_pace(at(0), 8.0);
        let far = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        let near = near.cost(at(age), Distance::Domain, TYPICAL, spell);
        let far = far.cost(at(age), Distance::Far, TYPICAL, spell);
        if near < far { "near" } else { "far" }
    };
    let all = MechanismSet::default();
    assert_eq!([0, 300, 3_000].map(|age| choose(all, SECOND, age)), ["far", "far", "near"]);
    assert_eq!([0, 300, 3_000].map(|age| choose(all, 8 * SECOND, age)), ["far", "far", "far"]);
    let without = MechanismSet::without(&[Mechanism::ReportedPace]);
    assert_eq!(choose(without, SECOND, 0), "near");
}
