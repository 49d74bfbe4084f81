//! The failure detector, also after a stall of the own process.

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

/// A table of a node that has run for a while and has just received the other node's last heartbeat.
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
fn a_node_without_heartbeats_is_declared_dead() {
    let (mut table, mut now) = table();
    for _ in 0..10 {
        now = now.plus(BEAT);
        table.update_own(now, |_| {});
    }
    assert_eq!(table.health(now, &node("other")), MemberHealth::Dead);
}

/// Guards against false failure detection by a node that got no processor time for seconds on a busy machine. It
/// received no heartbeats in that time, and reported tickets of live nodes as lost: at a load of 25 on 8 cores that
/// affected 24 to 30 of 50 orders.
#[test]
fn a_stall_of_this_node_does_not_make_other_nodes_dead() {
    let (mut table, now) = table();
    let resumed = now.plus(Duration::from_secs(5));
    assert_ne!(table.health(resumed, &node("other")), MemberHealth::Dead, "before its own next heartbeat");
    table.update_own(resumed, |_| {});
    assert_ne!(table.health(resumed, &node("other")), MemberHealth::Dead, "after its own next heartbeat");
    let later = resumed.plus(BEAT * 4);
    table.update_own(later, |_| {});
    assert_ne!(table.health(later, &node("other")), MemberHealth::Dead);
    let mut silent = later;
    for _ in 0..10 {
        silent = silent.plus(BEAT);
        table.update_own(silent, |_| {});
    }
    assert_eq!(table.health(silent, &node("other")), MemberHealth::Dead, "silent while this node was running");
}
