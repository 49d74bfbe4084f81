//! The membership table: who is there, by heartbeat counters that are passed on.
//!
//! An entry is about one incarnation of a node. Its counter rises only at the node itself,
//! so whoever passes it on cannot make a dead node look live. States only move forward
//! within an incarnation: a node that leaves never comes back as the same one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::{Decode, Encode};
use serde::Serialize;
use streamfold_model::operator::MemberHealth;
use streamfold_model::{ConfigVersion, FailureDomain, Incarnation, NodeId};

use crate::moment::Moment;

/// What a node says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes work.
    Live,
    /// It takes no new work and finishes what it has.
    Leaving,
    /// It has ended.
    Gone,
}

/// One node as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Encode, Decode)]
pub struct MemberEntry {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its heartbeat counter.
    pub beat: u64,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where its peers' port is reached.
    pub peer_address: SocketAddr,
    /// Where its operators' port is reached.
    pub operator_address: SocketAddr,
    /// What it says of itself.
    pub state: MemberState,
    /// The configuration it has in force.
    pub config: ConfigVersion,
    /// Milliseconds since it last heard from the store, or from a node that did, that its
    /// configuration is the newest.
    pub config_age_ms: u64,
}

/// One hand-over of tickets in a planned stop, as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Encode, Decode)]
pub struct HandoverRecord {
    /// The node that stopped.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The node that took over.
    pub successor: NodeId,
    /// How often the tickets were handed over by then; the latest hand-over counts.
    pub hops: u32,
}

/// Who answers for a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketHolder {
    /// The node.
    pub node: NodeId,
    /// Whether the run that holds the tickets is still there, as far as is known.
    pub alive: bool,
}

/// How long a counter may stand still.
#[derive(Debug, Clone, Copy)]
pub struct MemberTimes {
    /// Before the node is suspected.
    pub suspect_after: Duration,
    /// Before it gets no work.
    pub dead_after: Duration,
    /// Before it is forgotten.
    pub forget_after: Duration,
}

#[derive(Debug, Clone)]
struct MemberRow {
    entry: MemberEntry,
    heard: Moment,
}

/// What one node knows of all nodes, itself included.
#[derive(Debug)]
pub struct MemberTable {
    own: NodeId,
    times: MemberTimes,
    rows: BTreeMap<NodeId, MemberRow>,
    handovers: BTreeMap<(NodeId, Incarnation), (HandoverRecord, Moment)>,
    cursor: Option<NodeId>,
}

/// Whether `new` tells more than `old`.
fn is_newer(new: &MemberEntry, old: &MemberEntry) -> bool {
    let rank = |entry: &MemberEntry| (entry.incarnation, entry.state, entry.beat);
    rank(new) > rank(old)
}

impl MemberTable {
    /// A table that knows only its own node.
    pub fn new(own: MemberEntry, times: MemberTimes, now: Moment) -> Self {
        let node = own.node.clone();
        let rows = BTreeMap::from([(node.clone(), MemberRow { entry: own, heard: now })]);
        Self { own: node, times, rows, handovers: BTreeMap::new(), cursor: None }
    }

    /// One's own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.rows[&self.own].entry
    }

    /// How long this node did not run, if it did not: its own counter is raised well within the time after
    /// which others are suspected. Without it a node that had no processor for seconds took all others for
    /// dead: beside a load of 25 on 8 cores it told of 20 to 26 of 50 orders that their tickets were lost.
    fn own_pause(&self, now: Moment) -> Duration {
        let beaten = self.rows.get(&self.own).map_or(now, |row| row.heard);
        now.since(beaten).saturating_sub(self.times.suspect_after)
    }

    /// Changes one's own entry and raises its counter. What was not heard while this node did not run does not
    /// count against others.
    pub fn update_own(&mut self, now: Moment, change: impl FnOnce(&mut MemberEntry)) {
        let pause = self.own_pause(now);
        self.rows.values_mut().for_each(|row| row.heard = row.heard.plus(pause));
        let own = self.own.clone();
        if let Some(row) = self.rows.get_mut(&own) {
            change(&mut row.entry);
            row.entry.beat += 1;
            row.heard = now;
        }
    }

    /// Takes in an entry heard from another node; true if it changed what is known.
    pub fn learn(&mut self, now: Moment, entry: MemberEntry) -> bool {
        if entry.node == self.own {
            return false;
        }
        match self.rows.get_mut(&entry.node) {
            Some(row) if is_newer(&entry, &row.entry) => {
                row.entry = entry;
                row.heard = now;
                true
            }
            Some(_) => false,
            None => {
                self.rows.insert(entry.node.clone(), MemberRow { entry, heard: now });
                true
            }
        }
    }

    /// Drops nodes not heard of for long.
    pub fn forget(&mut self, now: Moment) {
        let limit = self.times.forget_after;
        let own = self.own.clone();
        self.rows.retain(|node, row| *node == own || now.since(row.heard) < limit);
        self.handovers.retain(|_, (_, learnt)| now.since(*learnt) < limit);
    }

    /// Learns which node took over the tickets of a run that was stopped as planned.
    pub fn learn_handover(&mut self, now: Moment, record: HandoverRecord) {
        let key = (record.node.clone(), record.incarnation);
        let known = self.handovers.get(&key).map(|(known, _)| known.hops);
        if known.is_none_or(|hops| record.hops > hops) {
            self.handovers.insert(key, (record, now));
        }
    }

    /// The node that answers for the tickets of a run: itself, or the last that took over.
    pub fn ticket_holder(&self, node: &NodeId, incarnation: Incarnation) -> TicketHolder {
        if let Some((record, _)) = self.handovers.get(&(node.clone(), incarnation)) {
            let successor = record.successor.clone();
            return TicketHolder { alive: self.get(&successor).is_some(), node: successor };
        }
        let alive = self.get(node).is_some_and(|entry| entry.incarnation == incarnation);
        TicketHolder { alive, node: node.clone() }
    }

    /// All hand-overs still remembered.
    pub fn handovers(&self) -> Vec<HandoverRecord> {
        self.handovers.values().map(|(record, _)| record.clone()).collect()
    }

    /// How a node looks from here.
    pub fn health(&self, now: Moment, node: &NodeId) -> MemberHealth {
        let Some(row) = self.rows.get(node) else { return MemberHealth::Dead };
        let silent = now.since(row.heard).saturating_sub(self.own_pause(now));
        if *node == self.own {
            return MemberHealth::Live;
        }
        if row.entry.state == MemberState::Gone || silent >= self.times.dead_after {
            return MemberHealth::Dead;
        }
        if silent >= self.times.suspect_after { MemberHealth::Suspect } else { MemberHealth::Live }
    }

    /// An entry.
    pub fn get(&self, node: &NodeId) -> Option<&MemberEntry> {
        self.rows.get(node).map(|row| &row.entry)
    }

    /// All entries, by node.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// Nodes that may be given work: they say they are live and do not look dead.
    pub fn workers(&self, now: Moment) -> impl Iterator<Item = &MemberEntry> {
        let entries = self.entries();
        entries.filter(move |entry| {
            entry.state == MemberState::Live && self.health(now, &entry.node) != MemberHealth::Dead
        })
    }

    /// The next entries to pass on: one's own, then the others in turn, at most `most`.
    pub fn sample(&mut self, most: usize) -> Vec<MemberEntry> {
        let mut sample = vec![self.own().clone()];
        let start = self.cursor.take();
        let after = self.rows.keys().filter(|node| start.as_ref().is_some_and(|start| *node > start));
        let from_start = self.rows.keys().filter(|node| start.as_ref().is_none_or(|start| *node <= start));
        let turn = after.chain(from_start).filter(|node| **node != self.own);
        let chosen: Vec<NodeId> = turn.take(most.saturating_sub(1)).cloned().collect();
        sample.extend(chosen.iter().filter_map(|node| self.get(node).cloned()));
        self.cursor = chosen.last().cloned();
        sample
    }
}
