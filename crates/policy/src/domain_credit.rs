//! A team's credit in one failure domain, as the node has it that deals it out.
//!
//! The load pattern: many callers of a team come in one failure domain and few in another, by turns. What the failure
//! domain earns itself lasts; what it has of the team's pool ends soon, so that the next one can have it.

use std::time::Duration;

use streamfold_model::ContentId;

use crate::moment::Moment;
use crate::reservation_table::{ReservationCounts, ReservationOffer, ReservationRequest, ReservationTable};
use crate::usage_credit::PoolGrant;

/// How long credit that was lent may be used. The pool earns as much again meanwhile, so it adds to what a window
/// may see.
const LENT_FOR: Duration = Duration::from_millis(500);
/// How fast the demand of a failure domain is forgotten: a few requests of a team that sends some a second.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);
/// How fast it is forgotten what the pool has lent: some places' time of a team that sends some requests a second.
const LOAN_MEMORY: Duration = Duration::from_secs(5);
/// The share of what the pool has lent lately that is promised to places: other failure domains ask it too.
const PROMISED_SHARE: f64 = 0.7;
/// The first place is no sooner: a caller's way back.
const SHORTEST_PLACE: Duration = Duration::from_millis(5);
/// Fewer requests than this of the pool within its memory tell no rate.
const FEW_LENT: f64 = 0.5;
/// A pool without credit is asked again after this at the latest: another failure domain may have given some back.
const MAX_POOL_WAIT: Duration = Duration::from_millis(500);

/// Credit that grows by a rate up to a most.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CreditBucket {
    credit: f64,
    filled: Moment,
}

impl CreditBucket {
    /// Credit as of now.
    pub(crate) fn new(now: Moment, credit: f64) -> Self {
        Self { credit, filled: now }
    }

    /// Earns what came in since.
    pub(crate) fn fill(&mut self, now: Moment, rate: f64, most: f64) {
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.credit = (self.credit + earned).min(most);
        self.filled = self.filled.max(now);
    }

    /// Whether nobody has asked for so long.
    pub(crate) fn is_idle(&self, now: Moment, gap: Duration) -> bool {
        now.since(self.filled) >= gap
    }

    /// Takes one if it is there.
    fn take(&mut self) -> bool {
        let is_there = self.credit >= 1.0;
        if is_there {
            self.credit -= 1.0;
        }
        is_there
    }

    /// Takes as many as there are of those wanted.
    pub(crate) fn take_some(&mut self, wanted: u32) -> u32 {
        let requests = (self.credit as u32).min(wanted);
        self.credit -= f64::from(requests);
        requests
    }

    /// How long until there is one.
    pub(crate) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.credit).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_POOL_WAIT)
    }
}

/// A team's credit in one failure domain.
#[derive(Debug, Clone)]
pub(crate) struct DomainCredit {
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
    places: ReservationTable,
}

impl DomainCredit {
    /// Credit since this node may have dealt it out; no more than one, since another node may have until now.
    pub(crate) fn new(now: Moment, since: Moment, rate: f64) -> Self {
        let earned = now.since(since).as_secs_f64() * rate;
        Self {
            own: CreditBucket::new(now, earned.min(1.0)),
            own_most: 0.0,
            lent: 0,
            lent_until: now,
            pool_again: now,
            demand: 0.0,
            asked: now,
            lent_rate: 0.0,
            loaned: now,
            pool_has: None,
            places: ReservationTable::default(),
        }
    }

    /// Whether nobody has asked for so long.
    pub(crate) fn is_idle(&self, now: Moment, gap: Duration) -> bool {
        self.own.is_idle(now, gap)
    }

    pub(crate) fn note_demand(&mut self, now: Moment) {
        let memory = DEMAND_MEMORY.as_secs_f64();
        let kept = (-now.since(self.asked).as_secs_f64() / memory).exp();
        self.demand = self.demand * kept + 1.0 / memory;
        self.asked = now;
    }

    /// Earns what came in since, up to what the failure domain may save.
    pub(crate) fn fill(&mut self, now: Moment, rate: f64, most: f64) {
        self.own_most = most;
        self.own.fill(now, rate, most);
    }

    /// Takes one if it is there.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        self.take_lent(now) || self.own.take()
    }

    /// Whether the pool may have credit again.
    pub(crate) fn may_ask_pool(&self, now: Moment) -> bool {
        now >= self.pool_again
    }

    /// How long until there may be one.
    pub(crate) fn wait(&self, now: Moment, rate: f64) -> Duration {
        let pool_wait = self.pool_again.since(now);
        self.own.wait(rate).min(pool_wait.max(Duration::from_millis(1)))
    }

    /// Takes what the pool has lent; `None` where it could not be asked.
    pub(crate) fn note_grant(&mut self, now: Moment, loan: Option<PoolGrant>) {
        self.pool_has = loan.map(|loan| now.plus(loan.wait));
        let loan = loan.unwrap_or(PoolGrant { requests: 0, wait: MAX_POOL_WAIT });
        if loan.requests > 0 {
            self.note_lent(now, loan.requests);
            self.drop_lapsed(now);
            self.lent += loan.requests;
            self.lent_until = now.plus(LENT_FOR);
        } else {
            self.pool_again = now.plus(loan.wait.min(MAX_POOL_WAIT));
        }
    }

    /// Gives up the places that nobody came for.
    pub(crate) fn release_places(&mut self, now: Moment) {
        self.places.release(now);
    }

    /// What became of places since this was last called.
    pub(crate) fn take_reservation_counts(&mut self) -> ReservationCounts {
        self.places.take_counts()
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
    pub(crate) fn take_back(&mut self) {
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
    pub(crate) fn take_reserved(&mut self, now: Moment, content: ContentId) -> bool {
        self.drop_lapsed(now);
        let (in_hand, kept) = (self.in_hand(), self.places.count_due(now, LENT_FOR));
        let is_free = in_hand > kept;
        let is_granted = in_hand > 0 && (self.places.take_due(now, content) || is_free);
        is_granted && self.take(now)
    }

    /// How many to ask the pool for: so many as callers are about to use, or places are about to need.
    pub(crate) fn wanted(&self, now: Moment) -> u32 {
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
    pub(crate) fn offer_place(&mut self, now: Moment, own_rate: f64, ask: &ReservationRequest) -> ReservationOffer {
        // Somebody came for it, and it was in vain.
        self.places.miss_due(now, ask.content);
        let pool_rate = self.pool_rate(now);
        let rate = own_rate + pool_rate * PROMISED_SHARE;
        let missing = (1.0 - self.own.credit).max(0.0);
        let own_first = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        // The pool's word is for all failure domains; it is taken where no others seem to ask.
        let is_quiet = pool_rate * LOAN_MEMORY.as_secs_f64() < FEW_LENT;
        let pool_first = self.pool_has.filter(|_| is_quiet).map(|at| at.since(now));
        let first = pool_first.map_or(own_first, |pool| pool.min(own_first));
        self.places.offer(now, first.max(SHORTEST_PLACE), rate, ask)
    }
}
