//! A request whose content is suspect goes to one server first.
//!
//! The load pattern: a request over every shard ends a server of each at once, and its retries end the others,
//! where one server would have shown what it does. One that is suspect without reason loses the time of one
//! call. Which request did it cannot be known the first time, so one over shards that lost a call sends nothing
//! more until it is known what became of the server, and nothing at all if several ended and nobody has answered
//! it: the other server of each shard lives on. Once its calls have been out for as long as calls usually take, and
//! still nobody has answered, it is to blame: a request that only ran beside it has answers by then. Until somebody has
//! answered, few second calls go out.

use std::time::Duration;

use streamfold_model::ServerId;

use crate::Moment;
use crate::crash_tracker::{ContentStatus, MIN_CRASHES};

/// How long after a request lost several calls it waits until it is known whether servers ended: a look
/// 5 ms later, and the way to a region 12 ms away and back.
pub const VERDICT_TIMEOUT: Duration = Duration::from_millis(30);
/// The same for a request over shards that lost several calls while nobody has answered it: servers that run the same
/// end up to 90 ms after one another.
const LONG_VERDICT_WITHIN: Duration = Duration::from_millis(90);

/// Second calls of a request over shards while no server has answered it: with as many the first ones would show
/// whether it ends servers, and a few that pause at once are gone round.
const MAX_BLIND_HEDGES: usize = MIN_CRASHES - 1;

/// How far the call that goes first has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
enum CanaryState {
    /// There was none.
    #[default]
    NotSent,
    /// It is under way, or was answered and it is not known yet whether the server lives on.
    Sent { server: ServerId, at: Moment },
    /// It was answered: the others may follow.
    Passed,
    /// It was lost: nothing more is sent.
    Failed,
}

/// Whether a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermission {
    /// Yes.
    Allowed,
    /// Yes, as the one that goes first.
    AsCanary,
    /// Not before more is known.
    Wait,
    /// No.
    Denied,
}

/// What becomes of a request whose calls are under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It goes on.
    Continue,
    /// What it asks for is held off by now, and no server has answered it: its calls are cancelled.
    Cancelled,
    /// It is what ended the servers: what it asks for is held off from now on, and its calls are cancelled.
    AtFault,
}

/// How the call that goes first ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CanaryOutcome {
    /// It was answered.
    Answered,
    /// It reached no server.
    NotSent,
    /// The server did not run it, so it told nothing.
    NotRun,
    /// It may have run and was not answered.
    Lost,
}

/// What one request knows of its own calls.
#[derive(Debug, Default)]
pub struct CanaryRecord {
    /// Whether it is the one request of all nodes that tries a content held off.
    pub is_trial: bool,
    /// Whether it goes to a server of every shard at once.
    is_over_shards: bool,
    first: CanaryState,
    lost: usize,
    lost_at: Moment,
    /// Whether calls were sent while nothing spoke against it.
    was_free: bool,
    is_answered: bool,
    /// Second calls sent before any answer.
    blind_hedges: usize,
    /// When the first of them was sent.
    blind_since: Option<Moment>,
}

impl CanaryRecord {
    /// That of the one request of all nodes that tries a content held off.
    pub fn trial() -> Self {
        Self { is_trial: true, ..Self::default() }
    }

    /// That of a request to every shard.
    pub fn over_shards() -> Self {
        Self { is_over_shards: true, ..Self::default() }
    }

    /// Whether the request may send a call; `patience` is how long the first one may take.
    pub fn permission(&self, now: Moment, status: ContentStatus, patience: Duration) -> CallPermission {
        let is_held = matches!(status, ContentStatus::Quarantined { .. } | ContentStatus::TrialDue);
        match &self.first {
            _ if is_held && !self.is_trial => CallPermission::Denied,
            CanaryState::Passed => CallPermission::Allowed,
            CanaryState::Failed => CallPermission::Denied,
            CanaryState::Sent { at, .. } if now.since(*at) < patience => CallPermission::Wait,
            CanaryState::Sent { .. } => CallPermission::Denied,
            CanaryState::NotSent if self.awaits_verdict(now) => CallPermission::Wait,
            // One more server would end, and with it the last one of its shard.
            CanaryState::NotSent if status == ContentStatus::Suspect && self.is_likely() => CallPermission::Denied,
            CanaryState::NotSent if self.is_trial || status == ContentStatus::Suspect => CallPermission::AsCanary,
            CanaryState::NotSent => CallPermission::Allowed,
        }
    }

    /// Whether it has lost so many calls that it must first be known what became of the servers.
    fn awaits_verdict(&self, now: Moment) -> bool {
        let least = if self.is_over_shards { 1 } else { MIN_CRASHES };
        let within = if self.lost > 1 && self.is_likely() { LONG_VERDICT_WITHIN } else { VERDICT_TIMEOUT };
        self.lost >= least && now.since(self.lost_at) < within
    }

    /// Whether it is likely to be what ended the servers: it was sent before they did, and nobody has answered.
    fn is_likely(&self) -> bool {
        self.is_over_shards && self.was_free && !self.is_answered
    }

    /// Whether another request may yet turn out to be what ended the servers, so that this one may send calls again.
    pub fn is_undecided(&self, status: ContentStatus) -> bool {
        status == ContentStatus::Suspect && self.first == CanaryState::NotSent && self.is_likely()
    }

    /// What becomes of the calls under way of a request that was begun `age` ago, where calls take `usual`.
    pub fn verdict(&self, status: ContentStatus, age: Duration, usual: Duration) -> RequestVerdict {
        if self.is_trial || !self.is_likely() {
            return RequestVerdict::Continue;
        }
        match status {
            ContentStatus::Suspect if age >= usual => RequestVerdict::AtFault,
            ContentStatus::Clear | ContentStatus::Suspect => RequestVerdict::Continue,
            ContentStatus::Quarantined { .. } | ContentStatus::TrialDue => RequestVerdict::Cancelled,
        }
    }

    /// Notes that a call is sent while nothing speaks against the request.
    pub fn note_unrestricted(&mut self) {
        self.was_free = true;
    }

    /// Whether a second call may go round one that is overdue. Where all are, and nobody has answered, what it asks for
    /// may be the cause, and second calls for all shards end the other server of each. If none has ended after a while, the
    /// servers are silent for another reason.
    pub fn may_hedge(&self, now: Moment) -> bool {
        let is_harmless =
            self.lost == 0 && self.blind_since.is_some_and(|since| now.since(since) >= LONG_VERDICT_WITHIN);
        !self.is_over_shards || self.is_answered || is_harmless || self.blind_hedges < MAX_BLIND_HEDGES
    }

    /// Notes that a second call is sent.
    pub fn note_hedge(&mut self, now: Moment) {
        self.blind_hedges += usize::from(!self.is_answered);
        self.blind_since.get_or_insert(now);
    }

    /// Notes that a server answered it.
    pub fn note_answered(&mut self) {
        self.is_answered = true;
    }

    /// Notes that a server lives on whose connection was lost.
    pub fn note_alive(&mut self) {
        self.lost = self.lost.saturating_sub(1);
    }

    /// Notes that a call's connection was lost.
    pub fn note_lost(&mut self, now: Moment) {
        self.lost += 1;
        self.lost_at = now;
    }

    /// Notes that the call that goes first is sent to a server.
    pub fn note_sent(&mut self, now: Moment, server: ServerId) {
        self.first = CanaryState::Sent { server, at: now };
    }

    /// Whether the call that goes first is at a server.
    pub fn is_at(&self, server: &ServerId) -> bool {
        matches!(&self.first, CanaryState::Sent { server: sent, .. } if sent == server)
    }

    /// Notes how the call that goes first ended. That of a trial is not over with its answer: whether the
    /// server lives on is told later.
    pub fn note_outcome(&mut self, end: CanaryOutcome) {
        self.first = match end {
            CanaryOutcome::Answered if self.is_trial => return,
            CanaryOutcome::Answered => CanaryState::Passed,
            // A trial reaches one server and no more, whatever that does.
            CanaryOutcome::NotRun if self.is_trial => CanaryState::Failed,
            CanaryOutcome::NotSent | CanaryOutcome::NotRun => CanaryState::NotSent,
            CanaryOutcome::Lost => CanaryState::Failed,
        };
    }

    /// Notes whether the server that answered a trial lives on.
    pub fn note_trial(&mut self, has_survived: bool) {
        self.first = if has_survived { CanaryState::Passed } else { CanaryState::Failed };
    }
}
