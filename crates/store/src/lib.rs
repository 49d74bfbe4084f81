//! The platform's store, watch and VM list as traits, and the claims and
//! commit of configurations on top of the store.

pub mod claim;
pub mod commit;
pub mod store;

pub use claim::{ClaimError, ClaimRecord, RequestClaims};
pub use commit::{CommitError, CommitRequest, ConfigStore, LoadError};
pub use store::{EntityTag, ObjectStore, PutCondition, StoreError, StoredObject, VmEntry, VmList};
