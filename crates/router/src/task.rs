//! Isolation of work whose panics must not end the node: requests and the node's background tasks.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::JoinSet;

/// Delay before a task that panicked is restarted, so that a task that always panics does not use a whole CPU core.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs work to its end; `None` if it panicked. The panic and its location are logged.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Option<T> {
    // The unfinished state is dropped together with the work. Locks that it held remain usable.
    AssertUnwindSafe(work).catch_unwind().await.ok()
}

/// Runs a task of the node until it ends and restarts it after a panic. Without the restart a node that no longer
/// receives updates about servers, or answers no other node, would go on serving with stale data unnoticed.
pub async fn keep_running<T: Future<Output = ()>>(name: &'static str, make_task: impl Fn() -> T) {
    while catch_panic(make_task()).await.is_none() {
        tracing::error!(event = "task_begun_anew", task = name);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// The background tasks of a node.
pub struct NodeTasks<N> {
    node: Arc<N>,
    running: JoinSet<()>,
}

impl<N: Send + Sync + 'static> NodeTasks<N> {
    /// Creates an empty set of tasks.
    pub fn new(node: Arc<N>) -> Self {
        Self { node, running: JoinSet::new() }
    }

    /// Starts a task, which is restarted if it panics.
    pub fn start<T, B>(&mut self, name: &'static str, make_task: B)
    where
        T: Future<Output = ()> + Send + 'static,
        B: Fn(Arc<N>) -> T + Send + Sync + 'static,
    {
        let node = self.node.clone();
        self.running.spawn(async move { keep_running(name, || make_task(node.clone())).await });
    }

    /// All tasks, to be cancelled when the node ends.
    pub fn into_running(self) -> JoinSet<()> {
        self.running
    }
}
