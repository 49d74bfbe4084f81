//! The bound on a team's requests holds in every window whatever fails, and next to nothing is refused below it.

use std::collections::VecDeque;
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::{TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::usage_credit::{CreditAnswer, CreditDomains, CreditPools, DomainCredits, UsageAllowance};

/// Failure domains of the model.
const DOMAINS: usize = 6;
/// The bound: in any window a team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One way between regions.
const WAY: Duration = Duration::from_millis(8);

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

    /// A span until the next of events that come at a rate.
    fn gap(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.roll()).ln() / rate)
    }
}

/// The nodes that give credit of one team.
struct Lenders {
    domains: Vec<DomainCredits>,
    pool: CreditPools,
    pool_started: Moment,
    is_cut: [bool; DOMAINS],
    allowance: UsageAllowance,
    limit: UsageLimit,
    team: TeamName,
}

impl Lenders {
    fn new(limit: UsageLimit) -> Self {
        Self {
            domains: (0..DOMAINS).map(|_| DomainCredits::default()).collect(),
            pool: CreditPools::default(),
            pool_started: Moment::default(),
            is_cut: [false; DOMAINS],
            allowance: UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains: DOMAINS },
            limit,
            team: "blue".parse().expect("a name"),
        }
    }

    /// Whether a request that comes in a failure domain may run.
    fn ask(&mut self, now: Moment, domain: usize) -> bool {
        let (team, limit, allowance) = (&self.team, self.limit, self.allowance);
        let answer = self.domains[domain].take(now, team, limit, allowance, false);
        let CreditAnswer::AskPool(wanted) = answer else { return answer == CreditAnswer::Granted };
        let asked = now.plus(WAY);
        let loan = (!self.is_cut[domain]).then(|| {
            let own = Moment(asked.0 - self.pool_started.0);
            self.pool.grant(own, team, limit, allowance, wanted)
        });
        let told = asked.plus(WAY);
        self.domains[domain].note_grant(told, team, loan);
        self.domains[domain].take(told, team, limit, allowance, true) == CreditAnswer::Granted
    }
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

/// Requests at a rate for a time, with callers that are now in one and now in another failure domain, while lenders
/// start again and failure domains are cut off from the pool; the moments of those that ran, and how many of those
/// that the limit allows there were and were refused.
fn play(seed: u64, limit: UsageLimit, rate: f64, seconds: u64, has_faults: bool) -> (Vec<Moment>, [usize; 2]) {
    let mut dice = Dice(seed);
    let mut lenders = Lenders::new(limit);
    // Callers come when nodes have run for a while.
    let mut now = Moment(14_000_000);
    let end = now.plus(Duration::from_secs(seconds));
    let (mut ran, mut allowed) = (Vec::new(), [0, 0]);
    let mut sent: VecDeque<Moment> = VecDeque::new();
    let mut next_fault = now.plus(Duration::from_secs(3));
    let mut crowded = None;
    while now < end {
        now = now.plus(dice.gap(rate));
        if has_faults && now >= next_fault {
            next_fault = now.plus(Duration::from_millis(700 + dice.below(2_000) as u64));
            let domain = dice.below(DOMAINS);
            match dice.below(4) {
                0 => lenders.domains[domain] = DomainCredits::default(),
                1 => lenders.is_cut[domain] = !lenders.is_cut[domain],
                2 => crowded = (dice.roll() < 0.5).then_some(domain),
                _ => {
                    lenders.pool = CreditPools::default();
                    lenders.pool_started = now;
                }
            }
        }
        let domain = crowded.unwrap_or_else(|| dice.below(DOMAINS));
        sent.push_back(now);
        while sent.front().is_some_and(|first| now.since(*first) >= WINDOW) {
            sent.pop_front();
        }
        let is_allowed = sent.len() as f64 <= limit.rate * WINDOW.as_secs_f64() + limit.burst;
        let has_run = lenders.ask(now, domain);
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
    /// However hard a team sends and whatever starts again or is cut off.
    fn no_window_sees_more_than_the_bound(seed: u64, rate: u8, burst: u8, times: u8) -> bool {
        let limit = UsageLimit { rate: f64::from(rate % 60) / 2.0 + 0.5, burst: f64::from(burst % 40) };
        let (ran, _) = play(seed, limit, limit.rate * (1.0 + f64::from(times % 12)), 30, true);
        most_in_window(&ran) as f64 <= bound(limit)
    }
}

#[test]
fn all_lenders_that_start_again_at_once_give_no_more_than_the_bound() {
    let limit = UsageLimit { rate: 21.0, burst: 18.0 };
    let mut lenders = Lenders::new(limit);
    let mut dice = Dice(7);
    let mut now = Moment(14_000_000);
    let mut ran = Vec::new();
    for second in 0..20 {
        for _ in 0..200 {
            now = now.plus(Duration::from_millis(5));
            if lenders.ask(now, dice.below(DOMAINS)) {
                ran.push(now);
            }
        }
        if second % 7 == 6 {
            lenders = Lenders { pool_started: now, ..Lenders::new(limit) };
        }
    }
    assert!(most_in_window(&ran) as f64 <= bound(limit), "{} of {}", most_in_window(&ran), bound(limit));
}

#[test]
fn a_node_that_has_not_heard_of_all_others_divides_by_the_settings_and_asks_no_pool() {
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

/// The share of the requests within its limit that are refused where a team sends so much of its rate, over many seeds.
fn refused_share(limit: UsageLimit, load: f64) -> f64 {
    let plays = (0..40).map(|seed| play(seed, limit, limit.rate * load, 60, false).1);
    let [ran, refused] = plays.fold([0, 0], |sum, play| [sum[0] + play[0], sum[1] + play[1]]);
    refused as f64 / (ran + refused) as f64
}

#[test]
fn hardly_anything_is_refused_below_the_limit() {
    // Teams send 0.63 of their rate on usual days; small ones a request in some seconds.
    for (rate, burst) in [(0.2, 1.0), (1.0, 1.0), (4.0, 4.0), (21.0, 18.0)] {
        let refused = refused_share(UsageLimit { rate, burst }, 0.63);
        assert!(refused < 0.01, "{refused} of the requests of a team with a rate of {rate}");
    }
}

#[test]
fn fixed_shares_of_nodes_would_refuse_most_of_a_small_team() {
    // The other way that was weighed: each of 89 nodes has its part of the rate, the burst and the allowance.
    let nodes = 89.0;
    let (mut refused, mut sent) = (0, 0);
    for seed in 0..40 {
        let mut dice = Dice(seed);
        let (mut credits, mut filled) = (vec![0.0_f64; 89], vec![Moment::default(); 89]);
        let mut now = Moment::default();
        while now < Moment(60_000_000) {
            now = now.plus(dice.gap(0.63));
            let node = dice.below(89);
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
