//! What a server worked on when its process ended.
//!
//! The load pattern: a request ends the process of each server that runs it, some milliseconds after it
//! began, while other requests run beside it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::crash_tracker::{CrashSuspect, SURVIVAL_DELAY};

/// How long after its end a call may still be what ended the server: processes end some 100 ms after a call began,
/// and the node learns of it a way later.
pub const RECENT_WINDOW: Duration = Duration::from_millis(200);
/// Calls remembered after their end; a server has a few slots, and works on a call for milliseconds.
const MAX_ENDED: usize = 16;

/// A call that ended.
#[derive(Debug, Clone, Copy)]
struct EndedWork {
    at: Moment,
    suspect: CrashSuspect,
    is_answered: bool,
}

/// The calls of one node that a server works on, or worked on lately.
#[derive(Debug, Default)]
pub struct RecentWork {
    running: Vec<CrashSuspect>,
    ended: VecDeque<EndedWork>,
}

impl RecentWork {
    /// Notes that a call went out.
    pub fn note_start(&mut self, suspect: CrashSuspect) {
        self.running.push(suspect);
    }

    /// Notes that a call ended, and whether the server answered it.
    pub fn note_end(&mut self, now: Moment, suspect: CrashSuspect, is_answered: bool) {
        if let Some(position) = self.running.iter().position(|running| *running == suspect) {
            self.running.swap_remove(position);
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedWork { at: now, suspect, is_answered });
    }

    /// What it works on, or worked on lately without an answer, each once. Left out is what it has lived
    /// through before: a content that many ask for is under way whenever a server ends.
    pub fn suspects(&self, now: Moment) -> Vec<CrashSuspect> {
        let is_lately = |ended: &&EndedWork| !ended.is_answered && now.since(ended.at) <= RECENT_WINDOW;
        let lately = self.ended.iter().filter(is_lately).map(|ended| ended.suspect);
        let mut suspects: Vec<CrashSuspect> = self.running.iter().copied().chain(lately).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects.retain(|suspect| !self.has_survived(now, *suspect));
        suspects
    }

    fn has_survived(&self, now: Moment, suspect: CrashSuspect) -> bool {
        let is_long_ago = |ended: &&EndedWork| now.since(ended.at) >= SURVIVAL_DELAY;
        self.ended.iter().filter(is_long_ago).any(|ended| ended.is_answered && ended.suspect == suspect)
    }
}
