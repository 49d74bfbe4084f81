//! Fleet of routers as real processes on loopback: a stand-in for the platform's store, servers
//! registered in it, the operator's document, and `streamfoldd` with the settings file of a
//! deployment.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;
use streamfold_standin::documents::{self, TemplateValues, write_team_document};
pub use streamfold_standin::documents::{HOST, write_route};
use streamfold_standin::names;
use streamfold_standin::server::{self as route_server, RouteServer, RouteServerPlan, RouteServerState};
use streamfold_standin::store::{self as platform, PlatformStandin, PlatformState};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::task::JoinSet;

use crate::client::{CallAnswer, CallError, LabClient};
use crate::fleet::find_binary;

/// Failure domains of a fleet.
pub const DOMAINS: [&str; 2] = ["zone-a", "zone-b"];
/// Regions of the failure domains, in the same order.
pub const REGIONS: [&str; 2] = ["north", "south"];
/// Settings file of a deployment, with placeholders.
const SETTINGS: &str = include_str!("../../../deploy/settings.yaml");
/// How long a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one request sent by the fleet itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Extra calls (retries and hedges) allowed for each service and window: enough for any test.
const EXTRA_CALL_ALLOWANCE: u32 = 1_000;
/// Range of the first of a node's four consecutive ports.
const FIRST_PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Number of seed nodes in the settings of a restarted node.
const MAX_RESTART_SEEDS: usize = 3;
/// Default share of a core of a node, in cores.
pub const WHOLE_CORE: f64 = 1.0;
/// Grace period in seconds between asking a node to stop and killing it.
const GRACE_SECONDS: u32 = 6;

/// Why a fleet could not be started.
#[derive(Debug, thiserror::Error)]
pub enum RouteFleetError {
    /// A stand-in could not listen, or a process could not be started.
    #[error("starting {what}: {source}")]
    Io {
        /// The part that could not be started.
        what: &'static str,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The settings file has an unknown placeholder.
    #[error("settings have an unknown placeholder: {0}")]
    UnknownPlaceholder(String),
    /// A node did not become ready.
    #[error("node {0} was not ready within {READY_TIMEOUT:?}")]
    NotReady(String),
    /// A node's process ended.
    #[error("the process of node {0} ended")]
    Ended(String),
}

/// The machine that a node runs on, as its settings describe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachinePlan {
    /// Its memory, in megabytes.
    pub memory_mb: u32,
    /// The file descriptors that the node's process may open.
    pub max_files: u32,
}

impl Default for MachinePlan {
    /// The machines of most deployments.
    fn default() -> Self {
        Self { memory_mb: 260, max_files: 4_100 }
    }
}

/// Configuration of a fleet.
#[derive(Debug, Clone, Default)]
pub struct RouteFleetPlan {
    /// Number of nodes in each failure domain.
    pub nodes: [usize; 2],
    /// Servers.
    pub servers: Vec<RouteServerPlan>,
    /// Routes; if empty, the operator has not written a document yet.
    pub routes: Vec<Value>,
    /// Teams that may call; if empty, callers need no key.
    pub teams: Vec<Value>,
    /// Whether keys become invalid while the store is unreachable.
    pub are_keys_strict: bool,
    /// Lines that are appended to the settings of each node.
    pub settings: &'static str,
    /// Shares of a core by node name; other nodes have `WHOLE_CORE`.
    pub cpu_shares: HashMap<&'static str, f64>,
    /// The machine of each node.
    pub machine: MachinePlan,
}

/// Addresses of a node's ports.
#[derive(Debug, Clone, Copy)]
pub struct RouteAddresses {
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for the load balancer's readiness probe.
    pub ready: SocketAddr,
    /// Port for other nodes.
    pub peers: SocketAddr,
    /// Port for metrics.
    pub metrics: SocketAddr,
}

/// Lines that a node wrote to its log.
pub type NodeLog = Arc<Mutex<Vec<String>>>;

/// One node of a fleet.
pub struct RouteNode {
    /// Its name.
    pub name: String,
    /// Its ports.
    pub addresses: RouteAddresses,
    /// Its process.
    pub process: Child,
    log: NodeLog,
    is_log_read: Arc<AtomicBool>,
}

impl RouteNode {
    /// Stops reading the node's log, so that the pipe of its standard output fills up.
    pub fn stop_reading_log(&self) {
        self.is_log_read.store(false, Ordering::Relaxed);
    }

    /// Lines of the node's log that contain all the given texts.
    pub fn logged(&self, texts: &[&str]) -> Vec<String> {
        let lines = lock(&self.log);
        lines.iter().filter(|line| texts.iter().all(|text| line.contains(text))).cloned().collect()
    }
}

/// A running fleet.
pub struct RouteFleet {
    /// Stand-in for the platform's store.
    pub platform: PlatformStandin,
    /// Servers, in the order of the plan.
    pub servers: Vec<RouteServer>,
    /// Nodes, those of the first failure domain first.
    pub nodes: Vec<RouteNode>,
    /// Client for requests to the fleet.
    pub client: LabClient,
    settings: &'static str,
    cpu_shares: HashMap<&'static str, f64>,
    machine: MachinePlan,
    are_keys_strict: bool,
    /// Tasks that each rewrite the entry of one server when it restarts after a crash.
    registrars: JoinSet<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> RouteFleetError {
    move |source| RouteFleetError::Io { what, source }
}

impl RouteFleet {
    /// Starts all parts of the fleet and waits until every node is ready.
    ///
    /// # Errors
    /// A part could not be started, or a node did not become ready.
    pub async fn start(plan: RouteFleetPlan) -> Result<Self, RouteFleetError> {
        let has_routes = !plan.routes.is_empty();
        let platform = platform::start(any_port()).await.map_err(io("the platform"))?;
        let mut fleet = Self {
            platform,
            servers: Vec::new(),
            nodes: Vec::new(),
            client: LabClient::default(),
            settings: plan.settings,
            cpu_shares: plan.cpu_shares,
            machine: plan.machine,
            are_keys_strict: plan.are_keys_strict,
            registrars: JoinSet::new(),
        };
        for server in plan.servers {
            let server = route_server::start(any_port(), server).await.map_err(io("a server"))?;
            fleet.registrars.spawn(register_restarts(
                fleet.platform.state.clone(),
                server.state.clone(),
                server.address,
            ));
            fleet.servers.push(server);
        }
        (0..fleet.servers.len()).for_each(|position| fleet.register(position, "ready"));
        if has_routes {
            fleet.put_team_document(1, &plan.routes, &plan.teams);
        }
        for (domain, count) in plan.nodes.into_iter().enumerate() {
            for number in 0..count {
                fleet.add_node(domain, &format!("{}-{number}", DOMAINS[domain])).await?;
            }
        }
        let expected = if has_routes { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        fleet.wait_ready(expected).await?;
        Ok(fleet)
    }

    /// Writes a server's entry with the given state.
    pub fn register(&self, position: usize, state: &str) {
        let server = &self.servers[position];
        self.platform.state.put_object(documents::SERVERS, &server.state.plan.id, server.entry(state));
    }

    /// Removes a server's entry.
    pub fn unregister(&self, position: usize) {
        self.platform.state.remove_object(documents::SERVERS, &self.servers[position].state.plan.id);
    }

    /// Writes the operator's document.
    pub fn put_document(&self, version: u64, routes: &[Value]) {
        self.put_team_document(version, routes, &[]);
    }

    /// Writes the operator's document with teams.
    pub fn put_team_document(&self, version: u64, routes: &[Value], teams: &[Value]) {
        let document = write_team_document(version, routes, teams);
        self.platform.state.put_object(documents::CONFIG, documents::CONFIG_NAME, document);
    }

    /// Evacuates a failure domain, or ends its evacuation.
    pub fn evacuate(&self, domain: usize, is_evacuated: bool) {
        let state = &self.platform.state;
        match is_evacuated {
            true => state.put_object(documents::EVACUATIONS, DOMAINS[domain], serde_json::json!({})),
            false => state.remove_object(documents::EVACUATIONS, DOMAINS[domain]),
        }
    }

    /// Counts the requests that servers of a failure domain have read.
    pub fn count_domain_calls(&self, domain: usize) -> usize {
        let in_domain = self.servers.iter().filter(|server| server.state.plan.domain == DOMAINS[domain]);
        in_domain.map(|server| server.state.calls().len()).sum()
    }

    /// Starts another node without waiting until it is ready.
    ///
    /// # Errors
    /// The node's process cannot be started.
    pub async fn add_node(&mut self, domain: usize, name: &str) -> Result<(), RouteFleetError> {
        let addresses = choose_ports();
        let seeds: Vec<String> = self.nodes.iter().map(|node| node.addresses.peers.to_string()).collect();
        let cpu_share = self.cpu_shares.get(name).copied().unwrap_or(WHOLE_CORE);
        let capacity = NodeCapacity { cpu_share, machine: self.machine };
        let mut text = write_settings(name, domain, &addresses, self.platform.address, &seeds, capacity)?;
        if self.are_keys_strict {
            text = text.replace("strict: false", "strict: true");
        }
        let text = text + self.settings;
        let is_log_read = Arc::new(AtomicBool::new(true));
        let (process, log) = start_process(name, &text, is_log_read.clone()).await?;
        self.nodes.push(RouteNode { name: name.to_owned(), addresses, process, log, is_log_read });
        Ok(())
    }

    /// Kills all nodes and restarts them on the same ports, with the first three nodes as seeds, without
    /// waiting until they are ready.
    ///
    /// # Errors
    /// A process cannot be started.
    pub async fn restart_all(&mut self) -> Result<(), RouteFleetError> {
        let seeds: Vec<String> =
            self.nodes.iter().take(MAX_RESTART_SEEDS).map(|node| node.addresses.peers.to_string()).collect();
        for node in &mut self.nodes {
            node.process.kill().await.map_err(io("killing a process"))?;
        }
        for position in 0..self.nodes.len() {
            let text = self.write_restart_settings(&self.nodes[position], &seeds)?;
            let node = &mut self.nodes[position];
            let is_log_read = Arc::new(AtomicBool::new(true));
            let (process, log) = start_process(&node.name, &text, is_log_read.clone()).await?;
            (node.process, node.log, node.is_log_read) = (process, log, is_log_read);
        }
        Ok(())
    }

    /// Kills all nodes at the same moment.
    ///
    /// # Errors
    /// A process cannot be killed.
    pub async fn kill_all(&mut self) -> Result<(), RouteFleetError> {
        for node in &mut self.nodes {
            node.process.start_kill().map_err(io("killing a process"))?;
        }
        for node in &mut self.nodes {
            node.process.wait().await.map_err(io("killing a process"))?;
        }
        Ok(())
    }

    /// Starts all nodes together on the ports that they had, with the first three nodes as seeds, without waiting until
    /// they are ready.
    ///
    /// # Errors
    /// A process cannot be started.
    pub async fn start_all_again(&mut self) -> Result<(), RouteFleetError> {
        let seeds: Vec<String> =
            self.nodes.iter().take(MAX_RESTART_SEEDS).map(|node| node.addresses.peers.to_string()).collect();
        let mut starts = JoinSet::new();
        for (position, node) in self.nodes.iter().enumerate() {
            let (name, text) = (node.name.clone(), self.write_restart_settings(node, &seeds)?);
            starts.spawn(async move {
                let is_log_read = Arc::new(AtomicBool::new(true));
                let started = start_process(&name, &text, is_log_read.clone()).await;
                (position, started, is_log_read)
            });
        }
        while let Some(Ok((position, started, is_log_read))) = starts.join_next().await {
            let node = &mut self.nodes[position];
            (node.process, node.log) = started?;
            node.is_log_read = is_log_read;
        }
        Ok(())
    }

    /// The settings of a node that starts again.
    fn write_restart_settings(&self, node: &RouteNode, seeds: &[String]) -> Result<String, RouteFleetError> {
        let domain = DOMAINS.iter().position(|domain| node.name.starts_with(domain)).unwrap_or_default();
        let cpu_share = self.cpu_shares.get(node.name.as_str()).copied().unwrap_or(WHOLE_CORE);
        let capacity = NodeCapacity { cpu_share, machine: self.machine };
        let text = write_settings(&node.name, domain, &node.addresses, self.platform.address, seeds, capacity)?;
        Ok(text.replace("first_start: true", "first_start: false") + self.settings)
    }

    /// Waits until every node answers the load balancer's readiness probe with the given status.
    ///
    /// # Errors
    /// A node did not answer so in time, or its process ended.
    pub async fn wait_ready(&mut self, expected: StatusCode) -> Result<(), RouteFleetError> {
        let start = Instant::now();
        for position in 0..self.nodes.len() {
            while self.ready_status(position).await != Some(expected) {
                let node = &mut self.nodes[position];
                if node.process.try_wait().map_err(io("a process"))?.is_some() {
                    return Err(RouteFleetError::Ended(node.name.clone()));
                }
                if start.elapsed() > READY_TIMEOUT {
                    return Err(RouteFleetError::NotReady(node.name.clone()));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Status of a node's answer to the load balancer's readiness probe; `None` if it cannot be reached.
    pub async fn ready_status(&self, position: usize) -> Option<StatusCode> {
        let address = self.nodes[position].addresses.ready;
        let answer = self.client.call(Method::GET, address, "/ready", &[], Bytes::new(), CALL_TIMEOUT).await;
        answer.ok().map(|answer| answer.status)
    }

    /// Sends a caller's request to a node.
    ///
    /// # Errors
    /// There was no complete answer in time.
    pub async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Result<CallAnswer, CallError> {
        self.call_with(node, method, path, id, &[], body).await
    }

    /// Sends a caller's request to a node, with additional headers.
    ///
    /// # Errors
    /// There was no complete answer in time.
    pub async fn call_with(
        &self,
        node: usize,
        method: Method,
        path: &str,
        id: &str,
        extra_headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<CallAnswer, CallError> {
        let mut headers = vec![("host", HOST), (names::REQUEST_ID, id), (names::DEADLINE_MS, "8000")];
        headers.extend_from_slice(extra_headers);
        self.client.call(method, self.nodes[node].addresses.callers, path, &headers, body, CALL_TIMEOUT).await
    }

    /// Number of times that servers have read a request, summed over all servers.
    pub fn count_calls(&self, id: &str) -> usize {
        self.servers.iter().flat_map(|server| server.state.calls()).filter(|call| call.id() == id).count()
    }

    /// Number of times that servers have run a request, summed over all servers.
    pub fn count_runs(&self, id: &str) -> usize {
        self.servers.iter().flat_map(|server| server.state.runs()).filter(|run| run.request.id() == id).count()
    }

    /// Service of the server that issued a proof for a request.
    pub fn find_service_by_proof(&self, id: &str, proof: &str) -> Option<&str> {
        let issued_proof =
            |server: &&RouteServer| server.state.runs().iter().any(|run| run.proof == proof && run.request.id() == id);
        self.servers.iter().find(issued_proof).map(|server| server.state.plan.service.as_str())
    }
}

/// Replaces a server's entry whenever its process has restarted, since each run has another id.
async fn register_restarts(platform: Arc<PlatformState>, server: Arc<RouteServerState>, address: SocketAddr) {
    let mut restarts = server.restarts.subscribe();
    let mut last = server.id();
    while restarts.changed().await.is_ok() {
        let id = server.id();
        if id != last {
            platform.remove_object(documents::SERVERS, &last);
        }
        platform.put_object(documents::SERVERS, &id, server.entry(address, "ready"));
        last = id;
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Chooses ports on a loopback address of the node's own, below the ephemeral range of the system. The
/// ports are not tested by binding them: a process that another test forks at that moment would inherit
/// the test socket and hold the port until it executes its own program, and the node could not listen on it.
pub(crate) fn choose_ports() -> RouteAddresses {
    let address = Ipv4Addr::new(127, rand::random_range(1..=254), rand::random(), rand::random_range(1..=254));
    let first: u16 = rand::random_range(FIRST_PORT_RANGE);
    let port = |number: u16| SocketAddr::from((address, first + number));
    RouteAddresses { callers: port(0), ready: port(1), peers: port(2), metrics: port(3) }
}

/// What a node may use of its machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeCapacity {
    /// Its share of a core, in cores.
    pub(crate) cpu_share: f64,
    /// Its machine.
    pub(crate) machine: MachinePlan,
}

impl Default for NodeCapacity {
    fn default() -> Self {
        Self { cpu_share: WHOLE_CORE, machine: MachinePlan::default() }
    }
}

/// Fills the placeholders of the settings of a deployment.
pub(crate) fn write_settings(
    name: &str,
    domain: usize,
    addresses: &RouteAddresses,
    platform: SocketAddr,
    seeds: &[String],
    capacity: NodeCapacity,
) -> Result<String, RouteFleetError> {
    let placeholders = TemplateValues {
        name,
        domain: DOMAINS[domain],
        regions: DOMAINS.into_iter().zip(REGIONS).collect(),
        callers: addresses.callers,
        ready: addresses.ready,
        peers: addresses.peers,
        metrics: addresses.metrics,
        platform,
        seeds,
        grace_seconds: GRACE_SECONDS,
        cpu_share: capacity.cpu_share,
        memory_mb: capacity.machine.memory_mb,
        max_files: capacity.machine.max_files,
        extra_ratio: 0.1,
        extra_allowance: EXTRA_CALL_ALLOWANCE,
        are_keys_strict: false,
    };
    placeholders.fill(SETTINGS).map_err(RouteFleetError::UnknownPlaceholder)
}

async fn start_process(name: &str, text: &str, is_read: Arc<AtomicBool>) -> Result<(Child, NodeLog), RouteFleetError> {
    let unique: u64 = rand::random();
    let path = std::env::temp_dir().join(format!("streamfold-routes-{unique:016x}-{name}.yaml"));
    std::fs::write(&path, text).map_err(io("writing settings"))?;
    let mut command = Command::new(find_binary("streamfoldd"));
    command.arg("--settings").arg(&path).arg("--log").arg("info").stdout(Stdio::piped()).kill_on_drop(true);
    let mut process = command.spawn().map_err(io("streamfoldd"))?;
    let stdout = process.stdout.take().ok_or_else(|| RouteFleetError::Ended(name.to_owned()))?;
    let log = NodeLog::default();
    let (started, has_started) = tokio::sync::oneshot::channel();
    tokio::spawn(collect_log(stdout, log.clone(), started, is_read));
    let is_started = has_started.await.is_ok();
    // The node logs that it has started only after it has read the settings.
    let _ = std::fs::remove_file(&path);
    if is_started { Ok((process, log)) } else { Err(RouteFleetError::Ended(name.to_owned())) }
}

/// Collects a node's log and signals when the node has started.
async fn collect_log(
    stdout: ChildStdout,
    log: NodeLog,
    started: tokio::sync::oneshot::Sender<()>,
    is_read: Arc<AtomicBool>,
) {
    let mut lines = BufReader::new(stdout).lines();
    let mut started = Some(started);
    while let Ok(Some(line)) = lines.next_line().await {
        if line.contains("event=started")
            && let Some(started) = started.take()
        {
            // Errors are ignored: the start of the fleet was aborted and nothing waits any more.
            let _ = started.send(());
        }
        lock(&log).push(line);
        while !is_read.load(Ordering::Relaxed) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
}
