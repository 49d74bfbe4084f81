//! When callers that are turned away come back: after what they wait for, and not all at once.

use std::time::Duration;

use streamfold_policy::retry_after::{RefusalReason, choose_retry_after};

fn tell(name: &str, reason: RefusalReason) -> String {
    let waits = [0.0, 0.5, 1.0].map(|dice| choose_retry_after(reason, dice).as_millis());
    format!("{name}: {waits:?} ms")
}

#[test]
fn a_node_that_starts_tells_the_rest_of_its_start() {
    let unknown = |millis| RefusalReason::RoutesUnknown { uptime: Duration::from_millis(millis) };
    let told = [
        tell("just started", unknown(0)),
        tell("0.1 s after", unknown(100)),
        tell("nearly there", unknown(290)),
        tell("without the store", unknown(5_000)),
        tell("no server", RefusalReason::NoServer),
    ];
    insta::assert_snapshot!(told.join("\n"));
}

/// The load that is replayed: 300 callers turned away within 50 ms of a restart of all nodes.
#[test]
fn callers_turned_away_together_return_spread_out() {
    let mut returns: Vec<u128> = (0..300u32)
        .map(|caller| {
            let at = Duration::from_millis(u64::from(caller % 50));
            let reason = RefusalReason::RoutesUnknown { uptime: at };
            let dice = f64::from(caller.wrapping_mul(2_654_435_761) >> 8) / f64::from(u32::MAX >> 8);
            (at + choose_retry_after(reason, dice)).as_millis() / 50
        })
        .collect();
    returns.sort_unstable();
    let most = returns.chunk_by(|a, b| a == b).map(<[u128]>::len).max();
    assert!(most.is_some_and(|most| most < 100), "{returns:?}");
}
