//! A node answers with messages without end, in routing mode, with real processes. The process of the node that asked must
//! stay within the memory of its machine and answer requests meanwhile.

use std::sync::atomic::Ordering;

use http::StatusCode;
use streamfold_lab::endless::EndlessPeer;
use streamfold_lab::route_checks::{local_server, service_target};
use streamfold_lab::route_fleet::{MachinePlan, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::usage::settled_peak_memory;
use streamfold_lab::wait::wait_for;

/// Memory of a node's machine, in megabytes.
const MEMORY_MB: u32 = 160;
/// Messages without end that are waited for.
const MESSAGES: u64 = 1;
/// Requests of callers meanwhile.
const REQUESTS: usize = 20;

/// Guards against messages of a faulty node that fill the memory of the nodes that ask it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_messages_of_another_node_stay_within_the_memory() {
    let plan = RouteFleetPlan {
        servers: vec![local_server("i-0", "list")],
        routes: vec![write_route("list", "/list/", &service_target("list"))],
        machine: MachinePlan { memory_mb: MEMORY_MB, ..MachinePlan::default() },
        nodes: [1, 0],
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let peer = EndlessPeer::start().await.expect("a faulty node");
    // The next node takes the faulty one for its seed.
    let first = std::mem::replace(&mut fleet.nodes[0].addresses.peers, peer.address);
    fleet.add_node(0, "zone-a-1").await.expect("a node");
    fleet.nodes[0].addresses.peers = first;
    fleet.wait_ready(StatusCode::OK).await.expect("nodes that are ready");
    wait_for("messages without end", async || peer.ended.load(Ordering::SeqCst) >= MESSAGES).await;
    for number in 0..REQUESTS {
        let id = format!("r-{number}");
        let answer = fleet.call(1, http::Method::GET, "/list/x", &id, bytes::Bytes::new()).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    let node = &mut fleet.nodes[1];
    assert_eq!(node.process.try_wait().expect("the state of the process"), None, "the process has ended");
    let pid = node.process.id().expect("a running node");
    let memory = settled_peak_memory(pid).await.expect("its memory") >> 10;
    println!("{memory} KB, {} messages", peer.ended.load(Ordering::SeqCst));
    assert!(memory <= u64::from(MEMORY_MB) << 10, "{memory} KB");
}
