//! Callers of a team that are refused together return one after the other and are served, and the bound on the team's
//! requests holds as without it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{ContentId, TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::reservation_table::{ReservationOffer, ReservationRequest, ReservationTable};
use streamfold_policy::retry_after::{RefusalReason, choose_retry_after, usable_wait};
use streamfold_policy::usage_credit::{CreditAnswer, CreditPools, DomainCredits, UsageAllowance};

/// The bound: in any window a team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One way between regions.
const WAY: Duration = Duration::from_millis(8);
/// A refusal's way to its caller, and that of the new request on a new connection.
const RETURN_WAY: Duration = Duration::from_millis(4);
/// Callers have pauses of their own and come back so much later at most.
const OWN_PAUSE: Duration = Duration::from_millis(250);
/// When callers come: nodes have run for a while.
const BEGIN: Moment = Moment(14_000_000);

/// Dice that fall alike for a seed.
struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.roll() * count as f64) as usize % count
    }

    fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.roll()).ln() / rate)
    }
}

/// The nodes that give credit of one team.
struct Lenders {
    domains: Vec<DomainCredits>,
    pool: CreditPools,
    pool_started: Moment,
    is_cut: Vec<bool>,
    allowance: UsageAllowance,
    limit: UsageLimit,
    team: TeamName,
}

impl Lenders {
    fn new(limit: UsageLimit, domains: usize) -> Self {
        Self {
            domains: (0..domains).map(|_| DomainCredits::default()).collect(),
            pool: CreditPools::default(),
            pool_started: Moment::default(),
            is_cut: vec![false; domains],
            allowance: UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains },
            limit,
            team: "blue".parse().expect("a name"),
        }
    }

    /// What a request that comes in a failure domain gets, and when.
    fn ask(&mut self, now: Moment, domain: usize, caller: Caller) -> (Moment, CreditAnswer) {
        let (team, limit, allowance) = (&self.team, self.limit, self.allowance);
        let giver = &mut self.domains[domain];
        let ask = caller.ask();
        let answer = giver.take_reserved(now, team, limit, allowance, &ask);
        let CreditAnswer::AskPool(wanted) = answer else { return (now, answer) };
        let asked = now.plus(WAY);
        let loan = (!self.is_cut[domain]).then(|| {
            let own = Moment(asked.0 - self.pool_started.0);
            self.pool.grant(own, team, limit, allowance, wanted)
        });
        let told = asked.plus(WAY);
        giver.note_grant(told, team, loan);
        let answer =
            giver.take_reserved(told, team, limit, allowance, &ReservationRequest { is_pool_asked: true, ..ask });
        (told, answer)
    }
}

/// A caller as a giver of credit sees it.
#[derive(Debug, Clone, Copy)]
struct Caller {
    number: u64,
    usable: Duration,
}

impl Caller {
    fn ask(self) -> ReservationRequest {
        ReservationRequest {
            content: ContentId::of(&[&self.number.to_le_bytes()]),
            max_wait: self.usable,
            is_pool_asked: false,
        }
    }
}

/// A request on its way to its failure domain's giver; the order is that of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Moment,
    domain: usize,
    number: u64,
    gives_up: Moment,
    /// Whether it comes at a place that it was told.
    is_told: bool,
}

impl Arrival {
    /// Its number is its time: no two come at the same moment.
    fn new(at: Moment, domain: usize, patience: Duration) -> Self {
        Self { at, domain, number: at.0, gives_up: at.plus(patience), is_told: false }
    }

    fn caller(&self) -> Caller {
        Caller { number: self.number, usable: usable_wait(self.gives_up.since(self.at), self.gives_up.since(self.at)) }
    }
}

/// How callers fared.
#[derive(Debug, Default)]
struct Outcome {
    ran: Vec<Moment>,
    /// Refused at a place that they were told.
    in_vain: usize,
    /// Served at a place that they were told.
    in_turn: usize,
    /// Told a time that is further away than they can wait.
    too_far: usize,
}

/// Plays callers that return as told if they can wait so long, and not at all if they cannot.
fn play(lenders: &mut Lenders, dice: &mut Dice, callers: impl IntoIterator<Item = Arrival>) -> Outcome {
    let mut arrivals: BinaryHeap<Reverse<Arrival>> = callers.into_iter().map(Reverse).collect();
    let mut outcome = Outcome::default();
    while let Some(Reverse(arrival)) = arrivals.pop() {
        let (answered, answer) = lenders.ask(arrival.at, arrival.domain, arrival.caller());
        match answer {
            CreditAnswer::Granted => {
                outcome.ran.push(arrival.at);
                outcome.in_turn += usize::from(arrival.is_told);
            }
            CreditAnswer::Reservation(ReservationOffer { wait, is_reserved }) => {
                outcome.in_vain += usize::from(arrival.is_told);
                outcome.too_far += usize::from(!is_reserved);
                let told = choose_retry_after(RefusalReason::Reserved { wait }, dice.roll());
                let at = answered.plus(told).plus(RETURN_WAY).plus(OWN_PAUSE.mul_f64(dice.roll()));
                if is_reserved {
                    arrivals.push(Reverse(Arrival { at, is_told: true, ..arrival }));
                }
            }
            other => panic!("{other:?}"),
        }
    }
    outcome
}

/// Callers that come at a rate for a time.
fn stream(dice: &mut Dice, rate: f64, seconds: u64, domains: usize) -> Vec<Arrival> {
    let (mut now, end) = (BEGIN, BEGIN.plus(Duration::from_secs(seconds)));
    let mut callers = Vec::new();
    while now < end {
        now = now.plus(dice.gap(rate));
        callers.push(Arrival::new(now, dice.below(domains), Duration::from_millis(1_500)));
    }
    callers
}

/// The most requests in any window.
fn most_in_window(ran: &[Moment]) -> usize {
    let mut recent: VecDeque<Moment> = VecDeque::new();
    let mut most = 0;
    for at in ran {
        recent.push_back(*at);
        while recent.front().is_some_and(|first| at.since(*first) >= WINDOW) {
            recent.pop_front();
        }
        most = most.max(recent.len());
    }
    most
}

fn bound(limit: UsageLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + EXCESS) + ALLOWANCE
}

#[test]
fn callers_refused_together_are_served_at_their_places_or_told_the_true_time() {
    let limit = UsageLimit { rate: 30.0, burst: 10.0 };
    let (mut lenders, mut dice) = (Lenders::new(limit, 6), Dice(11));
    let callers = (0..100).map(|caller| {
        let at = BEGIN.plus(Duration::from_micros(caller * 500));
        Arrival::new(at, 0, Duration::from_secs(6))
    });
    let outcome = play(&mut lenders, &mut dice, callers);
    assert_eq!(outcome.in_vain, 0, "{outcome:?}");
    assert!(outcome.in_turn > 5 && outcome.too_far > 0, "{outcome:?}");
    assert_eq!(outcome.ran.len() + outcome.too_far, 100, "{outcome:?}");
}

#[test]
fn beside_newcomers_at_ten_times_the_rate_most_are_served_at_their_places() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let (mut in_vain, mut in_turn, mut ran) = (0, 0, 0);
    for seed in 0..10 {
        let (mut lenders, mut dice) = (Lenders::new(limit, 6), Dice(seed));
        let callers = stream(&mut dice, limit.rate * 10.0, 20, 6);
        let outcome = play(&mut lenders, &mut dice, callers);
        assert!(most_in_window(&outcome.ran) as f64 <= bound(limit), "seed {seed}");
        in_vain += outcome.in_vain;
        in_turn += outcome.in_turn;
        ran += outcome.ran.len();
    }
    // What the limit allows is used, too.
    let allowed = (limit.rate + limit.burst / WINDOW.as_secs_f64()) * 20.0 * 10.0;
    assert!(ran as f64 > allowed * 0.9, "{ran} of {allowed}");
    assert!(in_vain * 10 < in_turn, "{in_vain} in vain, {in_turn} in turn");
}

#[test]
fn hardly_anything_is_refused_below_the_limit() {
    for (rate, burst) in [(0.2, 1.0), (1.0, 1.0), (4.0, 4.0), (21.0, 18.0)] {
        let limit = UsageLimit { rate, burst };
        let (mut refused, mut sent) = (0, 0);
        for seed in 0..40 {
            let (mut lenders, mut dice) = (Lenders::new(limit, 6), Dice(seed));
            let callers = stream(&mut dice, rate * 0.63, 60, 6);
            sent += callers.len();
            let served = play(&mut lenders, &mut dice, callers.clone()).ran.len();
            refused += callers.len() - served;
        }
        assert!((refused as f64) < sent as f64 * 0.01, "{refused} of {sent} of a team with a rate of {rate}");
    }
}

#[test]
fn a_giver_that_dies_loses_its_places_and_the_next_gives_no_more() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let (mut lenders, mut dice) = (Lenders::new(limit, 6), Dice(5));
    let mut ran = Vec::new();
    for second in 0..20 {
        let from = BEGIN.plus(Duration::from_secs(second));
        let callers = (0..200).map(|number| {
            let at = from.plus(Duration::from_millis(number * 5));
            Arrival::new(at, number as usize % 6, Duration::from_secs(3))
        });
        ran.extend(play(&mut lenders, &mut dice, callers).ran);
        lenders.domains[second as usize % 6] = DomainCredits::default();
    }
    ran.sort_unstable();
    assert!(most_in_window(&ran) as f64 <= bound(limit), "{} of {}", most_in_window(&ran), bound(limit));
}

#[test]
fn nodes_whose_views_differ_ask_two_givers_of_a_failure_domain_and_the_bound_holds() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    for seed in 0..10 {
        let (mut lenders, mut dice) = (Lenders::new(limit, 6), Dice(seed));
        // Half of the first failure domain's callers come by nodes that take the second giver for the one that deals out.
        lenders.domains.push(DomainCredits::default());
        lenders.is_cut.push(false);
        let mut callers = stream(&mut dice, limit.rate * 8.0, 20, 6);
        for caller in callers.iter_mut().filter(|caller| caller.domain == 0 && caller.number % 2 == 0) {
            caller.domain = 6;
        }
        let ran = play(&mut lenders, &mut dice, callers).ran;
        assert!(most_in_window(&ran) as f64 <= bound(limit), "seed {seed}: {}", most_in_window(&ran));
    }
}

#[test]
fn a_place_that_nobody_comes_for_is_released_and_one_that_is_due_is_taken_once() {
    let (mut book, now, rate) = (ReservationTable::default(), BEGIN, 10.0);
    let caller = |number, usable| Caller { number, usable: Duration::from_millis(usable) }.ask();
    let mut offer = |usable| book.offer(now, Duration::from_millis(40), rate, &caller(usable, usable));
    let offers: Vec<String> = [500, 501, 100, 502].map(&mut offer).iter().map(|offer| format!("{offer:?}")).collect();
    insta::assert_snapshot!(offers.join("\n"));
    let mut take = |millis, number| book.take_due(now.plus(Duration::from_millis(millis)), caller(number, 0).content);
    assert!(!take(39, 500), "too early");
    assert!(!take(300, 7), "a newcomer");
    assert!(take(300, 501), "late");
    assert!(!take(300, 501), "once");
    assert!(take(300, 500), "later still");
    book.release(now.plus(Duration::from_secs(1)));
    assert_eq!(book.count_due(now, Duration::from_secs(60)), 0);
    insta::assert_snapshot!(format!("{:?}", book.take_counts()));
}

/// Requests whose servers refuse for a while give their credit back, and all run at once when the servers are there.
fn most_after_give_backs(domains: usize, limit: UsageLimit) -> usize {
    let mut lenders = Lenders::new(limit, domains);
    let (mut now, mut ran) = (BEGIN, Vec::new());
    for round in 0..600 {
        now = now.plus(Duration::from_millis(50));
        for domain in 0..domains {
            let is_granted =
                lenders.ask(now, domain, Caller { number: 0, usable: Duration::ZERO }).1 == CreditAnswer::Granted;
            match is_granted {
                true if round < 400 => lenders.domains[domain].give_back(&lenders.team),
                true => ran.push(now),
                false => {}
            }
        }
    }
    most_in_window(&ran)
}

#[test]
fn credit_that_was_given_back_is_no_more_than_a_window_bears() {
    let limit = UsageLimit { rate: 4.0, burst: 4.0 };
    for domains in [2, 6, 12, 25, 60] {
        let most = most_after_give_backs(domains, limit);
        assert!(most as f64 <= bound(limit), "{most} of {} with {domains} failure domains", bound(limit));
    }
}

/// Callers that return in turn while givers and the pool start again, failure domains are cut off from the pool, and
/// servers refuse some requests.
fn play_faults(seed: u64, limit: UsageLimit, rate: f64, domains: usize) -> Vec<Moment> {
    let (mut lenders, mut dice) = (Lenders::new(limit, domains), Dice(seed));
    let mut arrivals: BinaryHeap<Reverse<Arrival>> =
        stream(&mut dice, rate, 30, domains).into_iter().map(Reverse).collect();
    let mut ran = Vec::new();
    let mut next_fault = BEGIN;
    while let Some(Reverse(arrival)) = arrivals.pop() {
        if arrival.at >= next_fault {
            next_fault = arrival.at.plus(Duration::from_millis(500 + dice.below(2_000) as u64));
            let domain = dice.below(domains);
            match dice.below(3) {
                0 => lenders.domains[domain] = DomainCredits::default(),
                1 => lenders.is_cut[domain] = !lenders.is_cut[domain],
                _ => (lenders.pool, lenders.pool_started) = (CreditPools::default(), arrival.at),
            }
        }
        let (answered, answer) = lenders.ask(arrival.at, arrival.domain, arrival.caller());
        match answer {
            CreditAnswer::Granted if dice.below(10) == 0 => lenders.domains[arrival.domain].give_back(&lenders.team),
            CreditAnswer::Granted => ran.push(arrival.at),
            CreditAnswer::Reservation(ReservationOffer { wait, is_reserved: true }) => {
                let at = answered.plus(wait).plus(RETURN_WAY);
                arrivals.push(Reverse(Arrival { at, ..arrival }));
            }
            _ => {}
        }
    }
    ran
}

quickcheck! {
    /// However hard a team sends, whatever starts again or is cut off, and in however many failure domains.
    fn no_window_sees_more_than_the_bound(seed: u64, rate: u8, burst: u8, times: u8, domains: u8) -> bool {
        let limit = UsageLimit { rate: f64::from(rate % 60) / 2.0 + 0.5, burst: f64::from(burst % 40) };
        let domains = usize::from(domains % 12) + 1;
        let ran = play_faults(seed, limit, limit.rate * (1.0 + f64::from(times % 12)), domains);
        most_in_window(&ran) as f64 <= bound(limit)
    }

    /// A place is never earlier than the one before, and a caller is never asked back before its place.
    fn callers_return_at_their_places_or_a_little_later(waits: Vec<u16>, rate: u8, dice: u8) -> bool {
        let mut book = ReservationTable::default();
        let mut last = Duration::ZERO;
        waits.into_iter().all(|wait| {
            let caller = Caller { number: 0, usable: Duration::from_millis(u64::from(wait)) };
            let offer = book.offer(BEGIN, Duration::from_millis(30), f64::from(rate) + 0.1, &caller.ask());
            let told = choose_retry_after(RefusalReason::Reserved { wait: offer.wait }, f64::from(dice) / 255.0);
            let is_in_order = offer.wait >= last;
            last = if offer.is_reserved { offer.wait } else { last };
            is_in_order && told >= offer.wait && told <= offer.wait + Duration::from_millis(1)
        })
    }
}
