//! The connection pools of the upstreams that this node owns, and the execution of batches of pieces in them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::uri::PathAndQuery;
use streamfold_model::{AttemptOutcome, Configuration, MissingReason, UpstreamName, UpstreamSpec};
use streamfold_policy::owner::connection_share;
use streamfold_policy::{AttemptRules, Moment};
use streamfold_router::caller_limits::CallerLimits;
use tokio::sync::{mpsc, watch};

use crate::clock::NodeClock;
use crate::error::PieceFailure;
use crate::headers;
use crate::piece::{PieceAnswer, PieceContext, PieceProgress};
use crate::pool::UpstreamPool;
use crate::wire::{BatchRequest, PieceReply, PieceRequest};

/// Idle time after which the pool of an upstream that this node does not own is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

struct PoolRow {
    pool: Arc<UpstreamPool>,
    last_used: Moment,
}

/// All pools of this node.
pub struct OwnerPools {
    clock: NodeClock,
    rules: Arc<dyn AttemptRules>,
    answer_limit: usize,
    callers: Arc<CallerLimits>,
    rows: Mutex<HashMap<UpstreamName, PoolRow>>,
    is_given_up: watch::Sender<bool>,
}

impl OwnerPools {
    /// Creates an empty set of pools.
    pub fn new(
        clock: NodeClock,
        rules: Arc<dyn AttemptRules>,
        answer_limit: usize,
        callers: Arc<CallerLimits>,
    ) -> Self {
        Self { clock, rules, answer_limit, callers, rows: Mutex::default(), is_given_up: watch::Sender::new(false) }
    }

    fn rows(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamName, PoolRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pool of an upstream; opened if there is none for this configuration of the upstream.
    pub fn get(&self, spec: &Arc<UpstreamSpec>, owners: usize) -> Arc<UpstreamPool> {
        let now = self.clock.now();
        let mut rows = self.rows();
        if let Some(row) = rows.get_mut(&spec.name)
            && *row.pool.spec == **spec
        {
            row.last_used = now;
            return row.pool.clone();
        }
        let share = connection_share(spec.connections, owners);
        let pool = UpstreamPool::open(spec.clone(), share, self.rules.clone(), self.clock, self.callers.clone());
        rows.insert(spec.name.clone(), PoolRow { pool: pool.clone(), last_used: now });
        pool
    }

    /// Opens the pools of owned upstreams and closes those that are neither owned nor recently used.
    pub fn retain_owned(&self, owned: &[Arc<UpstreamSpec>], owners: usize) {
        for spec in owned {
            self.get(spec, owners);
        }
        let now = self.clock.now();
        self.rows().retain(|name, row| {
            let is_owned = owned.iter().any(|spec| spec.name == *name);
            is_owned || now.since(row.last_used) < POOL_IDLE_TIMEOUT
        });
    }

    /// All pools, for status reports.
    pub fn all(&self) -> Vec<Arc<UpstreamPool>> {
        self.rows().values().map(|row| row.pool.clone()).collect()
    }

    /// Gives up all pieces that are running, since the node ends.
    pub fn give_up(&self) {
        self.is_given_up.send_replace(true);
    }

    async fn wait_given_up(&self) {
        // The sender lives as long as the pools, so this cannot fail.
        let _ = self.is_given_up.subscribe().wait_for(|is_given_up| *is_given_up).await;
    }

    /// Runs the pieces of a batch concurrently and sends each reply as soon as the piece ends. The remaining pieces are
    /// reported as late at the deadline, and as without an owner if the node gives them up. Dropping the future cancels
    /// the running pieces.
    pub async fn run_batch(
        &self,
        config: &Configuration,
        owners: usize,
        batch: BatchRequest,
        replies: mpsc::Sender<PieceReply>,
    ) {
        let remaining = Duration::from_micros(batch.remaining_us);
        let Some((context, pieces)) = self.make_context(batch, remaining) else { return };
        let prepared: Vec<PieceWork> = pieces.into_iter().map(|piece| self.prepare(config, owners, piece)).collect();
        let mut running: FuturesUnordered<_> = prepared.iter().map(|work| run_piece(&context, work)).collect();
        let all = async {
            while let Some(reply) = running.next().await {
                // The send fails if the receiver of the batch is gone; the reply is then not needed.
                let _ = replies.send(reply).await;
            }
        };
        let reason = tokio::select! {
            biased;
            () = all => return,
            () = tokio::time::sleep(remaining) => MissingReason::Late,
            () = self.wait_given_up() => MissingReason::NoOwner,
        };
        // A cancelled piece keeps the outcome that it has reached.
        drop(running);
        for work in prepared.iter().filter(|work| !work.is_reported.load(Ordering::Relaxed)) {
            let _ = replies.send(cancelled_reply(&context, work, reason)).await;
        }
    }

    fn make_context(&self, batch: BatchRequest, remaining: Duration) -> Option<(PieceContext, Vec<PieceRequest>)> {
        let verb = if batch.repeatable { "query" } else { "order" };
        // The index name is validated, so the path is always valid.
        let path = PathAndQuery::try_from(format!("/v1/shards/{}/{verb}", batch.index)).ok()?;
        let context = PieceContext {
            request_value: headers::unindexed_value(&batch.request),
            path,
            index: batch.index,
            version: batch.version,
            repeatable: batch.repeatable,
            key: batch.key,
            body: Bytes::from(batch.body),
            deadline: self.clock.now().plus(remaining),
            answer_limit: self.answer_limit,
            callers: self.callers.clone(),
        };
        Some((context, batch.pieces))
    }

    fn prepare(&self, config: &Configuration, owners: usize, piece: PieceRequest) -> PieceWork {
        let pool = config.find_upstream(&piece.upstream).map(|spec| self.get(spec, owners));
        PieceWork { piece, pool, progress: PieceProgress::default(), is_reported: AtomicBool::new(false) }
    }
}

/// One piece of a batch while it runs.
struct PieceWork {
    piece: PieceRequest,
    pool: Option<Arc<UpstreamPool>>,
    progress: PieceProgress,
    is_reported: AtomicBool,
}

async fn run_piece(context: &PieceContext, work: &PieceWork) -> PieceReply {
    let is_order = !context.repeatable;
    let result = match &work.pool {
        None => Err(PieceFailure { reason: MissingReason::NoOwner, outcome: AttemptOutcome::NotSent }),
        Some(_) if context.version.is_none() && !is_order => {
            Err(PieceFailure { reason: MissingReason::VersionGone, outcome: AttemptOutcome::NotSent })
        }
        Some(pool) => pool.run(context, &work.piece.shards, &work.progress).await,
    };
    work.is_reported.store(true, Ordering::Relaxed);
    build_reply(context, work, result)
}

fn cancelled_reply(context: &PieceContext, work: &PieceWork, reason: MissingReason) -> PieceReply {
    let outcome = work.progress.outcome();
    build_reply(context, work, Err(PieceFailure { reason, outcome }))
}

fn build_reply(context: &PieceContext, work: &PieceWork, result: Result<PieceAnswer, PieceFailure>) -> PieceReply {
    let (outcome, version, result) = match result {
        Ok(answer) => (AttemptOutcome::Answered, Some(answer.version), Ok(answer.shards)),
        Err(failure) => (failure.outcome, None, Err(failure.reason)),
    };
    PieceReply {
        piece: work.piece.piece,
        outcome,
        version,
        result,
        held: work.pool.as_ref().and_then(|pool| pool.versions(&context.index)),
        calls: work.progress.calls(),
        waited_us: work.progress.waited_us(),
        served_us: work.progress.served_us(),
    }
}
