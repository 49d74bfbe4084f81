//! Finds the requests that may have crashed a server.
//!
//! The load pattern: a request crashes every server that runs it, some milliseconds after it began, while other
//! requests run concurrently.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::crash_tracker::{CrashSuspect, SURVIVAL_DELAY};

/// Time after its end during which a call is still a suspect: a process crashes about 100 ms after a call began, and
/// the node learns of it one network trip later.
pub const RECENT_WINDOW: Duration = Duration::from_millis(200);
/// Number of ended calls that are remembered. A server has a few slots and works on a call for milliseconds.
const MAX_ENDED_CALLS: usize = 16;

/// An ended call.
#[derive(Debug, Clone, Copy)]
struct EndedWork {
    ended_at: Moment,
    suspect: CrashSuspect,
    is_answered: bool,
}

/// The calls of one node that a server runs or ran recently.
#[derive(Debug, Default)]
pub struct RecentWork {
    running: Vec<CrashSuspect>,
    ended: VecDeque<EndedWork>,
}

impl RecentWork {
    /// Records the start of a call.
    pub fn note_start(&mut self, suspect: CrashSuspect) {
        self.running.push(suspect);
    }

    /// Records the end of a call, and whether the server answered it.
    pub fn note_end(&mut self, now: Moment, suspect: CrashSuspect, is_answered: bool) {
        if let Some(position) = self.running.iter().position(|running| *running == suspect) {
            self.running.swap_remove(position);
        }
        if self.ended.len() == MAX_ENDED_CALLS {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedWork { ended_at: now, suspect, is_answered });
    }

    /// Distinct suspects among the running calls and the recent calls that got no answer. A content that the server has
    /// survived before is left out, since a popular content is running whenever a server crashes.
    pub fn suspects(&self, now: Moment) -> Vec<CrashSuspect> {
        let is_recent = |ended: &&EndedWork| !ended.is_answered && now.since(ended.ended_at) <= RECENT_WINDOW;
        let recent = self.ended.iter().filter(is_recent).map(|ended| ended.suspect);
        let mut suspects: Vec<CrashSuspect> = self.running.iter().copied().chain(recent).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects.retain(|suspect| !self.has_survived(now, *suspect));
        suspects
    }

    fn has_survived(&self, now: Moment, suspect: CrashSuspect) -> bool {
        let is_old = |ended: &&EndedWork| now.since(ended.ended_at) >= SURVIVAL_DELAY;
        self.ended.iter().filter(is_old).any(|ended| ended.is_answered && ended.suspect == suspect)
    }
}
