//! Structured logs: one key=value line for each event, on standard error.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging with a filter such as `info`; one that cannot be read counts as `info`.
pub fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    // A second start in one process keeps the first.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
}
