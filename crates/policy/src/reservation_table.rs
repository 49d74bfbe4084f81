//! Reservations of credit for a team's refused callers, so that they retry at different times.
//!
//! The load pattern: a team sends many times its rate, so that dozens of its callers are refused at once. If all were
//! told the same retry time, at which there is credit for one of them, all others would be refused again.
//!
//! Each refusal gets the next reservation: a time at which there is credit for one more request. A retry has another
//! request id but the same content, by which it is recognized, so newcomers do not take its credit even if it comes
//! late. Callers with the same content use each other's reservations. A caller that cannot wait that long gets none.

use std::collections::VecDeque;
use std::time::Duration;

use streamfold_model::ContentId;

use crate::moment::Moment;

/// How long a reservation is held beyond its time: clients have their own retry backoff of some tenths of a second and
/// do not return before it ends.
const HELD_FOR: Duration = Duration::from_millis(400);
/// Maximum number of reservations of one team; callers cannot wait long enough for so many to be reached.
const MAX_RESERVATIONS: usize = 512;
/// The longest wait that a caller is told.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A request for credit by a caller that can use a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The content of the caller's request, by which its retry is recognized.
    pub content: ContentId,
    /// The longest time after which the caller can still retry.
    pub max_wait: Duration,
    /// Whether the pool was already asked for credit for this request.
    pub is_pool_asked: bool,
}

/// The retry time that a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationOffer {
    /// Time until there is credit for one more request.
    pub wait: Duration,
    /// Whether that credit is reserved for the caller.
    pub is_reserved: bool,
}

/// Counts of reservation outcomes since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservationCounts {
    /// Reservations that were granted.
    pub given: u32,
    /// Reservations that a caller used after their time.
    pub taken: u32,
    /// Reservations that expired unused.
    pub released: u32,
    /// Reservations whose caller returned when there was no credit, since less was earned than expected.
    pub missed: u32,
    /// Refusals without a reservation, since the caller cannot wait that long or there are too many reservations.
    pub too_far: u32,
}

/// A time at which there is credit for one more request.
#[derive(Debug, Clone, Copy)]
struct CreditReservation {
    at: Moment,
    /// The content of its caller's request.
    content: ContentId,
}

/// The reservations of one team at one node that grants credit, in order of time.
#[derive(Debug, Clone, Default)]
pub struct ReservationTable {
    reservations: VecDeque<CreditReservation>,
    counts: ReservationCounts,
}

impl ReservationTable {
    /// Drops the reservations that expired unused.
    pub fn release_expired(&mut self, now: Moment) {
        while self.reservations.front().is_some_and(|reservation| reservation.at.plus(HELD_FOR) < now) {
            self.reservations.pop_front();
            self.counts.released += 1;
        }
    }

    /// The number of reservations that fall due within a time, those that are due already included.
    pub fn count_due(&self, now: Moment, within: Duration) -> usize {
        let until = now.plus(within);
        self.reservations.partition_point(|reservation| reservation.at <= until)
    }

    /// Uses the first due reservation for this content; false if there is none.
    pub fn take_due(&mut self, now: Moment, content: ContentId) -> bool {
        let is_due = self.remove_due(now, content);
        self.counts.taken += u32::from(is_due);
        is_due
    }

    /// Removes the first due reservation for this content because there is no credit; its caller gets another one.
    pub fn miss_due(&mut self, now: Moment, content: ContentId) {
        let is_due = self.remove_due(now, content);
        self.counts.missed += u32::from(is_due);
    }

    /// Removes the first due reservation for this content; false if there is none.
    fn remove_due(&mut self, now: Moment, content: ContentId) -> bool {
        let due = self.reservations.iter().take_while(|reservation| reservation.at <= now);
        let found = due.enumerate().find(|(_, reservation)| reservation.content == content);
        found.map(|(index, _)| index).and_then(|index| self.reservations.remove(index)).is_some()
    }

    /// Makes the next reservation if the caller can wait that long. `first` is the time until there is credit if there
    /// is no reservation yet, `rate` the credit earned per second.
    pub fn offer(&mut self, now: Moment, first: Duration, rate: f64, request: &ReservationRequest) -> ReservationOffer {
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let at = self.reservations.back().map_or(now.plus(first.min(MAX_WAIT)), |last| now.max(last.at).plus(step));
        let wait = at.since(now).min(MAX_WAIT);
        let is_reserved = wait <= request.max_wait && self.reservations.len() < MAX_RESERVATIONS;
        if is_reserved {
            self.reservations.push_back(CreditReservation { at, content: request.content });
            self.counts.given += 1;
        } else {
            self.counts.too_far += 1;
        }
        ReservationOffer { wait, is_reserved }
    }

    /// The counts since the last call of this function.
    pub fn take_counts(&mut self) -> ReservationCounts {
        std::mem::take(&mut self.counts)
    }
}
