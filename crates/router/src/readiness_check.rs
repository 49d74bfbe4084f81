//! Reports why a node does not call itself ready, in logs and metrics.

use std::time::Duration;

use streamfold_policy::Moment;

use crate::interface::FeedTopic;
use crate::router::{Router, RouterPhase};

/// How long a node is not ready before it is logged; a start takes less.
const FIRST_REPORT: Duration = Duration::from_secs(2);
/// The time between two lines while it is not ready.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// When the readiness of a node is reported next.
#[derive(Debug, Default)]
pub struct ReadinessReport {
    /// The time of the next line; `None` while the node is ready.
    due: Option<Moment>,
}

impl ReadinessReport {
    /// Sets the gauge, and logs what a node that serves lacks to be ready.
    pub fn check(&mut self, router: &Router) {
        let is_ready = router.is_ready();
        metrics::gauge!("streamfold_ready").set(f64::from(u8::from(is_ready)));
        if is_ready || *router.phase.borrow() != RouterPhase::Serving {
            self.due = None;
            return;
        }
        let now = router.clock.now();
        let due = *self.due.get_or_insert(now.plus(FIRST_REPORT));
        if now < due {
            return;
        }
        self.due = Some(now.plus(REPORT_INTERVAL));
        tracing::warn!(
            event = "not_ready",
            uptime_ms = router.uptime().as_millis() as u64,
            lacks = list_missing(router),
            source = ?*router.source.borrow(),
            is_store_refused = router.store_breaker.is_refused(),
            servers = router.cluster.count_servers(),
            nodes = router.cluster.view().node_count()
        );
    }
}

/// What the node lacks to be ready.
fn list_missing(router: &Router) -> String {
    let missing = [
        (!router.is_listed(FeedTopic::Servers)).then_some("servers"),
        router.cluster.view().table.is_none().then_some("routes"),
    ];
    missing.into_iter().flatten().collect::<Vec<_>>().join(",")
}
