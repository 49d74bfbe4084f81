//! What nodes tell of waiting calls: it fades, and one alone never counts against all others.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use streamfold_model::{FailureDomain, NodeId, Priority};
use streamfold_policy::Moment;
use streamfold_policy::wait_tracker::WaitTracker;

const RANK: Priority = Priority(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn domain(number: usize) -> FailureDomain {
    format!("zone-{number}").parse().expect("a name")
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a name")
}

fn at(millis: u64) -> Moment {
    Moment::default().plus(ms(10_000 + millis))
}

#[test]
fn reports_of_a_node_that_died_fade_within_a_second() {
    let mut book = WaitTracker::default();
    book.note(at(0), &domain(0), &node(0), [(RANK, ms(400))]);
    let faded: Vec<String> = [0, 250, 500, 900, 1_000, 60_000]
        .map(|later| format!("{later} ms later: {:?}", book.wait(at(later), RANK).wait))
        .to_vec();
    insta::assert_snapshot!(faded.join("\n"));
}

#[test]
fn a_failure_domain_that_is_cut_off_uses_its_own_waits() {
    let mut book = WaitTracker::default();
    for other in 1..4 {
        book.note(at(0), &domain(other), &node(other), []);
    }
    // While others are heard that know of no wait, the own one alone counts for nothing.
    book.note(at(10), &domain(0), &node(0), [(RANK, ms(400))]);
    assert_eq!(book.wait(at(10), RANK).wait, ms(0));
    book.note(at(1_010), &domain(0), &node(0), [(RANK, ms(400))]);
    assert_eq!(book.wait(at(1_010), RANK).wait, ms(400));
}

#[test]
fn what_most_failure_domains_agree_on_counts_and_other_priorities_do_not_wait() {
    let mut book = WaitTracker::default();
    for (place, wait) in [300, 350, 5_000, 0, 320].into_iter().enumerate() {
        book.note(at(0), &domain(place), &node(place), [(RANK, ms(wait))]);
    }
    assert_eq!(book.wait(at(0), RANK).wait, ms(320));
    assert_eq!(book.wait(at(0), Priority(0)).wait, ms(0));
    assert_eq!(WaitTracker::default().wait(at(0), RANK).wait, ms(0));
}

quickcheck! {
    /// Whatever one node tells, in its own failure domain or beside others of it, calls never count as waiting for
    /// longer than some other node tells.
    fn one_wrong_report_never_makes_a_wait(others: Vec<(u8, u16)>, place: u8, wrong: u16) -> TestResult {
        let Some(longest) = others.iter().map(|(_, wait)| *wait).max() else { return TestResult::discard() };
        let mut book = WaitTracker::default();
        for (number, (place, wait)) in others.iter().enumerate() {
            book.note(at(0), &domain(usize::from(*place % 4)), &node(number), [(RANK, ms(u64::from(*wait)))]);
        }
        let wrong = [(RANK, ms(u64::from(wrong)))];
        book.note(at(0), &domain(usize::from(place % 4)), &node(others.len()), wrong);
        TestResult::from_bool(book.wait(at(0), RANK).wait <= ms(u64::from(longest)))
    }
}
