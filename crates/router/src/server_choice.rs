//! Whether a call goes to a server now or waits for one at this node.

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

/// Tells a line, when it is dropped with its call, that there may be room.
pub(crate) struct CapacityNotice {
    pub(crate) line: Arc<CallQueue>,
    pub(crate) clock: NodeClock,
}

impl Drop for CapacityNotice {
    fn drop(&mut self) {
        self.line.note_capacity(self.clock.now());
    }
}

/// Where a call goes.
pub(crate) enum ServerChoice {
    /// To a server now; it gives up the place it had.
    Now(Arc<Server>, Option<QueueEntry>),
    /// Nowhere yet: it waits in a place, or is a second call, which does not wait.
    Wait(Option<QueueEntry>),
}

impl AttemptContext {
    /// The server to try next, or the place in which the call waits for one; `None` where no server is left. A call
    /// that was called up has a place already.
    pub(crate) fn choose_server(
        &self,
        attempts: &ServiceAttempts,
        service: &Service,
        place: Option<QueueEntry>,
    ) -> Option<ServerChoice> {
        let candidates = self.candidates(attempts, service);
        let Some(cheapest) = self.find_cheapest(candidates.iter()) else {
            return self.wait_for_any(attempts, place);
        };
        let Some(line) = service.queue() else { return Some(ServerChoice::Now(cheapest, None)) };
        if place.as_ref().is_some_and(|place| !place.is_selected()) {
            return Some(ServerChoice::Wait(place));
        }
        // Read before room is looked for, so that what is freed meanwhile is not missed.
        let round = line.round();
        let waited = place.as_ref().map_or(Duration::ZERO, QueueEntry::waited);
        let must_wait = place.is_none() && line.is_busy();
        let roomy = if must_wait { None } else { self.choose_roomy(line, &candidates, cheapest, waited) };
        if let Some(server) = roomy {
            if place.is_none() {
                line.note_immediate(self.now(), self.priority);
            }
            return Some(ServerChoice::Now(server, place));
        }
        if let Some(place) = place {
            place.requeue(service.has_capacity(self.now()));
            return Some(ServerChoice::Wait(Some(place)));
        }
        // A second call would wait behind first ones.
        if attempts.is_calling() || self.origin == RequestOrigin::HedgingNode {
            return Some(ServerChoice::Wait(None));
        }
        let looked_in = if must_wait { 0 } else { round };
        let call = self.waiting_call(&candidates);
        Some(ServerChoice::Wait(Some(line.push(self.router.clock, call, looked_in, self.request.id_text()))))
    }

    /// Lets a call wait on that was called up at a moment without any usable server: the only one may be leaving, and
    /// the next one not be known yet.
    fn wait_for_any(&self, attempts: &ServiceAttempts, place: Option<QueueEntry>) -> Option<ServerChoice> {
        let place = place.filter(|_| attempts.tried.is_empty() && self.now() < self.retry_until)?;
        place.requeue(false);
        Some(ServerChoice::Wait(Some(place)))
    }

    /// The cheapest server with room, unless waiting for the cheapest of all is cheaper still: one that is far, slow
    /// or resting is no better for being free. The longer the line, and the longer the call has waited, the farther it
    /// may go: that leaves what frees here to those behind it.
    fn choose_roomy(
        &self,
        line: &CallQueue,
        candidates: &[Arc<Server>],
        cheapest: Arc<Server>,
        waited: Duration,
    ) -> Option<Arc<Server>> {
        let now = self.now();
        if cheapest.has_capacity(now) {
            return Some(cheapest);
        }
        let roomy = self.find_cheapest(candidates.iter().filter(|server| server.has_capacity(now)))?;
        let turns = line.len() as f64 / f64::from(cheapest.slots().max(1));
        let waiting = self.typical_latency(&cheapest).mul_f64(turns).max(waited).as_micros() as f64;
        (self.cost(&roomy) <= self.cost(&cheapest) + waiting).then_some(roomy)
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

    /// Goes on with a call that has waited: it is called up, or without a place given up.
    pub(crate) fn resume(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        place: Option<QueueEntry>,
    ) {
        attempts.is_queued = false;
        let Some(place) = place else { return };
        attempts.queue_entry = Some(place);
        let Err(stop) = self.start(position, attempts, calls) else { return };
        if !matches!(stop, AttemptStop::Queued | AttemptStop::Canary) {
            self.log_not_made(attempts, stop);
        }
        if !attempts.is_open() {
            self.plan_retry(attempts);
        }
    }
}
