//! How an attempt can end. Promises rest on these four and on nothing guessed.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::answer::ExecutionState;

/// How one attempt at one server ended, from the most certain "not run" on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No byte of the request went to the server.
    NotSent,
    /// The server said that it did not run the request.
    Refused,
    /// The server answered; the request ran.
    Answered,
    /// Bytes went out and no answer came back: it may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// What may be said of two attempts together: the outcome that says least for certain.
    /// So a request is "not run" only if each of its attempts certainly did not run.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// What a request may be told as after attempts that together ended so.
    pub fn execution_state(self) -> ExecutionState {
        match self {
            Self::NotSent | Self::Refused => ExecutionState::NotRun,
            Self::Answered => ExecutionState::Ran,
            Self::Unknown => ExecutionState::Unknown,
        }
    }
}
