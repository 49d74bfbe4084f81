//! A request to every shard: one server of each is asked, near ones by this node and the
//! others by nodes near them, and the answers are folded.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::StreamExt;
use http::{HeaderValue, Response};
use http_body_util::Full;
use streamfold_model::{ServiceName, ShardFold};
use streamfold_policy::Moment;
use streamfold_policy::fold_rule::{FoldRule, FoldStep};
use tokio::time::Sleep;

use crate::answer::{CallerAnswer, RefusalKind};
use crate::attempts::{AttemptContext, PendingCalls, ServiceAttempts};
use crate::batch::{BatchFrame, FoldedShard, MissingShard, ShardReply};
use crate::call::EndedCall;
use crate::delegate::{BatchSlot, PendingBatches, read_on};
use crate::fold::{ShardPart, fold_records};
use crate::peers::{BatchNews, PendingBatch};

/// An answer leaves so long before the target latency: the way to the caller and back, and
/// the work of folding and sending.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// Missing shards that a log line names at most.
const NAMED_SHARDS: usize = 5;
/// When a caller whose request did not run may come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// One shard of a request.
pub struct ShardSlot {
    /// Attempts of this node.
    pub attempts: ServiceAttempts,
    /// The batch it is in, if another node was asked.
    pub batch: Option<usize>,
    /// Its answer. One that came in a batch has its records there.
    pub part: Option<ShardPart>,
}

/// A request to every shard under way.
pub struct GatherRound<'a> {
    /// The request.
    pub context: &'a AttemptContext,
    /// Its shards.
    pub slots: Vec<ShardSlot>,
    /// Batches at other nodes.
    pub batches: Vec<BatchSlot>,
    /// When it is answered.
    pub rule: FoldRule,
    /// Records wanted.
    pub top: usize,
    calls: PendingCalls,
    pending_batches: PendingBatches,
}

/// How a request to every shard ended.
pub struct GatherEnd {
    /// The answer or why there is none.
    pub result: Result<CallerAnswer, RefusalKind>,
    /// Shards in the answer.
    pub answered: usize,
    /// Shards in all.
    pub shards: usize,
    /// Shards that other nodes were asked for.
    pub delegated: usize,
    /// The nodes asked, for the log.
    pub peers: String,
    /// The first of the missing shards, for the log.
    pub missing: String,
}

/// Asks every shard and folds the answers.
pub async fn run(context: &AttemptContext, fold: &ShardFold) -> GatherEnd {
    let rule = FoldRule {
        target: context.route.target_latency.saturating_sub(ANSWER_MARGIN),
        limit: context.request.deadline.since(context.request.started),
        min_coverage: fold.min_coverage,
        shards: fold.shards.len(),
    };
    let mut round = GatherRound::new(context, fold, rule);
    round.delegate();
    round.start_rest();
    let step = round.wait().await;
    round.release();
    let answered = round.answered();
    let delegated = round.slots.iter().filter(|slot| slot.batch.is_some()).count();
    let result = match step {
        FoldStep::Answer => Ok(round.answer()),
        _ => Err(round.refusal()),
    };
    GatherEnd {
        result,
        answered,
        shards: round.slots.len(),
        delegated,
        peers: round.name_peers(),
        missing: round.name_missing(),
    }
}

/// The shards of a batch, asked for another node.
pub struct PeerGather<'a> {
    round: GatherRound<'a>,
    told: usize,
}

impl<'a> PeerGather<'a> {
    /// Starts to ask the shards.
    pub fn start(context: &'a AttemptContext, fold: &ShardFold, reply_within: Duration) -> Self {
        let limit = context.request.deadline.since(context.request.started);
        let rule = FoldRule { target: reply_within.min(limit), limit, min_coverage: 0.0, shards: fold.shards.len() };
        let mut round = GatherRound::new(context, fold, rule);
        round.start_rest();
        Self { round, told: 0 }
    }

    /// The next reply: one with what is there once the wanted time is over, one with each
    /// shard that comes after, and at last one with all that will come. Only the last is
    /// marked so.
    pub async fn next(&mut self) -> (ShardReply, bool) {
        loop {
            self.round.wait().await;
            let answered = self.round.answered();
            let elapsed = self.round.context.now().since(self.round.context.request.started);
            let is_last = self.round.pending() == 0 || elapsed >= self.round.rule.limit;
            if is_last || answered > self.told {
                self.told = answered;
                return (self.round.reply(), is_last);
            }
            self.round.wait_for_more().await;
        }
    }

    /// Lets what was outrun go on for a moment.
    pub fn release(mut self) {
        self.round.release();
    }
}

impl<'a> GatherRound<'a> {
    fn new(context: &'a AttemptContext, fold: &ShardFold, rule: FoldRule) -> Self {
        let slot = |service: &ServiceName| ShardSlot {
            attempts: ServiceAttempts::new(service.clone()),
            batch: None,
            part: None,
        };
        Self {
            context,
            slots: fold.shards.iter().map(slot).collect(),
            batches: Vec::new(),
            rule,
            top: fold.top,
            calls: PendingCalls::new(),
            pending_batches: PendingBatches::new(),
        }
    }

    /// Hands shards without a server near to nodes near their servers.
    fn delegate(&mut self) {
        for (domain, positions) in self.context.plan_batches(&self.slots) {
            let Some(peer) = self.context.choose_peer(&domain) else { continue };
            let number = self.batches.len();
            for position in &positions {
                self.slots[*position].batch = Some(number);
                self.context.note_delegated(&self.slots[*position].attempts.service);
            }
            let services = positions.iter().map(|position| self.slots[*position].attempts.service.clone()).collect();
            let (slot, pending) = self.context.send_batch(number, peer, positions, services, &self.rule, self.top);
            self.batches.push(slot);
            self.pending_batches.push(pending);
        }
    }

    fn start_rest(&mut self) {
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.batch.is_none()) {
            self.context.start(position, &mut slot.attempts, &self.calls);
        }
    }

    fn answered(&self) -> usize {
        self.slots.iter().filter(|slot| slot.part.is_some()).count()
    }

    fn is_pending(&self, slot: &ShardSlot) -> bool {
        let in_batch = slot.batch.is_some_and(|number| self.batches[number].is_open);
        slot.part.is_none() && (slot.attempts.is_open() || in_batch)
    }

    fn pending(&self) -> usize {
        self.slots.iter().filter(|slot| self.is_pending(slot)).count()
    }

    fn next_alarm(&self) -> Option<Moment> {
        let waiting = self.slots.iter().filter(|slot| slot.part.is_none());
        let hedges = waiting.filter_map(|slot| slot.attempts.next_alarm());
        let takeovers = self.batches.iter().filter(|batch| batch.is_open).filter_map(|batch| batch.takeover_at);
        hedges.chain(takeovers).min()
    }

    /// Waits until the answer is decided.
    async fn wait(&mut self) -> FoldStep {
        let clock = self.context.router.clock;
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        loop {
            let elapsed = clock.now().since(self.context.request.started);
            let step = self.rule.step(elapsed, self.answered(), self.pending());
            let FoldStep::Wait(until) = step else { return step };
            let until = self.context.request.started.plus(until);
            let wake = self.next_alarm().map_or(until, |alarm| alarm.min(until));
            timer.as_mut().reset(clock.instant(wake));
            self.wait_event(timer.as_mut()).await;
        }
    }

    /// Waits for the next thing to happen, at most to the end of the request.
    async fn wait_for_more(&mut self) {
        let end = self.context.request.started.plus(self.rule.limit);
        let wake = self.next_alarm().map_or(end, |alarm| alarm.min(end));
        let timer = pin!(tokio::time::sleep_until(self.context.router.clock.instant(wake)));
        self.wait_event(timer).await;
    }

    async fn wait_event(&mut self, timer: Pin<&mut Sleep>) {
        tokio::select! {
            biased;
            Some((position, took, ended)) = self.calls.next() => self.note_end(position, took, ended),
            Some((number, pending, news)) = self.pending_batches.next() => {
                self.note_batch(number, news);
                self.keep_reading(number, pending);
            }
            () = timer => self.note_alarms(),
        }
    }

    fn note_alarms(&mut self) {
        let now = self.context.now();
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.part.is_none()) {
            self.context.note_alarm(position, &mut slot.attempts, &self.calls);
        }
        for number in 0..self.batches.len() {
            let batch = &self.batches[number];
            if batch.is_open && batch.takeover_at.is_some_and(|at| at <= now) {
                self.take_over(number);
            }
        }
    }

    /// Asks for the shards of a batch itself, since the other node gives no sign of life.
    fn take_over(&mut self, number: usize) {
        let batch = &mut self.batches[number];
        batch.takeover_at = None;
        batch.peer.state().note_overdue(self.context.now(), batch.started, 1.0);
        tracing::info!(
            event = "batch_overdue",
            request = self.context.request.id_text(),
            peer = %batch.peer.entry.node,
            shards = batch.positions.len()
        );
        self.start_silent(number);
    }

    /// Starts attempts for the shards of a node that fell silent with them.
    fn start_silent(&mut self, number: usize) {
        let domain = self.batches[number].peer.entry.domain.clone();
        for position in self.batches[number].positions.clone() {
            self.slots[position].attempts.note_silent_node(&domain);
        }
        self.start_batch_shards(number, |_| (1, true));
    }

    /// Starts attempts of this node for the shards of a batch that are not in; `tally` tells
    /// how many servers may have run each, and whether a call reached any.
    fn start_batch_shards(&mut self, number: usize, tally: impl Fn(usize) -> (u32, bool)) {
        for position in self.batches[number].positions.clone() {
            let slot = &mut self.slots[position];
            if slot.part.is_none() && !slot.attempts.is_open() {
                let (sent, has_arrived) = tally(position);
                slot.attempts.note_elsewhere(sent, has_arrived);
                self.context.start(position, &mut slot.attempts, &self.calls);
            }
        }
    }

    fn note_batch(&mut self, number: usize, news: BatchNews) {
        match news {
            BatchNews::Frame(BatchFrame::Working) => {
                let batch = &mut self.batches[number];
                batch.takeover_at = Some(batch.reply_by);
            }
            BatchNews::Frame(BatchFrame::Partial(reply)) => {
                self.batches[number].takeover_at = None;
                self.take_reply(number, reply);
            }
            BatchNews::Frame(BatchFrame::Done(reply)) => {
                self.batches[number].is_open = false;
                let missing = reply.missing.clone();
                self.take_reply(number, reply);
                self.start_missing(number, &missing);
            }
            BatchNews::Failed(error) => {
                self.batches[number].is_open = false;
                let is_not_sent = error.is_not_sent();
                tracing::info!(
                    event = "batch_failed",
                    request = self.context.request.id_text(),
                    peer = %self.batches[number].peer.entry.node,
                    %error
                );
                match is_not_sent {
                    true => self.start_batch_shards(number, |_| (0, false)),
                    false => self.start_silent(number),
                }
            }
        }
    }

    fn keep_reading(&mut self, number: usize, pending: PendingBatch) {
        if self.batches[number].is_open {
            self.pending_batches.push(read_on(number, pending));
        }
    }

    /// Takes over the shards of a reply. Their records lie folded together, so they replace
    /// what this node may have fetched of the same shards meanwhile.
    fn take_reply(&mut self, number: usize, reply: ShardReply) {
        let batch = &mut self.batches[number];
        self.context.router.note_version(reply.version);
        if reply.is_stopping {
            batch.peer.mark_stopping();
        }
        let Some(proofs) = read_proofs(&reply.shards, batch.positions.len()) else {
            tracing::warn!(event = "batch_malformed", peer = %batch.peer.entry.node);
            return;
        };
        batch.records = Bytes::from(reply.records);
        let positions = batch.positions.clone();
        for (index, proof) in proofs {
            let slot = &mut self.slots[positions[index]];
            slot.attempts.may_have_run = true;
            slot.part = Some(ShardPart { proof, records: Bytes::new() });
        }
    }

    /// Asks itself for the shards that the other node could not get.
    fn start_missing(&mut self, number: usize, missing: &[MissingShard]) {
        let positions = self.batches[number].positions.clone();
        let tally = |position: usize| {
            let told = missing.iter().find(|shard| positions.get(shard.position as usize) == Some(&position));
            told.map_or((1, true), |shard| (shard.sent, shard.has_arrived))
        };
        self.start_batch_shards(number, tally);
    }

    fn note_end(&mut self, position: usize, took: Duration, ended: EndedCall) {
        let slot = &mut self.slots[position];
        match ended.result {
            Ok(reply) if reply.is_proven_success() => {
                self.context.times.add(ended.server.distance, took);
                slot.attempts.pending = slot.attempts.pending.saturating_sub(1);
                slot.attempts.may_have_run = true;
                if slot.part.is_none() {
                    slot.part = reply.proof.map(|proof| ShardPart { proof, records: reply.body });
                }
                return;
            }
            Ok(_) => slot.attempts.note_failure(ended.server, None),
            Err(failure) => slot.attempts.note_failure(ended.server, Some(failure)),
        }
        if slot.part.is_none() && !slot.attempts.is_open() {
            self.context.retry(position, &mut slot.attempts, &self.calls);
        }
    }

    /// Lets calls that were outrun go on for a moment.
    fn release(&mut self) {
        self.context.release(std::mem::take(&mut self.calls));
        // Dropped, they tell the other nodes that no more is wanted.
        self.pending_batches.clear();
    }

    fn fold(&self) -> Bytes {
        let direct = self.slots.iter().filter_map(|slot| slot.part.as_ref()).map(|part| &part.records);
        let folded = self.batches.iter().map(|batch| &batch.records);
        fold_records(direct.chain(folded), self.top)
    }

    fn answer(&self) -> CallerAnswer {
        let parts = self.slots.iter().filter_map(|slot| slot.part.as_ref());
        let proofs: Vec<HeaderValue> = parts.map(|part| part.proof.clone()).collect();
        let missing = self.slots.len() - proofs.len();
        let mut answer: Response<Full<Bytes>> = Response::new(Full::new(self.fold()));
        self.context.router.format.write_folded(answer.headers_mut(), &proofs, missing);
        answer
    }

    fn name_peers(&self) -> String {
        join(self.batches.iter().map(|batch| batch.peer.entry.node.as_str()))
    }

    fn name_missing(&self) -> String {
        let missing = self.slots.iter().filter(|slot| slot.part.is_none());
        join(missing.take(NAMED_SHARDS).map(|slot| slot.attempts.service.as_str()))
    }

    fn reply(&self) -> ShardReply {
        let mut shards = Vec::new();
        let mut missing = Vec::new();
        for (slot, position) in self.slots.iter().zip(0..) {
            match &slot.part {
                Some(part) => shards.push(FoldedShard { position, proof: part.proof.as_bytes().to_vec() }),
                None => {
                    let (sent, has_arrived) = slot.attempts.tally();
                    missing.push(MissingShard { position, sent, has_arrived });
                }
            }
        }
        let version = self.context.router.cluster.version();
        ShardReply { version, is_stopping: false, shards, missing, records: self.fold().to_vec() }
    }

    fn refusal(&self) -> RefusalKind {
        let has_run = self.slots.iter().any(|slot| slot.attempts.may_have_run || self.is_pending(slot));
        match has_run {
            false => RefusalKind::NotRun(RETRY_AFTER),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(",")
}

/// The proofs of a reply by their positions in the batch; `None` where one is out of range,
/// there twice or no header value.
fn read_proofs(shards: &[FoldedShard], count: usize) -> Option<Vec<(usize, HeaderValue)>> {
    let mut seen = vec![false; count];
    let read = |shard: &FoldedShard| {
        let index = shard.position as usize;
        let is_new = seen.get_mut(index).is_some_and(|seen| !std::mem::replace(seen, true));
        let proof = HeaderValue::from_bytes(&shard.proof).ok()?;
        is_new.then_some((index, proof))
    };
    shards.iter().map(read).collect()
}
