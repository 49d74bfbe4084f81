//! Reports topics whose knowledge is older than the settings allow, in logs and metrics.

use std::collections::HashSet;

use crate::interface::FeedTopic;
use crate::router::Router;

/// The topics that are overdue at this node.
#[derive(Debug, Default)]
pub struct OverdueTopics(HashSet<FeedTopic>);

impl OverdueTopics {
    /// Sets the gauges of all topics and logs each topic that became overdue or was confirmed again.
    pub fn check(&mut self, router: &Router) {
        for topic in router.topics() {
            self.check_topic(router, topic);
        }
    }

    fn check_topic(&mut self, router: &Router, topic: FeedTopic) {
        let freshness = router.freshness.get(topic);
        // What was never confirmed is as old as the node.
        let age = freshness.age().unwrap_or_else(|| router.uptime());
        metrics::gauge!("streamfold_feed_age_seconds", "topic" => topic.name()).set(age.as_secs_f64());
        let bound = router.settings.known_within(topic);
        let (age_ms, bound_ms) = (age.as_millis() as u64, bound.as_millis() as u64);
        let (source, confirmed_by) = (*router.source.borrow(), freshness.source.name());
        if age > bound && self.0.insert(topic) {
            let is_followed = router.is_followed(topic);
            tracing::warn!(event = "feed_overdue", %topic, age_ms, bound_ms, ?source, confirmed_by, is_followed);
        }
        if age <= bound && self.0.remove(&topic) {
            tracing::info!(event = "feed_confirmed", %topic, age_ms, ?source, confirmed_by);
        }
    }
}
