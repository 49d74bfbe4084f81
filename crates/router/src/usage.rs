//! Rate limiting per team: asks the granting nodes for credit to run a request, and grants credit to other nodes. The
//! token buckets are in `policy::usage_credit`, the choice of the granting nodes in `granters`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::{Decode, Encode};
use streamfold_link::PeerLink;
use streamfold_model::{ContentId, NodeEntry, NodeId, TeamName, TeamSpec, UsageLimit};
use streamfold_policy::reservation_table::{ReservationCounts, ReservationOffer, ReservationRequest};
use streamfold_policy::retry_after::{RefusalReason, usable_wait};
use streamfold_policy::usage_credit::{CreditAnswer, CreditPools, DomainCredits, PoolGrant, UsageAllowance};
use streamfold_policy::{Mechanism, Moment};

use crate::answer::RefusalKind;
use crate::cluster_view::ClusterView;
use crate::granters::{
    GranterMap, credit_domains, find_pool, is_domain_granter, is_pool, known_domains, rank_granters,
};
use crate::request::CallerRequest;
use crate::router::Router;

/// Path of a credit request, with the version of the message format.
pub const PATH_CREDIT: &str = "/2/credit";
/// Maximum number of links to granting nodes; when it is reached, those without an open connection are dropped.
const MAX_LINKS: usize = 128;
/// Timeout of a call to the granting node in this failure domain: about a millisecond of latency, plus the time until
/// that node gets the CPU.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a call to the pool: the one-way latency between regions is up to 12 ms, and a new connection needs one
/// more round trip.
const POOL_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a node that did not answer is skipped: about the restart time of a process.
const SKIP_TIME: Duration = Duration::from_millis(500);
/// Window of the allowance if the settings have none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of granting nodes of the failure domain that are asked for one request, one after the other.
const MAX_GRANTERS_ASKED: usize = 2;

/// What a credit request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum CreditAction {
    /// Credit for one request, from the granting node of the failure domain.
    Take,
    /// Returns the credit of one request that reached no server.
    GiveBack,
    /// Credit for this many requests, from the pool.
    Lend(u32),
}

/// A request for the credit of a team.
#[derive(Debug, Clone, Encode, Decode)]
pub struct CreditRequest {
    /// The team.
    pub team: TeamName,
    /// What is asked for.
    pub action: CreditAction,
    /// The caller that is refused if there is no credit; `None` if no caller waits for the reply.
    pub caller: Option<RetryingCaller>,
}

/// A caller that may have to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct RetryingCaller {
    /// The content of its request, by which the retry is recognized.
    pub content: ContentId,
    /// The longest time after which it can still retry, in microseconds.
    pub max_wait_us: u64,
}

impl CreditRequest {
    /// Creates a request that no caller waits for.
    fn without_caller(team: TeamName, action: CreditAction) -> Self {
        Self { team, action, caller: None }
    }

    /// The request for a reservation, if a caller waits for the credit.
    fn reservation_request(&self, is_pool_asked: bool) -> Option<ReservationRequest> {
        let caller = self.caller?;
        Some(ReservationRequest {
            content: caller.content,
            max_wait: Duration::from_micros(caller.max_wait_us),
            is_pool_asked,
        })
    }
}

/// When a refused caller is told to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum RetryTime {
    /// When there may be credit; callers of the team have no reservations.
    Anytime,
    /// At the time of its reservation.
    Given,
    /// At the time of the next free reservation, which is later than it can wait.
    TooFar,
}

/// The reply to a credit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CreditReply {
    /// Number of requests that may run.
    pub requests: u32,
    /// Time until there is more credit, in microseconds.
    pub wait_us: u64,
    /// How a refused caller is to use that time.
    pub retry: RetryTime,
}

impl CreditReply {
    fn granted(requests: u32) -> Self {
        Self { requests, wait_us: 0, retry: RetryTime::Anytime }
    }

    fn refused(wait: Duration) -> Self {
        Self { wait_us: wait.as_micros() as u64, ..Self::granted(0) }
    }

    fn from_offer(offer: ReservationOffer) -> Self {
        let retry = if offer.is_reserved { RetryTime::Given } else { RetryTime::TooFar };
        Self { retry, ..Self::refused(offer.wait) }
    }

    /// The reason for refusing the caller, with the time until it may retry.
    fn reason(&self) -> RefusalReason {
        let wait = Duration::from_micros(self.wait_us);
        match self.retry {
            RetryTime::Anytime => RefusalReason::OverLimit { wait },
            RetryTime::Given => RefusalReason::Reserved { wait },
            RetryTime::TooFar => RefusalReason::NoReservation { wait },
        }
    }
}

/// The credit that this node grants, and its links to other granting nodes.
#[derive(Default)]
pub struct UsageLedger {
    domain: Mutex<DomainCredits>,
    pools: Mutex<CreditPools>,
    links: Mutex<HashMap<NodeId, GranterLink>>,
    /// The granting nodes at the last request to this node; `None` before the first one.
    granters: Mutex<Option<GranterMap>>,
}

/// The link to a node that grants credit.
struct GranterLink {
    link: Arc<PeerLink>,
    avoided_until: Moment,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UsageLedger {
    /// The link to a node, unless the node is skipped now.
    fn link(&self, now: Moment, entry: &NodeEntry) -> Option<Arc<PeerLink>> {
        let mut links = lock(&self.links);
        let known = links.get(&entry.node).filter(|known| known.link.address() == entry.peer_address);
        if let Some(known) = known {
            return (known.avoided_until <= now).then(|| known.link.clone());
        }
        if links.len() >= MAX_LINKS {
            links.retain(|_, known| known.link.is_open());
        }
        let link = PeerLink::new(entry.peer_address);
        links.insert(entry.node.clone(), GranterLink { link: link.clone(), avoided_until: now });
        Some(link)
    }

    /// Skips a node until the given time.
    fn avoid(&self, node: &NodeId, until: Moment) {
        if let Some(known) = lock(&self.links).get_mut(node) {
            known.avoided_until = until;
        }
    }
}

/// The requests beyond its limit that a team may send, according to the settings.
fn allowance(router: &Router, view: &ClusterView) -> UsageAllowance {
    let usage = router.settings.usage;
    UsageAllowance {
        requests: usage.map_or(0.0, |usage| usage.allowance),
        window: usage.map_or(DEFAULT_WINDOW, |usage| usage.window.0),
        domains: credit_domains(router, &known_domains(&view.granters)).count(),
    }
}

/// A team according to the routes in force.
fn find_team<'a>(view: &'a ClusterView, team: &TeamName) -> Option<&'a TeamSpec> {
    view.table.as_ref()?.teams()?.find_by_name(team).map(|found| &**found)
}

/// The limit of a team according to the routes in force.
fn find_limit(view: &ClusterView, team: &TeamName) -> Option<UsageLimit> {
    find_team(view, team)?.limit
}

/// Sends a credit request to a node. Returns `None` if the node is skipped or did not answer.
async fn call(router: &Router, entry: &NodeEntry, request: &CreditRequest, timeout: Duration) -> Option<CreditReply> {
    let now = router.clock.now();
    let link = router.usage.link(now, entry)?;
    match link.call::<_, CreditReply>(PATH_CREDIT, request, timeout).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            router.usage.avoid(&entry.node, router.clock.now().plus(SKIP_TIME));
            tracing::info!(
                event = "credit_not_told",
                team = %request.team,
                lender = %entry.node,
                ask = ?request.action,
                %error
            );
            None
        }
    }
}

/// Takes credit for one request of a team. `target` is the target latency of the request.
///
/// # Errors
/// The team is over its limit, or no granting node answered.
pub async fn admit(
    router: &Router,
    view: &ClusterView,
    team: &TeamSpec,
    request: &CallerRequest,
    target: Duration,
) -> Result<(), RefusalKind> {
    let Some(limit) = team.limit else { return Ok(()) };
    let now = router.clock.now();
    let max_wait = usable_wait(request.deadline.since(now), request.started.plus(target).since(now));
    let caller = RetryingCaller { content: request.suspect.content, max_wait_us: max_wait.as_micros() as u64 };
    let credit_request = CreditRequest { team: team.name.clone(), action: CreditAction::Take, caller: Some(caller) };
    let granters = view.granters.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
    for entry in rank_granters(granters, &team.name, MAX_GRANTERS_ASKED) {
        let reply = if entry.node == router.settings.node {
            Some(take_credit(router, view, &credit_request).await)
        } else {
            call(router, entry, &credit_request, DOMAIN_TIMEOUT).await
        };
        match reply {
            Some(reply) if reply.requests > 0 => return Ok(()),
            Some(reply) => {
                metrics::counter!("streamfold_over_limit_total").increment(1);
                tracing::info!(
                    event = "over_limit",
                    request = request.id_text(),
                    team = %team.name,
                    rate = limit.rate,
                    burst = limit.burst,
                    lender = %entry.node,
                    wait_ms = reply.wait_us / 1_000,
                    turn = ?reply.retry,
                    usable_ms = max_wait.as_millis() as u64
                );
                return Err(RefusalKind::over_limit(reply.reason()));
            }
            None => {}
        }
    }
    metrics::counter!("streamfold_credit_unknown_total").increment(1);
    tracing::warn!(event = "credit_unknown", request = request.id_text(), team = %team.name, lenders = granters.len());
    Err(RefusalKind::not_run(RefusalReason::NoServer))
}

/// Returns the credit of a request that reached no server, in a task of its own.
pub fn give_back(router: &Arc<Router>, view: &Arc<ClusterView>, team: &TeamSpec) {
    if team.limit.is_none() {
        return;
    }
    let (router, view, team) = (router.clone(), view.clone(), team.name.clone());
    tokio::spawn(async move {
        let granters = view.granters.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
        let Some(entry) = rank_granters(granters, &team, 1).first().copied() else { return };
        if entry.node == router.settings.node {
            return lock(&router.usage.domain).give_back(&team);
        }
        let request = CreditRequest::without_caller(team, CreditAction::GiveBack);
        // If this fails, the team loses the credit; a failed call is logged.
        call(&router, entry, &request, DOMAIN_TIMEOUT).await;
    });
}

/// Answers the credit request of another node. Returns `None` if this node does not know the team: a restarted node has
/// no routes yet, but other nodes still send it requests as they did before the restart, and without knowing the limit
/// it would grant everything.
pub async fn serve(router: &Router, request: &CreditRequest) -> Option<CreditReply> {
    let view = router.cluster.view();
    if find_team(&view, &request.team).is_none() {
        metrics::counter!("streamfold_limit_unknown_total").increment(1);
        let version = router.cluster.version();
        tracing::info!(event = "limit_unknown", team = %request.team, ask = ?request.action, %version);
        return None;
    }
    let reply = match request.action {
        CreditAction::Take => take_credit(router, &view, request).await,
        CreditAction::GiveBack => {
            lock(&router.usage.domain).give_back(&request.team);
            CreditReply::granted(0)
        }
        CreditAction::Lend(wanted) => grant_from_pool(router, &view, &request.team, wanted),
    };
    Some(reply)
}

/// Drops accumulated credit when the granting nodes have changed in this node's view, except for teams whose credit
/// this node granted before and still grants.
fn update_granters(router: &Router, view: &ClusterView) {
    let mut known = lock(&router.usage.granters);
    if known.as_ref() == Some(&view.granters) {
        return;
    }
    let Some(before) = known.replace(view.granters.clone()) else { return };
    let now = router.clock.now();
    let both = [&before, &view.granters];
    let keeps_domain = |team: &TeamName| both.iter().all(|granters| is_domain_granter(router, granters, team));
    let keeps_pool = |team: &TeamName| both.iter().all(|granters| is_pool(router, granters, team));
    lock(&router.usage.domain).change_granters(now, keeps_domain);
    lock(&router.usage.pools).change_granters(now, keeps_pool);
    let domains = view.granters.len();
    tracing::info!(event = "lenders_changed", domains, lenders = view.granters.values().map(Vec::len).sum::<usize>());
}

/// Whether refused callers of a team get reservations for their retries.
fn has_reservations(router: &Router) -> bool {
    let settings = &router.settings;
    settings.scheduling.by_team && settings.return_turns && router.has(Mechanism::RetryReservations)
}

/// Takes credit for one request of a team that this node grants in its failure domain, from the pool if necessary.
async fn take_credit(router: &Router, view: &ClusterView, request: &CreditRequest) -> CreditReply {
    let team = &request.team;
    // The routes in force on this node set no limit for the team.
    let Some(limit) = find_limit(view, team) else { return CreditReply::granted(1) };
    update_granters(router, view);
    if !is_domain_granter(router, &view.granters, team) {
        lock(&router.usage.domain).note_failover(router.clock.now(), team);
    }
    let allowance = allowance(router, view);
    let take = |is_pool_asked: bool| {
        let (now, mut credits) = (router.clock.now(), lock(&router.usage.domain));
        let Some(reservation) = request.reservation_request(is_pool_asked).filter(|_| has_reservations(router)) else {
            return credits.take(now, team, limit, allowance, is_pool_asked);
        };
        let answer = credits.take_reserved(now, team, limit, allowance, &reservation);
        count_reservations(credits.take_reservation_counts(team));
        answer
    };
    let mut answer = take(false);
    if let CreditAnswer::AskPool(wanted) = answer {
        let grant = ask_pool(router, view, team, wanted).await;
        lock(&router.usage.domain).note_grant(router.clock.now(), team, grant);
        answer = take(true);
    }
    match answer {
        CreditAnswer::Granted => CreditReply::granted(1),
        CreditAnswer::Refused(wait) => CreditReply::refused(wait),
        CreditAnswer::Reservation(offer) => CreditReply::from_offer(offer),
        CreditAnswer::AskPool(_) => CreditReply::refused(Duration::ZERO),
    }
}

/// Adds the outcomes of reservations to the metrics.
fn count_reservations(counts: ReservationCounts) {
    let outcomes = [
        ("given", counts.given),
        ("taken", counts.taken),
        ("released", counts.released),
        ("missed", counts.missed),
        ("too_far", counts.too_far),
    ];
    for (outcome, count) in outcomes.into_iter().filter(|(_, count)| *count > 0) {
        metrics::counter!("streamfold_return_turns_total", "outcome" => outcome).increment(u64::from(count));
    }
}

/// Asks the pool of a team for credit. Returns `None` if its node is unknown or did not answer.
async fn ask_pool(router: &Router, view: &ClusterView, team: &TeamName, wanted: u32) -> Option<PoolGrant> {
    let entry = find_pool(router, &view.granters, team)?;
    let reply = if entry.node == router.settings.node {
        grant_from_pool(router, view, team, wanted)
    } else {
        let request = CreditRequest::without_caller(team.clone(), CreditAction::Lend(wanted));
        call(router, entry, &request, POOL_TIMEOUT).await?
    };
    Some(PoolGrant { requests: reply.requests, wait: Duration::from_micros(reply.wait_us) })
}

/// Grants credit for up to `wanted` requests from the pool of a team.
fn grant_from_pool(router: &Router, view: &ClusterView, team: &TeamName, wanted: u32) -> CreditReply {
    let Some(limit) = find_limit(view, team) else { return CreditReply::granted(wanted) };
    update_granters(router, view);
    let (now, mut pools) = (router.clock.now(), lock(&router.usage.pools));
    if !is_pool(router, &view.granters, team) {
        pools.note_failover(now, team);
    }
    let grant = pools.grant(now, team, limit, allowance(router, view), wanted);
    CreditReply { requests: grant.requests, ..CreditReply::refused(grant.wait) }
}
