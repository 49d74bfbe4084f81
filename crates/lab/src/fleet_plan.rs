//! Parameters of a fleet, and the configuration that an operator would write for it.

use std::fmt::Write;

use streamfold_daemon::settings::PolicyChoice;
use streamfold_model::ContentDigest;

use crate::fleet::{INDEX, TOKEN};
use crate::proxy::FaultProxy;
use crate::server::{ServerPlan, ServerStandin};

/// Parameters of one failure domain of a fleet.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// Name of the failure domain.
    pub name: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams.
    pub upstreams: usize,
}

/// Parameters of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Failure domains.
    pub domains: Vec<DomainPlan>,
    /// Number of servers of each upstream.
    pub servers: usize,
    /// Number of shards of each upstream.
    pub shards: usize,
    /// Parameters of each server.
    pub server: ServerPlan,
    /// Policy that the nodes use.
    pub policy: PolicyChoice,
    /// The callers' preference: `latency` or `coverage`.
    pub prefer: &'static str,
    /// Time after which a `latency` caller accepts an answer without all shards; half its deadline if `None`.
    pub prefer_within: Option<&'static str>,
    /// Deadline of the callers' requests.
    pub deadline: &'static str,
    /// Whether each node runs as a process of its own.
    pub has_processes: bool,
    /// Callers besides the default one; the token of each is its name.
    pub callers: Vec<&'static str>,
    /// Index version from which on every upstream has twice as many shards.
    pub repartition_at: Option<u64>,
    /// Whether fault proxies stand before the servers and before the nodes' ports for peers.
    pub has_proxies: bool,
    /// Additional lines of the settings file of every node.
    pub settings: String,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            domains: vec![
                DomainPlan { name: "vienna", nodes: 2, upstreams: 10 },
                DomainPlan { name: "tyrol", nodes: 2, upstreams: 10 },
            ],
            servers: 2,
            shards: 1,
            server: ServerPlan::default(),
            policy: PolicyChoice::Adaptive,
            prefer: "coverage",
            prefer_within: None,
            deadline: "1s",
            has_processes: false,
            callers: Vec::new(),
            repartition_at: None,
            has_proxies: false,
            settings: "lame_duck: 200ms\ngrace: 10s\nheartbeat: 100ms\n".to_owned(),
        }
    }
}

/// Writes the configuration of a fleet, as an operator would.
pub fn write_config(plan: &FleetPlan, servers: &[Vec<Option<ServerStandin>>], proxies: &[FaultProxy]) -> String {
    let mut text = format!("indexes:\n  {INDEX}:\n    layouts:\n");
    write_layout(&mut text, 1, servers.len(), plan.shards);
    if let Some(version) = plan.repartition_at {
        write_layout(&mut text, version, servers.len(), plan.shards * 2);
    }
    // Writing to a String cannot fail.
    text.push_str("upstreams:\n");
    let names = plan.domains.iter().flat_map(|domain| std::iter::repeat_n(domain.name, domain.upstreams));
    let mut proxies = proxies.iter();
    for (number, (group, domain)) in servers.iter().zip(names).enumerate() {
        let server_addresses =
            group.iter().flatten().map(|server| proxies.next().map_or(server.address, |proxy| proxy.address));
        let addresses = server_addresses.map(|address| address.to_string());
        let list = addresses.collect::<Vec<_>>().join("\", \"");
        let (slots, connections) = (plan.server.slots, plan.server.connections);
        let _ = writeln!(
            text,
            "  {INDEX}-{number:03}: {{failure_domain: {domain}, slots: {slots}, connections: {connections}, servers: [\"{list}\"]}}"
        );
    }
    text.push_str("callers:\n");
    let first = std::iter::once(("depot", TOKEN));
    for (name, token) in first.chain(plan.callers.iter().map(|name| (*name, *name))) {
        let digest = ContentDigest::of(token.as_bytes());
        let (prefer, deadline) = (plan.prefer, plan.deadline);
        let _ = write!(
            text,
            "  {name}:\n    token_sha256: {digest}\n    indexes: [{INDEX}]\n    prefer: {prefer}\n    \
             deadline: {deadline}\n    rate: 100000/s\n    concurrency: 10000\n"
        );
        if let Some(within) = plan.prefer_within {
            let _ = writeln!(text, "    prefer_within: {within}");
        }
    }
    text
}

/// Writes one layout, with `shards` shards on each upstream.
fn write_layout(text: &mut String, version: u64, upstreams: usize, shards: usize) {
    // Writing to a String cannot fail.
    let _ = write!(text, "      - from_version: {version}\n        shards:\n");
    for number in 0..upstreams {
        let first = number * shards;
        let last = first + shards - 1;
        let _ = writeln!(text, "          - {{ids: [{first}, {last}], upstreams: [{INDEX}-{number:03}]}}");
    }
}
