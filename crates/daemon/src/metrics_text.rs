//! The metrics recorder of the process and its Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::StartError;

/// Edges of the latency histograms, in seconds.
const LATENCY_EDGES: [f64; 14] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.062, 0.1, 0.2, 0.5, 1.0, 2.0];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder; a second call in one process keeps the first.
///
/// # Errors
/// The recorder cannot be installed.
pub fn install() -> Result<(), StartError> {
    if HANDLE.get().is_some() {
        return Ok(());
    }
    let matcher = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &LATENCY_EDGES);
    let builder = builder.map_err(|error| StartError::Metrics(error.to_string()))?;
    let handle = builder.install_recorder().map_err(|error| StartError::Metrics(error.to_string()))?;
    // Two threads may race here; the recorder that was installed first is the one in use.
    let _ = HANDLE.set(handle);
    Ok(())
}

/// All metrics as Prometheus text.
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
