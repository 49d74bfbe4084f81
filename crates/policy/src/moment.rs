//! Time as the decisions see it: microseconds since the node started.

use std::time::Duration;

/// A point in time of one node's own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment a span later.
    pub fn plus(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The moment a span earlier; the start of the node at the earliest.
    pub fn minus(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// The span since an earlier moment; zero if it is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
