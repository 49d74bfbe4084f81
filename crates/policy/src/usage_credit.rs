//! How many requests of a team run, counted over all nodes.
//!
//! The load pattern: a team sends many times its usual, by callers of every failure domain, while most teams send
//! less than one request a second each, and nodes and links fail meanwhile. What runs beyond the limit harms the
//! others; what is refused below it is lost to its callers.
//!
//! Half of each team's rate is divided among the failure domains, where one node deals it out a request's way of a
//! millisecond away. The other half is a pool that one node of one failure domain lends from: it goes where the
//! team's callers are, and evens out that requests do not come evenly. Nobody but these nodes gives credit, and each
//! begins with next to nothing, so a node that dies, is cut off or starts again leaves less than the limit, never
//! more: nothing has to be agreed on.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{TeamName, UsageLimit};

use crate::moment::Moment;
use crate::owner::choose_owners;
use crate::turn_book::{PlaceCounts, PlaceOffer, TurnBook};

/// The part of a rate that is divided among the failure domains. Teams send some 0.6 of their rate on usual days, so
/// a pool that is away leaves most of that, and a pool that is there can nearly double what a failure domain has.
const DIVIDED_PART: f64 = 0.5;
/// Credit that a failure domain may save: with one, a quarter of what it has would be lost between its requests.
const DOMAIN_MOST: f64 = 2.0;
/// The share of the allowance that failure domains may save; with more of them than that the pool lends everything.
const SAVED_SHARE: f64 = 0.6;
/// The share of the allowance that the pool may save. The rest is for one that starts again.
const POOL_SHARE: f64 = 0.25;
/// How long credit that was lent may be used. The pool earns as much again meanwhile, so it adds to what a window
/// may see.
const LENT_FOR: Duration = Duration::from_millis(500);
/// How fast the demand of a failure domain is forgotten: a few requests of a team that sends some a second.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// How fast it is forgotten what the pool has lent: some places' time of a team that sends some requests a second.
const LOAN_MEMORY: Duration = Duration::from_secs(2);
/// The share of what the pool has lent lately that is promised to places: other failure domains ask it too.
const PROMISED_SHARE: f64 = 0.8;
/// The first place is no sooner: a caller's way back.
const SHORTEST_PLACE: Duration = Duration::from_millis(5);
/// Fewer requests than this of the pool within its memory tell no rate.
const FEW_LENT: f64 = 0.5;
/// A pool without credit is asked again after this at the latest: another failure domain may have given some back.
const MAX_POOL_WAIT: Duration = Duration::from_millis(500);

/// What the requests of a team may be beyond its rate and burst, from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageAllowance {
    /// How many more in any window.
    pub requests: f64,
    /// The window in which they are counted.
    pub window: Duration,
    /// The failure domains among which credit is divided.
    pub domains: usize,
}

/// The failure domains of a deployment, as one node knows them.
#[derive(Debug, Clone, Copy)]
pub struct CreditDomains<'a> {
    /// Those of which it knows nodes that give credit.
    pub known: &'a [&'a str],
    /// How many the settings name.
    pub named: usize,
    /// Whether it has heard of all nodes since its start. One that has not may take its own failure domain for the
    /// only one, and after a start of all nodes each of them would give all of a team's credit.
    pub are_all_heard: bool,
}

impl CreditDomains<'_> {
    /// Among how many credit is divided.
    pub fn count(&self) -> usize {
        self.known.len().max(self.named)
    }

    /// The one that has the pool of a team, if that can be told.
    pub fn find_pool(&self, team: &TeamName) -> Option<&str> {
        let chosen = choose_owners(self.known.iter().copied(), team.as_str(), 1);
        chosen.first().copied().filter(|_| self.are_all_heard)
    }
}

impl UsageAllowance {
    /// What a team may send a second, its burst in each window included.
    fn rate(self, limit: UsageLimit) -> f64 {
        limit.rate + limit.burst / self.window.as_secs_f64().max(1.0)
    }

    /// The part of a rate that one failure domain has for itself.
    fn domain_part(self) -> f64 {
        let domains = self.domains.max(1) as f64;
        let has_room = domains * DOMAIN_MOST <= self.requests * SAVED_SHARE;
        if has_room { DIVIDED_PART / domains } else { 0.0 }
    }

    /// What one failure domain may save. One without a part of the rate saves nothing either: of many failure domains
    /// that would be more than a window may see.
    fn domain_most(self) -> f64 {
        if self.domain_part() > 0.0 { DOMAIN_MOST } else { 0.0 }
    }

    /// The part of a rate that the pool has.
    fn pool_part(self) -> f64 {
        1.0 - self.domain_part() * self.domains.max(1) as f64
    }
}

/// Credit that grows by a rate up to a most.
#[derive(Debug, Clone, Copy)]
struct CreditBucket {
    credit: f64,
    filled: Moment,
}

impl CreditBucket {
    fn fill(&mut self, now: Moment, rate: f64, most: f64) {
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.credit = (self.credit + earned).min(most);
        self.filled = self.filled.max(now);
    }

    /// Takes one if it is there.
    fn take(&mut self) -> bool {
        let is_there = self.credit >= 1.0;
        if is_there {
            self.credit -= 1.0;
        }
        is_there
    }

    /// How long until there is one.
    fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.credit).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_POOL_WAIT)
    }
}

/// What becomes of a request for credit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CreditAnswer {
    /// The request may run.
    Granted,
    /// The pool is to be asked for so many, and then again here.
    AskPool(u32),
    /// There is none; so long until there may be some.
    Refused(Duration),
    /// There is none; a caller that can wait comes back at its place.
    Place(PlaceOffer),
}

/// How credit is asked for by a caller that returns at its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnAsk {
    /// How long it can wait to return.
    pub usable: Duration,
    /// When it came; the pool may have been asked since.
    pub came: Moment,
    /// Whether the pool was asked already.
    pub is_last: bool,
}

/// What the pool gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLoan {
    /// Requests that may run.
    pub requests: u32,
    /// How long until there is more.
    pub wait: Duration,
}

/// A team's credit in one failure domain.
#[derive(Debug, Clone)]
struct DomainCredit {
    own: CreditBucket,
    /// What it may save.
    own_most: f64,
    lent: u32,
    lent_until: Moment,
    pool_again: Moment,
    /// Requests a second, lately.
    demand: f64,
    asked: Moment,
    /// Requests a second that the pool has lent, as of when it last did.
    lent_rate: f64,
    loaned: Moment,
    /// When the pool has credit by its own word.
    pool_has: Option<Moment>,
    places: TurnBook,
}

impl DomainCredit {
    /// Credit since the node's start; no more than one, since another node may have dealt it out until now.
    fn new(now: Moment, rate: f64) -> Self {
        let earned = now.since(Moment::default()).as_secs_f64() * rate;
        Self {
            own: CreditBucket { credit: earned.min(1.0), filled: now },
            own_most: 0.0,
            lent: 0,
            lent_until: now,
            pool_again: now,
            demand: 0.0,
            asked: now,
            lent_rate: 0.0,
            loaned: now,
            pool_has: None,
            places: TurnBook::default(),
        }
    }

    fn note_demand(&mut self, now: Moment) {
        let memory = DEMAND_MEMORY.as_secs_f64();
        let kept = (-now.since(self.asked).as_secs_f64() / memory).exp();
        self.demand = self.demand * kept + 1.0 / memory;
        self.asked = now;
    }

    fn drop_lapsed(&mut self, now: Moment) {
        if now >= self.lent_until {
            self.lent = 0;
        }
    }

    fn take_lent(&mut self, now: Moment) -> bool {
        self.drop_lapsed(now);
        let is_there = self.lent > 0;
        self.lent = self.lent.saturating_sub(1);
        is_there
    }

    /// Takes one back: into the failure domain's own where it may save, else into what was lent and ends with that.
    fn take_back(&mut self) {
        if self.own_most > 0.0 {
            self.own.credit = (self.own.credit + 1.0).min(self.own_most);
        } else {
            self.lent += 1;
        }
    }

    /// Requests that could run now.
    fn in_hand(&self) -> usize {
        self.own.credit as usize + self.lent as usize
    }

    /// Takes credit for a caller at its place, or beyond what is kept for places. What falls due while credit that is
    /// lent now would last counts as kept.
    fn take_in_turn(&mut self, now: Moment, came: Moment) -> bool {
        let (in_hand, kept) = (self.in_hand(), self.places.count_due(now, LENT_FOR));
        let is_free = in_hand > kept;
        let is_granted = in_hand > 0 && (self.places.take_due(came) || is_free);
        is_granted && (self.take_lent(now) || self.own.take())
    }

    /// How many to ask the pool for: so many as callers are about to use, or places are about to need.
    fn wanted(&self, now: Moment) -> u32 {
        let kept = self.places.count_due(now, LENT_FOR);
        let soon = if kept > 0 { kept + 1 - self.in_hand().min(kept) } else { self.soon() };
        u32::try_from(soon).unwrap_or(u32::MAX).max(1)
    }

    /// Requests that are about to come.
    fn soon(&self) -> usize {
        (self.demand * LENT_FOR.as_secs_f64()) as usize
    }

    /// Requests a second that the pool lends.
    fn pool_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.loaned).as_secs_f64() / LOAN_MEMORY.as_secs_f64();
        self.lent_rate * (-age).exp()
    }

    fn note_lent(&mut self, now: Moment, requests: u32) {
        self.lent_rate = self.pool_rate(now) + f64::from(requests) / LOAN_MEMORY.as_secs_f64();
        self.loaned = now;
    }

    /// The next place of a caller that is refused.
    fn offer_place(&mut self, now: Moment, own_rate: f64, ask: TurnAsk) -> PlaceOffer {
        // Somebody came for it, and it was in vain.
        self.places.miss_due(ask.came);
        let pool_rate = self.pool_rate(now);
        let rate = own_rate + pool_rate * PROMISED_SHARE;
        let missing = (1.0 - self.own.credit).max(0.0);
        let own_first = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        // The pool's word is for all failure domains; it is taken where no others seem to ask.
        let is_quiet = pool_rate * LOAN_MEMORY.as_secs_f64() < FEW_LENT;
        let pool_first = self.pool_has.filter(|_| is_quiet).map(|at| at.since(now));
        let first = pool_first.map_or(own_first, |pool| pool.min(own_first));
        self.places.offer(now, first.max(SHORTEST_PLACE), rate, ask.usable)
    }
}

/// Credit that one node deals out in its failure domain.
#[derive(Debug, Default)]
pub struct DomainCredits {
    teams: HashMap<TeamName, DomainCredit>,
}

impl DomainCredits {
    /// Asks for one request of a team; `is_last` tells that the pool was asked already. Moments count from the start
    /// of the node.
    pub fn take(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        is_last: bool,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.fill(now, team, rate, allowance);
        if !is_last {
            credit.note_demand(now);
        }
        if credit.take_lent(now) || credit.own.take() {
            return CreditAnswer::Granted;
        }
        if !is_last && now >= credit.pool_again {
            return CreditAnswer::AskPool(credit.wanted(now));
        }
        let pool_wait = credit.pool_again.since(now);
        CreditAnswer::Refused(credit.own.wait(rate).min(pool_wait.max(Duration::from_millis(1))))
    }

    /// Asks for one request of a team whose refused callers return in turn.
    pub fn take_in_turn(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        ask: TurnAsk,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.fill(now, team, rate, allowance);
        credit.drop_lapsed(now);
        credit.places.release(now);
        if !ask.is_last {
            credit.note_demand(now);
        }
        if credit.take_in_turn(now, ask.came) {
            return CreditAnswer::Granted;
        }
        if !ask.is_last && now >= credit.pool_again {
            return CreditAnswer::AskPool(credit.wanted(now));
        }
        CreditAnswer::Place(credit.offer_place(now, rate, ask))
    }

    /// What became of a team's places since this was last called.
    pub fn take_place_counts(&mut self, team: &TeamName) -> PlaceCounts {
        self.teams.get_mut(team).map(|credit| credit.places.take_counts()).unwrap_or_default()
    }

    /// A team's credit, with what it has earned by now.
    fn fill(&mut self, now: Moment, team: &TeamName, rate: f64, allowance: UsageAllowance) -> &mut DomainCredit {
        let credit = self.teams.entry(team.clone()).or_insert_with(|| DomainCredit::new(now, rate));
        credit.own_most = allowance.domain_most();
        credit.own.fill(now, rate, credit.own_most);
        credit
    }

    /// Takes what the pool has lent; `None` where it could not be asked.
    pub fn note_loan(&mut self, now: Moment, team: &TeamName, loan: Option<PoolLoan>) {
        let Some(credit) = self.teams.get_mut(team) else { return };
        credit.pool_has = loan.map(|loan| now.plus(loan.wait));
        let loan = loan.unwrap_or(PoolLoan { requests: 0, wait: MAX_POOL_WAIT });
        if loan.requests > 0 {
            credit.note_lent(now, loan.requests);
            let left = if now < credit.lent_until { credit.lent } else { 0 };
            credit.lent = left + loan.requests;
            credit.lent_until = now.plus(LENT_FOR);
        } else {
            credit.pool_again = now.plus(loan.wait.min(MAX_POOL_WAIT));
        }
    }

    /// Takes back the credit of a request that reached no server.
    pub fn give_back(&mut self, team: &TeamName) {
        if let Some(credit) = self.teams.get_mut(team) {
            credit.take_back();
        }
    }
}

/// Credit that one node lends to failure domains.
#[derive(Debug, Default)]
pub struct CreditPools {
    teams: HashMap<TeamName, CreditBucket>,
}

impl CreditPools {
    /// Lends at most so many requests of a team; moments count from the start of the node.
    pub fn lend(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        wanted: u32,
    ) -> PoolLoan {
        let rate = allowance.rate(limit) * allowance.pool_part();
        let most = (allowance.requests * POOL_SHARE).max(1.0);
        // What was lent before this node's start is past after a window.
        let known = now.since(Moment::default()).as_secs_f64() / allowance.window.as_secs_f64().max(1.0);
        let make = || CreditBucket { credit: most * known.min(1.0), filled: now };
        let bucket = self.teams.entry(team.clone()).or_insert_with(make);
        bucket.fill(now, rate, most);
        let requests = (bucket.credit as u32).min(wanted);
        bucket.credit -= f64::from(requests);
        PoolLoan { requests, wait: bucket.wait(rate) }
    }
}
