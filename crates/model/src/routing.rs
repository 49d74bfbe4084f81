//! Routes, services, servers and nodes as they are registered in the platform.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use crate::ids::{
    ContentId, FailureDomain, Incarnation, NodeId, RegionName, RouteName, ServerId, ServerRun, ServerStart,
    ServiceName, TableVersion,
};
use crate::team::TeamDirectory;
use crate::units::{CoreShare, Priority};

/// Whether requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// A request may run on several servers.
    Repeatable,
    /// A request runs at most once.
    AtMostOnce,
}

/// The regions in which requests may be served and to which their bodies may be sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    Any,
    /// Only these regions.
    Only(Vec<RegionName>),
}

impl AllowedRegions {
    /// Creates the set from a list of the operator; an empty list allows all regions.
    pub fn from_list(regions: Vec<RegionName>) -> Self {
        if regions.is_empty() { Self::Any } else { Self::Only(regions) }
    }

    /// Returns the regions that both sets allow.
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(regions), Self::Only(_)) => {
                Self::Only(regions.iter().filter(|region| other.allows(Some(region))).cloned().collect())
            }
        }
    }

    /// Whether a region is allowed; an unknown region is allowed only if all are.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

/// A service that receives a fraction of the requests of a route.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other services.
    pub weight: f64,
}

/// How a request is sent to all shards and their answers are merged into one.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct GatherSpec {
    /// The shards, each of which is a service.
    pub shards: Vec<ServiceName>,
    /// The most records in the answer, which starts with the greatest.
    pub top: usize,
    /// The smallest fraction of shards that makes an answer, 0 to 1.
    pub min_coverage: f64,
}

/// The services that the requests of a route are sent to.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum RouteTarget {
    /// Each request goes to one of these services, chosen by weight.
    Split(Vec<WeightedService>),
    /// Each request goes to all shards.
    Gather(GatherSpec),
}

/// A route.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RouteSpec {
    /// Its name.
    pub name: RouteName,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The prefix of the paths that it matches.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub target_latency: Duration,
    /// The most servers that one request may be sent to; with shards, the most of each shard.
    pub max_attempts: u32,
    /// The priority of its requests, unless their team sets one.
    pub priority: Priority,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
    /// Whether its requests need no API key where other routes require one.
    pub is_auth_exempt: bool,
    /// The services that it sends requests to.
    pub target: RouteTarget,
}

impl RouteSpec {
    /// Returns all services that it sends requests to.
    pub fn services(&self) -> Box<dyn Iterator<Item = &ServiceName> + '_> {
        match &self.target {
            RouteTarget::Split(parts) => Box::new(parts.iter().map(|part| &part.service)),
            RouteTarget::Gather(gather) => Box::new(gather.shards.iter()),
        }
    }
}

/// A service and its limits.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// The path of its servers' health check.
    pub health_path: String,
    /// How long the warmup of a server takes after its start.
    pub warmup_duration: Duration,
    /// The most requests per second to a server during its warmup; `None` if they are not limited.
    pub warmup_rate: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time that a request head may take to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

/// Error of building a route table.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TableError {
    /// Two routes have the same host and prefix.
    #[error("route {0} has the host and prefix of another route")]
    DuplicatePrefix(RouteName),
    /// A route has no service.
    #[error("route {0} leads nowhere")]
    NoService(RouteName),
    /// A route lists a shard twice.
    #[error("route {0} names a shard twice")]
    DuplicateShard(RouteName),
}

/// All routes of one version.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RouteTable {
    /// The version.
    pub version: TableVersion,
    routes: Vec<Arc<RouteSpec>>,
    /// Positions in `routes` of the routes of each host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, ServiceSpec>,
    /// The teams that may call; `None` if callers need no API key.
    teams: Option<TeamDirectory>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Builds the table of a version and checks its routes.
    ///
    /// # Errors
    /// The first route that conflicts with another one or has invalid services.
    pub fn build(
        version: TableVersion,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<Self, TableError> {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        let mut prefixes = HashSet::new();
        for (position, route) in routes.iter().enumerate() {
            check_route(route)?;
            if !prefixes.insert((&route.host, &route.path_prefix)) {
                return Err(TableError::DuplicatePrefix(route.name.clone()));
            }
            by_host.entry(route.host.clone()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| std::cmp::Reverse(routes[*position].path_prefix.len()));
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Ok(Self { version, routes, by_host, services, teams: None, limits })
    }

    /// Returns the services that receive requests of different priorities, by their routes or their teams.
    pub fn mixed_priority_services(&self) -> HashSet<ServiceName> {
        let mut by_service: HashMap<&ServiceName, HashSet<Priority>> = HashMap::new();
        for route in &self.routes {
            let priorities = self.priorities(route);
            for service in route.services() {
                by_service.entry(service).or_default().extend(&priorities);
            }
        }
        let mixed = by_service.into_iter().filter(|(_, priorities)| priorities.len() > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the priorities that requests of a route may have.
    fn priorities(&self, route: &RouteSpec) -> HashSet<Priority> {
        let Some(teams) = &self.teams else { return HashSet::from([route.priority]) };
        let team_priorities = teams.teams().map(|team| team.priority.unwrap_or(route.priority));
        let exempt_priority = route.is_auth_exempt.then_some(route.priority);
        team_priorities.chain(exempt_priority).collect()
    }

    /// Returns the same table, for which callers need an API key of one of these teams.
    #[must_use]
    pub fn with_teams(self, teams: TeamDirectory) -> Self {
        Self { teams: Some(teams), ..self }
    }

    /// Returns the teams that may call; `None` if callers need no API key.
    pub fn teams(&self) -> Option<&TeamDirectory> {
        self.teams.as_ref()
    }

    /// Finds the route of a request: of the routes of its host the one with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let positions = self.by_host.get(host)?;
        let mut routes = positions.iter().map(|position| &self.routes[*position]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Arc<RouteSpec>] {
        &self.routes
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}

fn check_route(route: &RouteSpec) -> Result<(), TableError> {
    if route.services().next().is_none() {
        return Err(TableError::NoService(route.name.clone()));
    }
    if let RouteTarget::Gather(gather) = &route.target {
        let distinct: HashSet<_> = gather.shards.iter().collect();
        if distinct.len() < gather.shards.len() {
            return Err(TableError::DuplicateShard(route.name.clone()));
        }
    }
    Ok(())
}

/// The store's revision at the last change of an entry, by which earlier and later states of it are told apart. 0 stands
/// for an entry whose revision is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct EntryRevision(pub u64);

/// The entry that a server registers for itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Its id.
    pub id: ServerId,
    /// The start time of the run that wrote the entry.
    pub start: ServerStart,
    /// The revision of the entry.
    pub revision: EntryRevision,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The most requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining before it shuts down.
    pub is_draining: bool,
    /// The rest of its warmup at the time when the entry was written.
    pub warmup: Duration,
}

impl ServerEntry {
    /// Returns the run that wrote the entry.
    pub fn run(&self) -> ServerRun {
        ServerRun { id: self.id.clone(), start: self.start }
    }
}

/// The entry that a node registers for the other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The address on which it listens for other nodes.
    pub peer_address: SocketAddr,
    /// Its CPU share; `None` for nodes of an older version, which do not report it.
    pub cpu_share: Option<CoreShare>,
}

/// Content of requests that crashed servers, as shared with all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CrashEntry {
    /// The content of the requests.
    pub content: ContentId,
    /// The first few server runs that crashed under it.
    pub crashed: Vec<ServerRun>,
    /// How often it was tried again at a single server since its quarantine began.
    pub trials: u32,
}

impl CrashEntry {
    /// Adds server runs that crashed under it; returns whether any of them was new.
    pub fn add_crashed(&mut self, servers: &[ServerRun]) -> bool {
        let count = self.crashed.len();
        let added = servers.iter().filter(|server| !self.crashed.contains(server)).cloned();
        self.crashed = self.crashed.iter().cloned().chain(added).collect();
        self.crashed.len() > count
    }
}
