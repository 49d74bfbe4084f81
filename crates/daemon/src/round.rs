//! One round of a query at one index version: plan pieces, send them to owners, fold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{
    CallerPreference, Configuration, FailureDomain, IndexVersion, MissingReason, NodeId, ShardId, ShardLayout,
    UpstreamIndex,
};
use streamfold_policy::{Moment, WorkReport};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::merger::AnswerMerger;
use crate::node::Node;
use crate::query::{QueryFailure, QueryJob, pin, wanted_shards};
use crate::stats;
use crate::view::{ClusterView, WorkTarget};
use crate::wire::{BatchRequest, PATH_BATCH, PieceReply, PieceRequest};

/// How often one piece is sent to another owner or upstream.
const MAX_SENDS: u32 = 3;
/// Replies that may wait to be folded.
const REPLY_BUFFER: usize = 256;

/// The shards of a query that go to the same upstreams.
struct QueryPiece {
    holders: Arc<[UpstreamIndex]>,
    shards: Vec<ShardId>,
    holder: usize,
    owner: usize,
    sends: u32,
    /// Sends whose reply is still to come.
    open: u32,
    sent: Moment,
    is_answered: bool,
}

impl QueryPiece {
    fn upstream(&self) -> UpstreamIndex {
        self.holders[self.holder]
    }
}

/// What a sender task tells the fold.
enum PieceEvent {
    Reply(PieceReply),
    /// The owner could not be reached, or its stream broke.
    Lost(u32),
}

/// How a round ended.
pub enum RoundOutcome {
    /// With what was folded.
    Answer(AnswerMerger),
    /// The version is gone; a newer one serves the caller better.
    Restart,
}

/// One try of a query at one index version.
pub struct QueryRound<'a> {
    node: &'a Arc<Node>,
    view: &'a Arc<ClusterView>,
    config: &'a Arc<Configuration>,
    ask: &'a QueryJob,
    version: Option<IndexVersion>,
    pieces: Vec<QueryPiece>,
    fold: AnswerMerger,
    running: JoinSet<()>,
    events: (mpsc::Sender<PieceEvent>, mpsc::Receiver<PieceEvent>),
    calls: u64,
    /// When owners that have not replied are taken to be silent; none after that, or before
    /// it is known how long they take.
    owner_hedge_at: Option<Moment>,
    /// How the work of its pieces went.
    pub work: WorkReport,
}

impl<'a> QueryRound<'a> {
    /// Plans a round; without a version it only asks what is held.
    ///
    /// # Errors
    /// A wanted shard is not in the layout.
    pub fn new(
        node: &'a Arc<Node>,
        view: &'a Arc<ClusterView>,
        config: &'a Arc<Configuration>,
        ask: &'a QueryJob,
        version: Option<IndexVersion>,
        layout: &ShardLayout,
    ) -> Result<Self, QueryFailure> {
        let shards: Vec<ShardId> = wanted_shards(ask, layout).collect();
        let pieces = plan(config, &node.settings.domain, layout, &shards)?;
        let fold = AnswerMerger::new(&shards);
        let events = mpsc::channel(REPLY_BUFFER);
        Ok(Self {
            node,
            view,
            config,
            ask,
            version,
            pieces,
            fold,
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
        let patience = self.node.owner_hedge_delay().filter(|_| self.version.is_some());
        self.owner_hedge_at = patience.map(|patience| self.node.clock.now().plus(patience));
        self.send(&all);
        while !self.fold.is_done() && !self.is_enough() {
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
        RoundOutcome::Answer(std::mem::replace(&mut self.fold, empty))
    }

    /// The next event; `Some(None)` when it is time to look again, `None` at the deadline.
    async fn next_event(&mut self) -> Option<Option<PieceEvent>> {
        let now = self.node.clock.now();
        if now >= self.ask.deadline {
            return None;
        }
        let preferred = self.ask.started.plus(self.ask.rule.prefer_within);
        let later = [Some(preferred), self.owner_hedge_at].into_iter().flatten().filter(|moment| *moment > now);
        let wake = later.fold(self.ask.deadline, Moment::min);
        let waited = tokio::time::timeout(wake.since(now), self.events.1.recv()).await;
        Some(waited.ok().flatten())
    }

    /// Sends what a silent owner was asked for to another owner too. An owner's own hedges
    /// cannot help while the owner itself is frozen or cut off.
    fn hedge_unresponsive(&mut self) {
        if self.owner_hedge_at.is_none_or(|owner_hedge_at| self.node.clock.now() < owner_hedge_at) {
            return;
        }
        self.owner_hedge_at = None;
        let numbers = 0..self.pieces.len() as u32;
        let silent: Vec<u32> = numbers.filter(|number| self.may_hedge(*number)).collect();
        for number in &silent {
            self.pieces[*number as usize].owner += 1;
            stats::count_owner_hedge();
        }
        self.send(&silent);
    }

    fn may_hedge(&self, number: u32) -> bool {
        let piece = &self.pieces[number as usize];
        let owners = self.view.owners(piece.upstream());
        let turn = self.ask.request.0 as usize;
        let asked = self.view.owner(piece.upstream(), turn, piece.owner);
        let link = asked.and_then(|target| target.link.as_ref());
        // An owner that replies to others is busy, not silent: more load would not help it.
        let is_silent = link.is_some_and(|link| link.has_no_reply_since(piece.sent));
        let is_silent = is_silent && piece.open > 0 && !piece.is_answered;
        is_silent && piece.owner + 1 < owners.len() && self.node.spend_owner_hedge()
    }

    fn is_enough(&self) -> bool {
        let elapsed = self.node.clock.now().since(self.ask.started);
        self.version.is_some() && self.ask.rule.is_enough(elapsed, self.fold.answered(), self.fold.len())
    }

    /// Whether so many shards lost the version that a newer one serves the caller better.
    fn is_restart_due(&self) -> bool {
        let gone = self.fold.count_missing(MissingReason::VersionGone);
        if gone == 0 {
            return false;
        }
        let allowed = match self.ask.rule.prefer {
            CallerPreference::Coverage => 0.0,
            CallerPreference::Latency => 1.0 - self.ask.rule.wanted_coverage,
        };
        let next = pin(self.view, self.ask).map(|(version, _)| version);
        gone as f64 > allowed * self.fold.len() as f64 && next > self.version
    }

    fn handle_reply(&mut self, reply: PieceReply) {
        let Some(piece) = self.pieces.get(reply.piece as usize) else { return };
        let upstream = piece.upstream();
        if let Some(held) = reply.held {
            self.view.versions.learn(&self.ask.index.name, upstream, held);
        }
        self.calls += u64::from(reply.calls);
        self.work.waited += Duration::from_micros(reply.waited_us);
        self.work.served += Duration::from_micros(reply.served_us);
        match reply.result {
            Ok(results) => self.merge_results(reply.piece, reply.version, results),
            Err(reason) => self.handle_loss(reply.piece, reason),
        }
    }

    /// Folds results; those of another version than the pinned one never get in.
    fn merge_results(&mut self, piece: u32, version: Option<IndexVersion>, results: Vec<(ShardId, Vec<u8>)>) {
        let state = &mut self.pieces[piece as usize];
        state.open = state.open.saturating_sub(1);
        let wanted = &self.pieces[piece as usize].shards;
        if version.is_none() || version != self.version {
            stats::count_other_version();
            return self.miss(piece, MissingReason::BadAnswer);
        }
        for (shard, result) in results {
            if wanted.binary_search(&shard).is_ok() {
                self.fold.add(shard, result);
            }
        }
        self.pieces[piece as usize].is_answered = true;
        self.miss(piece, MissingReason::BadAnswer);
    }

    /// Marks what is not answered of a piece as missing.
    fn miss(&mut self, piece: u32, reason: MissingReason) {
        for shard in &self.pieces[piece as usize].shards {
            self.fold.mark_missing(*shard, reason);
        }
    }

    /// Sends a lost piece elsewhere if there is somewhere and time, else marks it missing.
    fn handle_loss(&mut self, piece: u32, reason: MissingReason) {
        let state = &mut self.pieces[piece as usize];
        state.open = state.open.saturating_sub(1);
        if state.open > 0 || state.is_answered {
            return;
        }
        let has_time = self.node.clock.now() < self.ask.deadline;
        if has_time && self.version.is_some() && self.reroute(piece, reason) {
            return self.send(&[piece]);
        }
        self.miss(piece, reason);
    }

    /// Points a piece at its next owner or, where the servers are at fault, its next upstream.
    fn reroute(&mut self, number: u32, reason: MissingReason) -> bool {
        let piece = &mut self.pieces[number as usize];
        piece.sends += 1;
        if piece.sends > MAX_SENDS {
            return false;
        }
        let owners = self.view.owners(piece.upstream()).len();
        if reason == MissingReason::NoOwner && piece.owner + 1 < owners {
            piece.owner += 1;
            return true;
        }
        let elsewhere = !matches!(reason, MissingReason::VersionGone | MissingReason::Late | MissingReason::Queued);
        if elsewhere && piece.holder + 1 < piece.holders.len() {
            piece.holder += 1;
            piece.owner = 0;
            return true;
        }
        false
    }

    /// Sends pieces, one batch for each owner.
    fn send(&mut self, numbers: &[u32]) {
        let mut batches: BTreeMap<NodeId, (WorkTarget, Vec<PieceRequest>)> = BTreeMap::new();
        let mut unowned = Vec::new();
        let turn = self.ask.request.0 as usize;
        let now = self.node.clock.now();
        for number in numbers {
            let piece = &self.pieces[*number as usize];
            let shards = piece.shards.clone();
            let Some(target) = self.view.owner(piece.upstream(), turn, piece.owner) else {
                unowned.push(*number);
                continue;
            };
            let upstream = self.config.upstream(piece.upstream()).name.clone();
            let piece = &mut self.pieces[*number as usize];
            piece.open += 1;
            piece.sent = now;
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
        let left = self.ask.deadline.since(self.node.clock.now());
        let batch = BatchRequest {
            request: self.ask.request,
            remaining_us: u64::try_from(left.as_micros()).unwrap_or(u64::MAX),
            index: self.ask.index.name.clone(),
            version: self.version,
            repeatable: true,
            key: None,
            body: self.ask.body.to_vec(),
            pieces,
        };
        let events = self.events.0.clone();
        let node = self.node.clone();
        let sent = node.clock.now();
        match target.link {
            None => self.running.spawn(run_local(self.node.clone(), self.config.clone(), batch, events)),
            Some(link) => self.running.spawn(async move {
                let numbers: Vec<u32> = batch.pieces.iter().map(|piece| piece.piece).collect();
                let mut open = numbers;
                if let Ok(mut reader) = link.stream(PATH_BATCH, &batch).await {
                    while let Ok(Some(reply)) = reader.next::<PieceReply>().await {
                        if !remove_pending(&mut open, reply.piece) {
                            // Such an owner is not to be believed; what is open counts as lost.
                            stats::count_bad_peer();
                            break;
                        }
                        let now = node.clock.now();
                        node.record_owner_reply(now.since(sent));
                        link.record_reply(now);
                        // The round ends only together with this task.
                        let _ = events.send(PieceEvent::Reply(reply)).await;
                    }
                }
                for number in open {
                    let _ = events.send(PieceEvent::Lost(number)).await;
                }
            }),
        };
    }
}

/// Takes a piece off a batch's open ones; false for one that is not open: it was replied to
/// before, or belongs to another batch.
pub fn remove_pending(open: &mut Vec<u32>, piece: u32) -> bool {
    let position = open.iter().position(|number| *number == piece);
    position.map(|position| open.swap_remove(position)).is_some()
}

async fn run_local(node: Arc<Node>, config: Arc<Configuration>, batch: BatchRequest, events: mpsc::Sender<PieceEvent>) {
    let (sender, mut replies) = mpsc::channel(REPLY_BUFFER);
    let owners = node.settings.owners;
    let run = node.pools.run_batch(&config, owners, batch, sender);
    let forward = async {
        while let Some(reply) = replies.recv().await {
            // The round ends only together with this task.
            let _ = events.send(PieceEvent::Reply(reply)).await;
        }
    };
    tokio::join!(run, forward);
}

/// Groups the wanted shards by the upstreams that hold them; the own domain's upstream first.
fn plan(
    config: &Configuration,
    domain: &FailureDomain,
    layout: &ShardLayout,
    shards: &[ShardId],
) -> Result<Vec<QueryPiece>, QueryFailure> {
    let mut pieces: Vec<QueryPiece> = Vec::new();
    let mut by_holders: BTreeMap<&[UpstreamIndex], usize> = BTreeMap::new();
    for shard in shards {
        let holders = layout.shards.get(shard.0 as usize);
        let holders = holders.ok_or(QueryFailure::NoSuchShard(*shard, layout.shards.len()))?;
        let position = *by_holders.entry(holders).or_insert_with(|| {
            let mut ordered = holders.to_vec();
            ordered.sort_by_key(|upstream| config.upstream(*upstream).domain != *domain);
            let holders: Arc<[UpstreamIndex]> = ordered.into();
            pieces.push(QueryPiece {
                holders,
                shards: Vec::new(),
                holder: 0,
                owner: 0,
                sends: 0,
                open: 0,
                sent: Moment::default(),
                is_answered: false,
            });
            pieces.len() - 1
        });
        pieces[position].shards.push(*shard);
    }
    Ok(pieces)
}
