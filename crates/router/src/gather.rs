//! Scatter-gather: sends a request to one server of every shard and folds the answers. This node calls near servers
//! itself and delegates shards whose servers are far to nodes near those.

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
use tokio::time::Sleep;

use crate::answer::{CallerAnswer, RefusalKind};
use crate::answer_memory::AnswerReservation;
use crate::attempt_context::{AttemptContext, CallEvent, PendingCalls, RequestOrigin};
use crate::attempts::ServiceAttempts;
use crate::call::EndedCall;
use crate::delegate::{BatchSlot, PendingBatches};
use crate::fold::{ShardPart, fold_records};
use crate::quarantine_news;
use crate::router::RouterPhase;

/// The most missing shards that a log line names.
const MAX_NAMED_SHARDS: usize = 5;

/// One shard of a request.
pub struct ShardSlot {
    /// The attempts made by this node.
    pub attempts: ServiceAttempts,
    /// The number of the batch in which the shard was delegated to another node, if it was.
    pub batch: Option<usize>,
    /// The number of the latest batch in which a hedge for the shard was delegated.
    pub hedge: Option<usize>,
    /// The answer of the shard. If it came in a batch, its records are folded into those of the batch.
    pub part: Option<ShardPart>,
}

impl ShardSlot {
    fn new(service: ServiceName) -> Self {
        Self { attempts: ServiceAttempts::new(service), batch: None, hedge: None, part: None }
    }
}

/// A request to every shard in progress.
pub struct GatherRound<'a> {
    /// The request.
    pub context: &'a AttemptContext,
    /// The shards, in the order of the route.
    pub slots: Vec<ShardSlot>,
    /// Batches delegated to other nodes.
    pub batches: Vec<BatchSlot>,
    /// Decides when the request is answered.
    pub rule: FoldRule,
    /// The number of records wanted.
    pub top: usize,
    pub(crate) calls: PendingCalls,
    pub(crate) pending_batches: PendingBatches,
    watch: TimerWatch,
}

/// The outcome of a request to every shard.
pub struct GatherOutcome {
    /// The answer, or why there is none.
    pub result: Result<CallerAnswer, RefusalKind>,
    /// Number of shards in the answer.
    pub answered: usize,
    /// Number of shards in all.
    pub shards: usize,
    /// Number of shards that were delegated to other nodes.
    pub delegated: usize,
    /// The nodes that shards were delegated to, for the log.
    pub peers: String,
    /// The first few missing shards, for the log.
    pub missing: String,
}

/// The rule that decides when a request over shards is answered.
pub(crate) fn fold_rule(context: &AttemptContext, spec: &GatherSpec) -> FoldRule {
    let margin = answer_margin(spec.shards.len(), context.router.settings.core_share());
    FoldRule {
        target: context.route.target_latency.saturating_sub(margin),
        limit: context.request.deadline.since(context.request.started),
        min_coverage: spec.min_coverage,
        shards: spec.shards.len(),
    }
}

/// Queries every shard and folds the answers.
pub async fn run(context: &AttemptContext, spec: &GatherSpec) -> GatherOutcome {
    let mut round = GatherRound::new(context, spec, fold_rule(context, spec));
    let step = if round.is_reachable() {
        round.delegate();
        round.start_direct_calls();
        round.wait().await
    } else {
        FoldStep::GiveUp
    };
    let delegated = round.slots.iter().filter(|slot| slot.batch.is_some()).count();
    let result = match step {
        FoldStep::Answer => round.answer(),
        _ => Err(round.refusal()),
    };
    GatherOutcome {
        result,
        answered: round.answered(),
        shards: round.slots.len(),
        delegated,
        peers: round.list_peers(),
        missing: round.list_missing(),
    }
}

impl<'a> GatherRound<'a> {
    pub(crate) fn new(context: &'a AttemptContext, spec: &GatherSpec, rule: FoldRule) -> Self {
        Self {
            context,
            slots: spec.shards.iter().cloned().map(ShardSlot::new).collect(),
            batches: Vec::new(),
            rule,
            top: spec.top,
            calls: PendingCalls::new(),
            pending_batches: PendingBatches::new(),
            watch: TimerWatch::default(),
        }
    }

    /// Whether enough shards have a usable server. If not, none is called: the servers would work for an answer that
    /// cannot be given, and the caller could no longer be told that nothing ran.
    fn is_reachable(&self) -> bool {
        let reachable = self.slots.iter().filter(|slot| self.context.best_server(&slot.attempts).is_some()).count();
        let is_enough = self.rule.is_enough(reachable);
        if !is_enough {
            tracing::info!(
                event = "coverage_unreachable",
                request = self.context.request.id_text(),
                reachable,
                shards = self.slots.len(),
                barred = self.list_exclusions()
            );
        }
        is_enough
    }

    pub(crate) fn start_direct_calls(&mut self) {
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.batch.is_none()) {
            self.context.start_first(position, &mut slot.attempts, &self.calls);
        }
    }

    pub(crate) fn answered(&self) -> usize {
        self.slots.iter().filter(|slot| slot.part.is_some()).count()
    }

    /// The open batches that contain a shard.
    fn open_batches(&self, slot: &ShardSlot) -> impl Iterator<Item = &BatchSlot> {
        let numbers = slot.batch.into_iter().chain(slot.hedge);
        numbers.map(|number| &self.batches[number]).filter(|batch| batch.is_open)
    }

    /// Whether a shard's request may have run, or may still run through calls or batches in flight.
    fn may_run(&self, slot: &ShardSlot) -> bool {
        slot.attempts.may_run() || self.open_batches(slot).next().is_some()
    }

    /// Whether a shard's answer can still be expected. Calls and batches in unreachable failure domains are not waited
    /// for.
    fn is_expected(&self, slot: &ShardSlot, now: Moment) -> bool {
        let in_batch = self.open_batches(slot).any(|batch| !batch.peer.domain.is_unreachable(now));
        slot.part.is_none() && (in_batch || slot.attempts.is_expected(now))
    }

    /// The number of shards whose answers can still be expected.
    pub(crate) fn pending(&self) -> usize {
        let now = self.context.now();
        self.slots.iter().filter(|slot| self.is_expected(slot, now)).count()
    }

    fn next_timer(&self) -> Option<Moment> {
        let waiting = self.slots.iter().filter(|slot| slot.part.is_none());
        let hedges = waiting.filter_map(|slot| slot.attempts.next_timer());
        let takeovers = self.batches.iter().filter(|batch| batch.is_open).filter_map(|batch| batch.takeover_at);
        hedges.chain(takeovers).min()
    }

    /// Handles events until it is decided whether to answer. A node that ends answers with the shards that are in.
    pub(crate) async fn wait(&mut self) -> FoldStep {
        let context = self.context;
        let mut ended = pin!(context.router.wait_phase(RouterPhase::Ended));
        tokio::select! {
            biased;
            step = self.wait_for_step() => return step,
            () = &mut ended => {}
        }
        if self.rule.is_enough(self.answered()) { FoldStep::Answer } else { FoldStep::GiveUp }
    }

    async fn wait_for_step(&mut self) -> FoldStep {
        let clock = self.context.router.clock;
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        loop {
            let elapsed = clock.now().since(self.context.request.started);
            let step = self.rule.step(elapsed, self.answered(), self.pending());
            let FoldStep::Wait(until) = step else { return step };
            let until = self.context.request.started.plus(until);
            let wake = self.next_wake().map_or(until, |timer_at| timer_at.min(until));
            timer.as_mut().reset(clock.instant(wake));
            self.handle_next_event(wake, timer.as_mut()).await;
        }
    }

    /// Waits for the next event, at most until the deadline of the request.
    pub(crate) async fn wait_for_next_event(&mut self) {
        let end = self.context.request.started.plus(self.rule.limit);
        let wake = self.next_wake().map_or(end, |timer_at| timer_at.min(end));
        let timer = pin!(tokio::time::sleep_until(self.context.router.clock.instant(wake)));
        self.handle_next_event(wake, timer).await;
    }

    /// When to wake up for the next timer.
    fn next_wake(&self) -> Option<Moment> {
        self.next_timer().map(|timer_at| self.watch.wake_at(timer_at))
    }

    async fn handle_next_event(&mut self, wake: Moment, timer: Pin<&mut Sleep>) {
        tokio::select! {
            biased;
            Some((position, event)) = self.calls.next() => self.handle_call_event(position, event),
            Some((number, pending, event)) = self.pending_batches.next() => {
                self.handle_batch_event(number, event);
                self.keep_reading(number, pending);
            }
            () = timer => {
                if self.watch.is_due(self.context.now(), wake) {
                    self.handle_timers();
                }
            }
        }
        self.check_verdict().await;
    }

    /// Cancels the calls of a request that can get no answer because its content crashes servers. That spares the
    /// servers that have not crashed yet. If this request is found to be the cause, other nodes are informed before its
    /// caller can retry there.
    async fn check_verdict(&mut self) {
        let verdict = self.context.verdict();
        if verdict == RequestVerdict::Continue {
            return;
        }
        tracing::info!(
            event = "calls_cancelled",
            request = self.context.request.id_text(),
            content = %self.context.request.suspect.content,
            is_blamed = verdict == RequestVerdict::AtFault,
            calls = self.calls.len(),
            batches = self.pending_batches.len()
        );
        self.cancel_calls();
        if verdict == RequestVerdict::AtFault {
            quarantine_news::quarantine_content(&self.context.router, self.context.request.suspect).await;
        }
    }

    /// Cancels all calls, including those of other nodes. What was sent may have run.
    fn cancel_calls(&mut self) {
        let may_run: Vec<bool> = self.slots.iter().map(|slot| self.may_run(slot)).collect();
        for (slot, may_run) in self.slots.iter_mut().zip(may_run) {
            slot.attempts.cancel(may_run);
        }
        self.calls.clear();
        self.pending_batches.clear();
        self.batches.iter_mut().for_each(|batch| batch.is_open = false);
    }

    fn handle_timers(&mut self) {
        let now = self.context.now();
        let mut far = Vec::new();
        for (position, slot) in self.slots.iter_mut().enumerate().filter(|(_, slot)| slot.part.is_none()) {
            // Shards delegated by another node have servers near this node, so their hedges are not delegated again.
            let far = (self.context.origin == RequestOrigin::Caller).then_some(&mut far);
            self.context.handle_timers(position, &mut slot.attempts, &self.calls, far);
        }
        self.send_hedges(far);
        for number in 0..self.batches.len() {
            let batch = &self.batches[number];
            if batch.is_open && batch.takeover_at.is_some_and(|at| at <= now) {
                self.take_over(number);
            }
        }
    }

    fn handle_call_event(&mut self, position: usize, event: CallEvent) {
        match event {
            CallEvent::Ended(took, ended) => self.handle_call_end(position, took, ended),
            CallEvent::Dequeued(entry) => {
                let slot = &mut self.slots[position];
                let entry = entry.filter(|_| slot.part.is_none());
                self.context.resume(position, &mut slot.attempts, &self.calls, entry);
            }
        }
    }

    fn handle_call_end(&mut self, position: usize, took: Duration, ended: EndedCall) {
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
        let records = self.hold_answer(records);
        let mut answer: Response<Full<Bytes>> = Response::new(Full::new(records));
        self.context.router.format.write_gathered(answer.headers_mut(), &proofs, missing);
        Ok(answer)
    }

    /// Counts the memory of the folded records in place of that of the parts, which are not needed any more and take at
    /// least as much.
    fn hold_answer(&mut self, records: Bytes) -> Bytes {
        self.slots.iter_mut().filter_map(|slot| slot.part.as_mut()).for_each(|part| part.records = Bytes::new());
        self.batches.iter_mut().for_each(|batch| batch.records = Bytes::new());
        AnswerReservation::hold(self.context.router.callers.clone(), records)
    }

    fn list_peers(&self) -> String {
        join(self.batches.iter().map(|batch| batch.peer.entry.node.as_str()))
    }

    /// For the log, why servers are excluded for the first shard that has no usable server.
    fn list_exclusions(&self) -> Option<String> {
        let mut unreachable = self.slots.iter().filter(|slot| self.context.best_server(&slot.attempts).is_none());
        unreachable.find_map(|slot| self.context.list_exclusions(&slot.attempts.service))
    }

    fn list_missing(&self) -> String {
        let missing = self.slots.iter().filter(|slot| slot.part.is_none());
        join(missing.take(MAX_NAMED_SHARDS).map(|slot| slot.attempts.service.as_str()))
    }

    fn refusal(&self) -> RefusalKind {
        let has_run = self.slots.iter().any(|slot| self.may_run(slot));
        match has_run {
            false => RefusalKind::not_run(self.context.not_run_reason()),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(",")
}
