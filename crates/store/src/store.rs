//! Interfaces to the platform. To support another store, implement these traits for it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use streamfold_model::{FailureDomain, NodeId};

/// The largest value that the platform stores, in bytes.
pub const MAX_OBJECT_LEN: usize = 1 << 20;

/// A boxed future, so that the traits can be used as trait objects.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The entity tag of a stored value, as in RFC 9110 section 8.8.3.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntityTag(pub String);

/// A stored value with its entity tag.
#[derive(Debug, Clone)]
pub struct StoredObject {
    /// Its tag.
    pub tag: EntityTag,
    /// Its bytes.
    pub body: Bytes,
}

/// The condition of a write.
#[derive(Debug, Clone)]
pub enum PutCondition {
    /// Write only if there is no value yet.
    IfAbsent,
    /// Write only if the value still has this tag.
    IfMatch(EntityTag),
}

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The condition of the write did not hold; nothing was written.
    #[error("the stored value is not the expected one")]
    Conflict,
    /// The platform could not be reached; nothing was written.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The platform temporarily refuses calls; nothing was written.
    #[error("the platform is unavailable (status {0})")]
    Unavailable(u16),
    /// The answer was lost; a write may have taken effect.
    #[error("the platform's answer was lost")]
    AnswerLost,
    /// The connection failed before an answer arrived; a write may have taken effect.
    #[error("the connection to the platform broke")]
    ConnectionBroken,
    /// The answer is longer than accepted, or there is no memory left for it; a write may have taken effect.
    #[error("the platform's answer is too long")]
    AnswerTooLong,
    /// The value is over [`MAX_OBJECT_LEN`]; nothing was written.
    #[error("the value of {0} bytes is larger than the platform holds")]
    TooLarge(usize),
    /// The call cannot be encoded; nothing was sent.
    #[error("a {0} that cannot be encoded")]
    Unencodable(&'static str),
    /// The platform no longer keeps the changes since the requested revision.
    #[error("the platform no longer keeps the changes since that revision")]
    HistoryGone,
    /// The platform's answer cannot be parsed; a write may have taken effect.
    #[error("the platform's answer cannot be read: {0}")]
    Malformed(String),
    /// The platform answered with a status that is not part of its protocol; a write may have taken effect.
    #[error("the platform answered status {0}")]
    BadStatus(u16),
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(
            self,
            Self::AnswerLost | Self::ConnectionBroken | Self::AnswerTooLong | Self::BadStatus(_) | Self::Malformed(_)
        )
    }
}

/// The platform's object store, with conditional writes and watches.
pub trait ObjectStore: Send + Sync {
    /// Reads a value.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>>;

    /// Writes a value under a condition.
    fn put<'a>(&'a self, key: &'a str, body: Bytes, condition: PutCondition) -> StoreFuture<'a, EntityTag>;

    /// Deletes a value; succeeds if there is none.
    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()>;

    /// Lists the keys that start with a prefix, in order.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>>;

    /// Waits until the tag of the value differs from `known`; `None` if it does not within `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: Option<EntityTag>,
        wait: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>>;
}

/// An entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The node on the VM.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The address on which the node listens for other nodes.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of VMs, which lags behind the actual state.
pub trait VmList: Send + Sync {
    /// Returns the VMs of the system, including those about to be removed.
    fn vms(&self) -> StoreFuture<'_, Vec<VmEntry>>;
}
