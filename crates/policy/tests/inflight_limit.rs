//! How many calls a node has out at a server: enough that no slot is idle, and few enough that it can order the rest.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::inflight_limit::{PeerLoad, inflight_limit};

const SLOTS: u32 = 2;
const STEP_US: u64 = 500;
/// How long a call is on its way, each way: nodes and servers of one failure domain.
const WAY_US: u64 = 500;

/// One server and nodes that call it without hearing of each other.
struct Replay {
    now: Moment,
    /// Calls on their way, at work or coming back, by node, with the moment at which that ends.
    coming: Vec<(u64, usize)>,
    queued: Vec<usize>,
    running: Vec<(u64, usize)>,
    answers: Vec<(u64, usize, u32)>,
    out: Vec<u32>,
    told: Vec<Option<PeerLoad>>,
    waiting: Vec<u32>,
    idle: u64,
    wanted: u64,
}

impl Replay {
    fn new(nodes: usize) -> Self {
        Self {
            now: Moment(0),
            coming: Vec::new(),
            queued: Vec::new(),
            running: Vec::new(),
            answers: Vec::new(),
            out: vec![0; nodes],
            told: vec![None; nodes],
            waiting: vec![0; nodes],
            idle: 0,
            wanted: 0,
        }
    }

    fn send(&mut self) {
        for node in 0..self.waiting.len() {
            while self.waiting[node] > 0 && self.out[node] < inflight_limit(self.now, SLOTS, self.told[node]) {
                self.waiting[node] -= 1;
                self.out[node] += 1;
                self.coming.push((self.now.0 + WAY_US, node));
            }
        }
    }

    fn serve(&mut self, mut took_us: impl FnMut() -> u64) {
        let now = self.now.0;
        self.queued.extend(self.coming.extract_if(.., |(at, _)| *at <= now).map(|(_, node)| node));
        let ended: Vec<_> = self.running.extract_if(.., |(at, _)| *at <= now).collect();
        while self.running.len() < SLOTS as usize && !self.queued.is_empty() {
            let node = self.queued.remove(0);
            self.running.push((now + took_us(), node));
        }
        let load = (self.running.len() + self.queued.len()) as u32;
        self.answers.extend(ended.into_iter().map(|(_, node)| (now + WAY_US, node, load)));
    }

    fn hear(&mut self) {
        let (now, answers) = (self.now, std::mem::take(&mut self.answers));
        let (here, later) = answers.into_iter().partition(|(at, _, _)| *at <= now.0);
        self.answers = later;
        for (_, node, load) in here {
            self.told[node] = Some(PeerLoad::learn(now, load, self.out[node]));
            self.out[node] -= 1;
        }
    }

    /// Counts idle slots while a call waits that would fill them.
    fn count(&mut self) {
        let waiting: u32 = self.waiting.iter().sum();
        if waiting > 0 {
            let idle = (SLOTS as usize - self.running.len()).min(waiting as usize);
            (self.idle, self.wanted) = (self.idle + idle as u64, self.wanted + u64::from(SLOTS));
        }
    }
}

/// Numbers that look random and are the same each time (xorshift).
fn dice(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed | 1;
    move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    }
}

/// The share of slot time that is idle while calls wait, where nodes get calls in bursts at 1.4 times what the server
/// can do.
fn idle_share(nodes: usize, seed: u64) -> f64 {
    let mut replay = Replay::new(nodes);
    let (mut times, mut bursts) = (dice(seed), dice(!seed));
    // A call takes 5 to 35 ms.
    let mut took = || 5_000 + times() % 30_000;
    for step in 0..40_000 {
        replay.now = Moment(step * STEP_US);
        // A burst of 7 for one of the nodes each 50 ms, in which the server does 5.
        if step % 100 == 0 {
            let node = bursts() as usize % nodes;
            replay.waiting[node] += 6 + (bursts() % 3) as u32;
        }
        replay.send();
        replay.serve(&mut took);
        replay.hear();
        replay.count();
        replay.waiting.iter_mut().for_each(|waiting| *waiting = (*waiting).min(40));
    }
    replay.idle as f64 / replay.wanted.max(1) as f64
}

quickcheck! {
    fn hardly_any_slot_is_idle_while_a_call_waits(nodes: u8, seed: u64) -> bool {
        let share = idle_share(1 + usize::from(nodes % 6), seed);
        assert!(share < 0.02, "{share}");
        true
    }

    fn a_node_may_always_have_one_call_out_and_never_more_than_the_slots_and_one(
        slots: u8, requests: u16, own: u16, age_ms: u16
    ) -> bool {
        let slots = u32::from(slots.max(1));
        let others = PeerLoad::learn(Moment(0), u32::from(requests), u32::from(own));
        let room = inflight_limit(Moment(0).plus(Duration::from_millis(u64::from(age_ms))), slots, Some(others));
        (1..=slots + 1).contains(&room)
    }
}

#[test]
fn what_others_had_there_counts_less_the_older_it_is() {
    let others = PeerLoad::learn(Moment(0), 4, 1);
    let rooms = [0, 20, 40, 70, 100].map(|age_ms| inflight_limit(Moment(age_ms * 1_000), 3, Some(others)));
    assert_eq!(rooms, [1, 2, 2, 3, 4]);
    assert_eq!(inflight_limit(Moment(0), 3, None), 4, "nothing is known");
}
