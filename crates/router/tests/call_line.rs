//! Calls in a line: who is called up, and what becomes of those that leave, find nothing or fall asleep.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::Priority;
use streamfold_policy::Moment;
use streamfold_policy::call_order::WaitingCall;
use streamfold_router::call_line::{CallQueue, QueueEntry};
use streamfold_router::call_waits::CallWaits;
use streamfold_router::clock::NodeClock;
use streamfold_router::contention::QueueRule;

struct Scene {
    line: Arc<CallQueue>,
    waits: Arc<CallWaits>,
    clock: NodeClock,
}

impl Scene {
    fn new() -> Self {
        let waits = Arc::new(CallWaits::default());
        let line = CallQueue::new("cart".parse().expect("a name"), QueueRule { by_team: false }, waits.clone());
        Self { line, waits, clock: NodeClock::start() }
    }

    /// A call that has found no server with room.
    fn push(&self, priority: u32, expires: Moment) -> QueueEntry {
        let joined = self.clock.now();
        let call = WaitingCall { priority: Priority(priority), team: None, joined, latest_start: joined, expires };
        self.line.push(self.clock, call, self.line.round(), "r-1")
    }

    fn note_capacity(&self) {
        self.line.note_capacity(self.clock.now());
    }
}

const NEVER: Moment = Moment(u64::MAX / 4);

#[tokio::test]
async fn the_most_urgent_is_called_up_and_then_the_next() {
    let scene = Scene::new();
    let (late, urgent) = (scene.push(2, NEVER), scene.push(0, NEVER));
    scene.note_capacity();
    assert!(urgent.is_selected() && !late.is_selected());
    urgent.note_sent();
    let late = late.wait().await.expect("it does not expire");
    assert_eq!(scene.line.len(), 1);
    late.note_sent();
    assert!(scene.line.is_empty());
}

#[tokio::test]
async fn who_leaves_while_called_up_gives_the_turn_to_the_next() {
    let scene = Scene::new();
    let (first, second, third) = (scene.push(0, NEVER), scene.push(0, NEVER), scene.push(0, NEVER));
    drop(second);
    scene.note_capacity();
    assert!(first.is_selected());
    drop(first);
    assert!(third.is_selected());
    assert_eq!(scene.line.len(), 1);
}

#[tokio::test]
async fn who_finds_no_server_keeps_its_place_and_the_next_may_look() {
    let scene = Scene::new();
    let (first, second) = (scene.push(0, NEVER), scene.push(1, NEVER));
    scene.note_capacity();
    first.requeue(true);
    assert!(second.is_selected(), "another call may be able to use what the first cannot");
    second.requeue(true);
    assert!(!first.is_selected() && !second.is_selected(), "both have looked");
    scene.note_capacity();
    assert!(first.is_selected(), "it has its old place");
}

#[tokio::test]
async fn room_that_came_between_looking_and_joining_is_not_missed() {
    let scene = Scene::new();
    let round = scene.line.round();
    scene.note_capacity();
    let joined = scene.clock.now();
    let call = WaitingCall { priority: Priority(0), team: None, joined, latest_start: joined, expires: NEVER };
    let place = scene.line.push(scene.clock, call, round, "r-1");
    assert!(place.is_selected());
}

#[tokio::test]
async fn who_is_called_up_and_sleeps_is_passed_over_until_it_wakes() {
    let scene = Scene::new();
    let (asleep, awake) = (scene.push(0, NEVER), scene.push(1, NEVER));
    scene.note_capacity();
    assert!(asleep.is_selected());
    let awake = awake.wait().await.expect("its turn comes though the first one never acts");
    scene.note_capacity();
    assert!(!asleep.is_selected());
    awake.note_sent();
    let woken = asleep.wait().await.expect("its turn comes once it acts again");
    assert!(woken.is_selected());
}

#[tokio::test]
async fn who_waits_too_long_is_dropped_and_its_wait_is_told() {
    let scene = Scene::new();
    let mut place = Some(scene.push(1, scene.clock.now().plus(Duration::from_millis(40))));
    while let Some(waiting) = place {
        // It is called up now and then, for what servers told fades, and finds none.
        waiting.requeue(false);
        place = waiting.wait().await;
    }
    assert!(scene.line.is_empty());
    let told = scene.waits.report(scene.clock.now());
    assert_eq!(told.iter().map(|wait| wait.priority).collect::<Vec<_>>(), [Priority(1)]);
    assert!(told[0].wait_us >= 40_000, "{told:?}");
}

#[tokio::test]
async fn calls_that_all_need_the_same_servers_do_not_keep_others_from_looking() {
    let scene = Scene::new();
    let stuck: Vec<QueueEntry> = (0..6).map(|_| scene.push(0, NEVER)).collect();
    let other = scene.push(2, NEVER);
    // Each round is one in which some server may be free; none of the urgent calls can use it.
    let rounds = (0..20).find(|_| {
        scene.note_capacity();
        for place in &stuck {
            place.requeue(true);
        }
        other.is_selected()
    });
    assert!(rounds.is_some(), "the last in line never looks");
}

#[tokio::test]
async fn a_call_that_is_made_late_counts_as_made_and_leaves_the_line() {
    let scene = Scene::new();
    let (late, next) = (scene.push(0, NEVER), scene.push(1, NEVER));
    scene.note_capacity();
    assert!(late.is_selected());
    let next = next.wait().await.expect("it is called up in place of the first one, which does not act");
    late.note_sent();
    assert!(next.is_selected());
    next.note_sent();
    assert!(scene.line.is_empty());
}

#[tokio::test]
async fn calls_that_wait_still_are_told_too() {
    let scene = Scene::new();
    assert_eq!(scene.waits.report(scene.clock.now()), []);
    let place = scene.push(1, NEVER);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let told = scene.waits.report(scene.clock.now());
    assert!(told.len() == 1 && told[0].wait_us >= 5_000, "{told:?}");
    drop(place);
    // Its wait has ended and counts for a while, and grows no more.
    let ended = scene.waits.report(scene.clock.now());
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(scene.waits.report(scene.clock.now()), ended);
}
