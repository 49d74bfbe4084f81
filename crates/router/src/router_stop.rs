//! Graceful stop of a router.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::interface::FeedTopic;
use crate::router::{Router, RouterPhase, RunningRouter};
use crate::store_call::{self, CallReason};

/// How long a stopping node still accepts requests: the balancer checks readiness every second and removes a node after
/// two negative answers.
const LAME_DUCK: Duration = Duration::from_millis(2_500);
/// Timeout for removing the node's entry, which must not take longer than the node still serves.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time before the platform kills the process at which requests in flight are abandoned.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// How long callers' connections are waited for after the requests in flight were abandoned, less than the margin.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a stopping node checks whether all requests and connections have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Router {
    /// Removes this node's entry, unless a later run of the node has written its own.
    async fn withdraw(&self) {
        let entry = self.own_entry();
        let withdrawn = tokio::time::timeout(
            WITHDRAW_TIMEOUT,
            store_call::run(FeedTopic::Nodes, CallReason::Withdraw, self.feed.withdraw(&entry)),
        )
        .await;
        match withdrawn {
            Ok(Ok(())) => tracing::info!(event = "withdrawn", node = %self.settings.node),
            Ok(Err(error)) => tracing::warn!(event = "withdraw_failed", %error),
            Err(_) => tracing::warn!(event = "withdraw_failed", error = "no answer in time"),
        }
    }

    /// Whether requests are in flight, or callers are connected or can connect.
    fn is_busy(&self) -> bool {
        self.is_accepting.load(Ordering::SeqCst)
            || self.connections.load(Ordering::SeqCst) > 0
            || self.requests.load(Ordering::SeqCst) > 0
    }

    /// Waits until no requests are in flight and no callers are connected, at most until `end`.
    async fn wait_idle(&self, end: Instant) {
        while self.is_busy() && Instant::now() < end {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Enters a phase of the stop and logs it.
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
    /// Stops gracefully: reports not ready at once, serves until the balancer has removed the node, then closes
    /// connections as their requests end. Requests that take too long are abandoned, and their callers are told so.
    pub async fn stop(mut self) {
        let router = self.router.clone();
        let started = Instant::now();
        let grace = router.live_settings.load().grace.0.saturating_sub(KILL_MARGIN);
        router.ends_at.get_or_init(|| router.clock.now().plus(grace));
        router.set_phase(RouterPhase::LameDuck);
        tokio::join!(tokio::time::sleep(LAME_DUCK), router.withdraw());
        router.set_phase(RouterPhase::Closing);
        router.wait_idle(started + grace).await;
        let given_up = router.requests.load(Ordering::SeqCst);
        router.set_phase(RouterPhase::Ended);
        router.wait_idle(Instant::now() + LAST_ANSWER_TIMEOUT).await;
        tracing::info!(
            event = "stopped",
            node = %router.settings.node,
            given_up,
            took_ms = started.elapsed().as_millis() as u64
        );
        self.tasks.shutdown().await;
    }
}
