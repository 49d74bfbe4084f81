//! `streamfold status`: nodes, configurations and servers by failure domain.

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

/// All nodes that one node knows, each asked itself.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// What they told.
    pub nodes: Vec<NodeStatus>,
    /// Nodes that did not answer.
    pub unreached: Vec<NodeId>,
}

impl FleetStatus {
    /// Whether every node reached has at least this version.
    pub fn is_in_force(&self, version: ConfigVersion) -> bool {
        self.nodes.iter().all(|node| node.config_version >= version)
    }
}

async fn read_node(address: SocketAddr) -> Result<NodeStatus, CliError> {
    NodeCall::get(address, "/v1/status").read().await
}

/// Asks one node for all it knows, and then each of them.
pub async fn read_fleet(operators: SocketAddr) -> Result<FleetStatus, CliError> {
    let first = read_node(operators).await?;
    let mut asked = JoinSet::new();
    let others = first.members.iter().filter(|member| member.node != first.node && member.state != "gone");
    for member in others {
        let (node, address) = (member.node.clone(), member.operator_address);
        asked.spawn(async move { (node, read_node(address).await) });
    }
    let mut fleet = FleetStatus { nodes: vec![first], unreached: Vec::new() };
    while let Some(told) = asked.join_next().await {
        match told {
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
    /// Prints the status; partial if a node was not reached.
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
        let told: Vec<String> = versions.iter().map(|(version, count)| format!("{version} on {count}")).collect();
        println!("{:<16} {:>5} {:>5}  {}", domain.as_str(), nodes.len(), ready, told.join(", "));
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
