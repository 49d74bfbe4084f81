//! Checks the guarantees of the routers in a soak by comparing the answers that callers got with
//! the requests that servers received.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use streamfold_standin::names;
use streamfold_standin::server::{ReceivedRequest, make_records};

use crate::client::{CallAnswer, CallError};
use crate::soak_fleet::{MIN_COVERAGE, SHARDS, SoakFleet, TOP, WithdrawnEntry, color_name, color_of, lock};

/// How long after the write of a newer document requests may still use the older one.
const MAX_APPLY_DELAY: Duration = Duration::from_secs(5);
/// How long after its entry was withdrawn a server may still receive requests.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(4);
/// How long after its deadline a request may still be answered.
const MAX_LATENESS: Duration = Duration::from_secs(1);

/// Texts that mark a request in a node's log whose connection was gone before the answer.
const UNANSWERED_REQUEST: [&str; 2] = [" event=request ", " outcome=caller_left "];
/// Text before the id of a request in a line of a node's log.
const REQUEST_FIELD: &str = " request=";

/// Kind of a violation, named after the documented guarantee that it breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request that must not be repeated ran twice.
    RanTwice,
    /// A request was reported as not executed, but ran.
    RanThoughRefused,
    /// A successful answer is not the complete answer of a server to this request.
    NotOwn,
    /// A server ran a request that differs from the one sent.
    Changed,
    /// A gathered answer does not match the shard answers whose proofs it names.
    BadFold,
    /// A request used routes that had been replaced too long before.
    OldRoutes,
    /// A node's run went back to older routes after it had used newer ones.
    WentBack,
    /// A server received a request although its entry had been withdrawn.
    LeftServer,
    /// A request got no answer although the node had read it and was not killed.
    Cut,
    /// A planned stop took too long or ended with an error.
    BadStop,
    /// A request was not answered within its deadline and tolerance.
    Late,
    /// Requests still failed, or a node was not ready, after the faults had ended.
    NotBack,
    /// A process exited without having been asked to.
    Ended,
    /// A task of a node panicked.
    Panicked,
}

/// A violation of a guarantee.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Kind of the violation.
    pub kind: ViolationKind,
    /// The affected request or node.
    pub request: String,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.kind, self.request, self.detail)
    }
}

/// Kind of a disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The network path to the store or the content of the store is disturbed.
    Store,
    /// The process is paused.
    Paused,
    /// The process has been stopped or killed and is not ready again yet.
    Down,
    /// The process has been asked to stop.
    Stopping,
}

#[derive(Debug, Clone, Copy)]
struct Disturbance {
    kind: DisturbanceKind,
    node: Option<usize>,
    from: Instant,
    until: Option<Instant>,
}

impl Disturbance {
    fn affects(&self, node: Option<usize>) -> bool {
        self.node.is_none() || node.is_none() || self.node == node
    }

    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Log of disturbances with their start and end times.
#[derive(Default)]
pub struct DisturbanceLog(Mutex<Vec<Disturbance>>);

impl DisturbanceLog {
    /// Starts a disturbance now; returns the number with which it is ended.
    pub fn start(&self, kind: DisturbanceKind, node: Option<usize>) -> usize {
        self.start_at(kind, node, Instant::now())
    }

    /// Starts a disturbance that began at an earlier time.
    pub fn start_at(&self, kind: DisturbanceKind, node: Option<usize>, from: Instant) -> usize {
        let mut disturbances = lock(&self.0);
        disturbances.push(Disturbance { kind, node, from, until: None });
        disturbances.len() - 1
    }

    /// Ends a disturbance.
    pub fn end(&self, number: usize) {
        lock(&self.0)[number].until = Some(Instant::now());
    }

    /// Whether a node was under a disturbance of one of these kinds in the given period.
    fn has(&self, node: usize, kinds: &[DisturbanceKind], from: Instant, until: Instant) -> bool {
        let disturbances = lock(&self.0);
        disturbances.iter().any(|disturbance| {
            disturbance.affects(Some(node)) && kinds.contains(&disturbance.kind) && disturbance.overlaps(from, until)
        })
    }

    /// For how much of the given period a node was under disturbances of these kinds. Time under several of them counts
    /// once.
    pub fn disturbed_for(&self, node: usize, kinds: &[DisturbanceKind], from: Instant, until: Instant) -> Duration {
        let disturbances = lock(&self.0);
        let relevant = disturbances.iter().filter(|disturbance| {
            disturbance.affects(Some(node)) && kinds.contains(&disturbance.kind) && disturbance.overlaps(from, until)
        });
        let clip = |disturbance: &Disturbance| {
            (disturbance.from.max(from), disturbance.until.map_or(until, |end| end.min(until)))
        };
        let mut periods: Vec<(Instant, Instant)> = relevant.map(clip).collect();
        periods.sort();
        let (mut total, mut counted_until) = (Duration::ZERO, from);
        for (start, end) in periods {
            total += end.saturating_duration_since(start.max(counted_until));
            counted_until = counted_until.max(end);
        }
        total
    }

    /// Whether a disturbance of this kind is active now, for any node.
    pub fn is_active(&self, kind: DisturbanceKind) -> bool {
        let now = Instant::now();
        lock(&self.0).iter().any(|disturbance| disturbance.kind == kind && disturbance.overlaps(now, now))
    }

    /// Whether a node's process is stopping or down.
    pub fn is_leaving(&self, node: usize) -> bool {
        let now = Instant::now();
        self.has(node, &[DisturbanceKind::Stopping, DisturbanceKind::Down], now, now)
    }

    /// Time from which the delay counts within which a node, or every node, must learn of a change
    /// made at `change`, as seen at the time `at`; `None` if a disturbance is active at `at`. A
    /// disturbance of the store or the process restarts the delay at its end; a pause extends it
    /// by its length.
    fn must_know_since(&self, node: Option<usize>, change: Instant, at: Instant) -> Option<Instant> {
        let disturbances = lock(&self.0);
        let relevant =
            disturbances.iter().filter(|disturbance| disturbance.affects(node) && disturbance.overlaps(change, at));
        let (mut since, mut pauses) = (change, Vec::new());
        for disturbance in relevant {
            match (disturbance.kind, disturbance.until.filter(|until| *until < at)) {
                (DisturbanceKind::Stopping, _) => {}
                (_, None) => return None,
                (DisturbanceKind::Paused, Some(until)) => pauses.push((disturbance.from, until)),
                (DisturbanceKind::Store | DisturbanceKind::Down, Some(until)) => since = since.max(until),
            }
        }
        let paused = pauses.iter().map(|(from, until)| until.saturating_duration_since(since.max(*from)));
        Some(since + paused.sum::<Duration>())
    }
}

/// A version of the operator's document and when it was written.
#[derive(Debug, Clone, Copy)]
pub struct WrittenVersion {
    /// Number of the version.
    pub version: u64,
    /// When it was written to the store.
    pub at: Instant,
}

/// Routes of a soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakRoute {
    /// To one service; requests may be repeated.
    Any,
    /// To one service; requests must not be repeated.
    Once,
    /// Gathers the answers of all shards.
    All,
}

impl SoakRoute {
    /// All routes.
    pub const ALL: [Self; 3] = [Self::Any, Self::Once, Self::All];

    /// Name of the route and first segment of its path.
    pub fn name(self) -> &'static str {
        match self {
            Self::Any => "any",
            Self::Once => "once",
            Self::All => "all",
        }
    }
}

/// A request and its result as the caller observed them.
pub struct ObservedRequest {
    /// Request id, which is also the body.
    pub id: String,
    /// Requested route.
    pub route: SoakRoute,
    /// Index of the node to which it was sent.
    pub node: usize,
    /// Run of that node, if it was the same when the request was sent and when it ended.
    pub run: Option<u64>,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// Deadline sent with the request, measured from `sent`.
    pub deadline: Duration,
    /// Answer or error.
    pub result: Result<CallAnswer, CallError>,
}

impl ObservedRequest {
    /// Route and status or error, as the key for counts.
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

/// A request as a server observed it.
struct ServerObservation {
    server: usize,
    request: ReceivedRequest,
    proof: String,
}

type ObservationsById = HashMap<String, Vec<ServerObservation>>;

/// Snapshot of everything that callers and servers have observed so far.
pub struct SoakAudit<'a> {
    fleet: &'a SoakFleet,
    requests: &'a [Arc<ObservedRequest>],
    runs: ObservationsById,
    calls: ObservationsById,
}

impl<'a> SoakAudit<'a> {
    /// Collects the servers' observations. The callers' requests must have been copied before, so that
    /// the servers' observations include them.
    pub fn new(fleet: &'a SoakFleet, requests: &'a [Arc<ObservedRequest>]) -> Self {
        let (mut runs, mut calls) = (ObservationsById::new(), ObservationsById::new());
        for (server, soak_server) in fleet.servers.iter().enumerate() {
            for run in soak_server.server.state.runs() {
                let observation = ServerObservation { server, request: run.request, proof: run.proof };
                runs.entry(observation.request.id().to_owned()).or_default().push(observation);
            }
            for request in soak_server.server.state.calls() {
                let observation = ServerObservation { server, request, proof: String::new() };
                calls.entry(observation.request.id().to_owned()).or_default().push(observation);
            }
        }
        Self { fleet, requests, runs, calls }
    }

    /// Counts the requests for which the newest routes were binding, and those that had to skip a
    /// withdrawn server: the sample sizes of these two checks.
    pub fn count_binding(&self) -> (usize, usize) {
        let disturbances = &self.fleet.disturbances;
        let (versions, withdrawn) = (self.fleet.versions(), self.fleet.withdrawn());
        let is_binding = |request: &ObservedRequest, change: Instant, bound: Duration| {
            let node = (request.route != SoakRoute::All).then_some(request.node);
            let since = disturbances.must_know_since(node, change, request.sent);
            change < request.sent && since.is_some_and(|since| request.sent > since + bound)
        };
        let routed = self.requests.iter().filter(|request| {
            if request.route == SoakRoute::All {
                return false;
            }
            let newest = versions.iter().rfind(|written| written.version > 1 && written.at < request.sent);
            newest.is_some_and(|newest| is_binding(request, newest.at, MAX_APPLY_DELAY))
        });
        let skipped = self.requests.iter().filter(|request| {
            let is_called_service = |entry: &WithdrawnEntry| {
                let is_server_of_service =
                    |call: &ServerObservation| entry.id.starts_with(&format!("{}-i", self.service(call)));
                self.calls(&request.id).iter().any(is_server_of_service)
            };
            let active = withdrawn.iter().filter(|entry| entry.until.is_none_or(|until| request.sent < until));
            let mut matching = active.filter(|entry| is_called_service(entry));
            matching.any(|entry| is_binding(request, entry.from, MAX_WITHDRAWAL_DELAY))
        });
        (routed.count(), skipped.count())
    }

    /// Checks every guarantee and records each violation.
    pub fn check(&self) {
        for request in self.requests {
            self.check_runs(request);
            self.check_outcome(request);
            self.check_withdrawn(request);
            match request.route {
                SoakRoute::All => self.check_gathered(request),
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

    fn note(&self, kind: ViolationKind, request: &ObservedRequest, detail: &str) {
        let node = &self.fleet.nodes[request.node].name;
        let (sent, ended) = (self.fleet.seconds(request.sent), self.fleet.seconds(request.ended));
        let outcome = request.outcome();
        let text = format!("{detail}; {outcome} through {node}, sent {sent:.3} s, ended {ended:.3} s");
        self.fleet.note_violation(kind, &request.id, text);
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
        let is_complete = run.is_some_and(|run| answer.body == self.fleet.servers[run.server].server.state.body());
        if !is_complete || request.header(names::REQUEST_ID) != Some(&request.id) {
            let detail =
                format!("proof {proof:?}, ran {}, complete {is_complete}, {:?}", run.is_some(), answer.headers);
            self.note(ViolationKind::NotOwn, request, &detail);
        }
    }

    fn check_gathered(&self, request: &ObservedRequest) {
        let Some(answer) = request.result.as_ref().ok().filter(|answer| answer.status.is_success()) else { return };
        let values = answer.headers.get_all(names::GATHERED_PROOFS).iter().filter_map(|value| value.to_str().ok());
        let proofs: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
        let runs = self.runs(&request.id);
        let find = |proof: &&str| runs.iter().find(|run| run.proof == **proof).map(|run| self.service(run));
        let shards: BTreeSet<&str> = proofs.iter().filter_map(find).collect();
        let missing: Option<usize> = request.header(names::MISSING_SHARDS).and_then(|count| count.parse().ok());
        let is_correct = shards.len() == proofs.len()
            && missing == Some(SHARDS.len() - shards.len())
            && shards.len() as f64 >= MIN_COVERAGE * SHARDS.len() as f64
            && answer.body == merge_records(&shards);
        if !is_correct {
            let detail =
                format!("proofs {proofs:?}, shards {shards:?}, missing {missing:?}, {} bytes", answer.body.len());
            self.note(ViolationKind::BadFold, request, &detail);
        }
    }

    fn service(&self, observation: &ServerObservation) -> &str {
        &self.fleet.servers[observation.server].server.state.plan.service
    }

    fn check_outcome(&self, request: &ObservedRequest) {
        let (sent, ended) = (request.sent, request.ended);
        let has = |kinds: &[DisturbanceKind]| self.fleet.disturbances.has(request.node, kinds, sent, ended);
        if self.is_late(request) {
            let (duration, deadline, halted) = (ended - sent, request.deadline, self.halted_for(request));
            let detail = format!("{duration:?} with a deadline of {deadline:?}, the node halted for {halted:?}");
            self.note(ViolationKind::Late, request, &detail);
        }
        if let Err(CallError::Exchange(error)) = &request.result {
            // A stopping node may close a keep-alive connection before it has read a request on it.
            let was_received = !self.calls(&request.id).is_empty() || !has(&[DisturbanceKind::Stopping]);
            if was_received && !has(&[DisturbanceKind::Down]) {
                let calls = self.calls(&request.id).len();
                self.note(ViolationKind::Cut, request, &format!("{error}, {calls} calls at servers"));
            }
        }
    }

    /// For how long the node of a request did not run while the request was pending.
    fn halted_for(&self, request: &ObservedRequest) -> Duration {
        let kinds = [DisturbanceKind::Paused, DisturbanceKind::Down];
        self.fleet.disturbances.disturbed_for(request.node, &kinds, request.sent, request.ended)
    }

    /// Whether a request ended too late. A node that is halted answers later by that time, and by no more.
    fn is_late(&self, request: &ObservedRequest) -> bool {
        request.ended - request.sent > request.deadline + self.halted_for(request) + MAX_LATENESS
    }

    /// Checks the nodes' logs for requests that they dropped unanswered, which a caller that gives up by itself does not
    /// see. It may give up only on a node that was halted for long enough.
    pub fn check_logs(&self) {
        for node in &self.fleet.nodes {
            for line in node.logged(&UNANSWERED_REQUEST) {
                let id = line.split_once(REQUEST_FIELD).and_then(|(_, rest)| rest.split_whitespace().next());
                let id = id.unwrap_or("unknown");
                let has_given_up = |request: &&Arc<ObservedRequest>| matches!(request.result, Err(CallError::TimedOut));
                let given_up = self.requests.iter().filter(has_given_up).find(|request| request.id == id);
                if given_up.is_none_or(|request| self.is_late(request)) {
                    self.fleet.note_violation(ViolationKind::Cut, id, format!("{}: {line}", node.name));
                }
            }
        }
    }

    /// Checks that no server received a call after its entry had been withdrawn. The time when the node
    /// sent the call follows from the remaining deadline, however long the call was on its way.
    fn check_withdrawn(&self, request: &ObservedRequest) {
        let withdrawn = self.fleet.withdrawn();
        for call in self.calls(&request.id) {
            let Some(target) = call.request.header(names::TARGET_SERVER) else { continue };
            let remaining = Duration::from_secs_f64(call.request.deadline_ms().unwrap_or_default().max(0.0) / 1000.0);
            let at = request.sent + request.deadline.saturating_sub(remaining);
            let node = (request.route != SoakRoute::All).then_some(request.node);
            for entry in withdrawn.iter().filter(|entry| entry.id == target) {
                let since = self.fleet.disturbances.must_know_since(node, entry.from, at);
                let is_late = since.is_some_and(|since| at > since + MAX_WITHDRAWAL_DELAY);
                if is_late && entry.until.is_none_or(|until| at < until) {
                    let withdrawal = format!("{target} withdrawn at {:.3} s", self.fleet.seconds(entry.from));
                    let detail = format!("{withdrawal}, called at {:.3} s", self.fleet.seconds(at));
                    self.note(ViolationKind::LeftServer, request, &detail);
                }
            }
        }
    }

    fn check_routes(&self) {
        let versions = self.fleet.versions();
        let mut by_end: Vec<&ObservedRequest> =
            self.requests.iter().map(AsRef::as_ref).filter(|request| request.route != SoakRoute::All).collect();
        by_end.sort_by_key(|request| request.ended);
        for request in &by_end {
            if let Some(call) = self.calls(&request.id).first() {
                self.check_age(request, self.service(call), &versions);
            }
        }
        let mut by_run: HashMap<(usize, u64), Vec<&ObservedRequest>> = HashMap::new();
        for request in by_end {
            if let Some(run) = request.run {
                by_run.entry((request.node, run)).or_default().push(request);
            }
        }
        by_run.values().for_each(|requests| self.check_order(requests, &versions));
    }

    /// Checks that a request did not use routes that had been replaced too long before.
    fn check_age(&self, request: &ObservedRequest, service: &str, versions: &[WrittenVersion]) {
        let has_service = |written: &WrittenVersion| color_name(color_of(written.version)) == service;
        let known: Vec<_> = versions.iter().filter(|written| written.at <= request.ended).collect();
        let Some(position) = known.iter().rposition(|written| has_service(written)) else {
            // The version was written after the end of the request, or never.
            return;
        };
        let Some(newer) = known.get(position + 1) else { return };
        let since = self.fleet.disturbances.must_know_since(Some(request.node), newer.at, request.sent);
        if since.is_some_and(|since| request.sent > since + MAX_APPLY_DELAY) {
            let written = self.fleet.seconds(newer.at);
            let detail = format!("went to {service}, version {} was written at {written:.3} s", newer.version);
            self.note(ViolationKind::OldRoutes, request, &detail);
        }
    }

    /// Checks that the requests of one run, sorted by their end, did not go back to older routes.
    fn check_order(&self, requests: &[&ObservedRequest], versions: &[WrittenVersion]) {
        // Minimum version that each request proves for all requests sent after its end.
        let mut min_versions: Vec<(Instant, u64)> = Vec::new();
        for request in requests {
            let Some(call) = self.calls(&request.id).first() else { continue };
            let service = self.service(call);
            let lower_bound = min_versions
                .iter()
                .rev()
                .find(|(ended, _)| *ended < request.sent)
                .map_or(0, |(_, min_version)| *min_version);
            let has_service = |written: &&WrittenVersion| color_name(color_of(written.version)) == service;
            let known = versions.iter().filter(has_service).filter(|written| written.at <= request.ended);
            let newest = known.clone().map(|written| written.version).max();
            match known.map(|written| written.version).find(|version| *version >= lower_bound) {
                Some(version) => {
                    let min_version = min_versions.last().map_or(version, |(_, min_version)| version.max(*min_version));
                    min_versions.push((request.ended, min_version));
                }
                None => {
                    let detail = format!("went to {service}, newest version {newest:?}, after version {lower_bound}");
                    self.note(ViolationKind::WentBack, request, &detail);
                }
            }
        }
    }
}

/// The greatest records of the given shards, in descending order.
fn merge_records(shards: &BTreeSet<&str>) -> Bytes {
    let mut records: Vec<_> = shards.iter().flat_map(|seed| make_records(seed, 8)).collect();
    records.sort_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    Bytes::from(records.concat())
}
