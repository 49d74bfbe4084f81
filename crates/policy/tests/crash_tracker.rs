//! Which contents are held off, from what is seen of servers that end.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{ContentId, CrashEntry, ServerId, ServerRun};
use streamfold_policy::Moment;
use streamfold_policy::canary::{CallPermission, CanaryOutcome, CanaryRecord, RequestVerdict, VERDICT_TIMEOUT};
use streamfold_policy::crash_tracker::{
    ContentStatus, CrashTracker, CrashSuspect, MIN_CRASHES, DECISION_DELAY, SURVIVAL_DELAY,
};

const CONTENT: ContentId = ContentId(7);
const OVER_SHARDS: CrashSuspect = CrashSuspect { content: CONTENT, is_single_service: false };
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
fn crashed(count: usize, now: Moment) -> CrashTracker {
    let mut book = CrashTracker::default();
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
    let mut book = crashed(MIN_CRASHES - 1, at(0));
    assert_eq!(book.status(at(0), CONTENT), ContentStatus::Clear);
    assert_eq!(book.decide(at(0).plus(DECISION_DELAY), OVER_SHARDS), None);
    assert!(book.note_crash(at(400), CONTENT, &server(9)), "a decision is due");
    assert!(!book.note_crash(at(400), CONTENT, &server(10)), "and is under way");
    assert_eq!(book.status(at(400), CONTENT), ContentStatus::Suspect);
    let told = book.decide(at(400).plus(DECISION_DELAY), OVER_SHARDS).expect("an entry");
    assert_eq!(told.crashed.len(), MIN_CRASHES + 1);
    assert!(matches!(book.status(at(800), CONTENT), ContentStatus::Quarantined { .. }));
    assert_eq!(book.status(at(800), ContentId(8)), ContentStatus::Clear);
}

#[test]
fn a_request_to_one_service_is_told_from_its_first_crash_on() {
    let mut book = crashed(1, at(0));
    let told = book.decide(at(300), CrashSuspect { content: CONTENT, is_single_service: true });
    assert_eq!(told.map(|entry| entry.crashed.len()), Some(1));
    assert_eq!(book.status(at(300), CONTENT), ContentStatus::Clear);
    book.put_shared(at(400), entry(MIN_CRASHES, 0));
    assert!(matches!(book.status(at(400), CONTENT), ContentStatus::Quarantined { .. }));
}

#[test]
fn servers_that_answered_and_lived_on_speak_for_a_content() {
    let mut book = crashed(MIN_CRASHES, at(0));
    for number in 10..10 + MIN_CRASHES {
        assert!(book.note_answer(CONTENT, &server(number)), "whether it lives on is to be found out");
        assert!(!book.note_answer(CONTENT, &server(number)), "once");
        assert_eq!(book.status(at(20), CONTENT), ContentStatus::Suspect, "they may still end");
        book.note_survived(CONTENT, &server(number));
    }
    assert_eq!(book.status(at(300), CONTENT), ContentStatus::Clear);
    book.note_crash(at(400), CONTENT, &server(10));
    assert_eq!(book.crashed(CONTENT).len(), MIN_CRASHES, "it ended by something else, since it had lived on");
    book.note_crash(at(400), CONTENT, &server(20));
    assert_eq!(book.status(at(400), CONTENT), ContentStatus::Suspect);
}

#[test]
fn an_answer_in_the_settling_time_ends_the_suspicion_and_a_crash_after_it_begins_anew() {
    let mut book = crashed(MIN_CRASHES, at(0));
    book.note_served(at(100), CONTENT);
    assert_eq!(book.decide(at(0).plus(DECISION_DELAY), OVER_SHARDS), None);
    assert_eq!(book.status(at(100).plus(SURVIVAL_DELAY), CONTENT), ContentStatus::Clear);
    book.note_crash(at(1_000), CONTENT, &server(20));
    assert_eq!(book.status(at(1_000), CONTENT), ContentStatus::Clear);
    assert_eq!(book.crashed(CONTENT).len(), 1);
}

#[test]
fn trials_come_ever_later_until_the_content_is_released() {
    let mut book = CrashTracker::default();
    let mut now = at(0);
    let mut waits = Vec::new();
    for trials in 0..5 {
        book.put_shared(now, entry(MIN_CRASHES, trials));
        let ContentStatus::Quarantined { until } = book.status(now, CONTENT) else { panic!("not held") };
        assert_eq!(book.status(until, CONTENT), ContentStatus::TrialDue);
        // The same entry, heard of again, begins no new time.
        book.put_shared(until, entry(MIN_CRASHES, trials));
        assert_eq!(book.status(until, CONTENT), ContentStatus::TrialDue);
        waits.push(until.since(now).as_secs());
        now = until;
    }
    assert_eq!(waits, [3, 30, 300, 3_000, 3_600]);
    assert!(book.remove_shared(CONTENT));
    assert!(book.is_empty());
}

#[test]
fn what_comes_to_nothing_expires_sooner_than_what_is_held_off() {
    let mut book = CrashTracker::default();
    book.put_shared(at(0), entry(1, 0));
    let held = CrashEntry { content: ContentId(8), ..entry(MIN_CRASHES, 0) };
    book.put_shared(at(0), held);
    assert_eq!(book.find_expired(at(59_999)), []);
    assert_eq!(book.find_expired(at(60_000)), [CONTENT]);
    assert_eq!(book.find_expired(at(24 * 3_600_000)).len(), 2);
}

#[test]
fn a_suspect_request_sends_one_call_first() {
    let suspect = ContentStatus::Suspect;
    let mut record = CanaryRecord::default();
    assert_eq!(record.permission(at(0), ContentStatus::Clear, PATIENCE), CallPermission::Allowed);
    assert_eq!(record.permission(at(0), suspect, PATIENCE), CallPermission::AsCanary);
    record.note_sent(at(0), server_id(1));
    assert_eq!(record.permission(at(1), suspect, PATIENCE), CallPermission::Wait);
    assert_eq!(record.permission(at(1_000), suspect, PATIENCE), CallPermission::Denied, "it was too long");
    record.note_outcome(CanaryOutcome::NotRun);
    assert_eq!(record.permission(at(2), suspect, PATIENCE), CallPermission::AsCanary);
    record.note_outcome(CanaryOutcome::Answered);
    assert_eq!(record.permission(at(2), suspect, PATIENCE), CallPermission::Allowed);
    let held = ContentStatus::Quarantined { until: at(9) };
    assert_eq!(record.permission(at(2), held, PATIENCE), CallPermission::Denied, "others know more by now");
    record.note_outcome(CanaryOutcome::Lost);
    assert_eq!(record.permission(at(2), suspect, PATIENCE), CallPermission::Denied);
}

#[test]
fn a_trial_goes_on_only_when_its_server_has_lived_on() {
    let mut record = CanaryRecord::trial();
    let due = ContentStatus::TrialDue;
    assert_eq!(record.permission(at(0), due, PATIENCE), CallPermission::AsCanary);
    record.note_sent(at(0), server_id(1));
    record.note_outcome(CanaryOutcome::Answered);
    assert_eq!(record.permission(at(1), due, PATIENCE), CallPermission::Wait);
    record.note_trial(true);
    assert_eq!(record.permission(at(2), ContentStatus::Clear, PATIENCE), CallPermission::Allowed);
    record.note_trial(false);
    assert_eq!(record.permission(at(2), due, PATIENCE), CallPermission::Denied);
}

#[test]
fn a_trial_reaches_one_server_also_where_that_does_not_run_it() {
    let mut record = CanaryRecord::trial();
    record.note_sent(at(0), server_id(1));
    record.note_outcome(CanaryOutcome::NotSent);
    assert_eq!(record.permission(at(1), ContentStatus::TrialDue, PATIENCE), CallPermission::AsCanary, "it reached none");
    record.note_sent(at(1), server_id(2));
    record.note_outcome(CanaryOutcome::NotRun);
    assert_eq!(record.permission(at(2), ContentStatus::TrialDue, PATIENCE), CallPermission::Denied);
}

#[test]
fn after_several_lost_calls_a_request_waits_until_it_is_known_what_became_of_the_servers() {
    let mut record = CanaryRecord::default();
    for _ in 0..MIN_CRASHES {
        assert_eq!(record.permission(at(0), ContentStatus::Clear, PATIENCE), CallPermission::Allowed);
        record.note_lost(at(0));
    }
    assert_eq!(record.permission(at(0), ContentStatus::Clear, PATIENCE), CallPermission::Wait);
    let verdict = at(0).plus(VERDICT_TIMEOUT);
    assert_eq!(record.permission(verdict, ContentStatus::Clear, PATIENCE), CallPermission::Allowed);
    assert_eq!(record.permission(verdict, ContentStatus::Suspect, PATIENCE), CallPermission::AsCanary);
}

#[test]
fn a_request_over_shards_waits_from_its_first_lost_call_on() {
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    assert_eq!(record.permission(at(1), ContentStatus::Clear, PATIENCE), CallPermission::Wait);
    record.note_alive();
    assert_eq!(record.permission(at(1), ContentStatus::Clear, PATIENCE), CallPermission::Allowed, "the server lives on");
    record.note_lost(at(2));
    let verdict = at(2).plus(VERDICT_TIMEOUT);
    assert_eq!(record.permission(verdict, ContentStatus::Clear, PATIENCE), CallPermission::Allowed, "one server ended, no more");
}

#[test]
fn a_request_over_shards_that_may_have_ended_several_servers_sends_nothing_more() {
    let suspect = ContentStatus::Suspect;
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    let verdict = at(0).plus(VERDICT_TIMEOUT);
    assert_eq!(record.permission(verdict, suspect, PATIENCE), CallPermission::Denied);
    record.note_answered();
    assert_eq!(record.permission(verdict, suspect, PATIENCE), CallPermission::AsCanary, "a server has run it and answered");
    let later = CanaryRecord::over_shards();
    assert_eq!(later.permission(verdict, suspect, PATIENCE), CallPermission::AsCanary, "it comes when servers have ended");
}

/// Guards against second calls to the other server of each shard while it is open whether the first ones ended.
#[test]
fn a_request_over_shards_that_lost_several_calls_waits_as_long_as_servers_end_one_after_the_other() {
    let clear = ContentStatus::Clear;
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    record.note_lost(at(3));
    assert_eq!(record.permission(at(3).plus(VERDICT_TIMEOUT), clear, PATIENCE), CallPermission::Wait, "nobody has answered it");
    assert_eq!(record.permission(at(93), clear, PATIENCE), CallPermission::Allowed);
    record.note_answered();
    assert_eq!(record.permission(at(3).plus(VERDICT_TIMEOUT), clear, PATIENCE), CallPermission::Allowed);
}

/// Guards against second calls for all shards at once, by a node whose first ones have not ended yet.
#[test]
fn a_request_over_shards_sends_few_second_calls_before_it_has_an_answer() {
    let mut record = CanaryRecord::over_shards();
    let before = [(); MIN_CRASHES].map(|()| {
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
    let held = ContentStatus::Quarantined { until: at(9_000) };
    let mut record = CanaryRecord::over_shards();
    assert_eq!(record.verdict(ContentStatus::Suspect, usual, usual), RequestVerdict::Continue, "it has sent nothing");
    record.note_unrestricted();
    let ages = [0, 39, 40].map(Duration::from_millis);
    let suspect = ages.map(|age| record.verdict(ContentStatus::Suspect, age, usual));
    assert_eq!(suspect, [RequestVerdict::Continue, RequestVerdict::Continue, RequestVerdict::AtFault]);
    assert_eq!(record.verdict(ContentStatus::Clear, usual, usual), RequestVerdict::Continue);
    assert_eq!(record.verdict(held, Duration::ZERO, usual), RequestVerdict::Cancelled);
    record.note_answered();
    assert_eq!(record.verdict(held, usual, usual), RequestVerdict::Continue, "what is there is delivered");
}

/// Guards against blame for what another content did: five of six contents that were held off had only run beside it.
#[test]
fn servers_that_ended_under_a_content_that_is_held_off_speak_against_no_other_one() {
    let (beside, told) = (ContentId(8), ContentId(9));
    let mut book = crashed(MIN_CRASHES + 1, at(0));
    (0..MIN_CRASHES).for_each(|number| {
        book.note_crash(at(1), beside, &server(number));
    });
    assert_eq!(book.status(at(1), beside), ContentStatus::Suspect);
    let blamed = book.quarantine(at(2), CONTENT).expect("news");
    assert_eq!(book.quarantine(at(3), CONTENT), None, "once");
    assert!(matches!(book.status(at(2), CONTENT), ContentStatus::Quarantined { .. }));
    assert_eq!(book.status(at(2), beside), ContentStatus::Clear);
    assert_eq!(book.decide(at(301), CrashSuspect { content: beside, is_single_service: false }), None);
    (20..20 + MIN_CRASHES).for_each(|number| {
        book.note_crash(at(400), beside, &server(number));
    });
    assert_eq!(book.status(at(400), beside), ContentStatus::Suspect, "these are its own");
    let mut other = CrashTracker::default();
    assert!(other.put_quarantined(at(2), &blamed) && !other.put_quarantined(at(3), &blamed), "news once");
    assert!(matches!(other.status(at(3), CONTENT), ContentStatus::Quarantined { .. }));
    assert!(!other.put_quarantined(at(3), &CrashEntry { content: told, ..entry(MIN_CRASHES - 1, 0) }), "too few");
}

/// Guards against a trial by each node where the store is away.
#[test]
fn a_trial_of_one_node_puts_off_those_of_others() {
    let mut books = [crashed(MIN_CRASHES, at(0)), crashed(MIN_CRASHES, at(0))];
    let blamed = books[0].quarantine(at(0), CONTENT).expect("news");
    books[1].put_quarantined(at(0), &blamed);
    let tried = books[0].note_local_trial(at(3_000), CONTENT).expect("a trial");
    assert_eq!(books[1].status(at(3_000), CONTENT), ContentStatus::TrialDue);
    assert!(books[1].put_quarantined(at(3_020), &tried));
    assert_eq!(books[1].status(at(3_020), CONTENT), ContentStatus::Quarantined { until: at(33_020) });
}

quickcheck! {
    /// However crashes come in, a content that never ended three servers is never held off, and the book
    /// stays bounded.
    fn fewer_than_three_servers_hold_nothing_off(events: Vec<(u16, u8, bool)>) -> bool {
        let mut book = CrashTracker::default();
        let mut now = 0;
        for (content, number, settles) in events {
            now += 10;
            let content = ContentId(u128::from(content));
            book.note_crash(at(now), content, &server(usize::from(number) % (MIN_CRASHES - 1)));
            if settles {
                book.decide(at(now), CrashSuspect { content, is_single_service: true });
            }
            if book.status(at(now), content) != ContentStatus::Clear {
                return false;
            }
        }
        book.len() <= 1_024
    }
}
