//! A team's credit in one failure domain, on the node that grants it.
//!
//! The load pattern: many callers of a team arrive in one failure domain and few in another, and this alternates.
//! Credit that the failure domain earns itself does not expire; credit from the team's pool expires soon, so that the
//! next failure domain can have it.

use std::time::Duration;

use streamfold_model::ContentId;

use crate::moment::Moment;
use crate::reservation_table::{ReservationCounts, ReservationOffer, ReservationRequest, ReservationTable};
use crate::usage_credit::PoolGrant;

/// How long credit from the pool may be used. The pool earns as much again meanwhile, so unused grants add to the
/// requests that a window may see.
const GRANT_LIFE: Duration = Duration::from_millis(500);
/// Time constant with which the measured demand of a failure domain decays: a few requests of a team that sends some
/// per second.
const DEMAND_DECAY: Duration = Duration::from_secs(1);
/// Time constant with which the measured grants of the pool decay: the time of some reservations of a team that sends
/// some requests per second.
const GRANT_DECAY: Duration = Duration::from_secs(5);
/// The share of the pool's recent grant rate that reservations may count on: other failure domains use the pool too.
const RESERVABLE_SHARE: f64 = 0.7;
/// Minimum wait of the first reservation: the network path of the refusal to its caller.
const MIN_RESERVATION_WAIT: Duration = Duration::from_millis(5);
/// Minimum recent grants, decayed by [`GRANT_DECAY`], from which the pool's rate is known.
const MIN_RECENT_GRANTS: f64 = 0.5;
/// Maximum time until a pool without credit is asked again: other failure domains may have returned some.
const MAX_POOL_WAIT: Duration = Duration::from_millis(500);

/// A token bucket whose rate and capacity are passed in on each refill.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CreditBucket {
    credit: f64,
    last_refill: Moment,
}

impl CreditBucket {
    /// Creates a bucket with this credit as of now.
    pub(crate) fn new(now: Moment, credit: f64) -> Self {
        Self { credit, last_refill: now }
    }

    /// Adds the credit earned since the last refill, up to `cap`.
    pub(crate) fn refill(&mut self, now: Moment, rate: f64, cap: f64) {
        let earned = now.since(self.last_refill).as_secs_f64() * rate;
        self.credit = (self.credit + earned).min(cap);
        self.last_refill = self.last_refill.max(now);
    }

    /// Whether the bucket was not refilled, that is not requested from, for this time.
    pub(crate) fn is_idle(&self, now: Moment, gap: Duration) -> bool {
        now.since(self.last_refill) >= gap
    }

    /// Takes credit for one request; false if there is none.
    fn take(&mut self) -> bool {
        let is_available = self.credit >= 1.0;
        if is_available {
            self.credit -= 1.0;
        }
        is_available
    }

    /// Takes credit for as many of the wanted requests as there is, and returns their number.
    pub(crate) fn take_some(&mut self, wanted: u32) -> u32 {
        let requests = (self.credit as u32).min(wanted);
        self.credit -= f64::from(requests);
        requests
    }

    /// Time until there is credit for one request.
    pub(crate) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.credit).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_POOL_WAIT)
    }
}

/// A team's credit in one failure domain.
#[derive(Debug, Clone)]
pub(crate) struct DomainCredit {
    own: CreditBucket,
    /// Capacity of `own`.
    own_cap: f64,
    /// Unused credit from the pool, and when it expires.
    pool_credit: u32,
    pool_credit_until: Moment,
    /// When the pool may be asked again.
    next_pool_request: Moment,
    /// Recent requests per second, as of `last_request`.
    demand: f64,
    last_request: Moment,
    /// Recent grants of the pool in requests per second, as of `last_grant`.
    grant_rate: f64,
    last_grant: Moment,
    /// When the pool reported that it has credit again.
    pool_ready_at: Option<Moment>,
    reservations: ReservationTable,
}

impl DomainCredit {
    /// Creates a team's credit, earned since this node became its granter; at most one, since another node may have
    /// granted credit until now.
    pub(crate) fn new(now: Moment, since: Moment, rate: f64) -> Self {
        let earned = now.since(since).as_secs_f64() * rate;
        Self {
            own: CreditBucket::new(now, earned.min(1.0)),
            own_cap: 0.0,
            pool_credit: 0,
            pool_credit_until: now,
            next_pool_request: now,
            demand: 0.0,
            last_request: now,
            grant_rate: 0.0,
            last_grant: now,
            pool_ready_at: None,
            reservations: ReservationTable::default(),
        }
    }

    /// Whether no request arrived for this time.
    pub(crate) fn is_idle(&self, now: Moment, gap: Duration) -> bool {
        self.own.is_idle(now, gap)
    }

    /// Records one request in the measured demand.
    pub(crate) fn note_demand(&mut self, now: Moment) {
        let time_constant = DEMAND_DECAY.as_secs_f64();
        let remaining = (-now.since(self.last_request).as_secs_f64() / time_constant).exp();
        self.demand = self.demand * remaining + 1.0 / time_constant;
        self.last_request = now;
    }

    /// Adds the credit that the failure domain earned since the last refill, up to `cap`.
    pub(crate) fn refill(&mut self, now: Moment, rate: f64, cap: f64) {
        self.own_cap = cap;
        self.own.refill(now, rate, cap);
    }

    /// Takes credit for one request; false if there is none.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        self.take_pool_credit(now) || self.own.take()
    }

    /// Whether the pool may be asked now.
    pub(crate) fn may_ask_pool(&self, now: Moment) -> bool {
        now >= self.next_pool_request
    }

    /// Time until there may be credit for one request.
    pub(crate) fn wait(&self, now: Moment, rate: f64) -> Duration {
        let pool_wait = self.next_pool_request.since(now);
        self.own.wait(rate).min(pool_wait.max(Duration::from_millis(1)))
    }

    /// Records the pool's grant; `None` if the pool could not be asked.
    pub(crate) fn note_grant(&mut self, now: Moment, grant: Option<PoolGrant>) {
        self.pool_ready_at = grant.map(|grant| now.plus(grant.wait));
        let grant = grant.unwrap_or(PoolGrant { requests: 0, wait: MAX_POOL_WAIT });
        if grant.requests > 0 {
            self.note_grant_rate(now, grant.requests);
            self.drop_expired_grant(now);
            self.pool_credit = self.pool_credit.saturating_add(grant.requests);
            self.pool_credit_until = now.plus(GRANT_LIFE);
        } else {
            self.next_pool_request = now.plus(grant.wait.min(MAX_POOL_WAIT));
        }
    }

    /// Drops the reservations that expired unused.
    pub(crate) fn release_reservations(&mut self, now: Moment) {
        self.reservations.release_expired(now);
    }

    /// The counts of reservation outcomes since the last call of this function.
    pub(crate) fn take_reservation_counts(&mut self) -> ReservationCounts {
        self.reservations.take_counts()
    }

    /// Drops pool credit that has expired.
    fn drop_expired_grant(&mut self, now: Moment) {
        if now >= self.pool_credit_until {
            self.pool_credit = 0;
        }
    }

    /// Takes pool credit for one request; false if there is none.
    fn take_pool_credit(&mut self, now: Moment) -> bool {
        self.drop_expired_grant(now);
        let is_available = self.pool_credit > 0;
        self.pool_credit = self.pool_credit.saturating_sub(1);
        is_available
    }

    /// Takes back the credit of one request: into the failure domain's own bucket if that may accumulate credit,
    /// otherwise into the pool credit, with which it expires.
    pub(crate) fn take_back(&mut self) {
        if self.own_cap > 0.0 {
            self.own.credit = (self.own.credit + 1.0).min(self.own_cap);
        } else {
            self.pool_credit = self.pool_credit.saturating_add(1);
        }
    }

    /// The number of requests that have credit now.
    fn available(&self) -> usize {
        self.own.credit as usize + self.pool_credit as usize
    }

    /// Takes credit for a caller with a due reservation, or credit beyond the reserved amount. Reservations that fall
    /// due within the life of pool credit count as reserved.
    pub(crate) fn take_reserved(&mut self, now: Moment, content: ContentId) -> bool {
        self.drop_expired_grant(now);
        let (available, reserved) = (self.available(), self.reservations.count_due(now, GRANT_LIFE));
        let has_unreserved = available > reserved;
        let is_granted = available > 0 && (self.reservations.take_due(now, content) || has_unreserved);
        is_granted && self.take(now)
    }

    /// The number of requests to ask the pool for: those that reservations are about to need, or the expected demand.
    pub(crate) fn wanted(&self, now: Moment) -> u32 {
        let reserved = self.reservations.count_due(now, GRANT_LIFE);
        let expected_demand =
            if reserved > 0 { reserved + 1 - self.available().min(reserved) } else { self.expected_demand() };
        u32::try_from(expected_demand).unwrap_or(u32::MAX).max(1)
    }

    /// The number of requests expected within the life of pool credit.
    fn expected_demand(&self) -> usize {
        (self.demand * GRANT_LIFE.as_secs_f64()) as usize
    }

    /// The pool's recent grant rate, in requests per second.
    fn pool_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.last_grant).as_secs_f64() / GRANT_DECAY.as_secs_f64();
        self.grant_rate * (-age).exp()
    }

    /// Adds a grant to the pool's grant rate.
    fn note_grant_rate(&mut self, now: Moment, requests: u32) {
        self.grant_rate = self.pool_rate(now) + f64::from(requests) / GRANT_DECAY.as_secs_f64();
        self.last_grant = now;
    }

    /// Offers the next reservation to a refused caller. `own_rate` is the credit that the failure domain earns per
    /// second.
    pub(crate) fn offer_reservation(
        &mut self,
        now: Moment,
        own_rate: f64,
        request: &ReservationRequest,
    ) -> ReservationOffer {
        // A due reservation of this caller could not be served; the caller gets another one.
        self.reservations.miss_due(now, request.content);
        let pool_rate = self.pool_rate(now);
        let rate = own_rate + pool_rate * RESERVABLE_SHARE;
        let missing = (1.0 - self.own.credit).max(0.0);
        let own_first = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        // The time reported by the pool is for all failure domains; it is used if no other one seems to use the pool.
        let is_rarely_used = pool_rate * GRANT_DECAY.as_secs_f64() < MIN_RECENT_GRANTS;
        let pool_first = self.pool_ready_at.filter(|_| is_rarely_used).map(|at| at.since(now));
        let first = pool_first.map_or(own_first, |pool| pool.min(own_first));
        self.reservations.offer(now, first.max(MIN_RESERVATION_WAIT), rate, request)
    }
}
