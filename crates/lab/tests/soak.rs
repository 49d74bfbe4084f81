//! Short soak runs: two fixed plans, and each seed that has failed before as a regression test.

use std::time::Duration;

use streamfold_lab::soak::{SoakPlan, run};

/// Plans that have failed before, each with its cause.
const FAILED_PLANS: &str = include_str!("../soak-seeds.txt");
/// Plans that run first; in the second, nodes relay store updates to each other.
const FIXED_PLANS: &str = "2026 6\n2027 8 4";
/// Default number of nodes in each failure domain.
const DEFAULT_NODES: usize = 2;
/// Number of nodes in a failure domain from which on they relay store updates to each other.
const MIN_RELAY_NODES: usize = 4;

/// Parses plans, one a line: a seed, seconds and, optionally, the number of nodes in each failure domain.
fn parse_plans(text: &str) -> Vec<SoakPlan> {
    let plans = text.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
    plans.filter(|plan| !plan.is_empty()).map(parse_plan).collect()
}

fn parse_plan(plan: &str) -> SoakPlan {
    let fields: Vec<u64> =
        plan.split_whitespace().map(|word| word.parse().expect("plan field must be a number")).collect();
    let [seed, seconds, nodes @ ..] = fields.as_slice() else { panic!("no seed and seconds: {plan}") };
    let nodes =
        nodes.first().map_or(DEFAULT_NODES, |nodes| usize::try_from(*nodes).expect("node count must fit a usize"));
    SoakPlan { seed: *seed, time: Duration::from_secs(*seconds), nodes }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    let mut violations = Vec::new();
    for plan in parse_plans(FIXED_PLANS).into_iter().chain(parse_plans(FAILED_PLANS)) {
        let report = run(plan).await.expect("fleet must start");
        println!("{report}");
        let requests: usize = report.outcomes.values().sum();
        assert!(requests > 0 && report.faults > 0, "no request was sent or no fault injected: {report}");
        assert!(report.links > 0 && report.delegated > 0, "nothing went through proxies between nodes: {report}");
        assert!(
            plan.nodes < MIN_RELAY_NODES || report.relays > 0,
            "no node received store updates from another: {report}"
        );
        violations.extend(report.violations.iter().map(|violation| format!("seed {}: {violation}", plan.seed)));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
