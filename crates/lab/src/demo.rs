//! The demo: starts a whole fleet in one process, runs queries and a load, then kills an upstream and queries again.

use std::time::Duration;

use streamfold_model::QueryAnswer;

use crate::fleet::{Fleet, FleetError, INDEX, TOKEN};
use crate::fleet_plan::FleetPlan;
use crate::load::{self, DEFAULT_LATENCY_GOAL, LoadPlan, LoadReport};

/// Queries a second in the demo's load.
const LOAD_RATE: f64 = 200.0;
/// Duration of the demo's load.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Runs the demo; with `keep` the fleet stays up until interrupted.
///
/// # Errors
/// The fleet did not start.
pub async fn run(keep: bool) -> Result<(), FleetError> {
    println!("Starting a platform, 2 failure domains with 2 nodes each, and 20 upstreams of 2 servers.");
    let mut fleet = Fleet::start(FleetPlan::default()).await?;
    println!("The configuration is in force on all nodes. One query over {} shards:\n", fleet.shards());
    let entry = fleet.caller_addresses()[0];
    if let Some(answer) = fleet.query(entry).await {
        print_answer(&answer);
    }
    println!("\nLoad: {LOAD_RATE} queries a second for {} s, from all nodes.", LOAD_TIME.as_secs());
    let calls_before = fleet.server_calls();
    let report = load::run(&fleet.client, &load_plan(&fleet)).await;
    let ideal = report.requests as f64 * fleet.servers.len() as f64;
    let extra_load = (fleet.server_calls() - calls_before) as f64 / ideal - 1.0;
    print_summary(&report, extra_load);
    if keep {
        return stay_up(&fleet).await;
    }
    println!("\nBoth servers of upstream {INDEX}-003 are killed. The same query:\n");
    fleet.kill_server(3, 0);
    fleet.kill_server(3, 1);
    if let Some(answer) = fleet.query(entry).await {
        print_answer(&answer);
    }
    fleet.stop().await;
    println!("\nAll nodes have shut down gracefully.");
    Ok(())
}

fn load_plan(fleet: &Fleet) -> LoadPlan {
    LoadPlan {
        nodes: fleet.caller_addresses(),
        index: INDEX.to_owned(),
        token: TOKEN.to_owned(),
        rate: LOAD_RATE,
        duration: LOAD_TIME,
        headers: Vec::new(),
        latency_goal: DEFAULT_LATENCY_GOAL,
    }
}

fn print_answer(answer: &QueryAnswer) {
    println!("  request         {}", answer.request);
    println!("  index version   {}", answer.index_version);
    println!("  configuration   {}", answer.config_version);
    println!("  coverage        {} of {} shards", answer.coverage.answered, answer.coverage.shards);
    for missing in &answer.coverage.missing {
        println!("  missing         shard {} ({})", missing.shard, missing.reason);
    }
    if let Some((shard, result)) = answer.results.first_key_value() {
        println!("  result, shard {shard} {result}");
    }
}

fn print_summary(report: &LoadReport, extra_load: f64) {
    println!("  queries         {} ({} with all shards)", report.requests, report.whole);
    println!("  p50             {:.1} ms", report.p50_ms);
    println!("  p99             {:.1} ms", report.p99_ms);
    println!("  coverage        {:.4}", report.coverage);
    println!("  extra load      {extra_load:.4} (calls to servers beyond one for each upstream and query)");
    println!("  broken          {} (mixed index versions, another request's results, wrong coverage)", report.broken);
}

async fn stay_up(fleet: &Fleet) -> Result<(), FleetError> {
    println!("\nThe fleet stays up until interrupted. In another terminal:\n");
    for node in fleet.running() {
        let addresses = node.addresses;
        println!("  {:<10} callers {}  operators {}", node.name, addresses.callers, addresses.operators);
    }
    let (callers, operators) = (fleet.caller_addresses()[0], fleet.nodes[0].addresses.operators);
    println!("\n  streamfold query --callers {callers} --token {TOKEN} {INDEX} '{{\"find\":\"cart 17\"}}'");
    println!("  streamfold status --operators {operators}");
    // If no signal handler can be installed, the demo ends at once.
    let _ = tokio::signal::ctrl_c().await;
    Ok(())
}
