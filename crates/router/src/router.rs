//! One router: what its parts share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use streamfold_link::PeerLink;
use streamfold_model::{Incarnation, NodeEntry, TableVersion};
use streamfold_policy::batch_gate::BatchGate;
use streamfold_policy::extra_budget::ExtraLimits;
use streamfold_policy::{Mechanism, Moment};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::clock::{NodeClock, wall_ms};
use crate::cluster::Cluster;
use crate::cluster_place::ClusterPlace;
use crate::cluster_view::{ClusterView, Service};
use crate::entry::EntryControl;
use crate::interface::{CallFormat, ClusterFeed, FeedPosition, FeedTopic};
use crate::relay::FeedSource;
use crate::relay_service::RelayPublisher;
use crate::settings::RouterSettings;
use crate::shortage::ShortageWatch;
use crate::store_turn::StoreTurn;
use crate::usage::UsageLedger;

/// The share of the fixed allowance that the nodes divide; the rest is for moments in which
/// they count themselves differently.
const DIVIDED_ALLOWANCE: f64 = 0.8;
/// The share of the ratio that is used: calls are counted when they leave, and some arrive
/// in a later window.
const USED_RATIO: f64 = 0.9;
/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterPhase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and serves.
    LameDuck,
    /// It closes callers' connections as their requests end.
    Closing,
}

/// One router and everything its parts share.
pub struct Router {
    /// Its settings as it started.
    pub settings: RouterSettings,
    /// Its settings as last read; only what may change while it runs is taken from here.
    pub(crate) live: ArcSwap<RouterSettings>,
    /// Its clock.
    pub clock: NodeClock,
    /// Its run.
    pub incarnation: Incarnation,
    /// How requests and answers are written.
    pub format: Arc<dyn CallFormat>,
    /// Where routes, servers and nodes are learnt from.
    pub feed: Arc<dyn ClusterFeed>,
    /// What is known of them.
    pub cluster: Cluster,
    /// How far a stop has come.
    pub phase: watch::Sender<RouterPhase>,
    /// Requests in flight.
    pub requests: AtomicUsize,
    /// Callers' connections.
    pub connections: AtomicUsize,
    /// Links to the nodes that the settings name.
    pub seed_links: Vec<Arc<PeerLink>>,
    /// Told when another node has newer routes.
    pub newer_routes: Notify,
    /// How long the machine was suspended when this node last looked; what it knew before is old then.
    pub(crate) woken: watch::Sender<Duration>,
    /// The position in the store's history that any of its answers told last.
    pub(crate) told_position: watch::Sender<FeedPosition>,
    /// Told when nodes were listed, so that links to them are made.
    pub nodes_learnt: Notify,
    /// The newest version of the routes that another node was heard to have.
    heard_version: AtomicU64,
    /// Where the news of the store come from.
    pub source: watch::Sender<FeedSource>,
    /// Told when a topic begins or ceases to be followed, or the source changes.
    pub feed_changed: watch::Sender<()>,
    /// Whether batches of other nodes are taken.
    pub(crate) batch_gate: Mutex<BatchGate>,
    /// The turn of calls to the store while it refuses them.
    pub(crate) store_turn: StoreTurn,
    /// Passes news of the store to other nodes.
    pub relay_publisher: RelayPublisher,
    /// Credit of teams whose requests are limited.
    pub(crate) usage: UsageLedger,
    /// Services with few good servers.
    pub(crate) shortage: ShortageWatch,
    /// Turns requests away that cannot be answered in time, or must give way.
    pub(crate) entry: EntryControl,
    feeds: [FeedState; FeedTopic::ALL.len()],
    started: Moment,
}

/// Whether a topic is known and followed without a failure since.
#[derive(Default)]
struct FeedState {
    is_listed: AtomicBool,
    is_followed: AtomicBool,
    /// When it was last followed, in microseconds; it counts while it is not.
    followed_until: AtomicU64,
}

/// A router with its ports open and its tasks running.
pub struct RunningRouter {
    /// The router.
    pub router: Arc<Router>,
    pub(crate) tasks: JoinSet<()>,
}

/// Counts one thing for as long as it lives.
pub struct LiveCount<'a>(&'a AtomicUsize);

impl<'a> LiveCount<'a> {
    /// Counts one more.
    pub fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }

    /// Stands for one that was counted before.
    pub fn of_counted(counter: &'a AtomicUsize) -> Self {
        Self(counter)
    }
}

impl Drop for LiveCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Links to the nodes that the settings name, without this one.
fn seed_links(settings: &RouterSettings) -> Vec<Arc<PeerLink>> {
    let others = settings.seeds.iter().filter(|seed| **seed != settings.peers);
    others.map(|seed| PeerLink::new(*seed)).collect()
}

impl Router {
    pub(crate) fn new(settings: RouterSettings, format: Arc<dyn CallFormat>, feed: Arc<dyn ClusterFeed>) -> Self {
        let clock = NodeClock::start();
        let place = ClusterPlace {
            node: settings.node.clone(),
            domain: settings.failure_domain.clone(),
            regions: settings.regions.clone(),
            spent_for: settings.extra_calls.window.0,
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
            cluster: Cluster::new(place),
            phase: watch::Sender::new(RouterPhase::Serving),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            live: ArcSwap::from_pointee(settings.clone()),
            seed_links: seed_links(&settings),
            newer_routes: Notify::new(),
            nodes_learnt: Notify::new(),
            woken: watch::Sender::new(Duration::ZERO),
            told_position: watch::Sender::new(FeedPosition::default()),
            heard_version: AtomicU64::new(0),
            source: watch::Sender::new(FeedSource::Undecided),
            feed_changed: watch::Sender::new(()),
            batch_gate: Mutex::default(),
            store_turn: StoreTurn::default(),
            relay_publisher: RelayPublisher::default(),
            usage: UsageLedger::default(),
            shortage: ShortageWatch::default(),
            entry: EntryControl::default(),
            feeds: Default::default(),
            settings,
        }
    }

    /// Whether a mechanism of decision is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.cluster.context().mechanisms.has(mechanism)
    }

    /// This node's entry for the others.
    pub fn own_entry(&self) -> NodeEntry {
        NodeEntry {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            domain: self.settings.failure_domain.clone(),
            peer_address: self.settings.peers,
            cpu_share: self.settings.power(),
        }
    }

    /// The topics that this deployment has.
    pub fn topics(&self) -> impl Iterator<Item = FeedTopic> + use<> {
        let has_evacuations = self.settings.evacuated_within.is_some();
        FeedTopic::ALL.into_iter().filter(move |topic| *topic != FeedTopic::Evacuations || has_evacuations)
    }

    /// Notes whether a topic is followed.
    pub fn set_followed(&self, topic: FeedTopic, is_followed: bool) {
        let state = &self.feeds[topic as usize];
        let was_followed = state.is_followed.swap(is_followed, Ordering::Relaxed);
        if was_followed && !is_followed {
            state.followed_until.store(self.clock.now().0, Ordering::Relaxed);
        }
        if is_followed {
            self.set_listed(topic);
        }
        if was_followed != is_followed {
            self.feed_changed.send_replace(());
        }
    }

    /// Whether anything of a topic is known.
    pub fn is_listed(&self, topic: FeedTopic) -> bool {
        self.feeds[topic as usize].is_listed.load(Ordering::Relaxed)
    }

    /// Notes that a topic is known, though not from the store.
    pub fn set_listed(&self, topic: FeedTopic) {
        self.feeds[topic as usize].is_listed.store(true, Ordering::Relaxed);
    }

    /// Whether a topic is followed without a failure since.
    pub fn is_followed(&self, topic: FeedTopic) -> bool {
        self.feeds[topic as usize].is_followed.load(Ordering::Relaxed)
    }

    /// How long a topic has not been followed.
    pub fn unfollowed_for(&self, topic: FeedTopic) -> Duration {
        if self.is_followed(topic) {
            return Duration::ZERO;
        }
        let until = Moment(self.feeds[topic as usize].followed_until.load(Ordering::Relaxed));
        self.clock.now().since(until.max(self.started))
    }

    /// Takes settings that were read anew. The bounds on extra calls and the time for a stop
    /// change at once; ports, names and places only with a restart.
    pub fn reload(&self, settings: RouterSettings) {
        let needs_restart = !settings.has_same_place(&self.settings);
        tracing::info!(
            event = "settings_reloaded",
            extra_ratio = settings.extra_calls.ratio,
            extra_allowance = settings.extra_calls.allowance,
            grace = %settings.grace,
            needs_restart
        );
        self.live.store(Arc::new(settings));
    }

    /// How long it has run.
    pub fn uptime(&self) -> Duration {
        self.clock.now().since(self.started)
    }

    /// Notes the version of the routes at another node.
    pub fn note_version(&self, version: TableVersion) {
        if version > self.cluster.version() {
            self.heard_version.fetch_max(version.0, Ordering::Relaxed);
            self.newer_routes.notify_one();
        }
    }

    /// Notes the position that an answer of the store told.
    pub(crate) fn note_told(&self, position: FeedPosition) {
        self.told_position.send_if_modified(|told| {
            let is_newer = position > *told;
            *told = position.max(*told);
            is_newer
        });
    }

    /// Whether another node was heard to have newer routes than are in force here.
    pub fn is_behind(&self) -> bool {
        self.heard_version.load(Ordering::Relaxed) > self.cluster.version().0
    }

    /// Notes where the news of the store come from.
    pub fn set_source(&self, source: FeedSource) {
        let before = self.source.send_replace(source);
        if before != source {
            tracing::info!(event = "feed_source", source = ?source, before = ?before);
            self.feed_changed.send_replace(());
        }
    }

    /// Takes a batch of another node whose reply is wanted within a time.
    ///
    /// # Errors
    /// How long it would wait, where that is too long.
    pub(crate) fn admit_batch(&self, shards: usize, within: Duration) -> Result<(), Duration> {
        let Some(power) = self.settings.power() else { return Ok(()) };
        let mut gate = self.batch_gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.admit(self.clock.now(), shards, power, within)
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        let has_routes = self.cluster.view().table.is_some();
        self.is_listed(FeedTopic::Servers) && has_routes && *self.phase.borrow() == RouterPhase::Serving
    }

    /// The bounds on this node's extra calls to one service. A node that has started anew does
    /// not know what it spent before, so it waits a window for its part of the allowance.
    pub fn extra_limits(&self, view: &ClusterView, service: &Service) -> ExtraLimits {
        let extra = self.live.load().extra_calls;
        let is_new = !self.settings.first_start && self.uptime() < extra.window.0;
        let divided = extra.allowance * DIVIDED_ALLOWANCE;
        let allowance = if is_new { 0.0 } else { view.divide_allowance(divided, service, &self.settings.node) };
        ExtraLimits { ratio: extra.ratio * USED_RATIO, window: extra.window.0, allowance }
    }
}
