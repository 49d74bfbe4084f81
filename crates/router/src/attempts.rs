//! Tracks the attempts of one request at one service: which servers were called and whether the request may
//! have run.

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

/// Why no further server is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStop {
    /// The request may run at most once, and may have run already.
    AtMostOnce,
    /// The request has reached the limit of servers that it may be sent to.
    ServerBound,
    /// Every usable server was tried.
    NoneLeft,
    /// The budget of extra calls is exhausted.
    Budget,
    /// The request content crashes servers and is in quarantine.
    Quarantined,
    /// A call is queued until a server has a free slot.
    Queued,
    /// This node is stopping and would end before the call.
    NodeEnds,
    /// Another call of the request goes first as a canary, since the content may crash servers.
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
            Self::Queued => "waiting",
            Self::NodeEnds => "node_ends",
            Self::Canary => "canary",
        })
    }
}

/// A call to another failure domain. If it stays unanswered long enough, that counts against the reachability of the
/// whole domain.
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
    /// The service that is called.
    pub service: ServiceName,
    /// Calls in flight, with the server of each.
    calls: Vec<(ServerRun, SentMark)>,
    /// Number of servers that may have run the request through calls of this node or hedges it delegated.
    pub(crate) sent: u32,
    /// Number of servers that may have run it through calls of another node, as that node reported.
    pub(crate) sent_remotely: u32,
    /// Whether a call has reached a server, so that each further call counts as an extra one.
    pub(crate) has_reached_server: bool,
    /// Servers tried so far.
    pub(crate) tried: Vec<Arc<Server>>,
    /// The tried servers that did not accept the request.
    pub(crate) declined: Vec<Arc<Server>>,
    /// Number of backoff pauses so far because no server accepted the request.
    pub(crate) pauses: u32,
    /// When the servers that did not accept the request are retried.
    pub retry_at: Option<Moment>,
    /// When to check again whether the canary call of the request was answered.
    pub(crate) canary_check_at: Option<Moment>,
    /// Whether a call is queued for a server. It does not count as an attempt until it is sent.
    pub(crate) is_queued: bool,
    /// The queue entry of a call that was dequeued and is about to be sent.
    pub(crate) queue_entry: Option<QueueEntry>,
    /// When the latest call started.
    pub(crate) started: Moment,
    /// When the latest call becomes overdue, or when to check again for a free server to hedge to.
    pub hedge_at: Option<Moment>,
    /// The first call to another failure domain, until it has been checked for an answer.
    silence: Option<SilenceWatch>,
    /// Whether the latest call was found to be overdue.
    pub(crate) is_overdue: bool,
    /// Whether the latest call is a hedge made by another node.
    pub(crate) is_remote_hedge: bool,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// How the last failed call failed, for the log.
    pub(crate) failure: &'static str,
    /// Which servers this node may call.
    pub(crate) send_permission: SendPermission<ServerId>,
    /// The server reserved for this node, which it may still call itself after it has delegated the shard.
    pub(crate) reserved: Option<ServerId>,
}

impl ServiceAttempts {
    /// Starts with no attempts.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            calls: Vec::new(),
            sent: 0,
            sent_remotely: 0,
            has_reached_server: false,
            tried: Vec::new(),
            declined: Vec::new(),
            pauses: 0,
            retry_at: None,
            canary_check_at: None,
            is_queued: false,
            queue_entry: None,
            started: Moment::default(),
            hedge_at: None,
            silence: None,
            is_overdue: false,
            is_remote_hedge: false,
            may_have_run: false,
            failure: "none",
            send_permission: SendPermission::Any,
            reserved: None,
        }
    }

    /// Starts watching a call that starts now, if it goes to another failure domain and no call is watched yet.
    pub(crate) fn watch_silence(&mut self, server: &Arc<Server>, now: Moment) {
        if server.distance != Distance::Domain && self.silence.is_none() {
            self.silence = Some(SilenceWatch { server: server.clone(), started: now });
        }
    }

    /// Reports the watched call to its failure domain if it is still unanswered when its time is over.
    pub(crate) fn note_silence(&mut self, now: Moment) {
        let Some(watch) = self.silence.take_if(|watch| watch.ends_at() <= now) else { return };
        if self.calls.iter().any(|(called, _)| *called == watch.server.run()) {
            watch.server.note_domain_overdue(now, watch.started);
        }
    }

    /// Records that a call to a server starts. The call sets the returned mark before it is sent.
    pub fn note_start(&mut self, server: ServerRun) -> SentMark {
        let mark = SentMark::default();
        self.calls.push((server, mark.clone()));
        mark
    }

    /// Whether any call is in flight.
    pub fn is_calling(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Whether the request may have run, or may still run through a call in flight.
    pub fn may_run(&self) -> bool {
        self.may_have_run || self.calls.iter().any(|(_, mark)| mark.is_set())
    }

    /// Records that a server answered with proof that it ran the request.
    pub fn note_answer(&mut self, server: &ServerRun) {
        self.calls.retain(|(called, _)| called != server);
        self.may_have_run = true;
    }

    /// The number of servers that may have run the request, and whether a call has reached any server.
    pub fn attempt_counts(&self) -> (u32, bool) {
        (self.sent + self.sent_remotely, self.has_reached_server || self.is_calling())
    }

    /// Records the attempts that another node reported. That node sends the request no more.
    pub fn note_remote_attempts(&mut self, sent: u32, has_reached_server: bool) {
        self.send_permission = SendPermission::Any;
        self.sent_remotely = sent;
        self.has_reached_server |= has_reached_server;
        self.may_have_run |= sent > 0;
    }

    /// Records that the node to which the request was delegated has stopped responding. It may have sent the request
    /// or may still send it, so this node may call only the reserved server.
    pub fn note_unresponsive_node(&mut self) {
        self.send_permission = self.reserved.clone().map_or(SendPermission::NoServer, SendPermission::Reserved);
        self.has_reached_server = true;
        self.may_have_run = true;
    }

    /// Whether no attempt was made for the shard yet, so that it may be delegated to another node. After that, this
    /// node may call only the reserved server.
    pub fn is_unstarted(&self) -> bool {
        self.tried.is_empty()
            && !self.is_queued
            && self.send_permission == SendPermission::Any
            && self.sent_remotely == 0
    }

    /// Whether the request may be sent to a server, given that it may run on at most `max_servers` servers.
    pub(crate) fn allow(&self, server: &Server, max_servers: u32) -> bool {
        let has_declined = |tried: &Arc<Server>| self.declined.iter().any(|declined| Arc::ptr_eq(declined, tried));
        let used = self.tried.iter().filter(|tried| !has_declined(tried)).map(|server| &server.id);
        self.send_permission.allow(&server.id, used, max_servers as usize)
    }

    /// Records a hedge that another node makes to a server. It is overdue after `hedge_delay`.
    pub(crate) fn note_remote_hedge(&mut self, server: Arc<Server>, now: Moment, hedge_delay: Duration) {
        self.sent += 1;
        self.has_reached_server = true;
        self.tried.push(server);
        self.started = now;
        self.is_overdue = false;
        self.is_remote_hedge = true;
        self.hedge_at = Some(now.plus(hedge_delay));
    }

    /// Records that a hedge delegated to another node got no answer: either it was not made, or it is unknown
    /// whether it ran.
    pub fn note_remote_hedge_end(&mut self, is_made: bool) {
        match is_made {
            true => self.may_have_run = true,
            false => self.sent = self.sent.saturating_sub(1),
        }
    }

    /// Records a call that ended without a usable answer.
    pub fn note_failure(&mut self, server: Arc<Server>, failure: Option<CallFailure>) {
        self.calls.retain(|(called, _)| *called != server.run());
        self.failure = failure.map_or("bad_answer", CallFailure::name);
        match failure {
            Some(CallFailure::NotSent) => {
                self.sent = self.sent.saturating_sub(1);
                self.declined.push(server);
            }
            Some(CallFailure::NotRun) => {
                self.sent = self.sent.saturating_sub(1);
                self.has_reached_server = true;
                self.declined.push(server);
            }
            Some(CallFailure::ConnectionLost | CallFailure::Unknown) | None => {
                self.has_reached_server = true;
                self.may_have_run = true;
            }
        }
    }

    /// Records that the calls in flight were cancelled and that no further call follows.
    pub(crate) fn cancel(&mut self, may_have_run: bool) {
        self.may_have_run |= may_have_run;
        self.has_reached_server |= self.is_calling();
        self.calls.clear();
        (self.retry_at, self.canary_check_at, self.hedge_at) = (None, None, None);
        self.is_queued = false;
        self.queue_entry = None;
    }

    /// Whether an answer may still come.
    pub fn is_open(&self) -> bool {
        self.is_calling() || self.is_planned()
    }

    /// Whether a call is planned: after a pause, or once a server has a free slot.
    fn is_planned(&self) -> bool {
        self.retry_at.is_some() || self.canary_check_at.is_some() || self.is_queued
    }

    /// Whether an answer can still be expected: not if every server tried is in a failure domain that is unreachable
    /// and no further call is planned.
    pub fn is_expected(&self, now: Moment) -> bool {
        self.is_open() && (self.is_planned() || self.tried.iter().any(|server| !server.is_unreachable(now)))
    }

    /// When the next timer of these attempts is due.
    pub fn next_timer(&self) -> Option<Moment> {
        let silence_at = self.silence.as_ref().map(SilenceWatch::ends_at);
        self.hedge_at.into_iter().chain(self.retry_at).chain(self.canary_check_at).chain(silence_at).min()
    }
}
