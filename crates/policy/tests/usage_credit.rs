//! The bound on a team's requests holds in every window under any failures, and hardly any request is refused below it.

use std::collections::VecDeque;
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::usage_credit::{
    CreditAnswer, CreditDomains, CreditPools, DomainCredits, PoolGrant, UsageAllowance,
};

/// Failure domains in the simulation.
const DOMAINS: usize = 6;
/// The bound on requests in any window: the team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One-way network delay between regions.
const PATH_DELAY: Duration = Duration::from_millis(8);

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

    /// The time until the next event of a Poisson process with this rate.
    fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.next_f64()).ln() / rate)
    }
}

/// The nodes that grant the credit of one team.
struct Granters {
    domains: Vec<DomainCredits>,
    pool: CreditPools,
    pool_started: Moment,
    is_partitioned: [bool; DOMAINS],
    allowance: UsageAllowance,
    limit: UsageLimit,
    team: TeamName,
}

impl Granters {
    fn new(limit: UsageLimit) -> Self {
        Self {
            domains: (0..DOMAINS).map(|_| DomainCredits::default()).collect(),
            pool: CreditPools::default(),
            pool_started: Moment::default(),
            is_partitioned: [false; DOMAINS],
            allowance: UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains: DOMAINS },
            limit,
            team: "blue".parse().expect("a name"),
        }
    }

    /// Whether a request that arrives in a failure domain may run.
    fn request(&mut self, now: Moment, domain: usize) -> bool {
        let (team, limit, allowance) = (&self.team, self.limit, self.allowance);
        let answer = self.domains[domain].take(now, team, limit, allowance, false);
        let CreditAnswer::AskPool(wanted) = answer else { return answer == CreditAnswer::Granted };
        let asked = now.plus(PATH_DELAY);
        let grant = (!self.is_partitioned[domain]).then(|| {
            let own = Moment(asked.0 - self.pool_started.0);
            self.pool.grant(own, team, limit, allowance, wanted)
        });
        let answered_at = asked.plus(PATH_DELAY);
        self.domains[domain].note_grant(answered_at, team, grant);
        self.domains[domain].take(answered_at, team, limit, allowance, true) == CreditAnswer::Granted
    }
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

/// Simulates requests at a rate for a time, with callers that move between failure domains, while granters restart and
/// failure domains are partitioned from the pool. Returns the times of the requests that ran, and how many of the
/// requests within the limit ran and were refused.
fn simulate(seed: u64, limit: UsageLimit, rate: f64, seconds: u64, has_faults: bool) -> (Vec<Moment>, [usize; 2]) {
    let mut rng = TestRng(seed);
    let mut granters = Granters::new(limit);
    // Callers arrive when nodes have run for a while.
    let mut now = Moment(14_000_000);
    let end = now.plus(Duration::from_secs(seconds));
    let (mut ran, mut allowed) = (Vec::new(), [0, 0]);
    let mut sent: VecDeque<Moment> = VecDeque::new();
    let mut next_fault = now.plus(Duration::from_secs(3));
    let mut hot_domain = None;
    while now < end {
        now = now.plus(rng.gap(rate));
        if has_faults && now >= next_fault {
            next_fault = now.plus(Duration::from_millis(700 + rng.below(2_000) as u64));
            let domain = rng.below(DOMAINS);
            match rng.below(4) {
                0 => granters.domains[domain] = DomainCredits::default(),
                1 => granters.is_partitioned[domain] = !granters.is_partitioned[domain],
                2 => hot_domain = (rng.next_f64() < 0.5).then_some(domain),
                _ => {
                    granters.pool = CreditPools::default();
                    granters.pool_started = now;
                }
            }
        }
        let domain = hot_domain.unwrap_or_else(|| rng.below(DOMAINS));
        sent.push_back(now);
        while sent.front().is_some_and(|first| now.since(*first) >= WINDOW) {
            sent.pop_front();
        }
        let is_allowed = sent.len() as f64 <= limit.rate * WINDOW.as_secs_f64() + limit.burst;
        let has_run = granters.request(now, domain);
        if has_run {
            ran.push(now);
        }
        if is_allowed {
            allowed[usize::from(!has_run)] += 1;
        }
    }
    (ran, allowed)
}

quickcheck! {
    /// The bound holds for any rate of requests, restarts and partitions.
    fn no_window_exceeds_the_bound(seed: u64, rate: u8, burst: u8, times: u8) -> bool {
        let limit = UsageLimit { rate: f64::from(rate % 60) / 2.0 + 0.5, burst: f64::from(burst % 40) };
        let (ran, _) = simulate(seed, limit, limit.rate * (1.0 + f64::from(times % 12)), 30, true);
        max_in_window(&ran) as f64 <= bound(limit)
    }
}

#[test]
fn granters_that_all_restart_at_once_stay_within_the_bound() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let mut granters = Granters::new(limit);
    let mut rng = TestRng(7);
    let mut now = Moment(14_000_000);
    let mut ran = Vec::new();
    for second in 0..20 {
        for _ in 0..200 {
            now = now.plus(Duration::from_millis(5));
            if granters.request(now, rng.below(DOMAINS)) {
                ran.push(now);
            }
        }
        if second % 7 == 6 {
            granters = Granters { pool_started: now, ..Granters::new(limit) };
        }
    }
    assert!(max_in_window(&ran) as f64 <= bound(limit), "{} of {}", max_in_window(&ran), bound(limit));
}

#[test]
fn a_node_without_the_full_list_of_nodes_divides_by_the_settings_and_asks_no_pool() {
    let team = "blue".parse().expect("a name");
    let just_started = CreditDomains { known: &["zone-a"], configured: 6, has_full_listing: false };
    assert_eq!((just_started.count(), just_started.find_pool(&team)), (6, None));
    let all = ["zone-a", "zone-b", "zone-c"];
    let pools: Vec<Option<&str>> = [0, 3]
        .map(|named| {
            CreditDomains { known: &all, configured: named, has_full_listing: true }.find_pool(&team).map(|_| "a pool")
        })
        .to_vec();
    assert_eq!(pools, [Some("a pool"); 2]);
}

/// The share of a team's requests within its limit that are refused if it sends this share of its rate, over many
/// seeds.
fn refused_share(limit: UsageLimit, load: f64) -> f64 {
    let simulations = (0..40).map(|seed| simulate(seed, limit, limit.rate * load, 60, false).1);
    let [ran, refused] = simulations.fold([0, 0], |sum, counts| [sum[0] + counts[0], sum[1] + counts[1]]);
    refused as f64 / (ran + refused) as f64
}

#[test]
fn hardly_anything_is_refused_below_the_limit() {
    // Teams usually send 0.63 of their rate; small teams send one request in several seconds.
    for (rate, burst) in [(0.2, 1.0), (1.0, 1.0), (4.0, 4.0), (21.0, 18.0)] {
        let refused = refused_share(UsageLimit { rate, burst }, 0.63);
        assert!(refused < 0.01, "{refused} of the requests of a team with a rate of {rate}");
    }
}

#[test]
fn fixed_shares_per_node_would_refuse_most_requests_of_a_small_team() {
    // The rejected alternative design: each of 89 nodes has a fixed part of the rate, the burst and the allowance.
    let nodes = 89.0;
    let (mut refused, mut sent) = (0, 0);
    for seed in 0..40 {
        let mut rng = TestRng(seed);
        let (mut credits, mut filled) = (vec![0.0_f64; 89], vec![Moment::default(); 89]);
        let mut now = Moment::default();
        while now < Moment(60_000_000) {
            now = now.plus(rng.gap(0.63));
            let node = rng.below(89);
            let most = (1.0 + ALLOWANCE) / nodes + 1.0 / nodes * WINDOW.as_secs_f64();
            credits[node] = (credits[node] + now.since(filled[node]).as_secs_f64() / nodes).min(most.max(1.0));
            filled[node] = now;
            sent += 1;
            match credits[node] >= 1.0 {
                true => credits[node] -= 1.0,
                false => refused += 1,
            }
        }
    }
    assert!(f64::from(refused) > f64::from(sent) * 0.5, "{refused} of {sent}");
}

#[test]
fn grants_of_any_size_add_up() {
    let (mut granters, now) = (DomainCredits::default(), Moment::default());
    let (team, limit) = ("blue".parse().expect("a name"), UsageLimit { rate: 1.0, burst: 1.0 });
    let allowance = UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains: DOMAINS };
    let mut take = |is_pool_asked| granters.take(now, &team, limit, allowance, is_pool_asked);
    assert!(matches!(take(false), CreditAnswer::AskPool(_)));
    let grant = PoolGrant { requests: u32::MAX, wait: Duration::ZERO };
    granters.note_grant(now, &team, Some(grant));
    granters.note_grant(now, &team, Some(grant));
    granters.give_back(&team);
    assert_eq!(granters.take(now, &team, limit, allowance, true), CreditAnswer::Granted);
}
