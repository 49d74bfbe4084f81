//! Requests and answers of the operators' API of a node, as JSON over HTTP.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::SourceFile;
use crate::ids::{ChangeId, ConfigVersion, FailureDomain, Incarnation, NodeId, ServerAddress, UpstreamName};

/// The body of `POST /v1/config`: a configuration to check or to apply.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The files of the configuration.
    pub files: Vec<SourceFile>,
    /// The id of the change; a retry reuses it.
    pub change: ChangeId,
    /// The version on which this change is based.
    pub expected: Option<ConfigVersion>,
    /// The operator who applies it.
    pub operator: String,
    /// The reason for the change.
    pub reason: String,
    /// Whether the configuration is only checked, not applied.
    #[serde(default)]
    pub dry_run: bool,
}

/// The result of an apply.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// The version that the change created; after a dry run, the version in force.
    pub version: ConfigVersion,
    /// Whether a version was committed.
    pub committed: bool,
}

/// Health of a node, as seen by the node that reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberHealth {
    /// Its heartbeats arrive in time.
    Live,
    /// Its heartbeats are late.
    Suspect,
    /// Its heartbeats have been missing for so long that it gets no requests.
    Dead,
}

/// A node, as seen by another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The address of its operators' API.
    pub operator_address: SocketAddr,
    /// The state that it announces: `live`, `leaving` or `gone`.
    pub state: String,
    /// Its health, as seen by the reporting node.
    pub health: MemberHealth,
    /// The configuration version that it has in force.
    pub config: ConfigVersion,
}

/// A server, as seen by one of the nodes that own connections to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its upstream.
    pub upstream: UpstreamName,
    /// Its address.
    pub server: ServerAddress,
    /// Whether there is a connection.
    pub reachable: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// The most calls that this node may have in flight.
    pub limit: u32,
    /// Open connections from this node.
    pub connections: u32,
}

/// The answer of `GET /v1/status`: the status of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it accepts requests of callers.
    pub ready: bool,
    /// The reason why it is not ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unready_cause: Option<String>,
    /// The phase of its planned stop.
    pub phase: String,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// Milliseconds since that version was last confirmed to be the newest.
    pub config_age_ms: u64,
    /// Requests and batches in flight.
    pub in_flight: usize,
    /// All known nodes.
    pub members: Vec<MemberStatus>,
    /// Servers to which it owns connections.
    pub servers: Vec<ServerStatus>,
}
