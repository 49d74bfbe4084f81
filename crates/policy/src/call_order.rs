//! In which order calls that wait for a server are made.
//!
//! The load pattern: calls for a shard whose servers are all at work, of routes and teams that differ in priority,
//! rate and target latency.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;
use crate::team_scheduler::{TeamScheduler, TeamShare};

/// The kept share, as a part of the share that a priority would get if calls were made first come, first served: a
/// little over a half, of which calls that leave the line take some.
const KEPT_SHARE: f64 = 0.55;
/// Less than this is left of a priority whose calls came many half-lives ago: routes of it may be gone.
const FORGOTTEN: f64 = 1e-3;
/// How many calls of each priority joined and were made counts half after this time.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(5);

/// A call that waits for a server.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingCall {
    /// The rank of its request.
    pub priority: Priority,
    /// The team of its request, where callers have keys.
    pub team: Option<TeamShare>,
    /// When it began to wait.
    pub joined: Moment,
    /// The latest start that still makes its target latency.
    pub latest_start: Moment,
    /// When it is worth nothing any more.
    pub expires: Moment,
}

/// By what calls take their turns whose callers have no team.
const NAMELESS: TeamShare = TeamShare { team: None, rate: None };

impl WaitingCall {
    /// By what it takes its turn.
    fn share(&self) -> &TeamShare {
        self.team.as_ref().unwrap_or(&NAMELESS)
    }
}

/// The place of a waiting call: the least goes first. The fields count in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallRank {
    /// Whether its priority has had its kept share; calls of one that has not go before all others.
    pub is_kept: bool,
    /// Its priority.
    pub priority: Priority,
    /// The turn of its team.
    pub turn: u64,
    /// Whether it misses its target latency whenever it starts: what can still make it goes first, or under
    /// overload all would be made late.
    pub is_late: bool,
    /// The latest start that still makes its target latency.
    pub latest_start: Moment,
}

/// Gives waiting calls their places.
pub trait CallOrder: Send {
    /// Notes that a call begins to wait.
    fn note_joined(&mut self, now: Moment, call: &WaitingCall);

    /// The place of a call that waits.
    fn rank(&self, now: Moment, call: &WaitingCall) -> CallRank;

    /// Notes that a call was made, so that its team's next one has a later turn.
    fn note_sent(&mut self, now: Moment, call: &WaitingCall);
}

/// First come, first served: what the others are measured against.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalOrder;

impl CallOrder for ArrivalOrder {
    fn note_joined(&mut self, _now: Moment, _call: &WaitingCall) {}

    fn rank(&self, _now: Moment, call: &WaitingCall) -> CallRank {
        CallRank { is_kept: true, priority: Priority(0), turn: 0, is_late: false, latest_start: call.joined }
    }

    fn note_sent(&mut self, _now: Moment, _call: &WaitingCall) {}
}

/// Calls of one priority, or of all; they fade.
#[derive(Debug, Clone, Copy, Default)]
struct FadingCount {
    joined: f64,
    made: f64,
}

impl FadingCount {
    fn fade(&mut self, factor: f64) {
        self.joined *= factor;
        self.made *= factor;
    }
}

/// By priority, and then by the latest start, or before that by the turn of the team. A priority that got less than it
/// keeps goes first until it has that much, so that the least urgent do not starve.
#[derive(Debug, Default)]
pub struct PriorityOrder {
    by_priority: BTreeMap<Priority, FadingCount>,
    all: FadingCount,
    faded: Moment,
    turns: Option<TeamScheduler>,
}

impl PriorityOrder {
    /// With turns of teams.
    #[must_use]
    pub fn with_fair_queueing(self) -> Self {
        Self { turns: Some(TeamScheduler::default()), ..self }
    }

    fn count(&mut self, now: Moment, priority: Priority, add: impl Fn(&mut FadingCount)) {
        let age = now.since(self.faded).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.faded = now;
        let factor = 0.5f64.powf(age);
        self.by_priority.values_mut().for_each(|count| count.fade(factor));
        self.by_priority.retain(|_, count| count.joined > FORGOTTEN);
        self.all.fade(factor);
        add(self.by_priority.entry(priority).or_default());
        add(&mut self.all);
    }

    /// Whether as many calls of a priority were made as its kept share, to within one call.
    fn is_kept(&self, priority: Priority) -> bool {
        let Some(count) = self.by_priority.get(&priority) else { return true };
        let share = count.joined / self.all.joined.max(f64::MIN_POSITIVE);
        // A whole call behind, or the first one of a priority would go before all others.
        count.made + 1.0 > KEPT_SHARE * share * self.all.made
    }
}

impl CallOrder for PriorityOrder {
    fn note_joined(&mut self, now: Moment, call: &WaitingCall) {
        self.count(now, call.priority, |count| count.joined += 1.0);
    }

    fn rank(&self, now: Moment, call: &WaitingCall) -> CallRank {
        let turn = self.turns.as_ref().map_or(0, |turns| turns.turn(call.share()));
        CallRank {
            is_kept: self.is_kept(call.priority),
            priority: call.priority,
            turn,
            is_late: call.latest_start < now,
            latest_start: call.latest_start,
        }
    }

    fn note_sent(&mut self, now: Moment, call: &WaitingCall) {
        self.count(now, call.priority, |count| count.made += 1.0);
        if let Some(turns) = &mut self.turns {
            turns.note_sent(call.share());
        }
    }
}
