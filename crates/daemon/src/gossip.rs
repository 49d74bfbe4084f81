//! Heartbeats between nodes, and the spread of newer configurations along with them.

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

/// Entries in one heartbeat, at most, so that its cost does not grow with the fleet.
const MAX_ENTRIES: usize = 24;
/// How long a heartbeat may take.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long fetching a configuration may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Nodes told at once of news that should not wait for the next heartbeat.
const URGENT_FANOUT: usize = 4;
/// One heartbeat in this many also goes to a node that looks dead, or to a seed.
const REACH_OUT_EVERY: u64 = 8;
/// One heartbeat in this many asks the platform for its VM list.
const VM_LIST_EVERY: u64 = 120;

/// Sends heartbeats until the node ends.
pub async fn run(node: Arc<Node>) {
    let mut tick: u64 = 0;
    loop {
        node.beat();
        if tick.is_multiple_of(VM_LIST_EVERY) {
            tokio::spawn(learn_vms(node.clone()));
        }
        let mut targets = choose_targets(&node, 1);
        if tick.is_multiple_of(REACH_OUT_EVERY) || targets.is_empty() {
            targets.extend(choose_lost(&node));
        }
        for link in targets {
            tokio::spawn(exchange(node.clone(), link));
        }
        tick += 1;
        let jitter = rand::random_range(0.8..1.2);
        let pause = node.settings.heartbeat.mul_f64(jitter);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.urgent.notified() => tell_urgently(&node),
        }
    }
}

/// Tells several nodes at once, so that news is everywhere within a few hops.
fn tell_urgently(node: &Arc<Node>) {
    node.beat();
    for link in choose_targets(node, URGENT_FANOUT) {
        tokio::spawn(exchange(node.clone(), link));
    }
}

/// Random nodes that look live: `count` of the own domain and as many of others.
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
    let mut dice = rand::rng();
    let mut chosen: Vec<NodeId> = near.choose_multiple(&mut dice, count).cloned().collect();
    chosen.extend(far.choose_multiple(&mut dice, count).cloned());
    chosen.iter().filter_map(|name| node.links.get(name)).collect()
}

/// A node that looks dead or a seed nobody is known at, so that a healed cut is noticed.
fn choose_lost(node: &Node) -> Option<Arc<PeerLink>> {
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
    Some(node.links.at(*address))
}

async fn learn_vms(node: Arc<Node>) {
    let Ok(vms) = node.vms.vms().await else { return };
    let listed = vms.into_iter().filter(|vm| vm.node != node.settings.node && !vm.leaving);
    node.learn_seeds(listed.map(|vm| vm.peer_address).collect());
}

fn own_message(node: &Node) -> GossipMessage {
    let mut members = node.members();
    GossipMessage { entries: members.sample(MAX_ENTRIES), handovers: members.handovers() }
}

/// Sends a heartbeat over a link and takes in the answer.
pub async fn exchange(node: Arc<Node>, link: Arc<PeerLink>) {
    let message = own_message(&node);
    if let Ok(frame) = encode_frame(&message) {
        stats::count_gossip_bytes(frame.len());
    }
    let answer = link.call::<_, GossipMessage>(PATH_GOSSIP, &message, GOSSIP_TIMEOUT).await;
    let Ok(answer) = answer else { return };
    let sender = answer.entries.first().cloned();
    take(&node, answer);
    if let Some(sender) = sender {
        fetch_if_newer(&node, &sender).await;
    }
}

/// Takes in a heartbeat.
pub fn take(node: &Arc<Node>, message: GossipMessage) {
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

/// Answers a heartbeat; if its sender has a newer configuration, it is fetched from there.
pub fn answer(node: &Arc<Node>, message: GossipMessage) -> GossipMessage {
    let sender: Option<MemberEntry> = message.entries.first().cloned();
    take(node, message);
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
    let link = node.links.at(sender.peer_address);
    let wanted = node.keeper.version();
    let reply = link.call::<ConfigVersion, ConfigReply>(PATH_CONFIG, &wanted, FETCH_TIMEOUT).await;
    if let Ok(ConfigReply { bundle: Some(bundle) }) = reply {
        node.offer(bundle);
    }
}
