//! What a soak runs on: real nodes that it signals and starts again, stand-ins, and a proxy
//! before each server, before each node's port for other nodes, and between each node and the
//! store.

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
use crate::route_fleet::{DOMAINS, RouteAddresses, RouteFleetError, WHOLE_CORE, any_port, find_ports, write_settings};
use crate::soak_audit::{DisturbanceKind, DisturbanceLog, Violation, ViolationKind, WrittenVersion};

/// Services that versions of the document lead to, one after the other.
pub const COLORS: usize = 6;
/// Shards of the route over all shards.
pub const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
/// Records in its answer.
pub const TOP: usize = 7;
/// The share of shards that makes an answer of it.
pub const MIN_COVERAGE: f64 = 0.5;
/// How long a node may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Violations of one promise that are told at once; all are counted.
const TOLD: usize = 10;
/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(20);

/// A server behind its proxy.
pub struct SoakServer {
    /// The server.
    pub server: RouteServer,
    /// What stands before it.
    pub proxy: FaultProxy,
    is_moving: AtomicBool,
}

/// A node with its process.
pub struct SoakNode {
    /// Its name.
    pub name: String,
    /// Its ports.
    pub addresses: RouteAddresses,
    /// What stands between it and the store.
    pub store: FaultProxy,
    /// What stands between it and the nodes that connect to it.
    pub links: FaultProxy,
    /// How often it was started; it changes when a run ends, too.
    pub run: AtomicU64,
    settings: String,
    settings_file: Mutex<PathBuf>,
    log: PathBuf,
    process: tokio::sync::Mutex<Option<Child>>,
}

impl SoakNode {
    /// Lines of its log that hold all of some texts.
    pub fn logged(&self, texts: &[&str]) -> Vec<String> {
        // A log that cannot be read counts for nothing, which the report then shows.
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let holds = |line: &&str| texts.iter().all(|text| line.contains(text));
        log.lines().filter(holds).map(str::to_owned).collect()
    }
}

/// An entry that said that its server leaves, or that was removed.
#[derive(Debug, Clone)]
pub struct WithdrawnEntry {
    /// The server's id.
    pub id: String,
    /// Since when.
    pub from: Instant,
    /// When it came back, if it did.
    pub until: Option<Instant>,
}

/// Everything that a soak runs on, with what was done to it.
pub struct SoakFleet {
    /// The store.
    pub platform: PlatformStandin,
    /// Servers: two of each colour, then two of each shard.
    pub servers: Vec<SoakServer>,
    /// Nodes.
    pub nodes: Vec<SoakNode>,
    /// Where logs are kept.
    pub folder: PathBuf,
    /// When what was disturbed.
    pub spans: DisturbanceLog,
    /// Faults played.
    pub faults: AtomicU64,
    versions: Mutex<Vec<WrittenVersion>>,
    gone: Mutex<Vec<WithdrawnEntry>>,
    violations: Mutex<Vec<Violation>>,
    started: Instant,
}

/// Locks a value that stays usable after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> RouteFleetError {
    move |source| RouteFleetError::Io { what, source }
}

/// The service of a colour.
pub fn color_name(color: usize) -> String {
    format!("cart-{color}")
}

/// The colour that a version leads to.
pub fn color_of(version: u64) -> usize {
    usize::try_from(version).unwrap_or_default() % COLORS
}

/// The routes of a version: their service and their time-outs differ from version to version.
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

/// A colour has a server in each failure domain. A shard has both in one, the first half of the
/// shards in the first: each node needs another for the other half.
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
    /// Starts everything and waits until it is ready.
    ///
    /// # Errors
    /// Something did not come up.
    pub async fn start(seed: u64, nodes: usize) -> Result<Arc<Self>, RouteFleetError> {
        let unique: u32 = rand::random();
        let folder = std::env::temp_dir().join(format!("streamfold-soak-{seed}-{unique:08x}"));
        std::fs::create_dir_all(&folder).map_err(io("the folder of logs"))?;
        let platform = platform::start(any_port()).await.map_err(io("the platform"))?;
        let mut fleet = Self {
            platform,
            servers: Vec::new(),
            nodes: Vec::new(),
            folder,
            spans: DisturbanceLog::default(),
            faults: AtomicU64::new(0),
            versions: Mutex::default(),
            gone: Mutex::default(),
            violations: Mutex::default(),
            started: Instant::now(),
        };
        for plan in plan_servers() {
            let server = route_server::start(any_port(), plan).await.map_err(io("a server"))?;
            let proxy = proxy::start(any_port(), server.address).await.map_err(io("a proxy"))?;
            fleet.servers.push(SoakServer { server, proxy, is_moving: AtomicBool::new(false) });
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
        let places: Vec<(usize, usize)> = (0..2).flat_map(|domain| (0..count).map(move |n| (domain, n))).collect();
        let mut ports = Vec::new();
        for _ in &places {
            ports.push(find_ports());
        }
        let mut links = Vec::new();
        for ports in &ports {
            let proxy = proxy::start(any_port(), ports.peers).await.map_err(io("a proxy"))?;
            self.platform.state.replace_text(&ports.peers.to_string(), &proxy.address.to_string());
            links.push(proxy);
        }
        let proxies: Vec<String> = links.iter().map(|proxy| proxy.address.to_string()).collect();
        for ((domain, number), (addresses, links)) in places.into_iter().zip(ports.into_iter().zip(links)) {
            let name = format!("{}-{number}", DOMAINS[domain]);
            let own = links.address.to_string();
            let seeds: Vec<String> = proxies.iter().filter(|proxy| **proxy != own).cloned().collect();
            let store = proxy::start(any_port(), self.platform.address).await.map_err(io("a proxy"))?;
            let settings = write_settings(&name, domain, &addresses, store.address, &seeds, WHOLE_CORE)?;
            let settings_file = Mutex::default();
            let log = self.folder.join(format!("{name}.log"));
            let (run, process) = (AtomicU64::new(0), tokio::sync::Mutex::default());
            self.nodes.push(SoakNode { name, addresses, store, links, run, settings, settings_file, log, process });
        }
        Ok(())
    }

    /// Writes a server's entry in a state, under the id that it has now.
    pub fn register(&self, position: usize, state: &str) {
        let SoakServer { server, proxy, .. } = &self.servers[position];
        let mut entry = server.entry(state);
        entry["address"] = json!(proxy.address.to_string());
        let id = server.state.id();
        let mut gone = lock(&self.gone);
        if state == "ready" {
            gone.iter_mut().filter(|gone| gone.id == id && gone.until.is_none()).for_each(WithdrawnEntry::end);
        }
        self.platform.state.put_object(documents::SERVERS, &id, entry);
        if state != "ready" {
            gone.push(WithdrawnEntry { id, from: Instant::now(), until: None });
        }
    }

    /// Removes a server's entry.
    pub fn unregister(&self, position: usize) {
        let id = self.servers[position].server.state.id();
        self.platform.state.remove_object(documents::SERVERS, &id);
        let mut gone = lock(&self.gone);
        if !gone.iter().any(|gone| gone.id == id && gone.until.is_none()) {
            gone.push(WithdrawnEntry { id, from: Instant::now(), until: None });
        }
    }

    /// Whether a server's entry is being changed.
    pub fn is_moving(&self, position: usize) -> bool {
        self.servers[position].is_moving.load(Ordering::Relaxed)
    }

    /// Notes whether a server's entry is being changed.
    pub fn set_moving(&self, position: usize, is_moving: bool) {
        self.servers[position].is_moving.store(is_moving, Ordering::Relaxed);
    }

    /// Entries that were gone so far.
    pub fn gone(&self) -> Vec<WithdrawnEntry> {
        lock(&self.gone).clone()
    }

    /// Writes a version of the document; an older one changes nothing that was promised.
    pub fn write_version(&self, version: u64) {
        let document = write_document(version, &routes_of(version));
        let mut versions = lock(&self.versions);
        if versions.last().is_none_or(|last| last.version < version) {
            versions.push(WrittenVersion { version, at: Instant::now() });
        }
        self.platform.state.put_object(documents::CONFIG, documents::CONFIG_NAME, document);
    }

    /// Versions in the order of their writing.
    pub fn versions(&self) -> Vec<WrittenVersion> {
        lock(&self.versions).clone()
    }

    /// Notes that a promise was broken, once for each request and promise.
    pub fn note(&self, promise: ViolationKind, request: &str, seen: String) {
        let mut violations = lock(&self.violations);
        if !violations.iter().any(|known| known.promise == promise && known.request == request) {
            let violation = Violation { promise, request: request.to_owned(), seen };
            // Also into the log of the run, which outlasts what the test printed.
            self.tell(&format!("broken {violation}"));
            if violations.iter().filter(|known| known.promise == promise).count() < TOLD {
                eprintln!("violation at {:.3} s: {violation}", self.started.elapsed().as_secs_f64());
            }
            violations.push(violation);
        }
    }

    /// Notes something done to the fleet, for the log of the run.
    pub fn note_fault(&self, what: &str) {
        self.faults.fetch_add(1, Ordering::Relaxed);
        self.tell(what);
    }

    /// Writes a line to the log of the run.
    pub fn tell(&self, what: &str) {
        let line = format!("{:.3} {what}\n", self.started.elapsed().as_secs_f64());
        let file = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("faults.log"));
        // Without this log the run is only harder to read.
        let _ = file.and_then(|mut file| std::io::Write::write_all(&mut file, line.as_bytes()));
    }

    /// Seconds since the fleet began, of a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// What was broken so far.
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.violations).clone()
    }

    /// Starts a node's process.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn start_node(&self, position: usize) -> Result<(), RouteFleetError> {
        let node = &self.nodes[position];
        // A file of its own for each run: what is done to one run's disturbs no start.
        let file = self.folder.join(format!("{}-{}.yaml", node.name, node.run.load(Ordering::SeqCst)));
        std::fs::write(&file, &node.settings).map_err(io("writing settings"))?;
        let child = spawn(&file, &node.log).map_err(io("streamfoldd"))?;
        *lock(&node.settings_file) = file;
        *node.process.lock().await = Some(child);
        node.run.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Waits until a node is ready; false if that took too long.
    ///
    /// # Errors
    /// Its process ended so.
    pub async fn wait_ready(&self, position: usize) -> Result<bool, ExitStatus> {
        let client = LabClient::default();
        let begin = Instant::now();
        while begin.elapsed() < READY_TIMEOUT {
            if ready_status(&client, self.nodes[position].addresses.ready).await == Some(StatusCode::OK) {
                return Ok(true);
            }
            if let Some(status) = self.look_end(position).await {
                return Err(status);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(false)
    }

    /// Sends a signal to a node's process, if it still is of a run.
    pub async fn signal(&self, position: usize, run: u64, name: &str) {
        let node = &self.nodes[position];
        let process = node.process.lock().await;
        if let Some(child) = process.as_ref().filter(|_| node.run.load(Ordering::SeqCst) == run) {
            send_signal(child, name).await;
        }
    }

    /// Waits for a node's process to end; `None` if it goes on for so long.
    pub async fn wait_end(&self, position: usize, limit: Duration) -> Option<ExitStatus> {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            if let Some(status) = self.look_end(position).await {
                return Some(status);
            }
            tokio::time::sleep(LOOK).await;
        }
        None
    }

    /// Lines in the logs of all nodes that hold all of some texts.
    pub fn count_logged(&self, texts: &[&str]) -> usize {
        self.nodes.iter().map(|node| node.logged(texts).len()).sum()
    }

    /// How a node's process ended, if it did since it was last asked.
    pub async fn look_end(&self, position: usize) -> Option<ExitStatus> {
        self.take_end(position, &mut *self.nodes[position].process.lock().await)
    }

    /// How a node's process ended that nobody had asked to.
    pub async fn look_unasked_end(&self, position: usize) -> Option<ExitStatus> {
        // Whoever asks notes it before the signal, which needs the lock.
        let mut process = self.nodes[position].process.lock().await;
        if self.spans.is_leaving(position) { None } else { self.take_end(position, &mut process) }
    }

    fn take_end(&self, position: usize, process: &mut Option<Child>) -> Option<ExitStatus> {
        let status = process.as_mut()?.try_wait().ok()??;
        *process = None;
        self.nodes[position].run.fetch_add(1, Ordering::SeqCst);
        Some(status)
    }

    /// The settings file that a node's process has read, and what was in it; `None` while the
    /// process may still have to read it.
    pub fn read_settings(&self, position: usize) -> Option<(PathBuf, &str)> {
        let node = &self.nodes[position];
        let file = lock(&node.settings_file).clone();
        (!self.spans.is_leaving(position)).then_some((file, node.settings.as_str()))
    }

    /// The id of a node's process, while it has one.
    pub async fn process_id(&self, position: usize) -> Option<u32> {
        self.nodes[position].process.lock().await.as_ref()?.id()
    }

    /// Begins a span in which a node or, without one, all of them are disturbed.
    pub fn disturb(&self, kind: DisturbanceKind, node: Option<usize>) -> usize {
        self.spans.begin(kind, node)
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
