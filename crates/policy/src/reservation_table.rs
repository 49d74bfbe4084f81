//! Who of a team's refused callers returns when.
//!
//! The load pattern: a team sends many times its rate, so that dozens of its callers are refused within one moment.
//! Told the same time, at which there is credit for one of them, all others come back for nothing.
//!
//! Each refusal takes the next place, a time at which one request more has credit. A caller's next try has another id,
//! but asks for the same: by that it is known, so newcomers leave its credit to it though it comes late. Callers that
//! ask for the same take each other's places. A caller that cannot wait so long takes none.

use std::collections::VecDeque;
use std::time::Duration;

use streamfold_model::ContentId;

use crate::moment::Moment;

/// How long a place is kept beyond its time: callers have pauses of their own of some tenths of a second, and come no
/// sooner than those end.
const KEPT_FOR: Duration = Duration::from_millis(400);
/// Places of one team that are kept; callers' waits end far before so many are reached.
const MAX_PLACES: usize = 512;
/// The longest wait that is told.
const LONGEST: Duration = Duration::from_secs(60);

/// How credit is asked for by a caller that returns at its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationRequest {
    /// What it asks for.
    pub content: ContentId,
    /// How long it can wait to return.
    pub max_wait: Duration,
    /// Whether the pool was asked already.
    pub is_pool_asked: bool,
}

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationOffer {
    /// Until one request more has credit.
    pub wait: Duration,
    /// Whether that credit is kept for a caller that comes then.
    pub is_reserved: bool,
}

/// What became of places since it was last asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservationCounts {
    /// Handed out.
    pub given: u32,
    /// Taken by who came at the time.
    pub taken: u32,
    /// Over, without anybody coming.
    pub released: u32,
    /// Met by somebody when there was no credit, since less came in than was expected.
    pub missed: u32,
    /// Not handed out, since the caller cannot wait so long, or too many places are kept already.
    pub too_far: u32,
}

/// A time at which one request more has credit.
#[derive(Debug, Clone, Copy)]
struct TurnPlace {
    at: Moment,
    /// What its caller asks for.
    content: ContentId,
}

/// The places of one team at one giver of credit, in the order of their times.
#[derive(Debug, Clone, Default)]
pub struct ReservationTable {
    places: VecDeque<TurnPlace>,
    counts: ReservationCounts,
}

impl ReservationTable {
    /// Gives up the places that nobody came for.
    pub fn release(&mut self, now: Moment) {
        while self.places.front().is_some_and(|place| place.at.plus(KEPT_FOR) < now) {
            self.places.pop_front();
            self.counts.released += 1;
        }
    }

    /// How many places fall due within a span; those that are due now are among them.
    pub fn count_due(&self, now: Moment, within: Duration) -> usize {
        let until = now.plus(within);
        self.places.partition_point(|place| place.at <= until)
    }

    /// Takes the first place that is due for a caller that asks for this, if there is one.
    pub fn take_due(&mut self, now: Moment, content: ContentId) -> bool {
        let is_due = self.drop_due(now, content);
        self.counts.taken += u32::from(is_due);
        is_due
    }

    /// Takes it though there is no credit: its caller gets another one.
    pub fn miss_due(&mut self, now: Moment, content: ContentId) {
        let is_due = self.drop_due(now, content);
        self.counts.missed += u32::from(is_due);
    }

    fn drop_due(&mut self, now: Moment, content: ContentId) -> bool {
        let due = self.places.iter().take_while(|place| place.at <= now);
        let found = due.enumerate().find(|(_, place)| place.content == content);
        found.map(|(index, _)| index).and_then(|index| self.places.remove(index)).is_some()
    }

    /// The next place for a caller that can wait so long. `first` is when there is credit if nobody waits for it,
    /// `rate` how much comes in a second.
    pub fn offer(&mut self, now: Moment, first: Duration, rate: f64, ask: &ReservationRequest) -> ReservationOffer {
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST).min(LONGEST);
        let place = self.places.back().map_or(now.plus(first.min(LONGEST)), |last| now.max(last.at).plus(step));
        let wait = place.since(now).min(LONGEST);
        let is_reserved = wait <= ask.max_wait && self.places.len() < MAX_PLACES;
        if is_reserved {
            self.places.push_back(TurnPlace { at: place, content: ask.content });
            self.counts.given += 1;
        } else {
            self.counts.too_far += 1;
        }
        ReservationOffer { wait, is_reserved }
    }

    /// What became of places since this was last called.
    pub fn take_counts(&mut self) -> ReservationCounts {
        std::mem::take(&mut self.counts)
    }
}
