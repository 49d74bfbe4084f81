//! Servers that restart under the same id, and invalid entries from other writers in the store. With real processes.

use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use streamfold_lab::route_checks::{check_answer, get, local_server, service_target};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::SERVERS;
use streamfold_standin::server::FIRST_START_MS;

async fn start(servers: usize) -> RouteFleet {
    let servers = (0..servers).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    let routes = vec![write_route("any", "/any/", &service_target("cart"))];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

/// Waits until a server answers a request itself.
async fn wait_served(fleet: &RouteFleet, name: &str) {
    let mut number = 0;
    wait_for("a request to be served", async || {
        number += 1;
        let id = format!("{name}-{number}");
        let answer = get(fleet, "/any/x", &id).await;
        if answer.status == 200 {
            check_answer(fleet, &answer, &id);
        }
        answer.status == 200
    })
    .await;
}

async fn wait_logged(fleet: &RouteFleet, texts: &[&str]) {
    wait_for(&format!("{texts:?}"), async || !fleet.nodes[0].logged(texts).is_empty()).await;
}

fn put(fleet: &RouteFleet, name: &str, entry: Value) {
    fleet.platform.state.put_object(SERVERS, name, entry);
}

/// The entry of the first server with some fields changed.
fn changed(fleet: &RouteFleet, fields: &Value) -> Value {
    let mut entry = fleet.servers[0].entry("ready");
    for (name, value) in fields.as_object().expect("fields") {
        entry[name] = value.clone();
    }
    entry
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_that_restarts_under_its_id_serves_again() {
    let fleet = start(1).await;
    wait_served(&fleet, "before").await;
    fleet.register(0, "draining");
    wait_logged(&fleet, &["event=server_leaving", "server=i-0"]).await;
    fleet.servers[0].state.born.store(FIRST_START_MS + 5, Ordering::Relaxed);
    fleet.register(0, "ready");
    wait_served(&fleet, "after").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_entry_of_an_older_run_does_not_change_the_newer_one() {
    let fleet = start(1).await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "born": FIRST_START_MS + 5 })));
    wait_logged(&fleet, &["event=server_restarted", "server=i-0"]).await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "born": FIRST_START_MS, "state": "draining" })));
    // Once this later change is logged, the stale one has been read.
    put(&fleet, "i-late", changed(&fleet, &json!({ "service": "other" })));
    wait_logged(&fleet, &["event=server_seen", "server=i-late"]).await;
    for number in 0..5 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.nodes[0].logged(&["event=server_leaving"]), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarts_under_its_id_at_another_address_is_called_there() {
    let mut fleet = start(2).await;
    let moved = fleet.servers.remove(1);
    fleet.unregister(0);
    let entry = moved.entry("ready");
    moved.state.set_id("i-0");
    let address = entry["address"].clone();
    put(&fleet, "i-0", changed(&fleet, &json!({ "address": address, "born": FIRST_START_MS + 5 })));
    fleet.platform.state.remove_object(SERVERS, "i-1");
    wait_for("a call at the new address", async || {
        get(&fleet, "/any/x", "r-moved").await;
        moved.state.calls().iter().any(|call| call.header("x-target-instance") == Some("i-0"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_add_no_server_and_leave_the_others_in_use() {
    let fleet = start(1).await;
    let invalid_fields = [
        json!({ "state": "resting" }),
        json!({ "state": 7 }),
        json!({ "capacity": "8" }),
        json!({ "capacity": -1 }),
        json!({ "address": "nowhere" }),
        json!({ "born": 1.5 }),
        json!({ "born": "1790000000000" }),
        json!({ "warmupLeftMs": "long" }),
        json!({ "service": Value::Null }),
    ];
    for (number, fields) in invalid_fields.iter().enumerate() {
        put(&fleet, &format!("i-bad-{number}"), changed(&fleet, fields));
    }
    for (number, entry) in [json!("text"), json!([1]), json!({}), Value::Null].into_iter().enumerate() {
        put(&fleet, &format!("i-none-{number}"), entry);
    }
    put(&fleet, "i-last", changed(&fleet, &json!({ "service": "other" })));
    wait_logged(&fleet, &["event=server_seen", "server=i-last"]).await;
    for number in 0..20 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    let calls = fleet.servers[0].state.calls();
    assert!(calls.iter().all(|call| call.header("x-target-instance") == Some("i-0")), "{calls:?}");
    assert_eq!(fleet.nodes[0].logged(&["event=server_seen", "server=i-bad"]), Vec::<String>::new());
    assert!(fleet.nodes[0].logged(&["event=entry_unreadable"]).len() >= invalid_fields.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_entry_becomes_invalid_is_out_of_use_until_the_next_valid_one() {
    let fleet = start(1).await;
    wait_served(&fleet, "before").await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "state": "resting" })));
    wait_for("the server to be out of use", async || get(&fleet, "/any/x", "r-none").await.status == 503).await;
    fleet.register(0, "ready");
    wait_served(&fleet, "after").await;
}
