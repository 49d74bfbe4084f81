//! Which connection is closed when callers hold too much: those that hold most for longest, and never one whose request
//! is being served.

use std::time::Duration;

use streamfold_policy::Moment;
use streamfold_policy::caller_cut::{CallerHolding, CallerPhase, choose_for_connection, choose_for_memory};

const NOW: Moment = Moment(60_000_000);

/// A connection that has been in a phase for some milliseconds and holds some kilobytes.
fn holding(phase: CallerPhase, age_ms: u64, kilobytes: usize) -> CallerHolding {
    CallerHolding { phase, since: NOW.minus(Duration::from_millis(age_ms)), bytes: kilobytes << 10 }
}

/// The position of the connection that is closed for another one, or for memory.
fn for_connection(holdings: &[CallerHolding]) -> Option<usize> {
    choose_for_connection(NOW, holdings.iter().copied().enumerate())
}

fn for_memory(holdings: &[CallerHolding]) -> Option<usize> {
    choose_for_memory(NOW, holdings.iter().copied().enumerate())
}

use CallerPhase::{Idle, Receiving, Sending, Serving, Unused};

#[test]
fn a_connection_without_a_request_is_closed_before_one_that_rests() {
    let holdings =
        [holding(Idle, 9_000, 0), holding(Unused, 10, 0), holding(Unused, 900, 0), holding(Serving, 30_000, 0)];
    assert_eq!(for_connection(&holdings), Some(2));
    assert_eq!(for_connection(&holdings[..1]), Some(0));
}

#[test]
fn a_slow_body_or_answer_is_closed_for_another_connection_only_if_nothing_rests() {
    let slow = [holding(Sending, 5_000, 64), holding(Receiving, 2_000, 1), holding(Serving, 30_000, 64)];
    assert_eq!(for_connection(&slow), Some(1));
    let rests = [slow[0], slow[1], holding(Idle, 1, 0)];
    assert_eq!(for_connection(&rests), Some(2));
}

#[test]
fn no_connection_is_closed_for_another_while_all_are_busy_and_young() {
    let holdings = [holding(Sending, 500, 4_096), holding(Receiving, 500, 64), holding(Serving, 30_000, 64)];
    assert_eq!(for_connection(&holdings), None);
    assert_eq!(for_memory(&holdings), None);
}

#[test]
fn the_caller_that_holds_most_for_longest_gives_up_its_memory() {
    let holdings = [
        holding(Sending, 10_000, 64),
        holding(Sending, 2_000, 4_096),
        holding(Sending, 1_500, 4_096),
        holding(Serving, 30_000, 16_384),
    ];
    assert_eq!(for_memory(&holdings), Some(1));
}

#[test]
fn a_connection_that_holds_no_memory_is_not_closed_for_memory() {
    let holdings = [holding(Unused, 10_000, 0), holding(Idle, 10_000, 0), holding(Sending, 10_000, 0)];
    assert_eq!(for_memory(&holdings), None);
}

#[test]
fn a_long_head_gives_way_to_the_short_one_of_an_ordinary_request() {
    let holdings = [holding(Unused, 0, 1), holding(Unused, 50, 60), holding(Idle, 10, 1)];
    assert_eq!(for_memory(&holdings), Some(1));
}
