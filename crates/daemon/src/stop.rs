//! Graceful stop of a node: work in flight is finished, and its tickets are handed over to another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use streamfold_policy::stop_schedule::StopSchedule;
use streamfold_policy::{HandoverRecord, MemberEntry};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::gossip;
use crate::node::Node;
use crate::node_start::RunningNode;
use crate::wire::{AdoptReply, AdoptRequest, PATH_ADOPT};

/// Timeout of the handover of tickets to one node.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a stopping node checks whether the work in flight has ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The phase of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The node is not stopping.
    Serving,
    /// The node announces that it is leaving and still accepts work.
    LameDuck,
    /// The node refuses new work and finishes the work in flight.
    Refusing,
    /// The node gives up the work that is still in flight and answers its callers, since its process is about to end.
    GivingUp,
    /// The node has stopped.
    Ended,
}

impl RunningNode {
    /// Stops gracefully: announces that the node is leaving, serves until load balancers have noticed, refuses new
    /// work, hands over its tickets, waits for the work in flight and announces the stop. All of that fits into the
    /// grace period, after which the platform kills the process: work that takes longer is given up before, so that its
    /// callers still get an answer.
    pub async fn stop(mut self) {
        let node = self.node.clone();
        let started = Instant::now();
        let schedule = StopSchedule::new(node.settings.lame_duck, node.settings.grace);
        node.enter_phase(StopPhase::LameDuck);
        tokio::time::sleep_until(started + schedule.refuse_after).await;
        node.enter_phase(StopPhase::Refusing);
        wait_for_zero(&node.orders, started + schedule.hand_over_after).await;
        if tokio::time::timeout_at(started + schedule.give_up_after, hand_over(&node)).await.is_err() {
            tracing::warn!(event = "tickets_not_handed_over", error = "no answer in time");
        }
        wait_for_zero(&node.work, started + schedule.give_up_after).await;
        node.enter_phase(StopPhase::GivingUp);
        let end = started + schedule.end_after;
        wait_for_zero(&node.work, end).await;
        node.enter_phase(StopPhase::Ended);
        tokio::join!(announce_stop(&node, end), wait_for_connections(&node, end));
        self.tasks.shutdown().await;
    }

    /// Stops at once, like a crash.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}

async fn wait_for_zero(counter: &AtomicUsize, until: Instant) {
    while counter.load(Ordering::SeqCst) > 0 {
        if Instant::now() >= until {
            tracing::warn!(event = "stop_grace_over", in_flight = counter.load(Ordering::SeqCst));
            return;
        }
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Waits until callers have read their last answers and their connections are closed.
async fn wait_for_connections(node: &Node, until: Instant) {
    while node.callers.open_connections() > 0 && Instant::now() < until {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Hands over the tickets to a live node, preferably in the own failure domain. The handover takes effect only after it
/// is acknowledged and announced, so at most one node answers for a ticket.
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

/// Announces the stop and the handover to every live node and waits for their answers, at most until `end`.
async fn announce_stop(node: &Arc<Node>, end: Instant) {
    let now = node.clock.now();
    let addresses: Vec<SocketAddr> = node.members().workers(now).map(|entry| entry.peer_address).collect();
    let mut exchanges = JoinSet::new();
    for address in addresses {
        exchanges.spawn(gossip::exchange(node.clone(), node.links.for_address(address)));
    }
    // Nodes that are not reached receive the update from other nodes.
    let _ = tokio::time::timeout_at(end, async { while exchanges.join_next().await.is_some() {} }).await;
}
