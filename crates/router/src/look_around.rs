//! Discovery of the other nodes when a node starts.

use std::time::Duration;

use crate::cluster::UpdateOrigin;
use crate::interface::{FeedList, FeedTopic, ListAge};
use crate::knowledge;
use crate::router::Router;
use crate::store_call::{self, CallReason};

/// The delay before a seed is queried again after one that was not up yet or knew no nodes yet.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time for every node to register at the first start of the whole system.
const FIRST_START_WAIT: Duration = Duration::from_secs(1);
/// How long the seeds may take to know the nodes of the failure domain: they start within a third of a second of the
/// other nodes.
const SEEDS_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the seeds are queried before the store when nodes restart: a few round trips.
const SEEDS_RESTART_TIMEOUT: Duration = Duration::from_millis(40);
/// How much earlier the seeds list all nodes at the first start, so that the other nodes need not.
const SEEDS_LEAD: Duration = Duration::from_millis(300);

/// Discovers the nodes, as the first step of the start. If the system has run before, a listing that is seconds old is
/// enough, since the entries of nodes outlast their runs.
///
/// If all nodes that start together listed all nodes in the store, the load would grow with the square of their number.
/// So if the nodes do not fit in one answer of the store, only the seeds, the nodes named in the settings, list them,
/// and the others query the seeds.
pub async fn run(router: &Router) {
    let is_first = router.settings.first_start;
    if is_first {
        let lead = if knowledge::choose_seed(router).is_some() { SEEDS_LEAD } else { Duration::ZERO };
        tokio::time::sleep(FIRST_START_WAIT + lead).await;
    }
    let timeout = if is_first { SEEDS_TIMEOUT } else { SEEDS_RESTART_TIMEOUT };
    if discover_from_seeds(router, timeout).await {
        return;
    }
    if !is_first && (discover_from_one_page(router).await || discover_from_seeds(router, SEEDS_TIMEOUT).await) {
        return;
    }
    let age = if is_first { ListAge::Fresh } else { ListAge::MayBeStale };
    match store_call::run(FeedTopic::Nodes, CallReason::LookAround, router.feed.list(FeedTopic::Nodes, age)).await {
        Ok(list) => apply_nodes(router, list),
        Err(error) => tracing::info!(event = "nodes_unknown", %error),
    }
}

/// Lists the nodes in the store if they fit in one answer; returns false if they do not.
async fn discover_from_one_page(router: &Router) -> bool {
    match store_call::run(FeedTopic::Nodes, CallReason::LookAround, router.feed.list_one_page(FeedTopic::Nodes)).await {
        Ok(Some(list)) => {
            apply_nodes(router, list);
            true
        }
        Ok(None) => false,
        Err(error) => {
            tracing::info!(event = "nodes_unknown", %error);
            // The full listing would fail as well, so it is not tried.
            true
        }
    }
}

fn apply_nodes(router: &Router, list: FeedList) {
    router.cluster.replace(list.items, &router.update_context(FeedTopic::Nodes, UpdateOrigin::Store, list.position));
    router.nodes_listed.notify_one();
}

/// Queries the seeds for the nodes of the failure domain; returns whether one of them knew them in time.
async fn discover_from_seeds(router: &Router, timeout: Duration) -> bool {
    let query = async {
        while let Some(seed) = knowledge::choose_seed(router) {
            if knowledge::fetch_neighbours(router, seed).await {
                router.nodes_listed.notify_one();
                return true;
            }
            tokio::time::sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
        }
        false
    };
    tokio::time::timeout(timeout, query).await.unwrap_or(false)
}
