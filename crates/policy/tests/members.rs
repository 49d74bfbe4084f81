//! What a node believes of others when it did not run itself.

use std::time::Duration;

use streamfold_model::operator::MemberHealth;
use streamfold_model::{ConfigVersion, Incarnation, NodeId};
use streamfold_policy::{MemberEntry, MemberState, MemberTable, MemberTimes, Moment};

const BEAT: Duration = Duration::from_millis(200);
const TIMES: MemberTimes = MemberTimes {
    suspect_after: Duration::from_millis(1_000),
    dead_after: Duration::from_millis(2_000),
    forget_after: Duration::from_secs(60),
};

fn node(name: &str) -> NodeId {
    name.parse().expect("a name")
}

fn entry(name: &str, beat: u64) -> MemberEntry {
    MemberEntry {
        node: node(name),
        incarnation: Incarnation(1),
        beat,
        domain: "zone-a".parse().expect("a name"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        operator_address: "127.0.0.1:2".parse().expect("an address"),
        state: MemberState::Live,
        config: ConfigVersion(0),
        config_age_ms: 0,
    }
}

/// A table whose own node has run for a while and heard another one last at its last beat.
fn table() -> (MemberTable, Moment) {
    let mut now = Moment::default();
    let mut table = MemberTable::new(entry("own", 0), TIMES, now);
    for beat in 1..10 {
        now = now.plus(BEAT);
        table.update_own(now, |_| {});
        table.learn(now, entry("other", beat));
    }
    (table, now)
}

#[test]
fn a_node_that_is_silent_while_this_one_runs_is_dead() {
    let (mut table, mut now) = table();
    for _ in 0..10 {
        now = now.plus(BEAT);
        table.update_own(now, |_| {});
    }
    assert_eq!(table.health(now, &node("other")), MemberHealth::Dead);
}

/// A machine that is too busy gives this node no processor for seconds. It then heard nobody, since it did not listen, and
/// told callers that tickets of living nodes were lost: 24 to 30 of 50 orders ran beside a load of 25 on 8 cores.
#[test]
fn time_in_which_this_node_did_not_run_does_not_count_against_others() {
    let (mut table, now) = table();
    let woken = now.plus(Duration::from_secs(5));
    assert_ne!(table.health(woken, &node("other")), MemberHealth::Dead, "before its own next beat");
    table.update_own(woken, |_| {});
    assert_ne!(table.health(woken, &node("other")), MemberHealth::Dead, "after it");
    let later = woken.plus(BEAT * 4);
    table.update_own(later, |_| {});
    assert_ne!(table.health(later, &node("other")), MemberHealth::Dead);
    let mut silent = later;
    for _ in 0..10 {
        silent = silent.plus(BEAT);
        table.update_own(silent, |_| {});
    }
    assert_eq!(table.health(silent, &node("other")), MemberHealth::Dead, "now it was listened to");
}
