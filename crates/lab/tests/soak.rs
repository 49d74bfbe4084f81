//! The soak in short: two plans for every run of the tests, and each seed that ever failed.

use std::time::Duration;

use streamfold_lab::soak::{SoakPlan, run};

/// Plans that ever failed, each with its cause.
const KEPT: &str = include_str!("../soak-seeds.txt");
/// What every run of the tests plays first; in the second, nodes share the news of the store.
const SHORT: &str = "2026 6\n2027 8 4";
/// Nodes of each failure domain where a plan does not say.
const NODES: usize = 2;
/// Nodes of a failure domain from which on they share the news of the store.
const SHARING_NODES: usize = 4;

/// Reads plans: a seed, seconds and, if it is not the usual one, the nodes of a failure domain.
fn read_plans(text: &str) -> Vec<SoakPlan> {
    let plans = text.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
    plans.filter(|plan| !plan.is_empty()).map(read_plan).collect()
}

fn read_plan(plan: &str) -> SoakPlan {
    let words: Vec<u64> = plan.split_whitespace().map(|word| word.parse().expect("a number")).collect();
    let [seed, seconds, nodes @ ..] = words.as_slice() else { panic!("no seed and seconds: {plan}") };
    let nodes = nodes.first().map_or(NODES, |nodes| usize::try_from(*nodes).expect("few nodes"));
    SoakPlan { seed: *seed, time: Duration::from_secs(*seconds), nodes }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    let mut broken = Vec::new();
    for plan in read_plans(SHORT).into_iter().chain(read_plans(KEPT)) {
        let report = run(plan).await.expect("a fleet");
        println!("{report}");
        let requests: usize = report.outcomes.values().sum();
        assert!(requests > 0 && report.faults > 0, "nothing was played: {report}");
        assert!(report.links > 0 && report.delegated > 0, "nothing went through proxies between nodes: {report}");
        assert!(plan.nodes < SHARING_NODES || report.relays > 0, "no node took news from another: {report}");
        broken.extend(report.violations.iter().map(|violation| format!("seed {}: {violation}", plan.seed)));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
