//! Which shards of a request go to other nodes, and to which.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use streamfold_model::{FailureDomain, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::fold_rule::FoldRule;
use streamfold_policy::replica::Distance;

use crate::attempt_context::AttemptContext;
use crate::batch::{BatchMode, BatchShard, ShardBatch};
use crate::gather::ShardSlot;
use crate::peers::{BatchNews, PeerNode, PendingBatch};

/// Fewer shards than this are asked for directly: a second node would not save anything.
const MIN_BATCH: usize = 2;
/// The way to another node and back, with some work at both ends, by how far it is. The
/// regions lie up to 12 ms apart one way.
const REGION_WAY: Duration = Duration::from_millis(8);
const FAR_WAY: Duration = Duration::from_millis(32);
/// How much later than expected a sign of life may come: nodes have an eighth to a half of a
/// core, and taking over from a node at work doubles the load.
const ALIVE_SLACK: Duration = Duration::from_millis(40);
/// A reply is wanted at least so late, however little time is left.
const MIN_REPLY: Duration = Duration::from_millis(5);
/// The part of a request for a service that the asking node counts for its own budget of
/// extra calls; the node that makes the first call counts the rest.
pub const ASKING_SHARE: f64 = 0.3;

/// A batch at another node; resolves to its number and what happened.
pub type PendingBatchNews = BoxFuture<'static, (usize, PendingBatch, BatchNews)>;

/// The batches of one request at other nodes.
pub type PendingBatches = FuturesUnordered<PendingBatchNews>;

/// A failure domain with its distance.
type DomainPlace = (Distance, FailureDomain);
/// Positions of shards that have a usable server in a failure domain.
type PositionsByDomain = BTreeMap<DomainPlace, BTreeSet<usize>>;

/// A batch as the asking node sees it.
pub struct BatchSlot {
    /// The node asked.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
    /// When it was sent.
    pub started: Moment,
    /// When this node asks for the shards itself if it has heard nothing.
    pub takeover_at: Option<Moment>,
    /// When the reply must be here.
    pub reply_by: Moment,
    /// Whether a reply is still expected.
    pub is_open: bool,
    /// The folded records of its shards, once they are here.
    pub records: Bytes,
    /// How the other node answers it.
    pub mode: BatchMode,
}

/// What another node is asked for.
pub struct BatchOrder {
    /// The node.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
    /// The shards.
    pub shards: Vec<BatchShard>,
    /// How they are answered.
    pub mode: BatchMode,
}

/// Waits for the next frame of a batch.
pub fn read_on(number: usize, pending: PendingBatch) -> PendingBatchNews {
    async move {
        let (pending, news) = pending.next().await;
        (number, pending, news)
    }
    .boxed()
}

fn way(distance: Distance) -> Duration {
    match distance {
        Distance::Domain | Distance::Region => REGION_WAY,
        Distance::Far => FAR_WAY,
    }
}

impl AttemptContext {
    /// The failure domains whose nodes are asked for shards, each with the shards' positions.
    /// Shards with a server near are not among them, nor domains that would get very few.
    pub fn plan_batches(&self, slots: &[ShardSlot]) -> Vec<(FailureDomain, Vec<usize>)> {
        let now = self.now();
        let mut by_domain = PositionsByDomain::new();
        for (position, slot) in slots.iter().enumerate() {
            let Some(best) = self.best_server(&slot.attempts) else { continue };
            if best.distance == Distance::Domain {
                continue;
            }
            let Some(service) = self.view.services.get(&slot.attempts.service) else { continue };
            let usable = service.servers.iter().filter(|server| !server.state().is_avoided(now));
            for server in usable.filter(|server| server.distance != Distance::Domain) {
                let domain = (server.distance, server.domain.clone());
                by_domain.entry(domain).or_default().insert(position);
            }
        }
        by_domain.retain(|(_, domain), _| self.usable_peers(domain).next().is_some());
        share_out(by_domain)
    }

    fn usable_peers<'a>(&'a self, domain: &'a FailureDomain) -> impl Iterator<Item = &'a Arc<PeerNode>> {
        let now = self.now();
        self.view.peers.iter().filter(move |peer| peer.entry.domain == *domain && peer.is_usable(now))
    }

    /// The node of a failure domain with the least work from here.
    pub fn choose_peer(&self, domain: &FailureDomain) -> Option<Arc<PeerNode>> {
        let busy = |peer: &Arc<PeerNode>| f64::from(peer.state().running()) + rand::random_range(0.0..1.0);
        let costed = self.usable_peers(domain).map(|peer| (busy(peer), peer));
        costed.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, peer)| peer.clone())
    }

    /// Counts a request for a service whose first call another node makes.
    pub fn note_delegated(&self, service: &ServiceName) {
        let Some(service) = self.view.services.get(service) else { return };
        let limits = self.router.extra_limits(&self.view);
        service.budget().note_request(self.now(), &limits, ASKING_SHARE);
    }

    /// Sends shards to another node.
    pub fn send_batch(
        &self,
        number: usize,
        order: BatchOrder,
        rule: &FoldRule,
        top: usize,
    ) -> (BatchSlot, PendingBatchNews) {
        let now = self.now();
        let BatchOrder { peer, positions, shards, mode } = order;
        let way = way(peer.distance);
        let alive_within = self.times.patience(Distance::Domain, self.route.target_latency);
        let target = self.request.started.plus(rule.target.min(rule.limit));
        let reply_within = match mode {
            BatchMode::Folded => target.since(now).saturating_sub(way).max(MIN_REPLY),
            BatchMode::Each { .. } => Duration::ZERO,
        };
        // A second try goes to one server and is not taken over.
        let max_attempts = if mode == BatchMode::Folded { self.route.max_attempts } else { 1 };
        let takeover_at = now.plus(alive_within.min(reply_within) + way + ALIVE_SLACK);
        let batch = ShardBatch {
            request: self.request.copy(),
            route: self.route.name.clone(),
            version: self.router.cluster.version(),
            shards,
            mode,
            top,
            max_attempts,
            target_us: self.route.target_latency.as_micros() as u64,
            left_us: self.request.deadline.since(now).as_micros() as u64,
            reply_within_us: reply_within.as_micros() as u64,
            alive_within_us: alive_within.as_micros() as u64,
        };
        let slot = BatchSlot {
            peer: peer.clone(),
            positions,
            started: now,
            takeover_at: (mode == BatchMode::Folded).then_some(takeover_at),
            reply_by: now.plus(reply_within + way + ALIVE_SLACK),
            is_open: true,
            records: Bytes::new(),
            mode,
        };
        let sending = PendingBatch::new(self.router.clone(), peer).send(batch);
        let pending = async move {
            let (pending, news) = sending.await;
            (number, pending, news)
        };
        (slot, pending.boxed())
    }
}

/// Gives each position to one domain: those of this node's region come first, since far ones
/// cost more time and more for each byte, and among equally near ones those with most positions.
fn share_out(mut by_domain: PositionsByDomain) -> Vec<(FailureDomain, Vec<usize>)> {
    let mut batches = Vec::new();
    loop {
        by_domain.retain(|_, positions| positions.len() >= MIN_BATCH);
        let rank = |(distance, _): &DomainPlace, positions: &BTreeSet<usize>| {
            (Reverse(*distance), positions.len(), rand::random::<u32>())
        };
        let next = by_domain.iter().max_by_key(|(place, positions)| rank(place, positions));
        let Some(place) = next.map(|(place, _)| place.clone()) else { return batches };
        let positions = by_domain.remove(&place).unwrap_or_default();
        for others in by_domain.values_mut() {
            others.retain(|position| !positions.contains(position));
        }
        batches.push((place.1, positions.into_iter().collect()));
    }
}
