//! Settings of one process, from a YAML file and from flags, which override it. All problems are reported at once.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::Bpaf;
use serde::Deserialize;
use serde_saphyr::Spanned;
use streamfold_model::{ByteSize, FailureDomain, NodeId, TimeSpan};
use streamfold_policy::HedgeChoice;
use streamfold_router::machine_limits::{MIN_FILES, MIN_MEMORY, MachineLimits};

use crate::error::{SettingError, SettingProblem, StartError};

const DEFAULT_OWNERS: u32 = 4;
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(250);
const DEFAULT_BODY_LIMIT: ByteSize = ByteSize(1 << 20);
const DEFAULT_ANSWER_LIMIT: ByteSize = ByteSize(16 << 20);
const DEFAULT_LAME_DUCK: Duration = Duration::from_secs(2);
const DEFAULT_GRACE: Duration = Duration::from_secs(30);
const DEFAULT_CLAIM_RATE: f64 = 20.0;
const DEFAULT_TICKET_LIFE: Duration = Duration::from_secs(600);
const DEFAULT_CONNECTIONS: u32 = 10_000;

/// The policy for attempts at servers; `baseline` is for experiments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PolicyChoice {
    /// The rules for production: concurrency limits, failure backoff, and budgets for retries and hedges.
    #[default]
    Adaptive,
    /// A plain client: random server, one retry, no hedges, no limits.
    Baseline,
}

/// What a node serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServeMode {
    /// Queries and orders on the indexes of the configuration in the store.
    #[default]
    Indexes,
    /// Requests according to the routes of the users' platform.
    Routes,
}

/// The setting that selects how the other settings are read.
#[derive(Debug, Default, Deserialize)]
struct ModeFile {
    #[serde(default)]
    serve: ServeMode,
}

/// The settings file, before the checks.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SettingsFile {
    /// Read separately, by [`read_mode`].
    #[serde(rename = "serve")]
    _serve: ServeMode,
    node: Option<NodeId>,
    failure_domain: Option<FailureDomain>,
    callers: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    platform: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    owners: Option<Spanned<u32>>,
    heartbeat: Option<Spanned<TimeSpan>>,
    body_limit: Option<ByteSize>,
    answer_limit: Option<ByteSize>,
    lame_duck: Option<TimeSpan>,
    grace: Option<TimeSpan>,
    claim_rate: Option<Spanned<f64>>,
    ticket_life: Option<TimeSpan>,
    connections: Option<Spanned<u32>>,
    memory: Option<Spanned<ByteSize>>,
    max_files: Option<Spanned<u32>>,
    policy: PolicyChoice,
    hedging: HedgeChoice,
    log: Option<String>,
}

/// streamfoldd: one node of the query tier.
///
/// Every entry VM runs the same daemon. Settings come from a YAML file; flags override it.
#[derive(Debug, Clone, Default, Bpaf)]
#[bpaf(options, version)]
pub struct DaemonArgs {
    /// Read settings from this YAML file.
    #[bpaf(short, long, argument("FILE"))]
    pub settings: Option<PathBuf>,
    /// This node's name, kept across restarts.
    #[bpaf(argument("NAME"))]
    pub node: Option<NodeId>,
    /// The failure domain this node runs in.
    #[bpaf(argument("DOMAIN"))]
    pub failure_domain: Option<FailureDomain>,
    /// Listen for callers here (HTTP/1.1 and HTTP/2).
    #[bpaf(argument("IP:PORT"))]
    pub callers: Option<SocketAddr>,
    /// Listen for operators here (HTTP).
    #[bpaf(argument("IP:PORT"))]
    pub operators: Option<SocketAddr>,
    /// Listen for other nodes here.
    #[bpaf(argument("IP:PORT"))]
    pub peers: Option<SocketAddr>,
    /// Announce this address to other nodes in place of that of the peers' port.
    #[bpaf(argument("IP:PORT"))]
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's store and VM list.
    #[bpaf(argument("IP:PORT"))]
    pub platform: Option<SocketAddr>,
    /// Address of another node's peers' port, for joining the cluster; may be repeated.
    #[bpaf(long("seed"), argument("IP:PORT"))]
    pub seeds: Vec<SocketAddr>,
    /// Log filter, such as `info` or `streamfold_daemon=debug`.
    #[bpaf(argument("FILTER"))]
    pub log: Option<String>,
    /// Only check the settings, print every problem, and exit.
    pub check: bool,
}

/// Validated settings of one node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for operators.
    pub operators: SocketAddr,
    /// Address to listen on for other nodes.
    pub peers: SocketAddr,
    /// Address for other nodes that this node announces, if it is not that of the peers' port.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of other nodes' peers' ports, for joining the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Number of owners of each upstream; fewer if its failure domain has fewer live nodes.
    pub owners: usize,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Maximum size of a caller's request body.
    pub body_limit: ByteSize,
    /// Maximum size of a server's answer.
    pub answer_limit: ByteSize,
    /// How long a stopping node still accepts work, until load balancers have noticed that it is leaving.
    pub lame_duck: Duration,
    /// How long a stopping node waits for work in flight to finish.
    pub grace: Duration,
    /// Maximum number of claims of callers' own keys per second.
    pub claim_rate: f64,
    /// How long a ticket is valid and its outcome is remembered.
    pub ticket_life: Duration,
    /// Maximum number of callers' connections, if the machine has descriptors and memory for as many.
    pub connections: usize,
    /// What the machine gives this process.
    pub machine: MachineLimits,
    /// The policy for attempts at servers.
    pub policy: PolicyChoice,
    /// The rule that decides on hedges.
    pub hedging: HedgeChoice,
    /// Log filter.
    pub log: String,
}

/// Reads the name and the text of the settings file; the text is empty if the arguments name no file.
///
/// # Errors
/// The file cannot be read.
pub fn read_file(args: &DaemonArgs) -> Result<(String, String), StartError> {
    match &args.settings {
        Some(path) => Ok((path.display().to_string(), read(path)?)),
        None => Ok(("flags".to_owned(), String::new())),
    }
}

/// Reads what the node serves. An invalid file counts as one for indexes, since the reader of those settings reports
/// every problem.
///
/// # Errors
/// The file cannot be read.
pub fn read_mode(args: &DaemonArgs) -> Result<ServeMode, StartError> {
    let (_, text) = read_file(args)?;
    let file: ModeFile = serde_saphyr::from_str(&text).unwrap_or_default();
    Ok(file.serve)
}

/// Reads and checks the settings that the arguments name.
///
/// # Errors
/// The file cannot be read, or the settings are invalid; the error lists every problem in the file and the flags.
pub fn load(args: &DaemonArgs) -> Result<NodeSettings, StartError> {
    let (name, text) = read_file(args)?;
    parse(&name, &text, args).map_err(StartError::BadSettings)
}

fn read(path: &Path) -> Result<String, StartError> {
    std::fs::read_to_string(path).map_err(|source| StartError::ReadSettings { path: path.to_owned(), source })
}

/// Parses and checks settings from the text of a file and from flags.
///
/// # Errors
/// Every problem in the file and the flags.
pub fn parse(name: &str, text: &str, args: &DaemonArgs) -> Result<NodeSettings, Vec<SettingError>> {
    let file: SettingsFile = match text.trim().is_empty() {
        true => SettingsFile::default(),
        false => serde_saphyr::from_str(text).map_err(|error| vec![syntax_error(name, &error)])?,
    };
    let mut reader = SettingsReader { name, errors: Vec::new() };
    let settings = reader.read_all(file, args);
    match (settings, reader.errors.is_empty()) {
        (Some(settings), true) => Ok(settings),
        _ => Err(reader.errors),
    }
}

/// The error for invalid syntax, with its line.
pub fn syntax_error(name: &str, error: &serde_saphyr::Error) -> SettingError {
    let line = error.location().map_or(0, |location| location.line());
    let problem = SettingProblem::Syntax(error.without_snippet().to_string());
    SettingError { file: name.to_owned(), line, problem }
}

struct SettingsReader<'a> {
    name: &'a str,
    errors: Vec<SettingError>,
}

impl SettingsReader<'_> {
    fn push_error(&mut self, line: u64, problem: SettingProblem) {
        self.errors.push(SettingError { file: self.name.to_owned(), line, problem });
    }

    /// The value of a required setting, from the flag or else the file. Reports a problem if both are missing.
    fn required<T: Clone>(&mut self, name: &'static str, flag: Option<&T>, file: Option<T>) -> Option<T> {
        let value = flag.cloned().or(file);
        if value.is_none() {
            self.push_error(0, SettingProblem::Missing(name, name.replace('_', "-")));
        }
        value
    }

    /// The value of a setting from the file, or the default. Reports a problem if it is out of range.
    fn ranged<T: Copy + PartialOrd + ToString>(
        &mut self,
        name: &'static str,
        file: Option<Spanned<T>>,
        default: T,
        allowed: std::ops::RangeInclusive<T>,
        range: &'static str,
    ) -> T {
        let Some(entry) = file else { return default };
        if !allowed.contains(&entry.value) {
            let found = entry.value.to_string();
            self.push_error(entry.referenced.line(), SettingProblem::OutOfRange { name, found, range });
        }
        entry.value
    }

    fn check_ports(&mut self, ports: &[(&'static str, Option<SocketAddr>)]) {
        for (position, (name, address)) in ports.iter().enumerate() {
            let same = ports[..position].iter().find(|(_, other)| address.is_some() && other == address);
            if let (Some((other, _)), Some(address)) = (same, address)
                && address.port() != 0
            {
                self.push_error(0, SettingProblem::SameAddress(other, name, *address));
            }
        }
    }

    fn read_all(&mut self, file: SettingsFile, args: &DaemonArgs) -> Option<NodeSettings> {
        let node = self.required("node", args.node.as_ref(), file.node);
        let domain = self.required("failure_domain", args.failure_domain.as_ref(), file.failure_domain);
        let callers = self.required("callers", args.callers.as_ref(), file.callers);
        let operators = self.required("operators", args.operators.as_ref(), file.operators);
        let peers = self.required("peers", args.peers.as_ref(), file.peers);
        let platform = self.required("platform", args.platform.as_ref(), file.platform);
        self.check_ports(&[("callers", callers), ("operators", operators), ("peers", peers)]);
        let heartbeat_range = TimeSpan::from_millis(20)..=TimeSpan::from_millis(10_000);
        let heartbeat =
            self.ranged("heartbeat", file.heartbeat, TimeSpan(DEFAULT_HEARTBEAT), heartbeat_range, "20ms to 10s");
        let owners = self.ranged("owners", file.owners, DEFAULT_OWNERS, 1..=64, "1 to 64");
        let claim_rate = self.ranged("claim_rate", file.claim_rate, DEFAULT_CLAIM_RATE, 0.0..=1000.0, "0 to 1000");
        let connections =
            self.ranged("connections", file.connections, DEFAULT_CONNECTIONS, 1..=1_000_000, "1 to 1000000");
        // 0 stands for what the system reports.
        let memory = file.memory.filter(|memory| memory.value.0 > 0);
        let max_files = file.max_files.filter(|files| files.value > 0);
        let memory = self.ranged("memory", memory, ByteSize(0), MIN_MEMORY..=ByteSize(u64::MAX), "32MB or more, or 0");
        let max_files = self.ranged("max_files", max_files, 0, MIN_FILES..=u32::MAX, "64 or more, or 0");
        let seeds = if args.seeds.is_empty() { file.seeds } else { args.seeds.clone() };
        Some(NodeSettings {
            node: node?,
            domain: domain?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            advertise: args.advertise.or(file.advertise),
            platform: platform?,
            seeds,
            owners: owners as usize,
            heartbeat: heartbeat.0,
            body_limit: file.body_limit.unwrap_or(DEFAULT_BODY_LIMIT),
            answer_limit: file.answer_limit.unwrap_or(DEFAULT_ANSWER_LIMIT),
            lame_duck: file.lame_duck.map_or(DEFAULT_LAME_DUCK, |duration| duration.0),
            grace: file.grace.map_or(DEFAULT_GRACE, |duration| duration.0),
            claim_rate,
            ticket_life: file.ticket_life.map_or(DEFAULT_TICKET_LIFE, |duration| duration.0),
            connections: connections as usize,
            machine: MachineLimits::new(Some(memory), Some(max_files)),
            policy: file.policy,
            hedging: file.hedging,
            log: args.log.clone().or(file.log).unwrap_or_else(|| "info".to_owned()),
        })
    }
}
