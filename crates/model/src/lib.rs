//! Data types shared by all crates: ids, units, outcomes, routes and the validated configuration.
//!
//! Nothing here does I/O.

pub mod answer;
pub mod check;
pub mod config;
pub mod document;
pub mod head;
pub mod ids;
pub mod operator;
pub mod outcome;
pub mod routing;
pub mod server;
pub mod team;
pub mod units;
pub mod url_text;

pub use answer::{ExecutionState, MissingReason, MissingShard, ProblemDetails, QueryAnswer, ShardCoverage};
pub use check::{CheckError, CheckProblem, SourceFile};
pub use config::{CallerSpec, Configuration, IndexSpec, ShardLayout, UpstreamSpec};
pub use document::{CallerPreference, ServerProtocol};
pub use head::{ConfigBundle, HeadRecord, StoredFile};
pub use ids::*;
pub use outcome::AttemptOutcome;
pub use routing::{
    AllowedRegions, CallerLimits, CrashEntry, EntryRevision, GatherSpec, NodeEntry, RouteKind, RouteSpec, RouteTable,
    RouteTarget, ServerEntry, ServiceSpec, TableError, WeightedService,
};
pub use team::{KeyDigest, TeamDirectory, TeamError, TeamKeys, TeamSpec, UsageLimit};
pub use units::{ByteSize, CallRate, CoreShare, ParseUnitError, Priority, TimeSpan};
