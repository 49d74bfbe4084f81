//! Periodic check for services that have few healthy servers.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use streamfold_model::ServiceName;
use streamfold_policy::shard_health::ShortageList;
use streamfold_policy::{Mechanism, Moment};

use crate::cluster_view::ClusterView;
use crate::router::Router;

/// The services that were short at the last check.
#[derive(Debug, Default)]
pub struct ShortageWatch(Mutex<ShortageList>);

/// Finds the services that are short, updates the gauge and logs the changes.
pub(crate) fn check(router: &Router) {
    if !router.has(Mechanism::MeasuredPace) {
        return;
    }
    let short = find_short(&router.cluster.view(), router.clock.now());
    let mut list = router.shortage.0.lock().unwrap_or_else(PoisonError::into_inner);
    let change = list.replace(short);
    metrics::gauge!("streamfold_short_services").set(list.count() as f64);
    for (event, (count, names)) in [("services_short", change.began), ("services_recovered", change.ended)] {
        if count > 0 {
            tracing::info!(event, count, services = join(&names), short = list.count());
        }
    }
}

fn find_short(view: &ClusterView, now: Moment) -> BTreeSet<ServiceName> {
    let services = view.services.iter().filter(|(_, service)| service.is_comparable());
    services.filter(|(_, service)| service.health(now).is_short()).map(|(name, _)| name.clone()).collect()
}

fn join(names: &[ServiceName]) -> String {
    names.iter().map(ServiceName::as_str).collect::<Vec<_>>().join(",")
}
