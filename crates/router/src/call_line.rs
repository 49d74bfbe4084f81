//! The queue of calls that wait on this node for a server of one service, and the choice of the call that checks for a
//! free server next.
//!
//! One call at a time is selected: it takes a server or returns to its queue position, and then the next call is
//! selected. A call that arrives meanwhile joins the queue, so that no other call takes the server for which a waiting
//! call was selected.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{Priority, ServiceName, TeamName};
use streamfold_policy::call_order::{CallOrder, WaitingCall};
use streamfold_policy::wait_queue::{WaitQueue, WaitingWork};
use streamfold_policy::{Moment, WaitId};
use tokio::sync::Notify;

use crate::call_waits::{CallWaits, priority_label};
use crate::clock::NodeClock;
use crate::contention::QueueRule;

/// How often waiting calls check for capacity although no call has ended, since the load that servers reported expires.
/// Also how long a selected call may take; its request task is usually woken within a fraction of a millisecond.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// After this many calls of one round found no usable server, one more call may check, and then none until the next
/// round. Each check costs a task wakeup.
const MAX_SKIPPED: u32 = 4;

/// A call in the queue.
struct QueuedCall {
    call: WaitingCall,
    wake: Arc<Notify>,
    /// The round in which it last checked for capacity.
    checked_round: u64,
    /// Whether it was selected and its request did nothing. It is skipped until its request acts again.
    is_unresponsive: bool,
}

type CallWork = WaitingWork<Moment, QueuedCall>;

struct QueueState {
    rule: QueueRule,
    order: Box<dyn CallOrder>,
    /// Sorted by the latest start. The call order takes precedence over this.
    queue: WaitQueue<Moment, QueuedCall>,
    /// The selected call and the time of its selection.
    selected: Option<(CallWork, Moment)>,
    /// Number of times at which capacity may have become available.
    round: u64,
    skipped: u32,
    /// When the current round started.
    round_started: Moment,
}

/// The queue of calls that wait for one service.
pub struct CallQueue {
    service: ServiceName,
    waits: Arc<CallWaits>,
    state: Mutex<QueueState>,
}

impl QueueState {
    fn is_busy(&self) -> bool {
        self.selected.is_some() || !self.queue.is_empty()
    }

    /// Records that there may be capacity, which starts a new round.
    fn note_capacity(&mut self, now: Moment) {
        self.round += 1;
        self.skipped = 0;
        self.round_started = now;
        self.select_next(now);
    }

    /// Selects the first call that has not checked in this round, if no call is selected.
    fn select_next(&mut self, now: Moment) {
        if self.selected.as_ref().is_some_and(|(_, since)| now.since(*since) < RECHECK_INTERVAL) {
            return;
        }
        if let Some((mut stalled, _)) = self.selected.take() {
            stalled.item.is_unresponsive = true;
            self.queue.requeue(stalled);
        }
        self.queue.remove_expired(now);
        if self.skipped > MAX_SKIPPED {
            return;
        }
        let waiting =
            self.queue.iter().filter(|work| work.item.checked_round < self.round && !work.item.is_unresponsive);
        // The last call that may check is the one whose last check is the oldest. The calls at the head of the queue
        // may all need the same servers, and the calls behind them would otherwise never check.
        let next = match self.skipped < MAX_SKIPPED {
            true => waiting.min_by_key(|work| self.order.rank(now, &work.item.call)),
            false => waiting.min_by_key(|work| work.item.checked_round),
        };
        let next = next.map(|work| work.id);
        let Some(mut work) = next.and_then(|id| self.queue.remove(id)) else { return };
        work.item.checked_round = self.round;
        work.item.wake.notify_one();
        self.selected = Some((work, now));
    }

    /// Removes and returns the selected call if it has the given id.
    fn take_selected(&mut self, id: WaitId) -> Option<CallWork> {
        let (work, _) = self.selected.take_if(|(work, _)| work.id == id)?;
        Some(work)
    }
}

impl CallQueue {
    /// Creates an empty queue.
    pub fn new(service: ServiceName, rule: QueueRule, waits: Arc<CallWaits>) -> Arc<Self> {
        let state = QueueState {
            rule,
            order: rule.order(),
            queue: WaitQueue::default(),
            selected: None,
            round: 1,
            skipped: 0,
            round_started: Moment::default(),
        };
        Arc::new(Self { service, waits, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the queue rule. Calls keep their queue positions.
    pub fn set_rule(&self, rule: QueueRule) {
        let mut state = self.state();
        if state.rule != rule {
            state.rule = rule;
            state.order = rule.order();
        }
    }

    /// Whether any call waits.
    pub fn is_busy(&self) -> bool {
        self.state().is_busy()
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        let state = self.state();
        state.queue.len() + usize::from(state.selected.is_some())
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The current round. A call reads it before it checks for capacity and passes it to [`CallQueue::push`], so that a
    /// server that is freed in between is not missed.
    pub fn round(&self) -> u64 {
        self.state().round
    }

    /// Records that there may be capacity for a call.
    pub fn note_capacity(&self, now: Moment) {
        self.state().note_capacity(now);
    }

    /// Records that a call was sent without waiting.
    pub fn note_immediate(&self, now: Moment, priority: Priority) {
        self.waits.note(now, priority, Duration::ZERO);
    }

    /// Adds a call that last checked for capacity in the round `checked_round`, 0 if it has not checked.
    pub fn push(
        self: &Arc<Self>,
        clock: NodeClock,
        call: WaitingCall,
        checked_round: u64,
        request: &str,
    ) -> QueueEntry {
        let now = clock.now();
        let wake = Arc::new(Notify::new());
        let queued = QueuedCall { call: call.clone(), wake: wake.clone(), checked_round, is_unresponsive: false };
        let mut state = self.state();
        let ahead = state.queue.len() + usize::from(state.selected.is_some());
        state.order.note_joined(now, &call);
        let id = state.queue.push(call.latest_start, call.expires, queued);
        self.waits.note_joined(call.priority, call.joined);
        state.select_next(now);
        drop(state);
        metrics::gauge!("streamfold_waiting_calls").increment(1.0);
        QueueEntry { queue: self.clone(), clock, id, wake, call, ahead, request: request.to_owned(), outcome: None }
    }

    /// Lets waiting calls check for capacity if none has for [`RECHECK_INTERVAL`].
    fn recheck(&self, now: Moment) {
        let mut state = self.state();
        if now.since(state.round_started) >= RECHECK_INTERVAL {
            state.note_capacity(now);
        }
    }
}

/// How the wait of a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitOutcome {
    Sent,
    Expired,
}

/// The queue entry of a call. Dropping it removes the call from the queue.
pub struct QueueEntry {
    queue: Arc<CallQueue>,
    clock: NodeClock,
    id: WaitId,
    wake: Arc<Notify>,
    call: WaitingCall,
    ahead: usize,
    request: String,
    outcome: Option<WaitOutcome>,
}

impl QueueEntry {
    /// Waits until the call is selected; `None` if it expired before.
    pub async fn wait(mut self) -> Option<Self> {
        loop {
            if self.note_active() {
                return Some(self);
            }
            let now = self.clock.now();
            if self.call.expires <= now {
                self.outcome = Some(WaitOutcome::Expired);
                return None;
            }
            let until = now.plus(RECHECK_INTERVAL).min(self.call.expires);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(until)) => self.queue.recheck(self.clock.now()),
            }
        }
    }

    /// Records that the call's request is active and returns whether the call is selected.
    fn note_active(&self) -> bool {
        let mut state = self.queue.state();
        if let Some(queued) = state.queue.get_mut(self.id) {
            queued.is_unresponsive = false;
        }
        drop(state);
        self.is_selected()
    }

    /// Whether the call is selected. A call that took too long after its selection no longer is.
    pub fn is_selected(&self) -> bool {
        let state = self.queue.state();
        state.selected.as_ref().is_some_and(|(work, _)| work.id == self.id)
    }

    /// How long the call has waited.
    pub fn waited(&self) -> Duration {
        self.clock.now().since(self.call.joined)
    }

    /// Records that the call was sent and selects the next one.
    pub fn note_sent(mut self) {
        let now = self.clock.now();
        self.outcome = Some(WaitOutcome::Sent);
        let mut state = self.queue.state();
        // If the call acted too late, another one may be selected by now.
        state.take_selected(self.id);
        state.queue.remove(self.id);
        state.order.note_sent(now, &self.call);
        state.select_next(now);
    }

    /// Returns the call to its queue position, since it found no usable server. `has_capacity` tells whether there may
    /// be one for another call.
    pub fn requeue(&self, has_capacity: bool) {
        let mut state = self.queue.state();
        let Some(work) = state.take_selected(self.id) else { return };
        let is_capacity_new = work.item.checked_round < state.round;
        state.queue.requeue(work);
        state.skipped += 1;
        if has_capacity || is_capacity_new {
            state.select_next(self.clock.now());
        }
    }

    fn log(&self, waited: Duration) {
        let outcome = match self.outcome {
            Some(WaitOutcome::Sent) => "sent",
            Some(WaitOutcome::Expired) => "expired",
            None => "left",
        };
        tracing::info!(
            event = "call_waited",
            request = self.request,
            service = %self.queue.service,
            priority = %self.call.priority,
            team = self.call.team.as_ref().and_then(|share| share.team.as_ref()).map(TeamName::as_str),
            waited_ms = waited.as_millis() as u64,
            ahead = self.ahead,
            outcome
        );
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let now = self.clock.now();
        let waited = now.since(self.call.joined);
        let mut state = self.queue.state();
        let was_selected = state.take_selected(self.id).is_some();
        state.queue.remove(self.id);
        if was_selected {
            state.select_next(now);
        }
        drop(state);
        self.queue.waits.note_left(self.call.priority, self.call.joined);
        self.queue.waits.note(now, self.call.priority, waited);
        metrics::gauge!("streamfold_waiting_calls").decrement(1.0);
        let label = priority_label(self.call.priority);
        metrics::histogram!("streamfold_call_wait_seconds", "priority" => label).record(waited.as_secs_f64());
        self.log(waited);
    }
}
