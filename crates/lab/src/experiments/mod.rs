//! Experiments: each runs a baseline and the policy in one run and ends with one JSON object.

pub mod cost;

use serde::Serialize;
use serde_json::Value;

use crate::fleet::FleetError;

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
pub const EXPERIMENTS: [(&str, &str); 1] =
    [("cost", "what the tier itself costs: added latency, processor time and memory, one hop and two")];

/// Runs one experiment; `None` if there is none of that name.
///
/// # Errors
/// A fleet did not come up.
pub async fn run(name: &str, seed: u64) -> Option<Result<ExperimentReport, FleetError>> {
    match name {
        "cost" => Some(cost::run(seed).await),
        _ => None,
    }
}
