//! Evacuation of failure domains with real processes: their servers get no call from any node, from whatever source it
//! knows of the evacuation.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{check_answer, header, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;

/// Three shards with servers in both failure domains, and one with a server in the second domain only.
const SHARDS: [&str; 4] = ["s-0", "s-1", "s-2", "lone"];

async fn start(nodes: [usize; 2]) -> RouteFleet {
    let mut servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart"), remote_server("lone-f", "lone")];
    for shard in &SHARDS[..3] {
        servers.extend([local_server(&format!("{shard}-n"), shard), remote_server(&format!("{shard}-f"), shard)]);
    }
    let all = json!({ "gather": SHARDS, "topK": 7, "minCoverage": 0.5, "maxAttempts": 2, "timeoutMs": 2_500,
        "targetLatencyMs": 600 });
    let routes = vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("lone", "/lone/", &service_target("lone")),
        write_route("all", "/all/", &all),
    ];
    let plan = RouteFleetPlan { nodes, servers, routes, ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

async fn call(fleet: &RouteFleet, node: usize, path: &str, id: &str) -> CallAnswer {
    fleet.call(node, Method::GET, path, id, Bytes::new()).await.expect("an answer")
}

/// Waits until the last evacuations that a node applied are these failure domains, or `none`.
async fn wait_in_force(fleet: &RouteFleet, node: usize, domains: &str) {
    let is_last = || {
        let lines = fleet.nodes[node].logged(&["event=evacuations_in_force"]);
        lines.last().is_some_and(|line| line.contains(&format!("failure_domains={domains} ")))
    };
    wait_for("the evacuation", async || is_last()).await;
}

/// Calls every route through some nodes while the second failure domain is evacuated, and checks that its servers get
/// no call and that the shard without another server is reported as missing.
async fn check_evacuated(fleet: &RouteFleet, nodes: &[usize], name: &str) {
    let before = fleet.count_domain_calls(1);
    for node in nodes {
        for number in 0..10 {
            let id = format!("{name}-{node}-{number}");
            check_answer(fleet, &call(fleet, *node, "/any/x", &format!("any-{id}")).await, &format!("any-{id}"));
            let answer = call(fleet, *node, "/all/x", &format!("all-{id}")).await;
            assert_eq!((answer.status.as_u16(), header(&answer, "x-missing-parts")), (200, Some("1")), "{answer:?}");
        }
        let refused = call(fleet, *node, "/lone/x", &format!("lone-{name}-{node}")).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(header(&refused, "retry-after").is_some());
    }
    assert_eq!(fleet.count_domain_calls(1), before, "{name}: the evacuated servers");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_failure_domain_gets_no_call_until_the_evacuation_ends() {
    let fleet = start([3, 2]).await;
    let nodes: Vec<usize> = (0..fleet.nodes.len()).collect();
    for round in 0..2 {
        fleet.evacuate(1, true);
        for node in &nodes {
            wait_in_force(&fleet, *node, DOMAINS[1]).await;
        }
        check_evacuated(&fleet, &nodes, &format!("round-{round}")).await;
        let line = ["event=service_unreachable", &format!("request=lone-round-{round}-0"), "barred=evacuated:1"];
        wait_for("the log line with the reason", async || !fleet.nodes[0].logged(&line).is_empty()).await;
        fleet.evacuate(1, false);
        for node in &nodes {
            wait_in_force(&fleet, *node, "none").await;
            let id = format!("back-{round}-{node}");
            check_answer(&fleet, &call(&fleet, *node, "/lone/x", &id).await, &id);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hedges_and_retries_avoid_an_evacuated_failure_domain() {
    let fleet = start([1, 0]).await;
    fleet.evacuate(1, true);
    wait_in_force(&fleet, 0, DOMAINS[1]).await;
    for server in fleet.servers.iter().filter(|server| server.state.plan.domain == DOMAINS[0]) {
        server.state.switches.pause_ms.store(1_500, Ordering::Relaxed);
    }
    check_answer(&fleet, &call(&fleet, 0, "/any/x", "r-paused").await, "r-paused");
    call(&fleet, 0, "/all/x", "r-all-paused").await;
    for server in fleet.servers.iter().filter(|server| server.state.plan.domain == DOMAINS[0]) {
        server.state.switches.pause_ms.store(0, Ordering::Relaxed);
        server.state.switches.refuse.store(true, Ordering::Relaxed);
    }
    assert_eq!(call(&fleet, 0, "/any/x", "r-refused").await.status, 503);
    assert_eq!(fleet.count_domain_calls(1), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_in_flight_to_an_evacuated_failure_domain_completes() {
    let fleet = start([1, 0]).await;
    let lone = fleet.servers.iter().find(|server| server.state.plan.service == "lone").expect("a server");
    lone.state.switches.work_ms.store(1_200, Ordering::Relaxed);
    let (answer, ()) = tokio::join!(call(&fleet, 0, "/lone/x", "r-long"), async {
        wait_for("the call", async || fleet.count_runs("r-long") == 1).await;
        fleet.evacuate(1, true);
        wait_in_force(&fleet, 0, DOMAINS[1]).await;
    });
    check_answer(&fleet, &answer, "r-long");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_an_evacuation_applies_it() {
    let mut fleet = start([1, 1]).await;
    fleet.evacuate(1, true);
    for node in 0..2 {
        wait_in_force(&fleet, node, DOMAINS[1]).await;
    }
    fleet.add_node(0, "zone-a-late").await.expect("a node");
    fleet.wait_ready(StatusCode::OK).await.expect("ready");
    check_evacuated(&fleet, &[2], "late").await;
    // During a store outage the next node can learn of the evacuation only from other nodes.
    fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
    fleet.add_node(0, "zone-a-later").await.expect("a node");
    fleet.wait_ready(StatusCode::OK).await.expect("ready");
    check_evacuated(&fleet, &[3], "later").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_store_outage_and_a_lost_history() {
    let fleet = start([2, 0]).await;
    fleet.evacuate(1, true);
    for node in 0..2 {
        wait_in_force(&fleet, node, DOMAINS[1]).await;
    }
    let outage = &fleet.platform.state.faults.outage;
    outage.store(true, Ordering::Relaxed);
    // Ends the open watches, which are then cut off.
    fleet.register(0, "ready");
    fleet.platform.state.put_object("other", "thing", json!({}));
    for node in &fleet.nodes {
        wait_for("the cut watch", async || !node.logged(&["event=feed_lost", "topic=evacuations"]).is_empty()).await;
    }
    check_evacuated(&fleet, &[0, 1], "outage").await;
    fleet.evacuate(1, false);
    fleet.platform.state.forget_history();
    outage.store(false, Ordering::Relaxed);
    for node in 0..2 {
        wait_in_force(&fleet, node, "none").await;
    }
    fleet.evacuate(1, true);
    fleet.platform.state.forget_history();
    for node in 0..2 {
        wait_in_force(&fleet, node, DOMAINS[1]).await;
    }
    check_evacuated(&fleet, &[0, 1], "history").await;
}
