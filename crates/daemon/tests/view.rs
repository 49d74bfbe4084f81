//! The owner that a request is sent to.

use std::collections::HashMap;
use std::sync::Arc;

use streamfold_daemon::view::{ClusterView, WorkTarget};
use streamfold_link::PeerLink;
use streamfold_model::{Configuration, FailureDomain, ServerProtocol, UpstreamIndex, UpstreamSpec};

const OWNERS: usize = 3;

fn target(number: usize) -> WorkTarget {
    let link = PeerLink::new("127.0.0.1:9".parse().expect("an address"));
    WorkTarget { node: format!("node-{number}").parse().expect("a name"), link: Some(link), is_suspect: false }
}

/// A view with one upstream and `OWNERS` other nodes that own it.
fn view() -> ClusterView {
    let domain: FailureDomain = "a".parse().expect("a name");
    let upstream = UpstreamSpec {
        name: "carts".parse().expect("a name"),
        domain: domain.clone(),
        slots: 1,
        connections: 1,
        protocol: ServerProtocol::H2,
        servers: Vec::new(),
    };
    let config = Configuration { upstreams: vec![Arc::new(upstream)], ..Configuration::default() };
    let workers = HashMap::from([(domain, (0..OWNERS).map(target).collect())]);
    ClusterView::build(Some(Arc::new(config)), workers, Arc::default(), OWNERS)
}

#[tokio::test]
async fn each_attempt_goes_to_another_owner_whatever_the_rotation() {
    let view = view();
    for rotation in [0, 1, usize::MAX - 1, usize::MAX] {
        let owner = |attempt| view.owner(UpstreamIndex(0), rotation, attempt).map(|target| target.node.clone());
        let mut chosen: Vec<_> = (0..OWNERS).map(|attempt| owner(attempt).expect("an owner")).collect();
        chosen.sort();
        chosen.dedup();
        assert_eq!(chosen.len(), OWNERS, "rotation {rotation}");
        assert_eq!(owner(OWNERS), None);
    }
}
