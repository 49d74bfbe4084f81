//! Work that must not end with a fault of its own: requests, and the tasks that a node lives by.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::JoinSet;

/// How long a task that panicked rests, so that one that always does takes no whole processor.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Runs work to its end; `None` if it panicked, of which the log has a line with the place.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Option<T> {
    // What was half done is dropped with the work; locks that it held count as usable.
    AssertUnwindSafe(work).catch_unwind().await.ok()
}

/// Runs a task of the node until it ends, and anew after a panic: a node that no longer hears of servers, or answers
/// no other node, goes on serving by what it last knew and nobody is told.
pub async fn keep_running<T: Future<Output = ()>>(name: &'static str, begin: impl Fn() -> T) {
    while catch_panic(begin()).await.is_none() {
        tracing::error!(event = "task_begun_anew", task = name);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

/// The tasks that a node of some kind lives by.
pub struct NodeTasks<N> {
    node: Arc<N>,
    running: JoinSet<()>,
}

impl<N: Send + Sync + 'static> NodeTasks<N> {
    /// None yet.
    pub fn new(node: Arc<N>) -> Self {
        Self { node, running: JoinSet::new() }
    }

    /// Starts a task, which is begun anew should it panic.
    pub fn start<T, B>(&mut self, name: &'static str, begin: B)
    where
        T: Future<Output = ()> + Send + 'static,
        B: Fn(Arc<N>) -> T + Send + Sync + 'static,
    {
        let node = self.node.clone();
        self.running.spawn(async move { keep_running(name, || begin(node.clone())).await });
    }

    /// All of them, to be ended with the node.
    pub fn into_running(self) -> JoinSet<()> {
        self.running
    }
}
