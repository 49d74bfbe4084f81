//! Experiments: each compares a baseline with the policy under one load or fault and reports the figures as JSON.

pub mod apply;
pub mod cold;
pub mod cost;
pub mod crossed;
pub mod drain;
pub mod freeze;
pub mod hedging;
pub mod once;
pub mod outage;
pub mod overload;
pub mod prefer;
pub mod shed;
pub mod snapshot;
pub mod stop;
pub mod straggler;
pub mod trial;

use serde::Serialize;
use serde_json::Value;

use self::trial::{ALPENWASCH, MORETON_COAST};
use crate::fleet::FleetError;
use streamfold_standin::rng;

/// Result of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Seed of the random numbers of the load.
    pub seed: u64,
    /// Figures of the baseline.
    pub baseline: Value,
    /// Figures of the policy.
    pub policy: Value,
    /// Whether the policy met the criteria of the experiment.
    pub held: bool,
}

/// Names of the experiments, with the load or fault of each.
pub const EXPERIMENTS: [(&str, &str); 19] = [
    ("cost", "latency, CPU time and memory that the tier itself adds, over one hop and over two"),
    ("apply", "two operators apply 200 changes concurrently over a store that loses answers while nodes are killed"),
    ("cold", "a server restarts and is ten times as slow for five seconds"),
    ("crossed", "answers are delayed and truncated, connections break, servers send the answers of other requests"),
    ("drain", "servers drain while their health endpoints still report that they are healthy"),
    ("freeze", "nodes freeze for three seconds in turn while others wait for their batches"),
    ("hedging", "a fixed budget, a table of load ranges and a continuous rule, side by side"),
    ("once", "orders with both kinds of key, delivered twice, during kills, pauses, lost answers and a store outage"),
    ("outage", "the store is down, then slow, while a third of the nodes is replaced"),
    ("overload", "a load of 0.5 to 3 times the capacity, most of it from one greedy caller"),
    ("overload-alpenwasch", "the same with Alpenwasch's callers and delays"),
    ("overload-moreton-coast", "the same with Moreton Coast's callers and delays"),
    ("prefer", "a slow upstream, with callers that prefer latency and callers that prefer coverage"),
    ("shed", "servers shed 3 calls in 10 for ten seconds, then one replica is lost"),
    ("snapshot", "index versions advance during queries, one server lags, the index is repartitioned"),
    ("stop", "every node is stopped and replaced in turn under a load of queries and orders"),
    ("straggler", "1 attempt in 100 takes 20 times as long, one server is slow but reports that it is idle"),
    ("straggler-alpenwasch", "the same with Alpenwasch's callers and delays"),
    ("straggler-moreton-coast", "the same with Moreton Coast's callers and delays"),
];

/// Converts figures to JSON.
fn to_value<T: Serialize>(figures: &T) -> Value {
    serde_json::to_value(figures).unwrap_or_default()
}

/// Runs the experiment with this name; `None` if there is none.
///
/// # Errors
/// A fleet did not start.
pub async fn run(name: &str, seed: u64) -> Option<Result<ExperimentReport, FleetError>> {
    rng::seed(seed);
    match name {
        "cost" => Some(cost::run(seed).await),
        "overload" => Some(overload::run("overload", seed, None).await),
        "overload-alpenwasch" => Some(overload::run("overload-alpenwasch", seed, Some(ALPENWASCH)).await),
        "overload-moreton-coast" => Some(overload::run("overload-moreton-coast", seed, Some(MORETON_COAST)).await),
        "cold" => Some(cold::run(seed).await),
        "crossed" => Some(crossed::run(seed).await),
        "drain" => Some(drain::run(seed).await),
        "prefer" => Some(prefer::run(seed).await),
        "shed" => Some(shed::run(seed).await),
        "snapshot" => Some(snapshot::run(seed).await),
        "freeze" => Some(freeze::run(seed).await),
        "hedging" => Some(hedging::run(seed).await),
        "once" => Some(once::run(seed).await),
        "stop" => Some(stop::run(seed).await),
        "straggler" => Some(straggler::run("straggler", seed, None).await),
        "straggler-alpenwasch" => Some(straggler::run("straggler-alpenwasch", seed, Some(ALPENWASCH)).await),
        "straggler-moreton-coast" => Some(straggler::run("straggler-moreton-coast", seed, Some(MORETON_COAST)).await),
        "apply" => Some(apply::run(seed).await),
        "outage" => Some(outage::run(seed).await),
        _ => None,
    }
}
