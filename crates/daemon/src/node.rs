//! The state that all tasks of a node share. The start, the cluster view and the ticket tables are in modules of their
//! own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use streamfold_model::{CallerName, ConfigBundle, ConfigVersion, Incarnation};
use streamfold_platform::PlatformClient;
use streamfold_policy::{
    AdaptiveRules, AdmissionControl, AttemptRules, BaselineRules, LatencyHistogram, MemberEntry, MemberState,
    MemberTable, MemberTimes, TokenBucket, TokenBudget,
};
use streamfold_router::caller_limits::CallerLimits;
use streamfold_store::{ConfigStore, ObjectStore, RequestClaims, VmList};
use tokio::sync::{Notify, oneshot, watch};

use crate::admission::AdmissionPermit;
use crate::clock::{NodeClock, wall_ms};
use crate::keeper::{ConfigKeeper, OfferResult};
use crate::links::PeerLinks;
use crate::metered::MeteredStore;
use crate::node_start::NodeAddresses;
use crate::outcomes::OutcomeTable;
use crate::owner::OwnerPools;
use crate::settings::{NodeSettings, PolicyChoice};
use crate::stop::StopPhase;
use crate::tickets::TicketTable;
use crate::view::ClusterView;

/// Missed heartbeats after which a node is suspected, and after which it counts as dead and gets no work.
const SUSPECT_AFTER_BEATS: u32 = 6;
const DEAD_AFTER_BEATS: u32 = 16;
/// Maximum number of remembered idempotency keys that callers chose themselves.
const MAX_CALLER_KEYS: usize = 100_000;
/// Replies of other nodes required before their latency quantile is meaningful.
const MIN_OWNER_SAMPLES: u32 = 100;
/// An owner that has not replied after this quantile of the latency times the factor counts as unresponsive.
const OWNER_QUANTILE: f64 = 0.99;
const OWNER_HEDGE_FACTOR: u32 = 2;
/// Minimum of that delay.
const MIN_OWNER_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Budget of pieces that are hedged to a second owner: their share of all pieces, and the maximum burst.
const OWNER_HEDGE_SHARE: f64 = 0.05;
const OWNER_HEDGE_RESERVE: f64 = 200.0;

/// Sends the permit to a queued request. Dropping it refuses the request.
pub type AdmissionTag = oneshot::Sender<AdmissionPermit>;

/// The shared state of one node.
pub struct Node {
    /// The node's settings.
    pub settings: NodeSettings,
    /// The node's clock.
    pub clock: NodeClock,
    /// Identifies this run of the node.
    pub incarnation: Incarnation,
    /// The configuration in force.
    pub keeper: ConfigKeeper,
    /// Client of the configurations in the store.
    pub store: ConfigStore,
    /// Claims of callers' own keys in the store.
    pub claims: RequestClaims,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Connection pools of the upstreams that this node owns.
    pub pools: Arc<OwnerPools>,
    /// Links to other nodes.
    pub links: PeerLinks,
    /// What callers may hold of this node's machine.
    pub callers: Arc<CallerLimits>,
    /// Outcomes of orders under keys that callers chose themselves.
    pub caller_keys: OutcomeTable<(CallerName, String)>,
    /// Notified of an update that is sent without waiting for the next heartbeat.
    pub urgent: Notify,
    members: Mutex<MemberTable>,
    pub(crate) view: ArcSwap<ClusterView>,
    pub(crate) own_tickets: TicketTable,
    pub(crate) adopted: Mutex<Vec<Arc<TicketTable>>>,
    admission: Mutex<AdmissionControl<AdmissionTag>>,
    claim_bucket: Mutex<TokenBucket>,
    listed_seeds: Mutex<Vec<SocketAddr>>,
    owner_replies: Mutex<(LatencyHistogram, TokenBudget)>,
    phase: watch::Sender<StopPhase>,
    pub(crate) work: Arc<AtomicUsize>,
    pub(crate) orders: Arc<AtomicUsize>,
}

/// Counts one piece of work in flight until it is dropped.
pub struct WorkGuard(Arc<AtomicUsize>);

impl WorkGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter.clone())
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn own_entry(settings: &NodeSettings, addresses: NodeAddresses, incarnation: Incarnation) -> MemberEntry {
    MemberEntry {
        node: settings.node.clone(),
        incarnation,
        beat: 0,
        domain: settings.domain.clone(),
        peer_address: settings.advertise.unwrap_or(addresses.peers),
        operator_address: addresses.operators,
        state: MemberState::Live,
        config: ConfigVersion(0),
        config_age_ms: 0,
    }
}

fn choose_rules(settings: &NodeSettings) -> Arc<dyn AttemptRules> {
    match settings.policy {
        PolicyChoice::Adaptive => Arc::new(AdaptiveRules { hedging: settings.hedging }),
        PolicyChoice::Baseline => Arc::new(BaselineRules),
    }
}

impl Node {
    pub(crate) fn new(settings: NodeSettings, addresses: NodeAddresses) -> Self {
        let clock = NodeClock::start();
        let now = clock.now();
        let incarnation = Incarnation(wall_ms());
        let platform = Arc::new(PlatformClient::new(settings.platform).with_machine(settings.machine));
        let store: Arc<dyn ObjectStore> = Arc::new(MeteredStore::new(platform.clone()));
        let times = MemberTimes {
            suspect_after: settings.heartbeat * SUSPECT_AFTER_BEATS,
            dead_after: settings.heartbeat * DEAD_AFTER_BEATS,
            forget_after: settings.ticket_life,
        };
        let rules = choose_rules(&settings);
        let callers = Arc::new(CallerLimits::new(settings.machine).with_connections(settings.connections));
        let own_tickets = TicketTable::new(settings.node.clone(), incarnation, settings.ticket_life, now);
        Self {
            clock,
            incarnation,
            keeper: ConfigKeeper::new(clock),
            store: ConfigStore::new(store.clone()),
            claims: RequestClaims::new(store),
            vms: platform,
            pools: Arc::new(OwnerPools::new(clock, rules, settings.answer_limit.as_usize(), callers.clone())),
            links: PeerLinks::default(),
            callers,
            caller_keys: OutcomeTable::new(settings.ticket_life, MAX_CALLER_KEYS),
            urgent: Notify::new(),
            members: Mutex::new(MemberTable::new(own_entry(&settings, addresses, incarnation), times, now)),
            view: ArcSwap::from_pointee(ClusterView::empty()),
            own_tickets,
            adopted: Mutex::default(),
            admission: Mutex::new(AdmissionControl::new(settings.policy == PolicyChoice::Adaptive)),
            claim_bucket: Mutex::default(),
            listed_seeds: Mutex::default(),
            owner_replies: Mutex::new((LatencyHistogram::default(), TokenBudget::new(OWNER_HEDGE_RESERVE))),
            phase: watch::Sender::new(StopPhase::Serving),
            work: Arc::default(),
            orders: Arc::default(),
            settings,
        }
    }

    /// The membership table.
    pub fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current cluster view.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Raises the own heartbeat counter and updates the own membership entry.
    pub fn beat(&self) {
        let now = self.clock.now();
        let phase = *self.phase.borrow();
        let (config, config_age_ms) = (self.keeper.version(), self.keeper.age_ms());
        self.members().update_own(now, |entry| {
            entry.config = config;
            entry.config_age_ms = config_age_ms;
            entry.state = match phase {
                StopPhase::Serving => MemberState::Live,
                StopPhase::LameDuck | StopPhase::Refusing | StopPhase::GivingUp => MemberState::Leaving,
                StopPhase::Ended => MemberState::Gone,
            };
        });
    }

    /// Puts a configuration into force if it is newer, and then sends it to other nodes at once.
    pub fn offer(&self, bundle: ConfigBundle) -> OfferResult {
        let result = self.keeper.offer(bundle);
        if result == OfferResult::Accepted {
            self.refresh_view();
            self.urgent.notify_one();
        }
        result
    }

    /// Addresses of peers for joining the cluster, from the settings and the platform's VM list.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = self.settings.seeds.clone();
        seeds.extend(self.listed_seeds.lock().unwrap_or_else(PoisonError::into_inner).iter());
        seeds
    }

    /// Replaces the addresses from the platform's VM list.
    pub fn set_listed_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.listed_seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// The admission control of callers' requests.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionControl<AdmissionTag>> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a token from the bucket that limits this node's claims per second; false if there is none.
    pub fn take_claim_token(&self) -> bool {
        let rate = self.settings.claim_rate;
        if rate <= 0.0 {
            return false;
        }
        let mut bucket = self.claim_bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.take(self.clock.now(), rate).is_ok()
    }

    fn owner_replies(&self) -> MutexGuard<'_, (LatencyHistogram, TokenBudget)> {
        self.owner_replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the latency of another node's reply to a piece.
    pub fn record_owner_reply(&self, latency: Duration) {
        let mut replies = self.owner_replies();
        replies.0.add(latency);
        replies.1.earn(OWNER_HEDGE_SHARE);
    }

    /// The time after which a node that has not replied counts as unresponsive, so that its pieces are hedged to a
    /// second owner; `None` if there are too few samples or the policy sends no hedges.
    pub fn owner_hedge_delay(&self) -> Option<Duration> {
        let replies = self.owner_replies();
        if replies.0.samples() < MIN_OWNER_SAMPLES || self.settings.policy == PolicyChoice::Baseline {
            return None;
        }
        let slow = replies.0.quantile(OWNER_QUANTILE)?;
        Some((slow * OWNER_HEDGE_FACTOR).max(MIN_OWNER_HEDGE_DELAY))
    }

    /// Spends the budget for one hedge to a second owner; false if it is used up.
    pub fn spend_owner_hedge(&self) -> bool {
        self.owner_replies().1.spend()
    }

    /// The tickets that this run of the node minted.
    pub fn own_tickets(&self) -> &TicketTable {
        &self.own_tickets
    }

    /// Counts work in flight until the guard is dropped. A stop waits for it.
    pub fn count_work(&self) -> WorkGuard {
        WorkGuard::new(&self.work)
    }

    /// Counts an order under a ticket until the guard is dropped. The handover of tickets waits for it.
    pub fn count_order(&self) -> WorkGuard {
        WorkGuard::new(&self.orders)
    }

    /// The number of requests and batches in flight.
    pub fn work_in_flight(&self) -> usize {
        self.work.load(Ordering::SeqCst)
    }

    /// The phase of the graceful stop.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Whether the node refuses new work.
    pub fn is_refusing(&self) -> bool {
        self.phase() >= StopPhase::Refusing
    }

    /// Whether the node gives up the work in flight, since its process is about to end.
    pub fn is_giving_up(&self) -> bool {
        self.phase() >= StopPhase::GivingUp
    }

    /// Waits for a result, at most until the node gives up the work in flight; `None` if it did so first.
    pub async fn unless_given_up<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.watch_phase();
        tokio::select! {
            biased;
            result = work => Some(result),
            _ = phase.wait_for(|phase| *phase >= StopPhase::GivingUp) => None,
        }
    }

    /// Subscribes to the phases of the graceful stop.
    pub fn watch_phase(&self) -> watch::Receiver<StopPhase> {
        self.phase.subscribe()
    }

    pub(crate) fn enter_phase(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
        if phase >= StopPhase::GivingUp {
            self.pools.give_up();
        }
        self.beat();
        self.urgent.notify_one();
        tracing::info!(event = "stopping", phase = ?phase, in_flight = self.work_in_flight());
    }
}
