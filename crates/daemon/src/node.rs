//! One node: what its parts share. How it starts, its view of the cluster and the books of
//! tickets it holds have files of their own.

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
use streamfold_store::{ConfigStore, ObjectStore, RequestClaims, VmList};
use tokio::sync::{Notify, oneshot, watch};

use crate::admission::AdmittedVisit;
use crate::clock::{NodeClock, wall_ms};
use crate::keeper::{ConfigKeeper, OfferResult};
use crate::links::PeerLinks;
use crate::metered::MeteredStore;
use crate::node_start::NodeAddresses;
use crate::outcomes::OutcomeTable;
use crate::owner::OwnerPools;
use crate::settings::{NodeSettings, PolicyChoice};
use crate::stop::StopPhase;
use crate::tickets::TicketBook;
use crate::view::ClusterView;

/// Heartbeats a node may miss before it is suspected, and before it gets no work.
const SUSPECT_BEATS: u32 = 6;
const DEAD_BEATS: u32 = 16;
/// Callers' own keys remembered at most.
const MAX_OWN_KEYS: usize = 100_000;
/// Replies of other nodes wanted before their latency means something.
const OWNER_SAMPLES: u32 = 100;
/// A node that has not replied after so many times this quantile is taken to be silent.
const OWNER_QUANTILE: f64 = 0.99;
const OWNER_PATIENCE: u32 = 2;
const MIN_PATIENCE: Duration = Duration::from_millis(10);
/// Pieces sent to a second owner, as a share of all, and how many at once.
const OWNER_HEDGE_SHARE: f64 = 0.05;
const OWNER_HEDGE_RESERVE: f64 = 200.0;
/// Gives a waiting request its place; dropped, the request is given up.
pub type AdmissionTag = oneshot::Sender<AdmittedVisit>;

/// One node and everything its parts share.
pub struct Node {
    /// Its settings.
    pub settings: NodeSettings,
    /// Its clock.
    pub clock: NodeClock,
    /// Its run.
    pub incarnation: Incarnation,
    /// The configuration in force.
    pub keeper: ConfigKeeper,
    /// Configurations in the store.
    pub store: ConfigStore,
    /// Claims of callers' own keys.
    pub claims: RequestClaims,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Pools of owned upstreams.
    pub pools: Arc<OwnerPools>,
    /// Links to other nodes.
    pub links: PeerLinks,
    /// Outcomes of callers' own keys.
    pub own_keys: OutcomeTable<(CallerName, String)>,
    /// Told when news should not wait for the next heartbeat.
    pub urgent: Notify,
    members: Mutex<MemberTable>,
    pub(crate) view: ArcSwap<ClusterView>,
    pub(crate) own_book: TicketBook,
    pub(crate) adopted: Mutex<Vec<Arc<TicketBook>>>,
    gate: Mutex<AdmissionControl<AdmissionTag>>,
    claim_gate: Mutex<TokenBucket>,
    listed_seeds: Mutex<Vec<SocketAddr>>,
    owner_replies: Mutex<(LatencyHistogram, TokenBudget)>,
    phase: watch::Sender<StopPhase>,
    pub(crate) work: Arc<AtomicUsize>,
    pub(crate) orders: Arc<AtomicUsize>,
}

/// Counts one piece of work for as long as it lives.
pub struct WorkCount(Arc<AtomicUsize>);

impl WorkCount {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter.clone())
    }
}

impl Drop for WorkCount {
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
        let platform = Arc::new(PlatformClient::new(settings.platform));
        let store: Arc<dyn ObjectStore> = Arc::new(MeteredStore::new(platform.clone()));
        let times = MemberTimes {
            suspect_after: settings.heartbeat * SUSPECT_BEATS,
            dead_after: settings.heartbeat * DEAD_BEATS,
            forget_after: settings.ticket_life,
        };
        let rules = choose_rules(&settings);
        let own_book = TicketBook::new(settings.node.clone(), incarnation, settings.ticket_life, now);
        Self {
            clock,
            incarnation,
            keeper: ConfigKeeper::new(clock),
            store: ConfigStore::new(store.clone()),
            claims: RequestClaims::new(store),
            vms: platform,
            pools: Arc::new(OwnerPools::new(clock, rules, settings.answer_limit.as_usize())),
            links: PeerLinks::default(),
            own_keys: OutcomeTable::new(settings.ticket_life, MAX_OWN_KEYS),
            urgent: Notify::new(),
            members: Mutex::new(MemberTable::new(own_entry(&settings, addresses, incarnation), times, now)),
            view: ArcSwap::from_pointee(ClusterView::empty()),
            own_book,
            adopted: Mutex::default(),
            gate: Mutex::new(AdmissionControl::new(settings.policy == PolicyChoice::Adaptive)),
            claim_gate: Mutex::default(),
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

    /// The view that a request works with.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.load_full()
    }

    /// Raises the own heartbeat.
    pub fn beat(&self) {
        let now = self.clock.now();
        let phase = *self.phase.borrow();
        let (config, config_age_ms) = (self.keeper.version(), self.keeper.age_ms());
        self.members().update_own(now, |entry| {
            entry.config = config;
            entry.config_age_ms = config_age_ms;
            entry.state = match phase {
                StopPhase::Serving => MemberState::Live,
                StopPhase::LameDuck | StopPhase::Refusing => MemberState::Leaving,
                StopPhase::Ended => MemberState::Gone,
            };
        });
    }

    /// Takes a configuration if it is newer, and then tells others at once.
    pub fn offer(&self, bundle: ConfigBundle) -> OfferResult {
        let result = self.keeper.offer(bundle);
        if result == OfferResult::Taken {
            self.refresh_view();
            self.urgent.notify_one();
        }
        result
    }

    /// Peers' addresses to begin with, from the settings and the platform's VM list.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = self.settings.seeds.clone();
        seeds.extend(self.listed_seeds.lock().unwrap_or_else(PoisonError::into_inner).iter());
        seeds
    }

    /// Notes the addresses in the platform's VM list.
    pub fn learn_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.listed_seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// The admission of callers' requests.
    pub fn gate(&self) -> MutexGuard<'_, AdmissionControl<AdmissionTag>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one token of the claims this node may make a second.
    pub fn take_claim_token(&self) -> bool {
        let rate = self.settings.claim_rate;
        if rate <= 0.0 {
            return false;
        }
        let mut gate = self.claim_gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.take(self.clock.now(), rate).is_ok()
    }

    fn owner_replies(&self) -> MutexGuard<'_, (LatencyHistogram, TokenBudget)> {
        self.owner_replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how long another node took for the reply to a piece.
    pub fn note_owner_reply(&self, took: Duration) {
        let mut replies = self.owner_replies();
        replies.0.add(took);
        replies.1.earn(OWNER_HEDGE_SHARE);
    }

    /// After how long another node that has not replied is taken to be silent; `None` for
    /// never: too little is known, or the rules in force make no hedges.
    pub fn owners_patience(&self) -> Option<Duration> {
        let replies = self.owner_replies();
        if replies.0.samples() < OWNER_SAMPLES || self.settings.policy == PolicyChoice::Baseline {
            return None;
        }
        let slow = replies.0.quantile(OWNER_QUANTILE)?;
        Some((slow * OWNER_PATIENCE).max(MIN_PATIENCE))
    }

    /// Takes one piece from the budget of those that may be sent to a second owner.
    pub fn spend_owner_hedge(&self) -> bool {
        self.owner_replies().1.spend()
    }

    /// The node's own tickets.
    pub fn own_book(&self) -> &TicketBook {
        &self.own_book
    }

    /// Counts work in flight, for the stop to wait for.
    pub fn count_work(&self) -> WorkCount {
        WorkCount::new(&self.work)
    }

    /// Counts an order under a ticket, for the hand-over to wait for.
    pub fn count_order(&self) -> WorkCount {
        WorkCount::new(&self.orders)
    }

    /// Requests and batches in flight.
    pub fn work_in_flight(&self) -> usize {
        self.work.load(Ordering::SeqCst)
    }

    /// How far a stop has come.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Whether new work is refused.
    pub fn is_refusing(&self) -> bool {
        self.phase() >= StopPhase::Refusing
    }

    /// Whether the node is over.
    pub fn is_ended(&self) -> bool {
        self.phase() == StopPhase::Ended
    }

    /// Follows the phases of a stop.
    pub fn watch_phase(&self) -> watch::Receiver<StopPhase> {
        self.phase.subscribe()
    }

    pub(crate) fn enter(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
        self.beat();
        self.urgent.notify_one();
        tracing::info!(event = "stopping", phase = ?phase, in_flight = self.work_in_flight());
    }
}
