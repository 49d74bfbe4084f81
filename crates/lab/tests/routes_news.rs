//! Updates from the store, with real processes: newer routes, and servers that register, drain and disappear, including
//! changes behind a watch that was cut off.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use streamfold_lab::route_checks::{check_answer, get, header, local_server, service_target, start_pair, start_single};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::{MAX_WAIT, wait_for};

#[tokio::test(flavor = "multi_thread")]
async fn newer_routes_are_applied_and_older_ones_never() {
    let servers = vec![local_server("i-0", "old"), local_server("i-1", "new")];
    let route = |service: &str| vec![write_route("any", "/any/", &service_target(service))];
    let plan = RouteFleetPlan { nodes: [2, 1], servers, routes: route("old"), ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    fleet.put_document(12, &route("new"));
    let mut number = 0;
    for node in 0..fleet.nodes.len() {
        wait_for("the newer routes", async || {
            number += 1;
            let id = format!("r-{number}");
            let answer = fleet.call(node, Method::GET, "/any/x", &id, Bytes::new()).await.expect("an answer");
            check_answer(&fleet, &answer, &id);
            fleet.find_service_by_proof(&id, header(&answer, "x-server-stamp").expect("a proof")) == Some("new")
        })
        .await;
    }
    // The older version, followed by an unreadable entry whose log line shows that both were read.
    fleet.put_document(7, &route("old"));
    fleet.platform.state.put_object("config", "main", json!({ "version": "not a number" }));
    for node in &fleet.nodes {
        wait_for("the unreadable document", async || !node.logged(&["event=entry_unreadable"]).is_empty()).await;
    }
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("later-{number}");
        let answer =
            fleet.call(number % fleet.nodes.len(), Method::GET, "/any/x", &id, Bytes::new()).await.expect("an answer");
        check_answer(&fleet, &answer, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before, "no request follows the older routes");
}

/// Waits until a path of a new route answers.
async fn wait_for_route(fleet: &RouteFleet, path: &str) {
    let mut number = 0;
    wait_for("the new route", async || {
        number += 1;
        let id = format!("{path}-{number}");
        let answer = get(fleet, path, &id).await;
        match answer.status.as_u16() {
            200 => true,
            // The route is not known yet, or the node cannot rule out that there is one.
            404 | 503 => false,
            _ => panic!("{path}: {answer:?}"),
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_change_is_lost_to_a_dropped_history_or_a_cut_off_watch() {
    let fleet = start_single().await;
    let mut routes = vec![write_route("any", "/any/", &service_target("cart"))];
    for round in 0..3 {
        // The change is in the dropped part of the history here, and made during an outage below.
        routes.push(write_route(&format!("more-{round}"), &format!("/more-{round}/"), &service_target("cart")));
        fleet.put_document(10 + round, &routes);
        fleet.platform.state.forget_history();
        wait_for_route(&fleet, &format!("/more-{round}/x")).await;
    }
    let outage = &fleet.platform.state.faults.outage;
    for round in 3..6 {
        outage.store(true, Ordering::Relaxed);
        // Ends the open watches, which are then cut off.
        routes.push(write_route(&format!("more-{round}"), &format!("/more-{round}/"), &service_target("cart")));
        fleet.put_document(10 + round, &routes);
        if round % 2 == 0 {
            fleet.platform.state.forget_history();
        }
        check_answer(&fleet, &get(&fleet, "/any/x", &format!("out-{round}")).await, &format!("out-{round}"));
        outage.store(false, Ordering::Relaxed);
        wait_for_route(&fleet, &format!("/more-{round}/x")).await;
    }
    check_answer(&fleet, &get(&fleet, "/any/x", "r-end").await, "r-end");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drains_behind_a_cut_off_watch_gets_no_call_afterwards() {
    let fleet = start_pair().await;
    let outage = &fleet.platform.state.faults.outage;
    let reads = &fleet.platform.state.calls.reads;
    let listed = reads.load(Ordering::Relaxed);
    outage.store(true, Ordering::Relaxed);
    fleet.register(0, "draining");
    wait_for("the cut watch", async || !fleet.nodes[0].logged(&["event=feed_lost", "topic=servers"]).is_empty()).await;
    // Changes may be missing from a watch that was cut off, so the node lists everything again.
    wait_for("a listing", async || reads.load(Ordering::Relaxed) > listed).await;
    outage.store(false, Ordering::Relaxed);
    wait_for("the leaving server", async || !fleet.nodes[0].logged(&["event=server_leaving"]).is_empty()).await;
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_finishes_its_requests_and_gets_no_new_ones() {
    let fleet = start_pair().await;
    fleet.servers[0].state.switches.work_ms.store(3_000, Ordering::Relaxed);
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    let callers = fleet.nodes[0].addresses.callers;
    let client = fleet.client.clone();
    let in_flight = tokio::spawn(async move {
        let headers = [("host", HOST), ("x-request-id", "r-long"), ("x-deadline-ms", "8000")];
        client.call(Method::POST, callers, "/once/x", &headers, Bytes::new(), MAX_WAIT).await
    });
    wait_for("the request in flight", async || fleet.count_runs("r-long") == 1).await;
    fleet.register(0, "draining");
    wait_for("the leaving server", async || !fleet.nodes[0].logged(&["event=server_leaving"]).is_empty()).await;
    fleet.servers[1].state.switches.refuse.store(false, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_answer(&fleet, &get(&fleet, path, &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1, "only the request in flight");
    check_answer(&fleet, &in_flight.await.expect("a caller").expect("an answer"), "r-long");
    fleet.unregister(0);
    fleet.unregister(1);
    wait_for("no server", async || {
        let refused = get(&fleet, "/once/x", "r-none").await;
        refused.status == 503
    })
    .await;
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_without_an_entry_is_used_only_if_there_is_no_other() {
    let fleet = start_pair().await;
    fleet.unregister(0);
    wait_for("the removal of the entry", async || !fleet.nodes[0].logged(&["event=server_doubtful"]).is_empty()).await;
    let before = fleet.servers[0].state.calls().len();
    for number in 0..20 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), before);
    let fleet = start_single().await;
    fleet.unregister(0);
    wait_for("the removal of the entry", async || {
        let is_gone = !fleet.nodes[0].logged(&["event=server_doubtful"]).is_empty();
        if !is_gone {
            check_answer(&fleet, &get(&fleet, "/any/x", "r-alone").await, "r-alone");
        }
        is_gone
    })
    .await;
    wait_for("the end of the grace period", async || {
        let answer = get(&fleet, "/any/x", "r-after").await;
        match answer.status.as_u16() {
            200 => false,
            503 => true,
            _ => panic!("{answer:?}"),
        }
    })
    .await;
    let calls = fleet.servers[0].state.calls().len();
    assert_eq!(get(&fleet, "/any/x", "r-late").await.status, 503);
    assert_eq!(fleet.servers[0].state.calls().len(), calls);
    // The server is used again once its entry is back.
    fleet.register(0, "ready");
    wait_for("the server again", async || get(&fleet, "/any/x", "r-again").await.status == 200).await;
}
