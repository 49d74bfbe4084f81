//! Decision mechanisms that can be switched off.

use std::time::Duration;

use streamfold_policy::replica::{CallSample, Distance, ReplicaState};
use streamfold_policy::{Mechanism, MechanismSet, Moment};

const TYPICAL: Duration = Duration::from_millis(10);
const SLOW_PERIOD: Duration = Duration::from_secs(1);

/// The cost of a server that is warming up, has refused a call and has reported a load.
fn cost_without(mechanisms: &[Mechanism]) -> f64 {
    let now = Moment(1_000_000);
    let warm_at = now.plus(Duration::from_secs(1));
    let mut state = ReplicaState::new(2, warm_at).with_mechanisms(MechanismSet::without(mechanisms));
    state.start(now);
    state.finish(now, now, CallSample::Answered);
    state.start(now);
    state.finish(now, now, CallSample::Full);
    state.record_load(now, 2, 3);
    state.cost(now, Distance::Domain, TYPICAL, SLOW_PERIOD)
}

#[test]
fn each_mechanism_can_be_left_out_of_the_cost() {
    use Mechanism::{FailureBackoff, RefusalPenalty, ReportedLoad, WarmUp};
    let first =
        [vec![], vec![FailureBackoff], vec![FailureBackoff, RefusalPenalty], vec![FailureBackoff, ReportedLoad]];
    let more = [vec![FailureBackoff, WarmUp], vec![FailureBackoff, WarmUp, ReportedLoad, RefusalPenalty]];
    let costs = first.iter().chain(&more).map(|without| format!("{without:?}: {:.0}", cost_without(without)));
    insta::assert_snapshot!(costs.collect::<Vec<_>>().join("\n"));
}

#[test]
fn names_parse_and_unknown_names_are_refused_with_the_known_ones() {
    let error = "hedges".parse::<Mechanism>().expect_err("no mechanism of this name");
    insta::assert_snapshot!(error);
    let listed = error.to_string();
    let (_, names) = listed.split_once("; there are ").expect("the known names");
    for name in names.split(", ") {
        assert_eq!(name.parse::<Mechanism>().expect("a mechanism").to_string(), name);
    }
}
