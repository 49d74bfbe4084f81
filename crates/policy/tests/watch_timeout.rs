//! How long watches wait that rely on another one.

use std::time::Duration;

use streamfold_policy::watch_timeout::{LONGEST_WAIT, WatchProgress, choose_wait, is_overdue};

const SILENCE: Duration = Duration::from_secs(6);

fn ask(known: u64, told: u64) -> WatchProgress {
    WatchProgress { topic_revision: known, store_revision: told, silence_within: SILENCE }
}

/// Watches that a topic begins in a time in which the store tells of changes of other topics at some seconds; each
/// answer to a short one says that the topic is known up to the last change.
fn count_watches(changed_at: &[u64], seconds: u64) -> usize {
    let told = |now: u64| changed_at.iter().filter(|at| **at <= now).count() as u64;
    let (mut known, mut begun, mut wait, mut count) = (0, 0, LONGEST_WAIT, 1);
    for now in 1..=seconds {
        let age = Duration::from_secs(now - begun);
        let is_answered = age >= wait;
        if is_answered {
            known = told(now);
        }
        if is_answered || (wait == LONGEST_WAIT && is_overdue(&ask(known, told(now)), age)) {
            (begun, wait) = (now, choose_wait(&ask(known, told(now))));
            count += 1;
        }
    }
    count
}

#[test]
fn a_topic_of_a_calm_minute_costs_three_watches_and_never_more_than_one_each_six_seconds() {
    let always: Vec<u64> = (0..60).collect();
    let seen = [&[][..], &[3], &[3, 40], &always].map(|changes| count_watches(changes, 60));
    insta::assert_snapshot!(format!("{seen:?}"), @"[3, 4, 5, 11]");
    assert!(seen.iter().all(|watches| *watches <= 11));
}

quickcheck::quickcheck! {
    fn a_watch_that_missed_nothing_is_never_begun_anew_and_one_that_may_have_is_after_its_time(
        known: u64, told: u64, age_ms: u16
    ) -> bool {
        let (ask, age) = (ask(known, told), Duration::from_millis(u64::from(age_ms)));
        is_overdue(&ask, age) == (told > known && age >= SILENCE)
            && choose_wait(&ask) == if told > known { SILENCE } else { LONGEST_WAIT }
    }
}
