//! One round of a query at one index version: groups the shards into pieces, sends the pieces to their owners and
//! merges the replies. Lost pieces are rerouted, and pieces of an unresponsive owner are hedged to another owner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{
    CallerPreference, Configuration, FailureDomain, IndexVersion, MissingReason, NodeId, ShardId, ShardLayout,
    UpstreamIndex,
};
use streamfold_policy::{Moment, WorkReport};
use streamfold_router::answer_memory::AnswerReservation;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::merger::AnswerMerger;
use crate::node::Node;
use crate::query::{QueryFailure, QueryJob, pin, wanted_shards};
use crate::stats;
use crate::view::{ClusterView, WorkTarget};
use crate::wire::{BatchRequest, PATH_BATCH, PieceReply, PieceRequest};

/// Maximum number of times that a piece is rerouted to another owner or upstream.
const MAX_REROUTES: u32 = 3;
/// Capacity of the channel of replies that are not merged yet.
const REPLY_BUFFER: usize = 256;

/// The shards of a query that the same upstreams hold.
struct QueryPiece {
    /// The upstreams that hold the shards, the preferred one first.
    replicas: Arc<[UpstreamIndex]>,
    shards: Vec<ShardId>,
    /// Position of the current upstream in `replicas`.
    replica: usize,
    /// Number of the current owner of that upstream, as in [`ClusterView::owner`].
    owner: usize,
    reroutes: u32,
    /// The number of sends without a reply.
    pending: u32,
    sent_at: Moment,
    is_answered: bool,
}

impl QueryPiece {
    fn upstream(&self) -> UpstreamIndex {
        self.replicas[self.replica]
    }
}

/// What a sender task reports to the round.
enum PieceEvent {
    Reply(PieceReply),
    /// The owner of the piece is unreachable, or its stream failed.
    Lost(u32),
}

/// How a round ended.
pub enum RoundOutcome {
    /// The query is answered with the merged results.
    Answer(AnswerMerger),
    /// Servers no longer hold the version; the query restarts at a newer one.
    Restart,
}

/// One round of a query at one index version.
pub struct QueryRound<'a> {
    node: &'a Arc<Node>,
    view: &'a Arc<ClusterView>,
    config: &'a Arc<Configuration>,
    job: &'a QueryJob,
    version: Option<IndexVersion>,
    pieces: Vec<QueryPiece>,
    merger: AnswerMerger,
    /// The memory of the merged results.
    memory: AnswerReservation,
    running: JoinSet<()>,
    events: (mpsc::Sender<PieceEvent>, mpsc::Receiver<PieceEvent>),
    calls: u64,
    /// When pieces of unresponsive owners are hedged. `None` after that, or while there are too few latency samples.
    owner_hedge_at: Option<Moment>,
    /// Times of the work of its pieces.
    pub work: WorkReport,
}

impl<'a> QueryRound<'a> {
    /// Plans a round. Without a version the owners only report which versions their servers hold.
    ///
    /// # Errors
    /// A requested shard is not in the layout.
    pub fn new(
        node: &'a Arc<Node>,
        view: &'a Arc<ClusterView>,
        config: &'a Arc<Configuration>,
        job: &'a QueryJob,
        version: Option<IndexVersion>,
        layout: &ShardLayout,
    ) -> Result<Self, QueryFailure> {
        let shards: Vec<ShardId> = wanted_shards(job, layout).collect();
        let pieces = plan(config, &node.settings.domain, layout, &shards)?;
        let merger = AnswerMerger::new(&shards);
        let events = mpsc::channel(REPLY_BUFFER);
        Ok(Self {
            node,
            view,
            config,
            job,
            version,
            pieces,
            merger,
            memory: AnswerReservation::new(node.callers.clone()),
            running: JoinSet::new(),
            events,
            calls: 0,
            owner_hedge_at: None,
            work: WorkReport::default(),
        })
    }

    /// Runs the round to its end.
    pub async fn run(&mut self, may_restart: bool) -> RoundOutcome {
        let all: Vec<u32> = (0..self.pieces.len() as u32).collect();
        let hedge_delay = self.node.owner_hedge_delay().filter(|_| self.version.is_some());
        self.owner_hedge_at = hedge_delay.map(|hedge_delay| self.node.clock.now().plus(hedge_delay));
        self.send(&all);
        while !self.merger.is_done() && !self.is_enough() {
            let Some(event) = self.next_event().await else { break };
            match event {
                Some(PieceEvent::Reply(reply)) => self.handle_reply(reply),
                Some(PieceEvent::Lost(piece)) => self.handle_loss(piece, MissingReason::NoOwner),
                None => self.hedge_unresponsive(),
            }
            if may_restart && self.is_restart_due() {
                return RoundOutcome::Restart;
            }
        }
        stats::count_calls(self.pieces.len() as u64, self.calls);
        let empty = AnswerMerger::new(&[]);
        RoundOutcome::Answer(std::mem::replace(&mut self.merger, empty))
    }

    /// The next event; `Some(None)` if none arrives before the next timer, `None` at the deadline or when the node gives
    /// up its work.
    async fn next_event(&mut self) -> Option<Option<PieceEvent>> {
        if !self.has_time() {
            return None;
        }
        let now = self.node.clock.now();
        let preferred = self.job.started.plus(self.job.rule.prefer_within);
        let later = [Some(preferred), self.owner_hedge_at].into_iter().flatten().filter(|moment| *moment > now);
        let wake_at = later.fold(self.job.deadline, Moment::min);
        let waited = tokio::time::timeout(wake_at.since(now), self.events.1.recv());
        let waited = self.node.unless_given_up(waited).await?;
        Some(waited.ok().flatten())
    }

    /// Hedges the pieces of unresponsive owners to their next owners. The hedges that an owner sends to servers do not
    /// help while the owner itself is stalled or unreachable.
    fn hedge_unresponsive(&mut self) {
        if self.owner_hedge_at.is_none_or(|owner_hedge_at| self.node.clock.now() < owner_hedge_at) {
            return;
        }
        self.owner_hedge_at = None;
        let numbers = 0..self.pieces.len() as u32;
        let unresponsive: Vec<u32> = numbers.filter(|number| self.may_hedge(*number)).collect();
        for number in &unresponsive {
            self.pieces[*number as usize].owner += 1;
            stats::count_owner_hedge();
        }
        self.send(&unresponsive);
    }

    fn may_hedge(&self, number: u32) -> bool {
        let piece = &self.pieces[number as usize];
        let owners = self.view.owners(piece.upstream());
        let rotation = self.job.request.0 as usize;
        let current = self.view.owner(piece.upstream(), rotation, piece.owner);
        let link = current.and_then(|target| target.link.as_ref());
        // An owner that replies to other requests is busy, and a hedge would only add load.
        let is_unresponsive = link.is_some_and(|link| link.has_no_reply_since(piece.sent_at));
        let is_unresponsive = is_unresponsive && piece.pending > 0 && !piece.is_answered;
        is_unresponsive && piece.owner + 1 < owners.len() && self.node.spend_owner_hedge()
    }

    fn has_time(&self) -> bool {
        self.node.clock.now() < self.job.deadline && !self.node.is_giving_up()
    }

    fn is_enough(&self) -> bool {
        let elapsed = self.node.clock.now().since(self.job.started);
        self.version.is_some() && self.job.rule.is_enough(elapsed, self.merger.answered(), self.merger.len())
    }

    /// Whether the version is gone at more shards than the caller tolerates, and a newer version can be pinned.
    fn is_restart_due(&self) -> bool {
        let gone = self.merger.count_missing(MissingReason::VersionGone);
        if gone == 0 {
            return false;
        }
        let allowed = match self.job.rule.prefer {
            CallerPreference::Coverage => 0.0,
            CallerPreference::Latency => 1.0 - self.job.rule.wanted_coverage,
        };
        let next = pin(self.view, self.job).map(|(version, _)| version);
        gone as f64 > allowed * self.merger.len() as f64 && next > self.version
    }

    fn handle_reply(&mut self, reply: PieceReply) {
        let Some(piece) = self.pieces.get(reply.piece as usize) else { return };
        let upstream = piece.upstream();
        if let Some(held) = reply.held {
            self.view.versions.record(&self.job.index.name, upstream, held);
        }
        self.calls += u64::from(reply.calls);
        self.work.waited += Duration::from_micros(reply.waited_us);
        self.work.served += Duration::from_micros(reply.served_us);
        match reply.result {
            Ok(results) => self.merge_results(reply.piece, reply.version, results),
            Err(reason) => self.handle_loss(reply.piece, reason),
        }
    }

    /// Merges results. Results of another version than the pinned one are dropped.
    fn merge_results(&mut self, piece: u32, version: Option<IndexVersion>, results: Vec<(ShardId, Vec<u8>)>) {
        let state = &mut self.pieces[piece as usize];
        state.pending = state.pending.saturating_sub(1);
        let wanted = &self.pieces[piece as usize].shards;
        if version.is_none() || version != self.version {
            stats::count_other_version();
            return self.mark_missing(piece, MissingReason::BadAnswer);
        }
        for (shard, result) in results {
            if wanted.binary_search(&shard).is_ok() {
                self.memory.count(result.len());
                self.merger.add(shard, result);
            }
        }
        self.pieces[piece as usize].is_answered = true;
        self.mark_missing(piece, MissingReason::BadAnswer);
    }

    /// Marks the shards of a piece that are not answered as missing.
    fn mark_missing(&mut self, piece: u32, reason: MissingReason) {
        for shard in &self.pieces[piece as usize].shards {
            self.merger.mark_missing(*shard, reason);
        }
    }

    /// Reroutes a lost piece if time and another owner or upstream remain; otherwise marks its shards as missing.
    fn handle_loss(&mut self, piece: u32, reason: MissingReason) {
        let state = &mut self.pieces[piece as usize];
        state.pending = state.pending.saturating_sub(1);
        if state.pending > 0 || state.is_answered {
            return;
        }
        if self.has_time() && self.version.is_some() && self.reroute(piece, reason) {
            return self.send(&[piece]);
        }
        self.mark_missing(piece, reason);
    }

    /// Selects the next owner of a piece if its owner was lost, or else its next upstream where that can help; false if
    /// there is none.
    fn reroute(&mut self, number: u32, reason: MissingReason) -> bool {
        let piece = &mut self.pieces[number as usize];
        piece.reroutes += 1;
        if piece.reroutes > MAX_REROUTES {
            return false;
        }
        let owners = self.view.owners(piece.upstream()).len();
        if reason == MissingReason::NoOwner && piece.owner + 1 < owners {
            piece.owner += 1;
            return true;
        }
        let may_use_replica =
            !matches!(reason, MissingReason::VersionGone | MissingReason::Late | MissingReason::Queued);
        if may_use_replica && piece.replica + 1 < piece.replicas.len() {
            piece.replica += 1;
            piece.owner = 0;
            return true;
        }
        false
    }

    /// Sends pieces, in one batch per owner.
    fn send(&mut self, numbers: &[u32]) {
        let mut batches: BTreeMap<NodeId, (WorkTarget, Vec<PieceRequest>)> = BTreeMap::new();
        let mut unowned = Vec::new();
        let rotation = self.job.request.0 as usize;
        let now = self.node.clock.now();
        for number in numbers {
            let piece = &self.pieces[*number as usize];
            let shards = piece.shards.clone();
            let Some(target) = self.view.owner(piece.upstream(), rotation, piece.owner) else {
                unowned.push(*number);
                continue;
            };
            let upstream = self.config.upstream(piece.upstream()).name.clone();
            let piece = &mut self.pieces[*number as usize];
            piece.pending += 1;
            piece.sent_at = now;
            let request = PieceRequest { piece: *number, upstream, shards };
            let batch = batches.entry(target.node.clone()).or_insert_with(|| (target.clone(), Vec::new()));
            batch.1.push(request);
        }
        for (target, pieces) in batches.into_values() {
            self.send_batch(target, pieces);
        }
        for number in unowned {
            self.handle_loss(number, MissingReason::NoOwner);
        }
    }

    fn send_batch(&mut self, target: WorkTarget, pieces: Vec<PieceRequest>) {
        let remaining = self.job.deadline.since(self.node.clock.now());
        let batch = BatchRequest {
            request: self.job.request,
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            index: self.job.index.name.clone(),
            version: self.version,
            repeatable: true,
            key: None,
            body: self.job.body.to_vec(),
            pieces,
        };
        let events = self.events.0.clone();
        let node = self.node.clone();
        let sent_at = node.clock.now();
        match target.link {
            None => self.running.spawn(run_local(self.node.clone(), self.config.clone(), batch, events)),
            Some(link) => self.running.spawn(async move {
                let numbers: Vec<u32> = batch.pieces.iter().map(|piece| piece.piece).collect();
                let mut pending = numbers;
                if let Ok(mut reader) = link.stream(PATH_BATCH, &batch).await {
                    while let Ok(Some(reply)) = reader.next::<PieceReply>().await {
                        if !remove_pending(&mut pending, reply.piece) {
                            // The owner replied twice or to a piece that was not sent. Its remaining pieces count as
                            // lost.
                            stats::count_bad_peer();
                            break;
                        }
                        let now = node.clock.now();
                        node.record_owner_reply(now.since(sent_at));
                        link.record_reply(now);
                        // The round aborts this task when it is dropped, so the receiver exists.
                        let _ = events.send(PieceEvent::Reply(reply)).await;
                    }
                }
                for number in pending {
                    let _ = events.send(PieceEvent::Lost(number)).await;
                }
            }),
        };
    }
}

/// Removes a piece from the pending ones of a batch; false if it is not pending, because it had a reply before or is of
/// another batch.
pub fn remove_pending(pending: &mut Vec<u32>, piece: u32) -> bool {
    let position = pending.iter().position(|number| *number == piece);
    position.map(|position| pending.swap_remove(position)).is_some()
}

async fn run_local(node: Arc<Node>, config: Arc<Configuration>, batch: BatchRequest, events: mpsc::Sender<PieceEvent>) {
    let (sender, mut replies) = mpsc::channel(REPLY_BUFFER);
    let owners = node.settings.owners;
    let run = node.pools.run_batch(&config, owners, batch, sender);
    let forward = async {
        while let Some(reply) = replies.recv().await {
            // The round aborts this task when it is dropped, so the receiver exists.
            let _ = events.send(PieceEvent::Reply(reply)).await;
        }
    };
    tokio::join!(run, forward);
}

/// Groups the requested shards by the upstreams that hold them. The upstream in the own failure domain comes first.
fn plan(
    config: &Configuration,
    domain: &FailureDomain,
    layout: &ShardLayout,
    shards: &[ShardId],
) -> Result<Vec<QueryPiece>, QueryFailure> {
    let mut pieces: Vec<QueryPiece> = Vec::new();
    let mut by_replicas: BTreeMap<&[UpstreamIndex], usize> = BTreeMap::new();
    for shard in shards {
        let replicas = layout.shards.get(shard.0 as usize);
        let replicas = replicas.ok_or(QueryFailure::NoSuchShard(*shard, layout.shards.len()))?;
        let position = *by_replicas.entry(replicas).or_insert_with(|| {
            let mut ordered = replicas.to_vec();
            ordered.sort_by_key(|upstream| config.upstream(*upstream).domain != *domain);
            let replicas: Arc<[UpstreamIndex]> = ordered.into();
            pieces.push(QueryPiece {
                replicas,
                shards: Vec::new(),
                replica: 0,
                owner: 0,
                reroutes: 0,
                pending: 0,
                sent_at: Moment::default(),
                is_answered: false,
            });
            pieces.len() - 1
        });
        pieces[position].shards.push(*shard);
    }
    Ok(pieces)
}
