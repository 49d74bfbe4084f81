//! Gossip between nodes: heartbeats for the failure detector, and the distribution of newer configurations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use streamfold_model::{ConfigVersion, NodeId};
use streamfold_policy::{MemberEntry, MemberState};

use crate::node::Node;
use crate::stats;
use crate::wire::{ConfigReply, GossipMessage, PATH_CONFIG, PATH_GOSSIP};
use streamfold_link::{PeerLink, encode_frame};

/// Maximum number of entries in one heartbeat, so that its cost does not grow with the number of nodes.
const MAX_ENTRIES: usize = 24;
/// Timeout of a heartbeat exchange.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of fetching a configuration from another node.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Nodes per group (own domain, other domains) that receive an urgent update without waiting for the next heartbeat.
const URGENT_FANOUT: usize = 4;
/// One round of heartbeats in this many also contacts a node that looks dead, or a seed.
const REACH_OUT_INTERVAL: u64 = 8;
/// One round of heartbeats in this many reads the platform's VM list.
const VM_LIST_INTERVAL: u64 = 120;

/// Sends heartbeats until the task is aborted.
pub async fn run(node: Arc<Node>) {
    let mut tick: u64 = 0;
    loop {
        node.beat();
        if tick.is_multiple_of(VM_LIST_INTERVAL) {
            tokio::spawn(refresh_seeds(node.clone()));
        }
        let mut targets = choose_targets(&node, 1);
        if tick.is_multiple_of(REACH_OUT_INTERVAL) || targets.is_empty() {
            targets.extend(choose_unreachable(&node));
        }
        for link in targets {
            tokio::spawn(exchange(node.clone(), link));
        }
        tick += 1;
        let jitter = rand::random_range(0.8..1.2);
        let delay = node.settings.heartbeat.mul_f64(jitter);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = node.urgent.notified() => send_urgent(&node),
        }
    }
}

/// Sends an update to several nodes at once, so that it reaches all nodes within a few hops.
fn send_urgent(node: &Arc<Node>) {
    node.beat();
    for link in choose_targets(node, URGENT_FANOUT) {
        tokio::spawn(exchange(node.clone(), link));
    }
}

/// Chooses random nodes that are not dead: `count` in the own failure domain and as many in others.
fn choose_targets(node: &Node, count: usize) -> Vec<Arc<PeerLink>> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    let now = node.clock.now();
    {
        let members = node.members();
        let others = members.entries().filter(|entry| entry.node != node.settings.node);
        for entry in others.filter(|entry| entry.state != MemberState::Gone) {
            if members.health(now, &entry.node) == streamfold_model::operator::MemberHealth::Dead {
                continue;
            }
            let group = if entry.domain == node.settings.domain { &mut near } else { &mut far };
            group.push(entry.node.clone());
        }
    }
    let mut rng = rand::rng();
    let mut chosen: Vec<NodeId> = near.choose_multiple(&mut rng, count).cloned().collect();
    chosen.extend(far.choose_multiple(&mut rng, count).cloned());
    chosen.iter().filter_map(|name| node.links.get(name)).collect()
}

/// Chooses a node that looks dead, or a seed at whose address no live node is known, so that the end of a network
/// partition is noticed.
fn choose_unreachable(node: &Node) -> Option<Arc<PeerLink>> {
    let now = node.clock.now();
    let mut addresses: Vec<SocketAddr> = node.seeds();
    {
        let members = node.members();
        let dead = members.entries().filter(|entry| {
            entry.state != MemberState::Gone
                && members.health(now, &entry.node) == streamfold_model::operator::MemberHealth::Dead
        });
        addresses.extend(dead.map(|entry| entry.peer_address));
        let known: Vec<SocketAddr> = members.workers(now).map(|entry| entry.peer_address).collect();
        addresses.retain(|address| !known.contains(address) && *address != members.own().peer_address);
    }
    let address = addresses.choose(&mut rand::rng())?;
    Some(node.links.for_address(*address))
}

async fn refresh_seeds(node: Arc<Node>) {
    let vms = match node.vms.vms().await {
        Ok(vms) => vms,
        Err(error) => {
            tracing::warn!(event = "vms_unknown", %error);
            return;
        }
    };
    let listed = vms.into_iter().filter(|vm| vm.node != node.settings.node && !vm.leaving);
    node.set_listed_seeds(listed.map(|vm| vm.peer_address).collect());
}

fn own_message(node: &Node) -> GossipMessage {
    let mut members = node.members();
    GossipMessage { entries: members.sample(MAX_ENTRIES), handovers: members.handovers() }
}

/// Sends a heartbeat over a link and merges the answer.
pub async fn exchange(node: Arc<Node>, link: Arc<PeerLink>) {
    let message = own_message(&node);
    if let Ok(frame) = encode_frame(&message) {
        stats::count_gossip_bytes(frame.len());
    }
    let answer = link.call::<_, GossipMessage>(PATH_GOSSIP, &message, GOSSIP_TIMEOUT).await;
    let Ok(answer) = answer else { return };
    let sender = answer.entries.first().cloned();
    merge(&node, answer);
    if let Some(sender) = sender {
        fetch_if_newer(&node, &sender).await;
    }
}

/// Merges a received heartbeat into the membership table.
pub fn merge(node: &Arc<Node>, message: GossipMessage) {
    let now = node.clock.now();
    if let Some(sender) = message.entries.first() {
        node.keeper.confirm(sender.config, sender.config_age_ms);
    }
    let mut members = node.members();
    for entry in message.entries {
        members.learn(now, entry);
    }
    for record in message.handovers {
        members.learn_handover(now, record);
    }
}

/// Merges a heartbeat and returns the answer. If the sender has a newer configuration, it is fetched in the background.
pub fn answer(node: &Arc<Node>, message: GossipMessage) -> GossipMessage {
    let sender: Option<MemberEntry> = message.entries.first().cloned();
    merge(node, message);
    if let Some(sender) = sender
        && sender.config > node.keeper.version()
    {
        let node = node.clone();
        tokio::spawn(async move { fetch_if_newer(&node, &sender).await });
    }
    own_message(node)
}

async fn fetch_if_newer(node: &Arc<Node>, sender: &MemberEntry) {
    if sender.config <= node.keeper.version() {
        return;
    }
    let link = node.links.for_address(sender.peer_address);
    let known = node.keeper.version();
    let reply = link.call::<ConfigVersion, ConfigReply>(PATH_CONFIG, &known, FETCH_TIMEOUT).await;
    if let Ok(ConfigReply { bundle: Some(bundle) }) = reply {
        node.offer(bundle);
    }
}
