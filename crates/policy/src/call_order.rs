//! The order in which queued calls are sent to servers: a priority queue with fair queueing between teams.
//!
//! The load pattern: calls for a shard whose servers are all busy, from routes and teams that differ in priority, rate
//! and target latency.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;
use crate::team_scheduler::{TeamScheduler, TeamShare};

/// The minimum share of a priority, as a part of the share that it would get if calls were sent in order of arrival. A
/// little over a half, since calls that leave the queue without being sent use up some of it.
const MIN_SHARE_RATIO: f64 = 0.55;
/// A priority whose decayed count of calls is below this is dropped: its calls came many half-lives ago, and the routes
/// that use it may no longer exist.
const MIN_COUNT: f64 = 1e-3;
/// Half-life of the counts of queued and sent calls of each priority.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(5);

/// A queued call that waits for a server.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingCall {
    /// The priority of its request.
    pub priority: Priority,
    /// The team of its request, if callers identify themselves by keys.
    pub team: Option<TeamShare>,
    /// When it joined the queue.
    pub joined: Moment,
    /// The latest start with which it still meets its target latency.
    pub latest_start: Moment,
    /// When its result no longer has any value.
    pub expires: Moment,
}

/// The share of calls whose callers have no team.
const NO_TEAM: TeamShare = TeamShare { team: None, rate: None };

impl WaitingCall {
    /// The team and rate by which it is scheduled.
    fn share(&self) -> &TeamShare {
        self.team.as_ref().unwrap_or(&NO_TEAM)
    }
}

/// The sort key of a queued call; the least is sent first. Fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallRank {
    /// Whether its priority has received its minimum share. Calls of a priority that has not go before all others.
    pub has_min_share: bool,
    /// Its priority.
    pub priority: Priority,
    /// The start tag of its team's next call.
    pub start_tag: u64,
    /// Whether it misses its target latency even if it starts now. Calls that can still meet theirs go first; otherwise
    /// all calls would be late under overload.
    pub is_late: bool,
    /// The latest start with which it still meets its target latency.
    pub latest_start: Moment,
}

/// A scheduling policy for queued calls.
pub trait CallOrder: Send {
    /// Records that a call joined the queue.
    fn note_joined(&mut self, now: Moment, call: &WaitingCall);

    /// The sort key of a queued call.
    fn rank(&self, now: Moment, call: &WaitingCall) -> CallRank;

    /// Records that a call was sent, so that its team's next call gets a later start tag.
    fn note_sent(&mut self, now: Moment, call: &WaitingCall);
}

/// Order of arrival (FIFO): the baseline that other policies are compared with.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalOrder;

impl CallOrder for ArrivalOrder {
    fn note_joined(&mut self, _now: Moment, _call: &WaitingCall) {}

    fn rank(&self, _now: Moment, call: &WaitingCall) -> CallRank {
        CallRank { has_min_share: true, priority: Priority(0), start_tag: 0, is_late: false, latest_start: call.joined }
    }

    fn note_sent(&mut self, _now: Moment, _call: &WaitingCall) {}
}

/// Counts of queued and sent calls of one priority, or of all, that decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    joined: f64,
    sent: f64,
}

impl DecayingCount {
    fn decay(&mut self, factor: f64) {
        self.joined *= factor;
        self.sent *= factor;
    }
}

/// Order by priority, then by the team's start tag if fair queueing is enabled, then by the latest start. A priority
/// below its minimum share goes first until it has received it, so that the least urgent calls do not starve.
#[derive(Debug, Default)]
pub struct PriorityOrder {
    by_priority: BTreeMap<Priority, DecayingCount>,
    all: DecayingCount,
    last_decay: Moment,
    scheduler: Option<TeamScheduler>,
}

impl PriorityOrder {
    /// Enables fair queueing between teams.
    #[must_use]
    pub fn with_fair_queueing(self) -> Self {
        Self { scheduler: Some(TeamScheduler::default()), ..self }
    }

    /// Decays all counts to `now` and applies `add` to those of a priority and of all.
    fn count(&mut self, now: Moment, priority: Priority, add: impl Fn(&mut DecayingCount)) {
        let age = now.since(self.last_decay).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.last_decay = now;
        let factor = 0.5f64.powf(age);
        self.by_priority.values_mut().for_each(|count| count.decay(factor));
        self.by_priority.retain(|_, count| count.joined > MIN_COUNT);
        self.all.decay(factor);
        add(self.by_priority.entry(priority).or_default());
        add(&mut self.all);
    }

    /// Whether a priority has received its minimum share of the sent calls, to within one call.
    fn has_min_share(&self, priority: Priority) -> bool {
        let Some(count) = self.by_priority.get(&priority) else { return true };
        let share = count.joined / self.all.joined.max(f64::MIN_POSITIVE);
        // Tolerates a deficit of one call; without it the first call of a priority would go before all others.
        count.sent + 1.0 > MIN_SHARE_RATIO * share * self.all.sent
    }
}

impl CallOrder for PriorityOrder {
    fn note_joined(&mut self, now: Moment, call: &WaitingCall) {
        self.count(now, call.priority, |count| count.joined += 1.0);
    }

    fn rank(&self, now: Moment, call: &WaitingCall) -> CallRank {
        let start_tag = self.scheduler.as_ref().map_or(0, |scheduler| scheduler.start_tag(call.share()));
        CallRank {
            has_min_share: self.has_min_share(call.priority),
            priority: call.priority,
            start_tag,
            is_late: call.latest_start < now,
            latest_start: call.latest_start,
        }
    }

    fn note_sent(&mut self, now: Moment, call: &WaitingCall) {
        self.count(now, call.priority, |count| count.sent += 1.0);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.note_sent(call.share());
        }
    }
}
