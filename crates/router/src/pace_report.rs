//! Paces of servers that one node tells another with its replies to batches.

use std::time::Duration;

use streamfold_model::{FailureDomain, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::replica::Distance;

use crate::batch::ServerPace;
use crate::cluster_view::{ClusterView, Service};
use crate::server::Server;

/// Paces told in a reply at most: bytes between regions are paid for.
const MAX_TOLD: usize = 4;
/// A pace is told if work takes so many times as long as usual: less makes no difference to whom to ask across regions.
const FAR_FROM_USUAL: f64 = 3.0;
/// An older measurement is not told: the asking node lets it fade, and it would count for little.
const TOLD_FOR: Duration = Duration::from_secs(2);

/// Paces of servers near this node that are far slower than usual, among those of some services; the newest first.
pub fn tell_paces<'a>(
    now: Moment,
    view: &'a ClusterView,
    services: impl Iterator<Item = &'a ServiceName>,
) -> Vec<ServerPace> {
    let servers = services.filter_map(|name| view.services.get(name)).flat_map(Service::all);
    let near = servers.filter(|server| server.distance == Distance::Domain);
    let mut told: Vec<ServerPace> = near.filter_map(|server| tell_pace(now, server)).collect();
    told.sort_by_key(|pace| pace.age_us);
    told.truncate(MAX_TOLD);
    told
}

fn tell_pace(now: Moment, server: &Server) -> Option<ServerPace> {
    let (pace, measured) = server.measured_pace(now)?;
    let age = now.since(measured);
    let is_told = pace >= FAR_FROM_USUAL && age < TOLD_FOR;
    let make = || ServerPace { server: server.run(), thousandths: (pace * 1e3) as u32, age_us: age.as_micros() as u64 };
    is_told.then(make)
}

/// Takes what a node told of servers of some services in its failure domain. What it tells of others, or of another run,
/// is left out.
pub fn take_paces<'a>(
    now: Moment,
    view: &'a ClusterView,
    domain: &FailureDomain,
    services: impl Iterator<Item = &'a ServiceName>,
    told: &[ServerPace],
) {
    if told.is_empty() {
        return;
    }
    let servers = services.filter_map(|name| view.services.get(name)).flat_map(Service::all);
    let servers: Vec<_> = servers.filter(|server| server.domain == *domain).collect();
    // More than a node tells is not taken either.
    for pace in told.iter().take(MAX_TOLD) {
        let Some(server) = servers.iter().find(|server| server.run() == pace.server) else { continue };
        let stretch = f64::from(pace.thousandths) / 1e3;
        server.state().record_peer_pace(now, stretch, Duration::from_micros(pace.age_us));
        tracing::debug!(event = "pace_told", server = %server.id, thousandths = pace.thousandths, age_us = pace.age_us);
        metrics::counter!("streamfold_told_paces_total").increment(1);
    }
}
