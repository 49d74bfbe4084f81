//! Whose turn it is among teams: start-time fair queueing, weighted by their declared rates.
//!
//! The load pattern: one team sends many times its rate beside others that keep to theirs, or all send more than servers
//! can do. Teams below their part get all they ask for, and the others share what is left by their rates.

use std::collections::HashMap;

use streamfold_model::TeamName;

/// What a call of a team with a rate of one a second counts, so that the turns of the fastest teams differ too.
const TURN_UNIT: f64 = 1e6;
/// The least rate that counts, a second: one that is declared as nothing still gets a turn.
const LEAST_RATE: f64 = 1e-3;
/// Teams remembered at most. When there are so many, those whose turn is past are forgotten; if that frees none, a
/// further team is not remembered, and its next call goes as if it had had no turn.
const MAX_TEAMS: usize = 1_024;

/// A team and the rate by which it shares.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamShare {
    /// The team; `None` for all callers without one, who share as one team does.
    pub team: Option<TeamName>,
    /// Its declared rate, in requests a second; `None` for one without a limit, which counts with the mean
    /// rate of the calls that were made of teams with one.
    pub rate: Option<f64>,
}

/// The turns of teams that wait for one service.
#[derive(Debug, Default)]
pub struct TeamScheduler {
    /// The turn of the call that was made last: nobody's next turn is before it, so that who asked for little while it
    /// was quiet has no claims later.
    present: u64,
    /// The next turn of teams that have had one, where it is not past.
    next: HashMap<Option<TeamName>, u64>,
    /// The mean declared rate of calls made, in requests a second; the newest calls count most.
    mean_rate: f64,
    /// How many calls that rests on, up to [`MAX_TEAMS`].
    rated_calls: u32,
}

impl TeamScheduler {
    /// The turn of a team's next call; the least goes first.
    pub fn turn(&self, share: &TeamShare) -> u64 {
        self.next.get(&share.team).copied().unwrap_or_default().max(self.present)
    }

    /// Notes that a team's call was made.
    pub fn note_sent(&mut self, share: &TeamShare) {
        let turn = self.turn(share);
        self.present = turn;
        let rate = self.weigh(share).max(LEAST_RATE);
        let step = (TURN_UNIT / rate).max(1.0) as u64;
        if self.next.len() >= MAX_TEAMS {
            self.next.retain(|_, next| *next > turn);
        }
        if self.next.len() < MAX_TEAMS || self.next.contains_key(&share.team) {
            self.next.insert(share.team.clone(), turn.saturating_add(step));
        }
    }

    fn weigh(&mut self, share: &TeamShare) -> f64 {
        let Some(rate) = share.rate else { return if self.rated_calls == 0 { 1.0 } else { self.mean_rate } };
        self.rated_calls = (self.rated_calls + 1).min(MAX_TEAMS as u32);
        self.mean_rate += (rate - self.mean_rate) / f64::from(self.rated_calls);
        rate
    }

    /// Teams that are remembered.
    pub fn remembered(&self) -> usize {
        self.next.len()
    }
}
