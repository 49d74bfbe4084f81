//! Applies what the store answered to this node's cluster state and sends it to the nodes that follow this one.

use crate::cluster::UpdateOrigin;
use crate::evacuation::EvacuationList;
use crate::freshness::ConfirmSource;
use crate::interface::{FeedChanges, FeedList, FeedPosition, FeedTopic};
use crate::listing::{KnownEntries, RelaySnapshot};
use crate::relay::RelayFrame;
use crate::router::Router;

/// Applies changes, then sends them to followers. In this order a node that starts to follow in between gets them twice;
/// in the reverse order it would miss them.
pub(crate) fn apply_changes(router: &Router, topic: FeedTopic, update: FeedChanges, found_by: ConfirmSource) {
    log_update(router, topic, update.changes.len(), update.position, found_by);
    if topic != FeedTopic::Evacuations {
        let context = router.update_context(topic, UpdateOrigin::Store, update.position);
        router.cluster.apply(update.changes.clone(), &context);
        router.relay_publisher.publish(|| RelayFrame::Changed(topic, update.changes, update.position));
    } else if let Some(known) = router.cluster.evacuations() {
        apply_evacuations(router, known.with_changes(&update.changes, update.position));
    }
}

/// Applies a listing, then sends followers what it says.
pub(crate) fn apply_list(router: &Router, topic: FeedTopic, list: FeedList) {
    log_update(router, topic, list.items.len(), list.position, ConfirmSource::Listing);
    match topic {
        FeedTopic::Evacuations => apply_evacuations(router, EvacuationList::from_list(&list)),
        FeedTopic::Servers | FeedTopic::Nodes => apply_entries(router, topic, list),
        FeedTopic::Routes | FeedTopic::Crashes => {
            let context = router.update_context(topic, UpdateOrigin::Store, list.position);
            router.cluster.replace(list.items.clone(), &context);
            router.relay_publisher.publish(|| RelayFrame::Listed(topic, list.items));
        }
    }
}

/// Applies a listing of servers or nodes and sends followers what was not known before.
fn apply_entries(router: &Router, topic: FeedTopic, list: FeedList) {
    let known = KnownEntries::of(router).digest(router.cluster.version());
    router.cluster.replace(list.items, &router.update_context(topic, UpdateOrigin::Store, list.position));
    router.relay_publisher.publish(|| RelayFrame::Snapshot(Box::new(RelaySnapshot::build(router, &known))));
}

fn apply_evacuations(router: &Router, list: EvacuationList) {
    router.cluster.offer_evacuations(router.clock.now(), list.clone(), UpdateOrigin::Store);
    router.relay_publisher.publish(|| RelayFrame::Evacuations(list));
}

/// Logs what came, and how current the topic was known before.
fn log_update(router: &Router, topic: FeedTopic, changes: usize, position: FeedPosition, found_by: ConfirmSource) {
    let before = router.freshness.get(topic);
    let age_ms = before.age().map(|age| age.as_millis() as u64);
    let (position, found_by, confirmed_by) = (position.0, found_by.name(), before.source.name());
    // Servers and nodes change many times a second while a release is rolled out.
    match topic {
        FeedTopic::Routes | FeedTopic::Evacuations => {
            tracing::info!(event = "feed_updated", %topic, changes, position, found_by, age_ms, confirmed_by);
        }
        FeedTopic::Servers | FeedTopic::Nodes | FeedTopic::Crashes => {
            tracing::debug!(event = "feed_updated", %topic, changes, position, found_by, age_ms, confirmed_by);
        }
    }
}
