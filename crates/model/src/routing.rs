//! Routes and services as the platform declares them: which requests go to which servers.

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

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// It may run on several servers.
    Repeatable,
    /// It runs at most once.
    AtMostOnce,
}

/// The regions in which requests may be served and their bodies may travel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub enum AllowedRegions {
    /// All of them.
    #[default]
    Any,
    /// Only these.
    Only(Vec<RegionName>),
}

impl AllowedRegions {
    /// The regions that an operator lists; an empty list binds nothing.
    pub fn from_list(regions: Vec<RegionName>) -> Self {
        if regions.is_empty() { Self::Any } else { Self::Only(regions) }
    }

    /// The regions that these and others have in common.
    pub fn intersect(&self, others: &Self) -> Self {
        match (self, others) {
            (Self::Any, homes) | (homes, Self::Any) => homes.clone(),
            (Self::Only(regions), Self::Only(_)) => {
                Self::Only(regions.iter().filter(|region| others.allows(Some(region))).cloned().collect())
            }
        }
    }

    /// Whether a region is among them; one that is not known is not, unless all are.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the others.
    pub weight: f64,
}

/// How the answers of all shards become one.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct GatherSpec {
    /// The shards: each is a service.
    pub shards: Vec<ServiceName>,
    /// How many records the answer holds, the greatest first.
    pub top: usize,
    /// The least share of shards that makes an answer, 0 to 1.
    pub min_coverage: f64,
}

/// Where a route's requests go.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum RouteTarget {
    /// To one service of these.
    Split(Vec<WeightedService>),
    /// To every shard.
    Gather(GatherSpec),
}

/// A route.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RouteSpec {
    /// Its name.
    pub name: RouteName,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The start of the paths it takes.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// The most servers one request may be sent to; for shards, the most of each shard.
    pub max_attempts: u32,
    /// The rank of its requests, where their team has none.
    pub priority: Priority,
    /// Where its requests may be served.
    pub allowed_regions: AllowedRegions,
    /// Whether its requests need no key where others do.
    pub is_auth_exempt: bool,
    /// Where its requests go.
    pub target: RouteTarget,
}

impl RouteSpec {
    /// The services it sends requests to.
    pub fn services(&self) -> Box<dyn Iterator<Item = &ServiceName> + '_> {
        match &self.target {
            RouteTarget::Split(parts) => Box::new(parts.iter().map(|part| &part.service)),
            RouteTarget::Gather(fold) => Box::new(fold.shards.iter()),
        }
    }
}

/// A service and its limits.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one of its servers accepts from everybody together.
    pub max_connections: u32,
    /// Where its servers tell their health.
    pub health_path: String,
    /// How long a server of it stays cold after it has started.
    pub warmup_duration: Duration,
    /// Requests a second that a cold server bears; none if that is not bounded.
    pub warmup_rate: Option<f64>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may rest between requests.
    pub idle_timeout: Duration,
}

/// Why routes cannot be put in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TableError {
    /// Two routes have one host and prefix.
    #[error("route {0} has the host and prefix of another route")]
    DuplicatePrefix(RouteName),
    /// A route names no service.
    #[error("route {0} leads nowhere")]
    NoService(RouteName),
    /// A route names one shard twice.
    #[error("route {0} names a shard twice")]
    DuplicateShard(RouteName),
}

/// One version of all routes, whole.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RouteTable {
    /// Its version.
    pub version: TableVersion,
    routes: Vec<Arc<RouteSpec>>,
    /// Positions of each host's routes, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<ServiceName, ServiceSpec>,
    /// The teams that may call; without any nobody needs a key.
    teams: Option<TeamDirectory>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Checks and indexes the routes of a version.
    ///
    /// # Errors
    /// The first route that cannot be served as written.
    pub fn build(
        version: TableVersion,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<Self, TableError> {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        let mut taken = HashSet::new();
        for (position, route) in routes.iter().enumerate() {
            check_route(route)?;
            if !taken.insert((&route.host, &route.path_prefix)) {
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

    /// The services that requests of different priority use, by their routes or their teams.
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

    /// The priorities that requests of a route may have.
    fn priorities(&self, route: &RouteSpec) -> HashSet<Priority> {
        let Some(teams) = &self.teams else { return HashSet::from([route.priority]) };
        let of_teams = teams.teams().map(|team| team.priority.unwrap_or(route.priority));
        let of_others = route.is_auth_exempt.then_some(route.priority);
        of_teams.chain(of_others).collect()
    }

    /// The same routes, for which callers need a key of one of some teams.
    #[must_use]
    pub fn with_teams(self, teams: TeamDirectory) -> Self {
        Self { teams: Some(teams), ..self }
    }

    /// The teams that may call; `None` where nobody needs a key.
    pub fn teams(&self) -> Option<&TeamDirectory> {
        self.teams.as_ref()
    }

    /// The route of a request: among its host's, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let positions = self.by_host.get(host)?;
        let mut routes = positions.iter().map(|position| &self.routes[*position]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> &[Arc<RouteSpec>] {
        &self.routes
    }

    /// A service that the routes may name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}

fn check_route(route: &RouteSpec) -> Result<(), TableError> {
    if route.services().next().is_none() {
        return Err(TableError::NoService(route.name.clone()));
    }
    if let RouteTarget::Gather(fold) = &route.target {
        let distinct: HashSet<_> = fold.shards.iter().collect();
        if distinct.len() < fold.shards.len() {
            return Err(TableError::DuplicateShard(route.name.clone()));
        }
    }
    Ok(())
}

/// A server as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerEntry {
    /// Its name.
    pub id: ServerId,
    /// Which run of it wrote the entry.
    pub start: ServerStart,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it is slow from its start, as of the entry's writing.
    pub warmup: Duration,
}

impl ServerEntry {
    /// The run that wrote it.
    pub fn run(&self) -> ServerRun {
        ServerRun { id: self.id.clone(), start: self.start }
    }
}

/// A node as it registered itself for the others.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where its peers' port listens.
    pub peer_address: SocketAddr,
    /// The processor it has; a node of an older version does not tell.
    pub cpu_share: Option<CoreShare>,
}

/// A content that ended servers, as all nodes are told.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CrashEntry {
    /// What the requests ask for.
    pub content: ContentId,
    /// Runs of servers that ended under it, the first few.
    pub crashed: Vec<ServerRun>,
    /// How often it was tried again at one server since it is held off.
    pub trials: u32,
}

impl CrashEntry {
    /// Adds servers that ended under it; whether there were any more.
    pub fn add_crashed(&mut self, servers: &[ServerRun]) -> bool {
        let known = self.crashed.len();
        let more = servers.iter().filter(|server| !self.crashed.contains(server)).cloned();
        self.crashed = self.crashed.iter().cloned().chain(more).collect();
        self.crashed.len() > known
    }
}
