//! A small fleet on loopback: a platform, servers and nodes, with a configuration applied.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use streamfold_daemon::error::StartError;
use streamfold_daemon::node_start::{self, NodeAddresses, RunningNode};
use streamfold_daemon::settings::{DaemonArgs, NodeSettings, PolicyChoice, parse};
use streamfold_model::operator::ApplyRequest;
use streamfold_model::{ChangeId, IndexName, ParseIdError, SourceFile};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use crate::client::{CallError, LabClient};
use crate::fleet_plan::{FleetPlan, write_config};
use crate::proxy::{self, FaultProxy};
use crate::server::{self, RunLog, ServerPlan, ServerStandin};
use crate::wait::wait_for;
use streamfold_standin::store::{self as platform, PlatformStandin};

/// The one index of a fleet.
pub const INDEX: &str = "carts";
/// The token of its caller.
pub const TOKEN: &str = "demo-token";
/// The variable that names the folder in which logs of nodes are kept, so that a test that failed can be traced.
const LOG_FOLDER: &str = "STREAMFOLD_LAB_LOGS";
/// How long a fleet may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often readiness is looked at.
const READY_LOOK: Duration = Duration::from_millis(20);
/// How long one call of the fleet itself may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a fleet did not come up.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A stand-in could not listen, or a process could not be started.
    #[error("starting {what}: {source}")]
    Io {
        /// What was being started.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// A node could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// An id of the plan is malformed.
    #[error(transparent)]
    Id(#[from] ParseIdError),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The configuration was not taken.
    #[error("applying the configuration: status {0}: {1}")]
    Apply(StatusCode, String),
    /// A node did not become ready.
    #[error("a node was not ready within {READY_TIMEOUT:?}")]
    NotReady,
    /// A process ended before it listened.
    #[error("a node's process ended before it listened")]
    NoListening,
}

/// A node in this process or in one of its own.
pub enum NodeHandle {
    /// In this process.
    Local(RunningNode),
    /// A process of its own.
    Process(Child),
}

/// One node of a fleet.
pub struct FleetNode {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its ports.
    pub addresses: NodeAddresses,
    /// The proxy before its peers' port, if it has one.
    pub proxy: Option<FaultProxy>,
    /// The node, until it is stopped.
    pub handle: Option<NodeHandle>,
}

/// A running fleet.
pub struct Fleet {
    /// How it was made.
    pub plan: FleetPlan,
    /// Its platform.
    pub platform: PlatformStandin,
    /// Its servers, by upstream; a killed one is `None`.
    pub servers: Vec<Vec<Option<ServerStandin>>>,
    /// The proxies before its servers, by upstream and server.
    pub proxies: Vec<FaultProxy>,
    /// Its nodes.
    pub nodes: Vec<FleetNode>,
    /// Orders its servers ran.
    pub log: Arc<RunLog>,
    /// A client to call it with.
    pub client: LabClient,
    /// The configuration applied.
    pub config: String,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> FleetError {
    move |source| FleetError::Io { what, source }
}

impl FleetNode {
    /// Where other nodes reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.addresses.peers, |proxy| proxy.address)
    }

    /// Sends its process a signal.
    pub async fn signal(&self, name: &str) {
        if let Some(NodeHandle::Process(child)) = &self.handle {
            send_signal(child, name).await;
        }
    }
}

impl Fleet {
    /// Starts everything and applies the configuration.
    ///
    /// # Errors
    /// Something did not come up.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let platform = platform::start(any_port()).await.map_err(io("the platform"))?;
        let log = Arc::new(RunLog::default());
        let mut servers = Vec::new();
        let count: usize = plan.domains.iter().map(|domain| domain.upstreams).sum();
        for _ in 0..count {
            let mut group = Vec::new();
            for _ in 0..plan.servers {
                group.push(Some(start_server(any_port(), &plan.server, &log).await?));
            }
            servers.push(group);
        }
        let mut proxies = Vec::new();
        if plan.has_proxies {
            for server in servers.iter().flatten().flatten() {
                proxies.push(proxy::start(any_port(), server.address).await.map_err(io("a proxy"))?);
            }
        }
        let config = write_config(&plan, &servers, &proxies);
        let client = LabClient::default();
        let mut fleet = Self { plan, platform, servers, proxies, nodes: Vec::new(), log, client, config };
        for domain in fleet.plan.domains.clone() {
            for number in 0..domain.nodes {
                fleet.add_node(domain.name, &format!("{}-{number}", domain.name)).await?;
            }
        }
        fleet.apply(&fleet.config.clone()).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts one more node.
    ///
    /// # Errors
    /// It cannot start.
    pub async fn add_node(&mut self, domain: &'static str, name: &str) -> Result<usize, FleetError> {
        let seeds: Vec<String> = self.running().map(|node| node.peer_address().to_string()).collect();
        let policy = match self.plan.policy {
            PolicyChoice::Adaptive => "adaptive",
            PolicyChoice::Baseline => "baseline",
        };
        let any = any_port();
        let proxy = match self.plan.has_proxies {
            true => Some(proxy::start(any, any).await.map_err(io("a proxy"))?),
            false => None,
        };
        let advertise = proxy.as_ref().map_or(String::new(), |proxy| format!("advertise: {}\n", proxy.address));
        let text = format!(
            "node: {name}\nfailure_domain: {domain}\ncallers: {any}\noperators: {any}\npeers: {any}\n\
             platform: {}\nseeds: [{}]\npolicy: {policy}\n{advertise}{}",
            self.platform.address,
            seeds.join(", "),
            self.plan.settings
        );
        let (addresses, handle) = match self.plan.has_processes {
            false => start_local(&text).await?,
            true => start_process(name, &text).await?,
        };
        if let Some(proxy) = &proxy {
            *proxy.target.lock().unwrap_or_else(PoisonError::into_inner) = addresses.peers;
        }
        self.nodes.push(FleetNode { name: name.to_owned(), domain, addresses, proxy, handle: Some(handle) });
        Ok(self.nodes.len() - 1)
    }

    /// Nodes that were not stopped.
    pub fn running(&self) -> impl Iterator<Item = &FleetNode> {
        self.nodes.iter().filter(|node| node.handle.is_some())
    }

    /// Callers' ports of the nodes that were not stopped.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running().map(|node| node.addresses.callers).collect()
    }

    /// Applies a configuration through the first node.
    ///
    /// # Errors
    /// It was not taken.
    pub async fn apply(&self, config: &str) -> Result<(), FleetError> {
        let files = vec![SourceFile { name: "fleet.yaml".to_owned(), text: config.to_owned() }];
        let request = ApplyRequest {
            files,
            change: ChangeId(rand::random()),
            expected: None,
            operator: "lab".to_owned(),
            reason: "experiment".to_owned(),
            dry_run: false,
        };
        let body = Bytes::from(serde_json::to_vec(&request).unwrap_or_default());
        let address = self.running().next().ok_or(FleetError::NotReady)?.addresses.operators;
        let answer = self.client.call(Method::POST, address, "/v1/config", &[], body, CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(FleetError::Apply(status, String::from_utf8_lossy(&answer.body).into_owned())),
        }
    }

    /// Waits until every node is ready and has heard of all others, and a query is whole.
    ///
    /// # Errors
    /// That did not happen in time.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let start = Instant::now();
        for node in self.running() {
            while !self.is_ready(node).await {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(FleetError::NotReady);
                }
                tokio::time::sleep(READY_LOOK).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, node: &FleetNode) -> bool {
        let address = node.addresses.operators;
        let ready = self.client.call(Method::GET, address, "/readyz", &[], Bytes::new(), CALL_TIMEOUT).await;
        if !ready.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return false;
        }
        let answer = self.query(node.addresses.callers).await;
        answer.is_some_and(|answer| answer.coverage.missing.is_empty())
    }

    /// One query through a node; `None` if there is no answer.
    pub async fn query(&self, callers: SocketAddr) -> Option<streamfold_model::QueryAnswer> {
        let headers = [("authorization", format!("Bearer {TOKEN}"))];
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let path = format!("/v1/indexes/{INDEX}/query");
        let body = Bytes::from_static(b"{\"find\":\"cart 17\"}");
        let answer = self.client.call(Method::POST, callers, &path, &headers, body, CALL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// All servers that run.
    pub fn all_servers(&self) -> impl Iterator<Item = &ServerStandin> {
        self.servers.iter().flatten().flatten()
    }

    /// Calls that all servers have had.
    pub fn server_calls(&self) -> u64 {
        self.all_servers().map(|server| server.state.counts.calls.load(Ordering::Relaxed)).sum()
    }

    /// Shards of the index.
    pub fn shards(&self) -> usize {
        self.servers.len() * self.plan.shards
    }

    /// Kills a server.
    pub fn kill_server(&mut self, upstream: usize, server: usize) {
        self.servers[upstream][server] = None;
    }

    /// Starts a killed server again at its address, as a new run.
    ///
    /// # Errors
    /// Its port stays taken.
    pub async fn restart_server(&mut self, upstream: usize, server: usize) -> Result<(), FleetError> {
        let Some(old) = self.servers[upstream][server].take() else { return Err(FleetError::NotReady) };
        let (address, newest) = (old.address, old.state.switches.newest.load(Ordering::Relaxed));
        drop(old);
        let start = Instant::now();
        loop {
            match start_server(address, &self.plan.server, &self.log).await {
                Ok(started) => {
                    started.state.switches.newest.store(newest, Ordering::Relaxed);
                    self.servers[upstream][server] = Some(started);
                    return Ok(());
                }
                Err(error) if start.elapsed() > READY_TIMEOUT => return Err(error),
                Err(_) => tokio::time::sleep(READY_LOOK).await,
            }
        }
    }

    /// Stops every node as planned.
    pub async fn stop(self) {
        for node in self.nodes {
            if let Some(handle) = node.handle {
                handle.stop().await;
            }
        }
    }
}

impl NodeHandle {
    /// Stops a node as planned and waits for its end; true if it ended well.
    pub async fn stop(self) -> bool {
        match self {
            Self::Local(running) => {
                running.stop().await;
                true
            }
            Self::Process(mut child) => {
                send_signal(&child, "TERM").await;
                child.wait().await.is_ok_and(|status| status.success())
            }
        }
    }
}

/// Sends a signal to a node's process.
pub async fn send_signal(child: &Child, name: &str) {
    let Some(pid) = child.id() else { return };
    let sent = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status().await;
    if let Err(error) = sent {
        tracing::warn!(event = "signal_not_sent", name, error = %error);
    }
}

/// Pauses a node's process. One of its threads takes the signal, and while that one waits for a processor the others go
/// on, so this waits until all have stopped.
pub async fn pause_process(child: &Child) {
    send_signal(child, "STOP").await;
    let Some(pid) = child.id() else { return };
    wait_for("all threads of the process to stop", async || is_stopped(pid).unwrap_or(true)).await;
}

/// Whether all threads of a process are stopped, by the third field of their states; a process that is gone has no threads.
fn is_stopped(pid: u32) -> std::io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("stat"))?;
        // The second field is a name in brackets, which may hold blanks.
        let state = stat.rsplit_once(')').and_then(|(_, rest)| rest.trim_start().chars().next());
        if !matches!(state, Some('T' | 'Z' | 'X')) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Starts a server stand-in of the fleet's index.
///
/// # Errors
/// It cannot listen.
pub async fn start_server(
    address: SocketAddr,
    plan: &ServerPlan,
    log: &Arc<RunLog>,
) -> Result<ServerStandin, FleetError> {
    let index: IndexName = INDEX.parse()?;
    server::start(address, index, plan.clone(), log.clone()).await.map_err(io("a server"))
}

async fn start_local(text: &str) -> Result<(NodeAddresses, NodeHandle), FleetError> {
    let settings: NodeSettings = parse("fleet", text, &DaemonArgs::default()).map_err(StartError::BadSettings)?;
    let running = node_start::start(settings).await?;
    Ok((running.addresses, NodeHandle::Local(running)))
}

/// Where the daemon's binary stands: beside this one, or one folder up from a test's.
pub fn find_binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folders = own.ancestors().skip(1).take(2);
    let candidates: Vec<PathBuf> = folders.map(|folder| folder.join(name)).collect();
    let found = candidates.iter().find(|candidate| candidate.exists());
    found.cloned().unwrap_or_else(|| PathBuf::from(name))
}

async fn start_process(name: &str, text: &str) -> Result<(NodeAddresses, NodeHandle), FleetError> {
    let unique: u64 = rand::random();
    let path = std::env::temp_dir().join(format!("streamfold-lab-{unique:016x}-{name}.yaml"));
    std::fs::write(&path, text).map_err(io("writing settings"))?;
    let mut command = Command::new(find_binary("streamfoldd"));
    command.arg("--settings").arg(&path).arg("--log").arg("info").stdout(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn().map_err(io("streamfoldd"))?;
    let stdout = child.stdout.take().ok_or(FleetError::NoListening)?;
    let mut lines = BufReader::new(stdout).lines();
    let addresses = loop {
        let line = lines.next_line().await.ok().flatten().ok_or(FleetError::NoListening)?;
        if let Some(addresses) = read_listening(&line) {
            break addresses;
        }
    };
    // The settings were read before the node listened.
    let _ = std::fs::remove_file(&path);
    tokio::spawn(keep_log(lines, name.to_owned()));
    Ok((addresses, NodeHandle::Process(child)))
}

/// Reads a node's log to its end, into a file of the folder for logs if one is named.
async fn keep_log(mut lines: Lines<BufReader<ChildStdout>>, name: String) {
    let folder = std::env::var_os(LOG_FOLDER).map(PathBuf::from);
    let path = folder.map(|folder| folder.join(format!("{name}-{:08x}.log", rand::random::<u32>())));
    let mut file = path.and_then(|path| match std::fs::File::create(&path) {
        Ok(file) => Some(file),
        Err(error) => {
            eprintln!("the log of node {name} is not kept in {}: {error}", path.display());
            None
        }
    });
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(file) = &mut file {
            // A log that ends early only makes a failure harder to trace.
            let _ = writeln!(file, "{line}");
        }
    }
}

/// The ports in a `listening` log line.
fn read_listening(line: &str) -> Option<NodeAddresses> {
    if !line.contains("event=listening") {
        return None;
    }
    let find = |name: &str| {
        let field = line.split_whitespace().find_map(|field| field.strip_prefix(name));
        field.and_then(|value| value.strip_prefix('=')).and_then(|value| value.parse().ok())
    };
    Some(NodeAddresses { callers: find("callers")?, operators: find("operators")?, peers: find("peers")? })
}
