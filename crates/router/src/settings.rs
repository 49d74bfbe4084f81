//! Settings of a router, read from a YAML file that the platform may extend.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use streamfold_model::{ByteSize, CoreShare, FailureDomain, NodeId, RegionName, TimeSpan};
use streamfold_policy::{Mechanism, MechanismSet};

use crate::interface::FeedTopic;
use crate::machine_limits::MachineLimits;

/// The time within which changes of a topic must be known for which no setting states one, as a multiple of
/// `silence_within`. Such changes are not urgent.
const UNSTATED_BOUND_FACTOR: u32 = 2;

/// Settings of one node as in the file. Unknown settings are ignored, since the platform may add others.
#[derive(Debug, Clone, Deserialize)]
pub struct RouterSettings {
    /// This node's name.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The region of each failure domain.
    #[serde(default)]
    pub regions: HashMap<FailureDomain, RegionName>,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address on which other nodes connect.
    pub peers: SocketAddr,
    /// The address on which counters and latency histograms are served.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub platform: SocketAddr,
    /// CPU cores of the machine.
    #[serde(default)]
    pub cores: Option<f64>,
    /// The share of them that this process may use.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Memory of the machine. Without it, what the system reports.
    #[serde(default)]
    pub memory: Option<ByteSize>,
    /// File descriptors that the process may open. Without it, the limit that the system has set.
    #[serde(default)]
    pub max_files: Option<u32>,
    /// Addresses of some nodes, for a start while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that no node has spent any of a budget yet.
    #[serde(default)]
    pub first_start: bool,
    /// The limits on extra calls to a service, for all nodes together.
    pub extra_calls: ExtraCalls,
    /// How long the platform waits between asking a process to stop and killing it.
    #[serde(default = "default_grace")]
    pub grace: TimeSpan,
    /// How long a node of the failure domain must be unreachable until its entry is removed.
    #[serde(default = "default_gone_after")]
    pub gone_after: TimeSpan,
    /// How long a node may hear nothing of other nodes and of contents that crash servers until it asks the store. A
    /// connection to the store may become silent for good without a reset, even while keep-alive probes are answered.
    #[serde(default = "default_silence_within")]
    pub silence_within: TimeSpan,
    /// How soon a confirmed change of the routes must be in force at every node.
    #[serde(default = "default_routes_within")]
    pub routes_within: TimeSpan,
    /// How soon a server that leaves must receive no more requests.
    #[serde(default = "default_drained_within")]
    pub drained_within: TimeSpan,
    /// How soon the servers of an evacuated failure domain must receive no more requests. Without it the deployment has
    /// no evacuations, and they are not read from the store.
    #[serde(default)]
    pub evacuated_within: Option<TimeSpan>,
    /// Calls that a cold server may receive from all nodes together beyond what its service declares. Without it calls
    /// to cold servers are not limited.
    #[serde(default)]
    pub cold_calls: Option<ColdCallSettings>,
    /// How callers' API keys are treated while the store cannot be followed. Without it keys stay valid as last known.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// Requests that teams may send beyond their limits, for all nodes together. Without it limits apply as they are
    /// declared.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// Maximum one-way network latency from a caller to this node. The first request on a new connection counts as
    /// started twice this time before the connection was accepted. Without it the request counts as started when it was
    /// read.
    #[serde(default)]
    pub caller_way: Option<TimeSpan>,
    /// Scheduling decisions for a deployment whose callers compete for capacity. Without it none is made.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Whether refused callers of a team get reservations for their retries, if scheduling is by team. Meant for teams
    /// that exceed their limits for a moment. If a team exceeds them for seconds, new callers are refused in favour of
    /// callers that are already late.
    #[serde(default)]
    pub return_turns: bool,
    /// Mechanisms that are not used, so that the value of each can be measured.
    #[serde(default, deserialize_with = "read_mechanisms")]
    pub without: Vec<Mechanism>,
    /// Log filter.
    #[serde(default = "default_log")]
    pub log: String,
}

fn read_mechanisms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Mechanism>, D::Error> {
    let names = Vec::<String>::deserialize(deserializer)?;
    names.iter().map(|name| name.parse().map_err(serde::de::Error::custom)).collect()
}

impl RouterSettings {
    /// The mechanisms in use.
    pub fn mechanisms(&self) -> MechanismSet {
        let unselected = (!self.scheduling.by_pace).then_some(Mechanism::MeasuredPace);
        let without: Vec<Mechanism> = self.without.iter().copied().chain(unselected).collect();
        MechanismSet::without(&without)
    }

    /// The CPU capacity of this node, if the settings contain it.
    pub fn core_share(&self) -> Option<CoreShare> {
        let cores = self.cores? * self.cpu_share?;
        (cores.is_finite() && cores > 0.0).then_some(CoreShare((cores * 1e3) as u32))
    }

    /// What the machine gives this process.
    pub fn machine(&self) -> MachineLimits {
        MachineLimits::new(self.memory, self.max_files)
    }

    /// How soon a change of a topic must be known at this node.
    pub fn known_within(&self, topic: FeedTopic) -> Duration {
        match topic {
            // Keys stand in the same document as the routes.
            FeedTopic::Routes => self.keys.map_or(self.routes_within.0, |keys| keys.within.0.min(self.routes_within.0)),
            FeedTopic::Servers => self.drained_within.0,
            FeedTopic::Evacuations => self.evacuated_within.unwrap_or(self.silence_within).0,
            FeedTopic::Nodes | FeedTopic::Crashes => self.silence_within.0 * UNSTATED_BOUND_FACTOR,
        }
    }

    /// Whether a node with these settings would have the same name, failure domain, ports and store.
    pub fn has_same_identity(&self, other: &Self) -> bool {
        let identity = |settings: &Self| (settings.node.clone(), settings.failure_domain.clone());
        let ports = |settings: &Self| [settings.callers, settings.ready, settings.peers, settings.metrics];
        identity(self) == identity(other) && ports(self) == ports(other) && self.platform == other.platform
    }
}

/// Which scheduling decisions are made when capacity is short. Each also depends on a configuration that requires it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulingSettings {
    /// By priority, if routes or teams of different priorities use one service.
    #[serde(default)]
    pub by_priority: bool,
    /// By team, if teams have limits.
    #[serde(default)]
    pub by_team: bool,
    /// By the measured pace of servers, for shards that have at least three servers or had them until some left.
    #[serde(default)]
    pub by_pace: bool,
}

/// The limits on calls beyond the first of each request, for all nodes together.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ExtraCalls {
    /// As a fraction of the requests for the service.
    pub ratio: f64,
    /// The window in which they are counted.
    pub window: TimeSpan,
    /// Number of calls allowed in each window beyond the fraction.
    pub allowance: f64,
}

/// How callers' API keys are treated while the store cannot be followed.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct KeySettings {
    /// Whether all keys become invalid once the node has not followed the store for `within`.
    #[serde(default)]
    pub strict: Option<bool>,
    /// Time within which a revoked key must become invalid.
    pub within: TimeSpan,
}

/// The limit on a team's requests in any window, for all nodes together, beyond its rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct UsageSettings {
    /// The window in which they are counted.
    pub window: TimeSpan,
    /// The fraction by which they may exceed rate and burst.
    pub excess: f64,
    /// Number of requests allowed beyond that.
    pub allowance: f64,
}

/// The limit on requests to a cold server in any second, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct ColdCallSettings {
    /// Factor on the rate that the service declares.
    pub excess: f64,
    /// Number of requests allowed beyond that.
    pub allowance: f64,
}

/// Default if the file has none: the platform's usual grace period.
fn default_grace() -> TimeSpan {
    TimeSpan(Duration::from_secs(6))
}

/// Well beyond the duration of a restart or a freeze. Until the entry is removed, the node's part of shared budgets
/// stays unused, which does no harm.
fn default_gone_after() -> TimeSpan {
    TimeSpan(Duration::from_secs(60))
}

/// Default if the file has none: the minimum that the platform tolerates after connections were reset.
fn default_silence_within() -> TimeSpan {
    TimeSpan(Duration::from_secs(4))
}

/// Default if the file has none: the shortest time that the platform states.
fn default_routes_within() -> TimeSpan {
    TimeSpan(Duration::from_secs(3))
}

/// Default if the file has none: the shortest time that the platform states.
fn default_drained_within() -> TimeSpan {
    TimeSpan(Duration::from_secs(3))
}

fn default_log() -> String {
    "info".to_owned()
}
