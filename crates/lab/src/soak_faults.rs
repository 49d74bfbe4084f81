//! Fault injection of a soak: several injectors run concurrently, each with its own pseudo-random
//! sequence derived from the seed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::json;
use streamfold_standin::server::RouteSwitches;
use tokio::task::JoinSet;

use crate::soak_audit::{DisturbanceKind, ViolationKind};
use crate::soak_fleet::{SoakFleet, color_of};
use crate::soak_paths::COMMON_FAULTS;

/// How long a planned stop of a node may take: the grace period of its settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// How often processes are checked for an unexpected exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the start of a node is attempted if it does not become ready.
const MAX_STARTS: u32 = 3;

/// States of a damaged settings file.
const DAMAGED_SETTINGS: [&str; 3] = ["gone", "empty", "cut short"];

/// Selects the switch of a server that causes one kind of fault.
type SwitchSelector = fn(&RouteSwitches) -> &AtomicBool;

/// Injects one sequence of faults.
pub struct FaultInjector {
    /// The fleet into which faults are injected.
    pub fleet: Arc<SoakFleet>,
    /// Random number generator of this injector.
    pub rng: SmallRng,
    /// Time after which no further fault is started.
    pub end: Instant,
}

impl FaultInjector {
    pub(crate) fn is_finished(&self) -> bool {
        Instant::now() >= self.end
    }

    pub(crate) fn random_millis(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..until))
    }

    /// Sleeps for a random time between `from` and `until` milliseconds, but not beyond the end of
    /// the injection.
    pub(crate) async fn sleep_between(&mut self, from: u64, until: u64) {
        let duration = self.random_millis(from, until);
        tokio::time::sleep_until((Instant::now() + duration).min(self.end).into()).await;
    }

    /// Pauses, kills, stops and restarts the given nodes, one at a time.
    pub async fn inject_node_faults(mut self, nodes: Vec<usize>) {
        while !self.is_finished() {
            match self.rng.random_range(0..3) {
                0 => self.sleep_between(4_000, 9_000).await,
                _ => self.sleep_between(100, 1_500).await,
            }
            let node = nodes[self.rng.random_range(0..nodes.len())];
            match self.rng.random_range(0..4) {
                0 => self.pause(node, 100, 2_500).await,
                1 => self.kill(node).await,
                _ => self.stop(node).await,
            }
        }
    }

    /// Pauses any node or sends SIGHUP to it, whatever other fault it is under.
    pub async fn inject_signals(mut self) {
        while !self.is_finished() {
            self.sleep_between(50, 700).await;
            let node = self.rng.random_range(0..self.fleet.nodes.len());
            match self.rng.random_range(0..3) {
                0 => self.pause(node, 20, 500).await,
                _ => self.send_sighup(node).await,
            }
        }
    }

    /// Removes, empties or truncates settings files for a while, with and without SIGHUP. A node
    /// must keep the settings that it has read.
    pub async fn inject_settings_faults(mut self) {
        while !self.is_finished() {
            self.sleep_between(200, 2_500).await;
            let node = self.rng.random_range(0..self.fleet.nodes.len());
            let choice = self.rng.random_range(0..DAMAGED_SETTINGS.len());
            let fleet = self.fleet.clone();
            let Some((file, text)) = fleet.read_settings(node) else { continue };
            fleet.log_fault(&format!("settings of node {node}: {}", DAMAGED_SETTINGS[choice]));
            let damaged = match choice {
                0 => std::fs::remove_file(&file),
                1 => std::fs::write(&file, ""),
                _ => std::fs::write(&file, &text[..text.len() / 2]),
            };
            if self.rng.random_bool(0.7) {
                self.send_sighup(node).await;
            }
            // A node notices the longest of these periods without SIGHUP, too.
            self.sleep_between(50, 4_000).await;
            if let Err(error) = damaged.and_then(|()| std::fs::write(&file, text)) {
                fleet.log_event(&format!("the settings of node {node} could not be damaged or restored: {error}"));
            }
        }
    }

    async fn send_sighup(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        for _ in 0..self.rng.random_range(1..4) {
            self.fleet.log_fault(&format!("HUP node {node}"));
            self.fleet.signal(node, run, "HUP").await;
        }
    }

    async fn pause(&mut self, node: usize, from: u64, until: u64) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.log_fault(&format!("STOP node {node}"));
        let disturbance = self.fleet.start_disturbance(DisturbanceKind::Paused, Some(node));
        self.fleet.signal(node, run, "STOP").await;
        self.sleep_between(from, until).await;
        self.fleet.signal(node, run, "CONT").await;
        self.fleet.log_fault(&format!("CONT node {node}"));
        self.fleet.disturbances.end(disturbance);
    }

    async fn kill(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.log_fault(&format!("KILL node {node}"));
        let disturbance = self.fleet.start_disturbance(DisturbanceKind::Down, Some(node));
        self.fleet.signal(node, run, "KILL").await;
        if self.fleet.wait_exit(node, STOP_TIMEOUT).await.is_none() {
            self.fleet.note_violation(
                ViolationKind::BadStop,
                &format!("node {node} run {run}"),
                "still running after SIGKILL".to_owned(),
            );
        }
        self.sleep_between(0, 1_200).await;
        self.start(node, disturbance).await;
    }

    /// Stops a node as planned; further SIGTERM or SIGHUP signals may arrive while it stops.
    async fn stop(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.log_fault(&format!("TERM node {node}"));
        let stopping = self.fleet.start_disturbance(DisturbanceKind::Stopping, Some(node));
        let start = Instant::now();
        self.fleet.signal(node, run, "TERM").await;
        for _ in 0..self.rng.random_range(0..3) {
            self.sleep_between(0, 900).await;
            let name = ["TERM", "HUP"][self.rng.random_range(0..2)];
            self.fleet.log_fault(&format!("{name} node {node} while it stops"));
            self.fleet.signal(node, run, name).await;
        }
        let status = self.fleet.wait_exit(node, STOP_TIMEOUT.saturating_sub(start.elapsed())).await;
        let down = self.fleet.start_disturbance(DisturbanceKind::Down, Some(node));
        self.fleet.disturbances.end(stopping);
        if !status.is_some_and(|status| status.success()) {
            let detail = format!("{status:?} after {:?}", start.elapsed());
            self.fleet.note_violation(ViolationKind::BadStop, &format!("node {node} run {run}"), detail);
            self.fleet.signal(node, run, "KILL").await;
            self.fleet.wait_exit(node, STOP_TIMEOUT).await;
        }
        self.sleep_between(0, 800).await;
        self.start(node, down).await;
    }

    async fn start(&self, node: usize, down: usize) {
        self.fleet.log_fault(&format!("starting node {node}"));
        restart_node(&self.fleet, node, down).await;
    }

    /// Injects faults of servers and of the network path to them.
    pub async fn inject_server_faults(mut self) {
        while !self.is_finished() {
            self.sleep_between(0, 400).await;
            let position = self.rng.random_range(0..self.fleet.servers.len());
            if self.rng.random_range(0..3) == 0 {
                let faults = self.fleet.servers[position].proxy.faults.clone();
                self.inject_random_path_fault(&[faults], &format!("before server {position}"), COMMON_FAULTS).await;
            } else {
                self.inject_switch_fault(position).await;
            }
        }
    }

    async fn inject_switch_fault(&mut self, position: usize) {
        let switches: [(&str, SwitchSelector); 9] = [
            ("refuse", |switches| &switches.refuse),
            ("fail", |switches| &switches.fail),
            ("lose_answer", |switches| &switches.lose_answer),
            ("surplus", |switches| &switches.surplus),
            ("surplus_first", |switches| &switches.surplus_first),
            ("late_copy", |switches| &switches.late_copy),
            ("cut_body", |switches| &switches.cut_body),
            ("wrong_id", |switches| &switches.wrong_id),
            ("close", |switches| &switches.close),
        ];
        let state = self.fleet.servers[position].server.state.clone();
        let choice = self.rng.random_range(0..switches.len() + 2);
        let Some((name, switch)) = switches.get(choice) else {
            let duration_ms = u64::try_from(self.random_millis(50, 3_500).as_millis()).unwrap_or_default();
            let is_pause = choice == switches.len();
            let slow = if is_pause { &state.switches.pause_ms } else { &state.switches.work_ms };
            self.fleet.log_fault(&format!(
                "server {position} {} {duration_ms} ms",
                if is_pause { "pauses" } else { "works" }
            ));
            slow.store(duration_ms, Ordering::Relaxed);
            self.sleep_between(200, 2_500).await;
            slow.store(0, Ordering::Relaxed);
            return;
        };
        self.fleet.log_fault(&format!("server {position} {name}"));
        switch(&state.switches).store(true, Ordering::Relaxed);
        self.sleep_between(200, 2_500).await;
        switch(&state.switches).store(false, Ordering::Relaxed);
    }

    /// Injects faults of the store and of the network path to it.
    pub async fn inject_store_faults(mut self) {
        while !self.is_finished() {
            // A longer pause gives nodes the time to learn of every change, which the checks then require.
            match self.rng.random_range(0..3) {
                0 => self.sleep_between(6_000, 9_000).await,
                _ => self.sleep_between(100, 1_800).await,
            }
            let node = self.rng.random_range(0..self.fleet.nodes.len());
            if self.rng.random_bool(0.5) {
                let disturbance = self.fleet.start_disturbance(DisturbanceKind::Store, Some(node));
                let faults = self.fleet.nodes[node].store.faults.clone();
                self.inject_random_path_fault(&[faults], &format!("between node {node} and the store"), COMMON_FAULTS)
                    .await;
                self.fleet.disturbances.end(disturbance);
            } else {
                let disturbance = self.fleet.start_disturbance(DisturbanceKind::Store, None);
                self.inject_platform_fault().await;
                self.fleet.disturbances.end(disturbance);
            }
        }
    }

    async fn inject_platform_fault(&mut self) {
        let fleet = self.fleet.clone();
        let (state, faults) = (&fleet.platform.state, &fleet.platform.state.faults);
        let choice = self.rng.random_range(0..6);
        let name = ["outage", "slow", "lost answers", "mute watches", "forgets", "older document"][choice];
        fleet.log_fault(&format!("store: {name}"));
        match choice {
            0 => faults.outage.store(true, Ordering::Relaxed),
            1 => faults.slow_ms.store(self.rng.random_range(20..800), Ordering::Relaxed),
            2 => faults.lost_answers.store(600, Ordering::Relaxed),
            3 => faults.mute_watches.store(true, Ordering::Relaxed),
            4 => state.forget_history(),
            _ => self.rewrite_older(),
        }
        self.sleep_between(100, 2_500).await;
        match choice {
            0 => faults.outage.store(false, Ordering::Relaxed),
            1 => faults.slow_ms.store(0, Ordering::Relaxed),
            2 => faults.lost_answers.store(0, Ordering::Relaxed),
            3 => {
                faults.mute_watches.store(false, Ordering::Relaxed);
                // The write makes the watches, which answer again, deliver the updates that they held back.
                state.put_object("soak", "wake", json!(self.rng.random::<u32>()));
            }
            4 => {}
            _ => fleet.write_version(fleet.versions().last().map_or(1, |last| last.version)),
        }
    }

    /// Makes the store return an older version of the document, as a stale replica would.
    fn rewrite_older(&mut self) {
        let versions = self.fleet.versions();
        let older = versions.len().saturating_sub(self.rng.random_range(2..4));
        self.fleet.write_version(versions[older].version);
    }

    /// Makes the changes that operators and servers make: new document versions and new server entries.
    pub async fn inject_changes(mut self) {
        let mut replacements = JoinSet::new();
        while !self.is_finished() {
            self.sleep_between(100, 1_300).await;
            if self.rng.random_bool(0.4) {
                let version = self.fleet.versions().last().map_or(1, |last| last.version);
                let version = version + self.rng.random_range(1..4);
                self.fleet.log_fault(&format!("document version {version}"));
                self.fleet.write_version(version);
                let max_ms = if self.rng.random_bool(0.3) { 7_000 } else { 1_500 };
                self.sleep_between(0, max_ms).await;
                continue;
            }
            let position = self.choose_server();
            let replacer =
                Self { fleet: self.fleet.clone(), rng: rand::SeedableRng::from_rng(&mut self.rng), end: self.end };
            // A server whose entry is already being changed is skipped.
            if !self.fleet.is_entry_changing(position) {
                self.fleet.set_entry_changing(position, true);
                replacements.spawn(replacer.replace_server(position));
                if self.rng.random_bool(0.5) {
                    self.sleep_between(5_000, 8_000).await;
                }
            }
        }
        while replacements.join_next().await.is_some() {}
    }

    /// Chooses a server to replace: most often one of the two that the newest routes lead to.
    fn choose_server(&mut self) -> usize {
        let version = self.fleet.versions().last().map_or(1, |last| last.version);
        match self.rng.random_bool(0.6) {
            true => 2 * color_of(version) + self.rng.random_range(0..2),
            false => self.rng.random_range(0..self.fleet.servers.len()),
        }
    }

    /// Drains a server and registers it under a new id, or removes its entry for a while.
    async fn replace_server(mut self, position: usize) {
        let state = self.fleet.servers[position].server.state.clone();
        if self.rng.random_bool(0.6) {
            self.fleet.log_fault(&format!("server {position} ({}) starts to drain", state.id()));
            self.fleet.register(position, "draining");
            self.sleep_between(1_000, 10_000).await;
            self.fleet.unregister(position);
            self.sleep_between(0, 1_500).await;
            state.set_id(&format!("{}.{}", state.plan.id, self.rng.random::<u16>()));
        } else {
            self.fleet.log_fault(&format!("removed the entry of server {position} ({})", state.id()));
            self.fleet.unregister(position);
            self.sleep_between(100, 6_000).await;
        }
        self.fleet.log_fault(&format!("server {position} ({}) is registered", state.id()));
        self.fleet.register(position, "ready");
        self.fleet.set_entry_changing(position, false);
    }
}

/// Starts a node until it is ready, as the platform does; each failed start is recorded as a violation.
async fn restart_node(fleet: &SoakFleet, node: usize, down: usize) {
    for _ in 0..MAX_STARTS {
        let run = fleet.nodes[node].run.load(Ordering::SeqCst);
        let request = format!("node {node} run {run}");
        match fleet.start_node(node).await {
            Ok(()) => match fleet.wait_ready(node).await {
                Ok(true) => break,
                Ok(false) => {
                    fleet.note_violation(ViolationKind::NotBack, &request, "not ready after the start".to_owned());
                }
                Err(status) => {
                    fleet.note_violation(ViolationKind::Ended, &request, format!("exited while starting: {status:?}"));
                }
            },
            Err(error) => fleet.note_violation(ViolationKind::NotBack, &request, error.to_string()),
        }
    }
    fleet.disturbances.end(down);
}

/// Records processes that exit without having been asked to and restarts them, until the future
/// is dropped.
pub async fn watch_processes(fleet: Arc<SoakFleet>) {
    loop {
        let checked_at = Instant::now();
        tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
        for position in 0..fleet.nodes.len() {
            if let Some(status) = fleet.poll_unexpected_exit(position).await {
                // Its requests in flight failed with it: the process counts as down since the last check, so
                // that they are not reported as further violations.
                let down = fleet.disturbances.start_at(DisturbanceKind::Down, Some(position), checked_at);
                let run = fleet.nodes[position].run.load(Ordering::SeqCst);
                fleet.note_violation(
                    ViolationKind::Ended,
                    &format!("node {position} run {run}"),
                    format!("{status:?}"),
                );
                restart_node(&fleet, position, down).await;
            }
        }
    }
}
