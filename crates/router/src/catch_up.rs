//! Reads a topic from the store at a node that may lack a change: another node has newer routes that do not arrive, or
//! the reader that this node follows has not confirmed the topic for too long.

use std::sync::Arc;
use std::time::Duration;

use streamfold_store::StoreError;
use tokio::time::Instant;

use crate::freshness::{ConfirmSource, ConfirmedAnswer};
use crate::interface::{FeedTopic, ListAge};
use crate::relay::FeedSource;
use crate::router::Router;
use crate::store_call::{self, CallReason};
use crate::store_turn::backoff_delay;
use crate::{topic_check, topic_update};

/// How long this node waits for newer routes that another node already has before it reads them from the store.
const CATCH_UP_DELAY: Duration = Duration::from_millis(150);

/// Reads a topic whenever this node may lack a change, until the node ends.
pub async fn run(router: Arc<Router>, topic: FeedTopic) {
    let mut failures = 0;
    loop {
        let reason = wait_needed(&router, topic).await;
        match read(&router, topic, reason).await {
            Ok(()) => failures = 0,
            Err(error) => {
                tracing::warn!(event = "routes_not_read", %topic, reason = reason.name(), %error);
                tokio::time::sleep(backoff_delay(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Waits until the topic has to be read, and returns why.
async fn wait_needed(router: &Router, topic: FeedTopic) -> CallReason {
    tokio::select! {
        () = wait_behind(router), if topic == FeedTopic::Routes => CallReason::Behind,
        () = wait_reader_overdue(router, topic) => CallReason::Overdue,
    }
}

/// Waits until another node has had newer routes for a while. While the store is unavailable, other nodes are queried
/// for them instead.
async fn wait_behind(router: &Router) {
    loop {
        if router.is_behind() && router.is_followed(FeedTopic::Routes) {
            tokio::time::sleep(CATCH_UP_DELAY).await;
            if router.is_behind() && router.is_followed(FeedTopic::Routes) {
                tracing::info!(event = "routes_behind", version = %router.cluster.version());
                return;
            }
        }
        router.newer_routes.notified().await;
    }
}

/// Waits until the reader that this node follows has not confirmed the topic for too long.
async fn wait_reader_overdue(router: &Router, topic: FeedTopic) {
    let mut source = router.source.subscribe();
    loop {
        // The sender lives as long as the router, so waiting for it cannot fail.
        let _ = source.wait_for(|source| *source == FeedSource::Relay).await;
        tokio::select! {
            () = topic_check::wait_age(router, topic, router.check_schedule(topic).follower_age()) => return,
            _ = source.wait_for(|source| *source != FeedSource::Relay) => {}
        }
    }
}

async fn read(router: &Router, topic: FeedTopic, reason: CallReason) -> Result<(), StoreError> {
    let repeat_after = router.check_schedule(topic).repeat_after();
    let ask = || async {
        let started = Instant::now();
        let list = store_call::run(topic, reason, router.feed.list(topic, ListAge::Fresh)).await?;
        Ok((list, started))
    };
    let (list, as_of) = store_call::repeat_unanswered(repeat_after, ask).await?;
    let position = list.position;
    topic_update::apply_list(router, topic, list);
    router.freshness.record(&ConfirmedAnswer { topic, position, as_of, source: ConfirmSource::Listing });
    if topic == FeedTopic::Routes {
        router.forget_reported_version();
    }
    Ok(())
}
