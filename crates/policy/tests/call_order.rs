//! Replays of queued calls for one service under each scheduling policy, without a network: calls arrive at given
//! times, and each free slot takes the first call of the queue.

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

fn call(
    priority: Priority,
    team: Option<TeamShare>,
    joined: Moment,
    target: Duration,
    max_wait: Duration,
) -> WaitingCall {
    WaitingCall { priority, team, joined, latest_start: joined.plus(target), expires: joined.plus(max_wait) }
}

/// A call and the time at which it was sent.
struct SentCall {
    call: WaitingCall,
    sent: Moment,
}

impl SentCall {
    fn waited(&self) -> Duration {
        self.sent.since(self.call.joined)
    }
}

/// Sends calls in the order of a policy; each of `slots` slots is busy with a call for `service_time`.
fn replay(
    mut order: impl CallOrder,
    mut calls: Vec<WaitingCall>,
    slots: usize,
    service_time: Duration,
) -> Vec<SentCall> {
    calls.sort_by_key(|call| call.joined);
    let mut arrivals = calls.into_iter().peekable();
    let mut free_at = vec![Moment(0); slots];
    let mut queue = WaitQueue::default();
    let mut sent = Vec::new();
    loop {
        let (slot, mut now) = free_at.iter().copied().enumerate().min_by_key(|(_, at)| *at).expect("a slot");
        if queue.is_empty() {
            let Some(next) = arrivals.peek() else { return sent };
            now = now.max(next.joined);
        }
        while let Some(call) = arrivals.next_if(|call| call.joined <= now) {
            order.note_joined(call.joined, &call);
            queue.push(call.latest_start, call.expires, call);
        }
        queue.remove_expired(now);
        let first = queue.iter().min_by_key(|work| order.rank(now, &work.item)).map(|work| work.id);
        let Some(work) = first.and_then(|id| queue.remove(id)) else { continue };
        order.note_sent(now, &work.item);
        free_at[slot] = now.plus(service_time);
        sent.push(SentCall { call: work.item, sent: now });
    }
}

fn longest_wait(sent: &[SentCall], priority: Priority) -> Duration {
    let waits = sent.iter().filter(|sent| sent.call.priority == priority).map(SentCall::waited);
    waits.max().expect("a call of the priority")
}

/// 100 listings that arrive shortly before a lookup every 20 ms; two slots serve a call in 20 ms each.
fn burst() -> Vec<WaitingCall> {
    let (target, max_wait) = (Duration::from_millis(80), Duration::from_secs(10));
    let listings = (0..100).map(|_| call(LEAST, None, ms(0), Duration::from_secs(2), max_wait));
    let lookups = (0..20).map(|number| call(URGENT, None, ms(1 + 20 * number), target, max_wait));
    listings.chain(lookups).collect()
}

#[test]
fn a_burst_of_the_least_urgent_calls_does_not_delay_the_most_urgent() {
    let service_time = Duration::from_millis(20);
    let arrival = replay(ArrivalOrder, burst(), 2, service_time);
    let ordered = replay(PriorityOrder::default(), burst(), 2, service_time);
    assert_eq!((arrival.len(), ordered.len()), (120, 120), "all are sent");
    assert!(longest_wait(&arrival, URGENT) > Duration::from_millis(800), "earlier arrivals go first");
    let wait = longest_wait(&ordered, URGENT);
    assert!(
        wait <= Duration::from_millis(40),
        "the running calls, and one of the least urgent for its minimum share: {wait:?}"
    );
    let last = |sent: &[SentCall]| sent.iter().map(|sent| sent.sent).max();
    assert_eq!(last(&arrival), last(&ordered), "no slot is idle");
}

quickcheck! {
    /// Under overload each of three priorities gets at least half of its share of the arrivals, whatever that share is.
    fn no_priority_starves(weights: (u8, u8, u8), excess: u8) -> bool {
        let weights = [weights.0, weights.1, weights.2].map(|weight| u64::from(weight % 20) + 1);
        let all: u64 = weights.iter().sum();
        // A slot takes one call every 10 ms, and from 1.2 to 4 arrive.
        let count = 1_000 * (12 + u64::from(excess % 29)) / 10;
        let max_wait = Duration::from_millis(500);
        let calls = (0..count).map(|number| {
            let point = number * 7_919 % all;
            let level = weights.iter().scan(0, |sum, weight| { *sum += weight; Some(*sum) }).filter(|end| *end <= point).count();
            call(Priority(level as u32), None, ms(number * 10_000 / count), Duration::from_millis(80), max_wait)
        });
        let sent = replay(PriorityOrder::default(), calls.collect(), 1, Duration::from_millis(10));
        for (level, weight) in weights.into_iter().enumerate() {
            let got = sent.iter().filter(|sent| sent.call.priority.0 == level as u32).count() as f64;
            let share = weight as f64 / all as f64 * sent.len() as f64;
            assert!(got + 2.0 >= share * 0.5, "{weights:?}: priority {level} got {got} of {share:.1}");
        }
        true
    }

    /// Calls that a team sent while no other team had any do not delay its later calls.
    fn a_team_that_was_served_alone_waits_for_one_call_of_another_at_most(sent_alone: u16) -> bool {
        let mut scheduler = TeamScheduler::default();
        let (busy, other) = (team(0, 1.0), team(1, 1.0));
        (0..sent_alone).for_each(|_| scheduler.note_sent(&busy));
        scheduler.note_sent(&other);
        scheduler.start_tag(&busy) <= scheduler.start_tag(&other)
    }
}

/// How long calls of teams wait before they expire.
const PATIENCE: Duration = Duration::from_secs(1);

/// Calls of all teams for ten seconds, each at a multiple of its rate per second.
fn team_calls(rates: &[f64], multiple: impl Fn(usize) -> f64) -> Vec<WaitingCall> {
    let mut calls = Vec::new();
    for (number, rate) in rates.iter().enumerate() {
        let call_rate = rate * multiple(number);
        for count in 0..(call_rate * 10.0) as u64 {
            // Teams start at different times.
            let at = Moment((((count as f64 + (number as f64 * 0.37) % 1.0) / call_rate) * 1e6) as u64);
            calls.push(call(URGENT, Some(team(number, *rate)), at, Duration::from_millis(100), PATIENCE));
        }
    }
    calls
}

/// The share of each team's calls that were sent within a time after arrival.
fn served(sent: &[SentCall], calls: &[WaitingCall], within: Duration) -> BTreeMap<TeamName, f64> {
    let name = |call: &WaitingCall| call.team.as_ref().and_then(|share| share.team.clone()).expect("a team");
    let mut asked: BTreeMap<TeamName, f64> = BTreeMap::new();
    calls.iter().for_each(|call| *asked.entry(name(call)).or_default() += 1.0);
    let in_time = sent.iter().filter(|sent| sent.waited() <= within);
    let mut got: BTreeMap<TeamName, f64> = BTreeMap::new();
    in_time.for_each(|sent| *got.entry(name(&sent.call)).or_default() += 1.0);
    asked
        .into_iter()
        .map(|(team, asked)| {
            let got = got.get(&team).copied().unwrap_or_default();
            (team, got / asked)
        })
        .collect()
}

fn rates() -> Vec<f64> {
    // 87 teams, from one request every five seconds to 12 per second.
    (0..87).map(|number| [0.2, 1.0, 3.0, 12.0][number % 4]).collect()
}

/// The mean share over the worst-served tenth of the teams, without the overloading one.
fn worst_served_tenth(served: &BTreeMap<TeamName, f64>) -> f64 {
    let overloading: TeamName = "team-3".parse().expect("a name");
    let mut shares: Vec<f64> =
        served.iter().filter(|(team, _)| **team != overloading).map(|(_, share)| *share).collect();
    shares.sort_by(f64::total_cmp);
    let worst = &shares[..shares.len() / 10];
    worst.iter().sum::<f64>() / worst.len() as f64
}

fn replay_teams(order: impl CallOrder, within: Duration, multiple: impl Fn(usize) -> f64) -> BTreeMap<TeamName, f64> {
    let calls = team_calls(&rates(), multiple);
    // 346 calls per second if all keep to their rates; 20 slots of 50 ms serve 400.
    let sent = replay(order, calls.clone(), 20, Duration::from_millis(50));
    served(&sent, &calls, within)
}

#[test]
fn a_team_at_ten_times_its_rate_takes_nothing_from_the_86_others() {
    let overloading = |number: usize| if number == 3 { 10.0 } else { 1.0 };
    let soon = Duration::from_millis(500);
    let undisturbed = worst_served_tenth(&replay_teams(PriorityOrder::default().with_fair_queueing(), soon, |_| 1.0));
    let ordered = worst_served_tenth(&replay_teams(PriorityOrder::default().with_fair_queueing(), soon, overloading));
    let arrival = worst_served_tenth(&replay_teams(ArrivalOrder, soon, overloading));
    assert!(undisturbed > 0.99, "{undisturbed}");
    assert!(ordered >= 0.95 * undisturbed, "{ordered} of {undisturbed}");
    assert!(arrival < 0.9, "without fair queueing all teams are affected: {arrival}");
}

#[test]
fn teams_that_all_exceed_their_rates_share_capacity_by_their_rates() {
    let served = replay_teams(PriorityOrder::default().with_fair_queueing(), PATIENCE, |_| 4.0);
    let (least, most) = (served.values().copied().fold(1.0, f64::min), served.values().copied().fold(0.0, f64::max));
    // 400 of 1,384 calls per second can be served: 0.29 of each team's calls, and no team is left out.
    assert!(least > 0.2 && most < 0.5, "{least} to {most}");
}

#[test]
fn start_tags_in_the_past_are_dropped() {
    let mut scheduler = TeamScheduler::default();
    (0..5_000).for_each(|number| scheduler.note_sent(&team(number, 1.0)));
    assert!(scheduler.tracked_teams() <= 1_024, "{}", scheduler.tracked_teams());
}

#[test]
fn a_team_without_a_limit_has_the_mean_weight_of_the_others() {
    let mut scheduler = TeamScheduler::default();
    let unlimited = TeamShare { team: "free".parse().ok(), rate: None };
    for _ in 0..20 {
        scheduler.note_sent(&team(0, 4.0));
    }
    let before = scheduler.start_tag(&unlimited);
    scheduler.note_sent(&unlimited);
    assert_eq!(scheduler.start_tag(&unlimited) - before, 250_000);
}

#[test]
fn callers_without_a_team_count_as_one_team() {
    let mut order = PriorityOrder::default().with_fair_queueing();
    let at = Moment(1_000_000);
    let max_wait = Duration::from_secs(1);
    let waiting = |team| call(Priority(1), team, at, max_wait, max_wait);
    let (teamless, blue) = (waiting(None), waiting(Some(team(0, 1.0))));
    let mut sent = (0, 0);
    for _ in 0..100 {
        let is_teamless = order.rank(at, &teamless) < order.rank(at, &blue);
        let next = if is_teamless { &teamless } else { &blue };
        order.note_sent(at, next);
        sent = if is_teamless { (sent.0 + 1, sent.1) } else { (sent.0, sent.1 + 1) };
    }
    assert!(sent.0 >= 45 && sent.1 >= 45, "{sent:?}");
}
