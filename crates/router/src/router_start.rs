//! How a router starts: its ports, its tasks, and its place among the other nodes.

use std::sync::Arc;
use std::time::Duration;

use streamfold_policy::Mechanism;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::border::{CallFormat, ClusterFeed};
use crate::error::RouterError;
use crate::router::{Router, RunningRouter};
use crate::settings::RouterSettings;
use crate::{feed, front, knowledge, node_sweep, peer_service, peers, ready, relay, signs};

/// How often doubtful servers and resting connections are looked at.
const SWEEP_EVERY: Duration = Duration::from_millis(250);

async fn listen(port: &'static str, address: std::net::SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).await.map_err(|source| RouterError::Listen { port, address, source })
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
    let mut tasks = JoinSet::new();
    tasks.spawn(front::serve(router.clone(), callers));
    tasks.spawn(ready::serve(router.clone(), readiness, metrics_text));
    tasks.spawn(ready::serve(router.clone(), metrics, metrics_text));
    for topic in router.topics() {
        tasks.spawn(feed::follow(router.clone(), topic));
    }
    tasks.spawn(join(router.clone()));
    tasks.spawn(feed::catch_up(router.clone()));
    tasks.spawn(peer_service::serve(router.clone(), peers_listener));
    tasks.spawn(peers::keep_connected(router.clone()));
    tasks.spawn(signs::ask(router.clone()));
    tasks.spawn(knowledge::ask_in_outages(router.clone()));
    tasks.spawn(sweep(router.clone()));
    Ok(RunningRouter { router, tasks })
}

fn join_names(mechanisms: &[Mechanism]) -> Option<String> {
    let names: Vec<String> = mechanisms.iter().map(ToString::to_string).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Learns the other nodes and registers this one, then takes the news of the store and looks after
/// the entries near it. At the very first start all nodes register before they look around; later
/// those that are listed replace their entries by one call.
async fn join(router: Arc<Router>) {
    let announced = async {
        feed::announce(&router).await;
        node_sweep::run(router.clone()).await;
    };
    if router.settings.first_start {
        let joined = async {
            relay::look_around(&router).await;
            relay::follow(router.clone()).await;
        };
        tokio::join!(announced, joined);
    } else {
        relay::look_around(&router).await;
        tokio::join!(announced, relay::follow(router.clone()));
    }
}

async fn sweep(router: Arc<Router>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        note_suspension(&router);
        router.cluster.sweep(router.clock.now());
    }
}

/// Tells what follows the news of the store that the machine was suspended: everything is asked for anew.
fn note_suspension(router: &Router) {
    let suspended = router.clock.suspended();
    let before = *router.woken.borrow();
    if suspended > before {
        tracing::warn!(event = "machine_was_suspended", for_ms = (suspended - before).as_millis() as u64);
        router.woken.send_replace(suspended);
    }
}
