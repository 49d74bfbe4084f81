//! How long nodes wait whose calls the platform's store does not take.

use std::time::Duration;

use streamfold_policy::store_backoff::backoff_delay;

/// Calls of the node of a rank while the store is away.
fn count_calls(rank: usize, away: Duration) -> u32 {
    let mut at = Duration::ZERO;
    (0..)
        .take_while(|calls| {
            let asks = at < away;
            at += backoff_delay(*calls, rank);
            asks
        })
        .count() as u32
}

/// On a day with two starts of 89 nodes in six failure domains the store broke every connection for 6.4 s: 2,100 of
/// the day's 3,350 calls.
#[test]
fn nodes_of_a_failure_domain_ask_a_store_that_is_away_the_first_ones_most() {
    let counts: Vec<u32> = (0..15).map(|rank| count_calls(rank, Duration::from_millis(6_400))).collect();
    let sum: u32 = counts.iter().sum();
    insta::assert_snapshot!(format!("{counts:?}: {sum}"), @"[11, 6, 4, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3]: 57");
    assert!(sum <= 15 * 8, "{sum} calls of 15 nodes");
}

#[test]
fn the_first_node_asks_as_soon_as_a_node_alone() {
    let pauses: Vec<Duration> = (0..6).map(|failures| backoff_delay(failures, 0)).collect();
    insta::assert_snapshot!(format!("{pauses:?}"), @"[100ms, 200ms, 400ms, 800ms, 800ms, 800ms]");
}

quickcheck::quickcheck! {
    fn no_pause_is_over_three_seconds_and_none_shrinks_with_rank_or_failures(failures: u8, rank: u16) -> bool {
        let (failures, rank) = (u32::from(failures), usize::from(rank));
        let pause = backoff_delay(failures, rank);
        pause <= Duration::from_secs(3)
            && pause <= backoff_delay(failures + 1, rank)
            && pause <= backoff_delay(failures, rank + 1)
    }
}
