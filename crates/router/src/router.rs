//! The state of one router node that its connections, requests and background tasks share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use streamfold_link::PeerLink;
use streamfold_model::{Incarnation, NodeEntry, TableVersion};
use streamfold_policy::batch_gate::BatchGate;
use streamfold_policy::extra_budget::ExtraLimits;
use streamfold_policy::feed_checks::CheckSchedule;
use streamfold_policy::{Mechanism, Moment};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::caller_limits::CallerLimits;
use crate::clock::{NodeClock, wall_ms};
use crate::cluster::{Cluster, UpdateContext, UpdateOrigin};
use crate::cluster_place::NodeContext;
use crate::cluster_view::{ClusterView, Service};
use crate::entry::EntryControl;
use crate::freshness::FreshnessTable;
use crate::interface::{CallFormat, ClusterFeed, FeedPosition, FeedTopic};
use crate::relay::FeedSource;
use crate::relay_service::RelayPublisher;
use crate::settings::RouterSettings;
use crate::shortage::ShortageWatch;
use crate::store_turn::StoreBreaker;
use crate::usage::UsageLedger;

/// The share of the fixed allowance of extra calls that is divided among the nodes. The rest is a reserve
/// for times when nodes disagree about how many of them there are.
const DIVIDED_ALLOWANCE: f64 = 0.8;
/// The share of the configured ratio of extra calls that is used. Calls are counted when they are sent,
/// and some of them arrive in a later window.
const USED_RATIO: f64 = 0.9;

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouterPhase {
    /// Accepts and serves requests.
    Serving,
    /// Reports that it is not ready but still serves requests.
    LameDuck,
    /// Closes each caller connection when its request ends.
    Closing,
    /// Ends the requests that are still in flight, since the process is about to exit.
    Ended,
}

/// One router node and its shared state.
pub struct Router {
    /// Settings at startup.
    pub settings: RouterSettings,
    /// Settings as last reloaded; only those that may change at run time are read from here.
    pub(crate) live_settings: ArcSwap<RouterSettings>,
    /// The monotonic clock of this node.
    pub clock: NodeClock,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The header format of requests and answers.
    pub format: Arc<dyn CallFormat>,
    /// The source of routes, servers and nodes.
    pub feed: Arc<dyn ClusterFeed>,
    /// The known routes, servers and nodes.
    pub cluster: Cluster,
    /// The current shutdown phase.
    pub phase: watch::Sender<RouterPhase>,
    /// When a stopping node ends the requests that are still in flight; empty until it is asked to stop.
    pub(crate) ends_at: OnceLock<Moment>,
    /// Number of requests in flight.
    pub requests: AtomicUsize,
    /// Number of open caller connections.
    pub connections: AtomicUsize,
    /// Whether the port for callers is open.
    pub(crate) is_accepting: AtomicBool,
    /// Links to the seed nodes.
    pub seed_links: Vec<Arc<PeerLink>>,
    /// Notified when another node reports newer routes.
    pub newer_routes: Notify,
    /// How long the machine was suspended, by the last check. State from before a suspension is stale.
    pub(crate) suspended_for: watch::Sender<Duration>,
    /// How current the knowledge of each topic is.
    pub freshness: FreshnessTable,
    /// Notified when nodes were listed, so that links to them are opened.
    pub nodes_listed: Notify,
    /// The newest route version that another node has reported.
    reported_version: AtomicU64,
    /// Where store updates currently come from.
    pub source: watch::Sender<FeedSource>,
    /// Notified when a topic starts or stops being followed, or when the source changes.
    pub feed_changed: watch::Sender<()>,
    /// Admission control for batches from other nodes.
    pub(crate) batch_gate: Mutex<BatchGate>,
    /// Schedules calls to the store while it refuses them.
    pub(crate) store_breaker: StoreBreaker,
    /// What callers may hold of this node's machine.
    pub(crate) callers: Arc<CallerLimits>,
    /// Relays store updates to other nodes.
    pub relay_publisher: RelayPublisher,
    /// Request credit of rate-limited teams.
    pub(crate) usage: UsageLedger,
    /// Tracks services that are short of healthy servers.
    pub(crate) shortage: ShortageWatch,
    /// Rejects requests that cannot finish in time or must yield to more urgent ones.
    pub(crate) entry: EntryControl,
    feeds: [FeedState; FeedTopic::ALL.len()],
    started: Moment,
}

/// Whether a topic was listed, and whether its updates have been followed without a failure since.
#[derive(Default)]
struct FeedState {
    is_listed: AtomicBool,
    is_followed: AtomicBool,
    /// When the topic was last confirmed before it was lost, in microseconds on the node clock. Only valid while it is
    /// not followed.
    followed_until: AtomicU64,
}

/// A router whose ports are open and whose tasks are running.
pub struct RunningRouter {
    /// The router.
    pub router: Arc<Router>,
    pub(crate) tasks: JoinSet<()>,
}

/// A guard that keeps a counter incremented until it is dropped.
pub struct LiveCount<'a>(&'a AtomicUsize);

impl<'a> LiveCount<'a> {
    /// Increments the counter.
    pub fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }

    /// Takes over an increment that was made before.
    pub fn from_counted(counter: &'a AtomicUsize) -> Self {
        Self(counter)
    }
}

impl Drop for LiveCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Links to the seed nodes other than this one.
fn seed_links(settings: &RouterSettings) -> Vec<Arc<PeerLink>> {
    let others = settings.seeds.iter().filter(|seed| **seed != settings.peers);
    others.map(|seed| PeerLink::new(*seed)).collect()
}

impl Router {
    pub(crate) fn new(settings: RouterSettings, format: Arc<dyn CallFormat>, feed: Arc<dyn ClusterFeed>) -> Self {
        let clock = NodeClock::start();
        let context = NodeContext {
            node: settings.node.clone(),
            domain: settings.failure_domain.clone(),
            regions: settings.regions.clone(),
            extra_call_window: settings.extra_calls.window.0,
            drained_within: settings.drained_within.0,
            cold_calls: settings.cold_calls,
            scheduling: settings.scheduling,
            mechanisms: settings.mechanisms(),
        };
        Self {
            started: clock.now(),
            clock,
            incarnation: Incarnation(wall_ms()),
            format,
            feed,
            cluster: Cluster::new(context),
            phase: watch::Sender::new(RouterPhase::Serving),
            ends_at: OnceLock::new(),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            is_accepting: AtomicBool::new(false),
            live_settings: ArcSwap::from_pointee(settings.clone()),
            seed_links: seed_links(&settings),
            newer_routes: Notify::new(),
            nodes_listed: Notify::new(),
            suspended_for: watch::Sender::new(Duration::ZERO),
            freshness: FreshnessTable::default(),
            reported_version: AtomicU64::new(0),
            source: watch::Sender::new(FeedSource::Undecided),
            feed_changed: watch::Sender::new(()),
            batch_gate: Mutex::default(),
            store_breaker: StoreBreaker::default(),
            callers: Arc::new(CallerLimits::new(settings.machine())),
            relay_publisher: RelayPublisher::default(),
            usage: UsageLedger::default(),
            shortage: ShortageWatch::default(),
            entry: EntryControl::default(),
            feeds: Default::default(),
            settings,
        }
    }

    /// Waits until the node has reached a phase of its stop.
    pub(crate) async fn wait_phase(&self, wanted: RouterPhase) {
        // The sender lives as long as the node, so the wait only ends with the phase.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Whether an optional mechanism is enabled.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.cluster.context().mechanisms.has(mechanism)
    }

    /// The entry under which this node is registered for other nodes.
    pub fn own_entry(&self) -> NodeEntry {
        NodeEntry {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peers,
            cpu_share: self.settings.core_share(),
        }
    }

    /// The topics that this deployment uses.
    pub fn topics(&self) -> impl Iterator<Item = FeedTopic> + use<> {
        let has_evacuations = self.settings.evacuated_within.is_some();
        FeedTopic::ALL.into_iter().filter(move |topic| *topic != FeedTopic::Evacuations || has_evacuations)
    }

    /// Records whether the updates of a topic are being followed.
    pub fn set_followed(&self, topic: FeedTopic, is_followed: bool) {
        let state = &self.feeds[topic as usize];
        let was_followed = state.is_followed.swap(is_followed, Ordering::Relaxed);
        if was_followed && !is_followed {
            // What the topic lacks may be as old as its last confirmation.
            let age = self.freshness.get(topic).age().unwrap_or_default();
            state.followed_until.store(self.clock.now().minus(age).0, Ordering::Relaxed);
        }
        if is_followed {
            self.set_listed(topic);
        }
        if was_followed != is_followed {
            self.feed_changed.send_replace(());
        }
    }

    /// Whether the content of a topic is known, from the store or from another node.
    pub fn is_listed(&self, topic: FeedTopic) -> bool {
        self.feeds[topic as usize].is_listed.load(Ordering::Relaxed)
    }

    /// Marks a topic as known, also when it was not read from the store.
    pub fn set_listed(&self, topic: FeedTopic) {
        self.feeds[topic as usize].is_listed.store(true, Ordering::Relaxed);
    }

    /// Whether the updates of a topic are followed and no failure has occurred since.
    pub fn is_followed(&self, topic: FeedTopic) -> bool {
        self.feeds[topic as usize].is_followed.load(Ordering::Relaxed)
    }

    /// How long the updates of a topic have been missing; zero while it is followed.
    pub fn unfollowed_for(&self, topic: FeedTopic) -> Duration {
        if self.is_followed(topic) {
            return Duration::ZERO;
        }
        let until = Moment(self.feeds[topic as usize].followed_until.load(Ordering::Relaxed));
        self.clock.now().since(until.max(self.started))
    }

    /// Applies reloaded settings. Limits on extra calls and the shutdown grace period take effect at once;
    /// ports, names and locations only after a restart.
    pub fn reload(&self, settings: RouterSettings) {
        let needs_restart = !settings.has_same_identity(&self.settings);
        tracing::info!(
            event = "settings_reloaded",
            extra_ratio = settings.extra_calls.ratio,
            extra_allowance = settings.extra_calls.allowance,
            grace = %settings.grace,
            needs_restart
        );
        self.live_settings.store(Arc::new(settings));
    }

    /// Time since this node started.
    pub fn uptime(&self) -> Duration {
        self.clock.now().since(self.started)
    }

    /// Records the route version that another node reported.
    pub fn note_version(&self, version: TableVersion) {
        if version > self.cluster.version() {
            self.reported_version.fetch_max(version.0, Ordering::Relaxed);
            self.newer_routes.notify_one();
        }
    }

    /// Whether another node has reported newer routes than those in force here.
    pub fn is_behind(&self) -> bool {
        self.reported_version.load(Ordering::Relaxed) > self.cluster.version().0
    }

    /// Forgets the route version that another node reported, after this node has read the current one from the store.
    pub(crate) fn forget_reported_version(&self) {
        self.reported_version.store(0, Ordering::Relaxed);
    }

    /// The context of an update of a topic that is applied now and is complete up to `position`.
    pub(crate) fn update_context(
        &self,
        topic: FeedTopic,
        origin: UpdateOrigin,
        position: FeedPosition,
    ) -> UpdateContext {
        let present_age = self.freshness.present_age(topic);
        UpdateContext { now: self.clock.now(), topic, origin, position, present_age }
    }

    /// When a topic's state is checked at the store.
    pub(crate) fn check_schedule(&self, topic: FeedTopic) -> CheckSchedule {
        CheckSchedule { known_within: self.settings.known_within(topic), rank: topic.check_rank() }
    }

    /// Sets where store updates come from.
    pub fn set_source(&self, source: FeedSource) {
        let before = self.source.send_replace(source);
        if before != source {
            tracing::info!(event = "feed_source", source = ?source, before = ?before);
            self.feed_changed.send_replace(());
        }
    }

    /// Admits a batch from another node that expects a reply within `within`.
    ///
    /// # Errors
    /// The batch would have to wait too long; the error is that wait.
    pub(crate) fn admit_batch(&self, shards: usize, within: Duration) -> Result<(), Duration> {
        let Some(cpu_share) = self.settings.core_share() else { return Ok(()) };
        let mut gate = self.batch_gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.admit(self.clock.now(), shards, cpu_share, within)
    }

    /// Whether the load balancer may send callers to this node.
    pub fn is_ready(&self) -> bool {
        let has_routes = self.cluster.view().table.is_some();
        self.is_listed(FeedTopic::Servers) && has_routes && *self.phase.borrow() == RouterPhase::Serving
    }

    /// The limits on this node's extra calls to one service. A restarted node does not know what it spent
    /// before, so it gets its part of the fixed allowance only after one window.
    pub fn extra_limits(&self, view: &ClusterView, service: &Service) -> ExtraLimits {
        let extra = self.live_settings.load().extra_calls;
        let is_new = !self.settings.first_start && self.uptime() < extra.window.0;
        let divided = extra.allowance * DIVIDED_ALLOWANCE;
        let allowance = if is_new { 0.0 } else { view.divide_allowance(divided, service, &self.settings.node) };
        ExtraLimits { ratio: extra.ratio * USED_RATIO, window: extra.window.0, allowance }
    }
}
