//! Network faults of a soak, injected by proxies on the paths to servers, between nodes and to the
//! store.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;

use crate::proxy::ProxyFaults;
use crate::soak_audit::DisturbanceKind;
use crate::soak_faults::FaultInjector;

/// Faults of a network path, by their names in the log of faults. Injectors draw from a prefix of
/// this list: new faults are appended, so that the fault sequences of the recorded seeds do not change.
const PATH_FAULTS: [&str; 8] = ["delay", "break", "hold_out", "hold_back", "cut", "resets", SILENCE, "rejected"];
/// Number of faults, from the start of the list, that apply to every path.
pub const COMMON_FAULTS: usize = 6;
/// The fault that may last long; for the connections between nodes it has an injector of its own.
const SILENCE: &str = "silence";
/// Range of the duration of a fault, in milliseconds.
const USUAL_DURATION_MS: Range<u64> = 100..2_500;
/// Range of the time in which connections between nodes are silent, in milliseconds. It reaches
/// beyond the 5 s within which updates must arrive.
const SILENCE_DURATION_MS: Range<u64> = 1_000..10_000;
/// How often it is checked whether a fault of the store is active.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Of a thousand chunks towards the client, the number that are cut off together with their connection.
const RESETS_PER_MILLE: u64 = 200;

impl ProxyFaults {
    /// Starts or ends a fault.
    fn set(&self, fault: &str, is_on: bool, delay_us: u64) {
        match fault {
            "delay" => self.delay_us.store(u64::from(is_on) * delay_us, Ordering::Relaxed),
            "cut" => self.refuse_connections.store(is_on, Ordering::Relaxed),
            "resets" => self.reset_per_mille.store(u64::from(is_on) * RESETS_PER_MILLE, Ordering::Relaxed),
            "hold_out" => self.pause_to_server.store(is_on, Ordering::Relaxed),
            "hold_back" => self.pause_to_client.store(is_on, Ordering::Relaxed),
            SILENCE => self.pause_both.store(is_on, Ordering::Relaxed),
            "rejected" => self.reject_requests.store(is_on, Ordering::Relaxed),
            _ => {}
        }
    }
}

impl FaultInjector {
    /// Injects one of the first `faults` faults of the list on all given paths at once.
    pub(crate) async fn inject_random_path_fault(&mut self, paths: &[Arc<ProxyFaults>], location: &str, faults: usize) {
        let fault = PATH_FAULTS[self.rng.random_range(0..faults)];
        self.inject_path_fault(paths, location, fault, USUAL_DURATION_MS).await;
    }

    async fn inject_path_fault(
        &mut self,
        paths: &[Arc<ProxyFaults>],
        location: &str,
        fault: &str,
        duration_ms: Range<u64>,
    ) {
        self.fleet.log_fault(&format!("proxy {location}: {fault}"));
        let delay_us = self.rng.random_range(5_000..400_000);
        paths.iter().for_each(|path| path.set(fault, true, delay_us));
        let breaks_connections = match fault {
            "break" | "rejected" => true,
            "cut" => self.rng.random_bool(0.5),
            _ => false,
        };
        if breaks_connections {
            paths.iter().for_each(|path| path.break_all());
        }
        self.sleep_between(duration_ms.start, duration_ms.end).await;
        paths.iter().for_each(|path| path.set(fault, false, 0));
    }

    /// Injects faults of the connections to one node or several.
    pub async fn inject_link_faults(mut self) {
        while !self.is_finished() {
            self.sleep_between(0, 900).await;
            let nodes = self.choose_nodes();
            let paths: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].links.faults.clone()).collect();
            self.inject_random_path_fault(&paths, &format!("before the links to nodes {nodes:?}"), COMMON_FAULTS).await;
        }
    }

    /// Silences connections between nodes for so long that nodes must not wait for them. Often these
    /// are the connections to all nodes of a failure domain, which include the node that relays
    /// store updates to others.
    pub async fn inject_silent_links(mut self) {
        while !self.is_finished() {
            self.sleep_between(0, 2_500).await;
            let nodes = match self.rng.random_bool(0.5) {
                true => self.choose_domain(),
                false => self.choose_nodes(),
            };
            let paths: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].links.faults.clone()).collect();
            let location = format!("before the links to nodes {nodes:?}");
            self.inject_path_fault(&paths, &location, SILENCE, SILENCE_DURATION_MS).await;
        }
    }

    /// Disturbs the paths of some or all nodes to the store while another fault of the store is
    /// active. The overlap keeps the undisturbed periods, in which nodes must know every change, long.
    pub async fn inject_store_path_faults(mut self) {
        while !self.is_finished() {
            self.sleep_between(100, 4_000).await;
            while !self.is_finished() && !self.fleet.disturbances.is_active(DisturbanceKind::Store) {
                tokio::time::sleep(STORE_CHECK_INTERVAL).await;
            }
            let nodes = self.choose_nodes();
            let paths: Vec<_> = nodes.iter().map(|node| self.fleet.nodes[*node].store.faults.clone()).collect();
            let disturbances: Vec<_> =
                nodes.iter().map(|node| self.fleet.start_disturbance(DisturbanceKind::Store, Some(*node))).collect();
            self.inject_random_path_fault(&paths, &format!("between nodes {nodes:?} and the store"), PATH_FAULTS.len())
                .await;
            disturbances.into_iter().for_each(|disturbance| self.fleet.disturbances.end(disturbance));
        }
    }

    /// Chooses all nodes of one failure domain.
    fn choose_domain(&mut self) -> Vec<usize> {
        let half = self.fleet.nodes.len() / 2;
        let first = half * self.rng.random_range(0..2);
        (first..first + half).collect()
    }

    /// Chooses a single node with probability 0.5; otherwise each node with probability 0.5, and at
    /// least one.
    fn choose_nodes(&mut self) -> Vec<usize> {
        let count = self.fleet.nodes.len();
        let chosen = self.rng.random_range(0..count);
        let is_single = self.rng.random_bool(0.5);
        let rng = &mut self.rng;
        (0..count).filter(|node| *node == chosen || (!is_single && rng.random_bool(0.5))).collect()
    }
}
