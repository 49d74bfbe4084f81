//! When topics of the store are checked: each within its own time, and with few calls while nothing changes.

use std::time::Duration;

use streamfold_policy::feed_checks::CheckSchedule;

/// Ranks of the topics for which settings state a time.
const RANKS: [u32; 3] = [0, 1, 2];
/// How long the store takes to answer, much longer than usual.
const ANSWER_MS: u64 = 60;

fn schedule(known_within_ms: u64, rank: u32) -> CheckSchedule {
    CheckSchedule { known_within: Duration::from_millis(known_within_ms), rank }
}

/// The latest time after its confirmation at which a change is known: the last confirmation was just before it, its
/// watch is lost, and so are the first `lost_checks` checks.
fn known_after(schedule: &CheckSchedule, lost_checks: u32) -> Duration {
    schedule.check_age() + schedule.repeat_after() * lost_checks + Duration::from_millis(ANSWER_MS)
}

#[test]
fn a_change_is_known_in_time_though_its_watch_and_two_checks_are_lost() {
    let sums = [1_000, 3_000, 5_000, 6_000, 8_000].map(|bound_ms| {
        let sums = RANKS.map(|rank| known_after(&schedule(bound_ms, rank), 2).as_millis());
        assert!(sums.iter().all(|sum| *sum < u128::from(bound_ms)), "{bound_ms}: {sums:?}");
        format!("{bound_ms}: {sums:?}")
    });
    insta::assert_snapshot!(sums.join("\n"), @r"
    1000: [810, 841, 872]
    3000: [2310, 2403, 2497]
    5000: [3810, 3966, 4122]
    6000: [4560, 4747, 4935]
    8000: [6060, 6310, 6560]
    ");
}

quickcheck::quickcheck! {
    fn topics_are_checked_one_after_the_other_and_followers_after_readers(known_within_ms: u32) -> bool {
        let bound = u64::from(known_within_ms.max(1));
        let ages = RANKS.map(|rank| schedule(bound, rank).check_age());
        let first = schedule(bound, 0);
        let is_overdue_in_time = first.is_overdue(first.known_within) && !first.is_overdue(first.follower_age());
        ages.is_sorted() && ages[2] + first.repeat_after() < first.follower_age() && is_overdue_in_time
    }

    fn no_change_is_overdue_after_one_lost_check_whatever_the_time_is(known_within_ms: u32, rank: u8) -> bool {
        let schedule = schedule(u64::from(known_within_ms.max(1)), u32::from(rank % 5));
        schedule.check_age() + schedule.repeat_after() * 2 < schedule.known_within
    }
}
