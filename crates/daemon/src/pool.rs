//! The pool of one upstream at an owner: the queue with the concurrency limit of each server, the connections to the
//! servers, and the attempts, hedges and retries of pieces.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use streamfold_model::server::format_shards;
use streamfold_model::{AttemptId, AttemptOutcome, IndexName, MissingReason, ShardId, UpstreamSpec};
use streamfold_policy::{
    AttemptRules, CallReport, HeldVersions, Moment, QueueSubmission, ServerState, UpstreamQueue, WaitId, WorkItem,
};
use streamfold_router::caller_limits::CallerLimits;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::clock::NodeClock;
use crate::error::PieceFailure;
use crate::headers;
use crate::piece::{PieceAnswer, PieceContext, PieceProgress, read_answer, read_header, read_held_versions};
use crate::stats;
use crate::upstream::{HealthReport, ServerLink};

/// Time between health checks of a server.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a health check's answer, in bytes.
const HEALTH_LIMIT: usize = 1 << 20;
/// Maximum concurrency limit of an HTTP/2 server, as a multiple of its slots. A connection carries many calls, so the
/// number of connections does not bound them.
const LIMIT_PER_SLOT: u32 = 2;

/// The queue and the connections of one upstream.
pub struct UpstreamPool {
    /// The configuration of the upstream when the pool was opened.
    pub spec: Arc<UpstreamSpec>,
    clock: NodeClock,
    /// The memory that answers share.
    callers: Arc<CallerLimits>,
    queue: Mutex<UpstreamQueue<oneshot::Sender<SlotPermit>>>,
    links: Vec<Arc<ServerLink>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for UpstreamPool {
    fn drop(&mut self) {
        let tasks = self.tasks.get_mut().unwrap_or_else(PoisonError::into_inner);
        for task in tasks {
            task.abort();
        }
    }
}

/// A slot at a server. Dropping it frees the slot and starts queued work.
struct SlotPermit {
    pool: Arc<UpstreamPool>,
    server: usize,
    started: Moment,
    report: Option<CallReport>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        let elapsed = now.since(self.started);
        let report = self.report.unwrap_or(CallReport::Cancelled(elapsed));
        let started = self.pool.lock().finish(now, self.server, report, &mut rand::rng());
        self.pool.grant_permits(now, started);
    }
}

impl UpstreamPool {
    /// Opens a pool with at most `max_connections` connections to each server. Its tasks end when it is dropped.
    pub fn open(
        spec: Arc<UpstreamSpec>,
        max_connections: u32,
        rules: Arc<dyn AttemptRules>,
        clock: NodeClock,
        callers: Arc<CallerLimits>,
    ) -> Arc<Self> {
        let max_limit = match spec.protocol {
            streamfold_model::ServerProtocol::H2 => spec.slots.saturating_mul(LIMIT_PER_SLOT),
            streamfold_model::ServerProtocol::Http1 => max_connections,
        };
        let servers = spec.servers.iter().map(|_| ServerState::new(spec.slots, max_limit)).collect();
        let opened = spec.servers.iter().map(|server| ServerLink::open(*server, spec.protocol, max_connections));
        let (links, tasks): (Vec<_>, Vec<_>) = opened.unzip();
        let queue = Mutex::new(UpstreamQueue::new(rules, servers));
        let pool = Arc::new(Self { spec, clock, callers, queue, links, tasks: Mutex::new(tasks) });
        pool.start_health_checks();
        pool
    }

    fn start_health_checks(self: &Arc<Self>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for server in 0..self.links.len() {
            let pool = Arc::downgrade(self);
            tasks.push(tokio::spawn(async move {
                while let Some(pool) = pool.upgrade() {
                    pool.check_health(server).await;
                    pool.start_stalled();
                    drop(pool);
                    tokio::time::sleep(HEALTH_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
                }
            }));
        }
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamQueue<oneshot::Sender<SlotPermit>>> {
        // A poisoned lock is used further, since the queue is consistent between calls of its methods.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The range of index versions that the upstream's servers have reported.
    pub fn versions(&self, index: &IndexName) -> Option<HeldVersions> {
        self.lock().versions(index)
    }

    /// The link and a copy of the state of each server.
    pub fn servers(&self) -> Vec<(Arc<ServerLink>, ServerState)> {
        let states = self.lock().servers().to_vec();
        self.links.iter().cloned().zip(states).collect()
    }

    /// The number of queued pieces.
    pub fn waiting(&self) -> usize {
        self.lock().waiting()
    }

    async fn check_health(&self, server: usize) {
        let link = &self.links[server];
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = link.uri(PathAndQuery::from_static("/health"));
        let answered = tokio::time::timeout(HEALTH_TIMEOUT, link.call_counted(request, HEALTH_LIMIT, &self.callers));
        let answered = answered.await;
        let Ok(Ok(response)) = answered else { return };
        let Ok(report) = serde_json::from_slice::<HealthReport>(response.body()) else { return };
        let now = self.clock.now();
        let mut queue = self.lock();
        let state = queue.server_mut(server);
        state.record_incarnation(now, report.incarnation);
        state.record_load(now, report.load);
        if report.draining {
            state.mark_leaving();
        }
        for (index, range) in report.indexes {
            state.record_versions(&index, range.into());
        }
    }

    fn permit(self: &Arc<Self>, server: usize, now: Moment) -> SlotPermit {
        SlotPermit { pool: self.clone(), server, started: now, report: None }
    }

    /// Sends permits to started work.
    fn grant_permits(
        self: &Arc<Self>,
        now: Moment,
        started: Vec<streamfold_policy::StartedWork<oneshot::Sender<SlotPermit>>>,
    ) {
        for work in started {
            // If the receiver is gone, the permit is dropped here, which frees the slot.
            let _ = work.tag.send(self.permit(work.server, now));
        }
    }

    /// Starts queued work that no end of a call would start.
    fn start_stalled(self: &Arc<Self>) {
        let now = self.clock.now();
        let started = self.lock().start_stalled(now, &mut rand::rng());
        self.grant_permits(now, started);
    }

    /// Waits until queued work is started; `None` if it expired in the queue.
    async fn wait_started(self: &Arc<Self>, mut receiver: oneshot::Receiver<SlotPermit>) -> Option<SlotPermit> {
        loop {
            let now = self.clock.now();
            let stalled_until = self.lock().stalled_until(now);
            let Some(until) = stalled_until else { return receiver.await.ok() };
            match tokio::time::timeout(until.since(now), &mut receiver).await {
                Ok(permit) => return permit.ok(),
                Err(_) => self.start_stalled(),
            }
        }
    }

    async fn acquire(self: &Arc<Self>, item: WorkItem, is_retry: bool) -> Result<SlotPermit, MissingReason> {
        // Otherwise this work would wait behind work that nothing starts.
        self.start_stalled();
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let deadline = item.deadline;
        let submission = self.lock().submit(now, item, is_retry, sender, &mut rand::rng());
        let id = match submission {
            QueueSubmission::Started(server, _) => return Ok(self.permit(server, now)),
            QueueSubmission::VersionGone(_) => return Err(MissingReason::VersionGone),
            QueueSubmission::Leaving(_) => return Err(MissingReason::Leaving),
            QueueSubmission::Waiting(id) => id,
        };
        let _guard = WaitGuard { pool: self, id };
        let started = tokio::time::timeout(deadline.since(now), self.wait_started(receiver)).await;
        started.ok().flatten().ok_or(MissingReason::Queued)
    }

    /// Runs a piece with its attempts, hedges and retries. The caller drops the future at the deadline; `progress` can
    /// be read after that.
    pub async fn run(
        self: &Arc<Self>,
        context: &PieceContext,
        shards: &[ShardId],
        progress: &PieceProgress,
    ) -> Result<PieceAnswer, PieceFailure> {
        PieceRun { pool: self, context, shards, progress }.run().await
    }

    /// Sends one call to the server of the slot.
    async fn call(
        self: &Arc<Self>,
        mut permit: SlotPermit,
        context: &PieceContext,
        shards: &[ShardId],
    ) -> Result<PieceAnswer, CallFailure> {
        let server = permit.server;
        let attempt = AttemptId(rand::random());
        let now = self.clock.now();
        let remaining = context.deadline.since(now);
        let request = self.build_request(server, attempt, context, &format_shards(shards), remaining);
        let fail = |reason, outcome| CallFailure { server, failure: PieceFailure { reason, outcome } };
        let response = match self.links[server].call_counted(request, context.answer_limit, &context.callers).await {
            Ok(response) => response,
            Err(outcome) => {
                permit.report = Some(CallReport::Failed);
                return Err(fail(MissingReason::Unreachable, outcome));
            }
        };
        let latency = self.clock.now().since(now);
        let (report, answer) = self.evaluate(server, attempt, context, shards, &response, latency);
        permit.report = Some(report);
        answer.map_err(|failure| CallFailure { server, failure })
    }

    fn build_request(
        &self,
        server: usize,
        attempt: AttemptId,
        context: &PieceContext,
        shards: &str,
        remaining: Duration,
    ) -> Request<Bytes> {
        let mut request = Request::new(context.body.clone());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.links[server].uri(context.path.clone());
        let fields = request.headers_mut();
        fields.insert(headers::REQUEST, context.request_value.clone());
        fields.insert(headers::ATTEMPT, headers::unindexed_value(&attempt));
        fields.insert(headers::DEADLINE, headers::unindexed_value(&remaining.as_micros()));
        if let Ok(shards) = HeaderValue::from_str(shards) {
            fields.insert(headers::SHARDS, shards);
        }
        if let Some(version) = context.version {
            fields.insert(headers::VERSION, HeaderValue::from(version.0));
        }
        if let Some(key) = &context.key {
            fields.insert(headers::KEY, headers::unindexed_value(key));
        }
        request
    }

    /// Records what a response reports about its server, and returns the result of the call and its answer if it may be
    /// merged.
    fn evaluate(
        &self,
        server: usize,
        attempt: AttemptId,
        context: &PieceContext,
        shards: &[ShardId],
        response: &Response<Bytes>,
        latency: Duration,
    ) -> (CallReport, Result<PieceAnswer, PieceFailure>) {
        let fields = response.headers();
        let fail = |reason, outcome| Err(PieceFailure { reason, outcome });
        if read_header::<AttemptId>(fields, headers::ATTEMPT) != Some(attempt) {
            stats::count_foreign();
            return (CallReport::Failed, fail(MissingReason::BadAnswer, AttemptOutcome::Unknown));
        }
        self.record_state(server, &context.index, fields);
        let refused = fields.get(headers::RAN).is_some_and(|ran| ran.as_bytes() == b"not_run");
        let outcome = if refused { AttemptOutcome::Refused } else { AttemptOutcome::Unknown };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::CONFLICT => {
                return (CallReport::Cancelled(Duration::ZERO), fail(MissingReason::VersionGone, outcome));
            }
            StatusCode::SERVICE_UNAVAILABLE => return (CallReport::Shed, fail(MissingReason::Shed, outcome)),
            _ => return (CallReport::Failed, fail(MissingReason::BadAnswer, outcome)),
        }
        match read_answer(context, shards, fields, response.body()) {
            Some(answer) => (CallReport::Answered(latency), Ok(answer)),
            None => (CallReport::Failed, fail(MissingReason::BadAnswer, AttemptOutcome::Unknown)),
        }
    }

    fn record_state(&self, server: usize, index: &IndexName, fields: &HeaderMap) {
        let now = self.clock.now();
        let mut queue = self.lock();
        let state = queue.server_mut(server);
        if let Some(incarnation) = read_header(fields, headers::INCARNATION) {
            state.record_incarnation(now, incarnation);
        }
        if let Some(load) = read_header(fields, headers::LOAD) {
            state.record_load(now, load);
        }
        if fields.get(headers::DRAINING).is_some_and(|draining| draining.as_bytes() == b"true") {
            state.mark_leaving();
        }
        if let Some(held) = read_held_versions(fields) {
            state.record_versions(index, held);
        }
    }
}

/// Removes work from the queue when its future is dropped.
struct WaitGuard<'a> {
    pool: &'a Arc<UpstreamPool>,
    id: WaitId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.pool.lock().cancel(self.id);
    }
}

struct CallFailure {
    server: usize,
    failure: PieceFailure,
}

/// The attempts of one piece.
struct PieceRun<'a> {
    pool: &'a Arc<UpstreamPool>,
    context: &'a PieceContext,
    shards: &'a [ShardId],
    progress: &'a PieceProgress,
}

impl PieceRun<'_> {
    fn item(&self, avoid: Option<usize>) -> WorkItem {
        WorkItem {
            index: self.context.index.clone(),
            version: self.context.version,
            deadline: self.context.deadline,
            avoid,
        }
    }

    async fn run(&self) -> Result<PieceAnswer, PieceFailure> {
        let mut avoid = None;
        loop {
            let queued_at = self.pool.clock.now();
            let acquired = self.pool.acquire(self.item(avoid), avoid.is_some()).await;
            let acquired_at = self.pool.clock.now();
            self.progress.lock().waited += acquired_at.since(queued_at);
            let outcome = self.progress.outcome();
            let permit = acquired.map_err(|reason| PieceFailure { reason, outcome })?;
            let result = self.attempt_with_hedge(permit).await;
            self.progress.lock().served += self.pool.clock.now().since(acquired_at);
            let failed = match result {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            self.progress.add_outcome(failed.failure.outcome);
            if !self.may_retry(&failed) {
                let outcome = self.progress.outcome();
                return Err(PieceFailure { reason: failed.failure.reason, outcome });
            }
            avoid = Some(failed.server);
        }
    }

    fn may_retry(&self, failed: &CallFailure) -> bool {
        let outcome = failed.failure.outcome;
        if !self.context.repeatable && !outcome.is_not_run() {
            return false;
        }
        let remaining = self.context.deadline.since(self.pool.clock.now());
        let allowed = self.pool.lock().may_retry(outcome, remaining, self.progress.calls());
        stats::count_retry(allowed);
        allowed
    }

    /// Makes one attempt, and a hedge to another server if the attempt is slow and the request is repeatable.
    async fn attempt_with_hedge(&self, permit: SlotPermit) -> Result<PieceAnswer, CallFailure> {
        let first_server = permit.server;
        self.progress.count_call();
        if !self.context.repeatable {
            return self.attempt_once(permit).await;
        }
        let mut first = std::pin::pin!(self.pool.call(permit, self.context, self.shards));
        let Some(delay) = self.pool.lock().hedge_delay() else { return first.await };
        if let Ok(result) = tokio::time::timeout(delay, first.as_mut()).await {
            return result;
        }
        let Some(permit) = self.try_hedge(first_server) else { return first.await };
        self.progress.count_call();
        stats::count_hedge();
        let mut second = std::pin::pin!(self.pool.call(permit, self.context, self.shards));
        tokio::select! {
            result = first.as_mut() => match result {
                Ok(answer) => Ok(answer),
                Err(_) => second.await,
            },
            result = second.as_mut() => match result {
                Ok(answer) => Ok(answer),
                Err(_) => first.await,
            },
        }
    }

    /// Makes one attempt of a non-repeatable request. If it is cancelled while it runs, its outcome is unknown.
    async fn attempt_once(&self, permit: SlotPermit) -> Result<PieceAnswer, CallFailure> {
        let previous = self.progress.replace_outcome(AttemptOutcome::Unknown);
        let result = self.pool.call(permit, self.context, self.shards).await;
        self.progress.replace_outcome(previous);
        result
    }

    fn try_hedge(&self, first: usize) -> Option<SlotPermit> {
        let now = self.pool.clock.now();
        let server = self.pool.lock().hedge(now, &self.item(None), first, &mut rand::rng())?;
        Some(self.pool.permit(server, now))
    }
}
