//! How a node starts: its ports and its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use streamfold_router::task::NodeTasks;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::error::StartError;
use crate::node::Node;
use crate::settings::NodeSettings;
use crate::{callers, gossip, operators, peers, watch as watcher};

/// How often the view is looked at again without news.
const VIEW_EVERY: Duration = Duration::from_millis(100);

/// Where the ports of a running node are.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Operators' port.
    pub operators: SocketAddr,
    /// Peers' port.
    pub peers: SocketAddr,
}

/// A node with its ports open and its tasks running.
pub struct RunningNode {
    /// The node.
    pub node: Arc<Node>,
    /// Its ports.
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
    tasks.start("view", keep_view);
    Ok(RunningNode { node, addresses, tasks: tasks.into_running() })
}

async fn keep_view(node: Arc<Node>) {
    loop {
        tokio::time::sleep(VIEW_EVERY).await;
        node.refresh_view();
        let now = node.clock.now();
        node.own_book.sweep(now);
        node.own_keys.sweep(now);
        node.sweep_books(now);
    }
}
