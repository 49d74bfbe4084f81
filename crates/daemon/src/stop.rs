//! The planned stop of a node: nothing in flight is cut off, and its tickets go on elsewhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use streamfold_policy::{HandoverRecord, MemberEntry};
use tokio::task::JoinSet;

use crate::gossip;
use crate::node::Node;
use crate::node_start::RunningNode;
use crate::wire::{AdoptReply, AdoptRequest, PATH_ADOPT};

/// How long handing over tickets to one node may take.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long telling the others of the end may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop.
    Serving,
    /// It says that it is leaving and still takes work.
    LameDuck,
    /// It refuses new work and finishes what it has.
    Refusing,
    /// It is over.
    Ended,
}

impl RunningNode {
    /// Stops as planned: says leaving, serves while balancers lag, refuses new work, finishes
    /// what is in flight, hands over tickets and says good-bye. Nothing in flight is cut off
    /// unless it outlasts the grace.
    pub async fn stop(mut self) {
        let node = self.node.clone();
        node.enter_phase(StopPhase::LameDuck);
        tokio::time::sleep(node.settings.lame_duck).await;
        node.enter_phase(StopPhase::Refusing);
        wait_for_zero(&node.orders, node.settings.grace).await;
        hand_over(&node).await;
        wait_for_zero(&node.work, node.settings.grace).await;
        node.enter_phase(StopPhase::Ended);
        announce_stop(&node).await;
        self.tasks.shutdown().await;
    }

    /// Ends at once, as a crash would.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}

async fn wait_for_zero(counter: &AtomicUsize, grace: Duration) {
    const LOOK_EVERY: Duration = Duration::from_millis(5);
    let zero = async {
        while counter.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    if tokio::time::timeout(grace, zero).await.is_err() {
        tracing::warn!(event = "stop_grace_over", in_flight = counter.load(Ordering::SeqCst));
    }
}

/// Hands tickets to one live node of the own domain, else of another. The hand-over counts
/// only once it is acknowledged and told, so at most one node ever answers for a ticket.
async fn hand_over(node: &Arc<Node>) {
    let now = node.clock.now();
    let mut handovers = vec![node.own_tickets.hand_over(now)];
    handovers.extend(node.adopted_tables().iter().map(|table| table.hand_over(now)));
    let records: Vec<_> =
        handovers.iter().map(|handover| (handover.node.clone(), handover.incarnation, handover.hops)).collect();
    let request = AdoptRequest { handovers };
    let mut candidates: Vec<MemberEntry> = node.members().workers(now).cloned().collect();
    candidates.retain(|entry| entry.node != node.settings.node);
    candidates.sort_by_key(|entry| entry.domain != node.settings.domain);
    for candidate in candidates {
        let link = node.links.for_address(candidate.peer_address);
        let taken = link.call::<_, AdoptReply>(PATH_ADOPT, &request, ADOPT_TIMEOUT).await;
        if taken.is_ok() {
            let mut members = node.members();
            for (minter, incarnation, hops) in records {
                let successor = candidate.node.clone();
                let record = HandoverRecord { node: minter, incarnation, successor, hops };
                members.learn_handover(now, record);
            }
            return;
        }
    }
    tracing::warn!(event = "tickets_not_handed_over");
}

/// Tells every live node of the end and of the hand-over, and waits for them to take it in.
async fn announce_stop(node: &Arc<Node>) {
    let now = node.clock.now();
    let others: Vec<SocketAddr> = node.members().workers(now).map(|entry| entry.peer_address).collect();
    let mut told = JoinSet::new();
    for address in others {
        told.spawn(gossip::exchange(node.clone(), node.links.for_address(address)));
    }
    // Whoever is not reached learns it from the others.
    let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, async { while told.join_next().await.is_some() {} }).await;
}
