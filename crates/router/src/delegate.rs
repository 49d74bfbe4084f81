//! Which shards of a request go to other nodes, and to which.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use streamfold_model::{CoreShare, FailureDomain, NodeId, ServiceName};
use streamfold_policy::fold_rule::FoldRule;
use streamfold_policy::owner::group_by_owner;
use streamfold_policy::placement::OwnerGroup;
use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

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
/// A sign of life is wanted at least so soon, so that a batch held up on its way is known in time.
const MAX_ALIVE: Duration = Duration::from_millis(150);
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

/// Shards that one node is to be asked for.
pub struct PlannedBatch {
    /// The node.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
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

/// Nodes of a failure domain as the rules of placement see them; `None` where there is none or
/// one does not tell its size.
fn find_group(peers: &[Arc<PeerNode>]) -> Option<OwnerGroup> {
    let powers: Option<Vec<CoreShare>> = peers.iter().map(|peer| peer.entry.cpu_share).collect();
    powers?.into_iter().min().map(|power| OwnerGroup { count: peers.len(), power })
}

impl AttemptContext {
    /// The batches that other nodes are asked for. Shards with a server near are among them only
    /// where stronger nodes of this failure domain answer them sooner; domains that would get very
    /// few are not.
    pub fn plan_batches(&self, slots: &[ShardSlot]) -> Vec<PlannedBatch> {
        let now = self.now();
        let mut near = Vec::new();
        let mut by_domain = PositionsByDomain::new();
        for (position, slot) in slots.iter().enumerate() {
            let Some(best) = self.best_server(&slot.attempts) else { continue };
            if best.distance == Distance::Domain {
                near.push(position);
                continue;
            }
            let Some(service) = self.view.services.get(&slot.attempts.service) else { continue };
            let usable = service.usable(now, &self.homes).filter(|server| !server.state().is_avoided(now));
            for server in usable.filter(|server| server.distance != Distance::Domain) {
                let domain = (server.distance, server.domain.clone());
                by_domain.entry(domain).or_default().insert(position);
            }
        }
        // Looked up once for each failure domain: a node may go out of use between two looks.
        let mut peers: BTreeMap<FailureDomain, Vec<Arc<PeerNode>>> = BTreeMap::new();
        by_domain.retain(|(_, domain), _| {
            let known = peers.entry(domain.clone()).or_insert_with(|| self.usable_peers(domain));
            !known.is_empty()
        });
        let mut placed = share_out(by_domain);
        let own = self.router.cluster.context().domain.clone();
        let near_peers = self.usable_peers(&own);
        if self.hands_near(&near_peers, near.len()) {
            placed.push((own.clone(), near));
        }
        peers.insert(own, near_peers);
        let split = |(domain, positions): (FailureDomain, Vec<usize>)| {
            self.split(slots, peers.remove(&domain).unwrap_or_default(), &positions)
        };
        placed.into_iter().flat_map(split).collect()
    }

    /// Whether shards near this node are handed to stronger nodes near it.
    fn hands_near(&self, near_peers: &[Arc<PeerNode>], shards: usize) -> bool {
        let (Some(group), Some(power)) = (find_group(near_peers), self.router.settings.power()) else {
            return false;
        };
        self.router.has(Mechanism::NearDelegation)
            && group.is_delegation_faster(shards, self.route.target_latency, power)
    }

    /// The batches that the shards of a failure domain make of some of its nodes. A shard goes to the
    /// same node from everywhere as far as the choice allows, since that one has the connections.
    fn split(&self, slots: &[ShardSlot], mut peers: Vec<Arc<PeerNode>>, positions: &[usize]) -> Vec<PlannedBatch> {
        let group = find_group(&peers);
        let count = group.map_or(1, |group| group.count_batches(positions.len(), self.route.target_latency));
        peers.sort_by_cached_key(|peer| (peer.state().running(), rand::random::<u32>()));
        peers.truncate(count);
        let names: Vec<&str> = peers.iter().map(|peer| peer.entry.node.as_str()).collect();
        let services = positions.iter().map(|position| slots[*position].attempts.service.as_str());
        let owned = group_by_owner(&names, services);
        let batch = |(peer, owned): (&Arc<PeerNode>, Vec<usize>)| PlannedBatch {
            peer: peer.clone(),
            positions: owned.into_iter().map(|index| positions[index]).collect(),
        };
        let batches = peers.iter().zip(owned).map(batch);
        batches.filter(|batch| !batch.positions.is_empty()).collect()
    }

    /// The nodes of a failure domain that may be given work: its owners, or others while none of
    /// them can be reached. Where the route has homes, none outside them: with the work goes the body.
    fn usable_peers(&self, domain: &FailureDomain) -> Vec<Arc<PeerNode>> {
        if !self.homes.allows(self.router.cluster.context().region(domain)) {
            return Vec::new();
        }
        let now = self.now();
        let usable = self.view.peers.iter().filter(|peer| peer.entry.domain == *domain && peer.is_usable(now));
        let (owners, others): (Vec<_>, Vec<_>) = usable.cloned().partition(|peer| peer.is_owner);
        if owners.is_empty() { others } else { owners }
    }

    /// The node of a failure domain with the least work from here.
    pub fn choose_peer(&self, domain: &FailureDomain) -> Option<Arc<PeerNode>> {
        self.choose_other_peer(domain, &[])
    }

    /// The same, of those that a request has not asked yet.
    pub fn choose_other_peer(&self, domain: &FailureDomain, asked: &[&NodeId]) -> Option<Arc<PeerNode>> {
        let mut others = self.usable_peers(domain);
        others.retain(|peer| !asked.contains(&&peer.entry.node));
        others.into_iter().min_by_key(|peer| (peer.state().running(), rand::random::<u32>()))
    }

    /// Counts a request for a service whose first call another node makes.
    pub fn note_delegated(&self, service: &ServiceName) {
        let Some(service) = self.view.services.get(service) else { return };
        let limits = self.router.extra_limits(&self.view, service);
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
        let way = way(peer.domain.distance);
        let patience = self.times.patience(Distance::Domain, self.route.target_latency);
        let alive_within = patience.min(MAX_ALIVE);
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
            priority: self.priority,
            team: self.team.as_ref().map(|team| team.name.clone()),
            shards,
            mode,
            top,
            max_attempts,
            homes: self.homes.clone(),
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
