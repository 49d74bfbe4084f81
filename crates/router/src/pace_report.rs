//! Server paces that one node reports to another in its replies to batches.

use std::time::Duration;

use streamfold_model::{FailureDomain, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::replica::Distance;

use crate::batch::ServerPace;
use crate::cluster_view::{ClusterView, Service};
use crate::server::Server;

/// Maximum number of paces in a reply, since traffic between regions is charged for.
const MAX_REPORTED: usize = 4;
/// A pace is reported if work takes at least this many times as long as usual. A smaller slowdown does not change the
/// choice of servers across regions.
const MIN_SLOWDOWN: f64 = 3.0;
/// Older measurements are not reported: the receiving node would decay them, so that they would count for little.
const MAX_AGE: Duration = Duration::from_secs(2);

/// The paces of servers of the given services that are in this node's failure domain and far slower than usual, newest
/// first.
pub fn report_paces<'a>(
    now: Moment,
    view: &'a ClusterView,
    services: impl Iterator<Item = &'a ServiceName>,
) -> Vec<ServerPace> {
    let servers = services.filter_map(|name| view.services.get(name)).flat_map(Service::all);
    let near = servers.filter(|server| server.distance == Distance::Domain);
    let mut reported: Vec<ServerPace> = near.filter_map(|server| report_pace(now, server)).collect();
    reported.sort_by_key(|pace| pace.age_us);
    reported.truncate(MAX_REPORTED);
    reported
}

fn report_pace(now: Moment, server: &Server) -> Option<ServerPace> {
    let (pace, measured) = server.measured_pace(now)?;
    let age = now.since(measured);
    let is_reported = pace >= MIN_SLOWDOWN && age < MAX_AGE;
    let make = || ServerPace { server: server.run(), thousandths: (pace * 1e3) as u32, age_us: age.as_micros() as u64 };
    is_reported.then(make)
}

/// Records the paces that a node reported for servers of the given services in its failure domain. Reports about other
/// servers or other runs are ignored.
pub fn record_paces<'a>(
    now: Moment,
    view: &'a ClusterView,
    domain: &FailureDomain,
    services: impl Iterator<Item = &'a ServiceName>,
    reported: &[ServerPace],
) {
    if reported.is_empty() {
        return;
    }
    let servers = services.filter_map(|name| view.services.get(name)).flat_map(Service::all);
    let servers: Vec<_> = servers.filter(|server| server.domain == *domain).collect();
    // Paces beyond the maximum of a reply are ignored too.
    for pace in reported.iter().take(MAX_REPORTED) {
        let Some(server) = servers.iter().find(|server| server.run() == pace.server) else { continue };
        let slowdown = f64::from(pace.thousandths) / 1e3;
        server.state().record_peer_pace(now, slowdown, Duration::from_micros(pace.age_us));
        tracing::debug!(event = "pace_told", server = %server.id, thousandths = pace.thousandths, age_us = pace.age_us);
        metrics::counter!("streamfold_told_paces_total").increment(1);
    }
}
