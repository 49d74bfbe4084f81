//! The load of an upstream of any valid size.

use std::sync::Arc;

use streamfold_model::check::MAX_SERVER_LIMIT;
use streamfold_policy::{AdaptiveRules, ServerState, UpstreamQueue};

/// Servers whose limits add up to more than a `u32` holds.
const MANY_SERVERS: usize = 43_000;

#[test]
fn the_load_of_many_servers_with_the_greatest_limit_is_measured() {
    let servers = vec![ServerState::new(MAX_SERVER_LIMIT, MAX_SERVER_LIMIT); MANY_SERVERS];
    let queue: UpstreamQueue<()> = UpstreamQueue::new(Arc::new(AdaptiveRules::default()), servers);
    assert!(queue.load().abs() < f64::EPSILON, "no call is in flight");
}
