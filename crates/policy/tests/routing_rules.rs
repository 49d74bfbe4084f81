//! Routing rules: extra calls keep their bounds, silent servers are avoided until they answer, and an answer over
//! several shards is sent at the right time.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use streamfold_policy::Moment;
use streamfold_policy::extra_budget::{ExtraBudget, ExtraLimits};
use streamfold_policy::fold_rule::{FoldRule, FoldStep};
use streamfold_policy::replica::{CallSample, Distance, ReplicaState};

const WINDOW: Duration = Duration::from_secs(10);
const TYPICAL: Duration = Duration::from_millis(10);
const SLOW_PERIOD: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1000)
}

/// Traffic at one node: requests, extra calls, and extra calls that were refused.
struct Traffic {
    requests: Vec<(Moment, f64)>,
    extras: Vec<Moment>,
    refused: Vec<Moment>,
}

/// Runs steps of a pause in milliseconds followed by requests or extra calls.
fn run_traffic(steps: Vec<(u16, u8)>, limits: &ExtraLimits) -> Traffic {
    let mut budget = ExtraBudget::default();
    let mut traffic = Traffic { requests: Vec::new(), extras: Vec::new(), refused: Vec::new() };
    let mut now = ms(0);
    for (pause, kind) in steps {
        now = now.plus(Duration::from_millis(u64::from(pause % 3000)));
        for _ in 0..u64::from(kind / 8) {
            match kind % 8 {
                0..=3 => {
                    let share = if kind % 2 == 0 { 1.0 } else { 0.3 };
                    budget.note_request(now, limits, share);
                    traffic.requests.push((now, share));
                }
                _ if budget.spend(now, limits) => traffic.extras.push(now),
                _ => traffic.refused.push(now),
            }
        }
    }
    traffic
}

/// The number of extra calls in the window that ends at `end`, and its bound.
fn count_extras(traffic: &Traffic, end: Moment, limits: &ExtraLimits) -> (f64, f64) {
    let is_in = |moment: Moment| moment <= end && end.since(moment) < limits.window;
    let extras = traffic.extras.iter().filter(|moment| is_in(**moment)).count();
    let requests: f64 = traffic.requests.iter().filter(|(moment, _)| is_in(*moment)).map(|(_, share)| share).sum();
    (extras as f64, limits.ratio * requests + limits.allowance)
}

/// Whether the bound holds in every window that ends with an extra call. Other windows contain no more extra calls.
fn keeps_bound(traffic: &Traffic, limits: &ExtraLimits) -> bool {
    traffic.extras.iter().all(|end| {
        let (extras, bound) = count_extras(traffic, *end, limits);
        extras <= bound + 1e-6
    })
}

quickcheck! {
    fn extra_calls_keep_their_bound_in_every_window(steps: Vec<(u16, u8)>, ratio: u8, allowance: u8) -> bool {
        let ratio = f64::from(ratio) / 255.0;
        let limits = ExtraLimits { ratio, window: WINDOW, allowance: f64::from(allowance) / 8.0 };
        keeps_bound(&run_traffic(steps, &limits), &limits)
    }

    fn extra_calls_keep_their_bound_in_windows_of_any_length(steps: Vec<(u16, u8)>, window: u16) -> TestResult {
        if window == 0 {
            return TestResult::discard();
        }
        let limits = ExtraLimits { ratio: 0.1, window: Duration::from_millis(u64::from(window)), allowance: 3.0 };
        TestResult::from_bool(keeps_bound(&run_traffic(steps, &limits), &limits))
    }

    /// Without requests only the allowance can be spent, and after a window without calls all of it is available again.
    fn the_allowance_is_restored_after_a_quiet_window(allowance: u8, attempts: u8, pause: u32) -> bool {
        let limits = ExtraLimits { ratio: 0.1, window: WINDOW, allowance: f64::from(allowance) };
        let mut budget = ExtraBudget::default();
        let start = ms(u64::from(pause));
        let first = (0..attempts).filter(|_| budget.spend(start, &limits)).count();
        // Slightly more than a window, since the oldest bucket counts until it has left the window completely.
        let later = start.plus(WINDOW).plus(WINDOW / 20);
        let second = (0..attempts).filter(|_| budget.spend(later, &limits)).count();
        let expected = usize::from(allowance.min(attempts));
        (first, second) == (expected, expected)
    }

    /// No extra call is refused that the requests of a slightly shorter window allow.
    fn the_budget_refuses_no_call_within_the_bound(steps: Vec<(u16, u8)>) -> bool {
        let limits = ExtraLimits { ratio: 0.5, window: WINDOW, allowance: 2.0 };
        let traffic = run_traffic(steps, &limits);
        let shorter = ExtraLimits { window: WINDOW - WINDOW / 10, ..limits };
        let longer = ExtraLimits { window: WINDOW + WINDOW / 10, ..limits };
        traffic.refused.iter().all(|end| {
            let extras = count_extras(&traffic, *end, &longer).0;
            let bound = count_extras(&traffic, *end, &shorter).1;
            // Later steps at the same time may have added requests after the refusal.
            let is_alone = traffic.requests.iter().all(|(moment, _)| moment != end);
            !is_alone || extras + 1.0 > bound - 1e-6
        })
    }
}

fn server() -> ReplicaState {
    ReplicaState::new(4, Moment::default())
}

fn cost(server: &ReplicaState, now: Moment) -> f64 {
    server.cost(now, Distance::Domain, TYPICAL, SLOW_PERIOD)
}

/// Number of milliseconds after `from` during which a server is avoided.
fn avoided_for(server: &ReplicaState, from: Moment) -> u64 {
    (0..20_000).find(|millis| !server.is_avoided(from.plus(Duration::from_millis(*millis)))).expect("an end")
}

#[test]
fn a_silent_server_is_avoided_longer_each_time_until_it_answers() {
    let mut server = server();
    let mut now = ms(1);
    let mut spans = Vec::new();
    for _ in 0..8 {
        server.start(ms(0));
        server.note_overdue(now, now);
        let span = avoided_for(&server, now);
        spans.push(span);
        // While the server is avoided, further overdue calls do not prolong it.
        server.note_overdue(now.plus(Duration::from_millis(1)), now);
        assert_eq!(avoided_for(&server, now), span);
        now = now.plus(Duration::from_millis(span));
    }
    insta::assert_debug_snapshot!(spans);
    server.note_overdue(now, now);
    assert!(server.is_avoided(now));
    server.finish(now, ms(0), CallSample::Answered);
    assert!(!server.is_avoided(now), "an answer ends the silence");
    server.note_overdue(now, now);
    assert_eq!(avoided_for(&server, now), spans[0], "the next silence starts with the first span again");
}

#[test]
fn a_slow_server_that_answers_other_calls_does_not_count_as_silent() {
    let started = ms(100);
    let mut server = server();
    (0..2).for_each(|_| server.start(ms(0)));
    server.finish(ms(150), ms(0), CallSample::Answered);
    assert!(server.has_answered_since(started));
    server.note_overdue(ms(200), started);
    assert!(!server.is_avoided(ms(200)));
    // A call that began after the last answer is overdue, so the server is silent.
    server.note_overdue(ms(300), ms(160));
    assert!(server.is_avoided(ms(300)));
}

#[test]
fn a_server_is_busy_only_if_requests_queue() {
    let now = ms(100);
    let mut server = server();
    (0..4).for_each(|_| server.start(ms(0)));
    assert!(!server.is_busy(now), "all slots are taken and no request queues");
    server.start(ms(0));
    assert!(server.is_busy(now));
    server.finish(now, ms(0), CallSample::Abandoned);
    server.record_load(now, 4, 1);
    assert!(server.is_busy(now), "by its own load report");
    assert!(!server.is_busy(now.plus(Duration::from_secs(2))), "the report expires");
}

#[test]
fn refusals_and_failures_raise_the_cost_until_they_decay() {
    for sample in [CallSample::Full, CallSample::Failed] {
        let mut now = ms(1);
        let mut refusing = server();
        for _ in 0..20 {
            now = now.plus(Duration::from_secs(5));
            refusing.start(ms(0));
            refusing.finish(now, ms(0), sample);
        }
        // Late enough that the server is no longer avoided, and early enough that the refusals still count.
        let soon = now.plus(Duration::from_millis(2_100));
        assert!(!refusing.is_avoided(soon));
        assert!(cost(&refusing, soon) > 1.3 * cost(&server(), soon), "{sample:?}");
        let late = now.plus(Duration::from_secs(60));
        assert!((cost(&refusing, late) / cost(&server(), late) - 1.0).abs() < 1e-3, "{sample:?}");
        let mut recovered = refusing.clone();
        for _ in 0..40 {
            recovered.start(ms(0));
            recovered.finish(soon, ms(0), CallSample::Answered);
        }
        assert!((cost(&recovered, soon) / cost(&server(), soon) - 1.0).abs() < 0.05, "{sample:?}");
    }
}

#[test]
fn a_failing_server_backs_off_longer_each_time_until_it_answers() {
    let mut server = server();
    let mut now = ms(1);
    let mut spans = Vec::new();
    for _ in 0..8 {
        server.start(ms(0));
        server.finish(now, ms(0), CallSample::Failed);
        spans.push(avoided_for(&server, now));
        now = now.plus(Duration::from_secs(10));
    }
    insta::assert_debug_snapshot!(spans);
    server.start(ms(0));
    server.finish(now, ms(0), CallSample::Answered);
    assert!(!server.is_avoided(now));
    server.start(ms(0));
    server.finish(now, ms(0), CallSample::Failed);
    assert_eq!(avoided_for(&server, now), spans[0]);
}

#[test]
fn a_full_server_backs_off_briefly_and_an_abandoned_call_changes_nothing() {
    let now = ms(1);
    let mut full = server();
    full.start(ms(0));
    full.finish(now, ms(0), CallSample::Full);
    let mut failed = server();
    failed.start(ms(0));
    failed.finish(now, ms(0), CallSample::Failed);
    let mut abandoned = server();
    abandoned.start(ms(0));
    abandoned.finish(now, ms(0), CallSample::Abandoned);
    assert!(avoided_for(&full, now) > 0 && avoided_for(&full, now) < avoided_for(&failed, now));
    assert_eq!((avoided_for(&abandoned, now), abandoned.running()), (0, 0));
    assert_eq!(cost(&abandoned, now).to_bits(), cost(&server(), now).to_bits());
}

#[test]
fn a_warming_server_counts_as_slow_until_it_is_warm() {
    let warming = ReplicaState::new(4, ms(3_000));
    assert!(cost(&warming, ms(2_999)) > cost(&server(), ms(2_999)));
    assert_eq!(cost(&warming, ms(3_000)).to_bits(), cost(&server(), ms(3_000)).to_bits());
}

#[test]
fn costs_rank_servers() {
    let now = ms(100);
    let mut avoided = server();
    avoided.note_overdue(now, now);
    let mut busy = server();
    (0..12).for_each(|_| busy.start(now));
    let mut reported = server();
    reported.record_load(now, 4, 8);
    let typical = |server: &ReplicaState, distance| server.cost(now, distance, TYPICAL, SLOW_PERIOD);
    let mut ranked = [
        ("idle, near", typical(&server(), Distance::Domain)),
        ("idle, in the region", typical(&server(), Distance::Region)),
        ("idle, far", typical(&server(), Distance::Far)),
        ("busy with our calls, near", typical(&busy, Distance::Domain)),
        ("busy by its own word, near", typical(&reported, Distance::Domain)),
        ("silent, near", typical(&avoided, Distance::Domain)),
    ];
    ranked.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    let names: Vec<&str> = ranked.iter().map(|(name, _)| *name).collect();
    insta::assert_debug_snapshot!(names);
    let later = now.plus(Duration::from_secs(2));
    assert_eq!(cost(&reported, later).to_bits(), cost(&server(), later).to_bits(), "a reported load expires");
}

quickcheck! {
    /// For any events, calls are counted, costs are finite and no server is avoided forever.
    fn any_events_leave_a_usable_server(events: Vec<(u16, u8, u8)>) -> bool {
        let mut server = server();
        let mut now = ms(0);
        let mut running = 0u32;
        for (pause, kind, detail) in events {
            now = now.plus(Duration::from_millis(u64::from(pause)));
            match kind % 6 {
                0 | 1 => {
                    server.start(ms(0));
                    running += 1;
                }
                2 => {
                    let started = Moment(now.0.saturating_sub(u64::from(pause) * 500));
                    server.note_overdue(now, started);
                }
                3 => server.record_load(now, u32::from(detail), u32::from(pause)),
                _ if running == 0 => {}
                _ => {
                    running -= 1;
                    let sample = match detail % 4 {
                        0 => CallSample::Answered,
                        1 => CallSample::Full,
                        2 => CallSample::Failed,
                        _ => CallSample::Abandoned,
                    };
                    server.finish(now, ms(0), sample);
                }
            }
            if server.running() != running || !cost(&server, now).is_finite() || cost(&server, now) < 0.0 {
                return false;
            }
        }
        !server.is_avoided(now.plus(Duration::from_secs(5)))
    }
}

fn rule() -> FoldRule {
    let (target, limit) = (Duration::from_millis(100), Duration::from_millis(500));
    FoldRule { target, limit, min_coverage: 0.5, shards: 4 }
}

fn format_step(step: FoldStep) -> String {
    match step {
        FoldStep::Answer => "answer".to_owned(),
        FoldStep::Wait(until) => format!("wait to {}", until.as_millis()),
        FoldStep::GiveUp => "give up".to_owned(),
    }
}

#[test]
fn steps_of_a_fold() {
    let rule = rule();
    let mut table = vec!["at   in  due  step".to_owned()];
    for elapsed in [0, 99, 100, 499, 500, 900] {
        for (answered, pending) in
            [(4, 0), (3, 1), (3, 0), (2, 2), (2, 0), (1, 3), (1, 1), (1, 0), (0, 4), (0, 1), (0, 0)]
        {
            let step = rule.step(Duration::from_millis(elapsed), answered, pending);
            table.push(format!("{elapsed:<4} {answered:<3} {pending:<4} {}", format_step(step)));
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}

#[test]
fn a_fold_holds_at_least_one_shard_whatever_the_bound() {
    let none = FoldRule { min_coverage: 0.0, ..rule() };
    assert!(!none.is_enough(0));
    assert!(none.is_enough(1));
    assert_eq!(none.step(Duration::from_millis(600), 0, 2), FoldStep::GiveUp);
    // A third of three shards is one shard, however the share is rounded.
    assert!(FoldRule { min_coverage: 1.0 / 3.0, shards: 3, ..rule() }.is_enough(1));
    assert!(!FoldRule { min_coverage: 0.34, shards: 3, ..rule() }.is_enough(1));
}

quickcheck! {
    /// No answer is given below the coverage bound, no wait exceeds the time limit, and at the limit the step is final.
    fn fold_steps_keep_the_coverage_bound_and_the_time_limit(
        elapsed: u16, target: u16, limit: u16, share: u8, answered: usize, pending: usize
    ) -> bool {
        let shards = 20;
        let answered = answered % (shards + 1);
        let pending = pending % (shards - answered + 1);
        let min_coverage = f64::from(share) / 255.0;
        let span = |millis: u16| Duration::from_millis(u64::from(millis));
        let rule = FoldRule { target: span(target), limit: span(limit), min_coverage, shards };
        let is_enough = answered > 0 && answered as f64 / shards as f64 >= min_coverage - 1e-9;
        match rule.step(span(elapsed), answered, pending) {
            FoldStep::Answer => is_enough,
            FoldStep::Wait(until) => pending > 0 && until <= rule.limit && until > span(elapsed) && elapsed < limit,
            FoldStep::GiveUp => !is_enough,
        }
    }
}

#[test]
fn an_open_call_raises_the_cost_to_its_age() {
    let mut stuck = server();
    stuck.start(ms(0));
    let costs: Vec<u64> = [1, 10, 50, 400].map(|millis| cost(&stuck, ms(millis)) as u64).to_vec();
    insta::assert_debug_snapshot!(costs);
    stuck.finish(ms(400), ms(0), CallSample::Abandoned);
    assert!(cost(&stuck, ms(400)) < 1.2 * cost(&server(), ms(400)), "it ends with the call");
}

#[test]
fn one_refusal_raises_the_cost_more_than_one_failure() {
    let after_one = |sample| {
        let mut server = server();
        server.start(ms(1));
        server.finish(ms(1), ms(1), sample);
        // After the end of the backoff.
        cost(&server, ms(150))
    };
    let fresh = cost(&server(), ms(150));
    let relative = |sample| format!("{sample:?}: {:.1}", after_one(sample) / fresh);
    insta::assert_snapshot!([CallSample::Full, CallSample::Failed].map(relative).join("\n"));
}
