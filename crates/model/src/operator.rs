//! What operators send to a node and get from it, as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::SourceFile;
use crate::ids::{ChangeId, ConfigVersion, FailureDomain, Incarnation, NodeId, ServerAddress, UpstreamName};

/// A configuration to check or to apply: the body of `POST /v1/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Its files.
    pub files: Vec<SourceFile>,
    /// The change's id; a retry keeps it.
    pub change: ChangeId,
    /// The version this change was made against.
    pub expected: Option<ConfigVersion>,
    /// Who applies it.
    pub operator: String,
    /// Why.
    pub reason: String,
    /// Only check.
    #[serde(default)]
    pub dry_run: bool,
}

/// What became of an apply.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The version the change made; after a dry run, the one in force.
    pub version: ConfigVersion,
    /// Whether something was committed.
    pub committed: bool,
}

/// How live a node looks to the one that tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberHealth {
    /// Its heartbeats come.
    Live,
    /// Its heartbeats are late.
    Suspect,
    /// Its heartbeats have been missing so long that it gets no work.
    Dead,
}

/// A node as another node sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where its operators' port is.
    pub operator_address: SocketAddr,
    /// `live`, `leaving` or `gone`, as it says itself.
    pub state: String,
    /// How live it looks.
    pub health: MemberHealth,
    /// The configuration it has in force.
    pub config: ConfigVersion,
}

/// A server as one of its owners sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub server: ServerAddress,
    /// Whether there is a connection.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Calls running.
    pub in_flight: u32,
    /// Calls that may run.
    pub limit: u32,
    /// Connections open.
    pub connections: u32,
}

/// One node's status: the answer of `GET /v1/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it takes callers' work.
    pub ready: bool,
    /// Why not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unready_cause: Option<String>,
    /// How far a planned stop has come.
    pub phase: String,
    /// The configuration in force.
    pub config_version: ConfigVersion,
    /// Milliseconds since that was last known to be the newest.
    pub config_age_ms: u64,
    /// Requests and batches in flight.
    pub in_flight: usize,
    /// All nodes it knows.
    pub members: Vec<MemberStatus>,
    /// Servers it owns.
    pub servers: Vec<ServerStatus>,
}
