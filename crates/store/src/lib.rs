//! Interfaces to the platform's object store and VM list, and on top of the store the claims of idempotency keys and
//! the commits of configurations.

pub mod claim;
pub mod commit;
pub mod store;

pub use claim::{ClaimError, ClaimRecord, RequestClaims};
pub use commit::{CommitError, CommitRequest, ConfigStore, LoadError};
pub use store::{EntityTag, ObjectStore, PutCondition, StoreError, StoredObject, VmEntry, VmList};
