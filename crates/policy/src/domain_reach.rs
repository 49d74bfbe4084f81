//! Whether another failure domain can be reached at all.
//!
//! The load pattern: a failure domain loses its power, or is cut off from the others, while requests
//! to hundreds of its servers run and begin. Each server by itself looks paused, and learning that of
//! one after the other takes every request its whole time. Servers pause independently of each other,
//! so that several of them are overdue while nothing at all is heard from there tells more than any one.
//! With it 53 requests of two cuts of 4 and 5 s were not held until their callers' deadline any more, and
//! 68 were refused before they ran (a replay of 34 s with 60 nodes, once before and once after).

use std::time::Duration;

use crate::moment::Moment;

/// So many servers or nodes must be overdue: each of them pauses a few hundredths of the time, so that
/// three at once that nothing else answers beside are no chance.
const SILENT_ENOUGH: usize = 3;
/// The same while another failure domain is dark already: then it is likely that this node itself is
/// cut off, and requests that need one of the others should not have to find each of them out.
const SILENT_BESIDE_DARK: usize = 2;
/// Nothing must be heard for so long since the first of the calls began: a first call to another region,
/// with its connection, takes some 60 ms where one way there takes 12.
pub const MIN_SILENCE: Duration = Duration::from_millis(100);
/// Those that are silent count together for so long: where a failure domain is lost, whatever was asked
/// there is overdue within this time. Calls that were given up meanwhile leave nothing for later.
const COUNTED_FOR: Duration = Duration::from_millis(500);
/// For how long a failure domain that fell silent is taken for dark before requests try it again:
/// the first span, and the longest; each further one in a row doubles it.
const FIRST_DARK: Duration = Duration::from_millis(300);
const MAX_DARK: Duration = Duration::from_secs(2);
/// Where a node there was asked for a sign of life in vain it stays dark for so long: until the answer
/// to the next question or the one after it.
const HOLD: Duration = Duration::from_millis(800);

/// What else a node believes while something is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceContext {
    /// Nothing of note.
    NoneUnreachable,
    /// Another failure domain is dark.
    OtherUnreachable,
}

impl SilenceContext {
    fn enough(self) -> usize {
        match self {
            Self::NoneUnreachable => SILENT_ENOUGH,
            Self::OtherUnreachable => SILENT_BESIDE_DARK,
        }
    }
}

/// What a node believes of the way to another failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainReach {
    /// When anything was heard from there last.
    heard: Moment,
    /// Those that are overdue since.
    silent: Vec<String>,
    /// When the first of their calls began.
    silent_since: Moment,
    dark_from: Moment,
    dark_until: Moment,
    spans: u32,
}

impl DomainReach {
    /// Notes that anything was heard from there: an answer, a refusal, a connection that came up.
    pub fn note_contact(&mut self, now: Moment) {
        self.heard = self.heard.max(now);
        self.silent.clear();
        self.dark_until = Moment::default();
        self.spans = 0;
    }

    /// Notes that a server or node there is overdue with a call that began at a moment; whether the
    /// failure domain is taken for dark by that, unless it is heard until [`MIN_SILENCE`] is over.
    pub fn note_overdue(&mut self, now: Moment, started: Moment, who: &str, context: SilenceContext) -> bool {
        if now.since(self.silent_since) > COUNTED_FOR {
            self.silent.clear();
        }
        if now < self.dark_until || started <= self.heard || self.silent.iter().any(|silent| silent == who) {
            return false;
        }
        self.silent_since = if self.silent.is_empty() { started } else { self.silent_since.min(started) };
        self.silent.push(who.to_owned());
        if self.silent.len() < context.enough() {
            return false;
        }
        let span = FIRST_DARK * 2u32.pow(self.spans.min(5));
        self.dark_from = self.silent_since.plus(MIN_SILENCE).max(now);
        self.dark_until = self.dark_from.plus(span.min(MAX_DARK));
        self.spans += 1;
        self.silent.clear();
        true
    }

    /// Notes that a node there was asked for a sign of life in vain. So one that was dark stays so without
    /// a request that tries it; one that is not tells nothing by that, since its other nodes may live.
    pub fn note_probe_failure(&mut self, now: Moment) {
        if self.is_unreachable(now) {
            self.dark_until = self.dark_until.max(now.plus(HOLD));
        }
    }

    /// Whether anything was heard from there within a span.
    pub fn had_contact_within(&self, now: Moment, span: Duration) -> bool {
        self.heard > Moment::default() && now.since(self.heard) < span
    }

    /// Whether nothing there is believed to answer now.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.dark_from <= now && now < self.dark_until
    }
}
