//! Periodic check for services that have few healthy servers, or none at all.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use streamfold_model::ServiceName;
use streamfold_policy::shard_health::ShortageList;
use streamfold_policy::{Mechanism, Moment};

use crate::cluster_view::ClusterView;
use crate::router::Router;

/// The services that were short at the last check, and those without servers.
#[derive(Debug, Default)]
pub struct ShortageWatch {
    short: Mutex<ShortageList>,
    unserved: Mutex<ShortageList>,
    /// The view in which services without servers were last looked for.
    checked_view: Mutex<Weak<ClusterView>>,
}

impl ShortageWatch {
    /// Whether services without servers have not been looked for in this view.
    fn is_new(&self, view: &Arc<ClusterView>) -> bool {
        let current = Arc::downgrade(view);
        let mut checked = self.checked_view.lock().unwrap_or_else(PoisonError::into_inner);
        !std::mem::replace(&mut *checked, current.clone()).ptr_eq(&current)
    }
}

/// Finds the services that are short or have no servers, updates the gauges and logs the changes.
pub(crate) fn check(router: &Router) {
    let view = router.cluster.view();
    if router.shortage.is_new(&view) {
        check_unserved(router, &view);
    }
    if router.has(Mechanism::MeasuredPace) {
        check_short(router, &view);
    }
}

fn check_short(router: &Router, view: &ClusterView) {
    let short = find_short(view, router.clock.now());
    let mut list = router.shortage.short.lock().unwrap_or_else(PoisonError::into_inner);
    let change = list.replace(short);
    metrics::gauge!("streamfold_short_services").set(list.count() as f64);
    for (event, (count, names)) in [("services_short", change.began), ("services_recovered", change.ended)] {
        if count > 0 {
            tracing::info!(event, count, services = join(&names), short = list.count());
        }
    }
}

fn check_unserved(router: &Router, view: &ClusterView) {
    let mut list = router.shortage.unserved.lock().unwrap_or_else(PoisonError::into_inner);
    let change = list.replace(find_unserved(view));
    metrics::gauge!("streamfold_services_without_servers").set(list.count() as f64);
    let servers = router.cluster.count_servers();
    for (event, (count, names)) in [("services_without_servers", change.began), ("services_served_again", change.ended)]
    {
        if count > 0 {
            tracing::info!(event, count, services = join(&names), without = list.count(), servers);
        }
    }
}

/// The services that the active routes name and that have no server.
fn find_unserved(view: &ClusterView) -> BTreeSet<ServiceName> {
    let routes = view.table.iter().flat_map(|table| table.routes());
    let named = routes.flat_map(|route| route.services());
    named.filter(|service| !view.services.contains_key(*service)).cloned().collect()
}

fn find_short(view: &ClusterView, now: Moment) -> BTreeSet<ServiceName> {
    let services = view.services.iter().filter(|(_, service)| service.is_comparable());
    services.filter(|(_, service)| service.health(now).is_short()).map(|(name, _)| name.clone()).collect()
}

fn join(names: &[ServiceName]) -> String {
    names.iter().map(ServiceName::as_str).collect::<Vec<_>>().join(",")
}
