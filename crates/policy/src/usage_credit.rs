//! A rate limit per team over all nodes: distributed token buckets whose tokens are credit to run requests.
//!
//! The load pattern: a team sends many times its usual rate from callers in every failure domain, while most teams send
//! less than one request per second, and nodes and links fail meanwhile. Requests beyond the limit harm other teams;
//! requests refused below it are lost to their callers.
//!
//! Half of each team's rate is divided among the failure domains; in each of them one node grants it, a network path of
//! a millisecond away. The other half is a pool from which one node of one failure domain grants credit to the others:
//! it goes where the team's callers are and evens out uneven arrivals. Only these nodes grant credit, and each starts
//! with next to nothing, so a node that dies, is partitioned or restarts leaves the team with less than its limit and
//! never with more. No consensus is needed.

use std::collections::HashMap;
use std::time::Duration;

use streamfold_model::{TeamName, UsageLimit};

use crate::domain_credit::{CreditBucket, DomainCredit};
use crate::moment::Moment;
use crate::owner::choose_owners;
use crate::reservation_table::{ReservationCounts, ReservationOffer, ReservationRequest};

/// The part of a rate that is divided among the failure domains. Teams usually send about 0.6 of their rate, so most of
/// that remains when the pool is unreachable, and a reachable pool can nearly double the credit of a failure domain.
const DOMAIN_PART: f64 = 0.5;
/// Maximum credit that a failure domain accumulates. With a cap of one, a quarter of its credit would be lost between
/// its requests.
const DOMAIN_CAP: f64 = 2.0;
/// Maximum share of the allowance that all failure domains together accumulate; with so many failure domains that they
/// would exceed it, the pool grants everything.
const DOMAIN_CAP_SHARE: f64 = 0.6;
/// Maximum share of the allowance that the pool accumulates. The rest is for a pool that restarts.
const POOL_CAP_SHARE: f64 = 0.25;
/// A node that grants credit in place of another one starts again without credit if it received no request for this
/// time, which is about the restart time of a process.
const FAILOVER_RESET_GAP: Duration = Duration::from_millis(500);

/// The requests that a team may send beyond its rate and burst, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageAllowance {
    /// Additional requests in any window.
    pub requests: f64,
    /// The length of the window.
    pub window: Duration,
    /// The number of failure domains among which credit is divided.
    pub domains: usize,
}

/// The failure domains of a deployment, as one node knows them.
#[derive(Debug, Clone, Copy)]
pub struct CreditDomains<'a> {
    /// Failure domains in which it knows nodes that grant credit.
    pub known: &'a [&'a str],
    /// The number of failure domains in the settings.
    pub configured: usize,
    /// Whether it has received the full list of nodes since its start. Without it a node may take its own failure
    /// domain for the only one, and after a start of all nodes each of them would grant all of a team's credit.
    pub has_full_listing: bool,
}

impl CreditDomains<'_> {
    /// The number of failure domains among which credit is divided.
    pub fn count(&self) -> usize {
        self.known.len().max(self.configured)
    }

    /// The failure domain with the pool of a team; `None` before the full list of nodes is known.
    pub fn find_pool(&self, team: &TeamName) -> Option<&str> {
        let pool_domain = choose_owners(self.known.iter().copied(), team.as_str(), 1);
        pool_domain.first().copied().filter(|_| self.has_full_listing)
    }
}

impl UsageAllowance {
    /// The requests per second that a team may send, including its burst once per window.
    fn rate(self, limit: UsageLimit) -> f64 {
        limit.rate + limit.burst / self.window.as_secs_f64().max(1.0)
    }

    /// The part of a rate that one failure domain grants by itself.
    fn domain_part(self) -> f64 {
        let domains = self.domains.max(1) as f64;
        let fits_allowance = domains * DOMAIN_CAP <= self.requests * DOMAIN_CAP_SHARE;
        if fits_allowance { DOMAIN_PART / domains } else { 0.0 }
    }

    /// Maximum credit that one failure domain accumulates. Without a part of the rate it is zero: many failure domains
    /// together would exceed the limit of a window.
    fn domain_cap(self) -> f64 {
        if self.domain_part() > 0.0 { DOMAIN_CAP } else { 0.0 }
    }

    /// The part of a rate that the pool grants.
    fn pool_part(self) -> f64 {
        1.0 - self.domain_part() * self.domains.max(1) as f64
    }
}

/// The answer to a request for credit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CreditAnswer {
    /// The request may run.
    Granted,
    /// The pool is to be asked for credit for this many requests, and then this node again.
    AskPool(u32),
    /// There is no credit; there may be some after this time.
    Refused(Duration),
    /// There is no credit; a caller that can wait that long retries at its reserved time.
    Reservation(ReservationOffer),
}

/// A grant from the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolGrant {
    /// The number of requests that may run.
    pub requests: u32,
    /// Time until the pool has more credit.
    pub wait: Duration,
}

/// The credit of all teams that one node grants in its failure domain.
#[derive(Debug, Default)]
pub struct DomainCredits {
    teams: HashMap<TeamName, DomainCredit>,
    /// When teams that are new on this node start to earn credit.
    since: Moment,
}

impl DomainCredits {
    /// Records that the nodes that grant credit changed. Teams for which `keeps` holds (this node granted their credit
    /// and still does) keep their credit. All others start without, since another node may have granted what they may
    /// use in a window.
    pub fn change_granters(&mut self, now: Moment, keeps: impl Fn(&TeamName) -> bool) {
        self.since = now;
        self.teams.retain(|team, _| keeps(team));
    }

    /// Records a request to this node in place of the team's granter, which may be reachable again at any time. The
    /// team has only the credit that it earns while requests keep arriving here, and none is carried over from one
    /// failover to the next.
    pub fn note_failover(&mut self, now: Moment, team: &TeamName) {
        if self.teams.get(team).is_none_or(|credit| credit.is_idle(now, FAILOVER_RESET_GAP)) {
            self.teams.insert(team.clone(), DomainCredit::new(now, now, 0.0));
        }
    }

    /// Takes credit for one request of a team; `is_pool_asked` tells whether the pool was already asked. `now` is
    /// relative to the start of the node.
    pub fn take(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        is_pool_asked: bool,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.refill(now, team, rate, allowance);
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

    /// Takes credit for one request of a team whose refused callers get reservations.
    pub fn take_reserved(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        request: &ReservationRequest,
    ) -> CreditAnswer {
        let rate = allowance.rate(limit) * allowance.domain_part();
        let credit = self.refill(now, team, rate, allowance);
        credit.release_reservations(now);
        if !request.is_pool_asked {
            credit.note_demand(now);
        }
        if credit.take_reserved(now, request.content) {
            return CreditAnswer::Granted;
        }
        if !request.is_pool_asked && credit.may_ask_pool(now) {
            return CreditAnswer::AskPool(credit.wanted(now));
        }
        CreditAnswer::Reservation(credit.offer_reservation(now, rate, request))
    }

    /// The counts of a team's reservation outcomes since the last call of this function.
    pub fn take_reservation_counts(&mut self, team: &TeamName) -> ReservationCounts {
        self.teams.get_mut(team).map(DomainCredit::take_reservation_counts).unwrap_or_default()
    }

    /// A team's credit, refilled up to now.
    fn refill(&mut self, now: Moment, team: &TeamName, rate: f64, allowance: UsageAllowance) -> &mut DomainCredit {
        let since = self.since;
        let credit = self.teams.entry(team.clone()).or_insert_with(|| DomainCredit::new(now, since, rate));
        credit.refill(now, rate, allowance.domain_cap());
        credit
    }

    /// Records the pool's grant; `None` if the pool could not be asked.
    pub fn note_grant(&mut self, now: Moment, team: &TeamName, grant: Option<PoolGrant>) {
        let Some(credit) = self.teams.get_mut(team) else { return };
        credit.note_grant(now, grant);
    }

    /// Takes back the credit of a request that reached no server.
    pub fn give_back(&mut self, team: &TeamName) {
        if let Some(credit) = self.teams.get_mut(team) {
            credit.take_back();
        }
    }
}

/// The pools from which one node grants credit to failure domains.
#[derive(Debug, Default)]
pub struct CreditPools {
    teams: HashMap<TeamName, CreditBucket>,
    /// When teams that are new on this node start to earn credit.
    since: Moment,
}

impl CreditPools {
    /// Records that the nodes that grant credit changed, like [`DomainCredits::change_granters`].
    pub fn change_granters(&mut self, now: Moment, keeps: impl Fn(&TeamName) -> bool) {
        self.since = now;
        self.teams.retain(|team, _| keeps(team));
    }

    /// Records a request to this node in place of the one with the pool, like [`DomainCredits::note_failover`].
    pub fn note_failover(&mut self, now: Moment, team: &TeamName) {
        if self.teams.get(team).is_none_or(|bucket| bucket.is_idle(now, FAILOVER_RESET_GAP)) {
            self.teams.insert(team.clone(), CreditBucket::new(now, 0.0));
        }
    }

    /// Grants credit for at most `wanted` requests of a team. `now` is relative to the start of the node.
    pub fn grant(
        &mut self,
        now: Moment,
        team: &TeamName,
        limit: UsageLimit,
        allowance: UsageAllowance,
        wanted: u32,
    ) -> PoolGrant {
        let rate = allowance.rate(limit) * allowance.pool_part();
        let cap = (allowance.requests * POOL_CAP_SHARE).max(1.0);
        // Grants made before this node's start, or by another node before the granters changed, count against the limit
        // for one window, so the initial credit grows over that time.
        let elapsed = now.since(self.since).as_secs_f64() / allowance.window.as_secs_f64().max(1.0);
        let make = || CreditBucket::new(now, cap * elapsed.min(1.0));
        let bucket = self.teams.entry(team.clone()).or_insert_with(make);
        bucket.refill(now, rate, cap);
        let requests = bucket.take_some(wanted);
        PoolGrant { requests, wait: bucket.wait(rate) }
    }
}
