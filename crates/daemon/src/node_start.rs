//! Start of a node: opens its ports and starts its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use streamfold_link::frame_memory;
use streamfold_router::task::NodeTasks;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::error::StartError;
use crate::node::Node;
use crate::settings::NodeSettings;
use crate::{callers, gossip, operators, peers, watch as watcher};

/// Time between two updates of the cluster view and removals of expired keys.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The addresses of a running node's ports.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for operators.
    pub operators: SocketAddr,
    /// Port for other nodes.
    pub peers: SocketAddr,
}

/// A started node with its tasks.
pub struct RunningNode {
    /// The node's shared state.
    pub node: Arc<Node>,
    /// The addresses of its ports.
    pub addresses: NodeAddresses,
    pub(crate) tasks: JoinSet<()>,
}

async fn listen(port: &'static str, address: SocketAddr) -> Result<(Arc<TcpListener>, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { port, address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((Arc::new(listener), bound))
}

/// Opens the ports and starts a node.
///
/// # Errors
/// A port cannot be opened.
pub async fn start(settings: NodeSettings) -> Result<RunningNode, StartError> {
    let (callers_listener, callers) = listen("callers", settings.callers).await?;
    let (operators_listener, operators) = listen("operators", settings.operators).await?;
    let (peers_listener, peers) = listen("peers", settings.peers).await?;
    let addresses = NodeAddresses { callers, operators, peers };
    frame_memory::set_limit(settings.machine.messages_len());
    let node = Arc::new(Node::new(settings, addresses));
    tracing::info!(
        event = "listening",
        node = %node.settings.node,
        failure_domain = %node.settings.domain,
        callers = %callers,
        operators = %operators,
        peers = %peers
    );
    let mut tasks = NodeTasks::new(node.clone());
    tasks.start("callers", move |node| callers::serve(node, callers_listener.clone()));
    tasks.start("operators", move |node| operators::serve(node, operators_listener.clone()));
    tasks.start("peers", move |node| peers::serve(node, peers_listener.clone()));
    tasks.start("heartbeats", gossip::run);
    tasks.start("configurations", watcher::run);
    tasks.start("view", maintain_view);
    Ok(RunningNode { node, addresses, tasks: tasks.into_running() })
}

async fn maintain_view(node: Arc<Node>) {
    loop {
        tokio::time::sleep(VIEW_INTERVAL).await;
        node.refresh_view();
        node.callers.report();
        let now = node.clock.now();
        node.own_tickets.sweep(now);
        node.caller_keys.sweep(now);
        node.sweep_adopted(now);
    }
}
