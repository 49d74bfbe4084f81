//! Quarantine of contents that crash servers, and canary calls of suspect requests.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{ContentId, CrashEntry, ServerId, ServerRun};
use streamfold_policy::Moment;
use streamfold_policy::canary::{CallPermission, CanaryOutcome, CanaryRecord, RequestVerdict, VERDICT_TIMEOUT};
use streamfold_policy::crash_tracker::{
    ContentStatus, CrashSuspect, CrashTracker, DECISION_DELAY, MIN_CRASHES, SURVIVAL_DELAY,
};

const CONTENT: ContentId = ContentId(7);
const OVER_SHARDS: CrashSuspect = CrashSuspect { content: CONTENT, is_single_service: false };
const CANARY_TIMEOUT: Duration = Duration::from_secs(1);

fn server(number: usize) -> ServerRun {
    format!("i-{}@{number}", number % 2).parse().expect("a run")
}

fn server_id(number: usize) -> ServerId {
    format!("i-{number}").parse().expect("an id")
}

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// A tracker in which `count` servers crashed at `now`.
fn crashed(count: usize, now: Moment) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    (0..count).for_each(|number| {
        tracker.note_crash(now, CONTENT, &server(number));
    });
    tracker
}

fn entry(count: usize, trials: u32) -> CrashEntry {
    CrashEntry { content: CONTENT, crashed: (0..count).map(server).collect(), trials }
}

#[test]
fn three_crashes_make_a_content_suspect_and_quarantined_after_the_decision_delay() {
    let mut tracker = crashed(MIN_CRASHES - 1, at(0));
    assert_eq!(tracker.status(at(0), CONTENT), ContentStatus::Clear);
    assert_eq!(tracker.decide(at(0).plus(DECISION_DELAY), OVER_SHARDS), None);
    assert!(tracker.note_crash(at(400), CONTENT, &server(9)), "a decision is necessary");
    assert!(!tracker.note_crash(at(400), CONTENT, &server(10)), "a decision is pending");
    assert_eq!(tracker.status(at(400), CONTENT), ContentStatus::Suspect);
    let published = tracker.decide(at(400).plus(DECISION_DELAY), OVER_SHARDS).expect("an entry");
    assert_eq!(published.crashed.len(), MIN_CRASHES + 1);
    assert!(matches!(tracker.status(at(800), CONTENT), ContentStatus::Quarantined { .. }));
    assert_eq!(tracker.status(at(800), ContentId(8)), ContentStatus::Clear);
}

#[test]
fn crashes_of_a_request_to_one_service_are_published_from_the_first_on() {
    let mut tracker = crashed(1, at(0));
    let published = tracker.decide(at(300), CrashSuspect { content: CONTENT, is_single_service: true });
    assert_eq!(published.map(|entry| entry.crashed.len()), Some(1));
    assert_eq!(tracker.status(at(300), CONTENT), ContentStatus::Clear);
    tracker.put_shared(at(400), entry(MIN_CRASHES, 0));
    assert!(matches!(tracker.status(at(400), CONTENT), ContentStatus::Quarantined { .. }));
}

#[test]
fn survivors_count_in_favour_of_a_content() {
    let mut tracker = crashed(MIN_CRASHES, at(0));
    for number in 10..10 + MIN_CRASHES {
        assert!(tracker.note_answer(CONTENT, &server(number)), "its survival has to be checked");
        assert!(!tracker.note_answer(CONTENT, &server(number)), "only once");
        assert_eq!(tracker.status(at(20), CONTENT), ContentStatus::Suspect, "they may still crash");
        tracker.note_survived(CONTENT, &server(number));
    }
    assert_eq!(tracker.status(at(300), CONTENT), ContentStatus::Clear);
    tracker.note_crash(at(400), CONTENT, &server(10));
    assert_eq!(
        tracker.crashed(CONTENT).len(),
        MIN_CRASHES,
        "it survived the content, so it crashed for another reason"
    );
    tracker.note_crash(at(400), CONTENT, &server(20));
    assert_eq!(tracker.status(at(400), CONTENT), ContentStatus::Suspect);
}

#[test]
fn an_answer_before_the_decision_clears_a_content_and_a_later_crash_starts_a_new_record() {
    let mut tracker = crashed(MIN_CRASHES, at(0));
    tracker.note_served(at(100), CONTENT);
    assert_eq!(tracker.decide(at(0).plus(DECISION_DELAY), OVER_SHARDS), None);
    assert_eq!(tracker.status(at(100).plus(SURVIVAL_DELAY), CONTENT), ContentStatus::Clear);
    tracker.note_crash(at(1_000), CONTENT, &server(20));
    assert_eq!(tracker.status(at(1_000), CONTENT), ContentStatus::Clear);
    assert_eq!(tracker.crashed(CONTENT).len(), 1);
}

#[test]
fn trial_delays_grow_until_the_content_is_released() {
    let mut tracker = CrashTracker::default();
    let mut now = at(0);
    let mut waits = Vec::new();
    for trials in 0..5 {
        tracker.put_shared(now, entry(MIN_CRASHES, trials));
        let ContentStatus::Quarantined { until } = tracker.status(now, CONTENT) else { panic!("not quarantined") };
        assert_eq!(tracker.status(until, CONTENT), ContentStatus::TrialDue);
        // Receiving the same entry again does not restart the delay.
        tracker.put_shared(until, entry(MIN_CRASHES, trials));
        assert_eq!(tracker.status(until, CONTENT), ContentStatus::TrialDue);
        waits.push(until.since(now).as_secs());
        now = until;
    }
    assert_eq!(waits, [3, 30, 300, 3_000, 3_600]);
    assert!(tracker.remove_shared(CONTENT));
    assert!(tracker.is_empty());
}

#[test]
fn entries_without_a_quarantine_expire_earlier_than_quarantined_ones() {
    let mut tracker = CrashTracker::default();
    tracker.put_shared(at(0), entry(1, 0));
    let quarantined = CrashEntry { content: ContentId(8), ..entry(MIN_CRASHES, 0) };
    tracker.put_shared(at(0), quarantined);
    assert_eq!(tracker.find_expired(at(59_999)), []);
    assert_eq!(tracker.find_expired(at(60_000)), [CONTENT]);
    assert_eq!(tracker.find_expired(at(24 * 3_600_000)).len(), 2);
}

#[test]
fn a_suspect_request_sends_a_canary_call_first() {
    let suspect = ContentStatus::Suspect;
    let mut record = CanaryRecord::default();
    assert_eq!(record.permission(at(0), ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Allowed);
    assert_eq!(record.permission(at(0), suspect, CANARY_TIMEOUT), CallPermission::AsCanary);
    record.note_sent(at(0), server_id(1));
    assert_eq!(record.permission(at(1), suspect, CANARY_TIMEOUT), CallPermission::Wait);
    assert_eq!(record.permission(at(1_000), suspect, CANARY_TIMEOUT), CallPermission::Denied, "the canary timed out");
    record.note_outcome(CanaryOutcome::NotRun);
    assert_eq!(record.permission(at(2), suspect, CANARY_TIMEOUT), CallPermission::AsCanary);
    record.note_outcome(CanaryOutcome::Answered);
    assert_eq!(record.permission(at(2), suspect, CANARY_TIMEOUT), CallPermission::Allowed);
    let quarantined = ContentStatus::Quarantined { until: at(9) };
    assert_eq!(record.permission(at(2), quarantined, CANARY_TIMEOUT), CallPermission::Denied, "quarantined meanwhile");
    record.note_outcome(CanaryOutcome::Lost);
    assert_eq!(record.permission(at(2), suspect, CANARY_TIMEOUT), CallPermission::Denied);
}

#[test]
fn a_trial_continues_only_if_its_server_survived() {
    let mut record = CanaryRecord::trial();
    let due = ContentStatus::TrialDue;
    assert_eq!(record.permission(at(0), due, CANARY_TIMEOUT), CallPermission::AsCanary);
    record.note_sent(at(0), server_id(1));
    record.note_outcome(CanaryOutcome::Answered);
    assert_eq!(record.permission(at(1), due, CANARY_TIMEOUT), CallPermission::Wait);
    record.note_trial(true);
    assert_eq!(record.permission(at(2), ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Allowed);
    record.note_trial(false);
    assert_eq!(record.permission(at(2), due, CANARY_TIMEOUT), CallPermission::Denied);
}

#[test]
fn a_trial_reaches_only_one_server_even_if_it_is_not_run() {
    let mut record = CanaryRecord::trial();
    record.note_sent(at(0), server_id(1));
    record.note_outcome(CanaryOutcome::NotSent);
    assert_eq!(
        record.permission(at(1), ContentStatus::TrialDue, CANARY_TIMEOUT),
        CallPermission::AsCanary,
        "it reached no server"
    );
    record.note_sent(at(1), server_id(2));
    record.note_outcome(CanaryOutcome::NotRun);
    assert_eq!(record.permission(at(2), ContentStatus::TrialDue, CANARY_TIMEOUT), CallPermission::Denied);
}

#[test]
fn a_request_that_lost_several_calls_waits_for_the_verdict_on_the_servers() {
    let mut record = CanaryRecord::default();
    for _ in 0..MIN_CRASHES {
        assert_eq!(record.permission(at(0), ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Allowed);
        record.note_lost(at(0));
    }
    assert_eq!(record.permission(at(0), ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Wait);
    let verdict = at(0).plus(VERDICT_TIMEOUT);
    assert_eq!(record.permission(verdict, ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Allowed);
    assert_eq!(record.permission(verdict, ContentStatus::Suspect, CANARY_TIMEOUT), CallPermission::AsCanary);
}

#[test]
fn a_request_over_shards_waits_after_its_first_lost_call() {
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    assert_eq!(record.permission(at(1), ContentStatus::Clear, CANARY_TIMEOUT), CallPermission::Wait);
    record.note_alive();
    assert_eq!(
        record.permission(at(1), ContentStatus::Clear, CANARY_TIMEOUT),
        CallPermission::Allowed,
        "the server survived"
    );
    record.note_lost(at(2));
    let verdict = at(2).plus(VERDICT_TIMEOUT);
    assert_eq!(
        record.permission(verdict, ContentStatus::Clear, CANARY_TIMEOUT),
        CallPermission::Allowed,
        "only one server crashed"
    );
}

#[test]
fn a_request_over_shards_that_may_have_crashed_several_servers_sends_no_more_calls() {
    let suspect = ContentStatus::Suspect;
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    let verdict = at(0).plus(VERDICT_TIMEOUT);
    assert_eq!(record.permission(verdict, suspect, CANARY_TIMEOUT), CallPermission::Denied);
    record.note_answered();
    assert_eq!(
        record.permission(verdict, suspect, CANARY_TIMEOUT),
        CallPermission::AsCanary,
        "a server has run and answered it"
    );
    let later = CanaryRecord::over_shards();
    assert_eq!(
        later.permission(verdict, suspect, CANARY_TIMEOUT),
        CallPermission::AsCanary,
        "it started after the crashes"
    );
}

/// Guards against hedged calls to the other server of each shard before it is known whether the first servers crashed.
#[test]
fn a_request_over_shards_that_lost_several_calls_waits_until_all_servers_may_have_crashed() {
    let clear = ContentStatus::Clear;
    let mut record = CanaryRecord::over_shards();
    record.note_unrestricted();
    record.note_lost(at(0));
    record.note_lost(at(3));
    assert_eq!(
        record.permission(at(3).plus(VERDICT_TIMEOUT), clear, CANARY_TIMEOUT),
        CallPermission::Wait,
        "no server has answered it"
    );
    assert_eq!(record.permission(at(93), clear, CANARY_TIMEOUT), CallPermission::Allowed);
    record.note_answered();
    assert_eq!(record.permission(at(3).plus(VERDICT_TIMEOUT), clear, CANARY_TIMEOUT), CallPermission::Allowed);
}

/// Guards against hedged calls for all shards at once by a node whose first servers have not crashed yet.
#[test]
fn a_request_over_shards_sends_few_hedged_calls_before_the_first_answer() {
    let mut record = CanaryRecord::over_shards();
    let before = [(); MIN_CRASHES].map(|()| {
        let may_hedge = record.may_hedge(at(0));
        record.note_hedge(at(0));
        may_hedge
    });
    assert_eq!(before, [true, true, false]);
    assert_eq!(
        [record.may_hedge(at(89)), record.may_hedge(at(90))],
        [false, true],
        "no server crashed, so they are only silent"
    );
    record.note_lost(at(91));
    assert!(!record.may_hedge(at(300)), "a server crashed");
    record.note_answered();
    assert!(record.may_hedge(at(300)));
    assert!(CanaryRecord::default().may_hedge(at(0)), "a request to one service is limited by its route");
}

/// Guards against a verdict against a request that has only just started, and against further calls of one at fault.
#[test]
fn a_request_without_answers_is_at_fault_after_the_usual_call_time() {
    let usual = Duration::from_millis(40);
    let quarantined = ContentStatus::Quarantined { until: at(9_000) };
    let mut record = CanaryRecord::over_shards();
    assert_eq!(record.verdict(ContentStatus::Suspect, usual, usual), RequestVerdict::Continue, "it has sent no calls");
    record.note_unrestricted();
    let ages = [0, 39, 40].map(Duration::from_millis);
    let suspect = ages.map(|age| record.verdict(ContentStatus::Suspect, age, usual));
    assert_eq!(suspect, [RequestVerdict::Continue, RequestVerdict::Continue, RequestVerdict::AtFault]);
    assert_eq!(record.verdict(ContentStatus::Clear, usual, usual), RequestVerdict::Continue);
    assert_eq!(record.verdict(quarantined, Duration::ZERO, usual), RequestVerdict::Cancelled);
    record.note_answered();
    assert_eq!(record.verdict(quarantined, usual, usual), RequestVerdict::Continue, "existing answers are delivered");
}

/// Guards against the quarantine of contents that only ran beside the faulty one, which was the case for five of six
/// quarantined contents.
#[test]
fn crashes_of_a_quarantined_content_do_not_count_against_other_contents() {
    let (beside, unproven) = (ContentId(8), ContentId(9));
    let mut tracker = crashed(MIN_CRASHES + 1, at(0));
    (0..MIN_CRASHES).for_each(|number| {
        tracker.note_crash(at(1), beside, &server(number));
    });
    assert_eq!(tracker.status(at(1), beside), ContentStatus::Suspect);
    let quarantined = tracker.quarantine(at(2), CONTENT).expect("a new quarantine");
    assert_eq!(tracker.quarantine(at(3), CONTENT), None, "already quarantined");
    assert!(matches!(tracker.status(at(2), CONTENT), ContentStatus::Quarantined { .. }));
    assert_eq!(tracker.status(at(2), beside), ContentStatus::Clear);
    assert_eq!(tracker.decide(at(301), CrashSuspect { content: beside, is_single_service: false }), None);
    (20..20 + MIN_CRASHES).for_each(|number| {
        tracker.note_crash(at(400), beside, &server(number));
    });
    assert_eq!(tracker.status(at(400), beside), ContentStatus::Suspect, "these crashes are its own");
    let mut other = CrashTracker::default();
    assert!(other.put_quarantined(at(2), &quarantined) && !other.put_quarantined(at(3), &quarantined), "new only once");
    assert!(matches!(other.status(at(3), CONTENT), ContentStatus::Quarantined { .. }));
    assert!(
        !other.put_quarantined(at(3), &CrashEntry { content: unproven, ..entry(MIN_CRASHES - 1, 0) }),
        "too few crashes"
    );
}

/// Guards against a trial by each node while the store is unavailable.
#[test]
fn a_trial_by_one_node_delays_the_trials_of_others() {
    let mut trackers = [crashed(MIN_CRASHES, at(0)), crashed(MIN_CRASHES, at(0))];
    let quarantined = trackers[0].quarantine(at(0), CONTENT).expect("a new quarantine");
    trackers[1].put_quarantined(at(0), &quarantined);
    let tried = trackers[0].note_local_trial(at(3_000), CONTENT).expect("a trial");
    assert_eq!(trackers[1].status(at(3_000), CONTENT), ContentStatus::TrialDue);
    assert!(trackers[1].put_quarantined(at(3_020), &tried));
    assert_eq!(trackers[1].status(at(3_020), CONTENT), ContentStatus::Quarantined { until: at(33_020) });
}

quickcheck! {
    /// A content that never crashed three servers is never quarantined, whatever the order of crashes, and the size of
    /// the tracker stays bounded.
    fn fewer_than_three_crashed_servers_quarantine_nothing(events: Vec<(u16, u8, bool)>) -> bool {
        let mut tracker = CrashTracker::default();
        let mut now = 0;
        for (content, number, decides) in events {
            now += 10;
            let content = ContentId(u128::from(content));
            tracker.note_crash(at(now), content, &server(usize::from(number) % (MIN_CRASHES - 1)));
            if decides {
                tracker.decide(at(now), CrashSuspect { content, is_single_service: true });
            }
            if tracker.status(at(now), content) != ContentStatus::Clear {
                return false;
            }
        }
        tracker.len() <= 1_024
    }
}

#[test]
fn a_trial_of_a_content_with_the_greatest_number_of_trials_is_recorded() {
    let mut tracker = CrashTracker::default();
    assert!(tracker.put_quarantined(at(0), &entry(MIN_CRASHES, u32::MAX)));
    let published = tracker.note_local_trial(at(1), CONTENT).expect("an entry");
    assert_eq!(published.trials, u32::MAX);
}
