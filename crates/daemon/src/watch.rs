//! Watches the store for newer configurations. Two nodes of each failure domain hold the
//! watch; the others ask rarely, so that the store's calls grow with domains, not nodes.

use std::sync::Arc;
use std::time::Duration;

use streamfold_model::HeadRecord;
use streamfold_policy::owner::choose_owners;
use streamfold_store::{EntityTag, LoadError};

use crate::keeper::{OfferResult, WATCH_WAIT};
use crate::node::Node;

/// Watchers in each failure domain.
const WATCHERS: usize = 2;
/// How often the duty is looked at again.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A node that is no watcher asks once its configuration has been unconfirmed this long.
const FALLBACK_AGE: Duration = Duration::from_secs(30);
/// Pause between two asks of a node without a configuration, or after a failed one.
const FIRST_DELAY: Duration = Duration::from_millis(200);
/// The longest pause in an outage.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Watches until the node ends.
pub async fn run(node: Arc<Node>) {
    let mut tag: Option<EntityTag> = None;
    let mut pause = FIRST_DELAY;
    loop {
        let has_none = node.keeper.current().is_none();
        let is_stale = node.keeper.age_ms() > FALLBACK_AGE.as_millis() as u64;
        let is_watcher = is_watcher(&node);
        if !is_watcher && !has_none && !is_stale {
            tokio::time::sleep(ROLE_CHECK_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
            continue;
        }
        let seen = match has_none || !is_watcher {
            true => node.store.read_head().await,
            false => node.store.watch_head(tag.clone(), WATCH_WAIT).await,
        };
        let failed = match seen {
            Ok(Some((head, seen_tag))) => handle_head(&node, head).await.map(|()| tag = Some(seen_tag)).is_err(),
            Ok(None) => {
                node.keeper.confirm(node.keeper.version(), 0);
                has_none
            }
            Err(_) => true,
        };
        pause = if failed { (pause * 2).min(MAX_DELAY) } else { FIRST_DELAY };
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
    }
}

fn is_watcher(node: &Node) -> bool {
    let view = node.view();
    let none = Vec::new();
    let domain = view.workers.get(&node.settings.domain).unwrap_or(&none);
    let names = domain.iter().filter(|target| !target.suspect).map(|target| target.node.as_str());
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
