//! Replays of calls that wait for one service, in the order of each rule. No network: calls come at given moments, each
//! free slot takes the first in line.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{Priority, TeamName};
use streamfold_policy::Moment;
use streamfold_policy::call_order::{ArrivalOrder, CallOrder, PriorityOrder, WaitingCall};
use streamfold_policy::team_scheduler::{TeamScheduler, TeamShare};
use streamfold_policy::wait_queue::WaitQueue;

const URGENT: Priority = Priority(0);
const LEAST: Priority = Priority(2);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn team(number: usize, rate: f64) -> TeamShare {
    TeamShare { team: format!("team-{number}").parse().ok(), rate: Some(rate) }
}

fn call(priority: Priority, team: Option<TeamShare>, joined: Moment, target: Duration, held: Duration) -> WaitingCall {
    WaitingCall { priority, team, joined, latest_start: joined.plus(target), expires: joined.plus(held) }
}

/// A call that was made, and when.
struct MadeCall {
    call: WaitingCall,
    made: Moment,
}

impl MadeCall {
    fn waited(&self) -> Duration {
        self.made.since(self.call.joined)
    }
}

/// Makes calls in an order: each of `slots` slots takes one for `took`.
fn replay(mut order: impl CallOrder, mut calls: Vec<WaitingCall>, slots: usize, took: Duration) -> Vec<MadeCall> {
    calls.sort_by_key(|call| call.joined);
    let mut coming = calls.into_iter().peekable();
    let mut free_at = vec![Moment(0); slots];
    let mut line = WaitQueue::default();
    let mut made = Vec::new();
    loop {
        let (slot, mut now) = free_at.iter().copied().enumerate().min_by_key(|(_, at)| *at).expect("a slot");
        if line.is_empty() {
            let Some(next) = coming.peek() else { return made };
            now = now.max(next.joined);
        }
        while let Some(call) = coming.next_if(|call| call.joined <= now) {
            order.note_joined(call.joined, &call);
            line.push(call.latest_start, call.expires, call);
        }
        line.remove_expired(now);
        let first = line.iter().min_by_key(|work| order.rank(now, &work.item)).map(|work| work.id);
        let Some(work) = first.and_then(|place| line.remove(place)) else { continue };
        order.note_sent(now, &work.item);
        free_at[slot] = now.plus(took);
        made.push(MadeCall { call: work.item, made: now });
    }
}

fn longest_wait(made: &[MadeCall], priority: Priority) -> Duration {
    let waits = made.iter().filter(|made| made.call.priority == priority).map(MadeCall::waited);
    waits.max().expect("a call of the priority")
}

/// 100 listings that come a moment before a lookup every 20 ms; a slot does one in 20 ms, and there are two.
fn burst() -> Vec<WaitingCall> {
    let (target, held) = (Duration::from_millis(80), Duration::from_secs(10));
    let listings = (0..100).map(|_| call(LEAST, None, ms(0), Duration::from_secs(2), held));
    let lookups = (0..20).map(|number| call(URGENT, None, ms(1 + 20 * number), target, held));
    listings.chain(lookups).collect()
}

#[test]
fn a_burst_of_the_least_urgent_does_not_hold_up_the_most_urgent() {
    let took = Duration::from_millis(20);
    let arrival = replay(ArrivalOrder, burst(), 2, took);
    let ordered = replay(PriorityOrder::default(), burst(), 2, took);
    assert_eq!((arrival.len(), ordered.len()), (120, 120), "all are made");
    assert!(longest_wait(&arrival, URGENT) > Duration::from_millis(800), "what came before goes first");
    let wait = longest_wait(&ordered, URGENT);
    assert!(wait <= Duration::from_millis(40), "the calls that run, and one that its priority keeps: {wait:?}");
    let last = |made: &[MadeCall]| made.iter().map(|made| made.made).max();
    assert_eq!(last(&arrival), last(&ordered), "nothing is idle");
}

quickcheck! {
    /// Whatever share of an overload each of three priorities has, each gets half of its share at least.
    fn no_priority_starves(weights: (u8, u8, u8), excess: u8) -> bool {
        let weights = [weights.0, weights.1, weights.2].map(|weight| u64::from(weight % 20) + 1);
        let all: u64 = weights.iter().sum();
        // Each 10 ms a slot takes one call, and from 1.2 to 4 come.
        let count = 1_000 * (12 + u64::from(excess % 29)) / 10;
        let held = Duration::from_millis(500);
        let calls = (0..count).map(|number| {
            let point = number * 7_919 % all;
            let level = weights.iter().scan(0, |sum, weight| { *sum += weight; Some(*sum) }).filter(|end| *end <= point).count();
            call(Priority(level as u32), None, ms(number * 10_000 / count), Duration::from_millis(80), held)
        });
        let made = replay(PriorityOrder::default(), calls.collect(), 1, Duration::from_millis(10));
        for (level, weight) in weights.into_iter().enumerate() {
            let got = made.iter().filter(|made| made.call.priority.0 == level as u32).count() as f64;
            let share = weight as f64 / all as f64 * made.len() as f64;
            assert!(got + 2.0 >= share * 0.5, "{weights:?}: priority {level} got {got} of {share:.1}");
        }
        true
    }

    /// What a team was told long ago, or did while nobody else asked, does not make it wait.
    fn a_team_that_had_all_for_itself_waits_for_one_turn_at_most(alone: u16) -> bool {
        let mut turns = TeamScheduler::default();
        let (busy, other) = (team(0, 1.0), team(1, 1.0));
        (0..alone).for_each(|_| turns.note_sent(&busy));
        turns.note_sent(&other);
        turns.turn(&busy) <= turns.turn(&other)
    }
}

/// How long callers of teams wait for an answer.
const HELD: Duration = Duration::from_secs(1);

/// Calls of 87 teams for ten seconds, each at its rate a second, some at a multiple of it.
fn team_calls(rates: &[f64], multiple: impl Fn(usize) -> f64) -> Vec<WaitingCall> {
    let mut calls = Vec::new();
    for (number, rate) in rates.iter().enumerate() {
        let sent = rate * multiple(number);
        for count in 0..(sent * 10.0) as u64 {
            // Teams do not begin together.
            let at = Moment((((count as f64 + (number as f64 * 0.37) % 1.0) / sent) * 1e6) as u64);
            calls.push(call(URGENT, Some(team(number, *rate)), at, Duration::from_millis(100), HELD));
        }
    }
    calls
}

/// The share of each team's calls that began within a time.
fn served(made: &[MadeCall], calls: &[WaitingCall], within: Duration) -> BTreeMap<TeamName, f64> {
    let name = |call: &WaitingCall| call.team.as_ref().and_then(|share| share.team.clone()).expect("a team");
    let mut asked: BTreeMap<TeamName, f64> = BTreeMap::new();
    calls.iter().for_each(|call| *asked.entry(name(call)).or_default() += 1.0);
    let in_time = made.iter().filter(|made| made.waited() <= within);
    let mut got: BTreeMap<TeamName, f64> = BTreeMap::new();
    in_time.for_each(|made| *got.entry(name(&made.call)).or_default() += 1.0);
    asked
        .into_iter()
        .map(|(team, asked)| {
            let got = got.get(&team).copied().unwrap_or_default();
            (team, got / asked)
        })
        .collect()
}

fn rates() -> Vec<f64> {
    // From a request every five seconds to 12 a second.
    (0..87).map(|number| [0.2, 1.0, 3.0, 12.0][number % 4]).collect()
}

/// The mean of the worst tenth of teams, without the first.
fn worst_tenth(served: &BTreeMap<TeamName, f64>) -> f64 {
    let loud: TeamName = "team-3".parse().expect("a name");
    let mut shares: Vec<f64> = served.iter().filter(|(team, _)| **team != loud).map(|(_, share)| *share).collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len() / 10];
    worst.iter().sum::<f64>() / worst.len() as f64
}

fn replay_teams(order: impl CallOrder, within: Duration, multiple: impl Fn(usize) -> f64) -> BTreeMap<TeamName, f64> {
    let calls = team_calls(&rates(), multiple);
    // 346 calls a second when all keep to their rates; 20 slots of 50 ms do 400.
    let made = replay(order, calls.clone(), 20, Duration::from_millis(50));
    served(&made, &calls, within)
}

#[test]
fn a_team_at_ten_times_its_rate_takes_nothing_from_the_86_others() {
    let loud = |number: usize| if number == 3 { 10.0 } else { 1.0 };
    let soon = Duration::from_millis(500);
    let calm = worst_tenth(&replay_teams(PriorityOrder::default().with_fair_queueing(), soon, |_| 1.0));
    let ordered = worst_tenth(&replay_teams(PriorityOrder::default().with_fair_queueing(), soon, loud));
    let arrival = worst_tenth(&replay_teams(ArrivalOrder, soon, loud));
    assert!(calm > 0.99, "{calm}");
    assert!(ordered >= 0.95 * calm, "{ordered} of {calm}");
    assert!(arrival < 0.9, "without turns all of them suffer: {arrival}");
}

#[test]
fn all_teams_at_once_share_by_their_rates() {
    let served = replay_teams(PriorityOrder::default().with_fair_queueing(), HELD, |_| 4.0);
    let (least, most) = (served.values().copied().fold(1.0, f64::min), served.values().copied().fold(0.0, f64::max));
    // 400 of 1,384 a second can be done: 0.29 of what each asks for, and nobody is left out.
    assert!(least > 0.2 && most < 0.5, "{least} to {most}");
}

#[test]
fn teams_whose_turn_is_past_are_forgotten() {
    let mut turns = TeamScheduler::default();
    (0..5_000).for_each(|number| turns.note_sent(&team(number, 1.0)));
    assert!(turns.remembered() <= 1_024, "{}", turns.remembered());
}

#[test]
fn a_team_without_a_limit_counts_as_the_mean_of_the_others() {
    let mut turns = TeamScheduler::default();
    let free = TeamShare { team: "free".parse().ok(), rate: None };
    for _ in 0..20 {
        turns.note_sent(&team(0, 4.0));
    }
    let before = turns.turn(&free);
    turns.note_sent(&free);
    assert_eq!(turns.turn(&free) - before, 250_000);
}

#[test]
fn callers_without_a_team_share_as_one_team_does() {
    let mut order = PriorityOrder::default().with_fair_queueing();
    let at = Moment(1_000_000);
    let hold = Duration::from_secs(1);
    let waiting = |team| call(Priority(1), team, at, hold, hold);
    let (nameless, blue) = (waiting(None), waiting(Some(team(0, 1.0))));
    let mut made = (0, 0);
    for _ in 0..100 {
        let is_nameless = order.rank(at, &nameless) < order.rank(at, &blue);
        let next = if is_nameless { &nameless } else { &blue };
        order.note_sent(at, next);
        made = if is_nameless { (made.0 + 1, made.1) } else { (made.0, made.1 + 1) };
    }
    assert!(made.0 >= 45 && made.1 >= 45, "{made:?}");
}
