//! Which priorities are let in: it follows what lasts, does not swing, and the most urgent always are.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::Priority;
use streamfold_policy::Moment;
use streamfold_policy::entry_gate::{EntryDecision, EntryGate, EntryRequest, EntryRule};

const TARGET: Duration = Duration::from_millis(100);
/// Time between two requests of the replays.
const EVERY: Duration = Duration::from_millis(10);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Asks as they come; the times at which the number of closed priorities changed.
struct Replay {
    gate: EntryGate,
    now: Moment,
    changes: Vec<String>,
}

impl Replay {
    fn new() -> Self {
        Self { gate: EntryGate::default(), now: Moment::default().plus(ms(1_000)), changes: Vec::new() }
    }

    fn ask(&mut self, priority: u32, waited: Duration) -> EntryDecision {
        let before = self.gate.level().closed();
        let ask =
            EntryRequest { priority: Priority(priority), target: TARGET, left: ms(1_000), expected: None, waited };
        let step = self.gate.decide(self.now, &ask);
        let after = self.gate.level().closed();
        if after != before {
            let at = self.now.since(Moment::default().plus(ms(1_000)));
            self.changes.push(format!("{} ms: {after} closed", at.as_millis()));
        }
        step
    }

    /// Requests of three priorities for a time, whose calls wait so long.
    fn run(&mut self, span: Duration, waits: [u64; 3]) {
        let end = self.now.plus(span);
        while self.now < end {
            for (priority, wait) in (0..).zip(waits) {
                self.ask(priority, ms(wait));
            }
            self.now = self.now.plus(EVERY);
        }
    }
}

#[test]
fn levels_close_after_long_waits_one_by_one_and_open_more_slowly() {
    let mut replay = Replay::new();
    replay.run(ms(3_000), [80, 120, 300]);
    replay.run(ms(8_000), [5, 5, 5]);
    insta::assert_snapshot!(replay.changes.join("\n"));
}

#[test]
fn a_route_with_a_long_target_does_not_hide_that_another_misses_its_own() {
    let mut gate = EntryGate::default();
    let mut now = Moment::default().plus(ms(1_000));
    for _ in 0..200 {
        for (priority, target) in [(0, TARGET), (0, ms(2_000)), (2, ms(2_000))] {
            let priority = Priority(priority);
            gate.decide(now, &EntryRequest { priority, target, left: ms(4_000), expected: None, waited: ms(90) });
        }
        now = now.plus(EVERY);
    }
    assert_eq!(gate.level().closed(), 1);
}

#[test]
fn a_pause_of_servers_closes_nothing() {
    let mut replay = Replay::new();
    for _ in 0..20 {
        replay.run(ms(250), [200, 250, 250]);
        replay.run(ms(250), [0, 0, 0]);
    }
    assert_eq!(replay.changes, Vec::<String>::new());
}

#[test]
fn waits_between_short_and_long_change_nothing() {
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
fn a_flood_of_the_least_urgent_that_harms_no_other_closes_nothing() {
    let mut replay = Replay::new();
    replay.run(ms(5_000), [0, 5, 900]);
    assert_eq!(replay.changes, Vec::<String>::new());
}

/// Calls of all priorities in one line of a service, first come first served, for half a minute: a flood of the
/// least urgent comes that is more than can be served.
fn flood(millis: u64) -> Replay {
    let mut replay = Replay::new();
    let mut backlog = Duration::ZERO;
    let end = replay.now.plus(ms(millis));
    while replay.now < end {
        // One urgent call, one less so, and eight of the flood come in each step, of two milliseconds' work each.
        for priority in [0, 1, 2, 2, 2, 2, 2, 2, 2, 2] {
            if replay.ask(priority, backlog) == EntryDecision::Admit {
                backlog += ms(2);
            }
        }
        replay.now = replay.now.plus(EVERY);
        backlog = backlog.saturating_sub(EVERY);
    }
    replay
}

#[test]
fn a_flood_of_the_least_urgent_makes_them_give_way_and_the_level_does_not_swing() {
    let replay = flood(30_000);
    insta::assert_snapshot!(replay.changes.join("\n"));
    // Of the urgent ones nothing is closed, and each opening takes twice as long as the one before.
    assert!(replay.changes.iter().all(|change| change.ends_with("0 closed") || change.ends_with("1 closed")));
    assert!(replay.changes.len() <= 8, "{:?}", replay.changes);
}

#[test]
fn the_time_told_is_when_the_level_opens_if_waits_are_short() {
    let mut replay = Replay::new();
    replay.run(ms(1_500), [80, 120, 300]);
    let EntryDecision::Yield { wait } = replay.ask(2, ms(0)) else { panic!("not turned away") };
    replay.now = replay.now.plus(wait - EVERY);
    assert!(matches!(replay.ask(2, ms(0)), EntryDecision::Yield { .. }));
    replay.now = replay.now.plus(EVERY);
    assert_eq!(replay.ask(2, ms(0)), EntryDecision::Admit);
}

quickcheck! {
    /// Requests of the most urgent priority never give way, whatever waits are told.
    fn the_most_urgent_never_give_way(asks: Vec<(u8, u16, u8)>) -> bool {
        let mut replay = Replay::new();
        let most_urgent = asks.iter().map(|(priority, ..)| u32::from(*priority % 4)).min().unwrap_or_default();
        for (priority, wait, later) in asks.iter().cycle().take(asks.len() * 20) {
            let priority = u32::from(*priority % 4);
            let step = replay.ask(priority, ms(u64::from(*wait)));
            if priority == most_urgent && step != EntryDecision::Admit {
                return false;
            }
            replay.now = replay.now.plus(ms(u64::from(*later)));
        }
        true
    }
}
