//! What a stopping node still begins: requests and calls that are expected to end before the node does. The rule is in
//! `policy::stop_admission`.

use std::time::Duration;

use streamfold_model::{RouteTarget, ServiceName};
use streamfold_policy::retry_after::RefusalReason;
use streamfold_policy::stop_admission::is_call_in_time;

use crate::answer::RefusalKind;
use crate::attempt_context::AttemptContext;
use crate::call_waits::priority_label;
use crate::cluster_view::Service;
use crate::gather::fold_rule;

/// Checks whether a request that arrives at a stopping node can end before the node does. If not, its caller is told at
/// once, so that it can return to another node.
///
/// # Errors
/// The request is rejected and has reached no server.
pub(crate) fn check(context: &AttemptContext) -> Result<(), RefusalKind> {
    let Some(left) = context.time_for_calls() else { return Ok(()) };
    let is_in_time = |service: &ServiceName| {
        let service = context.view.services.get(service);
        service.is_none_or(|service| context.is_service_in_time(service, left))
    };
    let can_end = match &context.route.target {
        RouteTarget::Split(parts) => parts.iter().any(|part| is_in_time(&part.service)),
        RouteTarget::Gather(spec) => {
            let in_time = spec.shards.iter().filter(|shard| is_in_time(shard)).count();
            in_time >= fold_rule(context, spec).min_answers()
        }
    };
    if can_end {
        return Ok(());
    }
    log_rejection(context, left);
    Err(RefusalKind::not_run(RefusalReason::Stopping))
}

impl AttemptContext {
    /// The time that calls have until this node ends; `None` if it is not stopping, or if the request ends before.
    fn time_for_calls(&self) -> Option<Duration> {
        let ends_at = self.router.ends_at.get().filter(|ends_at| self.request.deadline > **ends_at)?;
        Some(ends_at.since(self.now()))
    }

    /// Why a request of which nothing was sent has no answer.
    pub(crate) fn not_run_reason(&self) -> RefusalReason {
        match self.router.ends_at.get() {
            Some(_) => RefusalReason::Stopping,
            None => RefusalReason::NoServer,
        }
    }

    /// Whether a call to some server of a service is expected to end before this node does.
    pub(crate) fn has_time_for(&self, service: &Service) -> bool {
        self.time_for_calls().is_none_or(|left| self.is_service_in_time(service, left))
    }

    /// Whether some usable server of a service is expected to answer within `left`. Without a usable server the request
    /// is refused for that reason.
    fn is_service_in_time(&self, service: &Service, left: Duration) -> bool {
        let now = self.now();
        let mut usable = service.usable(now, &self.allowed_regions).peekable();
        usable.peek().is_none()
            || usable.any(|server| {
                let estimate = server.estimate_finish(now, self.typical_latency(server));
                is_call_in_time(left, self.times.measured(server.distance), estimate)
            })
    }
}

fn log_rejection(context: &AttemptContext, left: Duration) {
    let labels = [("reason", "stopping".to_owned()), ("priority", priority_label(context.priority))];
    metrics::counter!("streamfold_requests_turned_away_total", &labels).increment(1);
    tracing::info!(
        event = "request_turned_away",
        request = context.request.id_text(),
        route = %context.route.name,
        priority = %context.priority,
        team = context.team.as_ref().map(|team| team.name.as_str()),
        reason = "stopping",
        left_ms = left.as_millis() as u64
    );
}
