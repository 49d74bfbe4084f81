//! A failure domain is taken for dark where several are silent and nothing is heard.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::domain_reach::{DomainReach, SilenceContext};

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// For how many milliseconds from a moment on it is taken for dark.
fn dark_for(reach: &DomainReach, from: u64) -> u64 {
    (0..10_000).find(|millis| !reach.is_unreachable(at(from + millis))).expect("an end")
}

#[test]
fn several_silent_servers_without_any_word_make_it_dark_longer_each_time() {
    let mut reach = DomainReach::default();
    let mut now = 100;
    let mut spans = Vec::new();
    for _ in 0..5 {
        let became: Vec<bool> = ["a", "a", "b", "c", "d"]
            .map(|who| reach.note_overdue(at(now + 120), at(now), who, SilenceContext::NoneUnreachable))
            .into();
        assert_eq!(became, [false, false, false, true, false]);
        let span = dark_for(&reach, now + 120);
        spans.push(span);
        now += 120 + span;
    }
    insta::assert_debug_snapshot!(spans);
    reach.note_contact(at(now));
    assert!(!reach.is_unreachable(at(now)), "any word ends it");
}

#[test]
fn a_word_since_the_call_began_shows_that_only_the_servers_are_slow() {
    let mut reach = DomainReach::default();
    reach.note_contact(at(120));
    for who in ["a", "b", "c", "d"] {
        assert!(!reach.note_overdue(at(150), at(110), who, SilenceContext::NoneUnreachable));
    }
    // Two are overdue, something is heard, two more are overdue.
    let later = |reach: &mut DomainReach, who| reach.note_overdue(at(200), at(160), who, SilenceContext::NoneUnreachable);
    assert!(!later(&mut reach, "a") && !later(&mut reach, "b"));
    reach.note_contact(at(170));
    assert!(
        !reach.note_overdue(at(210), at(180), "c", SilenceContext::NoneUnreachable)
            && !reach.note_overdue(at(210), at(180), "d", SilenceContext::NoneUnreachable)
    );
    assert!(!reach.is_unreachable(at(210)));
}

#[test]
fn a_dark_one_stays_so_while_nobody_there_gives_a_sign() {
    let mut reach = DomainReach::default();
    reach.note_probe_failure(at(50));
    assert!(!reach.is_unreachable(at(50)), "a single node that is silent tells nothing of the others");
    for who in ["a", "b", "c"] {
        reach.note_overdue(at(160), at(60), who, SilenceContext::NoneUnreachable);
    }
    for asked in (200..3_000).step_by(250) {
        reach.note_probe_failure(at(asked));
        assert!(reach.is_unreachable(at(asked + 500)));
    }
    assert_eq!(dark_for(&reach, 2_950), 800);
    reach.note_contact(at(3_000));
    assert!(!reach.is_unreachable(at(3_000)));
}

#[test]
fn beside_another_dark_one_two_are_enough() {
    let mut reach = DomainReach::default();
    let mut became = |who| reach.note_overdue(at(100), at(60), who, SilenceContext::OtherUnreachable);
    assert_eq!([became("a"), became("a"), became("b")], [false, false, true]);
}

#[test]
fn a_first_call_to_another_region_has_time_to_come_back() {
    let mut reach = DomainReach::default();
    for who in ["a", "b", "c"] {
        reach.note_overdue(at(90), at(60), who, SilenceContext::NoneUnreachable);
    }
    assert!(!reach.is_unreachable(at(159)), "nothing heard for 99 ms");
    assert!(reach.is_unreachable(at(160)));
    reach.note_contact(at(161));
    assert!(!reach.is_unreachable(at(161)));
}

#[test]
fn silence_long_ago_does_not_count_with_that_of_now() {
    let mut reach = DomainReach::default();
    let mut became = |now: u64, who| reach.note_overdue(at(now + 100), at(now), who, SilenceContext::NoneUnreachable);
    assert_eq!([became(10, "a"), became(20, "b"), became(700, "c"), became(710, "d")], [false; 4]);
    assert!(became(720, "e"), "three within half a second");
}
