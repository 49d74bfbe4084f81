//! Second calls round one that is overdue.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::replica::Distance;
use streamfold_policy::{Mechanism, Moment};

use crate::attempt_context::{AttemptContext, PendingCalls};
use crate::attempts::ServiceAttempts;
use crate::cluster_view::Service;
use crate::peers::PeerNode;
use crate::server::Server;

/// How long until a hedge that found no free server is looked at again.
const HEDGE_PAUSE: Duration = Duration::from_millis(15);

/// A hedge to a far server that goes through a node near it. The link to that node is open,
/// where the server would have to be connected to first, and the node leaves out records that
/// cannot be wanted.
pub struct FarHedge {
    /// The position of the shard in the request.
    pub position: usize,
    /// The node.
    pub peer: Arc<PeerNode>,
}

impl AttemptContext {
    /// Tries another server because the newest call is overdue, if one has a free slot: a hedge
    /// that would only wait in another queue makes both longer. One to a far server goes to `far`,
    /// where it is taken and a node near the server can make it.
    pub(crate) fn hedge(
        &self,
        position: usize,
        attempts: &mut ServiceAttempts,
        calls: &PendingCalls,
        far: Option<&mut Vec<FarHedge>>,
    ) {
        attempts.hedge_at = None;
        let Some(late) = attempts.tried.last().cloned() else { return };
        let waited = self.now().since(attempts.started);
        let is_news = !std::mem::replace(&mut attempts.is_overdue, true);
        if is_news && !attempts.is_handed {
            self.note_overdue(&late, attempts.started);
        }
        let next = self
            .best_server(attempts)
            .filter(|server| self.is_free() && self.canary.may_hedge(self.now()) && self.may_hedge(server))
            .filter(|_| !self.is_line_busy(attempts));
        let via = next.as_ref().filter(|_| far.is_some()).and_then(|server| self.find_node_near(server));
        let has_started = match (&next, &via) {
            (None, _) => false,
            (Some(server), Some(_)) => self.hand_over(attempts, server),
            (Some(_), None) => self.start(position, attempts, calls).is_ok(),
        };
        match has_started {
            true => self.canary.note_hedge(self.now()),
            false => self.look_again(attempts),
        }
        if is_news || has_started {
            let via = via.as_deref().filter(|_| has_started);
            self.log_overdue(attempts, &late, waited, has_started, via);
        }
        if let (Some(peer), Some(far), true) = (via, far, has_started) {
            far.push(FarHedge { position, peer });
        }
    }

    /// Whether a server takes hedges: one with a queue would make both calls longer.
    fn may_hedge(&self, server: &Server) -> bool {
        let mechanism = match server.distance {
            Distance::Domain | Distance::Region => Mechanism::NearHedges,
            Distance::Far => Mechanism::FarHedges,
        };
        self.router.has(mechanism) && !server.state().is_busy(self.now())
    }

    /// Whether calls wait for the service: they go before second calls.
    fn is_line_busy(&self, attempts: &ServiceAttempts) -> bool {
        let line = self.view.services.get(&attempts.service).and_then(Service::queue);
        line.is_some_and(|line| line.is_busy())
    }

    /// Looks for a free server again after a pause, while there is time and one may be asked.
    fn look_again(&self, attempts: &mut ServiceAttempts) {
        let again = self.now().plus(HEDGE_PAUSE);
        if !self.is_spent(attempts) && again < self.retry_until {
            attempts.hedge_at = Some(again);
        }
    }

    fn log_overdue(
        &self,
        attempts: &ServiceAttempts,
        late: &Server,
        waited: Duration,
        has_started: bool,
        via: Option<&PeerNode>,
    ) {
        tracing::info!(
            event = "call_overdue",
            request = self.request.id_text(),
            service = %attempts.service,
            server = %late.id,
            waited_ms = waited.as_millis() as u64,
            hedge = attempts.tried.last().filter(|_| has_started).map(|server| server.id.as_str()),
            via = via.map(|peer| peer.entry.node.as_str())
        );
    }

    /// A node near a far server, if one can be asked.
    fn find_node_near(&self, server: &Server) -> Option<Arc<PeerNode>> {
        let is_far = server.distance == Distance::Far;
        is_far.then(|| self.choose_peer(&server.domain)).flatten()
    }

    /// Counts a call to a server that another node makes; false if it is not allowed.
    fn hand_over(&self, attempts: &mut ServiceAttempts, server: &Arc<Server>) -> bool {
        let Some(service) = self.view.services.get(&attempts.service) else { return false };
        if self.is_spent(attempts) || !self.charge(attempts, service) {
            return false;
        }
        let patience = self.times.hedge_delay(server.distance, self.route.target_latency);
        attempts.note_handed(server.clone(), self.now(), patience);
        true
    }

    /// Tells the server's state, once a call, that the call is overdue.
    fn note_overdue(&self, server: &Server, started: Moment) {
        server.state().note_overdue(self.now(), started);
        metrics::counter!("streamfold_overdue_calls_total").increment(1);
    }
}
