//! Callers of a team that are refused at the same time retry at their reserved times and are served, and the bound on
//! the team's requests holds as it does without reservations.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{ContentId, TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::reservation_table::{ReservationOffer, ReservationRequest, ReservationTable};
use streamfold_policy::retry_after::{RefusalReason, choose_retry_after, usable_wait};
use streamfold_policy::usage_credit::{CreditAnswer, CreditPools, DomainCredits, UsageAllowance};

/// The bound on requests in any window: the team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One-way network delay between regions.
const PATH_DELAY: Duration = Duration::from_millis(8);
/// Network delay of a refusal to its caller and of the retry on a new connection.
const RETRY_DELAY: Duration = Duration::from_millis(4);
/// Maximum additional delay of a retry from the caller's own backoff.
const CALLER_BACKOFF: Duration = Duration::from_millis(250);
/// When the first callers arrive; nodes have run for a while by then.
const START: Moment = Moment(14_000_000);

/// A deterministic random number generator.
struct TestRng(u64);

impl TestRng {
    fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next_f64() * count as f64) as usize % count
    }

    fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.next_f64()).ln() / rate)
    }
}

/// The nodes that grant the credit of one team.
struct Granters {
    domains: Vec<DomainCredits>,
    pool: CreditPools,
    pool_started: Moment,
    is_partitioned: Vec<bool>,
    allowance: UsageAllowance,
    limit: UsageLimit,
    team: TeamName,
}

impl Granters {
    fn new(limit: UsageLimit, domains: usize) -> Self {
        Self {
            domains: (0..domains).map(|_| DomainCredits::default()).collect(),
            pool: CreditPools::default(),
            pool_started: Moment::default(),
            is_partitioned: vec![false; domains],
            allowance: UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains },
            limit,
            team: "blue".parse().expect("a name"),
        }
    }

    /// The answer to a request that arrives in a failure domain, and its time.
    fn request(&mut self, now: Moment, domain: usize, caller: Caller) -> (Moment, CreditAnswer) {
        let (team, limit, allowance) = (&self.team, self.limit, self.allowance);
        let granter = &mut self.domains[domain];
        let request = caller.request();
        let answer = granter.take_reserved(now, team, limit, allowance, &request);
        let CreditAnswer::AskPool(wanted) = answer else { return (now, answer) };
        let asked = now.plus(PATH_DELAY);
        let grant = (!self.is_partitioned[domain]).then(|| {
            let own = Moment(asked.0 - self.pool_started.0);
            self.pool.grant(own, team, limit, allowance, wanted)
        });
        let answered_at = asked.plus(PATH_DELAY);
        granter.note_grant(answered_at, team, grant);
        let answer = granter.take_reserved(
            answered_at,
            team,
            limit,
            allowance,
            &ReservationRequest { is_pool_asked: true, ..request },
        );
        (answered_at, answer)
    }
}

/// A caller as a granter of credit sees it.
#[derive(Debug, Clone, Copy)]
struct Caller {
    number: u64,
    max_wait: Duration,
}

impl Caller {
    fn request(self) -> ReservationRequest {
        ReservationRequest {
            content: ContentId::of(&[&self.number.to_le_bytes()]),
            max_wait: self.max_wait,
            is_pool_asked: false,
        }
    }
}

/// A request on its way to the granter of its failure domain, ordered by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Moment,
    domain: usize,
    number: u64,
    gives_up: Moment,
    /// Whether it is a retry at a reserved time.
    is_retry: bool,
}

impl Arrival {
    /// The number of an arrival is its time: no two arrive at the same moment.
    fn new(at: Moment, domain: usize, max_wait: Duration) -> Self {
        Self { at, domain, number: at.0, gives_up: at.plus(max_wait), is_retry: false }
    }

    fn caller(&self) -> Caller {
        Caller {
            number: self.number,
            max_wait: usable_wait(self.gives_up.since(self.at), self.gives_up.since(self.at)),
        }
    }
}

/// The outcomes of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    ran: Vec<Moment>,
    /// Callers refused at a reserved time.
    refused_at_reservation: usize,
    /// Callers served at a reserved time.
    served_at_reservation: usize,
    /// Callers whose retry time is further away than they can wait.
    too_far: usize,
}

/// Simulates callers that retry at the reserved time if they can wait that long, and not at all otherwise.
fn simulate(granters: &mut Granters, rng: &mut TestRng, callers: impl IntoIterator<Item = Arrival>) -> Outcome {
    let mut arrivals: BinaryHeap<Reverse<Arrival>> = callers.into_iter().map(Reverse).collect();
    let mut outcome = Outcome::default();
    while let Some(Reverse(arrival)) = arrivals.pop() {
        let (answered, answer) = granters.request(arrival.at, arrival.domain, arrival.caller());
        match answer {
            CreditAnswer::Granted => {
                outcome.ran.push(arrival.at);
                outcome.served_at_reservation += usize::from(arrival.is_retry);
            }
            CreditAnswer::Reservation(ReservationOffer { wait, is_reserved }) => {
                outcome.refused_at_reservation += usize::from(arrival.is_retry);
                outcome.too_far += usize::from(!is_reserved);
                let retry_after = choose_retry_after(RefusalReason::Reserved { wait }, rng.next_f64());
                let at = answered.plus(retry_after).plus(RETRY_DELAY).plus(CALLER_BACKOFF.mul_f64(rng.next_f64()));
                if is_reserved {
                    arrivals.push(Reverse(Arrival { at, is_retry: true, ..arrival }));
                }
            }
            other => panic!("{other:?}"),
        }
    }
    outcome
}

/// Callers that arrive at a rate for a time.
fn stream(rng: &mut TestRng, rate: f64, seconds: u64, domains: usize) -> Vec<Arrival> {
    let (mut now, end) = (START, START.plus(Duration::from_secs(seconds)));
    let mut callers = Vec::new();
    while now < end {
        now = now.plus(rng.gap(rate));
        callers.push(Arrival::new(now, rng.below(domains), Duration::from_millis(1_500)));
    }
    callers
}

/// The maximum number of requests in any window.
fn max_in_window(ran: &[Moment]) -> usize {
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
fn callers_refused_together_are_served_at_their_reservations_or_told_the_actual_time() {
    let limit = UsageLimit { rate: 30.0, burst: 10.0 };
    let (mut granters, mut rng) = (Granters::new(limit, 6), TestRng(11));
    let callers = (0..100).map(|caller| {
        let at = START.plus(Duration::from_micros(caller * 500));
        Arrival::new(at, 0, Duration::from_secs(6))
    });
    let outcome = simulate(&mut granters, &mut rng, callers);
    assert_eq!(outcome.refused_at_reservation, 0, "{outcome:?}");
    assert!(outcome.served_at_reservation > 5 && outcome.too_far > 0, "{outcome:?}");
    assert_eq!(outcome.ran.len() + outcome.too_far, 100, "{outcome:?}");
}

#[test]
fn most_retries_are_served_at_their_reservations_beside_newcomers_at_ten_times_the_rate() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let (mut refused_at_reservation, mut served_at_reservation, mut ran) = (0, 0, 0);
    for seed in 0..10 {
        let (mut granters, mut rng) = (Granters::new(limit, 6), TestRng(seed));
        let callers = stream(&mut rng, limit.rate * 10.0, 20, 6);
        let outcome = simulate(&mut granters, &mut rng, callers);
        assert!(max_in_window(&outcome.ran) as f64 <= bound(limit), "seed {seed}");
        refused_at_reservation += outcome.refused_at_reservation;
        served_at_reservation += outcome.served_at_reservation;
        ran += outcome.ran.len();
    }
    // The allowed rate is also used.
    let allowed = (limit.rate + limit.burst / WINDOW.as_secs_f64()) * 20.0 * 10.0;
    assert!(ran as f64 > allowed * 0.9, "{ran} of {allowed}");
    assert!(
        refused_at_reservation * 10 < served_at_reservation,
        "{refused_at_reservation} refused and {served_at_reservation} served at their reservations"
    );
}

#[test]
fn hardly_anything_is_refused_below_the_limit() {
    for (rate, burst) in [(0.2, 1.0), (1.0, 1.0), (4.0, 4.0), (21.0, 18.0)] {
        let limit = UsageLimit { rate, burst };
        let (mut refused, mut sent) = (0, 0);
        for seed in 0..40 {
            let (mut granters, mut rng) = (Granters::new(limit, 6), TestRng(seed));
            let callers = stream(&mut rng, rate * 0.63, 60, 6);
            sent += callers.len();
            let served = simulate(&mut granters, &mut rng, callers.clone()).ran.len();
            refused += callers.len() - served;
        }
        assert!((refused as f64) < sent as f64 * 0.01, "{refused} of {sent} of a team with a rate of {rate}");
    }
}

#[test]
fn a_granter_that_dies_loses_its_reservations_and_its_successor_stays_within_the_bound() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let (mut granters, mut rng) = (Granters::new(limit, 6), TestRng(5));
    let mut ran = Vec::new();
    for second in 0..20 {
        let from = START.plus(Duration::from_secs(second));
        let callers = (0..200).map(|number| {
            let at = from.plus(Duration::from_millis(number * 5));
            Arrival::new(at, number as usize % 6, Duration::from_secs(3))
        });
        ran.extend(simulate(&mut granters, &mut rng, callers).ran);
        granters.domains[second as usize % 6] = DomainCredits::default();
    }
    ran.sort_unstable();
    assert!(max_in_window(&ran) as f64 <= bound(limit), "{} of {}", max_in_window(&ran), bound(limit));
}

#[test]
fn two_granters_in_a_failure_domain_by_different_views_stay_within_the_bound() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    for seed in 0..10 {
        let (mut granters, mut rng) = (Granters::new(limit, 6), TestRng(seed));
        // Half of the first failure domain's callers arrive at nodes that take the second granter for the active one.
        granters.domains.push(DomainCredits::default());
        granters.is_partitioned.push(false);
        let mut callers = stream(&mut rng, limit.rate * 8.0, 20, 6);
        for caller in callers.iter_mut().filter(|caller| caller.domain == 0 && caller.number % 2 == 0) {
            caller.domain = 6;
        }
        let ran = simulate(&mut granters, &mut rng, callers).ran;
        assert!(max_in_window(&ran) as f64 <= bound(limit), "seed {seed}: {}", max_in_window(&ran));
    }
}

#[test]
fn an_unused_reservation_is_released_and_a_due_one_is_taken_once() {
    let (mut table, now, rate) = (ReservationTable::default(), START, 10.0);
    let caller = |number, max_wait| Caller { number, max_wait: Duration::from_millis(max_wait) }.request();
    let mut offer = |max_wait| table.offer(now, Duration::from_millis(40), rate, &caller(max_wait, max_wait));
    let offers: Vec<String> = [500, 501, 100, 502].map(&mut offer).iter().map(|offer| format!("{offer:?}")).collect();
    insta::assert_snapshot!(offers.join("\n"));
    let mut take = |millis, number| table.take_due(now.plus(Duration::from_millis(millis)), caller(number, 0).content);
    assert!(!take(39, 500), "too early");
    assert!(!take(300, 7), "other content");
    assert!(take(300, 501), "late");
    assert!(!take(300, 501), "once");
    assert!(take(300, 500), "an earlier reservation used later");
    table.release_expired(now.plus(Duration::from_secs(1)));
    assert_eq!(table.count_due(now, Duration::from_secs(60)), 0);
    insta::assert_snapshot!(format!("{:?}", table.take_counts()));
}

/// The maximum number of requests in any window if servers refuse requests, whose credit is returned, and then accept
/// all at once.
fn max_after_give_backs(domains: usize, limit: UsageLimit) -> usize {
    let mut granters = Granters::new(limit, domains);
    let (mut now, mut ran) = (START, Vec::new());
    for round in 0..600 {
        now = now.plus(Duration::from_millis(50));
        for domain in 0..domains {
            let is_granted = granters.request(now, domain, Caller { number: 0, max_wait: Duration::ZERO }).1
                == CreditAnswer::Granted;
            match is_granted {
                true if round < 400 => granters.domains[domain].give_back(&granters.team),
                true => ran.push(now),
                false => {}
            }
        }
    }
    max_in_window(&ran)
}

#[test]
fn returned_credit_stays_within_the_bound_of_a_window() {
    let limit = UsageLimit { rate: 4.0, burst: 4.0 };
    for domains in [2, 6, 12, 25, 60] {
        let most = max_after_give_backs(domains, limit);
        assert!(most as f64 <= bound(limit), "{most} of {} with {domains} failure domains", bound(limit));
    }
}

/// Simulates callers that retry at reserved times while granters and the pool restart, failure domains are partitioned
/// from the pool, and servers refuse some requests.
fn simulate_faults(seed: u64, limit: UsageLimit, rate: f64, domains: usize) -> Vec<Moment> {
    let (mut granters, mut rng) = (Granters::new(limit, domains), TestRng(seed));
    let mut arrivals: BinaryHeap<Reverse<Arrival>> =
        stream(&mut rng, rate, 30, domains).into_iter().map(Reverse).collect();
    let mut ran = Vec::new();
    let mut next_fault = START;
    while let Some(Reverse(arrival)) = arrivals.pop() {
        if arrival.at >= next_fault {
            next_fault = arrival.at.plus(Duration::from_millis(500 + rng.below(2_000) as u64));
            let domain = rng.below(domains);
            match rng.below(3) {
                0 => granters.domains[domain] = DomainCredits::default(),
                1 => granters.is_partitioned[domain] = !granters.is_partitioned[domain],
                _ => (granters.pool, granters.pool_started) = (CreditPools::default(), arrival.at),
            }
        }
        let (answered, answer) = granters.request(arrival.at, arrival.domain, arrival.caller());
        match answer {
            CreditAnswer::Granted if rng.below(10) == 0 => granters.domains[arrival.domain].give_back(&granters.team),
            CreditAnswer::Granted => ran.push(arrival.at),
            CreditAnswer::Reservation(ReservationOffer { wait, is_reserved: true }) => {
                let at = answered.plus(wait).plus(RETRY_DELAY);
                arrivals.push(Reverse(Arrival { at, ..arrival }));
            }
            _ => {}
        }
    }
    ran
}

quickcheck! {
    /// The bound holds for any rate of requests, restarts and partitions, and any number of failure domains.
    fn no_window_exceeds_the_bound(seed: u64, rate: u8, burst: u8, times: u8, domains: u8) -> bool {
        let limit = UsageLimit { rate: f64::from(rate % 60) / 2.0 + 0.5, burst: f64::from(burst % 40) };
        let domains = usize::from(domains % 12) + 1;
        let ran = simulate_faults(seed, limit, limit.rate * (1.0 + f64::from(times % 12)), domains);
        max_in_window(&ran) as f64 <= bound(limit)
    }

    /// A reservation is never earlier than the one before, and a caller is never told to retry before its reservation.
    fn callers_retry_at_their_reservations_or_slightly_later(waits: Vec<u16>, rate: u8, jitter: u8) -> bool {
        let mut table = ReservationTable::default();
        let mut last = Duration::ZERO;
        waits.into_iter().all(|wait| {
            let caller = Caller { number: 0, max_wait: Duration::from_millis(u64::from(wait)) };
            let offer = table.offer(START, Duration::from_millis(30), f64::from(rate) + 0.1, &caller.request());
            let retry_after = choose_retry_after(RefusalReason::Reserved { wait: offer.wait }, f64::from(jitter) / 255.0);
            let is_in_order = offer.wait >= last;
            last = if offer.is_reserved { offer.wait } else { last };
            is_in_order && retry_after >= offer.wait && retry_after <= offer.wait + Duration::from_millis(1)
        })
    }
}
