//! Which priorities are let in while calls wait.
//!
//! The load pattern: a burst of less urgent requests, or servers that became slow, makes urgent calls wait so long
//! that they miss their target. Waits go up and down within a second, and what is turned away makes them short at
//! once, so the level follows only what lasts, and opens more slowly than it closes.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::Priority;

use crate::moment::Moment;

/// A wait of this share of the target is long: what is left is too little for the call's own work, the ways, and
/// the shard that waits longest.
const LONG_SHARE: f64 = 0.5;
/// One of this share is short: the answer is in time with room to spare.
const SHORT_SHARE: f64 = 0.2;
/// Waits must have been long for so long before a level is closed: a server's pause is over by then, and so are
/// its effects on the calls behind it.
const CLOSE_AFTER: Duration = Duration::from_millis(500);
/// A priority is heard of at least so often within that time; of rarer requests nobody can say that it lasts.
const LEAST_ASKS: u32 = 4;
/// Waits that came down to this share are getting better by themselves, which needs time and no further level.
const RELIEF_SHARE: f64 = 0.8;
/// Waits must have been short for so long before a level is opened again: callers that were turned away are back
/// by then, and are what it has to bear.
const OPEN_AFTER: Duration = Duration::from_secs(2);
/// The longest such time. It doubles whenever a level that was opened must be closed again soon.
const MAX_OPEN_AFTER: Duration = Duration::from_secs(16);

/// For how long a priority's waits have been long.
#[derive(Debug, Clone, Copy)]
struct LongSpell {
    since: Moment,
    last: Moment,
    asks: u32,
    /// How long they were at its beginning.
    wait: Duration,
    /// The target that they are too long for.
    target: Duration,
}

/// The priorities that are let in, by how long calls wait.
#[derive(Debug, Clone)]
pub struct PriorityLevel {
    /// Every priority that was heard of, with its present spell of long waits.
    spells: BTreeMap<Priority, Option<LongSpell>>,
    /// How many of them are closed, the least urgent first.
    closed: usize,
    /// Since when waits have been short.
    short_since: Moment,
    opened: Option<Moment>,
    open_after: Duration,
}

impl Default for PriorityLevel {
    fn default() -> Self {
        Self {
            spells: BTreeMap::new(),
            closed: 0,
            short_since: Moment::default(),
            opened: None,
            open_after: OPEN_AFTER,
        }
    }
}

impl PriorityLevel {
    /// Notes how long calls of a priority wait, as a request with a target finds it.
    pub fn note(&mut self, now: Moment, priority: Priority, target: Duration, wait: Duration) {
        let is_new = !self.spells.contains_key(&priority);
        if is_new && self.is_closed(priority) {
            self.closed += 1;
        }
        let spell = self.spells.entry(priority).or_default();
        *spell = match wait > target.mul_f64(LONG_SHARE) {
            true => Some(extend(*spell, now, wait, target)),
            // What is short for a long target may still be long for the one that the spell is of.
            false => spell.filter(|spell| spell.target < target),
        };
        if wait > target.mul_f64(SHORT_SHARE) && !self.is_closed(priority) {
            self.short_since = now;
        }
        self.open(now);
        if self.is_pressed(now, priority) {
            self.close(now);
        }
    }

    /// How many priorities of those heard of are closed.
    pub fn closed(&self) -> usize {
        self.closed
    }

    /// The least urgent priority that is let in, if any is closed.
    pub fn lowest_open(&self) -> Option<Priority> {
        let open = self.spells.len() - self.closed;
        (self.closed > 0).then(|| self.spells.keys().nth(open - 1).copied()).flatten()
    }

    /// Whether requests of a priority are turned away.
    pub fn is_closed(&self, priority: Priority) -> bool {
        self.lowest_open().is_some_and(|lowest| priority > lowest)
    }

    /// Until a closed priority may be open, if waits are short from now on.
    pub fn time_to_open(&self, now: Moment, priority: Priority) -> Duration {
        let open = self.spells.len() - self.closed;
        let before = self.spells.keys().skip(open).filter(|closed| **closed <= priority).count();
        let whole = self.open_after * u32::try_from(before.max(1)).unwrap_or(u32::MAX);
        whole.saturating_sub(now.since(self.short_since))
    }

    /// Whether waits of a priority have been long for a while, with others less urgent than it let in.
    fn is_pressed(&self, now: Moment, priority: Priority) -> bool {
        let spell = self.spells.get(&priority).copied().flatten();
        let lasts = spell.is_some_and(|spell| now.since(spell.since) >= CLOSE_AFTER && spell.asks >= LEAST_ASKS);
        let lowest = self.lowest_open().or_else(|| self.spells.keys().next_back().copied());
        lasts && lowest.is_some_and(|lowest| lowest > priority)
    }

    /// Closes the least urgent priority that is let in. All spells begin anew, so the next one is closed
    /// [`CLOSE_AFTER`] later at the earliest.
    fn close(&mut self, now: Moment) {
        let is_soon = self.opened.is_some_and(|opened| now.since(opened) < self.open_after);
        self.open_after = if is_soon { (self.open_after * 2).min(MAX_OPEN_AFTER) } else { self.base_open_after() };
        self.closed += 1;
        self.opened = None;
        self.short_since = now;
        self.spells.values_mut().for_each(|spell| *spell = None);
    }

    /// How long waits must be short before a level that is closed now is opened again, if none was opened just before:
    /// as for those that are closed already, or the shortest where none is.
    fn base_open_after(&self) -> Duration {
        if self.closed > 0 { self.open_after } else { OPEN_AFTER }
    }

    /// Opens levels again, one for each time that waits have been short.
    fn open(&mut self, now: Moment) {
        while self.closed > 0 && now.since(self.short_since) >= self.open_after {
            self.closed -= 1;
            self.short_since = self.short_since.plus(self.open_after);
            self.opened = Some(now);
        }
    }
}

/// A spell of long waits with one request more that found it so. It begins anew where nobody saw it for as long as
/// it takes to close a level, and where waits have become shorter.
fn extend(spell: Option<LongSpell>, now: Moment, wait: Duration, target: Duration) -> LongSpell {
    let lasts = |spell: &LongSpell| now.since(spell.last) < CLOSE_AFTER && wait > spell.wait.mul_f64(RELIEF_SHARE);
    let begun = spell.filter(lasts).unwrap_or(LongSpell { since: now, last: now, asks: 0, wait, target });
    LongSpell { last: now, asks: begun.asks + 1, target: begun.target.min(target), ..begun }
}
