//! A request to every shard: one server of each is asked, near ones by this node and the
//! others by nodes near them, and the answers are folded.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::StreamExt;
use http::{HeaderValue, Response};
use http_body_util::Full;
use streamfold_model::{GatherSpec, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::answer_margin::answer_margin;
use streamfold_policy::canary::RequestVerdict;
use streamfold_policy::fold_rule::{FoldRule, FoldStep};
use streamfold_policy::late_timer::TimerWatch;
use streamfold_policy::retry_after::RefusalReason;
use tokio::time::Sleep;

use crate::answer::{CallerAnswer, RefusalKind};
use crate::attempt_context::{AttemptContext, CallNews, PendingCalls, RequestAsker};
use crate::attempts::ServiceAttempts;
use crate::call::EndedCall;
use crate::delegate::{BatchSlot, PendingBatches};
use crate::fold::{ShardPart, fold_records};
use crate::quarantine_news;

/// Missing shards that a log line names at most.
const NAMED_SHARDS: usize = 5;

/// One shard of a request.
pub struct ShardSlot {
    /// Attempts of this node.
    pub attempts: ServiceAttempts,
    /// The batch it is in, if another node was asked.
    pub batch: Option<usize>,
    /// The newest batch in which another node makes a hedge for it.
    pub hedge: Option<usize>,
    /// Its answer. One that came in a batch has its records there.
    pub part: Option<ShardPart>,
}

impl ShardSlot {
    fn new(service: ServiceName) -> Self {
        Self { attempts: ServiceAttempts::new(service), batch: None, hedge: None, part: None }
    }
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
    pub(crate) calls: PendingCalls,
    pub(crate) pending_batches: PendingBatches,
    watch: TimerWatch,
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

/// When a request over shards is answered.
pub(crate) fn fold_rule(context: &AttemptContext, fold: &GatherSpec) -> FoldRule {
    let margin = answer_margin(fold.shards.len(), context.router.settings.power());
    FoldRule {
        target: context.route.target_latency.saturating_sub(margin),
        limit: context.request.deadline.since(context.request.started),
        min_coverage: fold.min_coverage,
        shards: fold.shards.len(),
    }
}

/// Asks every shard and folds the answers.
pub async fn run(context: &AttemptContext, fold: &GatherSpec) -> GatherEnd {
    let mut round = GatherRound::new(context, fold, fold_rule(context, fold));
    let step = if round.is_reachable() {
        round.delegate();
        round.start_rest();
        round.wait().await
    } else {
        FoldStep::GiveUp
    };
    let delegated = round.slots.iter().filter(|slot| slot.batch.is_some()).count();
    let result = match step {
        FoldStep::Answer => round.answer(),
        _ => Err(round.refusal()),
    };
    GatherEnd {
        result,
        answered: round.answered(),
        shards: round.slots.len(),
        delegated,
        peers: round.name_peers(),
        missing: round.name_missing(),
    }
}

impl<'a> GatherRound<'a> {
    pub(crate) fn new(context: &'a AttemptContext, fold: &GatherSpec, rule: FoldRule) -> Self {
        Self {
            context,
            slots: fold.shards.iter().cloned().map(ShardSlot::new).collect(),
            batches: Vec::new(),
            rule,
            top: fold.top,
            calls: PendingCalls::new(),
            pending_batches: PendingBatches::new(),
            watch: TimerWatch::default(),
        }
    }

    /// Whether enough shards have a server that can be reached. Where they don't, none is asked: what
    /// servers did for an answer that cannot be given would be lost, and so would be the word that
    /// nothing ran.
    fn is_reachable(&self) -> bool {
        let reachable = self.slots.iter().filter(|slot| self.context.best_server(&slot.attempts).is_some()).count();
        let is_enough = self.rule.is_enough(reachable);
        if !is_enough {
            tracing::info!(
                event = "coverage_unreachable",
                request = self.context.request.id_text(),
                reachable,
                shards = self.slots.len(),
                barred = self.name_barred()
            );
        }
        is_enough
    }

    pub(crate) fn start_rest(&mut self) {
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.batch.is_none()) {
            self.context.start_first(position, &mut slot.attempts, &self.calls);
        }
    }

    pub(crate) fn answered(&self) -> usize {
        self.slots.iter().filter(|slot| slot.part.is_some()).count()
    }

    /// The open batches that a shard is in.
    fn open_batches(&self, slot: &ShardSlot) -> impl Iterator<Item = &BatchSlot> {
        let numbers = slot.batch.into_iter().chain(slot.hedge);
        numbers.map(|number| &self.batches[number]).filter(|batch| batch.is_open)
    }

    /// Whether a shard's request may have run, or may by what is under way.
    fn may_run(&self, slot: &ShardSlot) -> bool {
        slot.attempts.may_run() || self.open_batches(slot).next().is_some()
    }

    /// Whether a shard's answer may still come, as far as is known: what is under way in failure domains
    /// that cannot be reached is not waited for.
    fn is_expected(&self, slot: &ShardSlot, now: Moment) -> bool {
        let in_batch = self.open_batches(slot).any(|batch| !batch.peer.domain.is_unreachable(now));
        slot.part.is_none() && (in_batch || slot.attempts.is_expected(now))
    }

    /// Shards whose answers may still come.
    pub(crate) fn pending(&self) -> usize {
        let now = self.context.now();
        self.slots.iter().filter(|slot| self.is_expected(slot, now)).count()
    }

    fn next_alarm(&self) -> Option<Moment> {
        let waiting = self.slots.iter().filter(|slot| slot.part.is_none());
        let hedges = waiting.filter_map(|slot| slot.attempts.next_alarm());
        let takeovers = self.batches.iter().filter(|batch| batch.is_open).filter_map(|batch| batch.takeover_at);
        hedges.chain(takeovers).min()
    }

    /// Waits until the answer is decided.
    pub(crate) async fn wait(&mut self) -> FoldStep {
        let clock = self.context.router.clock;
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        loop {
            let elapsed = clock.now().since(self.context.request.started);
            let step = self.rule.step(elapsed, self.answered(), self.pending());
            let FoldStep::Wait(until) = step else { return step };
            let until = self.context.request.started.plus(until);
            let wake = self.next_wake().map_or(until, |alarm| alarm.min(until));
            timer.as_mut().reset(clock.instant(wake));
            self.wait_event(wake, timer.as_mut()).await;
        }
    }

    /// Waits for the next thing to happen, at most to the end of the request.
    pub(crate) async fn wait_for_more(&mut self) {
        let end = self.context.request.started.plus(self.rule.limit);
        let wake = self.next_wake().map_or(end, |alarm| alarm.min(end));
        let timer = pin!(tokio::time::sleep_until(self.context.router.clock.instant(wake)));
        self.wait_event(wake, timer).await;
    }

    /// When it wakes for the next alarm.
    fn next_wake(&self) -> Option<Moment> {
        self.next_alarm().map(|alarm| self.watch.wake_at(alarm))
    }

    async fn wait_event(&mut self, wake: Moment, timer: Pin<&mut Sleep>) {
        tokio::select! {
            biased;
            Some((position, news)) = self.calls.next() => self.note_call(position, news),
            Some((number, pending, news)) = self.pending_batches.next() => {
                self.note_batch(number, news);
                self.keep_reading(number, pending);
            }
            () = timer => {
                if self.watch.is_due(self.context.now(), wake) {
                    self.note_alarms();
                }
            }
        }
        self.note_fate().await;
    }

    /// Cancels the calls of a request of which nothing more comes, since what it asks for ends servers: those that have
    /// not ended yet need not, and other nodes know before its caller can ask them.
    async fn note_fate(&mut self) {
        let fate = self.context.fate();
        if fate == RequestVerdict::Continue {
            return;
        }
        tracing::info!(
            event = "calls_cancelled",
            request = self.context.request.id_text(),
            content = %self.context.request.suspect.content,
            is_blamed = fate == RequestVerdict::AtFault,
            calls = self.calls.len(),
            batches = self.pending_batches.len()
        );
        self.cancel_calls();
        if fate == RequestVerdict::AtFault {
            quarantine_news::quarantine_content(&self.context.router, self.context.request.suspect).await;
        }
    }

    /// Cancels all calls, those of other nodes too; what was sent may have run.
    fn cancel_calls(&mut self) {
        let may_run: Vec<bool> = self.slots.iter().map(|slot| self.may_run(slot)).collect();
        for (slot, may_run) in self.slots.iter_mut().zip(may_run) {
            slot.attempts.give_up(may_run);
        }
        self.calls.clear();
        self.pending_batches.clear();
        self.batches.iter_mut().for_each(|batch| batch.is_open = false);
    }

    fn note_alarms(&mut self) {
        let now = self.context.now();
        let mut far = Vec::new();
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.part.is_none()) {
            // For another node, its own servers of these shards are the near ones.
            let far = (self.context.asker == RequestAsker::Caller).then_some(&mut far);
            self.context.note_alarm(position, &mut slot.attempts, &self.calls, far);
        }
        self.send_hedges(far);
        for number in 0..self.batches.len() {
            let batch = &self.batches[number];
            if batch.is_open && batch.takeover_at.is_some_and(|at| at <= now) {
                self.take_over(number);
            }
        }
    }

    fn note_call(&mut self, position: usize, news: CallNews) {
        match news {
            CallNews::Ended(took, ended) => self.note_end(position, took, ended),
            CallNews::CalledUp(place) => {
                let slot = &mut self.slots[position];
                let place = place.filter(|_| slot.part.is_none());
                self.context.resume(position, &mut slot.attempts, &self.calls, place);
            }
        }
    }

    fn note_end(&mut self, position: usize, took: Duration, ended: EndedCall) {
        self.context.note_ended(&ended);
        let slot = &mut self.slots[position];
        match ended.result {
            Ok(reply) if reply.is_proven_success() => {
                self.context.times.add(ended.server.distance, took);
                slot.attempts.note_answer(&ended.server.run());
                if slot.part.is_none() {
                    slot.part = reply.proof.map(|proof| ShardPart { proof, records: reply.body, floor: None });
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

    pub(crate) fn fold(&self) -> Bytes {
        let direct = self.slots.iter().filter_map(|slot| slot.part.as_ref()).map(|part| &part.records);
        let folded = self.batches.iter().map(|batch| &batch.records);
        fold_records(direct.chain(folded), self.top)
    }

    fn answer(&mut self) -> Result<CallerAnswer, RefusalKind> {
        let records = self.fold_proven();
        if !self.rule.is_enough(self.answered()) {
            return Err(self.refusal());
        }
        let parts = self.slots.iter().filter_map(|slot| slot.part.as_ref());
        let proofs: Vec<HeaderValue> = parts.map(|part| part.proof.clone()).collect();
        let missing = self.slots.len() - proofs.len();
        let mut answer: Response<Full<Bytes>> = Response::new(Full::new(records));
        self.context.router.format.write_gathered(answer.headers_mut(), &proofs, missing);
        Ok(answer)
    }

    fn name_peers(&self) -> String {
        join(self.batches.iter().map(|batch| batch.peer.entry.node.as_str()))
    }

    /// What bars servers of the first shard that no server may be asked for.
    fn name_barred(&self) -> Option<String> {
        let mut unreachable = self.slots.iter().filter(|slot| self.context.best_server(&slot.attempts).is_none());
        unreachable.find_map(|slot| self.context.name_bars(&slot.attempts.service))
    }

    fn name_missing(&self) -> String {
        let missing = self.slots.iter().filter(|slot| slot.part.is_none());
        join(missing.take(NAMED_SHARDS).map(|slot| slot.attempts.service.as_str()))
    }

    fn refusal(&self) -> RefusalKind {
        let has_run = self.slots.iter().any(|slot| self.may_run(slot));
        match has_run {
            false => RefusalKind::not_run(RefusalReason::NoServer),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(",")
}
