//! Whether a request may have run, and on how many servers, after calls by this node and by other nodes.

use streamfold_router::attempts::ServiceAttempts;

fn make_attempts() -> ServiceAttempts {
    ServiceAttempts::new("cart".parse().expect("a name"))
}

#[test]
fn a_delegated_hedge_without_an_answer_may_have_run() {
    let mut attempts = make_attempts();
    attempts.note_remote_hedge_end(false);
    assert!(!attempts.may_have_run, "a hedge that was not made has not run");
    attempts.note_remote_hedge_end(true);
    assert!(attempts.may_have_run);
}

#[test]
fn servers_called_by_another_node_count_toward_the_limit() {
    let mut attempts = make_attempts();
    attempts.note_remote_attempts(2, true);
    assert_eq!((attempts.attempt_counts(), attempts.may_have_run), ((2, true), true));
    attempts.note_remote_hedge_end(false);
    assert_eq!(
        attempts.attempt_counts(),
        (2, true),
        "a hedge that was not made does not reduce the count of the other node"
    );
}

#[test]
fn a_shard_with_attempts_is_not_delegated() {
    let mut attempts = make_attempts();
    assert!(attempts.is_unstarted());
    attempts.note_unresponsive_node();
    assert!(!attempts.is_unstarted(), "the node that stopped responding may have sent it");
    let mut attempts = make_attempts();
    attempts.note_remote_attempts(1, true);
    assert!(!attempts.is_unstarted(), "another node has called a server");
}

#[test]
fn a_request_cannot_have_run_before_its_call_is_sent() {
    let mut attempts = make_attempts();
    let server = |name: &str| name.parse().expect("a name");
    let first = attempts.note_start(server("i-0"));
    assert!(attempts.is_calling() && !attempts.may_run(), "the call is still connecting");
    first.set();
    assert!(attempts.may_run());
    attempts.note_answer(&server("i-0"));
    assert!(!attempts.is_calling() && attempts.may_run(), "it ran");
}
