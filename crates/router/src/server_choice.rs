//! Decides whether a call is sent to a server now or waits in this node's queue for one.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::call_order::WaitingCall;
use streamfold_policy::team_scheduler::TeamShare;

use crate::attempt_context::{AttemptContext, PendingCalls, RequestOrigin};
use crate::attempts::{AttemptStop, ServiceAttempts};
use crate::call_line::{CallQueue, QueueEntry};
use crate::clock::NodeClock;
use crate::cluster_view::Service;
use crate::server::Server;

/// Notifies a queue of free capacity when it is dropped together with its call.
pub(crate) struct CapacityNotice {
    pub(crate) queue: Arc<CallQueue>,
    pub(crate) clock: NodeClock,
}

impl Drop for CapacityNotice {
    fn drop(&mut self) {
        self.queue.note_capacity(self.clock.now());
    }
}

/// Where a call goes.
pub(crate) enum ServerChoice {
    /// To a server now. The call gives up the queue entry that it had.
    Now(Arc<Server>, Option<QueueEntry>),
    /// Nowhere yet: the call waits in the queue, or is a hedge, which does not wait.
    Wait(Option<QueueEntry>),
}

impl AttemptContext {
    /// Chooses the server to try next or queues the call; `None` if no server is left. A call that was selected from
    /// the queue already has an entry.
    pub(crate) fn choose_server(
        &self,
        attempts: &ServiceAttempts,
        service: &Service,
        entry: Option<QueueEntry>,
    ) -> Option<ServerChoice> {
        let candidates = self.candidates(attempts, service);
        let Some(cheapest) = self.find_cheapest(candidates.iter()) else {
            return self.keep_waiting(attempts, entry);
        };
        let Some(queue) = service.queue() else { return Some(ServerChoice::Now(cheapest, None)) };
        if entry.as_ref().is_some_and(|entry| !entry.is_selected()) {
            return Some(ServerChoice::Wait(entry));
        }
        // Read before the check for capacity, so that a server that is freed in between is not missed.
        let round = queue.round();
        let waited = entry.as_ref().map_or(Duration::ZERO, QueueEntry::waited);
        let must_wait = entry.is_none() && queue.is_busy();
        let available = if must_wait { None } else { self.choose_available(queue, &candidates, cheapest, waited) };
        if let Some(server) = available {
            if entry.is_none() {
                queue.note_immediate(self.now(), self.priority);
            }
            return Some(ServerChoice::Now(server, entry));
        }
        if let Some(entry) = entry {
            entry.requeue(service.has_capacity(self.now()));
            return Some(ServerChoice::Wait(Some(entry)));
        }
        // A hedge would wait behind the first calls of other requests.
        if attempts.is_calling() || self.origin == RequestOrigin::HedgingNode {
            return Some(ServerChoice::Wait(None));
        }
        let checked_round = if must_wait { 0 } else { round };
        let call = self.waiting_call(&candidates);
        Some(ServerChoice::Wait(Some(queue.push(self.router.clock, call, checked_round, self.request.id_text()))))
    }

    /// Returns a selected call to the queue if no server is usable at the moment. The only server may be draining and
    /// its successor not known yet.
    fn keep_waiting(&self, attempts: &ServiceAttempts, entry: Option<QueueEntry>) -> Option<ServerChoice> {
        let entry = entry.filter(|_| attempts.tried.is_empty() && self.now() < self.retry_until)?;
        entry.requeue(false);
        Some(ServerChoice::Wait(Some(entry)))
    }

    /// The cheapest server with capacity, unless waiting for the cheapest server of all costs less. A distant, slow or
    /// backing-off server is not better just because it is free. The longer the queue is and the longer the call has
    /// waited, the more expensive the server may be, which leaves the slots that are freed nearby to the calls behind
    /// it.
    fn choose_available(
        &self,
        queue: &CallQueue,
        candidates: &[Arc<Server>],
        cheapest: Arc<Server>,
        waited: Duration,
    ) -> Option<Arc<Server>> {
        let now = self.now();
        if cheapest.has_capacity(now) {
            return Some(cheapest);
        }
        let available = self.find_cheapest(candidates.iter().filter(|server| server.has_capacity(now)))?;
        let rounds_ahead = queue.len() as f64 / f64::from(cheapest.slots().max(1));
        let waiting_us = self.typical_latency(&cheapest).mul_f64(rounds_ahead).max(waited).as_micros() as f64;
        (self.cost(&available) <= self.cost(&cheapest) + waiting_us).then_some(available)
    }

    fn waiting_call(&self, candidates: &[Arc<Server>]) -> WaitingCall {
        let typical = candidates.iter().map(|server| self.typical_latency(server)).min().unwrap_or_default();
        let target = self.request.started.plus(self.route.target_latency);
        let share = |team: &Arc<streamfold_model::TeamSpec>| TeamShare {
            team: Some(team.name.clone()),
            rate: team.limit.map(|limit| limit.rate),
        };
        WaitingCall {
            priority: self.priority,
            team: self.team.as_ref().map(share),
            joined: self.now(),
            latest_start: target.minus(typical),
            expires: self.request.deadline,
        }
    }

    /// Resumes a call that has waited. With an entry it was selected and is started; without one it has expired.
    pub(crate) fn resume(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        entry: Option<QueueEntry>,
    ) {
        attempts.is_queued = false;
        let Some(entry) = entry else { return };
        attempts.queue_entry = Some(entry);
        let Err(stop) = self.start(position, attempts, calls) else { return };
        if !matches!(stop, AttemptStop::Queued | AttemptStop::Canary) {
            self.log_not_made(attempts, stop);
        }
        if !attempts.is_open() {
            self.plan_retry(attempts);
        }
    }
}
