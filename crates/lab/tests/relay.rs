//! Many nodes of one failure domain, with real processes: one of them reads the store for all, and the others still
//! get every update when it is stopped, killed, paused or loses the store.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_lab::fleet::{pause_process, send_signal};
use streamfold_lab::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, RouteNode, write_route};
use streamfold_lab::wait::{MAX_WAIT, wait_for};
use streamfold_model::CoreShare;
use streamfold_policy::reader_choice::{ReaderCandidate, choose_readers};
use streamfold_standin::server::RouteServerPlan;

/// Nodes of the failure domain.
const NODES: usize = 6;

fn server(id: &str) -> RouteServerPlan {
    RouteServerPlan::new(id, "cart", DOMAINS[0])
}

fn routes() -> Vec<Value> {
    vec![write_route("cart", "/cart/", &json!({ "service": "cart" }))]
}

async fn start_fleet() -> RouteFleet {
    let plan = RouteFleetPlan {
        nodes: [NODES, 0],
        servers: vec![server("i-0"), server("i-1")],
        routes: routes(),
        ..RouteFleetPlan::default()
    };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    wait_for("one reader", async || find_readers(&fleet).len() == 1).await;
    fleet
}

/// The source of updates that a node logged last.
fn read_source(node: &RouteNode) -> Option<String> {
    let line = node.logged(&["event=feed_source"]).pop()?;
    line.split(' ').find_map(|field| field.strip_prefix("source=").map(str::to_owned))
}

/// The positions of the nodes that read the store directly, as they logged last.
fn find_readers(fleet: &RouteFleet) -> Vec<usize> {
    let reads = |position: &usize| read_source(&fleet.nodes[*position]).as_deref() == Some("Store");
    (0..fleet.nodes.len()).filter(reads).collect()
}

/// The positions of the nodes that rank highest as readers.
fn find_preferred_readers(fleet: &RouteFleet, count: usize) -> Vec<usize> {
    let cpu_share = Some(CoreShare(1_000));
    let nodes: Vec<ReaderCandidate> =
        fleet.nodes.iter().map(|node| ReaderCandidate { name: &node.name, cpu_share }).collect();
    let rank = |position: &usize| choose_readers(nodes[*position].name, DOMAINS[0], &nodes).readers.len();
    let mut positions: Vec<usize> = (0..nodes.len()).collect();
    positions.sort_by_key(rank);
    positions.truncate(count);
    positions
}

fn has_version(node: &RouteNode, version: u64) -> bool {
    !node.logged(&["event=routes_in_force", &format!("version={version} ")]).is_empty()
}

/// Waits until all nodes but the excluded ones have applied a version of the routes.
async fn wait_version(fleet: &RouteFleet, version: u64, excluded: &[usize]) {
    let others = || (0..fleet.nodes.len()).filter(|position| !excluded.contains(position));
    let all_have = async || others().all(|position| has_version(&fleet.nodes[position], version));
    wait_for(&format!("version {version} at all nodes"), all_have).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_node_reads_the_store_for_its_failure_domain() {
    let fleet = start_fleet().await;
    let watches = || fleet.platform.state.calls.watches.load(Ordering::Relaxed);
    // A watch of each topic ends with every change and is opened again.
    let before = watches();
    fleet.put_document(2, &routes());
    wait_version(&fleet, 2, &[]).await;
    fleet.register(0, "draining");
    let all_know =
        async || fleet.nodes.iter().all(|node| !node.logged(&["event=server_leaving", "server=i-0"]).is_empty());
    wait_for("the leaving server at all nodes", all_know).await;
    let added = watches() - before;
    assert!(added <= 4, "{added} watches for two changes at {NODES} nodes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_reader_is_replaced() {
    let mut fleet = start_fleet().await;
    let reader = find_readers(&fleet)[0];
    fleet.nodes[reader].process.kill().await.expect("a killed reader");
    fleet.put_document(2, &routes());
    wait_version(&fleet, 2, &[reader]).await;
    let is_shared = async || find_readers(&fleet).iter().filter(|position| **position != reader).count() == 1;
    wait_for("one new reader", is_shared).await;
    fleet.put_document(3, &routes());
    wait_version(&fleet, 3, &[reader]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_reader_withholds_no_update_from_the_others() {
    let fleet = start_fleet().await;
    let reader = find_readers(&fleet)[0];
    pause_process(&fleet.nodes[reader].process).await;
    fleet.put_document(2, &routes());
    fleet.register(1, "draining");
    wait_version(&fleet, 2, &[reader]).await;
    let all_know = async || {
        let others = (0..NODES).filter(|position| *position != reader);
        others
            .into_iter()
            .all(|position| !fleet.nodes[position].logged(&["event=server_leaving", "server=i-1"]).is_empty())
    };
    wait_for("the leaving server at the other nodes", all_know).await;
    send_signal(&fleet.nodes[reader].process, "CONT").await;
    wait_version(&fleet, 2, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_node_reads_the_store_while_the_first_three_readers_are_paused() {
    let fleet = start_fleet().await;
    let paused = find_preferred_readers(&fleet, 3);
    for position in &paused {
        pause_process(&fleet.nodes[*position].process).await;
    }
    fleet.put_document(2, &routes());
    wait_version(&fleet, 2, &paused).await;
    // Of the other nodes, one reads the store and each of the rest follows a running node.
    let follows_running = |position: &usize| {
        let followed = fleet.nodes[*position].logged(&["event=reader_followed"]).pop();
        let paused_names = paused.iter().map(|paused| format!("reader={} ", fleet.nodes[*paused].name));
        followed.is_some_and(|line| paused_names.into_iter().all(|name| !line.contains(&name)))
    };
    let is_shared = async || {
        let running: Vec<usize> = (0..NODES).filter(|position| !paused.contains(position)).collect();
        let readers = find_readers(&fleet);
        let others: Vec<usize> = running.into_iter().filter(|position| !readers.contains(position)).collect();
        others.len() == NODES - paused.len() - 1 && others.iter().all(follows_running)
    };
    wait_for("one reader among the running nodes", is_shared).await;
    for position in paused {
        send_signal(&fleet.nodes[position].process, "CONT").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_get_updates_from_a_store_outage_and_one_reads_the_store_again() {
    let fleet = start_fleet().await;
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    // A change ends the open watches, so that every node notices the outage.
    fleet.put_document(2, &routes());
    let is_lost = async || fleet.nodes.iter().all(|node| !node.logged(&["event=feed_lost"]).is_empty());
    wait_for("the outage at all nodes", is_lost).await;
    fleet.platform.state.faults.outage.store(false, Ordering::Relaxed);
    wait_version(&fleet, 2, &[]).await;
    wait_for("one reader", async || find_readers(&fleet).len() == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_removes_the_nodes_entry_and_a_kill_leaves_it() {
    let mut fleet = start_fleet().await;
    let list_entries = |fleet: &RouteFleet| -> BTreeSet<String> {
        fleet.platform.state.dump("nodes/").into_iter().map(|(key, _)| key).collect()
    };
    let all = list_entries(&fleet);
    assert_eq!(all.len(), NODES);
    send_signal(&fleet.nodes[0].process, "TERM").await;
    let status = fleet.nodes[0].process.wait().await.expect("an exit");
    assert!(status.success(), "{status}");
    fleet.nodes[1].process.kill().await.expect("a killed node");
    let remaining = list_entries(&fleet);
    assert_eq!(all.difference(&remaining).collect::<Vec<_>>(), ["nodes/zone-a-0"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_entry_of_a_dead_node_is_removed_and_that_of_a_live_one_is_restored() {
    let plan = RouteFleetPlan {
        nodes: [3, 0],
        servers: vec![server("i-0")],
        routes: routes(),
        settings: "gone_after: 2s\n",
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let list_entries = async |fleet: &RouteFleet| -> Vec<String> {
        fleet.platform.state.dump("nodes/").into_iter().map(|(key, _)| key).collect()
    };
    wait_for("all entries", async || list_entries(&fleet).await.len() == 3).await;
    fleet.nodes[1].process.kill().await.expect("a killed node");
    wait_for("the entry to be removed", async || list_entries(&fleet).await == ["nodes/zone-a-0", "nodes/zone-a-2"])
        .await;
    // As a node does that can no longer reach this one.
    fleet.platform.state.remove_object("streamfold-nodes", "zone-a-2");
    wait_for("the entry to be written again", async || {
        list_entries(&fleet).await == ["nodes/zone-a-0", "nodes/zone-a-2"]
    })
    .await;
    let is_logged = async || !fleet.nodes[2].logged(&["event=own_entry_missing"]).is_empty();
    wait_for("the line about the missing entry", is_logged).await;
}

/// The fewest bytes that a server's entry can take, including an id of twenty letters.
const MIN_ENTRY_BYTES: u64 = 30;

/// Bytes of snapshots that all nodes but the excluded one have sent to new followers.
async fn count_snapshot_bytes(fleet: &RouteFleet, excluded: Option<usize>) -> u64 {
    let mut sum = 0;
    for position in (0..fleet.nodes.len()).filter(|position| Some(*position) != excluded) {
        let address = fleet.nodes[position].addresses.metrics;
        let answer = fleet.client.call(Method::GET, address, "/metrics", &[], Bytes::new(), MAX_WAIT).await;
        let text = String::from_utf8(answer.expect("counters").body.to_vec()).expect("text");
        let line = text.lines().find(|line| line.starts_with("streamfold_relay_bytes_total{kind=\"begin\"}"));
        sum += line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).unwrap_or(0);
    }
    sum
}

/// Guards against full snapshots for nodes that change their reader. Nodes that lose their reader all switch to the
/// same node: eighteen of them did so within 17 ms at a node with 25 Mbit/s, which sent each the full 75 KB, 1.35 MB in
/// all. Its calls to servers queued behind these for 0.57 s, so the servers were given a deadline of 862 ms when
/// their caller had only 253 ms left.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_changes_its_reader_gets_only_missing_entries() {
    let mut fleet = start_fleet().await;
    for number in 0..300 {
        let entry = json!({ "service": format!("shard-{number}"), "address": format!("127.9.0.1:{}", 20_000 + number),
            "zone": DOMAINS[number % 2], "version": "1", "capacity": 2, "state": "ready", "warmupLeftMs": 0, "sequence": 1 });
        fleet.platform.state.put_object("servers", &format!("i-of-shard-{number}"), entry);
    }
    let is_last = |node: &RouteNode| !node.logged(&["event=server_seen", "server=i-of-shard-299"]).is_empty();
    wait_for("all entries at all nodes", async || fleet.nodes.iter().all(is_last)).await;
    let reader = find_readers(&fleet)[0];
    let before = count_snapshot_bytes(&fleet, Some(reader)).await;
    fleet.nodes[reader].process.kill().await.expect("a killed reader");
    let killed_reader = format!("reader={} ", fleet.nodes[reader].name);
    let follows_running = |position: &usize| {
        let followed = fleet.nodes[*position].logged(&["event=reader_followed"]).pop();
        followed.is_some_and(|line| !line.contains(&killed_reader))
    };
    wait_for("one new reader that all others follow", async || {
        (0..NODES).filter(|position| *position != reader && follows_running(position)).count() == NODES - 2
    })
    .await;
    let sent = count_snapshot_bytes(&fleet, Some(reader)).await - before;
    assert!(sent < 300 * MIN_ENTRY_BYTES, "{sent} bytes for {} nodes", NODES - 2);
}
