//! The pools of the upstreams this node owns, and the pieces of batches run in them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use streamfold_model::{Configuration, MissingReason, ShardId, UpstreamName, UpstreamSpec};
use streamfold_policy::owner::connection_share;
use streamfold_policy::{AttemptRules, Moment};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock::NodeClock;
use crate::pool::{PieceContext, PieceResult, UpstreamPool};
use crate::wire::{BatchRequest, PieceReply};

/// A pool of an upstream this node does not own is closed after this long without use.
const IDLE_CLOSE: Duration = Duration::from_secs(10);

struct PoolRow {
    pool: Arc<UpstreamPool>,
    used: Moment,
}

/// All pools of this node.
pub struct OwnerPools {
    clock: NodeClock,
    rules: Arc<dyn AttemptRules>,
    answer_limit: usize,
    rows: Mutex<HashMap<UpstreamName, PoolRow>>,
}

impl OwnerPools {
    /// No pools yet.
    pub fn new(clock: NodeClock, rules: Arc<dyn AttemptRules>, answer_limit: usize) -> Self {
        Self { clock, rules, answer_limit, rows: Mutex::default() }
    }

    fn rows(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamName, PoolRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pool of an upstream, opened if there is none for this spec yet.
    pub fn get(&self, spec: &Arc<UpstreamSpec>, owners: usize) -> Arc<UpstreamPool> {
        let now = self.clock.now();
        let mut rows = self.rows();
        if let Some(row) = rows.get_mut(&spec.name)
            && *row.pool.spec == **spec
        {
            row.used = now;
            return row.pool.clone();
        }
        let share = connection_share(spec.connections, owners);
        let pool = UpstreamPool::open(spec.clone(), share, self.rules.clone(), self.clock);
        rows.insert(spec.name.clone(), PoolRow { pool: pool.clone(), used: now });
        pool
    }

    /// Opens the pools of owned upstreams and closes those neither owned nor used lately.
    pub fn keep(&self, owned: &[Arc<UpstreamSpec>], owners: usize) {
        for spec in owned {
            self.get(spec, owners);
        }
        let now = self.clock.now();
        self.rows().retain(|name, row| {
            let is_owned = owned.iter().any(|spec| spec.name == *name);
            is_owned || now.since(row.used) < IDLE_CLOSE
        });
    }

    /// All pools, for status.
    pub fn all(&self) -> Vec<Arc<UpstreamPool>> {
        self.rows().values().map(|row| row.pool.clone()).collect()
    }

    /// Runs the pieces of a batch; each reply goes out as soon as it is there. Dropping the
    /// receiver's side ends what still runs.
    pub async fn run_batch(
        self: &Arc<Self>,
        config: &Configuration,
        owners: usize,
        batch: BatchRequest,
        replies: mpsc::Sender<PieceReply>,
    ) {
        let deadline = self.clock.now().plus(Duration::from_micros(batch.remaining_us));
        let context = Arc::new(PieceContext {
            request: batch.request,
            index: batch.index,
            version: batch.version,
            verb: if batch.repeatable { "query" } else { "order" },
            repeatable: batch.repeatable,
            key: batch.key,
            body: Bytes::from(batch.body),
            deadline,
            answer_limit: self.answer_limit,
        });
        let mut running = JoinSet::new();
        for piece in batch.pieces {
            let Some(spec) = config.find_upstream(&piece.upstream) else {
                // A send that fails means that nobody waits for the batch any more.
                let _ = replies.send(miss(piece.piece, MissingReason::NoOwner)).await;
                continue;
            };
            let pool = self.get(spec, owners);
            running.spawn(run_piece(pool, context.clone(), piece.piece, piece.shards, replies.clone()));
        }
        drop(replies);
        while running.join_next().await.is_some() {}
    }
}

fn miss(piece: u32, reason: MissingReason) -> PieceReply {
    let outcome = streamfold_model::AttemptOutcome::NotSent;
    PieceReply { piece, outcome, version: None, result: Err(reason), held: None, calls: 0 }
}

async fn run_piece(
    pool: Arc<UpstreamPool>,
    context: Arc<PieceContext>,
    piece: u32,
    shards: Vec<ShardId>,
    replies: mpsc::Sender<PieceReply>,
) {
    let is_order = !context.repeatable;
    let reply = match context.version.is_some() || is_order {
        true => reply_of(piece, pool.run(&context, &shards).await),
        false => miss(piece, MissingReason::VersionGone),
    };
    let held = pool.versions(&context.index);
    // A send that fails means that nobody waits for the batch any more.
    let _ = replies.send(PieceReply { held, ..reply }).await;
}

fn reply_of(piece: u32, result: PieceResult) -> PieceReply {
    use streamfold_model::AttemptOutcome::Answered;
    let calls = result.calls;
    match result.answer {
        Ok(answer) => PieceReply {
            piece,
            outcome: Answered,
            version: Some(answer.version),
            result: Ok(answer.shards),
            held: None,
            calls,
        },
        Err(failure) => PieceReply {
            piece,
            outcome: failure.outcome,
            version: None,
            result: Err(failure.reason),
            held: None,
            calls,
        },
    }
}
