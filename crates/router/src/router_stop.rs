//! The planned stop of a router.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::border::FeedTopic;
use crate::router::{Router, RouterPhase, RunningRouter};
use crate::store_call::{self, CallReason};

/// A stopping node still takes requests for so long: the balancer asks each second and takes a
/// node out after two answers that say no.
const LAME_DUCK: Duration = Duration::from_millis(2_500);
/// How long removing the node's entry may take: no longer than it serves on.
const WITHDRAW_WITHIN: Duration = Duration::from_millis(2_000);
/// Before the platform kills the process, requests in flight are given up.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How often a stopping node looks whether it is done.
const STOP_LOOK: Duration = Duration::from_millis(20);

impl Router {
    /// Removes this node's entry, unless a later run of it has written its own.
    async fn withdraw(&self) {
        let entry = self.own_entry();
        let withdrawn = tokio::time::timeout(
            WITHDRAW_WITHIN,
            store_call::make(FeedTopic::Nodes, CallReason::Withdraw, self.feed.withdraw(&entry)),
        )
        .await;
        match withdrawn {
            Ok(Ok(())) => tracing::info!(event = "withdrawn", node = %self.settings.node),
            Ok(Err(error)) => tracing::warn!(event = "withdraw_failed", %error),
            Err(_) => tracing::warn!(event = "withdraw_failed", error = "no answer in time"),
        }
    }

    fn is_busy(&self) -> bool {
        self.connections.load(Ordering::SeqCst) > 0 || self.requests.load(Ordering::SeqCst) > 0
    }

    fn set_phase(&self, phase: RouterPhase) {
        tracing::info!(
            event = "stop_phase",
            phase = ?phase,
            requests = self.requests.load(Ordering::SeqCst),
            connections = self.connections.load(Ordering::SeqCst)
        );
        self.phase.send_replace(phase);
    }
}

impl RunningRouter {
    /// Stops as planned: no longer ready at once, serving on until the balancer has noticed,
    /// then closing connections as their requests end.
    pub async fn stop(mut self) {
        let router = self.router.clone();
        let began = tokio::time::Instant::now();
        router.set_phase(RouterPhase::LameDuck);
        tokio::join!(tokio::time::sleep(LAME_DUCK), router.withdraw());
        router.set_phase(RouterPhase::Closing);
        let end = began + router.live_settings.load().grace.0.saturating_sub(KILL_MARGIN);
        while router.is_busy() && tokio::time::Instant::now() < end {
            tokio::time::sleep(STOP_LOOK).await;
        }
        tracing::info!(
            event = "stopped",
            node = %router.settings.node,
            given_up = router.requests.load(Ordering::SeqCst),
            took_ms = began.elapsed().as_millis() as u64
        );
        self.tasks.shutdown().await;
    }
}
