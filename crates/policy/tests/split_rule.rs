//! Shares of the services of a traffic split.

use quickcheck::quickcheck;
use streamfold_policy::split_rule::{SplitSelector, choose_part};

/// How often each weight is selected.
fn count_selections(weights: &[f64], start: f64, count: usize) -> Vec<usize> {
    let split = SplitSelector::new(start);
    let mut counts = vec![0; weights.len()];
    for _ in 0..count {
        counts[split.select(weights).expect("a selected service")] += 1;
    }
    counts
}

#[test]
fn shares_match_the_weights_within_a_few_requests() {
    let seen: Vec<String> =
        [10, 50, 200].map(|count| format!("{count}: {:?}", count_selections(&[3.0, 1.0, 0.0], 0.3, count))).to_vec();
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn a_split_without_weights_selects_no_service() {
    assert_eq!(SplitSelector::new(0.5).select(&[]), None);
    assert_eq!(SplitSelector::new(0.5).select(&[0.0, 0.0]), None);
    assert_eq!(choose_part(&[0.0, 1.0, 0.0], 0.999_999), Some(1));
}

quickcheck! {
    fn a_share_deviates_by_at_most_three_requests(first: u8, second: u8, start: u16) -> bool {
        let weights = [f64::from(first) + 1.0, f64::from(second) + 1.0];
        let share = weights[0] / (weights[0] + weights[1]);
        let start = f64::from(start) / 65_536.0;
        (1..=300).step_by(23).all(|count| {
            let deviation = count_selections(&weights, start, count)[0] as f64 - share * count as f64;
            deviation.abs() <= 3.0
        })
    }
}
