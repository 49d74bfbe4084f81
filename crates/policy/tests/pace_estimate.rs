//! Calls of a shard whose servers work at different paces, replayed without a network: where they go once the node has
//! seen how long earlier ones took.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use streamfold_policy::pace_estimate::{PaceEstimate, WorkSample};
use streamfold_policy::replica::{CallSample, Distance, ReplicaState};
use streamfold_policy::{Mechanism, MechanismSet, Moment};

const SPELL: Duration = Duration::from_secs(1);
/// What a call usually takes, in microseconds.
const WORK_US: f64 = 10_000.0;
const SLOTS: usize = 2;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// How many times as long as usual work takes at a server at a time in milliseconds.
type PaceOf = fn(server: usize, at: u64) -> f64;

/// A load on the servers of one shard.
struct Load {
    servers: usize,
    /// Calls a second.
    rate: f64,
    pace: PaceOf,
    /// Each server stands still for so long each 5 seconds, in microseconds.
    pause_us: u64,
}

/// A call that was made.
struct MadeCall {
    started: Moment,
    server: usize,
    took_us: f64,
}

/// One call ahead of another in a slot's queue delays it; pauses delay whatever runs.
fn end_of(load: &Load, slots: &[u64], server: usize, now: u64, work_us: f64) -> u64 {
    let begin = slots.iter().copied().min().unwrap_or(0).max(now);
    let end = begin + (work_us * (load.pace)(server, begin / 1_000)) as u64;
    let pause = server as u64 * 1_300_000 + 5_000_000 * (end / 5_000_000);
    if load.pause_us > 0 && (pause..pause + load.pause_us).contains(&end) { pause + load.pause_us } else { end }
}

/// Plays the load for some seconds; `choose` picks a server by what is believed of each and when it would really answer.
fn play(load: &Load, seconds: u64, mechanisms: MechanismSet, is_oracle: bool) -> Vec<MadeCall> {
    let mut dice = StdRng::seed_from_u64(7);
    let mut states = vec![ReplicaState::new(SLOTS as u32, Moment::default()).with_mechanisms(mechanisms); load.servers];
    states.iter_mut().for_each(|state| state.set_comparable(load.servers > 2));
    let mut slots = vec![[0u64; SLOTS]; load.servers];
    let mut open = BinaryHeap::new();
    let mut made = Vec::new();
    let mut now = 1u64;
    while now < seconds * 1_000_000 {
        now += (-dice.random_range(0.001f64..1.0).ln() / load.rate * 1e6) as u64 + 1;
        while let Some(Reverse((end, started, server))) = open.pop_if_due(now) {
            states[server].finish_measured(Moment(end), Moment(started), CallSample::Answered, SPELL);
        }
        let work_us = WORK_US * dice.random_range(-0.5f64..0.5).exp();
        let typical = Duration::from_micros(WORK_US as u64);
        let ends: Vec<u64> =
            (0..load.servers).map(|server| end_of(load, &slots[server], server, now, work_us)).collect();
        let cost = |server: &usize| match is_oracle {
            true => ends[*server] as f64,
            false => {
                states[*server].cost(Moment(now), Distance::Domain, typical, SPELL) * dice.random_range(0.95..1.05)
            }
        };
        let costs: Vec<(usize, f64)> =
            (0..load.servers).zip((0..load.servers).collect::<Vec<_>>().iter().map(cost)).collect();
        let server = costs.iter().min_by(|a, b| a.1.total_cmp(&b.1)).expect("a server").0;
        let slot = slots[server].iter_mut().min().expect("a slot");
        *slot = ends[server];
        states[server].start_measured(Moment(now), typical);
        open.push(Reverse((ends[server], now, server)));
        made.push(MadeCall { started: Moment(now), server, took_us: (ends[server] - now) as f64 });
    }
    made
}

/// Takes the first open call if it ended by now.
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

/// The share of calls in a span that went to some servers.
fn share_to(made: &[MadeCall], from: u64, to: u64, servers: impl Fn(usize) -> bool) -> f64 {
    let within: Vec<&MadeCall> = made.iter().filter(|call| call.started >= ms(from) && call.started < ms(to)).collect();
    within.iter().filter(|call| servers(call.server)).count() as f64 / within.len().max(1) as f64
}

/// The mean time of the calls of a span, in milliseconds.
fn mean_ms(made: &[MadeCall], from: u64, to: u64) -> f64 {
    let within = made.iter().filter(|call| call.started >= ms(from) && call.started < ms(to));
    let (sum, count) = within.fold((0.0, 0), |(sum, count), call| (sum + call.took_us, count + 1));
    sum / f64::from(count) / 1e3
}

/// What was seen of a span, to read and to compare.
fn tell(name: &str, load: &Load, from: u64, to: u64, slow: fn(usize) -> bool) -> String {
    let runs = [("measured", measured(), false), ("unmeasured", unmeasured(), false), ("oracle", measured(), true)];
    let told = runs.map(|(kind, mechanisms, is_oracle)| {
        let made = play(load, 16, mechanisms, is_oracle);
        format!("{kind}: {:.2} to them, {:.1} ms", share_to(&made, from, to, slow), mean_ms(&made, from, to))
    });
    format!("{name}\n  {}", told.join("\n  "))
}

#[test]
fn lasting_differences_are_found_in_seconds() {
    let pace: PaceOf = |server, _| [0.8, 1.0, 1.3][server % 3];
    let load = Load { servers: 3, rate: 100.0, pace, pause_us: 0 };
    insta::assert_snapshot!(
        tell("server 2 takes 1.3 times as long, server 0 0.8 times", &load, 4_000, 16_000, |s| s == 2)
    );
}

#[test]
fn a_neighbour_of_half_a_second_is_left_while_it_lasts() {
    let pace: PaceOf = |server, at| if server == 1 && (5_000..5_500).contains(&at) { 2.5 } else { 1.0 };
    let load = Load { servers: 3, rate: 200.0, pace, pause_us: 0 };
    insta::assert_snapshot!(tell("server 1 takes 2.5 times as long", &load, 5_100, 5_500, |s| s == 1));
}

#[test]
fn a_third_that_is_slow_for_eight_seconds_is_left_within_a_second() {
    let pace: PaceOf = |server, at| if server == 2 && (4_000..12_000).contains(&at) { 8.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 100.0, pace, pause_us: 0 };
    insta::assert_snapshot!(tell("server 2 takes 8 times as long", &load, 5_000, 12_000, |s| s == 2));
    let made = play(&load, 16, measured(), false);
    assert!(share_to(&made, 5_000, 12_000, |s| s == 2) < 0.05, "few calls look whether it is over");
    assert!(share_to(&made, 14_000, 16_000, |s| s == 2) > 0.2, "and it is asked again soon after");
}

#[test]
fn a_shard_with_one_good_server_is_served_by_it() {
    let pace: PaceOf = |server, at| if server > 0 && at >= 3_000 { 8.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 80.0, pace, pause_us: 0 };
    insta::assert_snapshot!(tell("servers 1 and 2 take 8 times as long", &load, 4_000, 16_000, |s| s > 0));
}

/// New servers of which nothing is known yet take their share at once; slow ones among them are found like others.
#[test]
fn new_servers_amid_a_burst_are_used_at_once() {
    let pace: PaceOf = |server, _| if server == 4 { 8.0 } else { 1.0 };
    let load = Load { servers: 6, rate: 400.0, pace, pause_us: 0 };
    insta::assert_snapshot!(tell("server 4 of six new ones takes 8 times as long", &load, 500, 4_000, |s| s == 4));
}

/// A pause is an event like a slow call, and is forgotten in a second and a half unless another one follows.
#[test]
fn pauses_mark_no_server_for_long() {
    let load = Load { servers: 3, rate: 100.0, pace: |_, _| 1.0, pause_us: 250_000 };
    let made = play(&load, 16, measured(), false);
    for server in 0..3 {
        // A pause of server 1 ends at 1550, 6550, 11550 ms and so on.
        let resumed = [1u64, 2].map(|turn| turn * 5_000 + server as u64 * 1_300 + 250);
        for from in resumed {
            let share = share_to(&made, from + 1_500, from + 3_500, |s| s == server);
            assert!(share > 0.1, "server {server} has {share:.2} of the calls after {from} ms");
        }
    }
}

#[test]
fn one_pause_over_many_calls_is_one_event() {
    let mut pace = PaceEstimate::default();
    for _ in 0..6 {
        pace.learn(ms(1_250), WorkSample { started: ms(1_000), ratio: 25.0, has_waited: false }, SPELL);
    }
    let told = [1_250, 1_500, 1_750, 2_250].map(|at| format!("{at} ms: {:.1}", pace.stretch(ms(at), SPELL)));
    insta::assert_snapshot!(told.join("\n"));
    // A second event of its own shows that it is no pause.
    pace.learn(ms(1_600), WorkSample { started: ms(1_300), ratio: 25.0, has_waited: false }, SPELL);
    assert!(pace.stretch(ms(2_250), SPELL) > 4.0);
}

/// The load: contents that take five times as long, at every server alike.
#[test]
fn heavy_contents_everywhere_keep_all_servers_alike() {
    let pace: PaceOf = |_, at| if (4_000..8_000).contains(&at) { 5.0 } else { 1.0 };
    let load = Load { servers: 3, rate: 30.0, pace, pause_us: 0 };
    let made = play(&load, 16, measured(), false);
    for server in 0..3 {
        let share = share_to(&made, 4_000, 8_000, |s| s == server);
        assert!((0.2..0.5).contains(&share), "server {server}: {share:.2}");
    }
}

#[test]
fn a_wrong_word_of_a_server_loses_its_weight() {
    let usual = Duration::from_micros(WORK_US as u64);
    let mut server = ReplicaState::new(2, Moment::default());
    server.set_comparable(true);
    let cost = |server: &ReplicaState, at| server.cost(ms(at), Distance::Domain, usual, SPELL) / WORK_US;
    let mut costs = Vec::new();
    for call in 0..8u64 {
        let started = ms(call * 100);
        server.start_measured(started, usual);
        let now = started.plus(usual);
        server.record_reported_pace(now, 8.0);
        server.finish_measured(now, started, CallSample::Answered, SPELL);
        costs.push(format!("{:.2}", cost(&server, call * 100 + 10)));
    }
    insta::assert_snapshot!(costs.join(" "));
}

#[test]
fn what_another_node_told_counts_less_and_fades() {
    let mut pace = PaceEstimate::default();
    pace.learn_told(ms(2_000), 8.0, Duration::from_millis(500));
    let told = [2_000, 3_000, 6_000, 20_000].map(|at| format!("{at} ms: {:.2}", pace.stretch(ms(at), SPELL)));
    insta::assert_snapshot!(told.join("\n"));
    pace.learn_told(ms(2_100), 1.0, SPELL);
    assert!(pace.stretch(ms(2_100), SPELL) > 2.0, "an older word does not replace a newer one");
    pace.learn(ms(2_200), WorkSample { started: ms(2_190), ratio: 1.0, has_waited: false }, SPELL);
    assert!(pace.stretch(ms(2_200), SPELL) < 1.1, "what was seen here since counts alone");
}

#[test]
fn work_ahead_and_a_failure_add_to_what_a_measured_server_costs() {
    let usual = Duration::from_millis(10);
    let mut server = ReplicaState::new(2, Moment::default());
    server.set_comparable(true);
    let cost = |server: &ReplicaState, now| server.cost(now, Distance::Domain, usual, SPELL) / 10_000.0;
    assert_eq!(cost(&server, ms(1)), 1.0, "nothing is known of it");
    server.start_measured(ms(1), usual);
    server.finish_measured(ms(11), ms(1), CallSample::Answered, SPELL);
    assert_eq!(cost(&server, ms(11)), 1.0, "it takes as long as usual");
    (0..3).for_each(|_| server.start_measured(ms(12), usual));
    assert!(cost(&server, ms(12)) > 2.0, "two of three run, so it waits for one");
    server.finish_measured(ms(12), ms(12), CallSample::Failed, SPELL);
    assert!(server.is_avoided(ms(12)) && cost(&server, ms(12)) > 1e6, "and first for its rest");
}

#[test]
fn without_three_servers_or_the_mechanism_nothing_changes() {
    let usual = Duration::from_millis(10);
    for (mechanisms, is_compared) in [(measured(), false), (unmeasured(), true)] {
        let mut server = ReplicaState::new(2, Moment::default()).with_mechanisms(mechanisms);
        server.set_comparable(is_compared);
        let mut plain = ReplicaState::new(2, Moment::default()).with_mechanisms(unmeasured());
        for call in 0..5u64 {
            server.start_measured(ms(call * 100), usual);
            server.finish_measured(ms(call * 100 + 90), ms(call * 100), CallSample::Answered, SPELL);
            plain.start(ms(call * 100));
            plain.finish(ms(call * 100 + 90), ms(call * 100), CallSample::Answered);
        }
        let cost = |server: &ReplicaState| server.cost(ms(500), Distance::Domain, usual, SPELL).to_bits();
        assert_eq!(cost(&server), cost(&plain));
        assert_eq!(server.measured_pace(ms(500), SPELL), None);
    }
}

quickcheck! {
    /// Whatever calls show and others tell, a pace stays within its bounds and ends as the usual one.
    fn any_samples_leave_a_pace_that_fades(samples: Vec<(u16, f64, bool)>) -> bool {
        let mut pace = PaceEstimate::default();
        let mut now = ms(0);
        for (pause, ratio, is_told) in samples {
            now = now.plus(Duration::from_millis(u64::from(pause)));
            match is_told {
                true => pace.learn_told(now, ratio, Duration::from_millis(u64::from(pause))),
                false => pace.learn(now, WorkSample { started: now, ratio, has_waited: pause % 2 == 0 }, SPELL),
            }
            if !(0.4..=64.0).contains(&pace.stretch(now, SPELL)) {
                return false;
            }
        }
        let late = now.plus(Duration::from_secs(300));
        (pace.stretch(late, SPELL) - 1.0).abs() < 0.01
    }
}
