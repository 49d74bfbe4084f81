//! Who of a team's refused callers returns when.
//!
//! The load pattern: a team sends many times its rate, so that dozens of its callers are refused within one moment.
//! Told the same time, at which there is credit for one of them, all others come back for nothing.
//!
//! Each refusal takes the next place, a time at which one request more has credit. No caller is remembered: who comes
//! while a place is due takes it. A caller that cannot wait so long takes none.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;

/// How long a place is kept beyond its time: the way of the refusal and of the new request, whose connection is new,
/// and processors that are busy.
const KEPT_FOR: Duration = Duration::from_millis(150);
/// Who comes sooner after a place's time than this was not told it: the refusal and the new request go their ways, a
/// millisecond each at least.
const SHORTEST_RETURN: Duration = Duration::from_millis(2);
/// Places of one team that are kept; callers' waits end far before so many are reached.
const MAX_PLACES: usize = 512;
/// The longest wait that is told.
const LONGEST: Duration = Duration::from_secs(60);

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceOffer {
    /// Until one request more has credit.
    pub wait: Duration,
    /// Whether that credit is kept for a caller that comes then.
    pub is_given: bool,
}

/// What became of places since it was last asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceCounts {
    /// Handed out.
    pub given: u32,
    /// Taken by who came at the time.
    pub taken: u32,
    /// Over, without anybody coming.
    pub released: u32,
    /// Met by somebody when there was no credit, since less came in than was expected.
    pub missed: u32,
    /// Not handed out, since the caller cannot wait so long.
    pub too_far: u32,
}

/// The places of one team at one giver of credit, in the order of their times.
#[derive(Debug, Clone, Default)]
pub struct TurnBook {
    places: VecDeque<Moment>,
    counts: PlaceCounts,
}

impl TurnBook {
    /// Gives up the places that nobody came for.
    pub fn release(&mut self, now: Moment) {
        while self.places.front().is_some_and(|place| place.plus(KEPT_FOR) < now) {
            self.places.pop_front();
            self.counts.released += 1;
        }
    }

    /// How many places fall due within a span; those that are due now are among them.
    pub fn count_due(&self, now: Moment, within: Duration) -> usize {
        let until = now.plus(within);
        self.places.partition_point(|place| *place <= until)
    }

    /// Takes the first place if it was due for who came at that moment.
    pub fn take_due(&mut self, came: Moment) -> bool {
        let is_due = self.drop_due(came);
        self.counts.taken += u32::from(is_due);
        is_due
    }

    /// Takes the first place if it was due, though there is no credit: its caller gets another one.
    pub fn miss_due(&mut self, came: Moment) {
        let is_due = self.drop_due(came);
        self.counts.missed += u32::from(is_due);
    }

    fn drop_due(&mut self, came: Moment) -> bool {
        let is_due = self.places.front().is_some_and(|place| place.plus(SHORTEST_RETURN) <= came);
        is_due && self.places.pop_front().is_some()
    }

    /// The next place for a caller that can wait so long. `first` is when there is credit if nobody waits for it,
    /// `rate` how much comes in a second.
    pub fn offer(&mut self, now: Moment, first: Duration, rate: f64, usable: Duration) -> PlaceOffer {
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(LONGEST).min(LONGEST);
        let place = self.places.back().map_or(now.plus(first.min(LONGEST)), |last| now.max(*last).plus(step));
        let wait = place.since(now).min(LONGEST);
        let is_given = wait <= usable && self.places.len() < MAX_PLACES;
        if is_given {
            self.places.push_back(place);
            self.counts.given += 1;
        } else {
            self.counts.too_far += 1;
        }
        PlaceOffer { wait, is_given }
    }

    /// What became of places since this was last called.
    pub fn take_counts(&mut self) -> PlaceCounts {
        std::mem::take(&mut self.counts)
    }
}
