//! The process-wide metrics recorder and its Prometheus text output.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::StartError;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.062, 0.1, 0.2, 0.5, 1.0, 2.0];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder; does nothing if this process already has one.
///
/// # Errors
/// The recorder cannot be installed.
pub fn install() -> Result<(), StartError> {
    if HANDLE.get().is_some() {
        return Ok(());
    }
    let matcher = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &LATENCY_BUCKETS);
    let builder = builder.map_err(|error| StartError::Metrics(error.to_string()))?;
    let handle = builder.install_recorder().map_err(|error| StartError::Metrics(error.to_string()))?;
    // If two threads race here, the recorder that was installed first is used.
    let _ = HANDLE.set(handle);
    Ok(())
}

/// All metrics as Prometheus text.
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
