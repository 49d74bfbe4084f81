//! What may be said of whether a request ran, after calls that other nodes made.

use streamfold_router::attempts::ServiceAttempts;

fn make_attempts() -> ServiceAttempts {
    ServiceAttempts::new("cart".parse().expect("a name"))
}

#[test]
fn a_call_made_elsewhere_without_an_answer_may_have_run() {
    let mut attempts = make_attempts();
    attempts.note_handed_end(false);
    assert!(!attempts.may_have_run, "one that was not made has not run");
    attempts.note_handed_end(true);
    assert!(attempts.may_have_run);
}

#[test]
fn servers_asked_by_another_node_count_toward_the_bound() {
    let mut attempts = make_attempts();
    attempts.note_elsewhere(2, true);
    assert_eq!((attempts.tally(), attempts.may_have_run), ((2, true), true));
    attempts.note_handed_end(false);
    assert_eq!(attempts.tally(), (2, true), "a hedge that was not made takes back nothing of another node's");
}
