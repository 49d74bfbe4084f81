//! Claims of the idempotency keys that callers choose. A claim is one put-if-absent, made before the request may run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use streamfold_model::{AttemptId, CallerName, ContentDigest, RequestId};

use crate::store::{ObjectStore, PutCondition, StoreError};

/// The most attempts to read back a claim after a conflict or a lost answer.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Pause between these attempts.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// The stored claim of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The only attempt that may run.
    pub attempt: AttemptId,
    /// The request it belongs to.
    pub request: RequestId,
    /// Wall-clock time of the claim in milliseconds since 1970, for the cleanup of old claims.
    pub time_ms: u64,
}

/// Error of claiming a key. After any error the attempt must never run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Another attempt holds the key; its outcome is not known.
    #[error("the key is already taken")]
    Taken,
    /// The store failed, or it is not certain that the claim was written.
    #[error("the key could not be claimed: {0}")]
    Store(StoreError),
}

/// Claims idempotency keys in the platform's store.
#[derive(Clone)]
pub struct RequestClaims {
    store: Arc<dyn ObjectStore>,
}

impl RequestClaims {
    /// Creates the claims on top of a store.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Claims the key of a caller for one attempt.
    ///
    /// # Errors
    /// Any error means that the attempt does not hold the key and must not run.
    pub async fn claim(&self, caller: &CallerName, key: &str, record: &ClaimRecord) -> Result<(), ClaimError> {
        let store_key = claim_key(caller, key);
        let body = serde_json::to_vec(record).map_err(|_| ClaimError::Store(StoreError::Unencodable("claim")))?;
        match self.store.put(&store_key, Bytes::from(body), PutCondition::IfAbsent).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict) => self.read_back(&store_key, record).await,
            Err(error) if error.may_have_written() => self.read_back(&store_key, record).await,
            Err(error) => Err(ClaimError::Store(error)),
        }
    }

    /// Reads which attempt holds the key. If there is no claim, the attempt must not run either, since its write may
    /// still be in flight.
    async fn read_back(&self, store_key: &str, record: &ClaimRecord) -> Result<(), ClaimError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            match self.store.get(store_key).await {
                Ok(Some(object)) => {
                    let claim: Option<ClaimRecord> = serde_json::from_slice(&object.body).ok();
                    let is_own = claim.is_some_and(|claim| claim.attempt == record.attempt);
                    return if is_own { Ok(()) } else { Err(ClaimError::Taken) };
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
