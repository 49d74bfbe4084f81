//! Experiments: each runs a baseline and the policy in one run and ends with one JSON object.

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
use streamfold_standin::dice;

/// What an experiment found.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentReport {
    /// Its name.
    pub experiment: &'static str,
    /// The seed it ran with.
    pub seed: u64,
    /// Figures of the baseline.
    pub baseline: Value,
    /// Figures of the policy.
    pub policy: Value,
    /// Whether what it must show was shown.
    pub held: bool,
}

/// The experiments with what each shows.
pub const EXPERIMENTS: [(&str, &str); 19] = [
    ("cost", "what the tier itself costs: added latency, processor time and memory, one hop and two"),
    ("apply", "two operators race 200 changes over a lossy store while nodes are killed"),
    ("cold", "a server restarts and is ten times as slow for five seconds"),
    ("crossed", "answers come late, crossed, cut and broken off; servers send other requests' answers"),
    ("drain", "servers start to leave while their health endpoints lie about it"),
    ("freeze", "nodes freeze for three seconds in turn while others wait for their batches"),
    ("hedging", "a fixed budget, a table of load ranges and a continuous rule, side by side"),
    ("once", "orders with every key, delivered twice, through kills, pauses, lost answers and a store outage"),
    ("outage", "the store is down, then slow, while a third of the nodes is replaced"),
    ("overload", "0.5 to 3 times the capacity, most of it from one greedy caller"),
    ("overload-alpenwasch", "the same with Alpenwasch's callers and delays"),
    ("overload-moreton-coast", "the same with Moreton Coast's callers and delays"),
    ("prefer", "the same losses seen by latency and by coverage callers"),
    ("shed", "servers shed three in ten calls for ten seconds, then one replica is lost"),
    ("snapshot", "index versions advance under running queries, one server lags, the index is repartitioned"),
    ("stop", "every node stopped and replaced in turn, under queries and orders"),
    ("straggler", "1 attempt in 100 takes 20 times as long, one server is slow and says it is idle"),
    ("straggler-alpenwasch", "the same with Alpenwasch's callers and delays"),
    ("straggler-moreton-coast", "the same with Moreton Coast's callers and delays"),
];

/// Figures as JSON.
fn to_value<T: Serialize>(figures: &T) -> Value {
    serde_json::to_value(figures).unwrap_or_default()
}

/// Runs one experiment; `None` if there is none of that name.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(name: &str, seed: u64) -> Option<Result<ExperimentReport, FleetError>> {
    dice::seed(seed);
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
