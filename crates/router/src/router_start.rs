//! Starts a router: opens its ports, starts its tasks and registers the node with the others.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::Mechanism;
use tokio::net::TcpListener;

use streamfold_link::frame_memory;

use crate::error::RouterError;
use crate::freshness_check::OverdueTopics;
use crate::interface::{CallFormat, ClusterFeed};
use crate::readiness_check::ReadinessReport;
use crate::router::{Router, RunningRouter};
use crate::settings::RouterSettings;
use crate::task::NodeTasks;
use crate::{
    caller_port, catch_up, feed, knowledge, liveness_probe, look_around, node_sweep, peer_service, peers, ready, relay,
    shortage,
};

/// Interval at which doubtful servers and idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a starting node checks whether it can serve.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

async fn listen(port: &'static str, address: std::net::SocketAddr) -> Result<Arc<TcpListener>, RouterError> {
    let bound = TcpListener::bind(address).await;
    bound.map(Arc::new).map_err(|source| RouterError::Listen { port, address, source })
}

/// Opens the ports and starts a router.
///
/// # Errors
/// A port cannot be opened.
pub async fn start(
    settings: RouterSettings,
    format: Arc<dyn CallFormat>,
    feed: Arc<dyn ClusterFeed>,
    metrics_text: fn() -> String,
) -> Result<RunningRouter, RouterError> {
    let callers = listen("callers", settings.callers).await?;
    let readiness = listen("ready", settings.ready).await?;
    let metrics = listen("metrics", settings.metrics).await?;
    let peers_listener = listen("peers", settings.peers).await?;
    frame_memory::set_limit(settings.machine().messages_len());
    let router = Arc::new(Router::new(settings, format, feed));
    tracing::info!(
        event = "started",
        node = %router.settings.node,
        incarnation = %router.incarnation,
        failure_domain = %router.settings.failure_domain,
        callers = %router.settings.callers,
        platform = %router.settings.platform,
        without = join_names(&router.settings.without)
    );
    let mut tasks = NodeTasks::new(router.clone());
    tasks.start("callers", move |router| caller_port::serve(router, callers.clone()));
    tasks.start("readiness", move |router| ready::serve(router, readiness.clone(), metrics_text));
    tasks.start("metrics", move |router| ready::serve(router, metrics.clone(), metrics_text));
    for topic in router.topics() {
        tasks.start("feed", move |router| feed::follow(router, topic));
    }
    tasks.start("join", join_cluster);
    for topic in router.topics().filter(|topic| topic.is_urgent()) {
        tasks.start("catch_up", move |router| catch_up::run(router, topic));
    }
    tasks.start("peers", move |router| peer_service::serve(router, peers_listener.clone()));
    tasks.start("links", peers::keep_connected);
    tasks.start("signs", liveness_probe::run);
    tasks.start("knowledge", knowledge::poll_peers_in_outages);
    tasks.start("sweep", sweep);
    tokio::spawn(log_ready(router.clone()));
    Ok(RunningRouter { router, tasks: tasks.into_running() })
}

fn join_names(mechanisms: &[Mechanism]) -> Option<String> {
    let names: Vec<String> = mechanisms.iter().map(ToString::to_string).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Discovers the other nodes and registers this one, then follows the updates of the store and removes stale entries of
/// its failure domain. On the first start of all nodes they register before discovery, since no node is listed yet;
/// later a node discovers the others first, so that it can replace its own listed entry with one call.
async fn join_cluster(router: Arc<Router>) {
    let announced = async {
        feed::announce(&router).await;
        node_sweep::run(router.clone()).await;
    };
    if router.settings.first_start {
        let joined = async {
            look_around::run(&router).await;
            relay::follow(router.clone()).await;
        };
        tokio::join!(announced, joined);
    } else {
        look_around::run(&router).await;
        tokio::join!(announced, relay::follow(router.clone()));
    }
}

/// Logs when the node can serve for the first time, with the state that it has then.
async fn log_ready(router: Arc<Router>) {
    let mut changed = router.feed_changed.subscribe();
    while !router.is_ready() {
        // State received from other nodes does not trigger `feed_changed`, so readiness is also checked on timeout.
        let _ = tokio::time::timeout(READY_CHECK_INTERVAL, changed.changed()).await;
    }
    let view = router.cluster.view();
    tracing::info!(
        event = "first_ready",
        uptime_ms = router.uptime().as_millis() as u64,
        version = %router.cluster.version(),
        servers = router.cluster.count_servers(),
        nodes = view.node_count(),
        source = ?*router.source.borrow()
    );
}

/// Runs the periodic checks until the node stops.
async fn sweep(router: Arc<Router>) {
    let mut overdue = OverdueTopics::default();
    let mut readiness = ReadinessReport::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        note_suspension(&router);
        overdue.check(&router);
        readiness.check(&router);
        router.cluster.sweep(router.clock.now());
        shortage::check(&router);
        router.callers.report();
    }
}

/// Signals a suspension of the machine to the tasks that follow the store, which then read everything again.
fn note_suspension(router: &Router) {
    let suspended = router.clock.suspended();
    let before = *router.suspended_for.borrow();
    if suspended > before {
        tracing::warn!(event = "machine_was_suspended", for_ms = (suspended - before).as_millis() as u64);
        router.freshness.note_suspension(suspended - before);
        router.suspended_for.send_replace(suspended);
    }
}
