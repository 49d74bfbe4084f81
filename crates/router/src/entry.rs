//! Admission control for requests over shards. Before any call is sent, it rejects requests that cannot finish in
//! time and, under overload, requests that must yield to more urgent ones. The rules are in `policy::entry_gate` and
//! are applied once per request, at the entry node.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{FailureDomain, GatherSpec, NodeId, Priority, RouteTarget, ServiceName};
use streamfold_policy::entry_gate::{EntryDecision, EntryGate, EntryRequest, EntryRule};
use streamfold_policy::finish_estimate::{ShardEstimate, estimate_answers};
use streamfold_policy::retry_after::RefusalReason;
use streamfold_policy::wait_tracker::{MedianWait, WaitTracker};
use streamfold_policy::{Mechanism, Moment};

use crate::answer::RefusalKind;
use crate::attempt_context::AttemptContext;
use crate::batch::DomainReport;
use crate::call_waits::priority_label;
use crate::gather::fold_rule;

/// The most priorities read from one report; routes use only a few.
const MAX_WAITS: usize = 16;

/// Admission state of this node: the gate and the queueing times that nodes have reported.
#[derive(Default)]
pub struct EntryControl {
    gate: Mutex<EntryGate>,
    waits: Mutex<WaitTracker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryControl {
    /// Records how long calls wait at a node, this one or another, as it reported just now.
    pub fn note_report(&self, now: Moment, domain: &FailureDomain, node: &NodeId, report: &DomainReport) {
        let waits =
            report.waits.iter().take(MAX_WAITS).map(|wait| (wait.priority, Duration::from_micros(wait.wait_us)));
        lock(&self.waits).note(now, domain, node, waits);
    }

    fn wait(&self, now: Moment, priority: Priority) -> MedianWait {
        lock(&self.waits).wait(now, priority)
    }

    /// Decides on a request, and logs the admission level when it changes.
    fn decide(&self, now: Moment, request: &EntryRequest) -> EntryDecision {
        let mut gate = lock(&self.gate);
        let before = gate.level().closed();
        let decision = gate.decide(now, request);
        let level = gate.level();
        if level.closed() != before {
            metrics::gauge!("streamfold_closed_priorities").set(level.closed() as f64);
            tracing::info!(
                event = "priority_level",
                level = level.lowest_open().map(tracing::field::display),
                closed = level.closed(),
                before,
                priority = %request.priority,
                wait_ms = request.waited.as_millis() as u64,
                target_ms = request.target.as_millis() as u64
            );
        }
        decision
    }

    /// The least urgent priority that is still admitted; `None` while all are.
    fn level(&self) -> Option<Priority> {
        lock(&self.gate).level().lowest_open()
    }
}

/// Checks whether a request over shards is admitted. Requests that the gate does not apply to always pass.
///
/// # Errors
/// The request is rejected and has reached no server.
pub(crate) fn check(context: &AttemptContext) -> Result<(), RefusalKind> {
    let RouteTarget::Gather(spec) = &context.route.target else { return Ok(()) };
    if !is_gated(context, spec) {
        return Ok(());
    }
    let now = context.now();
    let control = &context.router.entry;
    note_own_waits(context, now);
    let reported = control.wait(now, context.priority);
    let left = context.request.deadline.since(now);
    let request = EntryRequest {
        priority: context.priority,
        target: context.route.target_latency,
        left,
        expected: expected_latency(context, spec, now, left),
        waited: reported.wait,
    };
    let (reason, wait) = match control.decide(now, &request) {
        EntryDecision::Admit => return Ok(()),
        EntryDecision::CannotFinish { wait } => ("hopeless", wait),
        EntryDecision::Yield { wait } => ("give_way", wait),
    };
    log_rejection(context, &request, reported, reason);
    Err(RefusalKind::not_run(RefusalReason::Overload { wait }))
}

/// Records how long calls wait at this node; other nodes report it in their replies.
fn note_own_waits(context: &AttemptContext, now: Moment) {
    let settings = &context.router.settings;
    let own = DomainReport { waits: context.view.waits.report(now), ..DomainReport::default() };
    context.router.entry.note_report(now, &settings.failure_domain, &settings.node, &own);
}

/// Whether the gate applies to a route: only where its shards also serve requests of another priority.
fn is_gated(context: &AttemptContext, spec: &GatherSpec) -> bool {
    let is_mixed = spec.shards.iter().any(|shard| context.view.mixed_priority_services.contains(shard));
    is_mixed && context.router.settings.scheduling.by_priority && context.router.has(Mechanism::EntryGate)
}

/// The expected time until enough shards have answered; `None` where too few have a usable server.
fn expected_latency(context: &AttemptContext, spec: &GatherSpec, now: Moment, left: Duration) -> Option<Duration> {
    let estimates: Vec<ShardEstimate> =
        spec.shards.iter().map(|shard| estimate_shard(context, shard, now, left)).collect();
    estimate_answers(&estimates, fold_rule(context, spec).min_answers())
}

/// The expected response time of a shard. Stops at the first server expected to answer within `left`.
fn estimate_shard(context: &AttemptContext, shard: &ServiceName, now: Moment, left: Duration) -> ShardEstimate {
    let service = context.view.services.get(shard);
    let usable = service.into_iter().flat_map(|service| service.usable(now, &context.allowed_regions));
    let estimates = usable.map(|server| {
        let typical = context.times.typical(server.distance, context.route.target_latency);
        server.estimate_finish(now, typical)
    });
    ShardEstimate::of(estimates, left)
}

fn log_rejection(context: &AttemptContext, request: &EntryRequest, reported: MedianWait, reason: &'static str) {
    let labels = [("reason", reason.to_owned()), ("priority", priority_label(request.priority))];
    metrics::counter!("streamfold_requests_turned_away_total", &labels).increment(1);
    tracing::info!(
        event = "request_turned_away",
        request = context.request.id_text(),
        route = %context.route.name,
        priority = %request.priority,
        team = context.team.as_ref().map(|team| team.name.as_str()),
        reason,
        expected_ms = request.expected.map(|expected| expected.as_millis() as u64),
        left_ms = request.left.as_millis() as u64,
        level = context.router.entry.level().map(tracing::field::display),
        wait_ms = reported.wait.as_millis() as u64,
        wait_age_ms = reported.age.as_millis() as u64
    );
}
