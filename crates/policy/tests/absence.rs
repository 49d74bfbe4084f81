//! When unreachable nodes count as gone.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::absence::AbsenceTracker;

const LIMIT: Duration = Duration::from_secs(60);

fn at(seconds: u64) -> Moment {
    Moment::default().plus(Duration::from_secs(seconds))
}

#[test]
fn a_node_is_gone_after_no_scan_has_reached_it_for_the_limit() {
    let mut tracker = AbsenceTracker::default();
    let mut seen = Vec::new();
    // A scan that reaches it restarts the time limit.
    for (second, is_reached) in [(0, false), (30, false), (59, true), (61, false), (120, false), (121, false)] {
        let gone = tracker.note_scan(at(second), &[("a", is_reached), ("b", true)], false, LIMIT);
        seen.push(format!("{second} s: {gone:?}"));
    }
    insta::assert_snapshot!(seen.join("\n"), @r#"
    0 s: []
    30 s: []
    59 s: []
    61 s: []
    120 s: []
    121 s: ["a"]
    "#);
}

#[test]
fn a_scan_that_reaches_nothing_is_discarded() {
    let mut tracker = AbsenceTracker::default();
    let cut_off: Vec<usize> = (0..=9)
        .map(|scan| tracker.note_scan(at(scan * 30), &[("a", false), ("b", false)], false, LIMIT).len())
        .collect();
    assert_eq!(cut_off, [0; 10]);
    // Other nodes are reachable, so both count as gone once the limit has passed from now.
    let gone: Vec<usize> = (10..=13)
        .map(|scan| tracker.note_scan(at(scan * 30), &[("a", false), ("b", false)], true, LIMIT).len())
        .collect();
    assert_eq!(gone, [0, 0, 2, 2]);
}
