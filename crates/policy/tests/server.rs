//! A server counts as answering only by its own answers.

use std::time::Duration;

use streamfold_policy::{CallReport, Moment, ServerState};

const RECENT: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

/// A server that answered one call at 0 ms.
fn answered() -> ServerState {
    let mut server = ServerState::new(2, 4);
    server.start();
    server.finish(at(0), CallReport::Answered(Duration::from_millis(20)));
    server
}

#[test]
fn an_answer_counts_for_a_while() {
    assert!(answered().answered_within(at(499), RECENT));
    assert!(!answered().answered_within(at(500), RECENT));
}

#[test]
fn a_cancelled_call_is_no_answer() {
    let mut server = answered();
    server.start();
    server.finish(at(2_000), CallReport::Cancelled(Duration::from_secs(1)));
    assert!(!server.answered_within(at(2_001), RECENT));
}

#[test]
fn answers_of_an_earlier_run_do_not_count() {
    let mut server = answered();
    server.record_incarnation(at(1), 1);
    server.record_incarnation(at(2), 2);
    assert!(!server.answered_within(at(3), RECENT));
}
