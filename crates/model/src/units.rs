//! Sizes, rates, durations and CPU shares as written in settings and configuration files.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Error of parsing a value with a unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a {kind}; write it like {example}")]
pub struct ParseUnitError {
    kind: &'static str,
    text: String,
    example: &'static str,
}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    (&text[..end], text[end..].trim())
}

macro_rules! unit_text {
    ($name:ident, $kind:literal, $example:literal, $read:expr) => {
        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, ParseUnitError> {
                let (digits, unit) = split_unit(text.trim());
                let value = digits.parse::<f64>().ok().filter(|value| value.is_finite());
                let read: fn(f64, &str) -> Option<$name> = $read;
                value.and_then(|value| read(value, unit)).ok_or_else(|| ParseUnitError {
                    kind: $kind,
                    text: text.chars().take(40).collect(),
                    example: $example,
                })
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseUnitError;

            fn try_from(text: String) -> Result<Self, ParseUnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}

/// A duration, written like `250us`, `20ms` or `1.5s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(pub Duration);

/// The longest accepted duration: one day.
const MAX_SPAN_SECONDS: f64 = 86_400.0;

impl TimeSpan {
    /// Creates a duration from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}

unit_text!(TimeSpan, "span of time", "20ms or 1.5s", |value, unit| {
    let seconds = match unit {
        "us" => value / 1e6,
        "ms" => value / 1e3,
        "s" => value,
        "m" => value * 60.0,
        "h" => value * 3600.0,
        _ => return None,
    };
    (seconds <= MAX_SPAN_SECONDS).then(|| TimeSpan(Duration::from_secs_f64(seconds)))
});

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.0.as_micros();
        match micros {
            m if m % 1_000_000 == 0 => write!(f, "{}s", m / 1_000_000),
            m if m % 1_000 == 0 => write!(f, "{}ms", m / 1_000),
            m => write!(f, "{m}us"),
        }
    }
}

/// A number of bytes, written like `512B`, `64KB` or `16MB` (1 KB is 1,024 bytes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

unit_text!(ByteSize, "size", "64KB or 16MB", |value, unit| {
    let factor = match unit {
        "B" => 1.0,
        "KB" => 1024.0,
        "MB" => 1024.0 * 1024.0,
        "GB" => 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    };
    Some(ByteSize((value * factor) as u64))
});

impl ByteSize {
    /// The size as a `usize`, for comparison with lengths in memory.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const KB: u64 = 1024;
        const MB: u64 = KB * KB;
        match self.0 {
            b if b > 0 && b % MB == 0 => write!(f, "{}MB", b / MB),
            b if b > 0 && b % KB == 0 => write!(f, "{}KB", b / KB),
            b => write!(f, "{b}B"),
        }
    }
}

/// Calls per second, written like `500/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallRate(pub f64);

unit_text!(CallRate, "rate", "500/s", |value, unit| { (unit == "/s").then_some(CallRate(value)) });

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// A CPU share in thousandths of a core, written as a number of cores like `0.25`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(try_from = "String", into = "String")]
pub struct CoreShare(pub u32);

unit_text!(CoreShare, "share of a core", "0.25", |value, unit| {
    let thousandths = (value * 1e3).round();
    let is_share = unit.is_empty() && (1.0..=f64::from(u32::MAX)).contains(&thousandths);
    is_share.then_some(CoreShare(thousandths as u32))
});

impl CoreShare {
    /// How long work takes at this share, given its duration on a whole core.
    pub fn time_for(self, work: Duration) -> Duration {
        work.mul_f64(1e3 / f64::from(self.0.max(1)))
    }
}

impl fmt::Display for CoreShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", f64::from(self.0) / 1e3)
    }
}

/// The priority of a request; 0 is the highest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Priority(pub u32);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, ParseUnitError> {
        let parsed = text.trim().parse().map(Self);
        parsed.map_err(|_| ParseUnitError {
            kind: "priority",
            text: text.chars().take(40).collect(),
            example: "0 or 2",
        })
    }
}
