//! The attempts of one request at one service: which servers were asked, and what may be said of
//! whether it ran.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use streamfold_model::{ServerId, ServerRun, ServiceName};
use streamfold_policy::Moment;
use streamfold_policy::domain_reach::MIN_SILENCE;
use streamfold_policy::replica::Distance;
use streamfold_policy::server_bound::SendPermission;

use crate::call::{CallFailure, SentMark};
use crate::call_line::QueueEntry;
use crate::server::Server;

/// Why no further server is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStop {
    /// The request may run once at most, and may have.
    AtMostOnce,
    /// It may be sent to no more servers.
    ServerBound,
    /// Every server that may be asked was.
    NoneLeft,
    /// The budget of extra calls is spent.
    Budget,
    /// What the request asks for ends servers.
    Quarantined,
    /// It waits for a server.
    Waiting,
    /// Another call of the request goes first, since what it asks for may end servers.
    Canary,
}

impl fmt::Display for AttemptStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AtMostOnce => "at_most_once",
            Self::ServerBound => "server_bound",
            Self::NoneLeft => "none_left",
            Self::Budget => "budget",
            Self::Quarantined => "quarantined",
            Self::Waiting => "waiting",
            Self::Canary => "canary",
        })
    }
}

/// A call to another failure domain whose silence tells of that as a whole, if it lasts long enough.
pub(crate) struct SilenceWatch {
    server: Arc<Server>,
    started: Moment,
}

impl SilenceWatch {
    fn ends_at(&self) -> Moment {
        self.started.plus(MIN_SILENCE)
    }
}

/// The attempts of one request at one service.
pub struct ServiceAttempts {
    /// The service.
    pub service: ServiceName,
    /// Calls in flight, by the server.
    calls: Vec<(ServerRun, SentMark)>,
    /// Servers that may have run the request by calls of this node, or by hedges it handed on.
    pub(crate) sent: u32,
    /// Servers that may have run it by calls of a node that was asked for it and has told so.
    pub(crate) sent_elsewhere: u32,
    /// Whether a call has reached a server, so that each further one is extra.
    pub(crate) has_arrived: bool,
    /// Servers asked so far.
    pub(crate) tried: Vec<Arc<Server>>,
    /// Those of them that did not take the request.
    pub(crate) passed: Vec<Arc<Server>>,
    /// Pauses made so far because no server took the request.
    pub(crate) pauses: u32,
    /// When the servers that did not take it are tried again.
    pub retry_at: Option<Moment>,
    /// When it is looked whether the call of the request that goes first was answered.
    pub(crate) canary_at: Option<Moment>,
    /// Whether a call waits for a server; it counts as none until it is sent.
    pub(crate) is_waiting: bool,
    /// The place of a call that is called up.
    pub(crate) place: Option<QueueEntry>,
    /// When the newest call started.
    pub(crate) started: Moment,
    /// When the newest call counts as overdue, or a hedge is looked at again.
    pub hedge_at: Option<Moment>,
    /// The first call that went to another failure domain, until its silence is looked at.
    silence: Option<SilenceWatch>,
    /// Whether the newest call is known to be overdue.
    pub(crate) is_overdue: bool,
    /// Whether the newest call is one that another node makes.
    pub(crate) is_handed: bool,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// How the last call that failed did so, for the log.
    pub(crate) failure: &'static str,
    /// The servers that this node may use.
    pub(crate) rights: SendPermission<ServerId>,
    /// The server that both this node and one asked for the shard may use.
    pub(crate) kept: Option<ServerId>,
}

impl ServiceAttempts {
    /// No attempt yet.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            calls: Vec::new(),
            sent: 0,
            sent_elsewhere: 0,
            has_arrived: false,
            tried: Vec::new(),
            passed: Vec::new(),
            pauses: 0,
            retry_at: None,
            canary_at: None,
            is_waiting: false,
            place: None,
            started: Moment::default(),
            hedge_at: None,
            silence: None,
            is_overdue: false,
            is_handed: false,
            may_have_run: false,
            failure: "none",
            rights: SendPermission::Any,
            kept: None,
        }
    }

    /// Watches the silence of a call to another failure domain that starts now.
    pub(crate) fn watch_silence(&mut self, server: &Arc<Server>, now: Moment) {
        if server.distance != Distance::Domain && self.silence.is_none() {
            self.silence = Some(SilenceWatch { server: server.clone(), started: now });
        }
    }

    /// Tells the failure domain of a call that is still unanswered after so long.
    pub(crate) fn note_silence(&mut self, now: Moment) {
        let Some(watch) = self.silence.take_if(|watch| watch.ends_at() <= now) else { return };
        if self.calls.iter().any(|(called, _)| *called == watch.server.run()) {
            watch.server.note_domain_overdue(now, watch.started);
        }
    }

    /// Notes that a call to a server starts, which sets the mark once it is sent.
    pub fn note_start(&mut self, server: ServerRun) -> SentMark {
        let mark = SentMark::default();
        self.calls.push((server, mark.clone()));
        mark
    }

    /// Whether calls are in flight.
    pub fn is_calling(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Whether the request may have run, or may run by a call in flight.
    pub fn may_run(&self) -> bool {
        self.may_have_run || self.calls.iter().any(|(_, mark)| mark.is_set())
    }

    /// Notes that a server answered with a proof that it ran the request.
    pub fn note_answer(&mut self, server: &ServerRun) {
        self.calls.retain(|(called, _)| called != server);
        self.may_have_run = true;
    }

    /// Servers that may have run the request, and whether a call reached any.
    pub fn tally(&self) -> (u32, bool) {
        (self.sent + self.sent_elsewhere, self.has_arrived || self.is_calling())
    }

    /// Notes what another node did for the request, which sends it no more.
    pub fn note_elsewhere(&mut self, sent: u32, has_arrived: bool) {
        self.rights = SendPermission::Any;
        self.sent_elsewhere = sent;
        self.has_arrived |= has_arrived;
        self.may_have_run |= sent > 0;
    }

    /// Notes that a node fell silent that was asked for the request and may have sent it, or may
    /// still do so: this one has only the server kept.
    pub fn note_silent_node(&mut self) {
        self.rights = self.kept.clone().map_or(SendPermission::NoServer, SendPermission::Reserved);
        self.has_arrived = true;
        self.may_have_run = true;
    }

    /// Whether nothing was done for the shard yet, so that it may be lent to another node: this one
    /// uses no server but the one then kept.
    pub fn is_untouched(&self) -> bool {
        self.tried.is_empty() && !self.is_waiting && self.rights == SendPermission::Any && self.sent_elsewhere == 0
    }

    /// Whether the request may go to a server, where it may run on `most`.
    pub(crate) fn allow(&self, server: &Server, most: u32) -> bool {
        let is_passed = |tried: &Arc<Server>| self.passed.iter().any(|passed| Arc::ptr_eq(passed, tried));
        let used = self.tried.iter().filter(|tried| !is_passed(tried)).map(|server| &server.id);
        self.rights.allow(&server.id, used, most as usize)
    }

    /// Notes that another node makes a call to a server; after the patience it is overdue.
    pub(crate) fn note_handed(&mut self, server: Arc<Server>, now: Moment, patience: Duration) {
        self.sent += 1;
        self.has_arrived = true;
        self.tried.push(server);
        self.started = now;
        self.is_overdue = false;
        self.is_handed = true;
        self.hedge_at = Some(now.plus(patience));
    }

    /// Notes that a call that another node was to make gave no answer: it was not made, or
    /// nobody knows whether it ran.
    pub fn note_handed_end(&mut self, is_made: bool) {
        match is_made {
            true => self.may_have_run = true,
            false => self.sent = self.sent.saturating_sub(1),
        }
    }

    /// Notes how a call ended that gave no usable answer.
    pub fn note_failure(&mut self, server: Arc<Server>, failure: Option<CallFailure>) {
        self.calls.retain(|(called, _)| *called != server.run());
        self.failure = failure.map_or("bad_answer", CallFailure::name);
        match failure {
            Some(CallFailure::NotSent) => {
                self.sent = self.sent.saturating_sub(1);
                self.passed.push(server);
            }
            Some(CallFailure::NotRun) => {
                self.sent = self.sent.saturating_sub(1);
                self.has_arrived = true;
                self.passed.push(server);
            }
            Some(CallFailure::ConnectionLost | CallFailure::Unknown) | None => {
                self.has_arrived = true;
                self.may_have_run = true;
            }
        }
    }

    /// Notes that the calls in flight were cancelled and no other one follows.
    pub(crate) fn give_up(&mut self, may_have_run: bool) {
        self.may_have_run |= may_have_run;
        self.has_arrived |= self.is_calling();
        self.calls.clear();
        (self.retry_at, self.canary_at, self.hedge_at) = (None, None, None);
        self.is_waiting = false;
        self.place = None;
    }

    /// Whether an answer may still come.
    pub fn is_open(&self) -> bool {
        self.is_calling() || self.is_planned()
    }

    /// Whether a call is to be made after a pause, or once a server has room.
    fn is_planned(&self) -> bool {
        self.retry_at.is_some() || self.canary_at.is_some() || self.is_waiting
    }

    /// Whether an answer may still come, as far as is known: not where every server asked is in a
    /// failure domain that cannot be reached.
    pub fn is_expected(&self, now: Moment) -> bool {
        self.is_open() && (self.is_planned() || self.tried.iter().any(|server| !server.is_unreachable(now)))
    }

    /// When something is to be done for it.
    pub fn next_alarm(&self) -> Option<Moment> {
        let silence_at = self.silence.as_ref().map(SilenceWatch::ends_at);
        self.hedge_at.into_iter().chain(self.retry_at).chain(self.canary_at).chain(silence_at).min()
    }
}
