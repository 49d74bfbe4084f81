//! Claims of callers' own keys: one put-if-absent each, before the request may run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use streamfold_model::{AttemptId, CallerName, ContentDigest, RequestId};

use crate::store::{ObjectStore, PutCondition, StoreError};

/// Tries to read back a claim whose answer was lost.
const READ_TRIES: u32 = 3;
/// Pause between them.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The one attempt that may run.
    pub attempt: AttemptId,
    /// The request it belongs to.
    pub request: RequestId,
    /// Wall-clock time, milliseconds since 1970, for the sweep of old claims.
    pub time_ms: u64,
}

/// Why a key could not be claimed. In every case the attempt must never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Another attempt holds the key; what became of it is not known here.
    #[error("the key is already taken")]
    Taken,
    /// The store is down or the claim is not certain.
    #[error("the key could not be claimed: {0}")]
    Store(StoreError),
}

/// Claims in the platform's store.
#[derive(Clone)]
pub struct RequestClaims {
    store: Arc<dyn ObjectStore>,
}

impl RequestClaims {
    /// Claims in this store.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Claims a caller's key for one attempt.
    ///
    /// # Errors
    /// Any error means that the attempt does not hold the key and must not run.
    pub async fn claim(&self, caller: &CallerName, key: &str, record: &ClaimRecord) -> Result<(), ClaimError> {
        let place = claim_key(caller, key);
        let body = serde_json::to_vec(record).map_err(|_| ClaimError::Store(StoreError::BadStatus(0)))?;
        match self.store.put(&place, Bytes::from(body), PutCondition::IfAbsent).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict) => self.read_back(&place, record).await,
            Err(error) if error.may_have_written() => self.read_back(&place, record).await,
            Err(error) => Err(ClaimError::Store(error)),
        }
    }

    /// Reads who holds the key. Finding no claim is not enough: the write may still be on
    /// its way, so the attempt gives up all the same.
    async fn read_back(&self, place: &str, record: &ClaimRecord) -> Result<(), ClaimError> {
        for _ in 0..READ_TRIES {
            match self.store.get(place).await {
                Ok(Some(object)) => {
                    let held: Option<ClaimRecord> = serde_json::from_slice(&object.body).ok();
                    let is_ours = held.is_some_and(|held| held.attempt == record.attempt);
                    return if is_ours { Ok(()) } else { Err(ClaimError::Taken) };
                }
                Ok(None) => return Err(ClaimError::Store(StoreError::AnswerLost)),
                Err(_) => tokio::time::sleep(READ_PAUSE).await,
            }
        }
        Err(ClaimError::Store(StoreError::AnswerLost))
    }
}

fn claim_key(caller: &CallerName, key: &str) -> String {
    let mut bytes = caller.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    format!("claims/{}", ContentDigest::of(&bytes))
}
