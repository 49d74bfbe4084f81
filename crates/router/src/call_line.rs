//! Calls that wait at this node for a server of one service, and which of them is called up when one may be free.
//!
//! One call at a time is called up: it takes a server, or goes back to its place, and then the next one is. A call
//! that comes meanwhile joins the line, so that nobody takes the server that a waiting call was called up for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_model::{Priority, ServiceName, TeamName};
use streamfold_policy::call_order::{CallOrder, WaitingCall};
use streamfold_policy::wait_queue::{WaitQueue, WaitingWork};
use streamfold_policy::{Moment, WaitId};
use tokio::sync::Notify;

use crate::call_waits::{CallWaits, priority_label};
use crate::clock::NodeClock;
use crate::contention::LineRule;

/// How often waiting calls look for room although no call has ended, since what servers told fades; and how long one
/// that is called up may take. Its request is usually woken within a fraction of a millisecond.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// After so many calls of one round found no server they can use, one more may look, and then none until the next
/// round: each look costs a wakeup.
const MAX_PASSED: u32 = 4;

/// A call in the line.
struct LineEntry {
    call: WaitingCall,
    wake: Arc<Notify>,
    /// The round in which it last looked for room.
    looked_in: u64,
    /// Whether it was called up and did not act; it is passed over until its request does anything again.
    is_asleep: bool,
}

type LineWork = WaitingWork<Moment, LineEntry>;

struct LineState {
    rule: LineRule,
    order: Box<dyn CallOrder>,
    /// The latest start first; the order goes before that.
    line: WaitQueue<Moment, LineEntry>,
    /// The call that is called up, and since when.
    called: Option<(LineWork, Moment)>,
    /// Counts the moments at which there may have been room anew.
    round: u64,
    passed: u32,
    /// When the present round began.
    round_began: Moment,
}

/// Calls that wait for a service.
pub struct CallLine {
    service: ServiceName,
    waits: Arc<CallWaits>,
    state: Mutex<LineState>,
}

impl LineState {
    fn is_busy(&self) -> bool {
        self.called.is_some() || !self.line.is_empty()
    }

    /// Notes that there may be room.
    fn note_room(&mut self, now: Moment) {
        self.round += 1;
        self.passed = 0;
        self.round_began = now;
        self.call_up(now);
    }

    /// Calls up the first call that has not looked in this round, if none is called up.
    fn call_up(&mut self, now: Moment) {
        if self.called.as_ref().is_some_and(|(_, since)| now.since(*since) < LOOK_AGAIN) {
            return;
        }
        if let Some((mut late, _)) = self.called.take() {
            late.item.is_asleep = true;
            self.line.requeue(late);
        }
        self.line.remove_expired(now);
        if self.passed > MAX_PASSED {
            return;
        }
        let waiting = self.line.iter().filter(|work| work.item.looked_in < self.round && !work.item.is_asleep);
        // The last one that may look is the one that has not for longest: the first in line may all be in need of the
        // same servers, and nobody behind them would ever look.
        let first = match self.passed < MAX_PASSED {
            true => waiting.min_by_key(|work| self.order.rank(now, &work.item.call)),
            false => waiting.min_by_key(|work| work.item.looked_in),
        };
        let first = first.map(|work| work.id);
        let Some(mut work) = first.and_then(|place| self.line.remove(place)) else { return };
        work.item.looked_in = self.round;
        work.item.wake.notify_one();
        self.called = Some((work, now));
    }

    /// Takes out the call that is called up, if it is the one of a place.
    fn take_called(&mut self, place: WaitId) -> Option<LineWork> {
        let (work, _) = self.called.take_if(|(work, _)| work.id == place)?;
        Some(work)
    }
}

impl CallLine {
    /// A line in which nothing waits.
    pub fn new(service: ServiceName, rule: LineRule, waits: Arc<CallWaits>) -> Arc<Self> {
        let state = LineState {
            rule,
            order: rule.order(),
            line: WaitQueue::default(),
            called: None,
            round: 1,
            passed: 0,
            round_began: Moment::default(),
        };
        Arc::new(Self { service, waits, state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts another rule in force; calls keep their places.
    pub fn set_rule(&self, rule: LineRule) {
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

    /// Calls that wait.
    pub fn len(&self) -> usize {
        let state = self.state();
        state.line.len() + usize::from(state.called.is_some())
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The present round, which a call that looks for room tells when it joins: what became free meanwhile is not
    /// missed.
    pub fn round(&self) -> u64 {
        self.state().round
    }

    /// Notes that there may be room for a call.
    pub fn note_room(&self, now: Moment) {
        self.state().note_room(now);
    }

    /// Notes that a call began without waiting.
    pub fn note_at_once(&self, now: Moment, priority: Priority) {
        self.waits.note(now, priority, Duration::ZERO);
    }

    /// Puts a call into the line that has looked for room in a round; 0 if it has not looked.
    pub fn join(self: &Arc<Self>, clock: NodeClock, call: WaitingCall, looked_in: u64, request: &str) -> CallPlace {
        let now = clock.now();
        let wake = Arc::new(Notify::new());
        let entry = LineEntry { call: call.clone(), wake: wake.clone(), looked_in, is_asleep: false };
        let mut state = self.state();
        let ahead = state.line.len() + usize::from(state.called.is_some());
        state.order.note_joined(now, &call);
        let place = state.line.push(call.latest_start, call.expires, entry);
        self.waits.note_joined(call.priority, call.joined);
        state.call_up(now);
        drop(state);
        metrics::gauge!("streamfold_waiting_calls").increment(1.0);
        CallPlace { line: self.clone(), clock, place, wake, call, ahead, request: request.to_owned(), outcome: None }
    }

    /// Lets waiting calls look for room if none has for a while.
    fn look_again(&self, now: Moment) {
        let mut state = self.state();
        if now.since(state.round_began) >= LOOK_AGAIN {
            state.note_room(now);
        }
    }
}

/// How a call's wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitOutcome {
    Sent,
    Expired,
}

/// A call's place in the line, which is given up when this is dropped.
pub struct CallPlace {
    line: Arc<CallLine>,
    clock: NodeClock,
    place: WaitId,
    wake: Arc<Notify>,
    call: WaitingCall,
    ahead: usize,
    request: String,
    outcome: Option<WaitOutcome>,
}

impl CallPlace {
    /// Waits until it is called up; `None` if it expired before.
    pub async fn wait(mut self) -> Option<Self> {
        loop {
            if self.note_awake() {
                return Some(self);
            }
            let now = self.clock.now();
            if self.call.expires <= now {
                self.outcome = Some(WaitOutcome::Expired);
                return None;
            }
            let until = now.plus(LOOK_AGAIN).min(self.call.expires);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(until)) => self.line.look_again(self.clock.now()),
            }
        }
    }

    /// Notes that its request does something, and tells whether it is called up.
    fn note_awake(&self) -> bool {
        let mut state = self.line.state();
        if let Some(entry) = state.line.get_mut(self.place) {
            entry.is_asleep = false;
        }
        drop(state);
        self.is_called()
    }

    /// Whether it is called up; one that took too long is not any more.
    pub fn is_called(&self) -> bool {
        let state = self.line.state();
        state.called.as_ref().is_some_and(|(work, _)| work.id == self.place)
    }

    /// How long its call has waited.
    pub fn waited(&self) -> Duration {
        self.clock.now().since(self.call.joined)
    }

    /// Notes that its call is made, and calls up the next one.
    pub fn note_sent(mut self) {
        let now = self.clock.now();
        self.outcome = Some(WaitOutcome::Sent);
        let mut state = self.line.state();
        // It may have been called up for so long that another one is by now.
        state.take_called(self.place);
        state.line.remove(self.place);
        state.order.note_sent(now, &self.call);
        state.call_up(now);
    }

    /// Goes back to its place, since there is no server that it can use; `has_room` tells whether there may be one for
    /// another call.
    pub fn rejoin(&self, has_room: bool) {
        let mut state = self.line.state();
        let Some(work) = state.take_called(self.place) else { return };
        let is_room_new = work.item.looked_in < state.round;
        state.line.requeue(work);
        state.passed += 1;
        if has_room || is_room_new {
            state.call_up(self.clock.now());
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
            service = %self.line.service,
            priority = %self.call.priority,
            team = self.call.team.as_ref().and_then(|share| share.team.as_ref()).map(TeamName::as_str),
            waited_ms = waited.as_millis() as u64,
            ahead = self.ahead,
            outcome
        );
    }
}

impl Drop for CallPlace {
    fn drop(&mut self) {
        let now = self.clock.now();
        let waited = now.since(self.call.joined);
        let mut state = self.line.state();
        let was_called = state.take_called(self.place).is_some();
        state.line.remove(self.place);
        if was_called {
            state.call_up(now);
        }
        drop(state);
        self.line.waits.note_left(self.call.priority, self.call.joined);
        self.line.waits.note(now, self.call.priority, waited);
        metrics::gauge!("streamfold_waiting_calls").decrement(1.0);
        let label = priority_label(self.call.priority);
        metrics::histogram!("streamfold_call_wait_seconds", "priority" => label).record(waited.as_secs_f64());
        self.log(waited);
    }
}
