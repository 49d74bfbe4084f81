//! Checks which calls are suspects when a server crashes.

use std::time::Duration;

use streamfold_model::ContentId;
use streamfold_policy::Moment;
use streamfold_policy::crash_tracker::{CrashSuspect, SURVIVAL_DELAY};
use streamfold_policy::recent_work::{RECENT_WINDOW, RecentWork};

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

#[test]
fn running_and_recently_ended_calls_are_suspects_once_each() {
    let mut work = RecentWork::default();
    let [long, twice, old] =
        [1, 2, 3].map(|content| CrashSuspect { content: ContentId(content), is_single_service: true });
    work.note_start(old);
    work.note_end(at(0), old, false);
    work.note_start(long);
    work.note_start(twice);
    work.note_start(twice);
    work.note_end(at(100), twice, false);
    assert_eq!(work.suspects(at(150)), [long, twice, old]);
    assert_eq!(work.suspects(at(0).plus(RECENT_WINDOW).plus(Duration::from_millis(1))), [long, twice]);
    work.note_end(at(300), twice, false);
    work.note_end(at(300), long, false);
    assert_eq!(work.suspects(at(300)), [long, twice]);
    assert_eq!(work.suspects(at(300).plus(RECENT_WINDOW * 2)), []);
}

#[test]
fn a_content_that_the_server_survived_before_is_no_suspect() {
    let mut work = RecentWork::default();
    let [popular, new] = [1, 2].map(|content| CrashSuspect { content: ContentId(content), is_single_service: true });
    work.note_start(popular);
    work.note_end(at(0), popular, true);
    work.note_start(popular);
    work.note_start(new);
    assert_eq!(work.suspects(at(100)), [popular, new], "the first call of the content may still crash the server");
    assert_eq!(work.suspects(at(0).plus(SURVIVAL_DELAY)), [new]);
}

#[test]
fn a_call_that_was_answered_before_the_crash_is_no_suspect() {
    let mut work = RecentWork::default();
    let [answered, lost] = [1, 2].map(|content| CrashSuspect { content: ContentId(content), is_single_service: true });
    for suspect in [answered, lost] {
        work.note_start(suspect);
        work.note_end(at(0), suspect, suspect == answered);
    }
    assert_eq!(work.suspects(at(1)), [lost]);
}
