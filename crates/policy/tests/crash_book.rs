//! Which contents are held off, from what is seen of servers that end.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{ContentId, CrashEntry, ServerId, ServerRun};
use streamfold_policy::Moment;
use streamfold_policy::canary::{CallRight, CanaryEnd, CanaryRecord, RequestFate, VERDICT_WITHIN};
use streamfold_policy::crash_book::{
    ContentStanding, CrashBook, CrashSuspect, LEAST_CRASHES, SETTLE_AFTER, SURVIVED_AFTER,
};

const CONTENT: ContentId = ContentId(7);
const OVER_SHARDS: CrashSuspect = CrashSuspect { content: CONTENT, is_lone: false };
const PATIENCE: Duration = Duration::from_secs(1);

fn server(number: usize) -> ServerRun {
    format!("i-{}@{number}", number % 2).parse().expect("a run")
}

fn server_id(number: usize) -> ServerId {
    format!("i-{number}").parse().expect("an id")
}

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// A book in which some servers ended at a moment.
fn crashed(count: usize, now: Moment) -> CrashBook {
    let mut book = CrashBook::default();
    (0..count).for_each(|number| {
        book.note_crash(now, CONTENT, &server(number));
    });
    book
}

fn entry(count: usize, trials: u32) -> CrashEntry {
    CrashEntry { content: CONTENT, crashed: (0..count).map(server).collect(), trials }
}

#[test]
fn three_crashes_make_a_content_suspect_and_after_a_while_it_is_held_off_and_told() {
    let mut book = crashed(LEAST_CRASHES - 1, at(0));
    assert_eq!(book.standing(at(0), CONTENT), ContentStanding::Clear);
    assert_eq!(book.settle(at(0).plus(SETTLE_AFTER), OVER_SHARDS), None);
    assert!(book.note_crash(at(400), CONTENT, &server(9)), "a decision is due");
    assert!(!book.note_crash(at(400), CONTENT, &server(10)), "and is under way");
    assert_eq!(book.standing(at(400), CONTENT), ContentStanding::Suspect);
    let told = book.settle(at(400).plus(SETTLE_AFTER), OVER_SHARDS).expect("an entry");
    assert_eq!(told.crashed.len(), LEAST_CRASHES + 1);
    assert!(matches!(book.standing(at(800), CONTENT), ContentStanding::Held { .. }));
    assert_eq!(book.standing(at(800), ContentId(8)), ContentStanding::Clear);
}

#[test]
fn a_request_to_one_service_is_told_from_its_first_crash_on() {
    let mut book = crashed(1, at(0));
    let told = book.settle(at(300), CrashSuspect { content: CONTENT, is_lone: true });
    assert_eq!(told.map(|entry| entry.crashed.len()), Some(1));
    assert_eq!(book.standing(at(300), CONTENT), ContentStanding::Clear);
    book.put_shared(at(400), entry(LEAST_CRASHES, 0));
    assert!(matches!(book.standing(at(400), CONTENT), ContentStanding::Held { .. }));
}

#[test]
fn servers_that_answered_and_lived_on_speak_for_a_content() {
    let mut book = crashed(LEAST_CRASHES, at(0));
    for number in 10..10 + LEAST_CRASHES {
        assert!(book.note_answer(CONTENT, &server(number)), "whether it lives on is to be found out");
        assert!(!book.note_answer(CONTENT, &server(number)), "once");
        assert_eq!(book.standing(at(20), CONTENT), ContentStanding::Suspect, "they may still end");
        book.note_survived(CONTENT, &server(number));
    }
    assert_eq!(book.standing(at(300), CONTENT), ContentStanding::Clear);
    book.note_crash(at(400), CONTENT, &server(10));
    assert_eq!(book.crashed(CONTENT).len(), LEAST_CRASHES, "it ended by something else, since it had lived on");
    book.note_crash(at(400), CONTENT, &server(20));
    assert_eq!(book.standing(at(400), CONTENT), ContentStanding::Suspect);
}

#[test]
fn an_answer_in_the_settling_time_ends_the_suspicion_and_a_crash_after_it_begins_anew() {
    let mut book = crashed(LEAST_CRASHES, at(0));
    book.note_served(at(100), CONTENT);
    assert_eq!(book.settle(at(0).plus(SETTLE_AFTER), OVER_SHARDS), None);
    assert_eq!(book.standing(at(100).plus(SURVIVED_AFTER), CONTENT), ContentStanding::Clear);
    book.note_crash(at(1_000), CONTENT, &server(20));
    assert_eq!(book.standing(at(1_000), CONTENT), ContentStanding::Clear);
    assert_eq!(book.crashed(CONTENT).len(), 1);
}

#[test]
fn trials_come_ever_later_until_the_content_is_released() {
    let mut book = CrashBook::default();
    let mut now = at(0);
    let mut waits = Vec::new();
    for trials in 0..5 {
        book.put_shared(now, entry(LEAST_CRASHES, trials));
        let ContentStanding::Held { until } = book.standing(now, CONTENT) else { panic!("not held") };
        assert_eq!(book.standing(until, CONTENT), ContentStanding::TrialDue);
        // The same entry, heard of again, begins no new time.
        book.put_shared(until, entry(LEAST_CRASHES, trials));
        assert_eq!(book.standing(until, CONTENT), ContentStanding::TrialDue);
        waits.push(until.since(now).as_secs());
        now = until;
    }
    assert_eq!(waits, [3, 30, 300, 3_000, 3_600]);
    assert!(book.remove_shared(CONTENT));
    assert!(book.is_empty());
}

#[test]
fn what_comes_to_nothing_expires_sooner_than_what_is_held_off() {
    let mut book = CrashBook::default();
    book.put_shared(at(0), entry(1, 0));
    let held = CrashEntry { content: ContentId(8), ..entry(LEAST_CRASHES, 0) };
    book.put_shared(at(0), held);
    assert_eq!(book.find_expired(at(59_999)), []);
    assert_eq!(book.find_expired(at(60_000)), [CONTENT]);
    assert_eq!(book.find_expired(at(24 * 3_600_000)).len(), 2);
}

#[test]
fn a_suspect_request_sends_one_call_first() {
    let suspect = ContentStanding::Suspect;
    let mut record = CanaryRecord::default();
    assert_eq!(record.right(at(0), ContentStanding::Clear, PATIENCE), CallRight::Free);
    assert_eq!(record.right(at(0), suspect, PATIENCE), CallRight::First);
    record.note_sent(at(0), server_id(1));
    assert_eq!(record.right(at(1), suspect, PATIENCE), CallRight::Wait);
    assert_eq!(record.right(at(1_000), suspect, PATIENCE), CallRight::Never, "it was too long");
    record.note_end(CanaryEnd::NotRun);
    assert_eq!(record.right(at(2), suspect, PATIENCE), CallRight::First);
    record.note_end(CanaryEnd::Answered);
    assert_eq!(record.right(at(2), suspect, PATIENCE), CallRight::Free);
    let held = ContentStanding::Held { until: at(9) };
    assert_eq!(record.right(at(2), held, PATIENCE), CallRight::Never, "others know more by now");
    record.note_end(CanaryEnd::Lost);
    assert_eq!(record.right(at(2), suspect, PATIENCE), CallRight::Never);
}

#[test]
fn a_trial_goes_on_only_when_its_server_has_lived_on() {
    let mut record = CanaryRecord::trial();
    let due = ContentStanding::TrialDue;
    assert_eq!(record.right(at(0), due, PATIENCE), CallRight::First);
    record.note_sent(at(0), server_id(1));
    record.note_end(CanaryEnd::Answered);
    assert_eq!(record.right(at(1), due, PATIENCE), CallRight::Wait);
    record.note_trial(true);
    assert_eq!(record.right(at(2), ContentStanding::Clear, PATIENCE), CallRight::Free);
    record.note_trial(false);
    assert_eq!(record.right(at(2), due, PATIENCE), CallRight::Never);
}

#[test]
fn a_trial_reaches_one_server_also_where_that_does_not_run_it() {
    let mut record = CanaryRecord::trial();
    record.note_sent(at(0), server_id(1));
    record.note_end(CanaryEnd::NotSent);
    assert_eq!(record.right(at(1), ContentStanding::TrialDue, PATIENCE), CallRight::First, "it reached none");
    record.note_sent(at(1), server_id(2));
    record.note_end(CanaryEnd::NotRun);
    assert_eq!(record.right(at(2), ContentStanding::TrialDue, PATIENCE), CallRight::Never);
}

#[test]
fn after_several_lost_calls_a_request_waits_until_it_is_known_what_became_of_the_servers() {
    let mut record = CanaryRecord::default();
    for _ in 0..LEAST_CRASHES {
        assert_eq!(record.right(at(0), ContentStanding::Clear, PATIENCE), CallRight::Free);
        record.note_lost(at(0));
    }
    assert_eq!(record.right(at(0), ContentStanding::Clear, PATIENCE), CallRight::Wait);
    let verdict = at(0).plus(VERDICT_WITHIN);
    assert_eq!(record.right(verdict, ContentStanding::Clear, PATIENCE), CallRight::Free);
    assert_eq!(record.right(verdict, ContentStanding::Suspect, PATIENCE), CallRight::First);
}

#[test]
fn a_request_over_shards_waits_from_its_first_lost_call_on() {
    let mut record = CanaryRecord::over_shards();
    record.note_free();
    record.note_lost(at(0));
    assert_eq!(record.right(at(1), ContentStanding::Clear, PATIENCE), CallRight::Wait);
    record.note_alive();
    assert_eq!(record.right(at(1), ContentStanding::Clear, PATIENCE), CallRight::Free, "the server lives on");
    record.note_lost(at(2));
    let verdict = at(2).plus(VERDICT_WITHIN);
    assert_eq!(record.right(verdict, ContentStanding::Clear, PATIENCE), CallRight::Free, "one server ended, no more");
}

#[test]
fn a_request_over_shards_that_may_have_ended_several_servers_sends_nothing_more() {
    let suspect = ContentStanding::Suspect;
    let mut record = CanaryRecord::over_shards();
    record.note_free();
    record.note_lost(at(0));
    let verdict = at(0).plus(VERDICT_WITHIN);
    assert_eq!(record.right(verdict, suspect, PATIENCE), CallRight::Never);
    record.note_answered();
    assert_eq!(record.right(verdict, suspect, PATIENCE), CallRight::First, "a server has run it and answered");
    let later = CanaryRecord::over_shards();
    assert_eq!(later.right(verdict, suspect, PATIENCE), CallRight::First, "it comes when servers have ended");
}

/// Guards against second calls to the other server of each shard while it is open whether the first ones ended.
#[test]
fn a_request_over_shards_that_lost_several_calls_waits_as_long_as_servers_end_one_after_the_other() {
    let clear = ContentStanding::Clear;
    let mut record = CanaryRecord::over_shards();
    record.note_free();
    record.note_lost(at(0));
    record.note_lost(at(3));
    assert_eq!(record.right(at(3).plus(VERDICT_WITHIN), clear, PATIENCE), CallRight::Wait, "nobody has answered it");
    assert_eq!(record.right(at(93), clear, PATIENCE), CallRight::Free);
    record.note_answered();
    assert_eq!(record.right(at(3).plus(VERDICT_WITHIN), clear, PATIENCE), CallRight::Free);
}

/// Guards against second calls for all shards at once, by a node whose first ones have not ended yet.
#[test]
fn a_request_over_shards_sends_few_second_calls_before_it_has_an_answer() {
    let mut record = CanaryRecord::over_shards();
    let before = [(); LEAST_CRASHES].map(|()| {
        let may_hedge = record.may_hedge(at(0));
        record.note_hedge(at(0));
        may_hedge
    });
    assert_eq!(before, [true, true, false]);
    assert_eq!([record.may_hedge(at(89)), record.may_hedge(at(90))], [false, true], "none ended, so they are silent");
    record.note_lost(at(91));
    assert!(!record.may_hedge(at(300)), "one did");
    record.note_answered();
    assert!(record.may_hedge(at(300)));
    assert!(CanaryRecord::default().may_hedge(at(0)), "a request to one service is bounded by its route");
}

/// Guards against blame for a request that has only just begun, and against calls of one that is to blame.
#[test]
fn a_request_is_to_blame_once_calls_usually_have_answers_and_it_has_none() {
    let usual = Duration::from_millis(40);
    let held = ContentStanding::Held { until: at(9_000) };
    let mut record = CanaryRecord::over_shards();
    assert_eq!(record.fate(ContentStanding::Suspect, usual, usual), RequestFate::GoesOn, "it has sent nothing");
    record.note_free();
    let ages = [0, 39, 40].map(Duration::from_millis);
    let suspect = ages.map(|age| record.fate(ContentStanding::Suspect, age, usual));
    assert_eq!(suspect, [RequestFate::GoesOn, RequestFate::GoesOn, RequestFate::Blamed]);
    assert_eq!(record.fate(ContentStanding::Clear, usual, usual), RequestFate::GoesOn);
    assert_eq!(record.fate(held, Duration::ZERO, usual), RequestFate::GivenUp);
    record.note_answered();
    assert_eq!(record.fate(held, usual, usual), RequestFate::GoesOn, "what is there is delivered");
}

/// Guards against blame for what another content did: five of six contents that were held off had only run beside it.
#[test]
fn servers_that_ended_under_a_content_that_is_held_off_speak_against_no_other_one() {
    let (beside, told) = (ContentId(8), ContentId(9));
    let mut book = crashed(LEAST_CRASHES + 1, at(0));
    (0..LEAST_CRASHES).for_each(|number| {
        book.note_crash(at(1), beside, &server(number));
    });
    assert_eq!(book.standing(at(1), beside), ContentStanding::Suspect);
    let blamed = book.blame(at(2), CONTENT).expect("news");
    assert_eq!(book.blame(at(3), CONTENT), None, "once");
    assert!(matches!(book.standing(at(2), CONTENT), ContentStanding::Held { .. }));
    assert_eq!(book.standing(at(2), beside), ContentStanding::Clear);
    assert_eq!(book.settle(at(301), CrashSuspect { content: beside, is_lone: false }), None);
    (20..20 + LEAST_CRASHES).for_each(|number| {
        book.note_crash(at(400), beside, &server(number));
    });
    assert_eq!(book.standing(at(400), beside), ContentStanding::Suspect, "these are its own");
    let mut other = CrashBook::default();
    assert!(other.put_blamed(at(2), &blamed) && !other.put_blamed(at(3), &blamed), "news once");
    assert!(matches!(other.standing(at(3), CONTENT), ContentStanding::Held { .. }));
    assert!(!other.put_blamed(at(3), &CrashEntry { content: told, ..entry(LEAST_CRASHES - 1, 0) }), "too few");
}

/// Guards against a trial by each node where the store is away.
#[test]
fn a_trial_of_one_node_puts_off_those_of_others() {
    let mut books = [crashed(LEAST_CRASHES, at(0)), crashed(LEAST_CRASHES, at(0))];
    let blamed = books[0].blame(at(0), CONTENT).expect("news");
    books[1].put_blamed(at(0), &blamed);
    let tried = books[0].note_own_trial(at(3_000), CONTENT).expect("a trial");
    assert_eq!(books[1].standing(at(3_000), CONTENT), ContentStanding::TrialDue);
    assert!(books[1].put_blamed(at(3_020), &tried));
    assert_eq!(books[1].standing(at(3_020), CONTENT), ContentStanding::Held { until: at(33_020) });
}

quickcheck! {
    /// However crashes come in, a content that never ended three servers is never held off, and the book
    /// stays bounded.
    fn fewer_than_three_servers_hold_nothing_off(events: Vec<(u16, u8, bool)>) -> bool {
        let mut book = CrashBook::default();
        let mut now = 0;
        for (content, number, settles) in events {
            now += 10;
            let content = ContentId(u128::from(content));
            book.note_crash(at(now), content, &server(usize::from(number) % (LEAST_CRASHES - 1)));
            if settles {
                book.settle(at(now), CrashSuspect { content, is_lone: true });
            }
            if book.standing(at(now), content) != ContentStanding::Clear {
                return false;
            }
        }
        book.len() <= 1_024
    }
}
