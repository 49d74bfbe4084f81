//! The first call of a request whose content is suspect, and the trial of one that is held off.

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

/// What is known of one request's calls.
#[derive(Default)]
struct CanaryState {
    record: CanaryRecord,
    /// Lost calls, until it is known that their servers live on.
    lost: Vec<LostCall>,
}

/// The first call of one request.
#[derive(Clone, Default)]
pub struct CanaryCall(Arc<Mutex<CanaryState>>);

impl CanaryCall {
    fn of(record: CanaryRecord) -> Self {
        Self(Arc::new(Mutex::new(CanaryState { record, lost: Vec::new() })))
    }

    /// That of a request that tries a content held off.
    pub fn trial() -> Self {
        Self::of(CanaryRecord::trial())
    }

    /// That of a request to every shard.
    pub fn over_shards() -> Self {
        Self::of(CanaryRecord::over_shards())
    }

    fn state(&self) -> MutexGuard<'_, CanaryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call may be sent; `patience` is how long the first one may take.
    pub fn right(&self, now: Moment, standing: ContentStatus, patience: Duration) -> CallPermission {
        let mut state = self.state();
        let CanaryState { record, lost } = &mut *state;
        lost.retain(|call| {
            let is_alive = call.server.is_alive_since(call.at);
            if is_alive {
                record.note_alive();
            }
            !is_alive
        });
        record.permission(now, standing, patience)
    }

    /// Whether another request may yet turn out to be what ended the servers.
    pub fn is_undecided(&self, standing: ContentStatus) -> bool {
        self.state().record.is_undecided(standing)
    }

    /// What becomes of the calls under way of a request that was begun `age` ago, where calls take `usual`.
    pub fn fate(&self, standing: ContentStatus, age: Duration, usual: Duration) -> RequestVerdict {
        self.state().record.verdict(standing, age, usual)
    }

    /// Whether a second call may go round one that is overdue.
    pub fn may_hedge(&self, now: Moment) -> bool {
        self.state().record.may_hedge(now)
    }

    /// Notes that a second call is sent.
    pub fn note_hedge(&self, now: Moment) {
        self.state().record.note_hedge(now);
    }

    /// Notes that a call is sent while nothing speaks against the request.
    pub fn note_free(&self) {
        self.state().record.note_unrestricted();
    }

    /// Notes that a server answered the request.
    pub fn note_answered(&self) {
        self.state().record.note_answered();
    }

    /// Notes that the first call goes to a server.
    pub fn note_sent(&self, now: Moment, server: &Server) {
        self.state().record.note_sent(now, server.id.clone());
    }

    /// Notes how a call of the request ended.
    pub fn note_end(&self, router: &Arc<Router>, content: ContentId, ended: &EndedCall) {
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
        let end = read_end(&ended.result);
        record.note_outcome(end);
        if record.is_trial && end == CanaryOutcome::Answered {
            tokio::spawn(watch_trial(router.clone(), content, self.clone(), ended.server.clone()));
        }
    }
}

fn read_end(result: &Result<ServerReply, CallFailure>) -> CanaryOutcome {
    match result {
        Ok(reply) if reply.proof.is_some() && !reply.status.is_server_error() => CanaryOutcome::Answered,
        Err(CallFailure::NotSent) => CanaryOutcome::NotSent,
        Err(CallFailure::NotRun) => CanaryOutcome::NotRun,
        Ok(_) | Err(CallFailure::ConnectionLost | CallFailure::Unknown) => CanaryOutcome::Lost,
    }
}

/// Looks whether a server that answered a trial lives on, and gives the content free if it does.
async fn watch_trial(router: Arc<Router>, content: ContentId, canary: CanaryCall, server: Arc<Server>) {
    let has_survived = crash_check::lives_on(&server).await;
    if has_survived {
        quarantine::release(&router, content).await;
    }
    canary.state().record.note_trial(has_survived);
}
