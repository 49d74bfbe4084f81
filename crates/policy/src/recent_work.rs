//! What a server worked on when its process ended.
//!
//! The load pattern: a request ends the process of each server that runs it, some milliseconds after it
//! began and sometimes after the answer, while other requests run beside it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;
use crate::crash_book::CrashSuspect;

/// How long after its end a call may still be what ended the server: servers were seen to end 4 to 90 ms
/// after a call began (traces of a recorded day), and the node learns of it a way later.
pub const LATELY: Duration = Duration::from_millis(200);
/// Calls remembered after their end; a server has a few slots, and works on a call for milliseconds.
const MAX_ENDED: usize = 16;

/// The calls of one node that a server works on, or worked on lately.
#[derive(Debug, Default)]
pub struct RecentWork {
    running: Vec<CrashSuspect>,
    ended: VecDeque<(Moment, CrashSuspect)>,
}

impl RecentWork {
    /// Notes that a call went out.
    pub fn note_start(&mut self, suspect: CrashSuspect) {
        self.running.push(suspect);
    }

    /// Notes that a call ended, however it did.
    pub fn note_end(&mut self, now: Moment, suspect: CrashSuspect) {
        if let Some(position) = self.running.iter().position(|running| *running == suspect) {
            self.running.swap_remove(position);
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((now, suspect));
    }

    /// What it works on or worked on lately, each once.
    pub fn suspects(&self, now: Moment) -> Vec<CrashSuspect> {
        let ended = self.ended.iter().filter(|(at, _)| now.since(*at) <= LATELY).map(|(_, suspect)| *suspect);
        let mut suspects: Vec<CrashSuspect> = self.running.iter().copied().chain(ended).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}
