//! Words, ids, units, outcomes and the checked configuration of streamfold.
//!
//! Nothing here does I/O. Every other crate speaks in these types.

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

pub use answer::{MissingReason, MissingShard, ProblemDetails, QueryAnswer, RanState, ShardCoverage};
pub use check::{CheckError, CheckProblem, SourceFile};
pub use config::{CallerSpec, Configuration, IndexSpec, ShardLayout, UpstreamSpec};
pub use document::{CallerPreference, ServerProtocol};
pub use head::{ConfigBundle, HeadRecord, StoredFile};
pub use ids::*;
pub use outcome::AttemptOutcome;
pub use routing::{
    CallerLimits, CrashEntry, HomeRegions, NodeEntry, RouteKind, RouteSpec, RouteTable, RouteTarget, ServerEntry,
    ServiceSpec, ShardFold, TableError, WeightedService,
};
pub use team::{KeyDigest, TeamDirectory, TeamError, TeamKeys, TeamSpec, UsageLimit};
pub use units::{ByteSize, CallRate, CoreShare, ParseUnitError, Priority, TimeSpan};
