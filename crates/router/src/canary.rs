//! Canary calls: the first call of a request whose content is suspect, and the trial of a quarantined content. The
//! rules are in `policy::canary`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::ContentId;
use streamfold_policy::Moment;
use streamfold_policy::canary::{CallPermission, CanaryOutcome, CanaryRecord, RequestVerdict};
use streamfold_policy::crash_tracker::ContentStatus;

use crate::call::{CallFailure, EndedCall, ServerReply};
use crate::router::Router;
use crate::server::Server;
use crate::{crash_check, quarantine};

/// A call whose connection was lost.
struct LostCall {
    server: Arc<Server>,
    at: Moment,
}

/// The state of one request's calls.
#[derive(Default)]
struct CanaryState {
    record: CanaryRecord,
    /// Lost calls whose servers are not known to be up.
    lost: Vec<LostCall>,
}

/// Decides whether one request may send calls, by the outcome of its canary call. Clones share the state.
#[derive(Clone, Default)]
pub struct CanaryCall(Arc<Mutex<CanaryState>>);

impl CanaryCall {
    fn with_record(record: CanaryRecord) -> Self {
        Self(Arc::new(Mutex::new(CanaryState { record, lost: Vec::new() })))
    }

    /// Creates the canary of the request that tries a quarantined content.
    pub fn trial() -> Self {
        Self::with_record(CanaryRecord::trial())
    }

    /// Creates the canary of a request to every shard.
    pub fn over_shards() -> Self {
        Self::with_record(CanaryRecord::over_shards())
    }

    fn state(&self) -> MutexGuard<'_, CanaryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call may be sent. `timeout` is the longest time that the canary call may take.
    pub fn permission(&self, now: Moment, status: ContentStatus, timeout: Duration) -> CallPermission {
        let mut state = self.state();
        let CanaryState { record, lost } = &mut *state;
        lost.retain(|call| {
            let is_alive = call.server.is_alive_since(call.at);
            if is_alive {
                record.note_alive();
            }
            !is_alive
        });
        record.permission(now, status, timeout)
    }

    /// Whether another request may still turn out to be the cause of the crashes.
    pub fn is_undecided(&self, status: ContentStatus) -> bool {
        self.state().record.is_undecided(status)
    }

    /// The decision about a request that started `age` ago, where calls usually take `usual`.
    pub fn verdict(&self, status: ContentStatus, age: Duration, usual: Duration) -> RequestVerdict {
        self.state().record.verdict(status, age, usual)
    }

    /// Whether an overdue call may be hedged.
    pub fn may_hedge(&self, now: Moment) -> bool {
        self.state().record.may_hedge(now)
    }

    /// Records that a hedged call is sent.
    pub fn note_hedge(&self, now: Moment) {
        self.state().record.note_hedge(now);
    }

    /// Records that a call is sent while the request is not restricted.
    pub fn note_unrestricted(&self) {
        self.state().record.note_unrestricted();
    }

    /// Records that a server answered the request.
    pub fn note_answered(&self) {
        self.state().record.note_answered();
    }

    /// Records that the canary call is sent to a server.
    pub fn note_sent(&self, now: Moment, server: &Server) {
        self.state().record.note_sent(now, server.id.clone());
    }

    /// Records how a call of the request ended.
    pub fn note_outcome(&self, router: &Arc<Router>, content: ContentId, ended: &EndedCall) {
        let mut state = self.state();
        let CanaryState { record, lost } = &mut *state;
        match &ended.result {
            Ok(reply) if reply.is_proven_success() => record.note_answered(),
            Err(CallFailure::ConnectionLost) => {
                let now = router.clock.now();
                record.note_lost(now);
                lost.push(LostCall { server: ended.server.clone(), at: now });
            }
            _ => {}
        }
        if !record.is_at(&ended.server.id) {
            return;
        }
        let outcome = read_outcome(&ended.result);
        record.note_outcome(outcome);
        if record.is_trial && outcome == CanaryOutcome::Answered {
            tokio::spawn(watch_trial(router.clone(), content, self.clone(), ended.server.clone()));
        }
    }
}

fn read_outcome(result: &Result<ServerReply, CallFailure>) -> CanaryOutcome {
    match result {
        Ok(reply) if reply.proof.is_some() && !reply.status.is_server_error() => CanaryOutcome::Answered,
        Err(CallFailure::NotSent) => CanaryOutcome::NotSent,
        Err(CallFailure::NotRun) => CanaryOutcome::NotRun,
        Ok(_) | Err(CallFailure::ConnectionLost | CallFailure::Unknown) => CanaryOutcome::Lost,
    }
}

/// Checks whether a server that answered a trial survives, and releases the content if it does.
async fn watch_trial(router: Arc<Router>, content: ContentId, canary: CanaryCall, server: Arc<Server>) {
    let has_survived = crash_check::survives(&server).await;
    // Before the release, which waits for the store: the other calls of the trial are waiting for this.
    canary.state().record.note_trial(has_survived);
    if has_survived {
        quarantine::release(&router, content).await;
    }
}
