//! The project's own nodes, started as separate processes with the template of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::random::random;

/// Failure domains with their regions, and the nodes of a small deployment by failure domain.
pub const ZONES: [(&str, &str); 3] = [("bne-hall", "brisbane"), ("scc-hall", "sunshine"), ("twb-hall", "darling")];
pub const SIX_NODES: [&str; 6] = ["bne-hall", "scc-hall", "twb-hall", "bne-hall", "scc-hall", "twb-hall"];
/// The bounds of that deployment.
pub const BOUNDS: [(&str, &str); 7] = [
    ("graceS", "6"),
    ("contactMs", "5000"),
    ("configApplyMs", "3000"),
    ("drainMs", "3000"),
    ("retryBudgetRatio", "0.2"),
    ("budgetWindowS", "10"),
    ("budgetSlack", "52"),
];

/// The fields of the platform's settings that the template uses.
pub struct Gaps(pub Vec<(String, String)>);

impl Gaps {
    pub fn fill(&self, template: &str) -> String {
        let mut text = template.to_owned();
        // Sections whose field is not given are left out.
        while let Some(start) = text.find("{{#") {
            let name_end = start + text[start..].find("}}").expect("the end of a section's name");
            let name = text[start + 3..name_end].to_owned();
            let close = format!("{{{{/{name}}}}}");
            let end = text.find(&close).expect("the end of a section");
            let inner = text[name_end + 2..end].to_owned();
            let kept = if self.0.iter().any(|(gap, _)| *gap == name) { inner } else { String::new() };
            text.replace_range(start..end + close.len(), &kept);
        }
        for (gap, value) in &self.0 {
            text = text.replace(&format!("{{{{{gap}}}}}"), value);
        }
        assert!(!text.contains("{{"), "a gap of the template has no value: {text}");
        text
    }
}

/// Four free ports on a random loopback address. They lie below the range that the system gives to outgoing
/// connections, so that none takes them before the node listens.
fn free_addresses() -> [SocketAddr; 4] {
    loop {
        let [a, b, c, port @ ..] = random().to_be_bytes();
        let first = 10_000 + u16::from_be_bytes([port[0], port[1]]) % 20_000;
        let ip = Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254));
        let addresses = [0, 1, 2, 3].map(|number| SocketAddr::from((ip, first + number)));
        if addresses.iter().all(|address| TcpListener::bind(address).is_ok()) {
            return addresses;
        }
    }
}

/// Sends a request on a new connection and returns the answer's status.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    connection.write(format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes()).ok()?;
    connection.read().ok().map(|answer| answer.status())
}

/// One node.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
    settings: PathBuf,
    log: PathBuf,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Signals of Linux.
const SIGKILL: u64 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
/// The option of `prctl` by which the system sends a process a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

impl Node {
    /// Sends a signal to the node's process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: a call with plain numbers. The process is a child that was not waited for, so its id is its own.
        let result = unsafe { kill(self.process.id() as i32, signal) };
        assert_eq!(result, 0, "a signal could not be sent");
    }
}

/// What all nodes of a fleet share.
pub struct Fleet {
    /// Failure domains with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    pub platform: SocketAddr,
    pub folder: PathBuf,
    /// Further fields of the settings.
    pub bounds: Vec<(&'static str, &'static str)>,
}

impl Fleet {
    /// Starts one node for each given zone, and waits until all of them are ready.
    pub fn start(&self, zones: &[&str]) -> Vec<Node> {
        let ports: Vec<[SocketAddr; 4]> = zones.iter().map(|_| free_addresses()).collect();
        let nodes: Vec<Node> = zones.iter().enumerate().map(|(i, zone)| self.start_node(i, zone, &ports)).collect();
        let end = Instant::now() + Duration::from_secs(20);
        for node in &nodes {
            while get_status(node.ready, "/ready") != Some(200) {
                if Instant::now() > end {
                    eprintln!("node {} is not ready; its log is {}", node.name, node.log.display());
                    drop(nodes);
                    std::process::exit(2);
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        nodes
    }

    fn start_node(&self, number: usize, zone: &str, ports: &[[SocketAddr; 4]]) -> Node {
        let name = format!("front-{zone}-{number}");
        let [callers, ready, control, metrics] = ports[number];
        let zones: Vec<String> = self.zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let seeds: Vec<String> = ports.iter().take(3).map(|[_, _, seed, _]| format!("\"{seed}\"")).collect();
        let mut gaps: Vec<(String, String)> = [
            ("nodeName", name.clone()),
            ("zone", zone.to_owned()),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("listenAddrs.front", callers.to_string()),
            ("listenAddrs.ready", ready.to_string()),
            ("listenAddrs.control", control.to_string()),
            ("ip", metrics.ip().to_string()),
            ("internalPorts.1", metrics.port().to_string()),
            ("platform.address", self.platform.to_string()),
            ("limits.cpuCores", "1".to_owned()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bootstrap", "true".to_owned()),
        ]
        .map(|(gap, value)| (gap.to_owned(), value))
        .into();
        gaps.extend(self.bounds.iter().map(|(gap, value)| (format!("bounds.{gap}"), (*value).to_owned())));
        let template = fs::read_to_string("deploy/settings.yaml").expect("the template of the deploy file");
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, Gaps(gaps).fill(&template)).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        let mut command = Command::new("target/release/streamfoldd-node");
        command.arg("--settings").arg(&settings);
        command.stdout(fs::File::create(&log).expect("a log file")).stderr(Stdio::null());
        // SAFETY: the call between fork and exec allocates nothing. No node outlives this program, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let process = command
            .spawn()
            .expect("target/release/streamfoldd-node, as the deploy file builds it");
        Node { name, callers, ready, process, settings, log }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
