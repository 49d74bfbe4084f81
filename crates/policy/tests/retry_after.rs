//! Retry delays of refused callers: after the cause has passed, and spread out.

use std::time::Duration;

use streamfold_policy::retry_after::{RefusalReason, choose_retry_after};

fn describe(name: &str, reason: RefusalReason) -> String {
    let waits = [0.0, 0.5, 1.0].map(|random| choose_retry_after(reason, random).as_millis());
    format!("{name}: {waits:?} ms")
}

#[test]
fn a_starting_node_reports_the_rest_of_its_startup_time() {
    let unknown = |millis| RefusalReason::RoutesUnknown { uptime: Duration::from_millis(millis) };
    let delays = [
        describe("just started", unknown(0)),
        describe("0.1 s after", unknown(100)),
        describe("nearly there", unknown(290)),
        describe("without the store", unknown(5_000)),
        describe("no server", RefusalReason::NoServer),
    ];
    insta::assert_snapshot!(delays.join("\n"));
}

/// Guards against a burst of retries after a restart of all nodes: 300 callers are refused within 50 ms.
#[test]
fn callers_refused_together_retry_spread_out() {
    let mut returns: Vec<u128> = (0..300u32)
        .map(|caller| {
            let at = Duration::from_millis(u64::from(caller % 50));
            let reason = RefusalReason::RoutesUnknown { uptime: at };
            let random = f64::from(caller.wrapping_mul(2_654_435_761) >> 8) / f64::from(u32::MAX >> 8);
            (at + choose_retry_after(reason, random)).as_millis() / 50
        })
        .collect();
    returns.sort_unstable();
    let most = returns.chunk_by(|a, b| a == b).map(<[u128]>::len).max();
    assert!(most.is_some_and(|most| most < 100), "{returns:?}");
}

/// Guards against callers that wait for a node that does not return: another node can serve them at once.
#[test]
fn callers_of_a_stopping_node_return_soon() {
    let waits = [0.0, 0.5, 1.0].map(|random| choose_retry_after(RefusalReason::Stopping, random).as_millis());
    assert_eq!(waits, [80, 115, 150]);
}
