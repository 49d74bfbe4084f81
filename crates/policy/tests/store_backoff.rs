//! Backoff of nodes whose calls the platform's store refuses.

use std::time::Duration;

use streamfold_policy::store_backoff::backoff_delay;

/// Number of calls that the node with the given rank makes during a store outage.
fn count_calls(rank: usize, outage: Duration) -> u32 {
    let mut at = Duration::ZERO;
    (0..)
        .take_while(|calls| {
            let is_in_outage = at < outage;
            at += backoff_delay(*calls, rank);
            is_in_outage
        })
        .count() as u32
}

/// Guards against too many calls to a failed store. With two starts of 89 nodes in six failure domains, a store that
/// broke every connection for 6.4 s received 2,100 of the day's 3,350 calls in that time.
#[test]
fn the_first_nodes_of_a_failure_domain_make_most_calls_to_a_failed_store() {
    let counts: Vec<u32> = (0..15).map(|rank| count_calls(rank, Duration::from_millis(6_400))).collect();
    let sum: u32 = counts.iter().sum();
    insta::assert_snapshot!(format!("{counts:?}: {sum}"), @"[11, 6, 4, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3]: 57");
    assert!(sum <= 15 * 8, "{sum} calls of 15 nodes");
}

#[test]
fn the_first_node_backs_off_like_a_single_node() {
    let pauses: Vec<Duration> = (0..6).map(|failures| backoff_delay(failures, 0)).collect();
    insta::assert_snapshot!(format!("{pauses:?}"), @"[100ms, 200ms, 400ms, 800ms, 800ms, 800ms]");
}

quickcheck::quickcheck! {
    fn no_delay_exceeds_three_seconds_or_shrinks_with_rank_or_failures(failures: u8, rank: u16) -> bool {
        let (failures, rank) = (u32::from(failures), usize::from(rank));
        let delay = backoff_delay(failures, rank);
        delay <= Duration::from_secs(3)
            && delay <= backoff_delay(failures + 1, rank)
            && delay <= backoff_delay(failures, rank + 1)
    }
}
