//! How long a server is used after its entry was found to be gone.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::departure::find_remaining_use;

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

quickcheck! {
    /// Guards against use of a server for longer than stated, however late a node learns that its entry is gone.
    fn no_server_is_used_for_longer_than_stated_after_its_entry_was_there(age_ms: u32, within_ms: u32) -> bool {
        let used = find_remaining_use(Some(millis(age_ms)), millis(within_ms));
        used.is_zero() || millis(age_ms) + used < millis(within_ms)
    }
}

#[test]
fn the_use_ends_by_the_age_of_the_knowledge() {
    let within = Duration::from_secs(3);
    let used = [Some(0), Some(500), Some(1_500), Some(2_700), Some(60_000), None]
        .map(|age_ms| format!("{age_ms:?}: {:?}", find_remaining_use(age_ms.map(millis), within)));
    insta::assert_snapshot!(used.join("\n"));
}
