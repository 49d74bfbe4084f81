//! Outcomes of an attempt at a server. What callers are told about whether a request ran follows from these four only.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::answer::ExecutionState;

/// How one attempt at one server ended, ordered from certainly not run to unknown: [`Self::combine`] keeps the greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No byte of the request went to the server.
    NotSent,
    /// The server reported that it did not run the request.
    Refused,
    /// The server answered; the request ran.
    Answered,
    /// The request was sent at least in part and no answer arrived: it may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Combines the outcomes of two attempts: the less certain one wins.
    /// So a request counts as not run only if each of its attempts certainly did not run.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// The state to report for a request whose attempts combine to this outcome.
    pub fn execution_state(self) -> ExecutionState {
        match self {
            Self::NotSent | Self::Refused => ExecutionState::NotRun,
            Self::Answered => ExecutionState::Ran,
            Self::Unknown => ExecutionState::Unknown,
        }
    }
}
