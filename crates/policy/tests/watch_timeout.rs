//! Timeouts of watches that rely on another watch.

use std::time::Duration;

use streamfold_policy::watch_timeout::{MAX_TIMEOUT, WatchProgress, choose_timeout, is_overdue};

const SILENCE: Duration = Duration::from_secs(6);

fn progress(topic_revision: u64, store_revision: u64) -> WatchProgress {
    WatchProgress { topic_revision, store_revision, silence_within: SILENCE }
}

/// Number of watches that a topic starts within `seconds`, while other topics change at the seconds `changed_at`. Each
/// response to a short watch confirms that the topic is known up to the latest revision.
fn count_watches(changed_at: &[u64], seconds: u64) -> usize {
    let store_revision = |now: u64| changed_at.iter().filter(|at| **at <= now).count() as u64;
    let (mut topic_revision, mut started, mut timeout, mut count) = (0, 0, MAX_TIMEOUT, 1);
    for now in 1..=seconds {
        let age = Duration::from_secs(now - started);
        let is_answered = age >= timeout;
        if is_answered {
            topic_revision = store_revision(now);
        }
        if is_answered || (timeout == MAX_TIMEOUT && is_overdue(&progress(topic_revision, store_revision(now)), age)) {
            (started, timeout) = (now, choose_timeout(&progress(topic_revision, store_revision(now))));
            count += 1;
        }
    }
    count
}

#[test]
fn an_unchanged_topic_costs_three_watches_a_minute_and_never_more_than_one_each_six_seconds() {
    let always: Vec<u64> = (0..60).collect();
    let seen = [&[][..], &[3], &[3, 40], &always].map(|changes| count_watches(changes, 60));
    insta::assert_snapshot!(format!("{seen:?}"), @"[3, 4, 5, 11]");
    assert!(seen.iter().all(|watches| *watches <= 11));
}

quickcheck::quickcheck! {
    fn only_a_watch_that_may_have_missed_a_change_is_renewed_early(
        topic_revision: u64, store_revision: u64, age_ms: u16
    ) -> bool {
        let (progress, age) = (progress(topic_revision, store_revision), Duration::from_millis(u64::from(age_ms)));
        is_overdue(&progress, age) == (store_revision > topic_revision && age >= SILENCE)
            && choose_timeout(&progress) == if store_revision > topic_revision { SILENCE } else { MAX_TIMEOUT }
    }
}
