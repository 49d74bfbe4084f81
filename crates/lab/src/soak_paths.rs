//! Faults of the ways that a soak's proxies stand in: to servers, between nodes, to the store.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;

use crate::proxy::ProxyFaults;
use crate::soak_audit::DisturbanceKind;
use crate::soak_faults::FaultInjector;

/// Faults of a way as the log of faults names them. A lane draws from the first few: a new one
/// goes to the end, so that the plans of kept seeds stay as they are.
const WAY_FAULTS: [&str; 8] = ["delay", "break", "hold_out", "hold_back", "cut", "resets", SILENCE, "turned away"];
/// Those of any way.
pub const COMMON_FAULTS: usize = 6;
/// The fault that may last; among the faults of links it has a lane of its own.
const SILENCE: &str = "silence";
/// How long a fault lasts, in milliseconds.
const USUAL_SPAN: Range<u64> = 100..2_500;
/// How long links are silent, in milliseconds: also longer than news may take, which is 5 s.
const SILENT_SPAN: Range<u64> = 1_000..10_000;
/// How often a lane looks whether a fault of the store is played.
const STORE_LOOK: Duration = Duration::from_millis(20);
/// Of a thousand chunks back, after so many the connection breaks off.
const RESETS: u64 = 200;

impl ProxyFaults {
    /// Sets a fault, or ends it.
    fn set(&self, fault: &str, is_on: bool, delay_us: u64) {
        match fault {
            "delay" => self.delay_us.store(u64::from(is_on) * delay_us, Ordering::Relaxed),
            "cut" => self.refuse_connections.store(is_on, Ordering::Relaxed),
            "resets" => self.reset_per_mille.store(u64::from(is_on) * RESETS, Ordering::Relaxed),
            "hold_out" => self.pause_to_server.store(is_on, Ordering::Relaxed),
            "hold_back" => self.pause_to_client.store(is_on, Ordering::Relaxed),
            SILENCE => self.pause_both.store(is_on, Ordering::Relaxed),
            "turned away" => self.reject_requests.store(is_on, Ordering::Relaxed),
            _ => {}
        }
    }
}

impl FaultInjector {
    /// Plays one of the first so many faults on some ways at once.
    pub(crate) async fn play_ways(&mut self, ways: &[Arc<ProxyFaults>], place: &str, faults: usize) {
        let fault = WAY_FAULTS[self.dice.random_range(0..faults)];
        self.play_way_fault(ways, place, fault, USUAL_SPAN).await;
    }

    async fn play_way_fault(&mut self, ways: &[Arc<ProxyFaults>], place: &str, fault: &str, span: Range<u64>) {
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
        self.rest(span.start, span.end).await;
        ways.iter().for_each(|way| way.set(fault, false, 0));
    }

    /// Faults of the links to one node or several.
    pub async fn play_links(mut self) {
        while !self.is_over() {
            self.rest(0, 900).await;
            let nodes = self.choose_nodes();
            let ways: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].links.faults.clone()).collect();
            self.play_ways(&ways, &format!("before the links to nodes {nodes:?}"), COMMON_FAULTS).await;
        }
    }

    /// Links that fall silent for so long that nodes must not wait for them, often those to all
    /// nodes of a failure domain: whichever of them others take their news from is among them.
    pub async fn play_silent_links(mut self) {
        while !self.is_over() {
            self.rest(0, 2_500).await;
            let nodes = match self.dice.random_bool(0.5) {
                true => self.choose_domain(),
                false => self.choose_nodes(),
            };
            let ways: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].links.faults.clone()).collect();
            let place = format!("before the links to nodes {nodes:?}");
            self.play_way_fault(&ways, &place, SILENCE, SILENT_SPAN).await;
        }
    }

    /// Some nodes, or all, lose the store at the same time while another fault of it is played,
    /// so that the times in which nodes must know all stay long.
    pub async fn play_store_ways(mut self) {
        while !self.is_over() {
            self.rest(100, 4_000).await;
            while !self.is_over() && !self.fleet.spans.is_on(DisturbanceKind::Store) {
                tokio::time::sleep(STORE_LOOK).await;
            }
            let nodes = self.choose_nodes();
            let ways: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].store.faults.clone()).collect();
            let spans: Vec<_> =
                nodes.iter().map(|node| self.fleet.disturb(DisturbanceKind::Store, Some(*node))).collect();
            self.play_ways(&ways, &format!("between nodes {nodes:?} and the store"), WAY_FAULTS.len()).await;
            spans.into_iter().for_each(|span| self.fleet.spans.end(span));
        }
    }

    /// All nodes of a failure domain.
    fn choose_domain(&mut self) -> Vec<usize> {
        let half = self.fleet.nodes.len() / 2;
        let first = half * self.dice.random_range(0..2);
        (first..first + half).collect()
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
