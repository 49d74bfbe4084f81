//! A failure domain counts as unreachable when several servers are overdue and nothing responds.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::domain_reach::{DomainReach, SilenceContext};

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// For how many milliseconds after `from` the failure domain counts as unreachable.
fn unreachable_for(reach: &DomainReach, from: u64) -> u64 {
    (0..10_000).find(|millis| !reach.is_unreachable(at(from + millis))).expect("an end")
}

#[test]
fn several_overdue_servers_without_a_response_make_it_unreachable_longer_each_time() {
    let mut reach = DomainReach::default();
    let mut now = 100;
    let mut spans = Vec::new();
    for _ in 0..5 {
        let becomes_unreachable: Vec<bool> = ["a", "a", "b", "c", "d"]
            .map(|who| reach.note_overdue(at(now + 120), at(now), who, SilenceContext::NoneUnreachable))
            .into();
        assert_eq!(becomes_unreachable, [false, false, false, true, false]);
        let span = unreachable_for(&reach, now + 120);
        spans.push(span);
        now += 120 + span;
    }
    insta::assert_debug_snapshot!(spans);
    reach.note_contact(at(now));
    assert!(!reach.is_unreachable(at(now)), "any response ends it");
}

#[test]
fn a_response_since_the_call_started_shows_that_only_the_servers_are_slow() {
    let mut reach = DomainReach::default();
    reach.note_contact(at(120));
    for who in ["a", "b", "c", "d"] {
        assert!(!reach.note_overdue(at(150), at(110), who, SilenceContext::NoneUnreachable));
    }
    // Two servers are overdue, then a response arrives, then two more are overdue.
    let later =
        |reach: &mut DomainReach, who| reach.note_overdue(at(200), at(160), who, SilenceContext::NoneUnreachable);
    assert!(!later(&mut reach, "a") && !later(&mut reach, "b"));
    reach.note_contact(at(170));
    assert!(
        !reach.note_overdue(at(210), at(180), "c", SilenceContext::NoneUnreachable)
            && !reach.note_overdue(at(210), at(180), "d", SilenceContext::NoneUnreachable)
    );
    assert!(!reach.is_unreachable(at(210)));
}

#[test]
fn an_unreachable_domain_stays_so_while_probes_fail() {
    let mut reach = DomainReach::default();
    reach.note_probe_failure(at(50));
    assert!(!reach.is_unreachable(at(50)), "one failed probe says nothing about the other nodes");
    for who in ["a", "b", "c"] {
        reach.note_overdue(at(160), at(60), who, SilenceContext::NoneUnreachable);
    }
    for probed in (200..3_000).step_by(250) {
        reach.note_probe_failure(at(probed));
        assert!(reach.is_unreachable(at(probed + 500)));
    }
    assert_eq!(unreachable_for(&reach, 2_950), 800);
    reach.note_contact(at(3_000));
    assert!(!reach.is_unreachable(at(3_000)));
}

#[test]
fn two_overdue_servers_are_enough_beside_another_unreachable_domain() {
    let mut reach = DomainReach::default();
    let mut becomes_unreachable = |who| reach.note_overdue(at(100), at(60), who, SilenceContext::OtherUnreachable);
    assert_eq!([becomes_unreachable("a"), becomes_unreachable("a"), becomes_unreachable("b")], [false, false, true]);
}

#[test]
fn a_first_call_to_another_region_has_time_to_be_answered() {
    let mut reach = DomainReach::default();
    for who in ["a", "b", "c"] {
        reach.note_overdue(at(90), at(60), who, SilenceContext::NoneUnreachable);
    }
    assert!(!reach.is_unreachable(at(159)), "no response for 99 ms");
    assert!(reach.is_unreachable(at(160)));
    reach.note_contact(at(161));
    assert!(!reach.is_unreachable(at(161)));
}

#[test]
fn overdue_calls_outside_the_time_window_do_not_count_together() {
    let mut reach = DomainReach::default();
    let mut becomes_unreachable =
        |now: u64, who| reach.note_overdue(at(now + 100), at(now), who, SilenceContext::NoneUnreachable);
    assert_eq!(
        [
            becomes_unreachable(10, "a"),
            becomes_unreachable(20, "b"),
            becomes_unreachable(700, "c"),
            becomes_unreachable(710, "d")
        ],
        [false; 4]
    );
    assert!(becomes_unreachable(720, "e"), "three within half a second");
}
