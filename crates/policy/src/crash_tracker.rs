//! Tracks which request contents crash the servers that run them, and decides which contents are quarantined.
//!
//! The failure is a request that crashes the process of each server that starts to run it and is retried at any node.
//! Other requests lose their calls when these servers crash, and servers also crash for unrelated reasons. Crashes
//! during a content therefore make it suspect first, and a suspect request is tried at one server before the others
//! (see `canary`). A content is quarantined at all nodes only if it has crashed three servers, and more servers than
//! have survived it. Crashes during a quarantined content do not count against any other content. A content that was
//! quarantined by mistake is soon tried again.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use streamfold_model::{ContentId, CrashEntry, ServerRun};

use crate::Moment;

/// Server crashes that are necessary to quarantine a content. One or two simultaneous crashes can come from a machine
/// or rack failure; the platform counts only crashes from the third on.
pub const MIN_CRASHES: usize = 3;
/// Time from a crash to the decision on its content. A server that answers within this time counts in favour of the
/// content. It is about the longest target latency; all nodes must know of a quarantine within 4 s.
pub const DECISION_DELAY: Duration = Duration::from_millis(300);
/// How long a server must stay up after its answer to count as a survivor: processes crash about 100 ms after the start
/// of a call.
pub const SURVIVAL_DELAY: Duration = Duration::from_millis(250);
/// Time from the quarantine of a content to its first trial. Servers are back after about three seconds, and a content
/// that was quarantined by mistake, because it ran beside the one that caused the crashes, should be available again
/// with them.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Factor by which the quarantine grows with each trial, so that trials are rare: the fourth comes after nearly an
/// hour.
const TRIAL_FACTOR: u32 = 10;
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);
/// Crashes that did not lead to a quarantine are removed after this time.
const RECORD_EXPIRY: Duration = Duration::from_secs(60);
/// A quarantined content that is not requested for this long is released and starts again without a record.
const QUARANTINE_EXPIRY: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of tracked contents, at each node and in the store, so that callers cannot exhaust the memory of
/// either.
const MAX_RECORDS: usize = 512;
/// Maximum number of servers listed for a content.
const MAX_SERVERS: usize = 16;

/// A content that a server was running, and whether requests with it go to one service or to many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSuspect {
    /// Identifier of the content.
    pub content: ContentId,
    /// Whether the request goes to a single service, so that one node sees only one or two of its crashes.
    pub is_single_service: bool,
}

/// How a request with a given content is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// No restriction.
    Clear,
    /// Sent to one server as a canary, and to the others after that server has answered.
    Suspect,
    /// Sent to no server until the given time.
    Quarantined {
        /// Time of the next trial.
        until: Moment,
    },
    /// May be tried at one server, by a single request among all nodes.
    TrialDue,
}

/// The crashes and survivals of one content that this node has seen or that nodes it called have reported.
#[derive(Debug, Default)]
struct CrashRecord {
    crashed: BTreeSet<ServerRun>,
    /// Servers that answered and stayed up.
    survived: BTreeSet<ServerRun>,
    /// Servers that answered, whose survival is not yet known.
    answered: BTreeSet<ServerRun>,
    /// Time of the last recorded crash.
    last_crash: Moment,
    /// Time of the last complete answer to a request with this content.
    last_answer: Option<Moment>,
    /// Whether a decision is pending.
    is_decision_pending: bool,
    /// Start of the quarantine at this node, or of the last trial.
    quarantined_since: Option<Moment>,
    trials: u32,
}

impl CrashRecord {
    /// Whether a request was answered completely after the last crash and the servers survived it.
    fn is_cleared(&self, now: Moment) -> bool {
        let survived = |at: &Moment| *at >= self.last_crash && now.since(*at) >= SURVIVAL_DELAY;
        self.quarantined_since.is_none() && self.last_answer.as_ref().is_some_and(survived)
    }
}

/// The entry of a content in the store, as known to this node.
#[derive(Debug)]
struct SharedRecord {
    entry: CrashEntry,
    /// Time at which this node received the entry, or its last trial.
    since: Moment,
}

/// One node's record of contents that crash servers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<ContentId, CrashRecord>,
    shared: HashMap<ContentId, SharedRecord>,
}

/// The quarantine time of a content after `trials` trials.
fn trial_delay(trials: u32) -> Duration {
    let factor = TRIAL_FACTOR.saturating_pow(trials);
    FIRST_TRIAL_DELAY.saturating_mul(factor).min(MAX_TRIAL_DELAY)
}

impl CrashTracker {
    /// Number of records, local and shared.
    pub fn len(&self) -> usize {
        self.records.len() + self.shared.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How a request with this content is to be treated now.
    pub fn status(&self, now: Moment, content: ContentId) -> ContentStatus {
        let record = self.records.get(&content).filter(|record| !record.is_cleared(now));
        let shared = self.shared.get(&content);
        let quarantined = match (shared, record.and_then(|record| Some((record.quarantined_since?, record.trials)))) {
            (Some(shared), _) if shared.entry.crashed.len() >= MIN_CRASHES => Some((shared.since, shared.entry.trials)),
            (_, local) => local,
        };
        if let Some((since, trials)) = quarantined {
            let until = since.plus(trial_delay(trials));
            return if until <= now { ContentStatus::TrialDue } else { ContentStatus::Quarantined { until } };
        }
        let Some(record) = record else { return ContentStatus::Clear };
        let crashes = self.unexplained_crashes(content).len();
        let is_suspect = crashes >= MIN_CRASHES && crashes > record.survived.len();
        if is_suspect { ContentStatus::Suspect } else { ContentStatus::Clear }
    }

    /// Servers that crashed during this content and during no other quarantined content.
    fn unexplained_crashes(&self, content: ContentId) -> BTreeSet<ServerRun> {
        let mut crashed = self.crashed(content);
        let local_quarantined = self.records.iter().filter(|(_, record)| record.quarantined_since.is_some());
        let local_quarantined =
            local_quarantined.map(|(quarantined, record)| (*quarantined, record.crashed.iter().collect::<Vec<_>>()));
        let is_quarantined = |shared: &&SharedRecord| shared.entry.crashed.len() >= MIN_CRASHES;
        let shared_quarantined = self.shared.values().filter(is_quarantined);
        let shared_quarantined =
            shared_quarantined.map(|shared| (shared.entry.content, shared.entry.crashed.iter().collect()));
        for (_, crashed_servers) in
            local_quarantined.chain(shared_quarantined).filter(|(quarantined, _)| *quarantined != content)
        {
            crashed_servers.into_iter().for_each(|server| {
                crashed.remove(server);
            });
        }
        crashed
    }

    /// Quarantines a content immediately because it was found to have crashed its servers. Returns the entry to
    /// publish to all nodes, or `None` if the content is already quarantined.
    pub fn quarantine(&mut self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let crashed: Vec<ServerRun> = self.crashed(content).into_iter().take(MAX_SERVERS).collect();
        let record = self.records.get_mut(&content).filter(|record| record.quarantined_since.is_none())?;
        record.quarantined_since = Some(now);
        Some(CrashEntry { content, crashed, trials: 0 })
    }

    /// Applies the report that another node has quarantined a content or tries it again. Returns whether it changed the
    /// record.
    pub fn put_quarantined(&mut self, now: Moment, entry: &CrashEntry) -> bool {
        if entry.crashed.len() < MIN_CRASHES || self.shared.contains_key(&entry.content) {
            return false;
        }
        entry.crashed.iter().take(MAX_SERVERS).for_each(|server| {
            self.add_crash(now, entry.content, server);
        });
        let Some(record) = self.records.get_mut(&entry.content) else { return false };
        let is_new = record.quarantined_since.is_none() || entry.trials > record.trials;
        if is_new {
            record.quarantined_since = Some(now);
            record.trials = entry.trials;
        }
        is_new
    }

    /// The first few of the servers that are known to have crashed during a content.
    pub fn crashed(&self, content: ContentId) -> BTreeSet<ServerRun> {
        let record = self.records.get(&content).into_iter().flat_map(|record| &record.crashed);
        let shared = self.shared.get(&content).into_iter().flat_map(|shared| &shared.entry.crashed);
        record.chain(shared).take(MAX_SERVERS * 2).cloned().collect()
    }

    /// Records that a server crashed while it ran a content or just after. Returns whether the caller has to schedule a
    /// decision.
    pub fn note_crash(&mut self, now: Moment, content: ContentId, server: &ServerRun) -> bool {
        let record = self.add_crash(now, content, server);
        record.is_some_and(|record| !std::mem::replace(&mut record.is_decision_pending, true))
    }

    /// Adds a crash to the record of a content, unless the server is known to have survived it or the limit of records
    /// is reached.
    fn add_crash(&mut self, now: Moment, content: ContentId, server: &ServerRun) -> Option<&mut CrashRecord> {
        self.prune(now);
        if !self.records.contains_key(&content) && self.records.len() >= MAX_RECORDS {
            return None;
        }
        let record = self.records.entry(content).or_default();
        if record.is_cleared(now) {
            *record = CrashRecord::default();
        }
        if record.survived.contains(server) {
            return None;
        }
        if record.crashed.len() < MAX_SERVERS {
            record.crashed.insert(server.clone());
        }
        record.last_crash = now;
        Some(record)
    }

    /// Records servers that crashed during a content according to another node. Returns whether the caller has to
    /// schedule a decision.
    pub fn note_reported(&mut self, now: Moment, content: ContentId, servers: &[ServerRun]) -> bool {
        let known = self.crashed(content);
        let unknown: Vec<&ServerRun> =
            servers.iter().take(MAX_SERVERS).filter(|server| !known.contains(*server)).collect();
        let mut needs_decision = false;
        for server in unknown {
            needs_decision |= self.note_crash(now, content, server);
        }
        needs_decision
    }

    /// Records that a server answered a request with a content. Returns whether the caller has to check the survival of
    /// the server.
    pub fn note_answer(&mut self, content: ContentId, server: &ServerRun) -> bool {
        let record = self.records.get_mut(&content).filter(|record| record.answered.len() < MAX_SERVERS * 2);
        record.is_some_and(|record| record.answered.insert(server.clone()))
    }

    /// Records that a server stayed up after it had answered a request with a content.
    pub fn note_survived(&mut self, content: ContentId, server: &ServerRun) {
        if let Some(record) = self.records.get_mut(&content) {
            record.survived.insert(server.clone());
        }
    }

    /// Records a complete answer to a request with a content.
    pub fn note_served(&mut self, now: Moment, content: ContentId) {
        if let Some(record) = self.records.get_mut(&content) {
            record.last_answer = Some(now);
        }
    }

    /// Decides, [`DECISION_DELAY`] after a crash, whether a content is quarantined. Returns the entry to broadcast to
    /// all nodes, if any.
    pub fn decide(&mut self, now: Moment, suspect: CrashSuspect) -> Option<CrashEntry> {
        let crashed = self.unexplained_crashes(suspect.content);
        let has_capacity = self.shared.len() < MAX_RECORDS || self.shared.contains_key(&suspect.content);
        let record = self.records.get_mut(&suspect.content)?;
        record.is_decision_pending = false;
        let is_answered = record.last_answer.is_some_and(|at| at >= record.last_crash);
        if is_answered || crashed.len() <= record.survived.len() {
            return None;
        }
        if crashed.len() >= MIN_CRASHES {
            record.quarantined_since.get_or_insert(now);
        }
        let min_crashes = if suspect.is_single_service { 1 } else { MIN_CRASHES };
        let is_known = self.shared.get(&suspect.content).is_some_and(|shared| {
            shared.entry.crashed.len() >= MIN_CRASHES || shared.entry.crashed.len() >= crashed.len()
        });
        let crashed: Vec<ServerRun> = crashed.into_iter().take(MAX_SERVERS).collect();
        let entry = CrashEntry { content: suspect.content, crashed, trials: 0 };
        (has_capacity && !is_known && entry.crashed.len() >= min_crashes).then_some(entry)
    }

    /// Applies the entry of a content in the store. Returns whether the content is quarantined by it from now on.
    pub fn put_shared(&mut self, now: Moment, entry: CrashEntry) -> bool {
        let before = self.shared.get(&entry.content);
        if before.is_none() && self.shared.len() >= MAX_RECORDS {
            return false;
        }
        let was_quarantined = before.is_some_and(|before| before.entry.crashed.len() >= MIN_CRASHES);
        let is_quarantined = entry.crashed.len() >= MIN_CRASHES;
        let is_same = was_quarantined && before.is_some_and(|before| before.entry.trials == entry.trials);
        let since = before.filter(|_| is_same).map_or(now, |before| before.since);
        self.shared.insert(entry.content, SharedRecord { entry, since });
        is_quarantined && !was_quarantined
    }

    /// Applies the removal of a content from the store, because it proved harmless or was released. Returns whether the
    /// entry was known.
    pub fn remove_shared(&mut self, content: ContentId) -> bool {
        self.records.remove(&content);
        self.shared.remove(&content).is_some()
    }

    /// The contents that are known to be in the store.
    pub fn shared_contents(&self) -> Vec<ContentId> {
        self.shared.keys().copied().collect()
    }

    /// All known entries of the store.
    pub fn shared_entries(&self) -> Vec<CrashEntry> {
        self.shared.values().map(|shared| shared.entry.clone()).collect()
    }

    /// The known entry of one content in the store.
    pub fn shared_entry(&self, content: ContentId) -> Option<&CrashEntry> {
        self.shared.get(&content).map(|shared| &shared.entry)
    }

    /// Records that this node tries a content that is not in the store. Returns the entry to send to other nodes.
    pub fn note_local_trial(&mut self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let crashed = self.crashed(content).into_iter().take(MAX_SERVERS).collect();
        let record = self.records.get_mut(&content)?;
        record.trials = record.trials.saturating_add(1);
        record.quarantined_since = Some(now);
        Some(CrashEntry { content, crashed, trials: record.trials })
    }

    /// Number of contents quarantined at all nodes.
    pub fn count_quarantined(&self) -> usize {
        self.shared.values().filter(|shared| shared.entry.crashed.len() >= MIN_CRASHES).count()
    }

    /// Contents whose entries in the store have expired.
    pub fn find_expired(&self, now: Moment) -> Vec<ContentId> {
        let is_expired = |shared: &&SharedRecord| {
            let is_quarantined = shared.entry.crashed.len() >= MIN_CRASHES;
            now.since(shared.since) >= if is_quarantined { QUARANTINE_EXPIRY } else { RECORD_EXPIRY }
        };
        self.shared.values().filter(is_expired).map(|shared| shared.entry.content).collect()
    }

    /// Removes expired local records.
    fn prune(&mut self, now: Moment) {
        self.records.retain(|_, record| record.is_decision_pending || now.since(record.last_crash) < RECORD_EXPIRY);
    }
}
