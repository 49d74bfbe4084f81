//! Faults of the ways that a soak's proxies stand in: to servers, between nodes, to the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;

use crate::proxy::ProxyFaults;
use crate::soak_audit::SpanKind;
use crate::soak_faults::FaultLane;

/// Faults of a way as the log of faults names them. A lane draws from the first few: a new one
/// goes to the end, so that the plans of kept seeds stay as they are.
const WAY_FAULTS: [&str; 8] = ["delay", "break", "hold_out", "hold_back", "cut", "resets", "silence", "turned away"];
/// Those of the lanes that the oldest kept seeds have.
pub const OLDEST_FAULTS: usize = 6;
/// Those between nodes; only a store turns a caller away.
const LINK_FAULTS: usize = 7;
/// How long a fault lasts at most, in milliseconds.
pub const LONGEST_FAULT: u64 = 2_500;
/// The same where other ways must take its place: longer than news may take.
const LONGEST_LINK_FAULT: u64 = 9_000;
/// How often a lane looks whether a fault of the store is played.
const STORE_LOOK: Duration = Duration::from_millis(20);
/// Of a thousand chunks back, after so many the connection breaks off.
const RESETS: u64 = 200;

impl ProxyFaults {
    /// Sets a fault, or ends it.
    fn set(&self, fault: &str, is_on: bool, delay_us: u64) {
        let is_silent = fault == "silence";
        match fault {
            "delay" => self.delay_us.store(u64::from(is_on) * delay_us, Ordering::Relaxed),
            "cut" => self.cut.store(is_on, Ordering::Relaxed),
            "resets" => self.resets.store(u64::from(is_on) * RESETS, Ordering::Relaxed),
            "turned away" => self.turn_away.store(is_on, Ordering::Relaxed),
            _ => {}
        }
        if is_silent || fault == "hold_out" {
            self.pause_out.store(is_on, Ordering::Relaxed);
        }
        if is_silent || fault == "hold_back" {
            self.pause_back.store(is_on, Ordering::Relaxed);
        }
    }
}

impl FaultLane {
    /// Plays one of the first so many faults on some ways at once, for some milliseconds at most.
    pub(crate) async fn play_ways(&mut self, ways: &[Arc<ProxyFaults>], place: &str, faults: usize, longest: u64) {
        let fault = WAY_FAULTS[self.dice.random_range(0..faults)];
        self.fleet.note_fault(&format!("proxy {place}: {fault}"));
        let delay_us = self.dice.random_range(5_000..400_000);
        ways.iter().for_each(|way| way.set(fault, true, delay_us));
        let breaks = match fault {
            "break" | "turned away" => true,
            "cut" => self.dice.random_bool(0.5),
            _ => false,
        };
        if breaks {
            ways.iter().for_each(|way| way.break_all());
        }
        self.rest(100, longest).await;
        ways.iter().for_each(|way| way.set(fault, false, 0));
    }

    /// Faults of the links to one node or several.
    pub async fn play_links(mut self) {
        while !self.is_over() {
            self.rest(0, 900).await;
            let nodes = self.choose_nodes();
            let longest = if self.dice.random_bool(0.3) { LONGEST_LINK_FAULT } else { LONGEST_FAULT };
            let ways: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].links.faults.clone()).collect();
            self.play_ways(&ways, &format!("before the links to nodes {nodes:?}"), LINK_FAULTS, longest).await;
        }
    }

    /// Some nodes, or all, lose the store at the same time while another fault of it is played,
    /// so that the times in which nodes must know all stay long.
    pub async fn play_store_ways(mut self) {
        while !self.is_over() {
            self.rest(100, 4_000).await;
            while !self.is_over() && !self.fleet.spans.is_on(SpanKind::Store) {
                tokio::time::sleep(STORE_LOOK).await;
            }
            let nodes = self.choose_nodes();
            let ways: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].store.faults.clone()).collect();
            let spans: Vec<_> = nodes.iter().map(|node| self.fleet.disturb(SpanKind::Store, Some(*node))).collect();
            self.play_ways(&ways, &format!("between nodes {nodes:?} and the store"), WAY_FAULTS.len(), LONGEST_FAULT)
                .await;
            spans.into_iter().for_each(|span| self.fleet.spans.end(span));
        }
    }

    /// One node in half of the cases, else each with even chances and at least one.
    fn choose_nodes(&mut self) -> Vec<usize> {
        let count = self.fleet.nodes.len();
        let one = self.dice.random_range(0..count);
        let is_alone = self.dice.random_bool(0.5);
        let dice = &mut self.dice;
        (0..count).filter(|node| *node == one || (!is_alone && dice.random_bool(0.5))).collect()
    }
}
