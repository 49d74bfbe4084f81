//! Watches the store for newer configurations. Two nodes of each failure domain are watchers; the others rarely read
//! the store, so that the number of store calls grows with the failure domains and not with the nodes.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::HeadRecord;
use streamfold_policy::owner::choose_owners;
use streamfold_store::{EntityTag, LoadError};

use crate::keeper::{OfferResult, WATCH_WAIT};
use crate::node::Node;

/// Number of watchers in each failure domain.
const WATCHERS: usize = 2;
/// Time between two checks of a node that is not a watcher whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A node that is not a watcher reads the store if its configuration has not been confirmed for this time.
const FALLBACK_AGE: Duration = Duration::from_secs(30);
/// Delay between two reads of the store. It doubles after each failed read, or while the node has no configuration.
const FIRST_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay during an outage of the store.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Watches the store until the task is aborted.
pub async fn run(node: Arc<Node>) {
    let mut tag: Option<EntityTag> = None;
    let mut delay = FIRST_DELAY;
    loop {
        let has_no_config = node.keeper.current().is_none();
        let is_stale = node.keeper.age_ms() > FALLBACK_AGE.as_millis() as u64;
        let is_watcher = is_watcher(&node);
        if !is_watcher && !has_no_config && !is_stale {
            tokio::time::sleep(ROLE_CHECK_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
            continue;
        }
        let result = match has_no_config || !is_watcher {
            true => node.store.read_head().await,
            false => node.store.watch_head(tag.clone(), WATCH_WAIT).await,
        };
        let failed = match result {
            Ok(Some((head, new_tag))) => handle_head(&node, head).await.map(|()| {
                tag = Some(new_tag);
                false
            }),
            Ok(None) => {
                node.keeper.confirm(node.keeper.version(), 0);
                Ok(has_no_config)
            }
            Err(error) => Err(error),
        };
        let failed = failed.unwrap_or_else(|error| {
            tracing::warn!(event = "head_unread", %error);
            // The next call reads the head as it is now. The changes since the known one may hold a value that cannot be
            // read, or be longer than an answer may be.
            tag = None;
            true
        });
        delay = if failed { (delay * 2).min(MAX_DELAY) } else { FIRST_DELAY };
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

fn is_watcher(node: &Node) -> bool {
    let view = node.view();
    let none = Vec::new();
    let domain = view.workers.get(&node.settings.domain).unwrap_or(&none);
    let names = domain.iter().filter(|target| !target.is_suspect).map(|target| target.node.as_str());
    choose_owners(names, "watch", WATCHERS).contains(&node.settings.node.as_str())
}

async fn handle_head(node: &Arc<Node>, head: HeadRecord) -> Result<(), LoadError> {
    let version = head.version;
    match node.keeper.compare_head(&head) {
        OfferResult::Accepted => {
            let bundle = node.store.read_bundle(head).await?;
            node.offer(bundle);
        }
        OfferResult::Same => node.keeper.confirm(version, 0),
        OfferResult::Older | OfferResult::Rejected => {}
    }
    Ok(())
}
