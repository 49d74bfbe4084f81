//! Canary calls: a request whose content is suspect goes to one server before it goes to the others.
//!
//! The failure is a request over all shards that crashes one server of each shard at once, and whose retries crash the
//! other servers, although a single server would have shown the effect. A request that is suspect by mistake only loses
//! the time of one call.
//!
//! On the first occurrence it is unknown which request caused the crashes. A request over shards that has lost a call
//! therefore sends no further calls until it is known whether the server crashed. It sends none at all if several
//! servers crashed and no server has answered it, so that the other server of each shard survives. If its calls have
//! been open for the usual time of a call and still no server has answered, the request is at fault, since a request
//! that only ran beside the faulty one has answers by then. Before the first answer only few hedged calls are sent.

use std::time::Duration;

use streamfold_model::ServerId;

use crate::Moment;
use crate::crash_tracker::{ContentStatus, MIN_CRASHES};

/// How long a request that lost several calls waits until it is known whether servers crashed: a check 5 ms
/// later, plus the round trip to a region with a one-way latency of 12 ms.
pub const VERDICT_TIMEOUT: Duration = Duration::from_millis(30);
/// The same time for a request over shards that lost several calls before any answer: servers that run the same
/// content crash up to 90 ms apart.
const LONG_VERDICT_TIMEOUT: Duration = Duration::from_millis(90);

/// Maximum number of hedged calls of a request over shards before the first answer. With these, the first calls still
/// show whether the request crashes servers, and a few servers that pause at once can be avoided.
const MAX_EARLY_HEDGES: usize = MIN_CRASHES - 1;

/// State of the canary call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum CanaryState {
    /// No canary call has been sent.
    #[default]
    NotSent,
    /// The call is open, or it was answered and the survival of the server is not yet known.
    Sent { server: ServerId, at: Moment },
    /// The call was answered, so the other calls may be sent.
    Passed,
    /// The call was lost, so no further calls are sent.
    Failed,
}

/// Whether a request may send a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermission {
    /// The call may be sent.
    Allowed,
    /// The call may be sent as the canary.
    AsCanary,
    /// The decision is pending.
    Wait,
    /// No call may be sent.
    Denied,
}

/// The decision about a request with open calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// The request continues.
    Continue,
    /// Its content has been quarantined and no server has answered, so its calls are cancelled.
    Cancelled,
    /// It caused the crashes, so its content is quarantined and its calls are cancelled.
    AtFault,
}

/// The outcome of the canary call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CanaryOutcome {
    /// The server answered.
    Answered,
    /// The call reached no server.
    NotSent,
    /// The server did not run the request, so the call gives no information.
    NotRun,
    /// The server may have run the request and did not answer.
    Lost,
}

/// One request's record of its own calls, which decides whether it may send further calls.
#[derive(Debug, Default)]
pub struct CanaryRecord {
    /// Whether this is the single request among all nodes that tries a quarantined content.
    pub is_trial: bool,
    /// Whether the request is sent to a server of every shard at once.
    is_over_shards: bool,
    canary: CanaryState,
    lost: usize,
    last_lost_at: Moment,
    /// Whether calls were sent while the content was not restricted.
    was_unrestricted: bool,
    is_answered: bool,
    /// Number of hedged calls sent before the first answer.
    early_hedges: usize,
    /// Time of the first hedged call.
    first_hedge_at: Option<Moment>,
}

impl CanaryRecord {
    /// Creates the record of the single request among all nodes that tries a quarantined content.
    pub fn trial() -> Self {
        Self { is_trial: true, ..Self::default() }
    }

    /// Creates the record of a request to every shard.
    pub fn over_shards() -> Self {
        Self { is_over_shards: true, ..Self::default() }
    }

    /// Whether the request may send a call. `timeout` is the longest time that the canary call may take.
    pub fn permission(&self, now: Moment, status: ContentStatus, timeout: Duration) -> CallPermission {
        let is_quarantined = matches!(status, ContentStatus::Quarantined { .. } | ContentStatus::TrialDue);
        match &self.canary {
            _ if is_quarantined && !self.is_trial => CallPermission::Denied,
            CanaryState::Passed => CallPermission::Allowed,
            CanaryState::Failed => CallPermission::Denied,
            CanaryState::Sent { at, .. } if now.since(*at) < timeout => CallPermission::Wait,
            CanaryState::Sent { .. } => CallPermission::Denied,
            CanaryState::NotSent if self.awaits_verdict(now) => CallPermission::Wait,
            // One more call could crash the last server of its shard.
            CanaryState::NotSent if status == ContentStatus::Suspect && self.is_probable_cause() => {
                CallPermission::Denied
            }
            CanaryState::NotSent if self.is_trial || status == ContentStatus::Suspect => CallPermission::AsCanary,
            CanaryState::NotSent => CallPermission::Allowed,
        }
    }

    /// Whether the request has lost enough calls that it must wait until it is known whether the servers crashed.
    fn awaits_verdict(&self, now: Moment) -> bool {
        let min_lost = if self.is_over_shards { 1 } else { MIN_CRASHES };
        let timeout = if self.lost > 1 && self.is_probable_cause() { LONG_VERDICT_TIMEOUT } else { VERDICT_TIMEOUT };
        self.lost >= min_lost && now.since(self.last_lost_at) < timeout
    }

    /// Whether the request probably caused the crashes: it was sent before them, and no server has answered.
    fn is_probable_cause(&self) -> bool {
        self.is_over_shards && self.was_unrestricted && !self.is_answered
    }

    /// Whether another request may still turn out to be the cause of the crashes. If it does, this one may send calls
    /// again.
    pub fn is_undecided(&self, status: ContentStatus) -> bool {
        status == ContentStatus::Suspect && self.canary == CanaryState::NotSent && self.is_probable_cause()
    }

    /// The decision about a request that started `age` ago, where calls usually take `usual`.
    pub fn verdict(&self, status: ContentStatus, age: Duration, usual: Duration) -> RequestVerdict {
        if self.is_trial || !self.is_probable_cause() {
            return RequestVerdict::Continue;
        }
        match status {
            ContentStatus::Suspect if age >= usual => RequestVerdict::AtFault,
            ContentStatus::Clear | ContentStatus::Suspect => RequestVerdict::Continue,
            ContentStatus::Quarantined { .. } | ContentStatus::TrialDue => RequestVerdict::Cancelled,
        }
    }

    /// Records that a call is sent while the request is not restricted.
    pub fn note_unrestricted(&mut self) {
        self.was_unrestricted = true;
    }

    /// Whether an overdue call may be hedged. If all calls are overdue and no server has answered, the content may be
    /// the cause, and hedged calls for all shards would crash the other server of each shard. If no server has crashed
    /// after a while, the servers are silent for another reason.
    pub fn may_hedge(&self, now: Moment) -> bool {
        let is_harmless =
            self.lost == 0 && self.first_hedge_at.is_some_and(|since| now.since(since) >= LONG_VERDICT_TIMEOUT);
        !self.is_over_shards || self.is_answered || is_harmless || self.early_hedges < MAX_EARLY_HEDGES
    }

    /// Records that a hedged call is sent.
    pub fn note_hedge(&mut self, now: Moment) {
        self.early_hedges += usize::from(!self.is_answered);
        self.first_hedge_at.get_or_insert(now);
    }

    /// Records that a server answered the request.
    pub fn note_answered(&mut self) {
        self.is_answered = true;
    }

    /// Records that a server whose connection was lost is still up.
    pub fn note_alive(&mut self) {
        self.lost = self.lost.saturating_sub(1);
    }

    /// Records that the connection of a call was lost.
    pub fn note_lost(&mut self, now: Moment) {
        self.lost += 1;
        self.last_lost_at = now;
    }

    /// Records that the canary call is sent to a server.
    pub fn note_sent(&mut self, now: Moment, server: ServerId) {
        self.canary = CanaryState::Sent { server, at: now };
    }

    /// Whether the canary call is open at the given server.
    pub fn is_at(&self, server: &ServerId) -> bool {
        matches!(&self.canary, CanaryState::Sent { server: sent, .. } if sent == server)
    }

    /// Records the outcome of the canary call. An answer does not end a trial: [`Self::note_trial`] reports later
    /// whether the server survived.
    pub fn note_outcome(&mut self, outcome: CanaryOutcome) {
        self.canary = match outcome {
            CanaryOutcome::Answered if self.is_trial => return,
            CanaryOutcome::Answered => CanaryState::Passed,
            // A trial reaches at most one server, whatever the outcome.
            CanaryOutcome::NotRun if self.is_trial => CanaryState::Failed,
            CanaryOutcome::NotSent | CanaryOutcome::NotRun => CanaryState::NotSent,
            CanaryOutcome::Lost => CanaryState::Failed,
        };
    }

    /// Records whether the server that answered a trial survived.
    pub fn note_trial(&mut self, has_survived: bool) {
        self.canary = if has_survived { CanaryState::Passed } else { CanaryState::Failed };
    }
}
