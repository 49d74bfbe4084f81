//! The bound on a team's requests holds while the nodes that grant credit are killed, restart and fail over to each
//! other, with views of the fleet that differ for a short time.

use std::collections::VecDeque;
use std::time::Duration;

use streamfold_model::{TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::owner::choose_owners;
use streamfold_policy::usage_credit::{CreditAnswer, CreditPools, DomainCredits, PoolGrant, UsageAllowance};

const DOMAINS: usize = 6;
/// Nodes of each failure domain that grant credit.
const GRANTERS: usize = 4;
/// Maximum number of nodes of a failure domain that are asked one after the other.
const MAX_ASKED: usize = 2;
/// The bound on requests in any window: the team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One-way network delay between regions.
const PATH_DELAY: Duration = Duration::from_millis(8);
/// Maximum time in seconds from the grant of credit until its request reaches a server.
const MAX_SEND_DELAY: f64 = 0.1;
/// Time until a restarted node knows all others.
const DISCOVERY_TIME: Duration = Duration::from_millis(300);

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

    /// A random time between two numbers of milliseconds.
    fn span(&mut self, least: usize, most: usize) -> Duration {
        Duration::from_millis((least + self.below(most - least)) as u64)
    }
}

/// A node that may grant credit.
struct Granter {
    name: String,
    credits: DomainCredits,
    pools: CreditPools,
    started: Moment,
    down_until: Moment,
    /// Delay with which it learns that other nodes start or stop.
    lag: Duration,
    /// Which nodes it believes to be alive.
    seen: Vec<bool>,
}

impl Granter {
    fn is_up(&self, now: Moment) -> bool {
        now >= self.down_until
    }

    fn own_time(&self, now: Moment) -> Moment {
        Moment(now.0 - self.started.0)
    }
}

struct Fleet {
    granters: Vec<Granter>,
    /// Which nodes were alive, each with the time since when.
    history: VecDeque<(Moment, Vec<bool>)>,
    limit: UsageLimit,
    team: TeamName,
    rng: TestRng,
}

/// The granters of a failure domain that are believed alive, in their order of preference for the team.
fn rank(names: &[String], seen: &[bool], domain: usize, key: &str, count: usize) -> Vec<usize> {
    let here = domain * GRANTERS..(domain + 1) * GRANTERS;
    let alive = here.filter(|number| seen[*number]).map(|number| names[number].as_str());
    let ranked = choose_owners(alive, key, count);
    ranked.iter().filter_map(|name| names.iter().position(|other| other == name)).collect()
}

impl Fleet {
    fn new(seed: u64, limit: UsageLimit) -> Self {
        let mut rng = TestRng(seed);
        let all = vec![true; DOMAINS * GRANTERS];
        let make = |number: usize| Granter {
            name: format!("node-{number}-{seed}"),
            credits: DomainCredits::default(),
            pools: CreditPools::default(),
            started: Moment::default(),
            down_until: Moment::default(),
            lag: rng.span(10, 150),
            seen: all.clone(),
        };
        let granters = (0..DOMAINS * GRANTERS).map(make).collect();
        let history = VecDeque::from([(Moment::default(), all.clone())]);
        Self { granters, history, limit, team: "blue".parse().expect("a name"), rng }
    }

    fn allowance(&self) -> UsageAllowance {
        UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains: DOMAINS }
    }

    fn names(&self) -> Vec<String> {
        self.granters.iter().map(|granter| granter.name.clone()).collect()
    }

    /// Kills a share of the nodes, each for a random time.
    fn kill(&mut self, now: Moment, share: f64) {
        for granter in &mut self.granters {
            if granter.is_up(now) && self.rng.next_f64() < share {
                granter.credits = DomainCredits::default();
                granter.pools = CreditPools::default();
                granter.down_until = now.plus(self.rng.span(300, 3_000));
                granter.started = granter.down_until;
            }
        }
    }

    /// Updates each node's view of the fleet, by its lag.
    fn update_views(&mut self, now: Moment) {
        let alive: Vec<bool> = self.granters.iter().map(|granter| granter.is_up(now)).collect();
        if self.history.back().is_some_and(|(_, last)| *last != alive) {
            self.history.push_back((now, alive));
        }
        let names = self.names();
        for number in 0..self.granters.len() {
            let before = now.minus(self.granters[number].lag);
            let found = self.history.iter().rev().find(|(since, _)| *since <= before);
            let seen = found.map_or_else(|| vec![true; names.len()], |(_, seen)| seen.clone());
            if seen != self.granters[number].seen {
                self.change_view(now, number, &names, &seen);
            }
        }
    }

    fn change_view(&mut self, now: Moment, number: usize, names: &[String], seen: &[bool]) {
        let before = std::mem::replace(&mut self.granters[number].seen, seen.to_vec());
        let is_granter = |seen: &[bool]| self.is_granter(names, seen, number);
        let keeps_credit = is_granter(&before) && is_granter(seen);
        let is_pool = |seen: &[bool]| self.find_pool(names, seen) == Some(number);
        let keeps_pool = is_pool(&before) && is_pool(seen);
        let granter = &mut self.granters[number];
        let own = granter.own_time(now.max(granter.started));
        granter.credits.change_granters(own, |_| keeps_credit);
        granter.pools.change_granters(own, |_| keeps_pool);
    }

    /// Whether a node grants credit in its failure domain if these nodes are alive.
    fn is_granter(&self, names: &[String], seen: &[bool], number: usize) -> bool {
        rank(names, seen, number / GRANTERS, "blue", 1).first() == Some(&number)
    }

    fn find_pool(&self, names: &[String], seen: &[bool]) -> Option<usize> {
        let domains: Vec<String> = (0..DOMAINS).map(|domain| format!("zone-{domain}")).collect();
        let known = (0..DOMAINS).filter(|domain| !rank(names, seen, *domain, "blue", 1).is_empty());
        let pool_domain = choose_owners(known.map(|domain| domains[domain].as_str()), "blue", 1);
        let pool_domain = domains.iter().position(|domain| Some(&domain.as_str()) == pool_domain.first())?;
        rank(names, seen, pool_domain, "blue", 1).first().copied()
    }

    fn grant_from_pool(&mut self, now: Moment, domain_granter: usize, wanted: u32) -> Option<PoolGrant> {
        if now.since(self.granters[domain_granter].started) < DISCOVERY_TIME
            && self.granters[domain_granter].started > Moment::default()
        {
            return None;
        }
        let (names, allowance, limit) = (self.names(), self.allowance(), self.limit);
        let pool = self.find_pool(&names, &self.granters[domain_granter].seen)?;
        let team = self.team.clone();
        let is_pool = self.find_pool(&names, &self.granters[pool].seen) == Some(pool);
        let granter = self.granters.get_mut(pool).filter(|granter| granter.is_up(now))?;
        let own = granter.own_time(now);
        if !is_pool {
            granter.pools.note_failover(own, &team);
        }
        Some(granter.pools.grant(own, &team, limit, allowance, wanted))
    }

    fn take_credit(&mut self, now: Moment, domain_granter: usize) -> bool {
        let (team, limit, allowance) = (self.team.clone(), self.limit, self.allowance());
        let own = self.granters[domain_granter].own_time(now);
        if !self.is_granter(&self.names(), &self.granters[domain_granter].seen, domain_granter) {
            self.granters[domain_granter].credits.note_failover(own, &team);
        }
        let answer = self.granters[domain_granter].credits.take(own, &team, limit, allowance, false);
        let CreditAnswer::AskPool(wanted) = answer else { return answer == CreditAnswer::Granted };
        let grant = self.grant_from_pool(now.plus(PATH_DELAY), domain_granter, wanted);
        let answered_at = own.plus(PATH_DELAY).plus(PATH_DELAY);
        let credits = &mut self.granters[domain_granter].credits;
        credits.note_grant(answered_at, &team, grant);
        credits.take(answered_at, &team, limit, allowance, true) == CreditAnswer::Granted
    }

    /// Whether a request that arrives in a random failure domain may run: a node there asks the granters that it
    /// believes alive.
    fn request(&mut self, now: Moment) -> bool {
        let domain = self.rng.below(DOMAINS);
        let entry_node = domain * GRANTERS + self.rng.below(GRANTERS);
        let seen = self.granters[entry_node].seen.clone();
        let asked = rank(&self.names(), &seen, domain, "blue", MAX_ASKED);
        let domain_granter = asked.into_iter().find(|number| self.granters[*number].is_up(now));
        domain_granter.is_some_and(|domain_granter| self.take_credit(now, domain_granter))
    }
}

/// The maximum number of requests that reach servers in any window.
fn max_in_window(mut ran: Vec<Moment>) -> usize {
    ran.sort_unstable();
    let mut recent: VecDeque<Moment> = VecDeque::new();
    let mut most = 0;
    for at in ran {
        recent.push_back(at);
        while recent.front().is_some_and(|first| at.since(*first) >= WINDOW) {
            recent.pop_front();
        }
        most = most.max(recent.len());
    }
    most
}

/// Simulates several times a team's rate while a share of the nodes is killed repeatedly; returns the maximum number of
/// requests in any window.
fn simulate(seed: u64, limit: UsageLimit, share: f64) -> usize {
    let mut fleet = Fleet::new(seed, limit);
    let (mut now, end) = (Moment(14_000_000), Moment(40_000_000));
    let mut next_kill = now.plus(Duration::from_secs(4));
    let mut ran = Vec::new();
    while now < end {
        let gap = -(1.0 - fleet.rng.next_f64()).ln() / (limit.rate * 4.0 + 20.0);
        now = now.plus(Duration::from_secs_f64(gap));
        if now >= next_kill {
            fleet.kill(now, share);
            next_kill = now.plus(fleet.rng.span(500, 4_000));
        }
        fleet.update_views(now);
        if fleet.request(now) {
            ran.push(now.plus(Duration::from_secs_f64(fleet.rng.next_f64() * MAX_SEND_DELAY)));
        }
    }
    max_in_window(ran)
}

fn bound(limit: UsageLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + EXCESS) + ALLOWANCE
}

/// Checks the bound for many seeds.
fn assert_bound(limit: UsageLimit, seeds: std::ops::Range<u64>) {
    let simulations = seeds.flat_map(|seed| [0.2, 0.6].map(|share| (simulate(seed, limit, share), seed, share)));
    let (most, seed, share) = simulations.max_by_key(|(most, _, _)| *most).expect("some simulations");
    let bound = bound(limit);
    assert!(most as f64 <= bound, "{most} of {bound}, {limit:?}, seed {seed}, {share} killed");
}

#[test]
fn nodes_that_take_over_keep_a_small_team_within_the_bound() {
    assert_bound(UsageLimit { rate: 0.5, burst: 1.0 }, 1_000..1_100);
}

#[test]
fn nodes_that_take_over_keep_a_large_team_within_the_bound() {
    for (rate, burst) in [(4.0, 4.0), (28.0, 28.0)] {
        assert_bound(UsageLimit { rate, burst }, 0..30);
    }
}
