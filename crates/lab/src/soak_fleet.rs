//! Fleet of a soak: real node processes that are signalled and restarted, stand-ins for the store
//! and the servers, and a fault-injecting proxy before each server, before each node's port for
//! other nodes, and between each node and the store.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_standin::documents::{
    self, write_all_target, write_document, write_once_target, write_route, write_target,
};
use streamfold_standin::server::{self as route_server, RouteServer, RouteServerPlan};
use streamfold_standin::store::{self as platform, PlatformStandin};
use tokio::process::{Child, Command};

use crate::client::LabClient;
use crate::fleet::{find_binary, send_signal};
use crate::proxy::{self, FaultProxy};
use crate::route_fleet::{
    DOMAINS, NodeCapacity, RouteAddresses, RouteFleetError, any_port, choose_ports, write_settings,
};
use crate::soak_audit::{DisturbanceKind, DisturbanceLog, Violation, ViolationKind, WrittenVersion};

/// Number of services between which successive versions of the document rotate (colours).
pub const COLORS: usize = 6;
/// Shards of the route that gathers answers of all shards.
pub const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// Maximum number of records in the answer of that route.
pub const TOP: usize = 7;
/// Minimum share of the shards for an answer of that route.
pub const MIN_COVERAGE: f64 = 0.5;
/// How long a node may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of violations of one kind that are printed immediately; all are recorded.
const MAX_PRINTED: usize = 10;
/// How often processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A server and the proxy before it.
pub struct SoakServer {
    /// The server.
    pub server: RouteServer,
    /// The proxy through which nodes reach it.
    pub proxy: FaultProxy,
    is_entry_changing: AtomicBool,
}

/// A node and its process.
pub struct SoakNode {
    /// Its name.
    pub name: String,
    /// Its ports.
    pub addresses: RouteAddresses,
    /// Proxy between the node and the store.
    pub store: FaultProxy,
    /// Proxy for the connections of other nodes to this one.
    pub links: FaultProxy,
    /// Counter that changes whenever a run of the process starts or ends.
    pub run: AtomicU64,
    settings: String,
    settings_file: Mutex<PathBuf>,
    log: PathBuf,
    process: tokio::sync::Mutex<Option<Child>>,
}

impl SoakNode {
    /// Lines of the node's log that contain all the given texts.
    pub fn logged(&self, texts: &[&str]) -> Vec<String> {
        // A log that cannot be read counts as empty, which shows in the report.
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let contains_all = |line: &&str| texts.iter().all(|text| line.contains(text));
        log.lines().filter(contains_all).map(str::to_owned).collect()
    }
}

/// A server's entry that was set to draining or removed.
#[derive(Debug, Clone)]
pub struct WithdrawnEntry {
    /// Id of the server.
    pub id: String,
    /// When the entry was withdrawn.
    pub from: Instant,
    /// When the entry was ready again, if it was.
    pub until: Option<Instant>,
}

/// All processes and stand-ins of a soak, with the log of disturbances, changes and violations.
pub struct SoakFleet {
    /// The store.
    pub platform: PlatformStandin,
    /// Servers: two for each colour, then two for each shard.
    pub servers: Vec<SoakServer>,
    /// Nodes.
    pub nodes: Vec<SoakNode>,
    /// Folder of the logs.
    pub folder: PathBuf,
    /// Log of disturbances.
    pub disturbances: DisturbanceLog,
    /// Number of faults injected.
    pub faults: AtomicU64,
    versions: Mutex<Vec<WrittenVersion>>,
    withdrawn: Mutex<Vec<WithdrawnEntry>>,
    violations: Mutex<Vec<Violation>>,
    started: Instant,
}

/// Locks a mutex, also if it is poisoned: the protected value stays usable after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> RouteFleetError {
    move |source| RouteFleetError::Io { what, source }
}

/// Name of the service of a colour.
pub fn color_name(color: usize) -> String {
    format!("cart-{color}")
}

/// The colour to which a version of the document routes.
pub fn color_of(version: u64) -> usize {
    usize::try_from(version).unwrap_or_default() % COLORS
}

/// The routes of a version of the document. Service and timeouts differ from version to version.
pub fn routes_of(version: u64) -> Vec<Value> {
    let service = color_name(color_of(version));
    let timeout = 3_000 + version * 1_700 % 5_000;
    let all = write_all_target(&SHARDS, TOP, MIN_COVERAGE, timeout);
    vec![
        write_route("any", "/any/", &write_target(&service, timeout)),
        write_route("once", "/once/", &write_once_target(&service, timeout)),
        write_route("all", "/all/", &all),
    ]
}

/// Servers of the fleet. A colour has one server in each failure domain. Both servers of a shard are
/// in the same domain, for the first half of the shards the first one, so that each node has to
/// delegate the other half to another node.
fn plan_servers() -> Vec<RouteServerPlan> {
    let pair = |service: &str, domains: [usize; 2]| {
        let plan = |number: usize, domain: usize| {
            RouteServerPlan::new(&format!("{service}-i{number}"), service, DOMAINS[domain])
        };
        [plan(0, domains[0]), plan(1, domains[1])]
    };
    let colors = (0..COLORS).flat_map(|color| pair(&color_name(color), [0, 1]));
    let shards = SHARDS.iter().enumerate().flat_map(|(number, shard)| pair(shard, [2 * number / SHARDS.len(); 2]));
    colors.chain(shards).collect()
}

impl SoakFleet {
    /// Starts all parts of the fleet and waits until every node is ready.
    ///
    /// # Errors
    /// A part could not be started, or a node did not become ready.
    pub async fn start(seed: u64, nodes: usize) -> Result<Arc<Self>, RouteFleetError> {
        let unique: u32 = rand::random();
        let folder = std::env::temp_dir().join(format!("streamfold-soak-{seed}-{unique:08x}"));
        std::fs::create_dir_all(&folder).map_err(io("the log folder"))?;
        let platform = platform::start(any_port()).await.map_err(io("the platform"))?;
        let mut fleet = Self {
            platform,
            servers: Vec::new(),
            nodes: Vec::new(),
            folder,
            disturbances: DisturbanceLog::default(),
            faults: AtomicU64::new(0),
            versions: Mutex::default(),
            withdrawn: Mutex::default(),
            violations: Mutex::default(),
            started: Instant::now(),
        };
        for plan in plan_servers() {
            let server = route_server::start(any_port(), plan).await.map_err(io("a server"))?;
            let proxy = proxy::start(any_port(), server.address).await.map_err(io("a proxy"))?;
            fleet.servers.push(SoakServer { server, proxy, is_entry_changing: AtomicBool::new(false) });
        }
        (0..fleet.servers.len()).for_each(|position| fleet.register(position, "ready"));
        fleet.write_version(1);
        fleet.make_nodes(nodes).await?;
        let fleet = Arc::new(fleet);
        for node in 0..fleet.nodes.len() {
            fleet.start_node(node).await?;
        }
        for node in 0..fleet.nodes.len() {
            if fleet.wait_ready(node).await != Ok(true) {
                return Err(RouteFleetError::NotReady(fleet.nodes[node].name.clone()));
            }
        }
        Ok(fleet)
    }

    async fn make_nodes(&mut self, count: usize) -> Result<(), RouteFleetError> {
        let positions: Vec<(usize, usize)> = (0..2).flat_map(|domain| (0..count).map(move |n| (domain, n))).collect();
        let mut ports = Vec::new();
        for _ in &positions {
            ports.push(choose_ports());
        }
        let mut links = Vec::new();
        for ports in &ports {
            let proxy = proxy::start(any_port(), ports.peers).await.map_err(io("a proxy"))?;
            self.platform.state.replace_text(&ports.peers.to_string(), &proxy.address.to_string());
            links.push(proxy);
        }
        let proxies: Vec<String> = links.iter().map(|proxy| proxy.address.to_string()).collect();
        for ((domain, number), (addresses, links)) in positions.into_iter().zip(ports.into_iter().zip(links)) {
            let name = format!("{}-{number}", DOMAINS[domain]);
            let own_proxy = links.address.to_string();
            let seeds: Vec<String> = proxies.iter().filter(|proxy| **proxy != own_proxy).cloned().collect();
            let store = proxy::start(any_port(), self.platform.address).await.map_err(io("a proxy"))?;
            let settings = write_settings(&name, domain, &addresses, store.address, &seeds, NodeCapacity::default())?;
            let settings_file = Mutex::default();
            let log = self.folder.join(format!("{name}.log"));
            let (run, process) = (AtomicU64::new(0), tokio::sync::Mutex::default());
            self.nodes.push(SoakNode { name, addresses, store, links, run, settings, settings_file, log, process });
        }
        Ok(())
    }

    /// Writes a server's entry with the given state, under the server's current id.
    pub fn register(&self, position: usize, state: &str) {
        let SoakServer { server, proxy, .. } = &self.servers[position];
        let mut entry = server.entry(state);
        entry["address"] = json!(proxy.address.to_string());
        let id = server.state.id();
        let mut withdrawn = lock(&self.withdrawn);
        if state == "ready" {
            withdrawn.iter_mut().filter(|entry| entry.id == id && entry.until.is_none()).for_each(WithdrawnEntry::end);
        }
        self.platform.state.put_object(documents::SERVERS, &id, entry);
        if state != "ready" {
            withdrawn.push(WithdrawnEntry { id, from: Instant::now(), until: None });
        }
    }

    /// Removes a server's entry.
    pub fn unregister(&self, position: usize) {
        let id = self.servers[position].server.state.id();
        self.platform.state.remove_object(documents::SERVERS, &id);
        let mut withdrawn = lock(&self.withdrawn);
        if !withdrawn.iter().any(|entry| entry.id == id && entry.until.is_none()) {
            withdrawn.push(WithdrawnEntry { id, from: Instant::now(), until: None });
        }
    }

    /// Whether a server's entry is being changed.
    pub fn is_entry_changing(&self, position: usize) -> bool {
        self.servers[position].is_entry_changing.load(Ordering::Relaxed)
    }

    /// Marks whether a server's entry is being changed.
    pub fn set_entry_changing(&self, position: usize, is_entry_changing: bool) {
        self.servers[position].is_entry_changing.store(is_entry_changing, Ordering::Relaxed);
    }

    /// All entries that have been withdrawn, including those that are ready again.
    pub fn withdrawn(&self) -> Vec<WithdrawnEntry> {
        lock(&self.withdrawn).clone()
    }

    /// Writes a version of the document. A version older than the last one is not recorded: it does
    /// not change what nodes must guarantee.
    pub fn write_version(&self, version: u64) {
        let document = write_document(version, &routes_of(version));
        let mut versions = lock(&self.versions);
        if versions.last().is_none_or(|last| last.version < version) {
            versions.push(WrittenVersion { version, at: Instant::now() });
        }
        self.platform.state.put_object(documents::CONFIG, documents::CONFIG_NAME, document);
    }

    /// Versions in the order in which they were written.
    pub fn versions(&self) -> Vec<WrittenVersion> {
        lock(&self.versions).clone()
    }

    /// Records a violation, once for each request and kind.
    pub fn note_violation(&self, kind: ViolationKind, request: &str, detail: String) {
        let mut violations = lock(&self.violations);
        if !violations.iter().any(|recorded| recorded.kind == kind && recorded.request == request) {
            let violation = Violation { kind, request: request.to_owned(), detail };
            // Also goes to the log of the run, which outlasts the output of the test.
            self.log_event(&format!("violated {violation}"));
            if violations.iter().filter(|recorded| recorded.kind == kind).count() < MAX_PRINTED {
                eprintln!("violation at {:.3} s: {violation}", self.started.elapsed().as_secs_f64());
            }
            violations.push(violation);
        }
    }

    /// Counts a fault or change and writes it to the log of the run.
    pub fn log_fault(&self, what: &str) {
        self.faults.fetch_add(1, Ordering::Relaxed);
        self.log_event(what);
    }

    /// Writes a line to the log of the run.
    pub fn log_event(&self, what: &str) {
        let line = format!("{:.3} {what}\n", self.started.elapsed().as_secs_f64());
        let file = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("faults.log"));
        // Errors are ignored: the log serves only the analysis of a run.
        let _ = file.and_then(|mut file| std::io::Write::write_all(&mut file, line.as_bytes()));
    }

    /// Converts a time to seconds since the start of the fleet.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// All violations recorded so far.
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.violations).clone()
    }

    /// Starts a node's process.
    ///
    /// # Errors
    /// The process cannot be started.
    pub async fn start_node(&self, position: usize) -> Result<(), RouteFleetError> {
        let node = &self.nodes[position];
        // Each run has its own settings file, so that damage to the file of one run does not affect the next start.
        let file = self.folder.join(format!("{}-{}.yaml", node.name, node.run.load(Ordering::SeqCst)));
        std::fs::write(&file, &node.settings).map_err(io("writing settings"))?;
        let child = spawn(&file, &node.log).map_err(io("streamfoldd"))?;
        *lock(&node.settings_file) = file;
        *node.process.lock().await = Some(child);
        node.run.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Waits until a node is ready; returns false on a timeout.
    ///
    /// # Errors
    /// The exit status, if the node's process exited.
    pub async fn wait_ready(&self, position: usize) -> Result<bool, ExitStatus> {
        let client = LabClient::default();
        let start = Instant::now();
        while start.elapsed() < READY_TIMEOUT {
            if ready_status(&client, self.nodes[position].addresses.ready).await == Some(StatusCode::OK) {
                return Ok(true);
            }
            if let Some(status) = self.poll_exit(position).await {
                return Err(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// Sends a signal to a node's process, if the process still belongs to the given run.
    pub async fn signal(&self, position: usize, run: u64, name: &str) {
        let node = &self.nodes[position];
        let process = node.process.lock().await;
        if let Some(child) = process.as_ref().filter(|_| node.run.load(Ordering::SeqCst) == run) {
            send_signal(child, name).await;
        }
    }

    /// Waits for a node's process to exit; `None` if it still runs after `limit`.
    pub async fn wait_exit(&self, position: usize, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.poll_exit(position).await {
                return Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Counts the lines in the logs of all nodes that contain all the given texts.
    pub fn count_logged(&self, texts: &[&str]) -> usize {
        self.nodes.iter().map(|node| node.logged(texts).len()).sum()
    }

    /// Exit status of a node's process, if it has exited since the last call.
    pub async fn poll_exit(&self, position: usize) -> Option<ExitStatus> {
        self.take_exit(position, &mut *self.nodes[position].process.lock().await)
    }

    /// Exit status of a node's process, if it has exited without having been stopped or killed.
    pub async fn poll_unexpected_exit(&self, position: usize) -> Option<ExitStatus> {
        // A planned stop or kill is recorded as a disturbance before its signal is sent, which needs this lock.
        let mut process = self.nodes[position].process.lock().await;
        if self.disturbances.is_leaving(position) { None } else { self.take_exit(position, &mut process) }
    }

    fn take_exit(&self, position: usize, process: &mut Option<Child>) -> Option<ExitStatus> {
        let status = process.as_mut()?.try_wait().ok()??;
        *process = None;
        self.nodes[position].run.fetch_add(1, Ordering::SeqCst);
        Some(status)
    }

    /// The settings file that a node's process has read, and its content; `None` while the process
    /// may not have read it yet.
    pub fn read_settings(&self, position: usize) -> Option<(PathBuf, &str)> {
        let node = &self.nodes[position];
        let file = lock(&node.settings_file).clone();
        (!self.disturbances.is_leaving(position)).then_some((file, node.settings.as_str()))
    }

    /// Id of a node's process, if it runs.
    pub async fn process_id(&self, position: usize) -> Option<u32> {
        self.nodes[position].process.lock().await.as_ref()?.id()
    }

    /// Records the start of a disturbance of one node or, if `node` is `None`, of all nodes.
    pub fn start_disturbance(&self, kind: DisturbanceKind, node: Option<usize>) -> usize {
        self.disturbances.start(kind, node)
    }
}

impl WithdrawnEntry {
    fn end(&mut self) {
        self.until = Some(Instant::now());
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(find_binary("streamfoldd"));
    command.arg("--settings").arg(settings).arg("--log").arg("info").kill_on_drop(true);
    command.stdout(Stdio::from(log.try_clone()?)).stderr(Stdio::from(log)).spawn()
}

async fn ready_status(client: &LabClient, address: SocketAddr) -> Option<StatusCode> {
    let wait = Duration::from_secs(1);
    client.call(Method::GET, address, "/ready", &[], Bytes::new(), wait).await.ok().map(|answer| answer.status)
}
