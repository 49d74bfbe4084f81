//! A batch that is longer than other nodes accept, since the body of its request is.
//!
//! The failure this test guards against: the batch was sent, and the other node closed the link, with every batch in
//! flight on it. The sending node could not tell whether the batch had run, so it called only the reserved servers.

mod fakes;

use std::sync::Arc;
use std::time::Duration;

use fakes::{FakeFeed, FakeTopics, NoFormat, make_settings, make_table, wait_version};
use streamfold_model::{AllowedRegions, Incarnation, NodeEntry, Priority, TableVersion};
use streamfold_router::batch::{BatchMode, MAX_BATCH_LEN, RequestCopy, ShardBatch};
use streamfold_router::domain::DomainState;
use streamfold_router::interface::{FeedChanges, FeedFuture, FeedList, FeedPosition, FeedTopic};
use streamfold_router::peers::{BatchEvent, PeerNode, PendingBatch};
use streamfold_router::{Router, router_start};
use streamfold_store::StoreError;

/// All times of the batch; longer than the test takes.
const BATCH_TIME: Duration = Duration::from_secs(30);

/// A store with a version of the routes and nothing else.
struct RoutesOnly;

impl FakeTopics for RoutesOnly {
    fn list(&self, topic: FeedTopic) -> Result<FeedList, StoreError> {
        Ok(self.list_one_page(topic))
    }

    fn list_one_page(&self, topic: FeedTopic) -> FeedList {
        let items = if topic == FeedTopic::Routes { vec![make_table(1)] } else { Vec::new() };
        FeedList { items, position: FeedPosition(1) }
    }

    fn watch(&self, _: FeedTopic, _: FeedPosition, _: Duration) -> FeedFuture<'_, FeedChanges> {
        Box::pin(std::future::pending())
    }
}

fn make_batch(body_len: usize) -> ShardBatch {
    let time_us = BATCH_TIME.as_micros() as u64;
    let request = RequestCopy {
        id: b"r-1".to_vec(),
        method: "GET".to_owned(),
        uri: "/".to_owned(),
        headers: Vec::new(),
        body: vec![0; body_len],
    };
    ShardBatch {
        request,
        route: "route".parse().expect("a name"),
        version: TableVersion(1),
        priority: Priority(0),
        team: None,
        shards: Vec::new(),
        mode: BatchMode::Folded,
        top: 1,
        max_attempts: 1,
        allowed_regions: AllowedRegions::Any,
        target_us: time_us,
        left_us: time_us,
        reply_within_us: time_us,
        progress_within_us: time_us,
    }
}

/// The entry of a node by which it sends batches to itself.
fn make_peer(router: &Router) -> Arc<PeerNode> {
    let settings = &router.settings;
    let domain = settings.failure_domain.clone();
    let state = Arc::new(DomainState::new(&domain, router.cluster.context()));
    let entry = NodeEntry {
        node: settings.node.clone(),
        incarnation: Incarnation(1),
        domain,
        peer_address: settings.peers,
        cpu_share: None,
    };
    PeerNode::new(entry, state, true)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_other_nodes_do_not_accept_is_not_sent() {
    let feed = Arc::new(FakeFeed(RoutesOnly));
    let settings = make_settings("own", 1.0);
    let node = router_start::start(settings, Arc::new(NoFormat), feed, String::new).await.expect("a node");
    wait_version(&node.router, 1).await;
    let peer = make_peer(&node.router);
    let (pending, event) = PendingBatch::new(node.router.clone(), peer.clone()).send(make_batch(1)).await;
    assert!(matches!(event, BatchEvent::Frame(_)), "a short batch is answered");
    drop(pending);
    let (_, event) = PendingBatch::new(node.router.clone(), peer.clone()).send(make_batch(MAX_BATCH_LEN)).await;
    let BatchEvent::Failed(error) = event else { panic!("the batch was accepted") };
    assert!(error.is_not_sent(), "{error}");
    assert!(peer.is_usable(node.router.clock.now()), "the link stays open, and the node is not avoided");
}
