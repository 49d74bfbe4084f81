//! Start-time fair queueing between teams, weighted by their declared rates.
//!
//! The load pattern: one team sends many times its rate while others keep to theirs, or all send more than the servers
//! can serve. Teams below their fair share get all they request, and the others share the rest by their rates.

use std::collections::HashMap;

use streamfold_model::TeamName;

/// Virtual service time of a call of a team with a rate of one per second; large enough that the start tags of the
/// fastest teams differ too.
const CALL_COST: f64 = 1e6;
/// Minimum rate that counts, in requests per second: a team with a declared rate of zero is still scheduled.
const MIN_RATE: f64 = 1e-3;
/// Maximum number of teams with a stored start tag. At the maximum, tags in the past are dropped; if that frees none,
/// a further team's tag is not stored, and its next call is scheduled as if it were its first.
const MAX_TEAMS: usize = 1_024;

/// A team and the rate that is its weight.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamShare {
    /// The team; `None` for all callers without one, which together count as one team.
    pub team: Option<TeamName>,
    /// Its declared rate, in requests per second; `None` for a team without a limit, whose weight is the mean rate over
    /// the sent calls of teams with one.
    pub rate: Option<f64>,
}

/// The start tags of the teams whose calls wait for one service.
#[derive(Debug, Default)]
pub struct TeamScheduler {
    /// The start tag of the call that was sent last. No next start tag is before it, so that a team cannot save up
    /// service while it is idle.
    virtual_time: u64,
    /// The start tag of the next call of each team that has sent one, unless it is in the past.
    next_tags: HashMap<Option<TeamName>, u64>,
    /// The moving average of the declared rates of sent calls, in requests per second.
    mean_rate: f64,
    /// The number of calls in that average, up to [`MAX_TEAMS`].
    rated_calls: u32,
}

impl TeamScheduler {
    /// The start tag of a team's next call; the least goes first.
    pub fn start_tag(&self, share: &TeamShare) -> u64 {
        self.next_tags.get(&share.team).copied().unwrap_or_default().max(self.virtual_time)
    }

    /// Records that a team's call was sent.
    pub fn note_sent(&mut self, share: &TeamShare) {
        let start_tag = self.start_tag(share);
        self.virtual_time = start_tag;
        let rate = self.weight(share).max(MIN_RATE);
        let cost = (CALL_COST / rate).max(1.0) as u64;
        if self.next_tags.len() >= MAX_TEAMS {
            self.next_tags.retain(|_, next_tag| *next_tag > start_tag);
        }
        if self.next_tags.len() < MAX_TEAMS || self.next_tags.contains_key(&share.team) {
            self.next_tags.insert(share.team.clone(), start_tag.saturating_add(cost));
        }
    }

    /// The weight of a team; a declared rate also enters the mean.
    fn weight(&mut self, share: &TeamShare) -> f64 {
        let Some(rate) = share.rate else { return if self.rated_calls == 0 { 1.0 } else { self.mean_rate } };
        self.rated_calls = (self.rated_calls + 1).min(MAX_TEAMS as u32);
        self.mean_rate += (rate - self.mean_rate) / f64::from(self.rated_calls);
        rate
    }

    /// The number of teams with a stored start tag.
    pub fn tracked_teams(&self) -> usize {
        self.next_tags.len()
    }
}
