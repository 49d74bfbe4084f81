//! Starts a small fleet on loopback: a simulated platform, simulated servers and real nodes, with a configuration
//! applied.

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

/// Name of the only index of a fleet.
pub const INDEX: &str = "carts";
/// Bearer token of a fleet's default caller.
pub const TOKEN: &str = "demo-token";
/// Environment variable with the directory for the nodes' logs, which help to analyse a failed test.
const LOG_DIRECTORY_VARIABLE: &str = "STREAMFOLD_LAB_LOGS";
/// Timeout of a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often readiness is checked.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one call that the fleet itself makes.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of starting or controlling a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A simulated component could not listen, or a process could not be started.
    #[error("starting {what}: {source}")]
    Io {
        /// Component that was being started.
        what: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A node could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A name in the plan is malformed.
    #[error(transparent)]
    Id(#[from] ParseIdError),
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The configuration was not accepted.
    #[error("applying the configuration: status {0}: {1}")]
    Apply(StatusCode, String),
    /// A node did not become ready in time.
    #[error("a node was not ready within {READY_TIMEOUT:?}")]
    NotReady,
    /// A node's process exited before it logged its addresses.
    #[error("a node's process exited before it logged its addresses")]
    NotListening,
}

/// Handle of a running node.
pub enum NodeHandle {
    /// The node runs in this process.
    Local(RunningNode),
    /// The node runs in a process of its own.
    Process(Child),
}

/// Node of a fleet.
pub struct FleetNode {
    /// Name of the node.
    pub name: String,
    /// Failure domain of the node.
    pub domain: &'static str,
    /// Addresses that it listens on.
    pub addresses: NodeAddresses,
    /// Fault proxy before its port for peers, if there is one.
    pub proxy: Option<FaultProxy>,
    /// Handle of the node; `None` once it was stopped or killed.
    pub handle: Option<NodeHandle>,
}

/// A running fleet.
pub struct Fleet {
    /// Parameters it was started with.
    pub plan: FleetPlan,
    /// Simulated platform with the store.
    pub platform: PlatformStandin,
    /// Simulated servers by upstream; a killed one is `None`.
    pub servers: Vec<Vec<Option<ServerStandin>>>,
    /// Fault proxies before the servers, ordered by upstream and server.
    pub proxies: Vec<FaultProxy>,
    /// Nodes, those that were stopped included.
    pub nodes: Vec<FleetNode>,
    /// Log of the orders that the servers ran.
    pub log: Arc<RunLog>,
    /// HTTP client for calls to the fleet.
    pub client: LabClient,
    /// Text of the configuration that was applied at the start.
    pub config: String,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn io(what: &'static str) -> impl Fn(std::io::Error) -> FleetError {
    move |source| FleetError::Io { what, source }
}

impl FleetNode {
    /// Address at which other nodes reach it: that of its proxy, if there is one.
    pub fn peer_address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.addresses.peers, |proxy| proxy.address)
    }

    /// Sends a signal to the process of the node, if it has one of its own.
    pub async fn signal(&self, name: &str) {
        if let Some(NodeHandle::Process(child)) = &self.handle {
            send_signal(child, name).await;
        }
    }
}

impl Fleet {
    /// Starts all parts of a fleet, applies the configuration and waits until the fleet is ready.
    ///
    /// # Errors
    /// A part did not start or become ready.
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

    /// Starts one more node and returns its index in `nodes`.
    ///
    /// # Errors
    /// The node cannot start.
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

    /// Addresses for callers of the nodes that were not stopped.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running().map(|node| node.addresses.callers).collect()
    }

    /// Applies a configuration through the first node.
    ///
    /// # Errors
    /// The call failed or the configuration was not accepted.
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

    /// Waits until every node reports that it is ready and answers a query with all shards.
    ///
    /// # Errors
    /// A node was not ready in time.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let start = Instant::now();
        for node in self.running() {
            while !self.is_ready(node).await {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(FleetError::NotReady);
                }
                tokio::time::sleep(READY_CHECK_INTERVAL).await;
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

    /// Sends one query through a node; `None` if there is no valid answer.
    pub async fn query(&self, callers: SocketAddr) -> Option<streamfold_model::QueryAnswer> {
        let headers = [("authorization", format!("Bearer {TOKEN}"))];
        let headers: Vec<_> = headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
        let path = format!("/v1/indexes/{INDEX}/query");
        let body = Bytes::from_static(b"{\"find\":\"cart 17\"}");
        let answer = self.client.call(Method::POST, callers, &path, &headers, body, CALL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// All running servers.
    pub fn all_servers(&self) -> impl Iterator<Item = &ServerStandin> {
        self.servers.iter().flatten().flatten()
    }

    /// Number of calls that the running servers have received.
    pub fn server_calls(&self) -> u64 {
        self.all_servers().map(|server| server.state.counts.calls.load(Ordering::Relaxed)).sum()
    }

    /// Number of shards of the index.
    pub fn shards(&self) -> usize {
        self.servers.len() * self.plan.shards
    }

    /// Kills a server.
    pub fn kill_server(&mut self, upstream: usize, server: usize) {
        self.servers[upstream][server] = None;
    }

    /// Restarts a running server at the same address, with a new incarnation and the same newest index version.
    ///
    /// # Errors
    /// The server was killed before, or its port stays in use.
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
                Err(_) => tokio::time::sleep(READY_CHECK_INTERVAL).await,
            }
        }
    }

    /// Shuts down every node gracefully.
    pub async fn stop(self) {
        for node in self.nodes {
            if let Some(handle) = node.handle {
                handle.stop().await;
            }
        }
    }
}

impl NodeHandle {
    /// Shuts a node down gracefully and waits until it exits; returns whether it exited with success.
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

/// Sends the signal `name`, such as `TERM`, to a node's process.
pub async fn send_signal(child: &Child, name: &str) {
    let Some(pid) = child.id() else { return };
    let sent = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status().await;
    if let Err(error) = sent {
        tracing::warn!(event = "signal_not_sent", name, error = %error);
    }
}

/// Pauses a node's process and waits until all its threads have stopped. One thread receives the signal, and the others
/// keep running while that thread waits for a CPU.
pub async fn pause_process(child: &Child) {
    send_signal(child, "STOP").await;
    let Some(pid) = child.id() else { return };
    wait_for("all threads of the process to stop", async || is_stopped(pid).unwrap_or(true)).await;
}

/// Whether all threads of a process are stopped or have exited, according to the third field of their `stat` files.
/// An error means that the process does not exist any more.
fn is_stopped(pid: u32) -> std::io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("stat"))?;
        // The second field is the name in parentheses, which may contain spaces.
        let state = stat.rsplit_once(')').and_then(|(_, rest)| rest.trim_start().chars().next());
        if !matches!(state, Some('T' | 'Z' | 'X')) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Starts a simulated server of the fleet's index.
///
/// # Errors
/// The server cannot listen.
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

/// Finds a binary in the directory of the running one or, as for a test, one directory up; otherwise returns `name`.
pub fn find_binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directories = own.ancestors().skip(1).take(2);
    let candidates: Vec<PathBuf> = directories.map(|directory| directory.join(name)).collect();
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
    let stdout = child.stdout.take().ok_or(FleetError::NotListening)?;
    let mut lines = BufReader::new(stdout).lines();
    let addresses = loop {
        let line = lines.next_line().await.ok().flatten().ok_or(FleetError::NotListening)?;
        if let Some(addresses) = parse_listening(&line) {
            break addresses;
        }
    };
    // The node has read its settings before it listens.
    let _ = std::fs::remove_file(&path);
    tokio::spawn(save_log(lines, name.to_owned()));
    Ok((addresses, NodeHandle::Process(child)))
}

/// Reads a node's log to its end, and writes it into a file if the directory for logs is set.
async fn save_log(mut lines: Lines<BufReader<ChildStdout>>, name: String) {
    let directory = std::env::var_os(LOG_DIRECTORY_VARIABLE).map(PathBuf::from);
    let path = directory.map(|directory| directory.join(format!("{name}-{:08x}.log", rand::random::<u32>())));
    let mut file = path.and_then(|path| match std::fs::File::create(&path) {
        Ok(file) => Some(file),
        Err(error) => {
            eprintln!("cannot save the log of node {name} in {}: {error}", path.display());
            None
        }
    });
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(file) = &mut file {
            // A failed write is ignored: an incomplete log only makes a test failure harder to analyse.
            let _ = writeln!(file, "{line}");
        }
    }
}

/// Parses the addresses in a `listening` log line.
fn parse_listening(line: &str) -> Option<NodeAddresses> {
    if !line.contains("event=listening") {
        return None;
    }
    let find = |name: &str| {
        let field = line.split_whitespace().find_map(|field| field.strip_prefix(name));
        field.and_then(|value| value.strip_prefix('=')).and_then(|value| value.parse().ok())
    };
    Some(NodeAddresses { callers: find("callers")?, operators: find("operators")?, peers: find("peers")? })
}
