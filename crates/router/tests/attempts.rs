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

#[test]
fn a_shard_that_this_node_has_begun_with_is_lent_to_no_other() {
    let mut attempts = make_attempts();
    assert!(attempts.is_untouched());
    attempts.note_silent_node();
    assert!(!attempts.is_untouched(), "the kept server may have run it");
    let mut attempts = make_attempts();
    attempts.note_elsewhere(1, true);
    assert!(!attempts.is_untouched(), "another node has used a server");
}

#[test]
fn a_call_that_was_not_sent_yet_leaves_no_doubt() {
    let mut attempts = make_attempts();
    let server = |name: &str| name.parse().expect("a name");
    let first = attempts.note_start(server("i-0"));
    assert!(attempts.is_calling() && !attempts.may_run(), "it still connects");
    first.set();
    assert!(attempts.may_run());
    attempts.note_answer(&server("i-0"));
    assert!(!attempts.is_calling() && attempts.may_run(), "it ran");
}
