//! Checks that the in-flight limit of a node is high enough to keep the server's slots in use, and stays within its
//! bounds.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::inflight_limit::{PeerLoad, inflight_limit};

const SLOTS: u32 = 2;
const STEP_US: u64 = 500;
/// One-way network delay between nodes and servers of one failure domain.
const DELAY_US: u64 = 500;

/// Simulates one server and nodes that call it without communicating with each other.
struct Simulation {
    now: Moment,
    /// Calls on the way to the server, with the time of arrival and the node; likewise running calls and answers.
    in_transit: Vec<(u64, usize)>,
    queued: Vec<usize>,
    running: Vec<(u64, usize)>,
    answers: Vec<(u64, usize, u32)>,
    in_flight: Vec<u32>,
    reported: Vec<Option<PeerLoad>>,
    waiting: Vec<u32>,
    idle: u64,
    demanded: u64,
}

impl Simulation {
    fn new(nodes: usize) -> Self {
        Self {
            now: Moment(0),
            in_transit: Vec::new(),
            queued: Vec::new(),
            running: Vec::new(),
            answers: Vec::new(),
            in_flight: vec![0; nodes],
            reported: vec![None; nodes],
            waiting: vec![0; nodes],
            idle: 0,
            demanded: 0,
        }
    }

    fn send(&mut self) {
        for node in 0..self.waiting.len() {
            while self.waiting[node] > 0 && self.in_flight[node] < inflight_limit(self.now, SLOTS, self.reported[node])
            {
                self.waiting[node] -= 1;
                self.in_flight[node] += 1;
                self.in_transit.push((self.now.0 + DELAY_US, node));
            }
        }
    }

    fn serve(&mut self, mut service_us: impl FnMut() -> u64) {
        let now = self.now.0;
        self.queued.extend(self.in_transit.extract_if(.., |(at, _)| *at <= now).map(|(_, node)| node));
        let ended: Vec<_> = self.running.extract_if(.., |(at, _)| *at <= now).collect();
        while self.running.len() < SLOTS as usize && !self.queued.is_empty() {
            let node = self.queued.remove(0);
            self.running.push((now + service_us(), node));
        }
        let load = (self.running.len() + self.queued.len()) as u32;
        self.answers.extend(ended.into_iter().map(|(_, node)| (now + DELAY_US, node, load)));
    }

    fn receive(&mut self) {
        let (now, answers) = (self.now, std::mem::take(&mut self.answers));
        let (arrived, later) = answers.into_iter().partition(|(at, _, _)| *at <= now.0);
        self.answers = later;
        for (_, node, load) in arrived {
            self.reported[node] = Some(PeerLoad::from_report(now, load, self.in_flight[node]));
            self.in_flight[node] -= 1;
        }
    }

    /// Counts slots that are idle although a call waits for them.
    fn count(&mut self) {
        let waiting: u32 = self.waiting.iter().sum();
        if waiting > 0 {
            let idle = (SLOTS as usize - self.running.len()).min(waiting as usize);
            (self.idle, self.demanded) = (self.idle + idle as u64, self.demanded + u64::from(SLOTS));
        }
    }
}

/// Deterministic pseudo-random numbers (xorshift).
fn rng(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    }
}

/// Share of the slot time that is idle while calls wait, when nodes get calls in bursts of 1.4 times the capacity of
/// the server.
fn idle_share(nodes: usize, seed: u64) -> f64 {
    let mut simulation = Simulation::new(nodes);
    let (mut times, mut bursts) = (rng(seed), rng(!seed));
    // A call takes 5 to 35 ms.
    let mut service_us = || 5_000 + times() % 30_000;
    for step in 0..40_000 {
        simulation.now = Moment(step * STEP_US);
        // One of the nodes gets a burst of 7 calls every 50 ms, in which the server completes 5.
        if step % 100 == 0 {
            let node = bursts() as usize % nodes;
            simulation.waiting[node] += 6 + (bursts() % 3) as u32;
        }
        simulation.send();
        simulation.serve(&mut service_us);
        simulation.receive();
        simulation.count();
        simulation.waiting.iter_mut().for_each(|waiting| *waiting = (*waiting).min(40));
    }
    simulation.idle as f64 / simulation.demanded.max(1) as f64
}

quickcheck! {
    fn hardly_any_slot_is_idle_while_a_call_waits(nodes: u8, seed: u64) -> bool {
        let share = idle_share(1 + usize::from(nodes % 6), seed);
        assert!(share < 0.02, "{share}");
        true
    }

    fn the_limit_is_at_least_one_and_at_most_one_more_than_the_slots(
        slots: u8, requests: u16, own: u16, age_ms: u16
    ) -> bool {
        let slots = u32::from(slots.max(1));
        let peer_load = PeerLoad::from_report(Moment(0), u32::from(requests), u32::from(own));
        let limit = inflight_limit(Moment(0).plus(Duration::from_millis(u64::from(age_ms))), slots, Some(peer_load));
        (1..=slots + 1).contains(&limit)
    }
}

#[test]
fn the_reported_load_of_other_nodes_decays_with_its_age() {
    let peer_load = PeerLoad::from_report(Moment(0), 4, 1);
    let limits = [0, 20, 40, 70, 100].map(|age_ms| inflight_limit(Moment(age_ms * 1_000), 3, Some(peer_load)));
    assert_eq!(limits, [1, 2, 2, 3, 4]);
    assert_eq!(inflight_limit(Moment(0), 3, None), 4, "without a report");
}
