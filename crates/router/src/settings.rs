//! Settings of a router: a YAML file that the platform may fill in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use streamfold_model::{CoreShare, FailureDomain, NodeId, RegionName, TimeSpan};
use streamfold_policy::{Mechanism, MechanismSet};

/// Settings of one node, as the file has them. What it does not know is ignored, since the
/// platform may add more.
#[derive(Debug, Clone, Deserialize)]
pub struct RouterSettings {
    /// This node's name.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The region of each failure domain.
    #[serde(default)]
    pub regions: HashMap<FailureDomain, RegionName>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub ready: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where counters and latency histograms are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Processor cores of the machine.
    #[serde(default)]
    pub cores: Option<f64>,
    /// The share of them that this process has.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Addresses of some nodes, for a start while the store is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: nobody has spent of any budget yet.
    #[serde(default)]
    pub first_start: bool,
    /// The bounds on extra calls to a service, for all nodes together.
    pub extra_calls: ExtraCalls,
    /// How long the platform waits between asking a process to stop and killing it.
    #[serde(default = "default_grace")]
    pub grace: TimeSpan,
    /// How long a node of the failure domain must be out of reach until its entry is removed.
    #[serde(default = "default_gone_after")]
    pub gone_after: TimeSpan,
    /// How long a watch of servers or routes waits in the store. A connection to it may fall silent
    /// for good without a reset, also while probes of it are answered, and only a wait that does not
    /// end shows that.
    #[serde(default = "default_silence_within")]
    pub silence_within: TimeSpan,
    /// How soon an evacuated failure domain's servers must get nothing more; without it the deployment
    /// has no evacuations, and the store is not asked for them.
    #[serde(default)]
    pub evacuated_within: Option<TimeSpan>,
    /// What a cold server bears beyond what its service declares, from all nodes together; without it
    /// nothing bounds calls to cold servers.
    #[serde(default)]
    pub cold_calls: Option<ColdCallSettings>,
    /// What becomes of callers' keys while the store cannot be followed; without it the deployment says
    /// nothing of them, and keys stay as they were last known.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// What teams may send beyond their limits, from all nodes together; without it limits are kept as
    /// they are declared.
    #[serde(default)]
    pub usage: Option<UsageSettings>,
    /// The longest time that bytes take from a caller to this node, one way. The first request on a new connection
    /// counts as begun twice that long before the connection was accepted; without it, when it was read.
    #[serde(default)]
    pub caller_way: Option<TimeSpan>,
    /// Decisions of a deployment whose callers compete for room; without it none is made.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Whether refused callers of a team return in turn, where scheduling is by team: for teams that are over their
    /// limits for a moment. One that is for seconds has newcomers refused for callers that are late already.
    #[serde(default)]
    pub return_turns: bool,
    /// Mechanisms of decision that are not used, so that what each is worth can be measured.
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
    /// The mechanisms of decision in use.
    pub fn mechanisms(&self) -> MechanismSet {
        let unasked = (!self.scheduling.by_pace).then_some(Mechanism::MeasuredPace);
        let without: Vec<Mechanism> = self.without.iter().copied().chain(unasked).collect();
        MechanismSet::without(&without)
    }

    /// The processor this node has, if the settings tell.
    pub fn power(&self) -> Option<CoreShare> {
        let cores = self.cores? * self.cpu_share?;
        (cores.is_finite() && cores > 0.0).then_some(CoreShare((cores * 1e3) as u32))
    }

    /// Whether a node with these settings would have the same name, place and ports.
    pub fn has_same_identity(&self, other: &Self) -> bool {
        let place = |settings: &Self| (settings.node.clone(), settings.failure_domain.clone());
        let ports = |settings: &Self| [settings.callers, settings.ready, settings.peers, settings.metrics];
        place(self) == place(other) && ports(self) == ports(other) && self.platform == other.platform
    }
}

/// Which decisions are made when room is short. Each also takes a configuration that calls for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulingSettings {
    /// By priority, where routes or teams of different priority use one service.
    #[serde(default)]
    pub by_priority: bool,
    /// By team, where teams have limits.
    #[serde(default)]
    pub by_team: bool,
    /// By the measured pace of servers, at shards that have, or had until some left, at least three.
    #[serde(default)]
    pub by_pace: bool,
}

/// The bounds on calls beyond the first of each request, for all nodes together.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ExtraCalls {
    /// As a share of the requests for the service.
    pub ratio: f64,
    /// The window in which they are counted.
    pub window: TimeSpan,
    /// What is allowed beyond the share in each window.
    pub allowance: f64,
}

/// What becomes of callers' keys while the store cannot be followed.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct KeySettings {
    /// Whether no key counts any more once the node has not followed the store for `within`.
    #[serde(default)]
    pub strict: Option<bool>,
    /// How soon a key that was taken away must have no force any more.
    pub within: TimeSpan,
}

/// The bound on a team's requests in any window, for all nodes together, beyond its rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct UsageSettings {
    /// The window in which they are counted.
    pub window: TimeSpan,
    /// The share by which they may be more.
    pub excess: f64,
    /// How many more.
    pub allowance: f64,
}

/// The bound on requests to a cold server in any second, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct ColdCallSettings {
    /// How often the rate that its service declares.
    pub excess: f64,
    /// How many more.
    pub allowance: f64,
}

/// Used where the file has none; the platform's usual one.
fn default_grace() -> TimeSpan {
    TimeSpan(Duration::from_secs(6))
}

/// Well beyond what a restart or a freeze takes; until then the node's part of what all nodes
/// share lies idle, which does no harm.
fn default_gone_after() -> TimeSpan {
    TimeSpan(Duration::from_secs(60))
}

/// Used where the file has none; the least that the platform forgives after connections were reset.
fn default_silence_within() -> TimeSpan {
    TimeSpan(Duration::from_secs(4))
}

fn default_log() -> String {
    "info".to_owned()
}
