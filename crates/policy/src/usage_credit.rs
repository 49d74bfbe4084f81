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

use crate::domain_credit::{CreditBucket, DomainCredit};
use crate::moment::Moment;
use crate::owner::choose_owners;
use crate::reservation_table::{ReservationCounts, ReservationOffer, ReservationRequest};

/// The part of a rate that is divided among the failure domains. Teams send some 0.6 of their rate on usual days, so
/// a pool that is away leaves most of that, and a pool that is there can nearly double what a failure domain has.
const DIVIDED_PART: f64 = 0.5;
/// Credit that a failure domain may save: with one, a quarter of what it has would be lost between its requests.
const DOMAIN_MOST: f64 = 2.0;
/// The share of the allowance that failure domains may save; with more of them than that the pool lends everything.
const SAVED_SHARE: f64 = 0.6;
/// The share of the allowance that the pool may save. The rest is for one that starts again.
const POOL_SHARE: f64 = 0.25;
/// A node that stood in for another one and was not asked for so long does so anew: about what a process takes to
/// start again.
const STAND_IN_GAP: Duration = Duration::from_millis(500);

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
    pub configured: usize,
    /// Whether it has heard of all nodes since its start. One that has not may take its own failure domain for the
    /// only one, and after a start of all nodes each of them would give all of a team's credit.
    pub has_full_listing: bool,
}

impl CreditDomains<'_> {
    /// Among how many credit is divided.
    pub fn count(&self) -> usize {
        self.known.len().max(self.configured)
    }

    /// The one that has the pool of a team, if that can be told.
    pub fn find_pool(&self, team: &TeamName) -> Option<&str> {
        let chosen = choose_owners(self.known.iter().copied(), team.as_str(), 1);
        chosen.first().copied().filter(|_| self.has_full_listing)
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
    Reservation(ReservationOffer),
}

/// What the pool gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolGrant {
    /// Requests that may run.
    pub requests: u32,
    /// How long until there is more.
    pub wait: Duration,
}

/// Credit that one node deals out in its failure domain.
#[derive(Debug, Default)]
pub struct DomainCredits {
    teams: HashMap<TeamName, DomainCredit>,
    /// Credit of teams that are new here counts from then on.
    since: Moment,
}

impl DomainCredits {
    /// The nodes that give credit have changed. Teams that this node gave credit of, and still does, keep what they
    /// have; any other one begins with nothing, since what it may use in a window another node may have given.
    pub fn change_granters(&mut self, now: Moment, keeps: impl Fn(&TeamName) -> bool) {
        self.since = now;
        self.teams.retain(|team, _| keeps(team));
    }

    /// This node is asked in place of the one that gives the team's credit, which may be there again at any time: it
    /// has what it earns while it is asked, and saves nothing from one time to the next.
    pub fn note_failover(&mut self, now: Moment, team: &TeamName) {
        if self.teams.get(team).is_none_or(|credit| credit.is_idle(now, STAND_IN_GAP)) {
            self.teams.insert(team.clone(), DomainCredit::new(now, now, 0.0));
        }
    }

    /// Asks for one request of a team; `is_pool_asked` tells that the pool was asked already. Moments count from the start
    /// of the node.
    pub fn take(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        is_pool_asked: bool,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.fill(now, team, rate, allowance);
        if !is_pool_asked {
            credit.note_demand(now);
        }
        if credit.take(now) {
            return CreditAnswer::Granted;
        }
        if !is_pool_asked && credit.may_ask_pool(now) {
            return CreditAnswer::AskPool(credit.wanted(now));
        }
        CreditAnswer::Refused(credit.wait(now, rate))
    }

    /// Asks for one request of a team whose refused callers return in turn.
    pub fn take_reserved(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        ask: &ReservationRequest,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.fill(now, team, rate, allowance);
        credit.release_places(now);
        if !ask.is_pool_asked {
            credit.note_demand(now);
        }
        if credit.take_reserved(now, ask.content) {
            return CreditAnswer::Granted;
        }
        if !ask.is_pool_asked && credit.may_ask_pool(now) {
            return CreditAnswer::AskPool(credit.wanted(now));
        }
        CreditAnswer::Reservation(credit.offer_place(now, rate, ask))
    }

    /// What became of a team's places since this was last called.
    pub fn take_reservation_counts(&mut self, team: &TeamName) -> ReservationCounts {
        self.teams.get_mut(team).map(DomainCredit::take_reservation_counts).unwrap_or_default()
    }

    /// A team's credit, with what it has earned by now.
    fn fill(&mut self, now: Moment, team: &TeamName, rate: f64, allowance: UsageAllowance) -> &mut DomainCredit {
        let since = self.since;
        let credit = self.teams.entry(team.clone()).or_insert_with(|| DomainCredit::new(now, since, rate));
        credit.fill(now, rate, allowance.domain_most());
        credit
    }

    /// Takes what the pool has lent; `None` where it could not be asked.
    pub fn note_grant(&mut self, now: Moment, team: &TeamName, loan: Option<PoolGrant>) {
        let Some(credit) = self.teams.get_mut(team) else { return };
        credit.note_grant(now, loan);
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
    /// Credit of teams that are new here counts from then on.
    since: Moment,
}

impl CreditPools {
    /// The nodes that give credit have changed; as [`DomainCredits::change_granters`].
    pub fn change_granters(&mut self, now: Moment, keeps: impl Fn(&TeamName) -> bool) {
        self.since = now;
        self.teams.retain(|team, _| keeps(team));
    }

    /// This node is asked in place of the one that lends; as [`DomainCredits::note_failover`].
    pub fn note_failover(&mut self, now: Moment, team: &TeamName) {
        if self.teams.get(team).is_none_or(|bucket| bucket.is_idle(now, STAND_IN_GAP)) {
            self.teams.insert(team.clone(), CreditBucket::new(now, 0.0));
        }
    }

    /// Lends at most so many requests of a team; moments count from the start of the node.
    pub fn grant(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        wanted: u32,
    ) -> PoolGrant {
        let rate = allowance.rate(limit) * allowance.pool_part();
        let most = (allowance.requests * POOL_SHARE).max(1.0);
        // What was lent before this node's start, or by another node before the lenders changed, is past after a window.
        let known = now.since(self.since).as_secs_f64() / allowance.window.as_secs_f64().max(1.0);
        let make = || CreditBucket::new(now, most * known.min(1.0));
        let bucket = self.teams.entry(team.clone()).or_insert_with(make);
        bucket.fill(now, rate, most);
        let requests = bucket.take_some(wanted);
        PoolGrant { requests, wait: bucket.wait(rate) }
    }
}
