//! How a node that starts learns the other nodes.

use std::time::Duration;

use crate::cluster::UpdateOrigin;
use crate::interface::{FeedList, FeedTopic, ListAge};
use crate::knowledge;
use crate::router::Router;
use crate::store_call::{self, CallReason};

/// The pause before nodes that were not up yet, or knew nothing yet, are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// At the very first start of all nodes, the time for every node to register.
const FIRST_START_WAIT: Duration = Duration::from_secs(1);
/// How long the nodes that the settings name may take to know those of the failure domain: they start within a third
/// of a second of the others.
const SEEDS_WITHIN: Duration = Duration::from_millis(600);
/// How long they are asked before the store is, where nodes start again: a few ways there and back.
const SEEDS_HEAD_START: Duration = Duration::from_millis(40);
/// So much earlier the nodes that the settings name list all nodes then, so that the others need not.
const SEEDS_LEAD: Duration = Duration::from_millis(300);

/// Learns the nodes, as the first thing of all. Where the system has run before, what the store told seconds ago will
/// do: the entries of nodes outlast their runs.
///
/// Nodes that start together would ask the store for all nodes each, which grows with their square. So where they are
/// more than one answer of the store holds, those that the settings name list them, and the others ask these.
pub async fn run(router: &Router) {
    let is_first = router.settings.first_start;
    if is_first {
        let lead = if knowledge::choose_seed(router).is_some() { SEEDS_LEAD } else { Duration::ZERO };
        tokio::time::sleep(FIRST_START_WAIT + lead).await;
    }
    let head_start = if is_first { SEEDS_WITHIN } else { SEEDS_HEAD_START };
    if learn_from_seeds(router, head_start).await {
        return;
    }
    if !is_first && (learn_few(router).await || learn_from_seeds(router, SEEDS_WITHIN).await) {
        return;
    }
    let age = if is_first { ListAge::Fresh } else { ListAge::MayBeStale };
    match store_call::run(FeedTopic::Nodes, CallReason::LookAround, router.feed.list(FeedTopic::Nodes, age)).await {
        Ok(list) => take_nodes(router, list),
        Err(error) => tracing::info!(event = "nodes_unknown", %error),
    }
}

/// Learns the nodes from the store if they fit in one answer; false where they are more.
async fn learn_few(router: &Router) -> bool {
    match store_call::run(FeedTopic::Nodes, CallReason::LookAround, router.feed.list_one_page(FeedTopic::Nodes)).await {
        Ok(Some(list)) => {
            take_nodes(router, list);
            true
        }
        Ok(None) => false,
        Err(error) => {
            tracing::info!(event = "nodes_unknown", %error);
            // The same call would not do better now.
            true
        }
    }
}

fn take_nodes(router: &Router, list: FeedList) {
    router.cluster.replace(router.clock.now(), list.items, FeedTopic::Nodes, UpdateOrigin::Store);
    router.nodes_listed.notify_one();
}

/// Learns the nodes of the failure domain from nodes that the settings name; whether one of them knew them in time.
async fn learn_from_seeds(router: &Router, within: Duration) -> bool {
    let asking = async {
        while let Some(seed) = knowledge::choose_seed(router) {
            if knowledge::fetch_neighbours(router, seed).await {
                router.nodes_listed.notify_one();
                return true;
            }
            tokio::time::sleep(ASK_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        }
        false
    };
    tokio::time::timeout(within, asking).await.unwrap_or(false)
}
