//! The bound on a team's requests holds while the nodes that give credit are killed, come back, and take over from each
//! other, with views that differ for a moment.

use std::collections::VecDeque;
use std::time::Duration;

use streamfold_model::{TeamName, UsageLimit};
use streamfold_policy::Moment;
use streamfold_policy::owner::choose_owners;
use streamfold_policy::usage_credit::{CreditAnswer, CreditPools, DomainCredits, PoolGrant, UsageAllowance};

const DOMAINS: usize = 6;
/// Nodes of each failure domain that give credit.
const LENDERS: usize = 4;
/// Nodes of a failure domain that are asked one after the other.
const MAX_ASKED: usize = 2;
/// The bound: in any window a team's rate and burst, a tenth more, and twenty requests.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const ALLOWANCE: f64 = 20.0;
/// One way between regions.
const WAY: Duration = Duration::from_millis(8);
/// How long after credit was given a request may reach a server.
const SEND_WITHIN: f64 = 0.1;
/// How long until a node that started again has heard of all others.
const HEARD_AFTER: Duration = Duration::from_millis(300);

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

    /// A span between two numbers of milliseconds.
    fn span(&mut self, least: usize, most: usize) -> Duration {
        Duration::from_millis((least + self.below(most - least)) as u64)
    }
}

/// A node that may give credit.
struct Lender {
    name: String,
    credits: DomainCredits,
    pools: CreditPools,
    started: Moment,
    down_until: Moment,
    /// How late it sees that others come and go.
    lag: Duration,
    /// Those it takes for alive.
    seen: Vec<bool>,
}

impl Lender {
    fn is_up(&self, now: Moment) -> bool {
        now >= self.down_until
    }

    fn own_time(&self, now: Moment) -> Moment {
        Moment(now.0 - self.started.0)
    }
}

struct Fleet {
    lenders: Vec<Lender>,
    /// Who was alive since when.
    history: VecDeque<(Moment, Vec<bool>)>,
    limit: UsageLimit,
    team: TeamName,
    dice: Dice,
}

/// The lenders of a failure domain by their turn for the team, of those seen.
fn rank(names: &[String], seen: &[bool], domain: usize, key: &str, count: usize) -> Vec<usize> {
    let here = domain * LENDERS..(domain + 1) * LENDERS;
    let alive = here.filter(|number| seen[*number]).map(|number| names[number].as_str());
    let ranked = choose_owners(alive, key, count);
    ranked.iter().filter_map(|name| names.iter().position(|other| other == name)).collect()
}

impl Fleet {
    fn new(seed: u64, limit: UsageLimit) -> Self {
        let mut dice = Dice(seed);
        let all = vec![true; DOMAINS * LENDERS];
        let make = |number: usize| Lender {
            name: format!("node-{number}-{seed}"),
            credits: DomainCredits::default(),
            pools: CreditPools::default(),
            started: Moment::default(),
            down_until: Moment::default(),
            lag: dice.span(10, 150),
            seen: all.clone(),
        };
        let lenders = (0..DOMAINS * LENDERS).map(make).collect();
        let history = VecDeque::from([(Moment::default(), all.clone())]);
        Self { lenders, history, limit, team: "blue".parse().expect("a name"), dice }
    }

    fn allowance(&self) -> UsageAllowance {
        UsageAllowance { requests: ALLOWANCE, window: WINDOW, domains: DOMAINS }
    }

    fn names(&self) -> Vec<String> {
        self.lenders.iter().map(|lender| lender.name.clone()).collect()
    }

    /// Ends a share of the nodes, each for a while of its own.
    fn kill(&mut self, now: Moment, share: f64) {
        for lender in &mut self.lenders {
            if lender.is_up(now) && self.dice.roll() < share {
                lender.credits = DomainCredits::default();
                lender.pools = CreditPools::default();
                lender.down_until = now.plus(self.dice.span(300, 3_000));
                lender.started = lender.down_until;
            }
        }
    }

    /// Lets each node see what its lag allows.
    fn look(&mut self, now: Moment) {
        let alive: Vec<bool> = self.lenders.iter().map(|lender| lender.is_up(now)).collect();
        if self.history.back().is_some_and(|(_, last)| *last != alive) {
            self.history.push_back((now, alive));
        }
        let names = self.names();
        for number in 0..self.lenders.len() {
            let before = now.minus(self.lenders[number].lag);
            let found = self.history.iter().rev().find(|(since, _)| *since <= before);
            let seen = found.map_or_else(|| vec![true; names.len()], |(_, seen)| seen.clone());
            if seen != self.lenders[number].seen {
                self.change_view(now, number, &names, &seen);
            }
        }
    }

    fn change_view(&mut self, now: Moment, number: usize, names: &[String], seen: &[bool]) {
        let before = std::mem::replace(&mut self.lenders[number].seen, seen.to_vec());
        let deals = |seen: &[bool]| self.deals(names, seen, number);
        let keeps_credit = deals(&before) && deals(seen);
        let lends = |seen: &[bool]| self.find_pool(names, seen) == Some(number);
        let keeps_pool = lends(&before) && lends(seen);
        let lender = &mut self.lenders[number];
        let own = lender.own_time(now.max(lender.started));
        lender.credits.change_granters(own, |_| keeps_credit);
        lender.pools.change_granters(own, |_| keeps_pool);
    }

    /// Whether a node deals out credit in its failure domain where these are alive.
    fn deals(&self, names: &[String], seen: &[bool], number: usize) -> bool {
        rank(names, seen, number / LENDERS, "blue", 1).first() == Some(&number)
    }

    fn find_pool(&self, names: &[String], seen: &[bool]) -> Option<usize> {
        let domains: Vec<String> = (0..DOMAINS).map(|domain| format!("zone-{domain}")).collect();
        let known = (0..DOMAINS).filter(|domain| !rank(names, seen, *domain, "blue", 1).is_empty());
        let home = choose_owners(known.map(|domain| domains[domain].as_str()), "blue", 1);
        let home = domains.iter().position(|domain| Some(&domain.as_str()) == home.first())?;
        rank(names, seen, home, "blue", 1).first().copied()
    }

    fn lend(&mut self, now: Moment, dealer: usize, wanted: u32) -> Option<PoolGrant> {
        if now.since(self.lenders[dealer].started) < HEARD_AFTER && self.lenders[dealer].started > Moment::default() {
            return None;
        }
        let (names, allowance, limit) = (self.names(), self.allowance(), self.limit);
        let pool = self.find_pool(&names, &self.lenders[dealer].seen)?;
        let team = self.team.clone();
        let lends = self.find_pool(&names, &self.lenders[pool].seen) == Some(pool);
        let lender = self.lenders.get_mut(pool).filter(|lender| lender.is_up(now))?;
        let own = lender.own_time(now);
        if !lends {
            lender.pools.note_failover(own, &team);
        }
        Some(lender.pools.grant(own, &team, limit, allowance, wanted))
    }

    fn deal(&mut self, now: Moment, dealer: usize) -> bool {
        let (team, limit, allowance) = (self.team.clone(), self.limit, self.allowance());
        let own = self.lenders[dealer].own_time(now);
        if !self.deals(&self.names(), &self.lenders[dealer].seen, dealer) {
            self.lenders[dealer].credits.note_failover(own, &team);
        }
        let answer = self.lenders[dealer].credits.take(own, &team, limit, allowance, false);
        let CreditAnswer::AskPool(wanted) = answer else { return answer == CreditAnswer::Granted };
        let loan = self.lend(now.plus(WAY), dealer, wanted);
        let told = own.plus(WAY).plus(WAY);
        let credits = &mut self.lenders[dealer].credits;
        credits.note_grant(told, &team, loan);
        credits.take(told, &team, limit, allowance, true) == CreditAnswer::Granted
    }

    /// Whether a request that comes in a failure domain may run: some node there asks those that it sees.
    fn ask(&mut self, now: Moment) -> bool {
        let domain = self.dice.below(DOMAINS);
        let asker = domain * LENDERS + self.dice.below(LENDERS);
        let seen = self.lenders[asker].seen.clone();
        let asked = rank(&self.names(), &seen, domain, "blue", MAX_ASKED);
        let dealer = asked.into_iter().find(|number| self.lenders[*number].is_up(now));
        dealer.is_some_and(|dealer| self.deal(now, dealer))
    }
}

/// The most requests in any window, at servers.
fn most_in_window(mut ran: Vec<Moment>) -> usize {
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

/// The most in any window while a share of the nodes is killed again and again, at several times a team's rate.
fn play(seed: u64, limit: UsageLimit, share: f64) -> usize {
    let mut fleet = Fleet::new(seed, limit);
    let (mut now, end) = (Moment(14_000_000), Moment(40_000_000));
    let mut next_kill = now.plus(Duration::from_secs(4));
    let mut ran = Vec::new();
    while now < end {
        let gap = -(1.0 - fleet.dice.roll()).ln() / (limit.rate * 4.0 + 20.0);
        now = now.plus(Duration::from_secs_f64(gap));
        if now >= next_kill {
            fleet.kill(now, share);
            next_kill = now.plus(fleet.dice.span(500, 4_000));
        }
        fleet.look(now);
        if fleet.ask(now) {
            ran.push(now.plus(Duration::from_secs_f64(fleet.dice.roll() * SEND_WITHIN)));
        }
    }
    most_in_window(ran)
}

fn bound(limit: UsageLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + EXCESS) + ALLOWANCE
}

/// Plays with many seeds.
fn assert_bound(limit: UsageLimit, seeds: std::ops::Range<u64>) {
    let plays = seeds.flat_map(|seed| [0.2, 0.6].map(|share| (play(seed, limit, share), seed, share)));
    let (most, seed, share) = plays.max_by_key(|(most, _, _)| *most).expect("some plays");
    let bound = bound(limit);
    assert!(most as f64 <= bound, "{most} of {bound}, {limit:?}, seed {seed}, {share} killed");
}

#[test]
fn nodes_that_take_over_give_a_small_team_no_more_than_the_bound() {
    assert_bound(UsageLimit { rate: 0.5, burst: 1.0 }, 1_000..1_100);
}

#[test]
fn nodes_that_take_over_give_a_large_team_no_more_than_the_bound() {
    for (rate, burst) in [(4.0, 4.0), (28.0, 28.0)] {
        assert_bound(UsageLimit { rate, burst }, 0..30);
    }
}
