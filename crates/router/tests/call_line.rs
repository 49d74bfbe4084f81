//! Selection of queued calls, and the handling of calls that leave, find no server or do not act after their selection.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::Priority;
use streamfold_policy::Moment;
use streamfold_policy::call_order::WaitingCall;
use streamfold_router::call_line::{CallQueue, QueueEntry};
use streamfold_router::call_waits::CallWaits;
use streamfold_router::clock::NodeClock;
use streamfold_router::contention::QueueRule;

struct Fixture {
    queue: Arc<CallQueue>,
    waits: Arc<CallWaits>,
    clock: NodeClock,
}

impl Fixture {
    fn new() -> Self {
        let waits = Arc::new(CallWaits::default());
        let queue = CallQueue::new("cart".parse().expect("a name"), QueueRule { by_team: false }, waits.clone());
        Self { queue, waits, clock: NodeClock::start() }
    }

    /// Queues a call that has found no server with capacity.
    fn push(&self, priority: u32, expires: Moment) -> QueueEntry {
        let joined = self.clock.now();
        let call = WaitingCall { priority: Priority(priority), team: None, joined, latest_start: joined, expires };
        self.queue.push(self.clock, call, self.queue.round(), "r-1")
    }

    fn note_capacity(&self) {
        self.queue.note_capacity(self.clock.now());
    }
}

const NO_EXPIRY: Moment = Moment(u64::MAX / 4);

#[tokio::test]
async fn calls_are_selected_one_at_a_time_by_priority() {
    let fixture = Fixture::new();
    let (late, urgent) = (fixture.push(2, NO_EXPIRY), fixture.push(0, NO_EXPIRY));
    fixture.note_capacity();
    assert!(urgent.is_selected() && !late.is_selected());
    urgent.note_sent();
    let late = late.wait().await.expect("it does not expire");
    assert_eq!(fixture.queue.len(), 1);
    late.note_sent();
    assert!(fixture.queue.is_empty());
}

#[tokio::test]
async fn a_call_that_leaves_while_selected_lets_the_next_one_be_selected() {
    let fixture = Fixture::new();
    let (first, second, third) = (fixture.push(0, NO_EXPIRY), fixture.push(0, NO_EXPIRY), fixture.push(0, NO_EXPIRY));
    drop(second);
    fixture.note_capacity();
    assert!(first.is_selected());
    drop(first);
    assert!(third.is_selected());
    assert_eq!(fixture.queue.len(), 1);
}

#[tokio::test]
async fn a_call_that_finds_no_server_keeps_its_position_and_the_next_one_checks() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.push(0, NO_EXPIRY), fixture.push(1, NO_EXPIRY));
    fixture.note_capacity();
    first.requeue(true);
    assert!(second.is_selected(), "the second call may be able to use a server that the first cannot");
    second.requeue(true);
    assert!(!first.is_selected() && !second.is_selected(), "both have checked in this round");
    fixture.note_capacity();
    assert!(first.is_selected(), "it kept its queue position");
}

#[tokio::test]
async fn capacity_freed_between_the_check_and_the_push_is_not_missed() {
    let fixture = Fixture::new();
    let round = fixture.queue.round();
    fixture.note_capacity();
    let joined = fixture.clock.now();
    let call = WaitingCall { priority: Priority(0), team: None, joined, latest_start: joined, expires: NO_EXPIRY };
    let entry = fixture.queue.push(fixture.clock, call, round, "r-1");
    assert!(entry.is_selected());
}

#[tokio::test]
async fn a_selected_call_that_does_not_act_is_skipped_until_it_acts_again() {
    let fixture = Fixture::new();
    let (unresponsive, active) = (fixture.push(0, NO_EXPIRY), fixture.push(1, NO_EXPIRY));
    fixture.note_capacity();
    assert!(unresponsive.is_selected());
    let active = active.wait().await.expect("selected although the first call never acts");
    fixture.note_capacity();
    assert!(!unresponsive.is_selected());
    active.note_sent();
    let resumed = unresponsive.wait().await.expect("selected once it acts again");
    assert!(resumed.is_selected());
}

#[tokio::test]
async fn an_expired_call_leaves_the_queue_and_its_wait_is_reported() {
    let fixture = Fixture::new();
    let mut entry = Some(fixture.push(1, fixture.clock.now().plus(Duration::from_millis(40))));
    while let Some(waiting) = entry {
        // It is selected from time to time, since reported loads expire, and finds no server.
        waiting.requeue(false);
        entry = waiting.wait().await;
    }
    assert!(fixture.queue.is_empty());
    let reported = fixture.waits.report(fixture.clock.now());
    assert_eq!(reported.iter().map(|wait| wait.priority).collect::<Vec<_>>(), [Priority(1)]);
    assert!(reported[0].wait_us >= 40_000, "{reported:?}");
}

#[tokio::test]
async fn calls_that_need_the_same_busy_servers_do_not_keep_others_from_checking() {
    let fixture = Fixture::new();
    let blocked: Vec<QueueEntry> = (0..6).map(|_| fixture.push(0, NO_EXPIRY)).collect();
    let other = fixture.push(2, NO_EXPIRY);
    // In each round some server may be free, but none that the urgent calls can use.
    let rounds = (0..20).find(|_| {
        fixture.note_capacity();
        for entry in &blocked {
            entry.requeue(true);
        }
        other.is_selected()
    });
    assert!(rounds.is_some(), "the last call in the queue never checks");
}

#[tokio::test]
async fn a_call_sent_after_its_selection_ended_counts_as_sent_and_leaves_the_queue() {
    let fixture = Fixture::new();
    let (late, next) = (fixture.push(0, NO_EXPIRY), fixture.push(1, NO_EXPIRY));
    fixture.note_capacity();
    assert!(late.is_selected());
    let next = next.wait().await.expect("selected instead of the first call, which does not act");
    late.note_sent();
    assert!(next.is_selected());
    next.note_sent();
    assert!(fixture.queue.is_empty());
}

#[tokio::test]
async fn waits_of_calls_still_in_the_queue_are_reported() {
    let fixture = Fixture::new();
    assert_eq!(fixture.waits.report(fixture.clock.now()), []);
    let entry = fixture.push(1, NO_EXPIRY);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let reported = fixture.waits.report(fixture.clock.now());
    assert!(reported.len() == 1 && reported[0].wait_us >= 5_000, "{reported:?}");
    drop(entry);
    // The wait has ended. It is still reported for a while, but no longer grows.
    let ended = fixture.waits.report(fixture.clock.now());
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(fixture.waits.report(fixture.clock.now()), ended);
}
