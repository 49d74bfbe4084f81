//! `streamfold status`: shows nodes and their configuration versions by failure domain, and servers that are leaving or
//! unreachable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;

use serde::Serialize;
use streamfold_model::operator::{MemberHealth, NodeStatus};
use streamfold_model::{ConfigVersion, FailureDomain, NodeId};
use tokio::task::JoinSet;

use crate::args::Status;
use crate::client::NodeCall;
use crate::error::{CliError, EXIT_PARTIAL};
use crate::util::print_json;

/// The status of every node that the contacted node lists, as each node reports it.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// The reports of the nodes that answered, ordered by node.
    pub nodes: Vec<NodeStatus>,
    /// Nodes without a usable answer, in order.
    pub unreached: Vec<NodeId>,
}

impl FleetStatus {
    /// Whether every node that answered has this version or a newer one in force.
    pub fn is_in_force(&self, version: ConfigVersion) -> bool {
        self.nodes.iter().all(|node| node.config_version >= version)
    }
}

async fn read_node(address: SocketAddr) -> Result<NodeStatus, CliError> {
    NodeCall::get(address, "/v1/status").send_for_json().await
}

/// Reads the status of one node, and then, concurrently, that of every other node in its member list that is not gone.
///
/// # Errors
/// The first node could not be read. Failures of the others only make them `unreached`.
pub async fn read_fleet(operators: SocketAddr) -> Result<FleetStatus, CliError> {
    let first = read_node(operators).await?;
    let mut requests = JoinSet::new();
    let others = first.members.iter().filter(|member| member.node != first.node && member.state != "gone");
    for member in others {
        let (node, address) = (member.node.clone(), member.operator_address);
        requests.spawn(async move { (node, read_node(address).await) });
    }
    let mut fleet = FleetStatus { nodes: vec![first], unreached: Vec::new() };
    while let Some(reply) = requests.join_next().await {
        match reply {
            Ok((_, Ok(status))) => fleet.nodes.push(status),
            Ok((node, Err(_))) => fleet.unreached.push(node),
            Err(_) => {}
        }
    }
    fleet.nodes.sort_by(|a, b| a.node.cmp(&b.node));
    fleet.unreached.sort();
    Ok(fleet)
}

impl Status {
    /// Prints the status. The exit code is [`EXIT_PARTIAL`] if a node was not reached.
    pub async fn run(&self) -> Result<ExitCode, CliError> {
        let fleet = read_fleet(self.operators).await?;
        if self.json {
            print_json(&fleet)?;
        } else {
            print_domains(&fleet);
            if self.servers {
                print_servers(&fleet);
            }
        }
        Ok(if fleet.unreached.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_PARTIAL) })
    }
}

fn print_domains(fleet: &FleetStatus) {
    let mut domains: BTreeMap<&FailureDomain, Vec<&NodeStatus>> = BTreeMap::new();
    for node in &fleet.nodes {
        domains.entry(&node.failure_domain).or_default().push(node);
    }
    println!("{:<16} {:>5} {:>5}  configurations in force", "failure domain", "nodes", "ready");
    for (domain, nodes) in domains {
        let ready = nodes.iter().filter(|node| node.ready).count();
        let mut versions: BTreeMap<ConfigVersion, usize> = BTreeMap::new();
        for node in &nodes {
            *versions.entry(node.config_version).or_default() += 1;
        }
        let counts: Vec<String> = versions.iter().map(|(version, count)| format!("{version} on {count}")).collect();
        println!("{:<16} {:>5} {:>5}  {}", domain.as_str(), nodes.len(), ready, counts.join(", "));
    }
    for node in &fleet.nodes {
        let dead = node.members.iter().filter(|member| member.health == MemberHealth::Dead && member.state != "gone");
        for member in dead {
            println!("{} hears nothing of {} ({})", node.node, member.node, member.domain);
        }
        if let Some(cause) = &node.unready_cause {
            println!("{} is not ready: {cause}", node.node);
        }
    }
    for node in &fleet.unreached {
        println!("not reached: {node}");
    }
}

fn print_servers(fleet: &FleetStatus) {
    for node in &fleet.nodes {
        for server in node.servers.iter().filter(|server| !server.reachable || server.leaving) {
            let state = if server.leaving { "leaving" } else { "unreachable" };
            println!("{} sees server {} of {} {state}", node.node, server.server, server.upstream);
        }
    }
}
