//! Asks for the credit of teams whose requests are limited, and gives it: which nodes do is the same everywhere by
//! their names. The rules are in `policy::usage_credit`.

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
use crate::lenders::{LenderMap, credit_domains, find_pool, is_dealer, is_pool, known_domains, rank_lenders};
use crate::request::CallerRequest;
use crate::router::Router;

/// Path of a request for credit, with the form of the messages.
pub const PATH_CREDIT: &str = "/2/credit";
/// Links that are kept while nodes come and go; beyond them those without a connection are dropped.
const MAX_LINKS: usize = 128;
/// How long the node that deals out credit in this failure domain may take: some way of a millisecond, and its
/// processor.
const DEAL_WITHIN: Duration = Duration::from_millis(60);
/// How long the pool may take: regions are up to 12 ms apart one way, and a first connection goes the way twice.
const LEND_WITHIN: Duration = Duration::from_millis(120);
/// A node that did not answer is passed over for so long: about what a process takes to start again.
const AVOID_FOR: Duration = Duration::from_millis(500);
/// Used where the settings tell no window.
const ASSUMED_WINDOW: Duration = Duration::from_secs(5);
/// Nodes of the failure domain that are asked one after the other.
const MAX_ASKED: usize = 2;

/// What a node asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum CreditAsk {
    /// One request, of the node that deals out in the failure domain.
    Take,
    /// Gives one back that reached no server.
    GiveBack,
    /// So many, of the pool.
    Lend(u32),
}

/// Asks for a team's credit.
#[derive(Debug, Clone, Encode, Decode)]
pub struct CreditRequest {
    /// The team.
    pub team: TeamName,
    /// What for.
    pub ask: CreditAsk,
    /// The caller that is refused if there is none, where one waits for it.
    pub caller: Option<ReturningCaller>,
}

/// A caller that may have to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ReturningCaller {
    /// What it asks for, and will ask for again.
    pub content: ContentId,
    /// How long it can wait to come back, in microseconds.
    pub usable_us: u64,
}

impl CreditRequest {
    /// A request that no caller waits for.
    fn between_nodes(team: TeamName, ask: CreditAsk) -> Self {
        Self { team, ask, caller: None }
    }

    /// How it is asked for in turn.
    fn turn(&self, is_pool_asked: bool) -> Option<ReservationRequest> {
        let caller = self.caller?;
        Some(ReservationRequest {
            content: caller.content,
            max_wait: Duration::from_micros(caller.usable_us),
            is_pool_asked,
        })
    }
}

/// What a caller that is refused is told of its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum ReturnTurn {
    /// When there may be credit; callers of the team return as they like.
    Anytime,
    /// The time of its place.
    Given,
    /// The time of the next place, which is further away than it can wait.
    TooFar,
}

/// What a node gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CreditReply {
    /// Requests that may run.
    pub requests: u32,
    /// How long until there is more, in microseconds.
    pub wait_us: u64,
    /// What that is for a caller.
    pub turn: ReturnTurn,
}

impl CreditReply {
    fn granted(requests: u32) -> Self {
        Self { requests, wait_us: 0, turn: ReturnTurn::Anytime }
    }

    fn refused(wait: Duration) -> Self {
        Self { wait_us: wait.as_micros() as u64, ..Self::granted(0) }
    }

    fn place(offer: ReservationOffer) -> Self {
        let turn = if offer.is_reserved { ReturnTurn::Given } else { ReturnTurn::TooFar };
        Self { turn, ..Self::refused(offer.wait) }
    }

    /// Why a caller is refused, and when it may come back.
    fn reason(&self) -> RefusalReason {
        let wait = Duration::from_micros(self.wait_us);
        match self.turn {
            ReturnTurn::Anytime => RefusalReason::OverLimit { wait },
            ReturnTurn::Given => RefusalReason::Reserved { wait },
            ReturnTurn::TooFar => RefusalReason::NoReservation { wait },
        }
    }
}

/// The credit that this node gives, and its links to other nodes that do.
#[derive(Default)]
pub struct UsageLedger {
    domain: Mutex<DomainCredits>,
    pools: Mutex<CreditPools>,
    links: Mutex<HashMap<NodeId, LenderLink>>,
    /// The nodes that gave credit when this one was last asked, once it was.
    lenders: Mutex<Option<LenderMap>>,
}

/// The link to a node that gives credit.
struct LenderLink {
    link: Arc<PeerLink>,
    avoided_until: Moment,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UsageLedger {
    /// The link to a node, unless it is passed over now.
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
        links.insert(entry.node.clone(), LenderLink { link: link.clone(), avoided_until: now });
        Some(link)
    }

    fn avoid(&self, node: &NodeId, until: Moment) {
        if let Some(known) = lock(&self.links).get_mut(node) {
            known.avoided_until = until;
        }
    }
}

fn allowance(router: &Router, view: &ClusterView) -> UsageAllowance {
    let usage = router.settings.usage;
    UsageAllowance {
        requests: usage.map_or(0.0, |usage| usage.allowance),
        window: usage.map_or(ASSUMED_WINDOW, |usage| usage.window.0),
        domains: credit_domains(router, &known_domains(&view.lenders)).count(),
    }
}

/// A team by the routes in force.
fn find_team<'a>(view: &'a ClusterView, team: &TeamName) -> Option<&'a TeamSpec> {
    view.table.as_ref()?.teams()?.find_by_name(team).map(|found| &**found)
}

/// A team's limit by the routes in force.
fn find_limit(view: &ClusterView, team: &TeamName) -> Option<UsageLimit> {
    find_team(view, team)?.limit
}

async fn call(router: &Router, entry: &NodeEntry, request: &CreditRequest, within: Duration) -> Option<CreditReply> {
    let now = router.clock.now();
    let link = router.usage.link(now, entry)?;
    match link.call::<_, CreditReply>(PATH_CREDIT, request, within).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            router.usage.avoid(&entry.node, router.clock.now().plus(AVOID_FOR));
            tracing::info!(
                event = "credit_not_told",
                team = %request.team,
                lender = %entry.node,
                ask = ?request.ask,
                %error
            );
            None
        }
    }
}

/// Takes credit for one request of a team, which is to be answered within a target.
///
/// # Errors
/// The team is over its limit, or nobody who could say so can be asked.
pub async fn admit(
    router: &Router,
    view: &ClusterView,
    team: &TeamSpec,
    request: &CallerRequest,
    target: Duration,
) -> Result<(), RefusalKind> {
    let Some(limit) = team.limit else { return Ok(()) };
    let now = router.clock.now();
    let usable = usable_wait(request.deadline.since(now), request.started.plus(target).since(now));
    let caller = ReturningCaller { content: request.suspect.content, usable_us: usable.as_micros() as u64 };
    let ask = CreditRequest { team: team.name.clone(), ask: CreditAsk::Take, caller: Some(caller) };
    let lenders = view.lenders.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
    for entry in rank_lenders(lenders, &team.name, MAX_ASKED) {
        let reply = if entry.node == router.settings.node {
            Some(deal(router, view, &ask).await)
        } else {
            call(router, entry, &ask, DEAL_WITHIN).await
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
                    turn = ?reply.turn,
                    usable_ms = usable.as_millis() as u64
                );
                return Err(RefusalKind::over_limit(reply.reason()));
            }
            None => {}
        }
    }
    metrics::counter!("streamfold_credit_unknown_total").increment(1);
    tracing::warn!(event = "credit_unknown", request = request.id_text(), team = %team.name, lenders = lenders.len());
    Err(RefusalKind::not_run(RefusalReason::NoServer))
}

/// Gives back the credit of a request that reached no server.
pub fn give_back(router: &Arc<Router>, view: &Arc<ClusterView>, team: &TeamSpec) {
    if team.limit.is_none() {
        return;
    }
    let (router, view, team) = (router.clone(), view.clone(), team.name.clone());
    tokio::spawn(async move {
        let lenders = view.lenders.get(&router.settings.failure_domain).map_or(&[][..], Vec::as_slice);
        let Some(entry) = rank_lenders(lenders, &team, 1).first().copied() else { return };
        if entry.node == router.settings.node {
            return lock(&router.usage.domain).give_back(&team);
        }
        let ask = CreditRequest::between_nodes(team, CreditAsk::GiveBack);
        // What is not given back is lost to the team, and a line says so.
        call(&router, entry, &ask, DEAL_WITHIN).await;
    });
}

/// Answers another node; `None` where this one does not know the team. One that has just started has no routes yet, and
/// is asked all the same by nodes that knew its run before: without a limit it would grant whatever they ask for.
pub async fn serve(router: &Router, request: &CreditRequest) -> Option<CreditReply> {
    let view = router.cluster.view();
    if find_team(&view, &request.team).is_none() {
        metrics::counter!("streamfold_limit_unknown_total").increment(1);
        let version = router.cluster.version();
        tracing::info!(event = "limit_unknown", team = %request.team, ask = ?request.ask, %version);
        return None;
    }
    let reply = match request.ask {
        CreditAsk::Take => deal(router, &view, request).await,
        CreditAsk::GiveBack => {
            lock(&router.usage.domain).give_back(&request.team);
            CreditReply::granted(0)
        }
        CreditAsk::Lend(wanted) => lend(router, &view, &request.team, wanted),
    };
    Some(reply)
}

/// Gives up credit that other nodes give from now on, or gave until now, by this node's view.
fn note_lenders(router: &Router, view: &ClusterView) {
    let mut known = lock(&router.usage.lenders);
    if known.as_ref() == Some(&view.lenders) {
        return;
    }
    let Some(before) = known.replace(view.lenders.clone()) else { return };
    let now = router.clock.now();
    let both = [&before, &view.lenders];
    let deals = |team: &TeamName| both.iter().all(|lenders| is_dealer(router, lenders, team));
    let lends = |team: &TeamName| both.iter().all(|lenders| is_pool(router, lenders, team));
    lock(&router.usage.domain).change_granters(now, deals);
    lock(&router.usage.pools).change_granters(now, lends);
    let domains = view.lenders.len();
    tracing::info!(event = "lenders_changed", domains, lenders = view.lenders.values().map(Vec::len).sum::<usize>());
}

/// Whether callers of one team that are refused return in turn.
fn has_turns(router: &Router) -> bool {
    let settings = &router.settings;
    settings.scheduling.by_team && settings.return_turns && router.has(Mechanism::RetryReservations)
}

/// Deals out one request of a team in this failure domain.
async fn deal(router: &Router, view: &ClusterView, request: &CreditRequest) -> CreditReply {
    let team = &request.team;
    // By the routes in force here there is no limit.
    let Some(limit) = find_limit(view, team) else { return CreditReply::granted(1) };
    note_lenders(router, view);
    if !is_dealer(router, &view.lenders, team) {
        lock(&router.usage.domain).note_failover(router.clock.now(), team);
    }
    let allowance = allowance(router, view);
    let take = |is_pool_asked: bool| {
        let (now, mut credits) = (router.clock.now(), lock(&router.usage.domain));
        let Some(turn) = request.turn(is_pool_asked).filter(|_| has_turns(router)) else {
            return credits.take(now, team, limit, allowance, is_pool_asked);
        };
        let answer = credits.take_reserved(now, team, limit, allowance, &turn);
        count_places(credits.take_reservation_counts(team));
        answer
    };
    let mut answer = take(false);
    if let CreditAnswer::AskPool(wanted) = answer {
        let loan = ask_pool(router, view, team, wanted).await;
        lock(&router.usage.domain).note_grant(router.clock.now(), team, loan);
        answer = take(true);
    }
    match answer {
        CreditAnswer::Granted => CreditReply::granted(1),
        CreditAnswer::Refused(wait) => CreditReply::refused(wait),
        CreditAnswer::Reservation(offer) => CreditReply::place(offer),
        CreditAnswer::AskPool(_) => CreditReply::refused(Duration::ZERO),
    }
}

/// Counts what became of places.
fn count_places(counts: ReservationCounts) {
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

async fn ask_pool(router: &Router, view: &ClusterView, team: &TeamName, wanted: u32) -> Option<PoolGrant> {
    let entry = find_pool(router, &view.lenders, team)?;
    let reply = if entry.node == router.settings.node {
        lend(router, view, team, wanted)
    } else {
        let ask = CreditRequest::between_nodes(team.clone(), CreditAsk::Lend(wanted));
        call(router, entry, &ask, LEND_WITHIN).await?
    };
    Some(PoolGrant { requests: reply.requests, wait: Duration::from_micros(reply.wait_us) })
}

/// Lends from the pool of a team.
fn lend(router: &Router, view: &ClusterView, team: &TeamName, wanted: u32) -> CreditReply {
    let Some(limit) = find_limit(view, team) else { return CreditReply::granted(wanted) };
    note_lenders(router, view);
    let (now, mut pools) = (router.clock.now(), lock(&router.usage.pools));
    if !is_pool(router, &view.lenders, team) {
        pools.note_failover(now, team);
    }
    let loan = pools.grant(now, team, limit, allowance(router, view), wanted);
    CreditReply { requests: loan.requests, ..CreditReply::refused(loan.wait) }
}
