//! Which contents end the servers that run them, and how a request with such a content is treated.
//!
//! The load pattern: a request ends the process of each server that begins to run it, and comes again, at any
//! node. Beside it run requests that only lose their calls with the servers, and now and then servers end
//! for reasons of their own. So crashes under a content make it suspect, and what is suspect is tried at one
//! server before the others; it is held off everywhere only if it ended three servers and none that ran it
//! lived on. Servers that ended under a content that is held off speak against no other one. Who is held off by
//! mistake is tried again soon.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use streamfold_model::{ContentId, CrashEntry, ServerRun};

use crate::Moment;

/// Servers that must have ended under a content before it is held off. One or two crashes at once come from
/// a machine or rack; the platform counts from the third on.
pub const MIN_CRASHES: usize = 3;
/// How long after a crash it is decided whether the content is held off: a server that answers in that
/// time speaks for it. About the longest target latency; all nodes must know within 4 s.
pub const DECISION_DELAY: Duration = Duration::from_millis(300);
/// A server that answered must live on so long to speak for a content: processes end some 100 ms after a call
/// began.
pub const SURVIVAL_DELAY: Duration = Duration::from_millis(250);
/// How long a content is held off before it is tried again: servers are back after some three seconds,
/// and one that is held off by mistake, since it ran beside the one that did it, should be back with them.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(3);
/// How much longer it is held off after each trial, so that there are few: the fourth comes after nearly an
/// hour.
const TRIAL_FACTOR: u32 = 10;
const MAX_TRIAL_AFTER: Duration = Duration::from_secs(3_600);
/// Crashes that came to nothing are forgotten after this.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A content that is held off and was not sent for so long is given up: then it begins anew.
const RELEASE_AFTER: Duration = Duration::from_secs(24 * 3_600);
/// Contents that are remembered at most, by each node and in the store: what callers send must not fill them.
const MAX_CASES: usize = 512;
/// Servers that are named for a content at most.
const MAX_NAMED: usize = 16;

/// A content that a server worked on, and how many servers a request with it goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashSuspect {
    /// The content.
    pub content: ContentId,
    /// Whether it goes to a single service, so that a node sees one or two of its crashes and no more.
    pub is_single_service: bool,
}

/// How a request with a content is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// As any other.
    Clear,
    /// It goes to one server first, and to the others when that has answered.
    Suspect,
    /// It goes to no server until a moment.
    Quarantined {
        /// When it may be tried again.
        until: Moment,
    },
    /// It may be tried at one server, by one request of all nodes.
    TrialDue,
}

/// What this node has seen, or has been told by nodes it asked.
#[derive(Debug, Default)]
struct CrashCase {
    crashed: BTreeSet<ServerRun>,
    /// Servers that answered and were found to live on.
    survived: BTreeSet<ServerRun>,
    /// Servers that answered, of which that is not known yet.
    answered: BTreeSet<ServerRun>,
    /// When the last crash was noted.
    last: Moment,
    /// When a request with it was last answered whole.
    served_at: Option<Moment>,
    /// Whether a decision is under way.
    is_settling: bool,
    /// Since when this node holds it off.
    held_since: Option<Moment>,
    trials: u32,
}

impl CrashCase {
    /// Whether requests were answered whole and the servers lived on.
    fn is_over(&self, now: Moment) -> bool {
        let survived = |at: &Moment| *at >= self.last && now.since(*at) >= SURVIVAL_DELAY;
        self.held_since.is_none() && self.served_at.as_ref().is_some_and(survived)
    }
}

/// What the store holds of a content, as this node knows it.
#[derive(Debug)]
struct SharedCase {
    entry: CrashEntry,
    /// When this node learnt of it, or of its last trial.
    since: Moment,
}

/// What one node knows of contents that end servers.
#[derive(Debug, Default)]
pub struct CrashTracker {
    cases: HashMap<ContentId, CrashCase>,
    shared: HashMap<ContentId, SharedCase>,
}

/// How long a content is held off after some trials.
fn trial_wait(trials: u32) -> Duration {
    let factor = TRIAL_FACTOR.saturating_pow(trials);
    FIRST_TRIAL_AFTER.saturating_mul(factor).min(MAX_TRIAL_AFTER)
}

impl CrashTracker {
    /// Contents of which anything is known.
    pub fn len(&self) -> usize {
        self.cases.len() + self.shared.len()
    }

    /// Whether nothing is known of any content.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How a request with a content is treated now.
    pub fn status(&self, now: Moment, content: ContentId) -> ContentStatus {
        let case = self.cases.get(&content).filter(|case| !case.is_over(now));
        let shared = self.shared.get(&content);
        let held = match (shared, case.and_then(|case| Some((case.held_since?, case.trials)))) {
            (Some(shared), _) if shared.entry.crashed.len() >= MIN_CRASHES => {
                Some((shared.since, shared.entry.trials))
            }
            (_, local) => local,
        };
        if let Some((since, trials)) = held {
            let until = since.plus(trial_wait(trials));
            return if until <= now { ContentStatus::TrialDue } else { ContentStatus::Quarantined { until } };
        }
        let Some(case) = case else { return ContentStatus::Clear };
        let crashes = self.unexplained(content).len();
        let is_suspect = crashes >= MIN_CRASHES && crashes > case.survived.len();
        if is_suspect { ContentStatus::Suspect } else { ContentStatus::Clear }
    }

    /// Servers that ended under a content and under no other one that is held off.
    fn unexplained(&self, content: ContentId) -> BTreeSet<ServerRun> {
        let mut crashed = self.crashed(content);
        let held_cases = self.cases.iter().filter(|(_, case)| case.held_since.is_some());
        let held_cases = held_cases.map(|(held, case)| (*held, case.crashed.iter().collect::<Vec<_>>()));
        let is_held = |shared: &&SharedCase| shared.entry.crashed.len() >= MIN_CRASHES;
        let held_shared = self.shared.values().filter(is_held);
        let held_shared = held_shared.map(|shared| (shared.entry.content, shared.entry.crashed.iter().collect()));
        for (_, explained) in held_cases.chain(held_shared).filter(|(held, _)| *held != content) {
            explained.into_iter().for_each(|server| {
                crashed.remove(server);
            });
        }
        crashed
    }

    /// Holds a content off at once, since it was found to be what ended its servers: what is to be told to all nodes,
    /// unless it is held off already.
    pub fn quarantine(&mut self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let crashed: Vec<ServerRun> = self.crashed(content).into_iter().take(MAX_NAMED).collect();
        let case = self.cases.get_mut(&content).filter(|case| case.held_since.is_none())?;
        case.held_since = Some(now);
        Some(CrashEntry { content, crashed, trials: 0 })
    }

    /// Takes that another node holds a content off, or tries it again; whether that is news.
    pub fn put_quarantined(&mut self, now: Moment, entry: &CrashEntry) -> bool {
        if entry.crashed.len() < MIN_CRASHES || self.shared.contains_key(&entry.content) {
            return false;
        }
        entry.crashed.iter().take(MAX_NAMED).for_each(|server| {
            self.add_crash(now, entry.content, server);
        });
        let Some(case) = self.cases.get_mut(&entry.content) else { return false };
        let is_news = case.held_since.is_none() || entry.trials > case.trials;
        if is_news {
            case.held_since = Some(now);
            case.trials = entry.trials;
        }
        is_news
    }

    /// Servers that ended under a content, as far as is known, the first few.
    pub fn crashed(&self, content: ContentId) -> BTreeSet<ServerRun> {
        let case = self.cases.get(&content).into_iter().flat_map(|case| &case.crashed);
        let shared = self.shared.get(&content).into_iter().flat_map(|shared| &shared.entry.crashed);
        case.chain(shared).take(MAX_NAMED * 2).cloned().collect()
    }

    /// Notes that a server ended while it worked on a content or just after; whether a decision is to be
    /// made in a while.
    pub fn note_crash(&mut self, now: Moment, content: ContentId, server: &ServerRun) -> bool {
        let case = self.add_crash(now, content, server);
        case.is_some_and(|case| !std::mem::replace(&mut case.is_settling, true))
    }

    /// Adds a crash to what is known of a content, unless the server is known to have lived on or there is no room.
    fn add_crash(&mut self, now: Moment, content: ContentId, server: &ServerRun) -> Option<&mut CrashCase> {
        self.prune(now);
        if !self.cases.contains_key(&content) && self.cases.len() >= MAX_CASES {
            return None;
        }
        let case = self.cases.entry(content).or_default();
        if case.is_over(now) {
            *case = CrashCase::default();
        }
        if case.survived.contains(server) {
            return None;
        }
        if case.crashed.len() < MAX_NAMED {
            case.crashed.insert(server.clone());
        }
        case.last = now;
        Some(case)
    }

    /// Notes servers that ended under a content as another node has told; whether a decision is to be made.
    pub fn note_reported(&mut self, now: Moment, content: ContentId, servers: &[ServerRun]) -> bool {
        let known = self.crashed(content);
        let news: Vec<&ServerRun> = servers.iter().take(MAX_NAMED).filter(|server| !known.contains(*server)).collect();
        let mut is_due = false;
        for server in news {
            is_due |= self.note_crash(now, content, server);
        }
        is_due
    }

    /// Notes that a server answered a request with a content; whether it is to be found out if it lives on.
    pub fn note_answer(&mut self, content: ContentId, server: &ServerRun) -> bool {
        let case = self.cases.get_mut(&content).filter(|case| case.answered.len() < MAX_NAMED * 2);
        case.is_some_and(|case| case.answered.insert(server.clone()))
    }

    /// Notes that a server lived on after it had answered a request with a content.
    pub fn note_survived(&mut self, content: ContentId, server: &ServerRun) {
        if let Some(case) = self.cases.get_mut(&content) {
            case.survived.insert(server.clone());
        }
    }

    /// Notes that a request with a content was answered whole.
    pub fn note_served(&mut self, now: Moment, content: ContentId) {
        if let Some(case) = self.cases.get_mut(&content) {
            case.served_at = Some(now);
        }
    }

    /// Decides what becomes of a content some while after a crash: what is to be told to all nodes, if
    /// anything.
    pub fn decide(&mut self, now: Moment, suspect: CrashSuspect) -> Option<CrashEntry> {
        let crashed = self.unexplained(suspect.content);
        let has_room = self.shared.len() < MAX_CASES || self.shared.contains_key(&suspect.content);
        let case = self.cases.get_mut(&suspect.content)?;
        case.is_settling = false;
        let is_served = case.served_at.is_some_and(|at| at >= case.last);
        if is_served || crashed.len() <= case.survived.len() {
            return None;
        }
        if crashed.len() >= MIN_CRASHES {
            case.held_since.get_or_insert(now);
        }
        let least = if suspect.is_single_service { 1 } else { MIN_CRASHES };
        let is_known = self.shared.get(&suspect.content).is_some_and(|shared| {
            shared.entry.crashed.len() >= MIN_CRASHES || shared.entry.crashed.len() >= crashed.len()
        });
        let crashed: Vec<ServerRun> = crashed.into_iter().take(MAX_NAMED).collect();
        let entry = CrashEntry { content: suspect.content, crashed, trials: 0 };
        (has_room && !is_known && entry.crashed.len() >= least).then_some(entry)
    }

    /// Takes what the store holds of a content; whether it is held off by that from now on.
    pub fn put_shared(&mut self, now: Moment, entry: CrashEntry) -> bool {
        let before = self.shared.get(&entry.content);
        if before.is_none() && self.shared.len() >= MAX_CASES {
            return false;
        }
        let was_held = before.is_some_and(|before| before.entry.crashed.len() >= MIN_CRASHES);
        let is_held = entry.crashed.len() >= MIN_CRASHES;
        let is_same = was_held && before.is_some_and(|before| before.entry.trials == entry.trials);
        let since = before.filter(|_| is_same).map_or(now, |before| before.since);
        self.shared.insert(entry.content, SharedCase { entry, since });
        is_held && !was_held
    }

    /// Takes that the store holds nothing of a content any more: it was found to do no harm, or was given
    /// up. Whether it was known.
    pub fn remove_shared(&mut self, content: ContentId) -> bool {
        self.cases.remove(&content);
        self.shared.remove(&content).is_some()
    }

    /// The contents that the store is known to hold.
    pub fn shared_contents(&self) -> Vec<ContentId> {
        self.shared.keys().copied().collect()
    }

    /// What the store is known to hold.
    pub fn shared_entries(&self) -> Vec<CrashEntry> {
        self.shared.values().map(|shared| shared.entry.clone()).collect()
    }

    /// What the store is known to hold of one content.
    pub fn shared_entry(&self, content: ContentId) -> Option<&CrashEntry> {
        self.shared.get(&content).map(|shared| &shared.entry)
    }

    /// Notes that this node tries a content of which the store knows nothing; what is to be told to other nodes.
    pub fn note_local_trial(&mut self, now: Moment, content: ContentId) -> Option<CrashEntry> {
        let crashed = self.crashed(content).into_iter().take(MAX_NAMED).collect();
        let case = self.cases.get_mut(&content)?;
        case.trials += 1;
        case.held_since = Some(now);
        Some(CrashEntry { content, crashed, trials: case.trials })
    }

    /// Contents held off by all nodes.
    pub fn count_quarantined(&self) -> usize {
        self.shared.values().filter(|shared| shared.entry.crashed.len() >= MIN_CRASHES).count()
    }

    /// Contents of which the store need hold nothing any more.
    pub fn find_expired(&self, now: Moment) -> Vec<ContentId> {
        let is_expired = |shared: &&SharedCase| {
            let is_held = shared.entry.crashed.len() >= MIN_CRASHES;
            now.since(shared.since) >= if is_held { RELEASE_AFTER } else { FORGET_AFTER }
        };
        self.shared.values().filter(is_expired).map(|shared| shared.entry.content).collect()
    }

    /// Forgets crashes that came to nothing.
    fn prune(&mut self, now: Moment) {
        self.cases.retain(|_, case| case.is_settling || now.since(case.last) < FORGET_AFTER);
    }
}
