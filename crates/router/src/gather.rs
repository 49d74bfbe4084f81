//! A request to every shard: one server of each is asked, and the answers are folded.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::StreamExt;
use http::{HeaderValue, Response};
use http_body_util::Full;
use streamfold_model::ShardFold;
use streamfold_policy::Moment;
use streamfold_policy::fold_rule::{FoldRule, FoldStep};

use crate::answer::{CallerAnswer, RefusalKind};
use crate::attempts::{AttemptContext, PendingCalls, ServiceAttempts};
use crate::call::EndedCall;
use crate::fold::{ShardPart, fold_records};

/// An answer leaves so long before the target latency: the way to the caller and back, and
/// the work of folding and sending.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// When a caller whose request did not run may come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// One shard of a request.
struct ShardSlot {
    attempts: ServiceAttempts,
    part: Option<ShardPart>,
}

/// A request to every shard under way.
struct GatherRound<'a> {
    context: &'a AttemptContext,
    slots: Vec<ShardSlot>,
    calls: PendingCalls,
    rule: FoldRule,
}

/// How a request to every shard ended.
pub struct GatherEnd {
    /// The answer or why there is none.
    pub result: Result<CallerAnswer, RefusalKind>,
    /// Shards in the answer.
    pub answered: usize,
    /// Shards in all.
    pub shards: usize,
}

/// Asks every shard and folds the answers.
pub async fn run(context: &AttemptContext, fold: &ShardFold) -> GatherEnd {
    let mut round = GatherRound::new(context, fold);
    round.start_all();
    let step = round.wait().await;
    let calls = std::mem::take(&mut round.calls);
    context.release(calls);
    let answered = round.answered();
    let result = match step {
        FoldStep::Answer => Ok(round.answer(fold)),
        _ => Err(round.refusal()),
    };
    GatherEnd { result, answered, shards: round.slots.len() }
}

impl<'a> GatherRound<'a> {
    fn new(context: &'a AttemptContext, fold: &ShardFold) -> Self {
        let slot = |service: &streamfold_model::ServiceName| ShardSlot {
            attempts: ServiceAttempts::new(service.clone()),
            part: None,
        };
        let rule = FoldRule {
            target: context.route.target_latency.saturating_sub(ANSWER_MARGIN),
            limit: context.request.deadline.since(context.request.started),
            min_coverage: fold.min_coverage,
            shards: fold.shards.len(),
        };
        Self { context, slots: fold.shards.iter().map(slot).collect(), calls: PendingCalls::new(), rule }
    }

    fn start_all(&mut self) {
        for (position, slot) in self.slots.iter_mut().enumerate() {
            self.context.start(position, &mut slot.attempts, &self.calls);
        }
    }

    fn answered(&self) -> usize {
        self.slots.iter().filter(|slot| slot.part.is_some()).count()
    }

    fn pending(&self) -> usize {
        self.slots.iter().filter(|slot| slot.part.is_none() && slot.attempts.pending > 0).count()
    }

    fn next_hedge(&self) -> Option<Moment> {
        let waiting = self.slots.iter().filter(|slot| slot.part.is_none());
        waiting.filter_map(|slot| slot.attempts.hedge_at).min()
    }

    /// Waits until the answer is decided.
    async fn wait(&mut self) -> FoldStep {
        let clock = self.context.router.clock;
        let mut timer = pin!(tokio::time::sleep(Duration::ZERO));
        loop {
            let elapsed = clock.now().since(self.context.request.started);
            let FoldStep::Wait(until) = self.rule.step(elapsed, self.answered(), self.pending()) else {
                return self.rule.step(elapsed, self.answered(), self.pending());
            };
            let until = self.context.request.started.plus(until);
            let wake = self.next_hedge().map_or(until, |hedge| hedge.min(until));
            timer.as_mut().reset(clock.instant(wake));
            tokio::select! {
                biased;
                Some((position, took, ended)) = self.calls.next() => self.note_end(position, took, ended),
                () = &mut timer => self.hedge_overdue(),
            }
        }
    }

    fn hedge_overdue(&mut self) {
        let now = self.context.now();
        for (position, slot) in self.slots.iter_mut().enumerate() {
            if slot.part.is_none() && slot.attempts.hedge_at.is_some_and(|at| at <= now) {
                self.context.hedge(position, &mut slot.attempts, &self.calls);
            }
        }
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
            Ok(_) => slot.attempts.note_failure(None),
            Err(failure) => slot.attempts.note_failure(Some(failure)),
        }
        if slot.part.is_none() && slot.attempts.pending == 0 {
            self.context.retry(position, &mut slot.attempts, &self.calls);
        }
    }

    fn answer(&self, fold: &ShardFold) -> CallerAnswer {
        let parts: Vec<&ShardPart> = self.slots.iter().filter_map(|slot| slot.part.as_ref()).collect();
        let proofs: Vec<HeaderValue> = parts.iter().map(|part| part.proof.clone()).collect();
        let body = fold_records(parts.iter().map(|part| &part.records), fold.top);
        let mut answer: Response<Full<Bytes>> = Response::new(Full::new(body));
        let missing = self.slots.len() - parts.len();
        self.context.router.format.write_folded(answer.headers_mut(), &proofs, missing);
        answer
    }

    fn refusal(&self) -> RefusalKind {
        let has_run = self.slots.iter().any(|slot| slot.attempts.may_have_run || slot.attempts.pending > 0);
        match has_run {
            false => RefusalKind::NotRun(RETRY_AFTER),
            true if self.context.now() >= self.context.request.deadline => RefusalKind::Late,
            true => RefusalKind::Lost,
        }
    }
}
