//! The faults of a soak: several lanes, each a series drawn from the seed, overlap.

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

/// How long a node may take to stop as planned: the grace of its settings.
const GRACE: Duration = Duration::from_secs(6);
/// How often it is looked for processes that ended by themselves.
const WATCH_EVERY: Duration = Duration::from_millis(100);
/// How often a node that does not come up is started.
const STARTS: u32 = 3;

/// What befalls a settings file.
const TORN_SETTINGS: [&str; 3] = ["gone", "empty", "cut short"];

/// A fault of a server as its switch.
type SwitchOf = fn(&RouteSwitches) -> &AtomicBool;

/// One series of faults.
pub struct FaultInjector {
    /// What it disturbs.
    pub fleet: Arc<SoakFleet>,
    /// Its own dice.
    pub dice: SmallRng,
    /// When it begins no more.
    pub end: Instant,
}

impl FaultInjector {
    pub(crate) fn is_over(&self) -> bool {
        Instant::now() >= self.end
    }

    pub(crate) fn millis(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(self.dice.random_range(from..until))
    }

    /// Waits, though not beyond the end of the lane.
    pub(crate) async fn rest(&mut self, from: u64, until: u64) {
        let span = self.millis(from, until);
        tokio::time::sleep_until((Instant::now() + span).min(self.end).into()).await;
    }

    /// Pauses, kills, stops and starts some nodes, one at a time.
    pub async fn play_nodes(mut self, nodes: Vec<usize>) {
        while !self.is_over() {
            match self.dice.random_range(0..3) {
                0 => self.rest(4_000, 9_000).await,
                _ => self.rest(100, 1_500).await,
            }
            let node = nodes[self.dice.random_range(0..nodes.len())];
            match self.dice.random_range(0..4) {
                0 => self.pause(node, 100, 2_500).await,
                1 => self.kill(node).await,
                _ => self.stop(node).await,
            }
        }
    }

    /// Signals to any node, whatever else happens to it.
    pub async fn play_signals(mut self) {
        while !self.is_over() {
            self.rest(50, 700).await;
            let node = self.dice.random_range(0..self.fleet.nodes.len());
            match self.dice.random_range(0..3) {
                0 => self.pause(node, 20, 500).await,
                _ => self.hang_up(node).await,
            }
        }
    }

    /// Settings files are gone, empty or cut short for a while, with hangups and without: a
    /// node goes on with what it has read.
    pub async fn play_settings(mut self) {
        while !self.is_over() {
            self.rest(200, 2_500).await;
            let node = self.dice.random_range(0..self.fleet.nodes.len());
            let choice = self.dice.random_range(0..TORN_SETTINGS.len());
            let fleet = self.fleet.clone();
            let Some((file, text)) = fleet.read_settings(node) else { continue };
            fleet.note_fault(&format!("settings of node {node}: {}", TORN_SETTINGS[choice]));
            let torn = match choice {
                0 => std::fs::remove_file(&file),
                1 => std::fs::write(&file, ""),
                _ => std::fs::write(&file, &text[..text.len() / 2]),
            };
            if self.dice.random_bool(0.7) {
                self.hang_up(node).await;
            }
            // The longest are noticed without a hangup, too.
            self.rest(50, 4_000).await;
            if let Err(error) = torn.and_then(|()| std::fs::write(&file, text)) {
                fleet.tell(&format!("the settings of node {node} were not torn or mended: {error}"));
            }
        }
    }

    async fn hang_up(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        for _ in 0..self.dice.random_range(1..4) {
            self.fleet.note_fault(&format!("HUP node {node}"));
            self.fleet.signal(node, run, "HUP").await;
        }
    }

    async fn pause(&mut self, node: usize, from: u64, until: u64) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.note_fault(&format!("STOP node {node}"));
        let span = self.fleet.disturb(DisturbanceKind::Paused, Some(node));
        self.fleet.signal(node, run, "STOP").await;
        self.rest(from, until).await;
        self.fleet.signal(node, run, "CONT").await;
        self.fleet.note_fault(&format!("CONT node {node}"));
        self.fleet.spans.end(span);
    }

    async fn kill(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.note_fault(&format!("KILL node {node}"));
        let span = self.fleet.disturb(DisturbanceKind::Down, Some(node));
        self.fleet.signal(node, run, "KILL").await;
        if self.fleet.wait_end(node, GRACE).await.is_none() {
            self.fleet.note(
                ViolationKind::BadStop,
                &format!("node {node} run {run}"),
                "not gone when killed".to_owned(),
            );
        }
        self.rest(0, 1_200).await;
        self.start(node, span).await;
    }

    /// A planned stop, with signals that come again meanwhile.
    async fn stop(&mut self, node: usize) {
        let run = self.fleet.nodes[node].run.load(Ordering::SeqCst);
        self.fleet.note_fault(&format!("TERM node {node}"));
        let stopping = self.fleet.disturb(DisturbanceKind::Stopping, Some(node));
        let begin = Instant::now();
        self.fleet.signal(node, run, "TERM").await;
        for _ in 0..self.dice.random_range(0..3) {
            self.rest(0, 900).await;
            let name = ["TERM", "HUP"][self.dice.random_range(0..2)];
            self.fleet.note_fault(&format!("{name} node {node}, which stops"));
            self.fleet.signal(node, run, name).await;
        }
        let status = self.fleet.wait_end(node, GRACE.saturating_sub(begin.elapsed())).await;
        let down = self.fleet.disturb(DisturbanceKind::Down, Some(node));
        self.fleet.spans.end(stopping);
        if !status.is_some_and(|status| status.success()) {
            let seen = format!("{status:?} after {:?}", begin.elapsed());
            self.fleet.note(ViolationKind::BadStop, &format!("node {node} run {run}"), seen);
            self.fleet.signal(node, run, "KILL").await;
            self.fleet.wait_end(node, GRACE).await;
        }
        self.rest(0, 800).await;
        self.start(node, down).await;
    }

    async fn start(&self, node: usize, down: usize) {
        self.fleet.note_fault(&format!("start node {node}"));
        start_again(&self.fleet, node, down).await;
    }

    /// Faults of servers and of the way to them.
    pub async fn play_servers(mut self) {
        while !self.is_over() {
            self.rest(0, 400).await;
            let position = self.dice.random_range(0..self.fleet.servers.len());
            if self.dice.random_range(0..3) == 0 {
                let faults = self.fleet.servers[position].proxy.faults.clone();
                self.play_ways(&[faults], &format!("before server {position}"), COMMON_FAULTS).await;
            } else {
                self.play_switch(position).await;
            }
        }
    }

    async fn play_switch(&mut self, position: usize) {
        let switches: [(&str, SwitchOf); 8] = [
            ("refuse", |on| &on.refuse),
            ("fail", |on| &on.fail),
            ("lose_answer", |on| &on.lose_answer),
            ("surplus", |on| &on.surplus),
            ("surplus_first", |on| &on.surplus_first),
            ("cut_body", |on| &on.cut_body),
            ("wrong_id", |on| &on.wrong_id),
            ("close", |on| &on.close),
        ];
        let state = self.fleet.servers[position].server.state.clone();
        let choice = self.dice.random_range(0..switches.len() + 2);
        let Some((name, switch)) = switches.get(choice) else {
            let span = u64::try_from(self.millis(50, 3_500).as_millis()).unwrap_or_default();
            let is_pause = choice == switches.len();
            let slow = if is_pause { &state.switches.pause_ms } else { &state.switches.work_ms };
            self.fleet
                .note_fault(&format!("server {position} {} {span} ms", if is_pause { "pauses" } else { "works" }));
            slow.store(span, Ordering::Relaxed);
            self.rest(200, 2_500).await;
            slow.store(0, Ordering::Relaxed);
            return;
        };
        self.fleet.note_fault(&format!("server {position} {name}"));
        switch(&state.switches).store(true, Ordering::Relaxed);
        self.rest(200, 2_500).await;
        switch(&state.switches).store(false, Ordering::Relaxed);
    }

    /// Faults of the store and of the way to it.
    pub async fn play_store(mut self) {
        while !self.is_over() {
            // In a longer rest nodes have time to know all, and must.
            match self.dice.random_range(0..3) {
                0 => self.rest(6_000, 9_000).await,
                _ => self.rest(100, 1_800).await,
            }
            let node = self.dice.random_range(0..self.fleet.nodes.len());
            if self.dice.random_bool(0.5) {
                let span = self.fleet.disturb(DisturbanceKind::Store, Some(node));
                let faults = self.fleet.nodes[node].store.faults.clone();
                self.play_ways(&[faults], &format!("between node {node} and the store"), COMMON_FAULTS).await;
                self.fleet.spans.end(span);
            } else {
                let span = self.fleet.disturb(DisturbanceKind::Store, None);
                self.play_platform().await;
                self.fleet.spans.end(span);
            }
        }
    }

    async fn play_platform(&mut self) {
        let fleet = self.fleet.clone();
        let (state, faults) = (&fleet.platform.state, &fleet.platform.state.faults);
        let choice = self.dice.random_range(0..6);
        let name = ["outage", "slow", "lost answers", "mute watches", "forgets", "older document"][choice];
        fleet.note_fault(&format!("store: {name}"));
        match choice {
            0 => faults.outage.store(true, Ordering::Relaxed),
            1 => faults.slow_ms.store(self.dice.random_range(20..800), Ordering::Relaxed),
            2 => faults.lost_answers.store(600, Ordering::Relaxed),
            3 => faults.mute_watches.store(true, Ordering::Relaxed),
            4 => state.forget_history(),
            _ => self.rewrite_older(),
        }
        self.rest(100, 2_500).await;
        match choice {
            0 => faults.outage.store(false, Ordering::Relaxed),
            1 => faults.slow_ms.store(0, Ordering::Relaxed),
            2 => faults.lost_answers.store(0, Ordering::Relaxed),
            3 => {
                faults.mute_watches.store(false, Ordering::Relaxed);
                // Watches that are heard again tell what they held back.
                state.put_object("soak", "wake", json!(self.dice.random::<u32>()));
            }
            4 => {}
            _ => fleet.write_version(fleet.versions().last().map_or(1, |last| last.version)),
        }
    }

    /// The store shows an older version of the document for a while, as a copy behind would.
    fn rewrite_older(&mut self) {
        let versions = self.fleet.versions();
        let older = versions.len().saturating_sub(self.dice.random_range(2..4));
        self.fleet.write_version(versions[older].version);
    }

    /// Changes that operators and servers make.
    pub async fn play_changes(mut self) {
        let mut moves = JoinSet::new();
        while !self.is_over() {
            self.rest(100, 1_300).await;
            if self.dice.random_bool(0.4) {
                let version = self.fleet.versions().last().map_or(1, |last| last.version);
                let version = version + self.dice.random_range(1..4);
                self.fleet.note_fault(&format!("document version {version}"));
                self.fleet.write_version(version);
                let span = if self.dice.random_bool(0.3) { 7_000 } else { 1_500 };
                self.rest(0, span).await;
                continue;
            }
            let position = self.choose_leaver();
            let lane =
                Self { fleet: self.fleet.clone(), dice: rand::SeedableRng::from_rng(&mut self.dice), end: self.end };
            // A server on the move is left to it.
            if !self.fleet.is_moving(position) {
                self.fleet.set_moving(position, true);
                moves.spawn(lane.move_server(position));
                if self.dice.random_bool(0.5) {
                    self.rest(5_000, 8_000).await;
                }
            }
        }
        while moves.join_next().await.is_some() {}
    }

    /// A server to move: most often one of the two that the newest routes lead to.
    fn choose_leaver(&mut self) -> usize {
        let version = self.fleet.versions().last().map_or(1, |last| last.version);
        match self.dice.random_bool(0.6) {
            true => 2 * color_of(version) + self.dice.random_range(0..2),
            false => self.dice.random_range(0..self.fleet.servers.len()),
        }
    }

    /// A server leaves and comes back as another, or its entry is gone for a while.
    async fn move_server(mut self, position: usize) {
        let state = self.fleet.servers[position].server.state.clone();
        if self.dice.random_bool(0.6) {
            self.fleet.note_fault(&format!("server {position} ({}) leaves", state.id()));
            self.fleet.register(position, "draining");
            self.rest(1_000, 10_000).await;
            self.fleet.unregister(position);
            self.rest(0, 1_500).await;
            state.set_id(&format!("{}.{}", state.plan.id, self.dice.random::<u16>()));
        } else {
            self.fleet.note_fault(&format!("the entry of server {position} ({}) is gone", state.id()));
            self.fleet.unregister(position);
            self.rest(100, 6_000).await;
        }
        self.fleet.note_fault(&format!("server {position} ({}) is there", state.id()));
        self.fleet.register(position, "ready");
        self.fleet.set_moving(position, false);
    }
}

/// Starts a node until it is ready, as the platform does; each start that fails is noted.
async fn start_again(fleet: &SoakFleet, node: usize, down: usize) {
    for _ in 0..STARTS {
        let run = fleet.nodes[node].run.load(Ordering::SeqCst);
        let request = format!("node {node} run {run}");
        match fleet.start_node(node).await {
            Ok(()) => match fleet.wait_ready(node).await {
                Ok(true) => break,
                Ok(false) => fleet.note(ViolationKind::NotBack, &request, "not ready after its start".to_owned()),
                Err(status) => fleet.note(ViolationKind::Ended, &request, format!("while it started: {status:?}")),
            },
            Err(error) => fleet.note(ViolationKind::NotBack, &request, error.to_string()),
        }
    }
    fleet.spans.end(down);
}

/// Notes processes that end though nobody asked them to and starts them again, until it is
/// dropped.
pub async fn watch_processes(fleet: Arc<SoakFleet>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(WATCH_EVERY).await;
        for position in 0..fleet.nodes.len() {
            if let Some(status) = fleet.look_unasked_end(position).await {
                // What it had in flight ended with it; that is one fault, not many.
                let down = fleet.spans.begin_at(DisturbanceKind::Down, Some(position), before);
                let run = fleet.nodes[position].run.load(Ordering::SeqCst);
                fleet.note(ViolationKind::Ended, &format!("node {position} run {run}"), format!("{status:?}"));
                start_again(&fleet, position, down).await;
            }
        }
    }
}
