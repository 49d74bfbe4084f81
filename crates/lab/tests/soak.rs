//! The soak in short: one seed for every run of the tests, and each seed that ever failed.

use std::time::Duration;

use streamfold_lab::soak::{SoakPlan, run};

/// Seeds that ever failed, each with its seconds and its cause.
const KEPT: &str = include_str!("../soak-seeds.txt");
/// What every run of the tests plays first.
const SHORT: (u64, u64) = (2_026, 6);

fn kept_seeds() -> Vec<(u64, u64)> {
    let plans = KEPT.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
    let read = |plan: &str| {
        let (seed, seconds) = plan.split_once(' ').expect("a seed and its seconds");
        (seed.parse().expect("a seed"), seconds.trim().parse().expect("seconds"))
    };
    plans.filter(|plan| !plan.is_empty()).map(read).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    let mut broken = Vec::new();
    for (seed, seconds) in std::iter::once(SHORT).chain(kept_seeds()) {
        let report = run(SoakPlan { seed, time: Duration::from_secs(seconds), nodes: 2 }).await.expect("a fleet");
        println!("{report}");
        let requests: usize = report.outcomes.values().sum();
        assert!(requests > 0 && report.faults > 0, "nothing was played: {report}");
        assert!(report.links > 0 && report.delegated > 0, "nothing went through proxies between nodes: {report}");
        broken.extend(report.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
