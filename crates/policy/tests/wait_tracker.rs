//! Reports on waiting calls decay with age, and a single report never outweighs all others.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use streamfold_model::{FailureDomain, NodeId, Priority};
use streamfold_policy::Moment;
use streamfold_policy::wait_tracker::WaitTracker;

const PRIORITY: Priority = Priority(1);

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
fn reports_of_a_dead_node_decay_within_a_second() {
    let mut tracker = WaitTracker::default();
    tracker.note(at(0), &domain(0), &node(0), [(PRIORITY, ms(400))]);
    let decayed: Vec<String> = [0, 250, 500, 900, 1_000, 60_000]
        .map(|later| format!("{later} ms later: {:?}", tracker.wait(at(later), PRIORITY).wait))
        .to_vec();
    insta::assert_snapshot!(decayed.join("\n"));
}

#[test]
fn a_partitioned_failure_domain_uses_its_own_waits() {
    let mut tracker = WaitTracker::default();
    for other in 1..4 {
        tracker.note(at(0), &domain(other), &node(other), []);
    }
    // While other failure domains report no wait, the wait of this one alone does not count.
    tracker.note(at(10), &domain(0), &node(0), [(PRIORITY, ms(400))]);
    assert_eq!(tracker.wait(at(10), PRIORITY).wait, ms(0));
    tracker.note(at(1_010), &domain(0), &node(0), [(PRIORITY, ms(400))]);
    assert_eq!(tracker.wait(at(1_010), PRIORITY).wait, ms(400));
}

#[test]
fn the_median_of_failure_domains_counts_and_other_priorities_do_not_wait() {
    let mut tracker = WaitTracker::default();
    for (zone, wait) in [300, 350, 5_000, 0, 320].into_iter().enumerate() {
        tracker.note(at(0), &domain(zone), &node(zone), [(PRIORITY, ms(wait))]);
    }
    assert_eq!(tracker.wait(at(0), PRIORITY).wait, ms(320));
    assert_eq!(tracker.wait(at(0), Priority(0)).wait, ms(0));
    assert_eq!(WaitTracker::default().wait(at(0), PRIORITY).wait, ms(0));
}

quickcheck! {
    /// Whatever one node reports, alone in its failure domain or with others, the resulting wait never exceeds the
    /// longest wait that another node reports.
    fn one_wrong_report_never_causes_a_wait(others: Vec<(u8, u16)>, zone: u8, wrong: u16) -> TestResult {
        let Some(longest) = others.iter().map(|(_, wait)| *wait).max() else { return TestResult::discard() };
        let mut tracker = WaitTracker::default();
        for (number, (zone, wait)) in others.iter().enumerate() {
            tracker.note(at(0), &domain(usize::from(*zone % 4)), &node(number), [(PRIORITY, ms(u64::from(*wait)))]);
        }
        let wrong = [(PRIORITY, ms(u64::from(wrong)))];
        tracker.note(at(0), &domain(usize::from(zone % 4)), &node(others.len()), wrong);
        TestResult::from_bool(tracker.wait(at(0), PRIORITY).wait <= ms(u64::from(longest)))
    }
}
