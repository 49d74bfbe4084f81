//! Turns requests over shards away before anything is sent: those that cannot be answered in time, and those that
//! give way to more urgent ones. The rules are in `policy::entry_gate`; they are asked once, at the entry node.

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

/// Priorities of one report that are heard: routes have a few.
const MAX_WAITS: usize = 16;

/// What the node knows for its decisions on requests that arrive.
#[derive(Default)]
pub struct EntryControl {
    gate: Mutex<EntryGate>,
    waits: Mutex<WaitTracker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryControl {
    /// Notes what a node, this one or another, tells now of how long calls wait there.
    pub fn note_report(&self, now: Moment, domain: &FailureDomain, node: &NodeId, report: &DomainReport) {
        let waits =
            report.waits.iter().take(MAX_WAITS).map(|told| (told.priority, Duration::from_micros(told.wait_us)));
        lock(&self.waits).note(now, domain, node, waits);
    }

    fn wait(&self, now: Moment, priority: Priority) -> MedianWait {
        lock(&self.waits).wait(now, priority)
    }

    /// What becomes of a request; tells the level if it has changed.
    fn decide(&self, now: Moment, ask: &EntryRequest) -> EntryDecision {
        let mut gate = lock(&self.gate);
        let before = gate.level().closed();
        let step = gate.decide(now, ask);
        let level = gate.level();
        if level.closed() != before {
            metrics::gauge!("streamfold_closed_priorities").set(level.closed() as f64);
            tracing::info!(
                event = "priority_level",
                level = level.lowest_open().map(tracing::field::display),
                closed = level.closed(),
                before,
                priority = %ask.priority,
                wait_ms = ask.waited.as_millis() as u64,
                target_ms = ask.target.as_millis() as u64
            );
        }
        step
    }

    /// The least urgent priority that is let in, if any is closed.
    fn level(&self) -> Option<Priority> {
        lock(&self.gate).level().lowest_open()
    }
}

/// Lets a request over shards in, where the settings and the routes in force call for that.
///
/// # Errors
/// It is turned away and has reached no server.
pub(crate) fn check(context: &AttemptContext) -> Result<(), RefusalKind> {
    let RouteTarget::Gather(fold) = &context.route.target else { return Ok(()) };
    if !is_used(context, fold) {
        return Ok(());
    }
    let now = context.now();
    let control = &context.router.entry;
    note_own(context, now);
    let told = control.wait(now, context.priority);
    let left = context.request.deadline.since(now);
    let ask = EntryRequest {
        priority: context.priority,
        target: context.route.target_latency,
        left,
        expected: expect(context, fold, now, left),
        waited: told.wait,
    };
    let (reason, wait) = match control.decide(now, &ask) {
        EntryDecision::Admit => return Ok(()),
        EntryDecision::CannotFinish { wait } => ("hopeless", wait),
        EntryDecision::Yield { wait } => ("give_way", wait),
    };
    note_turned_away(context, &ask, told, reason);
    Err(RefusalKind::not_run(RefusalReason::Overload { wait }))
}

/// Notes how long calls wait at this node: it hears of the others by their replies.
fn note_own(context: &AttemptContext, now: Moment) {
    let settings = &context.router.settings;
    let own = DomainReport { waits: context.view.waits.report(now), ..DomainReport::default() };
    context.router.entry.note_report(now, &settings.failure_domain, &settings.node, &own);
}

/// Whether requests of a route are turned away at all: only where others at its shards are more or less urgent.
fn is_used(context: &AttemptContext, fold: &GatherSpec) -> bool {
    let is_mixed = fold.shards.iter().any(|shard| context.view.mixed_priority_services.contains(shard));
    is_mixed && context.router.settings.scheduling.by_priority && context.router.has(Mechanism::EntryGate)
}

/// When enough shards of a request are expected to have answered.
fn expect(context: &AttemptContext, fold: &GatherSpec, now: Moment, left: Duration) -> Option<Duration> {
    let outlooks: Vec<ShardEstimate> = fold.shards.iter().map(|shard| foresee(context, shard, now, left)).collect();
    estimate_answers(&outlooks, fold_rule(context, fold).min_answers())
}

/// What is known of a shard's servers; of no further ones once one is expected in time.
fn foresee(context: &AttemptContext, shard: &ServiceName, now: Moment, left: Duration) -> ShardEstimate {
    let service = context.view.services.get(shard);
    let usable = service.into_iter().flat_map(|service| service.usable(now, &context.homes));
    let outlooks = usable.map(|server| {
        let typical = context.times.typical(server.distance, context.route.target_latency);
        server.estimate_finish(now, typical)
    });
    ShardEstimate::of(outlooks, left)
}

fn note_turned_away(context: &AttemptContext, ask: &EntryRequest, told: MedianWait, reason: &'static str) {
    let labels = [("reason", reason.to_owned()), ("priority", priority_label(ask.priority))];
    metrics::counter!("streamfold_requests_turned_away_total", &labels).increment(1);
    tracing::info!(
        event = "request_turned_away",
        request = context.request.id_text(),
        route = %context.route.name,
        priority = %ask.priority,
        team = context.team.as_ref().map(|team| team.name.as_str()),
        reason,
        expected_ms = ask.expected.map(|expected| expected.as_millis() as u64),
        left_ms = ask.left.as_millis() as u64,
        level = context.router.entry.level().map(tracing::field::display),
        wait_ms = told.wait.as_millis() as u64,
        wait_age_ms = told.age.as_millis() as u64
    );
}
