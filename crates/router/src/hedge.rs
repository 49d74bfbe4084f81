//! Hedging: sends a second call to another server when the first one is overdue.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

use crate::attempt_context::{AttemptContext, PendingCalls};
use crate::attempts::ServiceAttempts;
use crate::cluster_view::Service;
use crate::peers::PeerNode;
use crate::server::Server;

/// The pause before a hedge that found no free server is tried again.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(15);

/// A hedge to a far server, delegated to a node near it. The link to that node is already open, whereas a connection to
/// the server would have to be made first, and the node omits records that cannot be among the wanted ones.
pub struct FarHedge {
    /// The position of the shard within the request.
    pub position: usize,
    /// The node that makes the hedge.
    pub peer: Arc<PeerNode>,
}

impl AttemptContext {
    /// Hedges the latest call, which is overdue, if another server has a free slot: a hedge that waits in another queue
    /// only makes both queues longer. If `far` is given and a node near a far server can make the hedge, it is pushed
    /// there instead of being sent directly.
    pub(crate) fn hedge(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        far: Option<&mut Vec<FarHedge>>,
    ) {
        attempts.hedge_at = None;
        let Some(overdue) = attempts.tried.last().cloned() else { return };
        let waited = self.now().since(attempts.started);
        let is_newly_overdue = !std::mem::replace(&mut attempts.is_overdue, true);
        if is_newly_overdue && !attempts.is_remote_hedge {
            self.note_overdue(&overdue, attempts.started);
        }
        let next = self
            .best_server(attempts)
            .filter(|server| self.is_unrestricted() && self.canary.may_hedge(self.now()) && self.may_hedge(server))
            .filter(|_| !self.has_queued_calls(attempts));
        let via = next.as_ref().filter(|_| far.is_some()).and_then(|server| self.find_node_near(server));
        let has_started = match (&next, &via) {
            (None, _) => false,
            (Some(server), Some(_)) => self.delegate_hedge(attempts, server),
            (Some(_), None) => self.start(position, attempts, calls).is_ok(),
        };
        match has_started {
            true => self.canary.note_hedge(self.now()),
            false => self.schedule_recheck(attempts),
        }
        if is_newly_overdue || has_started {
            let via = via.as_deref().filter(|_| has_started);
            self.log_overdue(attempts, &overdue, waited, has_started, via);
        }
        if let (Some(peer), Some(far), true) = (via, far, has_started) {
            far.push(FarHedge { position, peer });
        }
    }

    /// Whether a server may be hedged to: if it has a queue, a hedge would make both calls take longer.
    fn may_hedge(&self, server: &Server) -> bool {
        let mechanism = match server.distance {
            Distance::Domain | Distance::Region => Mechanism::NearHedges,
            Distance::Far => Mechanism::FarHedges,
        };
        self.router.has(mechanism) && !server.state().is_busy(self.now())
    }

    /// Whether calls are queued for the service; they take precedence over hedges.
    fn has_queued_calls(&self, attempts: &ServiceAttempts) -> bool {
        let queue = self.view.services.get(&attempts.service).and_then(Service::queue);
        queue.is_some_and(|queue| queue.is_busy())
    }

    /// Schedules another check for a free server, while time is left and the attempt limit allows a call.
    fn schedule_recheck(&self, attempts: &mut ServiceAttempts) {
        let recheck_at = self.now().plus(HEDGE_RECHECK_INTERVAL);
        if !self.is_at_attempt_limit(attempts) && recheck_at < self.retry_until {
            attempts.hedge_at = Some(recheck_at);
        }
    }

    fn log_overdue(
        &self,
        attempts: &ServiceAttempts,
        overdue: &Server,
        waited: Duration,
        has_started: bool,
        via: Option<&PeerNode>,
    ) {
        tracing::info!(
            event = "call_overdue",
            request = self.request.id_text(),
            service = %attempts.service,
            server = %overdue.id,
            waited_ms = waited.as_millis() as u64,
            hedge = attempts.tried.last().filter(|_| has_started).map(|server| server.id.as_str()),
            via = via.map(|peer| peer.entry.node.as_str())
        );
    }

    /// A usable node near a server, if the server is far.
    fn find_node_near(&self, server: &Server) -> Option<Arc<PeerNode>> {
        let is_far = server.distance == Distance::Far;
        is_far.then(|| self.choose_peer(&server.domain)).flatten()
    }

    /// Charges and records a hedge that another node is to make. Returns false if it is not allowed.
    fn delegate_hedge(&self, attempts: &mut ServiceAttempts, server: &Arc<Server>) -> bool {
        let Some(service) = self.view.services.get(&attempts.service) else { return false };
        if self.is_at_attempt_limit(attempts) || !self.has_time_for(service) || !self.charge(attempts, service) {
            return false;
        }
        let hedge_delay = self.times.hedge_delay(server.distance, self.route.target_latency);
        attempts.note_remote_hedge(server.clone(), self.now(), hedge_delay);
        true
    }

    /// Records in the server's state that a call is overdue. Done once per call.
    fn note_overdue(&self, server: &Server, started: Moment) {
        server.state().note_overdue(self.now(), started);
        metrics::counter!("streamfold_overdue_calls_total").increment(1);
    }
}
