//! Simulates calls of a shard whose servers work at different paces, without a network, and checks which servers the
//! node chooses by the measured durations of earlier calls.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use streamfold_policy::pace_estimate::{PaceEstimate, PaceSample};
use streamfold_policy::replica::{CallSample, Distance, ReplicaState};
use streamfold_policy::{Mechanism, MechanismSet, Moment};

const SLOW_PERIOD: Duration = Duration::from_secs(1);
/// Usual duration of a call, in microseconds.
const WORK_US: f64 = 10_000.0;
const SLOTS: usize = 2;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// Pace of a server at a time in milliseconds: service time relative to the usual one.
type PaceOf = fn(server: usize, at: u64) -> f64;

/// A load on the servers of one shard.
struct Load {
    servers: usize,
    /// Calls per second.
    rate: f64,
    pace: PaceOf,
    /// Length of the pause that each server makes every 5 seconds, in microseconds.
    pause_us: u64,
}

/// A finished call.
struct FinishedCall {
    started: Moment,
    server: usize,
    took_us: f64,
}

/// End of a call made now. It starts when a slot is free; a pause delays all running calls.
fn call_end(load: &Load, slots: &[u64], server: usize, now: u64, work_us: f64) -> u64 {
    let begin = slots.iter().copied().min().unwrap_or(0).max(now);
    let end = begin + (work_us * (load.pace)(server, begin / 1_000)) as u64;
    let pause = server as u64 * 1_300_000 + 5_000_000 * (end / 5_000_000);
    if load.pause_us > 0 && (pause..pause + load.pause_us).contains(&end) { pause + load.pause_us } else { end }
}

/// Simulates the load for some seconds. Each call goes to the server with the lowest cost, or, if `is_oracle`, to the
/// one that answers first.
fn simulate(load: &Load, seconds: u64, mechanisms: MechanismSet, is_oracle: bool) -> Vec<FinishedCall> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut states = vec![ReplicaState::new(SLOTS as u32, Moment::default()).with_mechanisms(mechanisms); load.servers];
    states.iter_mut().for_each(|state| state.set_comparable(load.servers > 2));
    let mut slots = vec![[0u64; SLOTS]; load.servers];
    let mut open = BinaryHeap::new();
    let mut made = Vec::new();
    let mut now = 1u64;
    while now < seconds * 1_000_000 {
        now += (-rng.random_range(0.001f64..1.0).ln() / load.rate * 1e6) as u64 + 1;
        while let Some(Reverse((end, started, server))) = open.pop_if_due(now) {
            states[server].finish_measured(Moment(end), Moment(started), CallSample::Answered, SLOW_PERIOD);
        }
        let work_us = WORK_US * rng.random_range(-0.5f64..0.5).exp();
        let typical = Duration::from_micros(WORK_US as u64);
        let ends: Vec<u64> =
            (0..load.servers).map(|server| call_end(load, &slots[server], server, now, work_us)).collect();
        let cost = |server: &usize| match is_oracle {
            true => ends[*server] as f64,
            false => {
                states[*server].cost(Moment(now), Distance::Domain, typical, SLOW_PERIOD) * rng.random_range(0.95..1.05)
            }
        };
        let costs: Vec<(usize, f64)> =
            (0..load.servers).zip((0..load.servers).collect::<Vec<_>>().iter().map(cost)).collect();
        let server = costs.iter().min_by(|a, b| a.1.total_cmp(&b.1)).expect("a server").0;
        let slot = slots[server].iter_mut().min().expect("a slot");
        *slot = ends[server];
        states[server].start_measured(Moment(now), typical);
        open.push(Reverse((ends[server], now, server)));
        made.push(FinishedCall { started: Moment(now), server, took_us: (ends[server] - now) as f64 });
    }
    made
}

/// Removes the first open call if it has ended by now.
trait PopIfDue {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64, usize)>>;
}

impl PopIfDue for BinaryHeap<Reverse<(u64, u64, usize)>> {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64, usize)>> {
        let is_due = self.peek().is_some_and(|Reverse((end, _, _))| *end <= now);
        if is_due { self.pop() } else { None }
    }
}

fn measured() -> MechanismSet {
    MechanismSet::default()
}

fn unmeasured() -> MechanismSet {
    MechanismSet::without(&[Mechanism::MeasuredPace])
}

/// Share of the calls in an interval that went to some servers.
fn share_to(made: &[FinishedCall], from: u64, to: u64, servers: impl Fn(usize) -> bool) -> f64 {
    let within: Vec<&FinishedCall> =
        made.iter().filter(|call| call.started >= ms(from) && call.started < ms(to)).collect();
    within.iter().filter(|call| servers(call.server)).count() as f64 / within.len().max(1) as f64
}

/// Mean duration of the calls in an interval, in milliseconds.
fn mean_ms(made: &[FinishedCall], from: u64, to: u64) -> f64 {
    let within = made.iter().filter(|call| call.started >= ms(from) && call.started < ms(to));
    let (sum, count) = within.fold((0.0, 0), |(sum, count), call| (sum + call.took_us, count + 1));
    sum / f64::from(count) / 1e3
}

/// Share of calls to the slow servers and mean duration in an interval, with and without measured pace and for an
/// oracle.
fn summarize(name: &str, load: &Load, from: u64, to: u64, slow: fn(usize) -> bool) -> String {
    let runs = [("measured", measured(), false), ("unmeasured", unmeasured(), false), ("oracle", measured(), true)];
    let lines = runs.map(|(kind, mechanisms, is_oracle)| {
        let made = simulate(load, 16, mechanisms, is_oracle);
        format!("{kind}: {:.2} to them, {:.1} ms", share_to(&made, from, to, slow), mean_ms(&made, from, to))
    });
    format!("{name}\n  {}", lines.join("\n  "))
}

#[test]
fn lasting_pace_differences_are_detected_within_seconds() {
    let pace: PaceOf = |server, _| [0.8, 1.0, 1.3][server % 3];
    let load = Load { servers: 3, rate: 100.0, pace, pause_us: 0 };
    insta::assert_snapshot!(summarize(
        "server 2 takes 1.3 times as long, server 0 0.8 times",
        &load,
        4_000,
        16_000,
        |s| s == 2
    ));
}

#[test]
fn a_server_slow_for_half_a_second_is_avoided_meanwhile() {
    let pace: PaceOf = |server, at| if server == 1 && (5_000..5_500).contains(&at) { 2.5 } else { 1.0 };
    let load = Load { servers: 3, rate: 200.0, pace, pause_us: 0 };
    insta::assert_snapshot!(summarize("server 1 takes 2.5 times as long", &load, 5_100, 5_500, |s| s == 1));
}

#[test]
fn a_server_slow_for_eight_seconds_is_avoided_within_a_second() {
    let pace: PaceOf = |server, at| if server == 2 && (4_000..12_000).contains(&at) { 8.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 100.0, pace, pause_us: 0 };
    insta::assert_snapshot!(summarize("server 2 takes 8 times as long", &load, 5_000, 12_000, |s| s == 2));
    let made = simulate(&load, 16, measured(), false);
    assert!(share_to(&made, 5_000, 12_000, |s| s == 2) < 0.05, "few calls probe whether the slow period is over");
    assert!(share_to(&made, 14_000, 16_000, |s| s == 2) > 0.2, "the server is used again soon after it");
}

#[test]
fn a_shard_with_one_fast_server_is_served_by_it() {
    let pace: PaceOf = |server, at| if server > 0 && at >= 3_000 { 8.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 80.0, pace, pause_us: 0 };
    insta::assert_snapshot!(summarize("servers 1 and 2 take 8 times as long", &load, 4_000, 16_000, |s| s > 0));
}

/// New servers without samples take their share at once, and slow ones among them are detected like others.
#[test]
fn new_servers_take_load_at_once_during_a_burst() {
    let pace: PaceOf = |server, _| if server == 4 { 8.0 } else { 1.0 };
    let load = Load { servers: 6, rate: 400.0, pace, pause_us: 0 };
    insta::assert_snapshot!(summarize("server 4 of six new ones takes 8 times as long", &load, 500, 4_000, |s| s == 4));
}

/// A pause counts as an event like a slow call, and is forgotten after a second and a half unless another one follows.
#[test]
fn a_paused_server_is_used_again_soon() {
    let load = Load { servers: 3, rate: 100.0, pace: |_, _| 1.0, pause_us: 250_000 };
    let made = simulate(&load, 16, measured(), false);
    for server in 0..3 {
        // The pauses of server 1 end at 1550, 6550, 11550 ms and so on.
        let resumed = [1u64, 2].map(|turn| turn * 5_000 + server as u64 * 1_300 + 250);
        for from in resumed {
            let share = share_to(&made, from + 1_500, from + 3_500, |s| s == server);
            assert!(share > 0.1, "server {server} has {share:.2} of the calls after {from} ms");
        }
    }
}

#[test]
fn calls_delayed_by_one_pause_count_as_one_event() {
    let mut pace = PaceEstimate::default();
    for _ in 0..6 {
        pace.record_answer(ms(1_250), PaceSample { started: ms(1_000), ratio: 25.0, has_queued: false }, SLOW_PERIOD);
    }
    let lines = [1_250, 1_500, 1_750, 2_250].map(|at| format!("{at} ms: {:.1}", pace.slowdown(ms(at), SLOW_PERIOD)));
    insta::assert_snapshot!(lines.join("\n"));
    // A second, separate event shows that it was no pause.
    pace.record_answer(ms(1_600), PaceSample { started: ms(1_300), ratio: 25.0, has_queued: false }, SLOW_PERIOD);
    assert!(pace.slowdown(ms(2_250), SLOW_PERIOD) > 4.0);
}

/// Guards against avoiding servers because the requests are heavy: all calls take five times as long at every server.
#[test]
fn heavy_requests_at_all_servers_keep_the_load_balanced() {
    let pace: PaceOf = |_, at| if (4_000..8_000).contains(&at) { 5.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 30.0, pace, pause_us: 0 };
    let made = simulate(&load, 16, measured(), false);
    for server in 0..3 {
        let share = share_to(&made, 4_000, 8_000, |s| s == server);
        assert!((0.2..0.5).contains(&share), "server {server}: {share:.2}");
    }
}

#[test]
fn a_contradicted_server_report_loses_weight() {
    let usual = Duration::from_micros(WORK_US as u64);
    let mut server = ReplicaState::new(2, Moment::default());
    server.set_comparable(true);
    let cost = |server: &ReplicaState, at| server.cost(ms(at), Distance::Domain, usual, SLOW_PERIOD) / WORK_US;
    let mut costs = Vec::new();
    for call in 0..8u64 {
        let started = ms(call * 100);
        server.start_measured(started, usual);
        let now = started.plus(usual);
        server.record_reported_pace(now, 8.0);
        server.finish_measured(now, started, CallSample::Answered, SLOW_PERIOD);
        costs.push(format!("{:.2}", cost(&server, call * 100 + 10)));
    }
    insta::assert_snapshot!(costs.join(" "));
}

#[test]
fn a_pace_reported_by_another_node_counts_less_and_decays() {
    let mut pace = PaceEstimate::default();
    pace.record_peer_pace(ms(2_000), 8.0, Duration::from_millis(500));
    let lines = [2_000, 3_000, 6_000, 20_000].map(|at| format!("{at} ms: {:.2}", pace.slowdown(ms(at), SLOW_PERIOD)));
    insta::assert_snapshot!(lines.join("\n"));
    pace.record_peer_pace(ms(2_100), 1.0, SLOW_PERIOD);
    assert!(pace.slowdown(ms(2_100), SLOW_PERIOD) > 2.0, "an older report does not replace a newer one");
    pace.record_answer(ms(2_200), PaceSample { started: ms(2_190), ratio: 1.0, has_queued: false }, SLOW_PERIOD);
    assert!(pace.slowdown(ms(2_200), SLOW_PERIOD) < 1.1, "later measurements of this node take precedence");
}

#[test]
fn queued_work_and_a_failure_add_to_the_cost_of_a_measured_server() {
    let usual = Duration::from_millis(10);
    let mut server = ReplicaState::new(2, Moment::default());
    server.set_comparable(true);
    let cost = |server: &ReplicaState, now| server.cost(now, Distance::Domain, usual, SLOW_PERIOD) / 10_000.0;
    assert_eq!(cost(&server, ms(1)), 1.0, "nothing is known of the server");
    server.start_measured(ms(1), usual);
    server.finish_measured(ms(11), ms(1), CallSample::Answered, SLOW_PERIOD);
    assert_eq!(cost(&server, ms(11)), 1.0, "the call took as long as usual");
    (0..3).for_each(|_| server.start_measured(ms(12), usual));
    assert!(cost(&server, ms(12)) > 2.0, "two of three calls run, so a new one would queue");
    server.finish_measured(ms(12), ms(12), CallSample::Failed, SLOW_PERIOD);
    assert!(server.is_avoided(ms(12)) && cost(&server, ms(12)) > 1e6, "the failure adds a backoff");
}

#[test]
fn measured_pace_has_no_effect_below_three_servers_or_without_the_mechanism() {
    let usual = Duration::from_millis(10);
    for (mechanisms, is_comparable) in [(measured(), false), (unmeasured(), true)] {
        let mut server = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        server.set_comparable(is_comparable);
        let mut plain = ReplicaState::new(2, Moment::default()).with_mechanisms(unmeasured());
        for call in 0..5u64 {
            server.start_measured(ms(call * 100), usual);
            server.finish_measured(ms(call * 100 + 90), ms(call * 100), CallSample::Answered, SLOW_PERIOD);
            plain.start(ms(call * 100));
            plain.finish(ms(call * 100 + 90), ms(call * 100), CallSample::Answered);
        }
        let cost = |server: &ReplicaState| server.cost(ms(500), Distance::Domain, usual, SLOW_PERIOD).to_bits();
        assert_eq!(cost(&server), cost(&plain));
        assert_eq!(server.measured_pace(ms(500), SLOW_PERIOD), None);
    }
}

quickcheck! {
    /// For any samples and reports, the pace stays within its bounds and decays to the usual one.
    fn any_samples_keep_the_pace_bounded_and_decaying_to_usual(samples: Vec<(u16, f64, bool)>) -> bool {
        let mut pace = PaceEstimate::default();
        let mut now = ms(0);
        for (pause, ratio, is_reported) in samples {
            now = now.plus(Duration::from_millis(u64::from(pause)));
            match is_reported {
                true => pace.record_peer_pace(now, ratio, Duration::from_millis(u64::from(pause))),
                false => pace.record_answer(
                    now, PaceSample { started: now, ratio, has_queued: pause % 2 == 0 }, SLOW_PERIOD
                ),
            }
            if !(0.4..=64.0).contains(&pace.slowdown(now, SLOW_PERIOD)) {
                return false;
            }
        }
        let late = now.plus(Duration::from_secs(300));
        (pace.slowdown(late, SLOW_PERIOD) - 1.0).abs() < 0.01
    }
}
