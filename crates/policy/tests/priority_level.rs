//! The admitted priority level follows lasting load, does not oscillate, and always admits the most urgent priority.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::Priority;
use streamfold_policy::Moment;
use streamfold_policy::entry_gate::{EntryDecision, EntryGate, EntryRequest, EntryRule};

const TARGET: Duration = Duration::from_millis(100);
/// Time between two rounds of requests in the replays.
const INTERVAL: Duration = Duration::from_millis(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A replay of arriving requests, with the times at which the number of closed priorities changed.
struct Replay {
    gate: EntryGate,
    now: Moment,
    changes: Vec<String>,
}

impl Replay {
    fn new() -> Self {
        Self { gate: EntryGate::default(), now: Moment::default().plus(ms(1_000)), changes: Vec::new() }
    }

    fn request(&mut self, priority: u32, waited: Duration) -> EntryDecision {
        let before = self.gate.level().closed();
        let request =
            EntryRequest { priority: Priority(priority), target: TARGET, left: ms(1_000), expected: None, waited };
        let decision = self.gate.decide(self.now, &request);
        let after = self.gate.level().closed();
        if after != before {
            let at = self.now.since(Moment::default().plus(ms(1_000)));
            self.changes.push(format!("{} ms: {after} closed", at.as_millis()));
        }
        decision
    }

    /// Sends requests of three priorities for a time, with the wait in milliseconds of the calls of each.
    fn run(&mut self, span: Duration, waits: [u64; 3]) {
        let end = self.now.plus(span);
        while self.now < end {
            for (priority, wait) in (0..).zip(waits) {
                self.request(priority, ms(wait));
            }
            self.now = self.now.plus(INTERVAL);
        }
    }
}

#[test]
fn levels_close_one_by_one_after_long_waits_and_open_more_slowly() {
    let mut replay = Replay::new();
    replay.run(ms(3_000), [80, 120, 300]);
    replay.run(ms(8_000), [5, 5, 5]);
    insta::assert_snapshot!(replay.changes.join("\n"));
}

#[test]
fn a_route_with_a_long_target_does_not_hide_that_another_route_misses_its_target() {
    let mut gate = EntryGate::default();
    let mut now = Moment::default().plus(ms(1_000));
    for _ in 0..200 {
        for (priority, target) in [(0, TARGET), (0, ms(2_000)), (2, ms(2_000))] {
            let priority = Priority(priority);
            gate.decide(now, &EntryRequest { priority, target, left: ms(4_000), expected: None, waited: ms(90) });
        }
        now = now.plus(INTERVAL);
    }
    assert_eq!(gate.level().closed(), 1);
}

#[test]
fn a_pause_of_servers_closes_no_priority() {
    let mut replay = Replay::new();
    for _ in 0..20 {
        replay.run(ms(250), [200, 250, 250]);
        replay.run(ms(250), [0, 0, 0]);
    }
    assert_eq!(replay.changes, Vec::<String>::new());
}

#[test]
fn waits_between_short_and_long_change_no_level() {
    let mut replay = Replay::new();
    replay.run(ms(10_000), [40, 40, 40]);
    assert_eq!(replay.changes, Vec::<String>::new());
    replay.run(ms(800), [60, 60, 60]);
    let closed = replay.gate.level().closed();
    assert_eq!(closed, 1);
    replay.run(ms(10_000), [40, 40, 40]);
    assert_eq!(replay.gate.level().closed(), closed);
}

#[test]
fn an_overload_of_the_least_urgent_that_delays_no_other_closes_no_priority() {
    let mut replay = Replay::new();
    replay.run(ms(5_000), [0, 5, 900]);
    assert_eq!(replay.changes, Vec::<String>::new());
}

/// Calls of all priorities in one FIFO queue of a service, for `millis` milliseconds: more calls of the least urgent
/// priority arrive than can be served.
fn overload(millis: u64) -> Replay {
    let mut replay = Replay::new();
    let mut backlog = Duration::ZERO;
    let end = replay.now.plus(ms(millis));
    while replay.now < end {
        // One urgent call, one less urgent and eight of the least urgent arrive in each step, with 2 ms of work each.
        for priority in [0, 1, 2, 2, 2, 2, 2, 2, 2, 2] {
            if replay.request(priority, backlog) == EntryDecision::Admit {
                backlog += ms(2);
            }
        }
        replay.now = replay.now.plus(INTERVAL);
        backlog = backlog.saturating_sub(INTERVAL);
    }
    replay
}

#[test]
fn an_overload_of_the_least_urgent_makes_them_yield_and_the_level_does_not_oscillate() {
    let replay = overload(30_000);
    insta::assert_snapshot!(replay.changes.join("\n"));
    // No urgent priority is closed, and each opening takes twice as long as the one before.
    assert!(replay.changes.iter().all(|change| change.ends_with("0 closed") || change.ends_with("1 closed")));
    assert!(replay.changes.len() <= 8, "{:?}", replay.changes);
}

#[test]
fn the_reported_wait_is_the_time_until_the_level_opens_if_waits_are_short() {
    let mut replay = Replay::new();
    replay.run(ms(1_500), [80, 120, 300]);
    let EntryDecision::Yield { wait } = replay.request(2, ms(0)) else { panic!("not refused") };
    replay.now = replay.now.plus(wait - INTERVAL);
    assert!(matches!(replay.request(2, ms(0)), EntryDecision::Yield { .. }));
    replay.now = replay.now.plus(INTERVAL);
    assert_eq!(replay.request(2, ms(0)), EntryDecision::Admit);
}

quickcheck! {
    /// Requests of the most urgent priority never yield, whatever waits are reported.
    fn the_most_urgent_never_yield(requests: Vec<(u8, u16, u8)>) -> bool {
        let mut replay = Replay::new();
        let most_urgent = requests.iter().map(|(priority, ..)| u32::from(*priority % 4)).min().unwrap_or_default();
        for (priority, wait, later) in requests.iter().cycle().take(requests.len() * 20) {
            let priority = u32::from(*priority % 4);
            let decision = replay.request(priority, ms(u64::from(*wait)));
            if priority == most_urgent && decision != EntryDecision::Admit {
                return false;
            }
            replay.now = replay.now.plus(ms(u64::from(*later)));
        }
        true
    }
}
