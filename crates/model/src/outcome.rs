//! How an attempt can end. Promises rest on these four and on nothing guessed.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::answer::RanState;

/// How one attempt at one server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
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
}

/// What may be said of a whole request from how its attempts ended: "not run" only if
/// every attempt certainly did not run.
pub fn settle(outcomes: impl IntoIterator<Item = AttemptOutcome>) -> RanState {
    let mut state = RanState::NotRun;
    for outcome in outcomes {
        match outcome {
            AttemptOutcome::Answered => return RanState::Ran,
            AttemptOutcome::Unknown => state = RanState::Unknown,
            AttemptOutcome::NotSent | AttemptOutcome::Refused => {}
        }
    }
    state
}
