//! Delegation: decides which shards of a request are sent to other nodes, and to which nodes.

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
use crate::peers::{BatchEvent, PeerNode, PendingBatch};

/// Fewer shards than this are queried directly, since delegating them would save nothing.
const MIN_BATCH_SHARDS: usize = 2;
/// The round-trip time to another node, including some work at both ends, within a region and between regions. The
/// regions are up to 12 ms apart one way.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(8);
const FAR_ROUND_TRIP: Duration = Duration::from_millis(32);
/// How much later than expected a progress frame may arrive. Nodes have only an eighth to a half of a core, and taking
/// over from a node that is still working doubles the load.
const PROGRESS_SLACK: Duration = Duration::from_millis(40);
/// The longest wait for a progress frame, so that a batch delayed in transit is noticed in time.
const MAX_PROGRESS_WAIT: Duration = Duration::from_millis(150);
/// The shortest time that a node is given for its reply, however little time is left.
const MIN_REPLY_TIME: Duration = Duration::from_millis(5);
/// The fraction of a delegated request that the delegating node counts towards its own budget of extra calls; the node
/// that makes the first call counts the rest.
pub const DELEGATOR_SHARE: f64 = 0.3;

/// A batch at another node. Resolves to its number, the batch itself and its next event.
pub type PendingBatchEvent = BoxFuture<'static, (usize, PendingBatch, BatchEvent)>;

/// The batches of one request that are pending at other nodes.
pub type PendingBatches = FuturesUnordered<PendingBatchEvent>;

/// A failure domain with its distance, by which it is ranked.
type RankedDomain = (Distance, FailureDomain);
/// The positions of the shards that have a usable server in each failure domain.
type PositionsByDomain = BTreeMap<RankedDomain, BTreeSet<usize>>;

/// The state of a batch at the delegating node.
pub struct BatchSlot {
    /// The node that the batch was sent to.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
    /// When the batch was sent.
    pub started: Moment,
    /// When this node takes over the shards if it has received no frame by then.
    pub takeover_at: Option<Moment>,
    /// When the reply must have arrived.
    pub reply_by: Moment,
    /// Whether a reply is still expected.
    pub is_open: bool,
    /// The folded records of its shards, once received.
    pub records: Bytes,
    /// How the other node answers the batch.
    pub mode: BatchMode,
}

/// Shards that are to be delegated to one node.
pub struct PlannedBatch {
    /// The node.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
}

/// A batch to be sent to another node.
pub struct BatchRequest {
    /// The node.
    pub peer: Arc<PeerNode>,
    /// The shards' positions in the request.
    pub positions: Vec<usize>,
    /// The shards.
    pub shards: Vec<BatchShard>,
    /// How the node answers them.
    pub mode: BatchMode,
}

/// Waits for the next frame of a batch.
pub fn read_next_frame(number: usize, pending: PendingBatch) -> PendingBatchEvent {
    async move {
        let (pending, event) = pending.next_frame().await;
        (number, pending, event)
    }
    .boxed()
}

fn round_trip(distance: Distance) -> Duration {
    match distance {
        Distance::Domain | Distance::Region => REGION_ROUND_TRIP,
        Distance::Far => FAR_ROUND_TRIP,
    }
}

/// The size of a group of nodes for the placement rules; `None` if there are no nodes or one does not report its CPU
/// share.
fn owner_group(peers: &[Arc<PeerNode>]) -> Option<OwnerGroup> {
    let cpu_shares: Option<Vec<CoreShare>> = peers.iter().map(|peer| peer.entry.cpu_share).collect();
    cpu_shares?.into_iter().min().map(|cpu_share| OwnerGroup { count: peers.len(), cpu_share })
}

impl AttemptContext {
    /// Plans the batches to delegate to other nodes. Shards with a near server are delegated only if stronger nodes of
    /// this failure domain answer them sooner. Domains that would get very few shards get none.
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
            let usable = service.usable(now, &self.allowed_regions).filter(|server| !server.state().is_avoided(now));
            for server in usable.filter(|server| server.distance != Distance::Domain) {
                let domain = (server.distance, server.domain.clone());
                by_domain.entry(domain).or_default().insert(position);
            }
        }
        // Looked up once per failure domain, since a node may become unusable between two look-ups.
        let mut peers: BTreeMap<FailureDomain, Vec<Arc<PeerNode>>> = BTreeMap::new();
        by_domain.retain(|(_, domain), _| {
            let known = peers.entry(domain.clone()).or_insert_with(|| self.usable_peers(domain));
            !known.is_empty()
        });
        let mut assigned = assign_domains(by_domain);
        let own = self.router.cluster.context().domain.clone();
        let near_peers = self.usable_peers(&own);
        if self.is_near_delegated(&near_peers, near.len()) {
            assigned.push((own.clone(), near));
        }
        peers.insert(own, near_peers);
        let split = |(domain, positions): (FailureDomain, Vec<usize>)| {
            self.split(slots, peers.remove(&domain).unwrap_or_default(), &positions)
        };
        assigned.into_iter().flat_map(split).collect()
    }

    /// Whether shards near this node are delegated to stronger nodes near it.
    fn is_near_delegated(&self, near_peers: &[Arc<PeerNode>], shards: usize) -> bool {
        let (Some(group), Some(cpu_share)) = (owner_group(near_peers), self.router.settings.core_share()) else {
            return false;
        };
        self.router.has(Mechanism::NearDelegation)
            && group.is_delegation_faster(shards, self.route.target_latency, cpu_share)
    }

    /// Splits the shards of a failure domain into batches for some of its nodes. As far as possible, every requesting
    /// node sends a shard to the same node, since that one already has the connections to its servers.
    fn split(&self, slots: &[ShardSlot], mut peers: Vec<Arc<PeerNode>>, positions: &[usize]) -> Vec<PlannedBatch> {
        let group = owner_group(&peers);
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

    /// The nodes of a failure domain that work may be delegated to: its owners, or other nodes while no owner can be
    /// reached. Nodes outside the allowed regions are never used, since the request body is sent along.
    fn usable_peers(&self, domain: &FailureDomain) -> Vec<Arc<PeerNode>> {
        if !self.allowed_regions.allows(self.router.cluster.context().region(domain)) {
            return Vec::new();
        }
        let now = self.now();
        let usable = self.view.peers.iter().filter(|peer| peer.entry.domain == *domain && peer.is_usable(now));
        let (owners, others): (Vec<_>, Vec<_>) = usable.cloned().partition(|peer| peer.is_owner);
        if owners.is_empty() { others } else { owners }
    }

    /// The node of a failure domain that has the least work running for this node.
    pub fn choose_peer(&self, domain: &FailureDomain) -> Option<Arc<PeerNode>> {
        self.choose_other_peer(domain, &[])
    }

    /// Like [`Self::choose_peer`], but skips the nodes that the request was already sent to.
    pub fn choose_other_peer(&self, domain: &FailureDomain, asked: &[&NodeId]) -> Option<Arc<PeerNode>> {
        let mut others = self.usable_peers(domain);
        others.retain(|peer| !asked.contains(&&peer.entry.node));
        others.into_iter().min_by_key(|peer| (peer.state().running(), rand::random::<u32>()))
    }

    /// Counts a delegated request, whose first call another node makes, in the budget of its service.
    pub fn note_delegated(&self, service: &ServiceName) {
        let Some(service) = self.view.services.get(service) else { return };
        let limits = self.router.extra_limits(&self.view, service);
        service.budget().note_request(self.now(), &limits, DELEGATOR_SHARE);
    }

    /// Sends a batch of shards to another node.
    pub fn send_batch(
        &self,
        number: usize,
        request: BatchRequest,
        rule: &FoldRule,
        top: usize,
    ) -> (BatchSlot, PendingBatchEvent) {
        let now = self.now();
        let BatchRequest { peer, positions, shards, mode } = request;
        let round_trip = round_trip(peer.domain.distance);
        let hedge_delay = self.times.hedge_delay(Distance::Domain, self.route.target_latency);
        let progress_within = hedge_delay.min(MAX_PROGRESS_WAIT);
        let target = self.request.started.plus(rule.target.min(rule.limit));
        let reply_within = match mode {
            BatchMode::Folded => target.since(now).saturating_sub(round_trip).max(MIN_REPLY_TIME),
            BatchMode::Each { .. } => Duration::ZERO,
        };
        // A hedge goes to one server and is not taken over.
        let max_attempts = if mode == BatchMode::Folded { self.route.max_attempts } else { 1 };
        let takeover_at = now.plus(progress_within.min(reply_within) + round_trip + PROGRESS_SLACK);
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
            allowed_regions: self.allowed_regions.clone(),
            target_us: self.route.target_latency.as_micros() as u64,
            left_us: self.request.deadline.since(now).as_micros() as u64,
            reply_within_us: reply_within.as_micros() as u64,
            progress_within_us: progress_within.as_micros() as u64,
        };
        let slot = BatchSlot {
            peer: peer.clone(),
            positions,
            started: now,
            takeover_at: (mode == BatchMode::Folded).then_some(takeover_at),
            reply_by: now.plus(reply_within + round_trip + PROGRESS_SLACK),
            is_open: true,
            records: Bytes::new(),
            mode,
        };
        let sending = PendingBatch::new(self.router.clone(), peer).send(batch);
        let pending = async move {
            let (pending, event) = sending.await;
            (number, pending, event)
        };
        (slot, pending.boxed())
    }
}

/// Assigns each position to one failure domain. Domains in this node's region come first, since far ones cost more time
/// and more per byte; among equally near ones, those with the most positions come first.
fn assign_domains(mut by_domain: PositionsByDomain) -> Vec<(FailureDomain, Vec<usize>)> {
    let mut batches = Vec::new();
    loop {
        by_domain.retain(|_, positions| positions.len() >= MIN_BATCH_SHARDS);
        let rank = |(distance, _): &RankedDomain, positions: &BTreeSet<usize>| {
            (Reverse(*distance), positions.len(), rand::random::<u32>())
        };
        let next = by_domain.iter().max_by_key(|(domain, positions)| rank(domain, positions));
        let Some(domain) = next.map(|(domain, _)| domain.clone()) else { return batches };
        let positions = by_domain.remove(&domain).unwrap_or_default();
        for others in by_domain.values_mut() {
            others.retain(|position| !positions.contains(position));
        }
        batches.push((domain.1, positions.into_iter().collect()));
    }
}
