//! The promises that a soak checks, from what callers got and what servers saw.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use streamfold_standin::names;
use streamfold_standin::server::{ReadRequest, make_records};

use crate::client::{CallAnswer, CallError};
use crate::soak_fleet::{MIN_COVERAGE, SHARDS, SoakFleet, TOP, WithdrawnEntry, color_name, color_of, lock};

/// How long after a newer document requests may still go by the older one.
const APPLY_BOUND: Duration = Duration::from_secs(5);
/// How long after its entry said so a leaving server may still get requests.
const LEAVE_BOUND: Duration = Duration::from_secs(4);
/// How long after its deadline a request may be answered.
const LATE_BOUND: Duration = Duration::from_secs(1);

/// A promise of the pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request that must not repeat ran twice.
    RanTwice,
    /// A request was told as not run and ran.
    RanThoughRefused,
    /// A success is not the whole answer of a server to this very request.
    NotOwn,
    /// A server ran a request that is not the one sent.
    Changed,
    /// A folded answer is not what its proofs stand for.
    BadFold,
    /// A request went by routes that were long replaced.
    OldRoutes,
    /// A node's run went back to older routes.
    WentBack,
    /// A server that had left got a request.
    LeftServer,
    /// A request that was read got no answer from a process that was not killed.
    Cut,
    /// A planned stop took too long or failed.
    BadStop,
    /// A request was not answered in time.
    Late,
    /// After all faults requests still failed.
    NotBack,
    /// A process ended that nobody had asked to.
    Ended,
    /// A task of a node panicked.
    Panicked,
}

/// A promise that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The promise.
    pub promise: ViolationKind,
    /// The request, or the node.
    pub request: String,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.promise, self.request, self.seen)
    }
}

/// What a disturbance concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The way to the store or what is in it.
    Store,
    /// The process is paused.
    Paused,
    /// The process was killed, or is not ready yet.
    Down,
    /// The process was asked to stop.
    Stopping,
}

#[derive(Debug, Clone, Copy)]
struct Span {
    kind: DisturbanceKind,
    node: Option<usize>,
    from: Instant,
    until: Option<Instant>,
}

impl Span {
    fn concerns(&self, node: Option<usize>) -> bool {
        self.node.is_none() || node.is_none() || self.node == node
    }

    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// When what was disturbed.
#[derive(Default)]
pub struct DisturbanceLog(Mutex<Vec<Span>>);

impl DisturbanceLog {
    /// Begins a span; its number ends it.
    pub fn begin(&self, kind: DisturbanceKind, node: Option<usize>) -> usize {
        self.begin_at(kind, node, Instant::now())
    }

    /// Begins a span that was noticed late.
    pub fn begin_at(&self, kind: DisturbanceKind, node: Option<usize>, from: Instant) -> usize {
        let mut spans = lock(&self.0);
        spans.push(Span { kind, node, from, until: None });
        spans.len() - 1
    }

    /// Ends a span.
    pub fn end(&self, number: usize) {
        lock(&self.0)[number].until = Some(Instant::now());
    }

    /// Whether a node was disturbed in some of these ways in a time.
    fn has(&self, node: usize, kinds: &[DisturbanceKind], from: Instant, until: Instant) -> bool {
        let spans = lock(&self.0);
        spans.iter().any(|span| span.concerns(Some(node)) && kinds.contains(&span.kind) && span.overlaps(from, until))
    }

    /// Whether anything is disturbed in a way just now.
    pub fn is_on(&self, kind: DisturbanceKind) -> bool {
        let now = Instant::now();
        lock(&self.0).iter().any(|span| span.kind == kind && span.overlaps(now, now))
    }

    /// Whether a node's process was asked to end, or did.
    pub fn is_leaving(&self, node: usize) -> bool {
        let now = Instant::now();
        self.has(node, &[DisturbanceKind::Stopping, DisturbanceKind::Down], now, now)
    }

    /// Since when a node, or every one, should have known at a moment what was changed at
    /// another; `None` where it was disturbed just then. Without its store or its process it
    /// begins anew; a pause costs its length.
    fn known_since(&self, node: Option<usize>, change: Instant, at: Instant) -> Option<Instant> {
        let spans = lock(&self.0);
        let concerned = spans.iter().filter(|span| span.concerns(node) && span.overlaps(change, at));
        let (mut since, mut pauses) = (change, Vec::new());
        for span in concerned {
            match (span.kind, span.until.filter(|until| *until < at)) {
                (DisturbanceKind::Stopping, _) => {}
                (_, None) => return None,
                (DisturbanceKind::Paused, Some(until)) => pauses.push((span.from, until)),
                (DisturbanceKind::Store | DisturbanceKind::Down, Some(until)) => since = since.max(until),
            }
        }
        let lost = pauses.iter().map(|(from, until)| until.saturating_duration_since(since.max(*from)));
        Some(since + lost.sum::<Duration>())
    }
}

/// A version of the operator's document.
#[derive(Debug, Clone, Copy)]
pub struct WrittenVersion {
    /// Its number.
    pub version: u64,
    /// When it was in the store.
    pub at: Instant,
}

/// The routes of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRoute {
    /// Repeatable.
    Any,
    /// Not repeatable.
    Once,
    /// Over all shards.
    All,
}

impl SoakRoute {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Any, Self::Once, Self::All];

    /// Its name, also in its path.
    pub fn name(self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Once => "once",
            Self::All => "all",
        }
    }
}

/// A request as its caller saw it.
pub struct ObservedRequest {
    /// Its id, which is its body too.
    pub id: String,
    /// Its route.
    pub route: SoakRoute,
    /// The node that was asked.
    pub node: usize,
    /// Its run, if it was the same at the end.
    pub run: Option<u64>,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How long its caller waits, as told.
    pub deadline: Duration,
    /// How it ended.
    pub result: Result<CallAnswer, CallError>,
}

impl ObservedRequest {
    /// Its route and status or error, for counts.
    pub fn outcome(&self) -> String {
        let end = match &self.result {
            Ok(answer) => answer.status.as_u16().to_string(),
            Err(CallError::TimedOut) => "timed-out".to_owned(),
            Err(_) => "no-answer".to_owned(),
        };
        format!("{}/{end}", self.route.name())
    }

    fn status(&self) -> u16 {
        self.result.as_ref().map_or(0, |answer| answer.status.as_u16())
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.result.as_ref().ok()?.headers.get(name)?.to_str().ok()
    }
}

/// A request at a server.
struct ServerObservation {
    server: usize,
    request: ReadRequest,
    proof: String,
}

type ObservationsById = HashMap<String, Vec<ServerObservation>>;

/// One look at everything that callers and servers saw so far.
pub struct SoakAudit<'a> {
    fleet: &'a SoakFleet,
    seen: &'a [Arc<ObservedRequest>],
    runs: ObservationsById,
    calls: ObservationsById,
}

impl<'a> SoakAudit<'a> {
    /// Gathers what servers saw, after what callers saw.
    pub fn new(fleet: &'a SoakFleet, seen: &'a [Arc<ObservedRequest>]) -> Self {
        let (mut runs, mut calls) = (ObservationsById::new(), ObservationsById::new());
        for (server, known) in fleet.servers.iter().enumerate() {
            for run in known.server.state.runs() {
                let sight = ServerObservation { server, request: run.request, proof: run.proof };
                runs.entry(sight.request.id().to_owned()).or_default().push(sight);
            }
            for request in known.server.state.calls() {
                let sight = ServerObservation { server, request, proof: String::new() };
                calls.entry(sight.request.id().to_owned()).or_default().push(sight);
            }
        }
        Self { fleet, seen, runs, calls }
    }

    /// Requests that had to go by the newest routes, and those that had to spare a server that
    /// had left: what these two checks rest on.
    pub fn count_ripe(&self) -> (usize, usize) {
        let spans = &self.fleet.spans;
        let (versions, gone) = (self.fleet.versions(), self.fleet.gone());
        let is_ripe = |request: &ObservedRequest, change: Instant, bound: Duration| {
            let node = (request.route != SoakRoute::All).then_some(request.node);
            let since = spans.known_since(node, change, request.sent);
            change < request.sent && since.is_some_and(|since| request.sent > since + bound)
        };
        let routed = self.seen.iter().filter(|request| {
            if request.route == SoakRoute::All {
                return false;
            }
            let newest = versions.iter().rfind(|written| written.version > 1 && written.at < request.sent);
            newest.is_some_and(|newest| is_ripe(request, newest.at, APPLY_BOUND))
        });
        let spared = self.seen.iter().filter(|request| {
            let asks = |gone: &WithdrawnEntry| {
                let begins = |call: &ServerObservation| gone.id.starts_with(&format!("{}-i", self.service(call)));
                self.calls(&request.id).iter().any(begins)
            };
            let away = gone.iter().filter(|gone| gone.until.is_none_or(|until| request.sent < until));
            let mut left = away.filter(|gone| asks(gone));
            left.any(|gone| is_ripe(request, gone.from, LEAVE_BOUND))
        });
        (routed.count(), spared.count())
    }

    /// Checks every promise; each one broken is noted.
    pub fn check(&self) {
        for request in self.seen {
            self.check_runs(request);
            self.check_end(request);
            self.check_left(request);
            match request.route {
                SoakRoute::All => self.check_fold(request),
                SoakRoute::Any | SoakRoute::Once => self.check_answer(request),
            }
        }
        self.check_routes();
    }

    fn runs(&self, id: &str) -> &[ServerObservation] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    fn calls(&self, id: &str) -> &[ServerObservation] {
        self.calls.get(id).map_or(&[], Vec::as_slice)
    }

    fn note(&self, promise: ViolationKind, request: &ObservedRequest, seen: &str) {
        let node = &self.fleet.nodes[request.node].name;
        let (sent, ended) = (self.fleet.seconds(request.sent), self.fleet.seconds(request.ended));
        let outcome = request.outcome();
        let text = format!("{seen}; {outcome} through {node}, sent {sent:.3} s, ended {ended:.3} s");
        self.fleet.note(promise, &request.id, text);
    }

    fn check_runs(&self, request: &ObservedRequest) {
        let runs = self.runs(&request.id);
        if request.route == SoakRoute::Once {
            let proofs: Vec<&str> = runs.iter().map(|run| run.proof.as_str()).collect();
            if runs.len() > 1 {
                self.note(ViolationKind::RanTwice, request, &format!("{proofs:?}"));
            }
            if matches!(request.status(), 429 | 503) && !runs.is_empty() {
                self.note(ViolationKind::RanThoughRefused, request, &format!("{proofs:?}"));
            }
        }
        let path = format!("/{}/x", request.route.name());
        for run in runs.iter().filter(|run| run.request.body != request.id || run.request.path != path) {
            self.note(ViolationKind::Changed, request, &format!("{:?}", run.request));
        }
    }

    fn check_answer(&self, request: &ObservedRequest) {
        let Ok(answer) = &request.result else { return };
        let proof = request.header(names::PROOF);
        if !answer.status.is_success() && proof.is_none() {
            return;
        }
        let run = self.runs(&request.id).iter().find(|run| Some(run.proof.as_str()) == proof);
        let is_whole = run.is_some_and(|run| answer.body == self.fleet.servers[run.server].server.state.body());
        if !is_whole || request.header(names::REQUEST_ID) != Some(&request.id) {
            let seen = format!("proof {proof:?}, ran {}, whole {is_whole}, {:?}", run.is_some(), answer.headers);
            self.note(ViolationKind::NotOwn, request, &seen);
        }
    }

    fn check_fold(&self, request: &ObservedRequest) {
        let Some(answer) = request.result.as_ref().ok().filter(|answer| answer.status.is_success()) else { return };
        let values = answer.headers.get_all(names::FOLDED_PROOFS).iter().filter_map(|value| value.to_str().ok());
        let proofs: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
        let runs = self.runs(&request.id);
        let find = |proof: &&str| runs.iter().find(|run| run.proof == **proof).map(|run| self.service(run));
        let shards: BTreeSet<&str> = proofs.iter().filter_map(find).collect();
        let missing: Option<usize> = request.header(names::MISSING_SHARDS).and_then(|count| count.parse().ok());
        let is_right = shards.len() == proofs.len()
            && missing == Some(SHARDS.len() - shards.len())
            && shards.len() as f64 >= MIN_COVERAGE * SHARDS.len() as f64
            && answer.body == fold(&shards);
        if !is_right {
            let seen =
                format!("proofs {proofs:?}, shards {shards:?}, missing {missing:?}, {} bytes", answer.body.len());
            self.note(ViolationKind::BadFold, request, &seen);
        }
    }

    fn service(&self, sight: &ServerObservation) -> &str {
        &self.fleet.servers[sight.server].server.state.plan.service
    }

    fn check_end(&self, request: &ObservedRequest) {
        let (sent, ended) = (request.sent, request.ended);
        let has = |kinds: &[DisturbanceKind]| self.fleet.spans.has(request.node, kinds, sent, ended);
        let took = ended - sent;
        if took > request.deadline + LATE_BOUND && !has(&[DisturbanceKind::Paused, DisturbanceKind::Down]) {
            self.note(ViolationKind::Late, request, &format!("{took:?} with a deadline of {:?}", request.deadline));
        }
        if let Err(CallError::Exchange(error)) = &request.result {
            // A node that stops may close a kept connection before it has read a request on it.
            let was_read = !self.calls(&request.id).is_empty() || !has(&[DisturbanceKind::Stopping]);
            if was_read && !has(&[DisturbanceKind::Down]) {
                let calls = self.calls(&request.id).len();
                self.note(ViolationKind::Cut, request, &format!("{error}, {calls} calls at servers"));
            }
        }
    }

    /// Entries that are gone, and the calls that their servers got all the same. What is left
    /// of the deadline tells when a node sent the call, however long it was under way.
    fn check_left(&self, request: &ObservedRequest) {
        let gone = self.fleet.gone();
        for call in self.calls(&request.id) {
            let Some(target) = call.request.header(names::TARGET_SERVER) else { continue };
            let left = Duration::from_secs_f64(call.request.deadline_ms().unwrap_or_default().max(0.0) / 1000.0);
            let at = request.sent + request.deadline.saturating_sub(left);
            let senders = (request.route != SoakRoute::All).then_some(request.node);
            for entry in gone.iter().filter(|gone| gone.id == target) {
                let since = self.fleet.spans.known_since(senders, entry.from, at);
                let is_late = since.is_some_and(|since| at > since + LEAVE_BOUND);
                if is_late && entry.until.is_none_or(|until| at < until) {
                    let seen = format!("{target} gone at {:.3} s", self.fleet.seconds(entry.from));
                    let sent = format!("{seen}, called at {:.3} s", self.fleet.seconds(at));
                    self.note(ViolationKind::LeftServer, request, &sent);
                }
            }
        }
    }

    fn check_routes(&self) {
        let versions = self.fleet.versions();
        let mut in_order: Vec<&ObservedRequest> =
            self.seen.iter().map(AsRef::as_ref).filter(|seen| seen.route != SoakRoute::All).collect();
        in_order.sort_by_key(|request| request.ended);
        for request in &in_order {
            if let Some(call) = self.calls(&request.id).first() {
                self.check_age(request, self.service(call), &versions);
            }
        }
        let mut by_run: HashMap<(usize, u64), Vec<&ObservedRequest>> = HashMap::new();
        for request in in_order {
            if let Some(run) = request.run {
                by_run.entry((request.node, run)).or_default().push(request);
            }
        }
        by_run.values().for_each(|requests| self.check_order(requests, &versions));
    }

    /// Whether a request went by routes that had long been replaced.
    fn check_age(&self, request: &ObservedRequest, service: &str, versions: &[WrittenVersion]) {
        let is_used = |written: &WrittenVersion| color_name(color_of(written.version)) == service;
        let known: Vec<_> = versions.iter().filter(|written| written.at <= request.ended).collect();
        let Some(position) = known.iter().rposition(|written| is_used(written)) else {
            // Written at the end of the request or not at all.
            return;
        };
        let Some(newer) = known.get(position + 1) else { return };
        let since = self.fleet.spans.known_since(Some(request.node), newer.at, request.sent);
        if since.is_some_and(|since| request.sent > since + APPLY_BOUND) {
            let written = self.fleet.seconds(newer.at);
            let seen = format!("went to {service}, version {} is there since {written:.3} s", newer.version);
            self.note(ViolationKind::OldRoutes, request, &seen);
        }
    }

    /// Whether requests of one run, in the order of their ends, went back to older routes.
    fn check_order(&self, requests: &[&ObservedRequest], versions: &[WrittenVersion]) {
        // The least version that each request proves for those sent after its end.
        let mut floors: Vec<(Instant, u64)> = Vec::new();
        for request in requests {
            let Some(call) = self.calls(&request.id).first() else { continue };
            let service = self.service(call);
            let before = floors.iter().rev().find(|(ended, _)| *ended < request.sent).map_or(0, |(_, floor)| *floor);
            let uses = |written: &&WrittenVersion| color_name(color_of(written.version)) == service;
            let known = versions.iter().filter(uses).filter(|written| written.at <= request.ended);
            let newest = known.clone().map(|written| written.version).max();
            match known.map(|written| written.version).find(|version| *version >= before) {
                Some(version) => {
                    let floor = floors.last().map_or(version, |(_, floor)| version.max(*floor));
                    floors.push((request.ended, floor));
                }
                None => {
                    let seen = format!("went to {service}, newest version {newest:?}, after version {before}");
                    self.note(ViolationKind::WentBack, request, &seen);
                }
            }
        }
    }
}

/// The greatest records of some shards, greatest first.
fn fold(shards: &BTreeSet<&str>) -> Bytes {
    let mut records: Vec<_> = shards.iter().flat_map(|seed| make_records(seed, 8)).collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    Bytes::from(records.concat())
}
